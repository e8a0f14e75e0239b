//! The ledger is the same after a restart, even if records were stored twice or not at all.

use std::{sync::Arc, time::Duration};

use borageswitch_types::{
    names::{ExecutorName, JobName, PoolName, QueueName},
    time::UnixMillis,
};

use super::*;
use crate::{
    config::Queue,
    job::{JobSpec, Schedule, Size, Step},
    ledger::snapshot::Snapshot,
};

fn queue() -> Queue {
    Queue {
        name: QueueName::from("payroll-runs"),
        authority: "payroll.example".into(),
        prefix: "/runs/".into(),
        pool: PoolName::from("payroll"),
        priority: 0,
        max_attempts: 2,
        stretch: 1.6,
        allowance: Duration::from_millis(600),
        timeout: Duration::from_secs(3),
        advisor: None,
    }
}

fn submission(job: &str, steps: Vec<Step>) -> Arc<Submission> {
    Arc::new(Submission {
        job: JobName::from(job),
        queue: queue(),
        accepted: UnixMillis(1_000),
        spec: JobSpec { payload: "text".into(), steps, schedule: None },
        caller: None,
    })
}

fn step(count: u32) -> Step {
    let size = Size { cpu_milli: 1_000, memory_mb: 100, accelerators: 0 };
    Step { count, size, estimate: Duration::from_secs(1), ..Step::default() }
}

fn key(job: &str, index: u32) -> TaskKey {
    TaskKey { job: JobName::from(job), occurrence: 0, step: 0, index }
}

fn assigned(job: &str, index: u32, run: u32) -> Record {
    Record::Assigned { task: key(job, index), run, executor: ExecutorName::from("e1") }
}

fn ended(job: &str, index: u32, run: u32, number: u64, kind: EndKind) -> Record {
    Record::Ended {
        executor: ExecutorName::from("e1"),
        number,
        task: key(job, index),
        run,
        kind,
        checkpoint: None,
    }
}

#[test]
fn an_end_that_is_reported_twice_counts_once() {
    // A leader stores an end and crashes before it acknowledges it, so the end is reported to the
    // next leader again. Counted twice, one failure would use up both attempts of a task, and a job
    // that could succeed would be reported as failed.
    let mut ledger = Ledger::default();
    ledger.submit(submission("j", vec![step(1)]));
    ledger.apply(&assigned("j", 0, 1));

    ledger.apply(&ended("j", 0, 1, 7, EndKind::Failed));
    ledger.apply(&ended("j", 0, 1, 7, EndKind::Failed));

    assert_eq!(ledger.task(&key("j", 0)).unwrap().failures, 1);
}

#[test]
fn an_end_counts_once_after_the_ledger_has_dropped_the_number_of_the_last_end() {
    // Guards against a sound job that is shown as failed: an executor that was taken for ended
    // lists an end again, to this leader or, from an append without answer, to the next one.
    let mut ledger = Ledger::default();
    ledger.submit(submission("j", vec![step(1)]));
    let end = ended("j", 0, 1, 7, EndKind::Failed);
    let gone = Record::ExecutorGone { executor: ExecutorName::from("e1") };
    let records = [assigned("j", 0, 1), end.clone(), gone.clone(), end.clone(), gone, end];

    records.iter().zip(1..).for_each(|(record, term)| ledger.apply_in_term(record, term));

    let task = key("j", 0);
    assert_eq!(ledger.task(&task).unwrap().failures, 1);
    let counted = ledger.counted_ends.of_task(&task);
    let executor = ExecutorName::from("e1");
    assert_eq!(counted, [CountedEnd { run: 1, executor, number: 7, term: 2 }]);
}

#[test]
fn a_repeated_end_does_not_clear_later_crashes() {
    // Guards against a task that crashes executors and is cleared of it by the end of an earlier
    // run, which is listed again.
    let mut ledger = Ledger::default();
    ledger.submit(submission("j", vec![step(1)]));
    let executor = ExecutorName::from("e2");
    let (at, run, age_ms) = (UnixMillis(5_000), 2, 300);
    let crash = Crash { executor, at, run, age_ms, lived_ms: 0, evidence: 500 };
    let suspicions = vec![Suspicion { task: key("j", 0), crash }];
    let gone = Record::ExecutorGone { executor: ExecutorName::from("e1") };
    let first = ended("j", 0, 1, 1, EndKind::Failed);
    let records = [first.clone(), Record::Crashed { suspicions }, gone, first];

    records.iter().for_each(|record| ledger.apply(record));

    assert_eq!(ledger.crashes_of(&key("j", 0)).len(), 1);
}

/// A crash of `e2` under a run of a task that is known to have lived for an instant only.
fn crash_under_run(run: u32) -> Record {
    let (executor, at) = (ExecutorName::from("e2"), UnixMillis(5_000));
    let crash = Crash { executor, at, run, age_ms: 300, lived_ms: 0, evidence: 500 };
    Record::Crashed { suspicions: vec![Suspicion { task: key("j", 0), crash }] }
}

#[test]
fn the_end_of_an_earlier_run_does_not_clear_later_crashes() {
    // Guards against a task that crashes executors and is cleared of it by the end of an earlier
    // run, which is listed late, or listed again.
    let lasting = Step { lasting: true, ..step(1) };
    let gone = Record::ExecutorGone { executor: ExecutorName::from("e1") };
    for (step, kind) in [
        (step(1), EndKind::Failed),
        (lasting.clone(), EndKind::Failed),
        (lasting.clone(), EndKind::Done),
    ] {
        let first = ended("j", 0, 1, 1, kind);
        let late = vec![crash_under_run(2), first.clone()];
        let repeated = vec![first.clone(), crash_under_run(2), gone.clone(), first.clone()];
        for records in [late, repeated] {
            let mut ledger = Ledger::default();
            ledger.submit(submission("j", vec![step.clone()]));

            records.iter().for_each(|record| ledger.apply(record));

            assert_eq!(ledger.crashes_of(&key("j", 0)).len(), 1, "{kind} {records:?}");
        }
    }
}

#[test]
fn the_end_of_a_later_run_clears_earlier_crashes() {
    // Guards against a lasting task that exits by itself again and again, and collects crashes by
    // coincidence for as long as its job lasts.
    let mut ledger = Ledger::default();
    ledger.submit(submission("j", vec![Step { lasting: true, ..step(1) }]));

    ledger.apply(&crash_under_run(2));
    ledger.apply(&ended("j", 0, 3, 1, EndKind::Failed));

    assert!(ledger.crashes_of(&key("j", 0)).is_empty());
}

#[test]
fn ends_count_once_each_however_many_attempts_a_task_has() {
    // Guards against a list of ends that grows without bound, and against ends that count again
    // once they are dropped from it.
    let mut ledger = Ledger::default();
    ledger.submit(submission("j", vec![step(1)]));
    let gone = Record::ExecutorGone { executor: ExecutorName::from("e1") };
    let ends: Vec<Record> =
        (1..=200).map(|run| ended("j", 0, run, u64::from(run), EndKind::Failed)).collect();

    for _ in 0..2 {
        ends.iter().for_each(|end| ledger.apply(end));
        ledger.apply(&gone);
    }

    assert_eq!(ledger.task(&key("j", 0)).unwrap().failures, 200);
    assert!(ledger.counted_ends.of_task(&key("j", 0)).len() < 100);
}

#[test]
fn a_task_that_is_done_uses_up_no_attempts() {
    // Guards against a job, lasting by another step, that is shown as failed because of a task that
    // was done long ago: its queue has fewer attempts now than the task needed then.
    let mut ledger = Ledger::default();
    ledger.submit(submission("j", vec![step(2)]));
    let failed = |number| ended("j", 0, number as u32, number, EndKind::Failed);
    [failed(1), failed(2)].iter().for_each(|record| ledger.apply(record));
    let before = ledger.jobs[&JobName::from("j")].step_state(0, 0).unwrap().clone();

    ledger.apply(&ended("j", 0, 3, 3, EndKind::Done));

    let after = ledger.jobs[&JobName::from("j")].step_state(0, 0).unwrap();
    assert_eq!(run_end::task_without_attempts(&before, &step(2), 2), Some(0));
    assert_eq!(run_end::task_without_attempts(after, &step(2), 2), None);
}

#[test]
fn ends_are_dropped_with_their_task_or_job() {
    // Guards against a ledger that grows with each failure for ever.
    let mut ledger = Ledger::default();
    ledger.submit(submission("done", vec![step(2)]));
    ledger.submit(submission("over", vec![step(1)]));
    let finished = Record::Finished {
        job: JobName::from("over"),
        queue: QueueName::from("payroll-runs"),
        outcome: Outcome::Failed,
        at: UnixMillis(9_000),
    };
    let records = [
        ended("done", 0, 1, 1, EndKind::Failed),
        ended("over", 0, 1, 2, EndKind::Failed),
        ended("done", 0, 2, 3, EndKind::Done),
        finished,
    ];

    records.iter().for_each(|record| ledger.apply(record));

    assert_eq!(ledger.counted_ends, CountedEnds::default());
}

#[test]
fn a_restored_ledger_equals_the_one_that_was_stored() {
    // All daemons lose power. The first one to start reads the snapshot, the appends after it and
    // the accepted jobs. Whatever is missing then is run twice or never.
    let jobs = [submission("a", vec![step(2)]), submission("b", vec![step(1)])];
    let mut ledger = Ledger::default();
    for job in &jobs {
        ledger.submit(job.clone());
    }
    ledger.apply(&assigned("a", 0, 1));
    let snapshot = Snapshot::of(&ledger, 1);
    let after = [ended("a", 0, 1, 1, EndKind::Done), assigned("a", 1, 1), assigned("b", 0, 1)];

    let mut restored = snapshot.restore(jobs.iter().cloned());
    for record in &after {
        ledger.apply(record);
        restored.apply(record);
    }

    assert_eq!(restored, ledger);
}

#[test]
fn records_that_a_snapshot_includes_change_nothing() {
    // A snapshot is taken from memory and may include records that are stored only after it.
    // Applied again after a restart, they must not revert the state of a task.
    let job = submission("a", vec![step(1)]);
    let mut ledger = Ledger::default();
    ledger.submit(job.clone());
    let records = [
        assigned("a", 0, 1),
        ended("a", 0, 1, 1, EndKind::Stopped),
        assigned("a", 0, 2),
        ended("a", 0, 2, 2, EndKind::Failed),
    ];
    for record in &records {
        ledger.apply(record);
    }

    let mut restored = Snapshot::of(&ledger, 0).restore([job]);
    for record in &records[1..] {
        restored.apply(record);
    }

    let task = restored.task(&key("a", 0)).unwrap();
    assert_eq!((task.failures, task.last_run), (1, 2));
}

#[test]
fn a_job_sent_again_after_its_end_stays_one_job() {
    // A caller that got no response sends its job again, seconds after it was accepted and done.
    // Taken for a new job, a payroll would run twice.
    let job = submission("a", vec![step(1)]);
    let mut ledger = Ledger::default();
    ledger.submit(job.clone());
    let queue = QueueName::from("payroll-runs");
    let finished = Record::Finished {
        job: JobName::from("a"),
        queue,
        outcome: Outcome::Completed,
        at: UnixMillis(5),
    };
    ledger.apply(&finished);

    let taken = ledger.submit(job);

    assert!(!taken);
    assert!(ledger.jobs.is_empty());
}

#[test]
fn a_gang_fails_once_however_many_members_report_it() {
    // The members of a gang end together, and each reports its own end. If each counted, a single
    // failure would end the job.
    let gang = Step { gang: true, ..step(3) };
    let mut ledger = Ledger::default();
    ledger.submit(submission("g", vec![gang]));
    for index in 0..3 {
        ledger.apply(&assigned("g", index, 1));
    }

    ledger.apply(&ended("g", 0, 1, 1, EndKind::Failed));
    ledger.apply(&ended("g", 1, 1, 2, EndKind::GangBroken));
    ledger.apply(&ended("g", 2, 1, 3, EndKind::GangBroken));

    let failures: Vec<u16> =
        (0..3).map(|index| ledger.task(&key("g", index)).unwrap().failures).collect();
    assert_eq!(failures, [1, 1, 1]);
}

fn gang_failures(ledger: &Ledger) -> Vec<u16> {
    ledger.jobs[&JobName::from("g")]
        .step_state(0, 0)
        .unwrap()
        .tasks
        .iter()
        .map(|task| task.failures)
        .collect()
}

#[test]
fn a_gang_fails_once_although_each_member_is_listed_as_failed() {
    // Guards against using up all attempts of a gang with one run on an executor that fails all.
    let gang = Step { gang: true, ..step(3) };
    let job = submission("g", vec![gang]);
    let mut ledger = Ledger::default();
    ledger.submit(job.clone());
    for index in 0..3 {
        ledger.apply(&assigned("g", index, 1));
    }

    ledger.apply(&ended("g", 0, 1, 1, EndKind::Failed));
    ledger.apply(&ended("g", 1, 1, 2, EndKind::Failed));
    let mut next = Snapshot::of(&ledger, 1).restore([job]);
    next.apply(&ended("g", 2, 1, 3, EndKind::Failed));

    assert_eq!(gang_failures(&next), [1, 1, 1]);
    assert!(next.jobs[&JobName::from("g")].task(&key("g", 2)).unwrap().is_waiting());
}

#[test]
fn each_run_of_a_gang_that_fails_counts_whenever_it_is_listed() {
    // Guards against starting a gang again after its last attempt, as failures of an earlier run
    // are listed late.
    let gang = Step { gang: true, ..step(2) };
    let mut ledger = Ledger::default();
    ledger.submit(submission("g", vec![gang]));
    for (run, index) in [(1, 0), (1, 1), (2, 0), (2, 1)] {
        ledger.apply(&assigned("g", index, run));
    }

    ledger.apply(&ended("g", 0, 2, 1, EndKind::Failed));
    ledger.apply(&ended("g", 1, 1, 2, EndKind::Failed));
    ledger.apply(&ended("g", 1, 2, 3, EndKind::Failed));

    assert_eq!(gang_failures(&ledger), [2, 2]);
}

#[test]
fn one_member_that_is_done_completes_the_gang() {
    let gang = Step { gang: true, ..step(2) };
    let mut ledger = Ledger::default();
    ledger.submit(submission("g", vec![gang]));
    ledger.apply(&assigned("g", 0, 1));
    ledger.apply(&assigned("g", 1, 1));

    ledger.apply(&ended("g", 0, 1, 1, EndKind::Done));

    assert!(ledger.jobs[&JobName::from("g")].is_done());
}

const ALL_ENDS: [EndKind; 6] = [
    EndKind::Done,
    EndKind::Failed,
    EndKind::Stopped,
    EndKind::LeaseExpired,
    EndKind::GangBroken,
    EndKind::GangIncomplete,
];

#[test]
fn no_end_completes_or_fails_a_lasting_task_or_gang() {
    // Guards against showing a lasting job as completed or failed when its runs end.
    for (gang, kind) in ALL_ENDS.iter().flat_map(|kind| [(false, *kind), (true, *kind)]) {
        let lasting = Step { gang, lasting: true, ..step(2) };
        let mut ledger = Ledger::default();
        ledger.submit(submission("l", vec![lasting.clone()]));

        for run in 1..4 {
            for index in 0..2 {
                ledger.apply(&assigned("l", index, run));
                ledger.apply(&ended("l", index, run, u64::from(2 * run + index), kind));
            }
        }

        let job = &ledger.jobs[&JobName::from("l")];
        assert!(!job.is_done(), "gang {gang}, {kind}");
        let state = job.step_state(0, 0).unwrap();
        let failed = run_end::task_without_attempts(state, &lasting, 1);
        assert_eq!(failed, None, "gang {gang}, {kind}");
        assert!(state.tasks.iter().all(job::TaskState::is_waiting), "gang {gang}, {kind}");
    }
}

#[test]
fn a_lasting_gang_that_an_earlier_version_completed_is_opened_again() {
    // Guards against completing a lasting job after an upgrade, from a snapshot of earlier versions.
    let gang = Step { gang: true, lasting: true, after: vec![0], ..step(2) };
    let job = submission("l", vec![step(2), gang]);
    let mut ledger = Ledger::default();
    ledger.submit(job.clone());
    let mut stored = Snapshot::of(&ledger, 1);
    let progress = job::Progress { begun: 1, started: true, ..job::Progress::default() };
    stored.jobs.insert(JobName::from("l"), progress);

    let restored = stored.restore([job]);

    let job = &restored.jobs[&JobName::from("l")];
    assert!(!job.is_done());
    assert!(job.step_state(0, 0).unwrap().is_done(), "tasks that were done do not run again");
    let gang = job.step_state(0, 1).unwrap();
    assert!(gang.tasks.iter().all(job::TaskState::is_waiting), "{gang:?}");
}

#[test]
fn an_open_occurrence_with_a_lasting_gang_marked_as_done_is_repaired() {
    // Guards against a lasting gang that stays done after an upgrade, beside steps that still run.
    let gang = Step { gang: true, lasting: true, ..step(2) };
    let job = submission("l", vec![gang, step(1)]);
    let mut ledger = Ledger::default();
    ledger.submit(job.clone());
    ledger.apply(&assigned("l", 0, 1));
    let mut stored = Snapshot::of(&ledger, 1);
    let progress = stored.jobs.get_mut(&JobName::from("l")).unwrap();
    let state = &mut progress.open.get_mut(&0).unwrap().steps[0];
    state.done = 2;
    for task in &mut state.tasks {
        *task = job::TaskState { done: true, last_run: 4, ..job::TaskState::default() };
    }

    let restored = stored.restore([job]);

    let gang = restored.jobs[&JobName::from("l")].step_state(0, 0).unwrap();
    assert_eq!((gang.done, gang.tasks[0].last_run), (0, 4));
    assert!(gang.tasks.iter().all(job::TaskState::is_waiting), "{gang:?}");
}

#[test]
fn an_occurrence_that_waits_is_part_of_a_snapshot() {
    // Guards against an occurrence that is due, but waits for capacity when the leader changes, and
    // is missing from the snapshot. It was then taken for not begun, the numbers of later ones ran
    // ahead of it, and finished work ran again.
    let mut scheduled = (*submission("t", vec![step(1)])).clone();
    let interval = Duration::from_secs(4);
    scheduled.spec.schedule = Some(Schedule { first: UnixMillis(2_000), interval, times: 3 });
    let scheduled = Arc::new(scheduled);
    let mut ledger = Ledger::default();
    ledger.submit(scheduled.clone());
    ledger.apply(&Record::Due { job: JobName::from("t"), occurrence: 0 });

    let restored = Snapshot::of(&ledger, 1).restore([scheduled]);

    assert_eq!(restored, ledger);
}

fn crashed(job: &str, index: u32, executor: &str, age_ms: u64, lived_ms: u64) -> Record {
    let crash = Crash {
        executor: ExecutorName::from(executor),
        at: UnixMillis(2_000),
        run: 1,
        age_ms,
        lived_ms,
        evidence: 3_000,
    };
    Record::Crashed { suspicions: vec![Suspicion { task: key(job, index), crash }] }
}

#[test]
fn a_crash_that_is_noticed_twice_counts_once() {
    // Guards against a second leader that notices a crash which the first one had stored.
    let mut ledger = Ledger::default();
    ledger.submit(submission("j", vec![step(1)]));

    ledger.apply(&crashed("j", 0, "e1", 15, 0));
    ledger.apply(&crashed("j", 0, "e1", 15, 0));
    ledger.apply(&crashed("j", 0, "e2", 15, 0));

    assert_eq!(ledger.crashes_of(&key("j", 0)).len(), 2);
}

#[test]
fn crashes_are_removed_once_a_run_has_lived_long_enough() {
    let mut ledger = Ledger::default();
    ledger.submit(submission("j", vec![step(2)]));
    ledger.apply(&crashed("j", 0, "e1", 15, 0));
    ledger.apply(&crashed("j", 1, "e1", 15, 0));

    ledger.apply(&Record::Survived { task: key("j", 0), millis: 2_000 });
    ledger.apply(&crashed("j", 1, "e2", 5_000, 4_000));

    assert!(ledger.crashes_of(&key("j", 0)).is_empty());
    assert_eq!(ledger.crashes_of(&key("j", 1)).len(), 1, "the run has outlived the first one");
}

#[test]
fn crashes_soon_after_a_start_do_not_count_against_a_task_that_has_lived_longer() {
    // Guards against giving up a sound lasting job whose executors crash one after the other.
    let mut ledger = Ledger::default();
    ledger.submit(submission("j", vec![step(1)]));

    ledger.apply(&crashed("j", 0, "e1", 9_000, 8_500));
    for executor in ["e2", "e3", "e4", "e5", "e6"] {
        ledger.apply(&crashed("j", 0, executor, 1_000, 600));
    }

    assert_eq!(ledger.crashes_of(&key("j", 0)).len(), 1);
}

#[test]
fn a_given_up_job_keeps_its_reason_when_the_log_is_read_without_its_submission() {
    // Guards against a caller who is told after a change of leader that a job was given up without
    // any crash.
    let records = [
        crashed("a", 0, "e1", 15, 0),
        Record::GivenUp { task: key("a", 0) },
        Record::Finished {
            job: JobName::from("a"),
            queue: queue().name,
            outcome: Outcome::Failed,
            at: UnixMillis(5),
        },
    ];
    let mut ledger = Ledger::default();
    ledger.submit(submission("a", vec![step(1)]));
    records.iter().for_each(|record| ledger.apply(record));

    let mut restored = Ledger::default();
    records.iter().for_each(|record| restored.apply(record));

    assert_eq!(restored, ledger);
    assert_eq!(restored.given_up[&JobName::from("a")].crashes.len(), 1);
}

#[test]
fn suspects_and_tasks_given_up_are_part_of_a_snapshot() {
    // Guards against crashes that each leader counts anew, and reasons that are lost with a leader.
    let jobs = [submission("a", vec![step(1)]), submission("b", vec![step(1)])];
    let mut ledger = Ledger::default();
    for job in &jobs {
        ledger.submit(job.clone());
    }
    ledger.apply(&crashed("a", 0, "e1", 15, 0));
    ledger.apply(&crashed("b", 0, "e1", 15, 0));
    ledger.apply(&Record::GivenUp { task: key("b", 0) });

    let restored = Snapshot::of(&ledger, 1).restore(jobs);

    assert_eq!(restored, ledger);
    assert_eq!(restored.given_up[&JobName::from("b")].crashes.len(), 1);
}
