//! Jobs that are cancelled while the write that submits them is on its way to the store.

mod support;

use std::time::Duration;

use borageswitch_fakes::platform::{MemoryPlatform, example::cores};
use borageswitch_runtime::{
    admission::Call,
    failures::{Failure, RequestResult},
    intake, keys,
    ports::CommitOutcome,
};
use borageswitch_types::names::JobName;
use smol::Timer;
use support::{Daemon, job_spec, platform, queue, run, start, submit, wait_for};

/// The id of the job whose write is late.
const LATE: &str = "5c0e7a21d94b36f8";

async fn cancel(daemon: &Daemon, job: &str) -> RequestResult<()> {
    intake::cancel(daemon, Call::without_key(&queue()), &JobName::from(job)).await
}

/// A daemon that leads, and whose store holds the write of [`LATE`].
async fn holding_the_write(platform: &MemoryPlatform, daemon: &Daemon) {
    wait_for(async || submit(daemon, "00aa11bb22cc33dd", job_spec()).await.ok()).await;
    platform.hold_next_write_of(&keys::job(&JobName::from(LATE)));
    let submitted = submit(daemon, LATE, job_spec()).await;
    assert_eq!(submitted, Err(Failure::StoreNoResponse));
}

/// Whether the late job starts while another one that is submitted after it runs.
async fn late_job_starts(platform: &MemoryPlatform, daemon: &Daemon) -> bool {
    let after = "ffffffffffffffff";
    let started = |job: &str| platform.started().iter().any(|run| run.task.job.as_str() == job);
    wait_for(async || submit(daemon, after, job_spec()).await.ok()).await;
    wait_for(async || started(after).then_some(())).await;
    Timer::after(Duration::from_millis(500)).await;
    started(LATE)
}

fn platform_with_executor() -> MemoryPlatform {
    let platform = platform();
    platform.add_executor("e1", "payroll", cores(64));
    platform
}

/// Guards against a confirmed cancellation that rests on a read while the job may still be stored.
#[test]
fn a_job_cancelled_before_its_late_write_does_not_run() {
    run(async |ex| {
        let platform = platform_with_executor();
        let daemon = start("d1", &platform, &ex);
        holding_the_write(&platform, &daemon).await;

        let cancelled = cancel(&daemon, LATE).await;
        let outcome = platform.carry_out_held_write();

        assert_eq!(cancelled, Err(Failure::NoJob));
        assert!(matches!(outcome, Some(CommitOutcome::Done(_))), "{outcome:?}");
        assert!(!late_job_starts(&platform, &daemon).await);
        let mark = keys::cancel(&JobName::from(LATE));
        wait_for(async || platform.get(&mark).is_none().then_some(())).await;
    });
}

/// Guards against a cancellation that only the leader remembers which confirmed it.
#[test]
fn a_cancellation_outlasts_the_leader_when_its_job_comes_later() {
    run(async |ex| {
        let platform = platform_with_executor();
        let first = start("d1", &platform, &ex);
        holding_the_write(&platform, &first).await;
        assert_eq!(cancel(&first, LATE).await, Err(Failure::NoJob));
        first.begin_stop();
        let second = start("d2", &platform, &ex);
        wait_for(async || submit(&second, "11aa11bb22cc33dd", job_spec()).await.ok()).await;

        let outcome = platform.carry_out_held_write();

        assert!(matches!(outcome, Some(CommitOutcome::Done(_))), "{outcome:?}");
        assert!(!late_job_starts(&platform, &second).await);
    });
}

/// Guards against a cancellation that fails as the first write of it gets no response.
#[test]
fn a_cancellation_whose_write_is_late_is_stored_again() {
    run(async |ex| {
        let platform = platform_with_executor();
        let daemon = start("d1", &platform, &ex);
        wait_for(async || submit(&daemon, "00aa11bb22cc33dd", job_spec()).await.ok()).await;
        platform.hold_next_write_of(&keys::cancel(&JobName::from(LATE)));

        let cancelled = cancel(&daemon, LATE).await;
        let outcome = platform.carry_out_held_write();

        assert_eq!(cancelled, Err(Failure::NoJob));
        assert!(matches!(outcome, Some(CommitOutcome::Conflict(_))), "{outcome:?}");
    });
}

/// Guards against an answer that another cancellation of the same id makes untrue.
#[test]
fn a_repeated_cancellation_of_an_unknown_job_is_answered_alike() {
    run(async |ex| {
        let platform = platform_with_executor();
        let daemon = start("d1", &platform, &ex);
        wait_for(async || submit(&daemon, "00aa11bb22cc33dd", job_spec()).await.ok()).await;

        for _ in 0..2 {
            assert_eq!(cancel(&daemon, LATE).await, Err(Failure::NoJob));
        }
    });
}
