//! Snapshots and removals of appends whose calls get no response or are carried out late.

mod support;

use borageswitch_fakes::platform::{MemoryPlatform, example::cores};
use borageswitch_runtime::{
    admission::Call,
    codec, intake,
    keys::{self, SNAPSHOT},
    ports::CommitOutcome,
};
use borageswitch_scheduler::{
    ledger::{record::Outcome, snapshot::Snapshot},
    reducer::view::JobStatus,
};
use borageswitch_types::names::JobName;
use support::{Daemon, job_spec, platform, queue, run, start, submit, wait_for};

/// The tasks of each job.
const TASKS: usize = 5;

/// Jobs that were completed one after the other.
struct Completed {
    jobs: Vec<String>,
}

impl Completed {
    /// Completes jobs until a condition holds.
    async fn until<F>(&mut self, daemon: &Daemon, condition: F)
    where
        F: Fn() -> bool,
    {
        while !condition() {
            let job = format!("{:016x}", self.jobs.len() + 1);
            wait_for(async || submit(daemon, &job, job_spec()).await.ok()).await;
            wait_for(async || is_completed(daemon, &job).await.then_some(())).await;
            self.jobs.push(job);
        }
    }
}

async fn is_completed(daemon: &Daemon, job: &str) -> bool {
    let status = intake::status(daemon, Call::without_key(&queue()), &JobName::from(job)).await;
    matches!(status, Ok(JobStatus::Ended(Outcome::Completed)))
}

/// The last append that the stored snapshot includes; 0 without a snapshot.
fn stored_through(platform: &MemoryPlatform) -> u64 {
    let stored = platform.get(SNAPSHOT);
    stored.map_or(0, |item| codec::decode::<Snapshot>("snapshot", &item.value).unwrap().through)
}

fn has_append_up_to(platform: &MemoryPlatform, through: u64) -> bool {
    (1..=through).any(|number| platform.get(&keys::append(number)).is_some())
}

fn platform_with_executor() -> MemoryPlatform {
    let platform = platform();
    platform.add_executor("e1", "payroll", cores(64));
    platform
}

#[test]
fn a_snapshot_that_is_carried_out_late_replaces_no_newer_one() {
    // Guards against a next leader that has lost ends of tasks and finished jobs.
    run(async |ex| {
        let platform = platform_with_executor();
        let first = start("d1", &platform, &ex);
        let mut completed = Completed { jobs: Vec::new() };
        platform.hold_next_write_of(SNAPSHOT);
        completed.until(&first, || platform.holds_write()).await;
        completed.until(&first, || stored_through(&platform) > 0).await;
        let newer = stored_through(&platform);

        let outcome = platform.carry_out_held_write();
        first.begin_stop();
        let second = start("d2", &platform, &ex);

        assert!(matches!(outcome, Some(CommitOutcome::Conflict(_))), "{outcome:?}");
        assert!(stored_through(&platform) >= newer);
        for job in &completed.jobs {
            wait_for(async || is_completed(&second, job).await.then_some(())).await;
        }
        assert_eq!(platform.started().len(), completed.jobs.len() * TASKS);
    });
}

#[test]
fn a_removal_of_appends_that_is_carried_out_late_takes_nothing_that_is_needed() {
    // Guards against a late call that is safe only as long as the store refuses it.
    run(async |ex| {
        let platform = platform_with_executor();
        let first = start("d1", &platform, &ex);
        let mut completed = Completed { jobs: Vec::new() };
        platform.hold_next_removal_under(keys::LOG);
        completed.until(&first, || platform.holds_write()).await;
        let before = stored_through(&platform);
        completed.until(&first, || stored_through(&platform) > before).await;

        let outcome = platform.carry_out_held_write();
        first.begin_stop();
        let second = start("d2", &platform, &ex);

        assert!(matches!(outcome, Some(CommitOutcome::Done(_))), "{outcome:?}");
        for job in &completed.jobs {
            wait_for(async || is_completed(&second, job).await.then_some(())).await;
        }
        assert_eq!(platform.started().len(), completed.jobs.len() * TASKS);
    });
}

#[test]
fn snapshots_continue_after_one_whose_response_was_lost() {
    // Guards against a leader that waits for ever for a revision that its own call has replaced.
    run(async |ex| {
        let platform = platform_with_executor();
        let daemon = start("d1", &platform, &ex);
        let mut completed = Completed { jobs: Vec::new() };
        platform.hold_next_write_of(SNAPSHOT);
        completed.until(&daemon, || platform.holds_write()).await;

        let outcome = platform.carry_out_held_write();
        let late = stored_through(&platform);
        completed.until(&daemon, || stored_through(&platform) > late).await;

        assert!(matches!(outcome, Some(CommitOutcome::Done(_))), "{outcome:?}");
        assert!(late > 0);
    });
}

#[test]
fn appends_of_a_snapshot_that_was_not_stored_are_removed() {
    // Guards against appends that pile up with each lost call and make takeovers slower and slower.
    run(async |ex| {
        let platform = platform_with_executor();
        let first = start("d1", &platform, &ex);
        let mut completed = Completed { jobs: Vec::new() };
        platform.hold_next_write_of(SNAPSHOT);
        completed.until(&first, || platform.holds_write()).await;
        first.begin_stop();
        let second = start("d2", &platform, &ex);

        completed.until(&second, || stored_through(&platform) > 0).await;
        let through = stored_through(&platform);
        wait_for(async || (!has_append_up_to(&platform, through)).then_some(())).await;
    });
}

#[test]
fn appends_whose_removal_is_lost_are_removed_after_the_next_snapshot() {
    // Guards against a log that grows for as long as one leader stays.
    run(async |ex| {
        let platform = platform_with_executor();
        let daemon = start("d1", &platform, &ex);
        let mut completed = Completed { jobs: Vec::new() };
        platform.hold_next_removal_under(keys::LOG);
        completed.until(&daemon, || platform.holds_write()).await;
        let through = stored_through(&platform);
        let was_left = has_append_up_to(&platform, through);

        completed.until(&daemon, || stored_through(&platform) > through).await;

        assert!(was_left);
        wait_for(async || (!has_append_up_to(&platform, through)).then_some(())).await;
    });
}
