//! Complete daemons on an in-memory platform. Jobs are submitted to any of them, and whatever ends
//! the leader, no job is lost and no task runs twice.

use std::{
    future::Future,
    sync::Arc,
    time::{Duration, Instant},
};

use borageswitch_fakes::platform::{
    MemoryPlatform, PlatformFaults,
    example::{self, cores},
};
use borageswitch_runtime::{
    admission::Call,
    daemon::{self, DaemonConfig, Shared},
    failures::{Effective, Failure},
    intake,
    keys::LEADER,
};
use borageswitch_scheduler::{
    config::Queue,
    job::{JobSpec, Step},
    ledger::record::Outcome,
    reducer::{Limits, view::JobStatus},
};
use borageswitch_types::names::JobName;
use smol::{Executor, Timer};

/// A timeout far above what anything here takes on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(60);

fn queue() -> Queue {
    example::queue("runs", "/runs/", "payroll")
}

type Daemon = Arc<Shared<MemoryPlatform>>;

fn platform() -> MemoryPlatform {
    let platform = MemoryPlatform::new(Duration::from_millis(30));
    platform.configure(&example::config([queue()], [example::pool("payroll")]));
    for name in ["e1", "e2", "e3"] {
        platform.add_executor(name, "payroll", cores(8));
    }
    platform
}

fn start(name: &str, platform: &MemoryPlatform, ex: &Arc<Executor<'static>>) -> Daemon {
    let cfg = DaemonConfig {
        name: name.into(),
        peer_address: ([127, 0, 0, 1], 0).into(),
        weight: 1.0,
        limits: Limits::default(),
        config_watch_timeout: Duration::from_millis(1_500),
        keys_hold: None,
        meter: opentelemetry::global::meter("borageswitch"),
    };
    daemon::start(cfg, platform.clone(), ex.clone()).unwrap()
}

fn two_steps() -> JobSpec {
    let step =
        Step { count: 4, size: cores(1), estimate: Duration::from_millis(30), ..Step::default() };
    let second = Step { after: vec![0], ..step.clone() };
    JobSpec { payload: "text".into(), steps: vec![step, second], schedule: None }
}

async fn until<F, T>(mut attempt: F) -> T
where
    F: AsyncFnMut() -> Option<T>,
{
    let end = Instant::now() + TIMEOUT;
    loop {
        if let Some(found) = attempt().await {
            return found;
        }
        assert!(Instant::now() < end, "timed out");
        Timer::after(Duration::from_millis(10)).await;
    }
}

async fn submit(daemon: &Daemon, job: &str) {
    let job = JobName::from(job);
    until(async || {
        intake::submit(daemon, Call::without_key(&queue()), &job, two_steps()).await.ok()
    })
    .await;
}

async fn outcome(daemon: &Daemon, job: &str) -> Outcome {
    let job = JobName::from(job);
    until(async || match intake::status(daemon, Call::without_key(&queue()), &job).await {
        Ok(JobStatus::Ended(outcome)) => Some(outcome),
        _ => None,
    })
    .await
}

async fn ready(daemons: &[&Daemon]) {
    for daemon in daemons {
        until(async || daemon.is_ready().then_some(())).await;
    }
}

/// Waits until there is a leader, which is shown by a completed job.
async fn complete_job(daemon: &Daemon, job: &str) {
    ready(&[daemon]).await;
    submit(daemon, job).await;
    assert_eq!(outcome(daemon, job).await, Outcome::Completed);
}

fn run<F>(ex: &Arc<Executor<'static>>, test: F)
where
    F: Future<Output = ()>,
{
    smol::block_on(ex.run(test));
}

#[test]
fn a_job_submitted_to_any_daemon_is_completed_and_shown_by_all() {
    let ex = Arc::new(Executor::new());
    let platform = platform();
    let daemons = [start("d1", &platform, &ex), start("d2", &platform, &ex)];
    run(&ex, async {
        ready(&[&daemons[0], &daemons[1]]).await;

        submit(&daemons[0], "00000000000000aa").await;
        submit(&daemons[1], "00000000000000bb").await;

        for daemon in &daemons {
            assert_eq!(outcome(daemon, "00000000000000aa").await, Outcome::Completed);
            assert_eq!(outcome(daemon, "00000000000000bb").await, Outcome::Completed);
        }
        assert_eq!(platform.started().len(), 16);
    });
}

#[test]
fn a_leader_that_stops_hands_over_without_a_gap_in_the_work() {
    // The leader is shut down while a job runs. Callers use the other daemon from then on, and
    // every task runs once.
    let ex = Arc::new(Executor::new());
    let platform = platform();
    let first = start("d1", &platform, &ex);
    run(&ex, async {
        ready(&[&first]).await;
        submit(&first, "00000000000000aa").await;
        until(async || (!platform.started().is_empty()).then_some(())).await;
        let second = start("d2", &platform, &ex);
        ready(&[&second]).await;

        first.begin_stop();

        assert_eq!(outcome(&second, "00000000000000aa").await, Outcome::Completed);
        assert_eq!(platform.started().len(), 8);
    });
}

#[test]
fn while_the_store_is_unavailable_requests_fail_at_once_and_nothing_ran() {
    // The store refuses every call. Callers that are held until a timeout retry late, and "not
    // accepted" must be true.
    let ex = Arc::new(Executor::new());
    let platform = platform();
    let daemon = start("d1", &platform, &ex);
    run(&ex, async {
        ready(&[&daemon]).await;
        platform.set_faults(PlatformFaults { store_refuses: true, ..Default::default() });
        let job = JobName::from("00000000000000aa");

        let refused = intake::submit(&daemon, Call::without_key(&queue()), &job, two_steps()).await;

        let failure = refused.unwrap_err();
        assert_eq!(failure, Failure::StoreUnavailable);
        assert_eq!(failure.error_response().effective, Effective::No);
        assert!(failure.error_response().retry_after.is_some());
        platform.set_faults(PlatformFaults::default());
        let unknown =
            until(async || intake::status(&daemon, Call::without_key(&queue()), &job).await.err())
                .await;
        assert!(matches!(unknown, Failure::NoJob | Failure::NoLeader), "{unknown}");
        assert!(platform.started().is_empty());
    });
}

#[test]
fn a_write_whose_response_is_lost_is_neither_accepted_nor_refused() {
    // The store commits a write and its response is lost. On "not accepted" a caller would give up
    // a job that runs. A repeated request finds the job, and it stays one job.
    let ex = Arc::new(Executor::new());
    let platform = platform();
    let daemon = start("d1", &platform, &ex);
    run(&ex, async {
        complete_job(&daemon, "00000000000000ff").await;
        let job = JobName::from("00000000000000aa");
        platform.set_faults(PlatformFaults { store_loses_answers: true, ..Default::default() });

        let lost = intake::submit(&daemon, Call::without_key(&queue()), &job, two_steps()).await;
        platform.set_faults(PlatformFaults::default());

        assert_eq!(lost.unwrap_err().error_response().effective, Effective::Unknown);
        submit(&daemon, "00000000000000aa").await;
        assert_eq!(outcome(&daemon, "00000000000000aa").await, Outcome::Completed);
        let of_job = |s: &&borageswitch_fakes::platform::Started| s.task.job == job;
        assert_eq!(platform.started().iter().filter(of_job).count(), 8);
    });
}

#[test]
fn a_cancelled_job_is_shown_as_such_and_starts_nothing_more() {
    let ex = Arc::new(Executor::new());
    let platform = platform();
    let daemon = start("d1", &platform, &ex);
    run(&ex, async {
        ready(&[&daemon]).await;
        submit(&daemon, "00000000000000aa").await;
        let job = JobName::from("00000000000000aa");

        until(async || intake::cancel(&daemon, Call::without_key(&queue()), &job).await.ok()).await;

        let ended = outcome(&daemon, "00000000000000aa").await;
        assert!(matches!(ended, Outcome::Cancelled | Outcome::Completed), "{ended}");
        let before = platform.started().len();
        Timer::after(Duration::from_millis(200)).await;
        assert_eq!(platform.started().len(), before);
    });
}

/// Waits until both daemons know the leader, then has the store reject the second one.
async fn reject_second(first: &Daemon, second: &Daemon, handle: &MemoryPlatform) {
    ready(&[first, second]).await;
    submit(first, "00000000000000ee").await;
    assert_eq!(outcome(second, "00000000000000ee").await, Outcome::Completed);
    handle.turn_away(true);
}

#[test]
fn a_daemon_that_the_store_rejects_accepts_through_the_leader() {
    // The store rejects one daemon and serves the others. Without the leader's help its callers
    // would be refused although the site can take their jobs.
    let ex = Arc::new(Executor::new());
    let platform = platform();
    let handle = platform.another_handle();
    let first = start("d1", &platform, &ex);
    run(&ex, async {
        complete_job(&first, "00000000000000dd").await;
        let second = start("d2", &handle, &ex);
        reject_second(&first, &second, &handle).await;
        let job = JobName::from("00000000000000aa");

        let accepted =
            intake::submit(&second, Call::without_key(&queue()), &job, two_steps()).await;

        assert_eq!(accepted, Ok(()));
        assert_eq!(outcome(&first, "00000000000000aa").await, Outcome::Completed);
    });
}

#[test]
fn what_the_leader_may_have_stored_is_not_refused() {
    // The store rejects one daemon, which forwards the job to the leader. The leader's write is
    // committed and its response lost. On "not accepted" the caller would give up a job that runs.
    let ex = Arc::new(Executor::new());
    let platform = platform();
    let handle = platform.another_handle();
    let first = start("d1", &platform, &ex);
    run(&ex, async {
        complete_job(&first, "00000000000000dd").await;
        let second = start("d2", &handle, &ex);
        reject_second(&first, &second, &handle).await;
        platform.set_faults(PlatformFaults { store_loses_answers: true, ..Default::default() });
        let job = JobName::from("00000000000000aa");

        let indeterminate =
            intake::submit(&second, Call::without_key(&queue()), &job, two_steps()).await;
        platform.set_faults(PlatformFaults::default());

        assert_eq!(indeterminate.unwrap_err().error_response().effective, Effective::Unknown);
        assert_eq!(outcome(&first, "00000000000000aa").await, Outcome::Completed);
    });
}

#[test]
fn callers_are_not_the_ones_who_try_a_store_that_is_silent() {
    // The store does not respond for seconds, and this daemon gets two requests a second. If each
    // called the store, each would be held until a timeout, only to find out what the daemon has
    // known since the first.
    let ex = Arc::new(Executor::new());
    let platform = platform();
    let daemon = start("d1", &platform, &ex);
    run(&ex, async {
        complete_job(&daemon, "00000000000000aa").await;
        let store_hangs = Duration::from_millis(200);
        platform.set_faults(PlatformFaults { store_hangs, ..Default::default() });
        let first =
            intake::submit(&daemon, Call::without_key(&queue()), &JobName::from("b0"), two_steps())
                .await;
        assert_eq!(first, Err(Failure::StoreNoResponse));

        for number in 1..5 {
            Timer::after(Duration::from_millis(500)).await;
            let job = JobName::from(format!("b{number}"));
            let result =
                intake::submit(&daemon, Call::without_key(&queue()), &job, two_steps()).await;
            // The store was not called, so nothing can have been stored.
            assert_eq!(result, Err(Failure::StoreUnavailable));
        }

        platform.set_faults(PlatformFaults::default());
        submit(&daemon, "00000000000000cc").await;
        assert_eq!(outcome(&daemon, "00000000000000cc").await, Outcome::Completed);
    });
}

#[test]
fn a_job_starts_although_no_watch_reports_it() {
    // The store's watches report nothing for a while, as when it drops its history. An accepted job
    // that waited for the watch would be late at a load peak.
    let ex = Arc::new(Executor::new());
    let platform = platform();
    let first = start("d1", &platform, &ex);
    run(&ex, async {
        complete_job(&first, "00000000000000aa").await;
        let second = start("d2", &platform, &ex);
        ready(&[&second]).await;
        assert_eq!(outcome(&second, "00000000000000aa").await, Outcome::Completed);
        platform.set_faults(PlatformFaults { watches_deaf: true, ..Default::default() });

        submit(&first, "00000000000000bb").await;
        submit(&second, "00000000000000cc").await;

        assert_eq!(outcome(&first, "00000000000000bb").await, Outcome::Completed);
        assert_eq!(outcome(&second, "00000000000000cc").await, Outcome::Completed);
    });
}

/// Starts two daemons with separate platform handles. The first leads, the second has sent it a
/// request.
async fn leader_and_peer(platform: &MemoryPlatform, ex: &Arc<Executor<'static>>) -> [Daemon; 2] {
    let first = start("d1", &platform.another_handle(), ex);
    complete_job(&first, "00000000000000aa").await;
    let second = start("d2", &platform.another_handle(), ex);
    ready(&[&second]).await;
    submit(&second, "00000000000000bb").await;
    assert_eq!(outcome(&second, "00000000000000bb").await, Outcome::Completed);
    [first, second]
}

#[test]
fn a_leader_that_the_store_rejects_hands_over() {
    // The store rejects the leader and serves all others. Without a handover nothing would start
    // until the lease expires.
    let ex = Arc::new(Executor::new());
    let platform = platform();
    run(&ex, async {
        let [first, second] = leader_and_peer(&platform, &ex).await;
        first.platform.turn_away(true);

        let led = platform.get(LEADER).map(|item| item.revision);
        until(async || (platform.get(LEADER).map(|item| item.revision) != led).then_some(())).await;

        assert_eq!(platform.expired_leases(), 0);
        submit(&second, "00000000000000cc").await;
        assert_eq!(outcome(&second, "00000000000000cc").await, Outcome::Completed);
    });
}

#[test]
fn a_daemon_that_the_store_rejects_finds_the_next_leader() {
    // The leader changes while the store rejects a daemon. From the store it cannot learn of the
    // new leader, and it would refuse its callers for as long as that lasts.
    let ex = Arc::new(Executor::new());
    let platform = platform();
    run(&ex, async {
        let [first, second] = leader_and_peer(&platform, &ex).await;
        first.platform.turn_away(true);

        submit(&first, "00000000000000cc").await;

        assert_eq!(outcome(&first, "00000000000000cc").await, Outcome::Completed);
        assert_eq!(outcome(&second, "00000000000000cc").await, Outcome::Completed);
    });
}
