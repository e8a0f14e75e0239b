//! Each check notices what it is there for, and nothing else.

use std::collections::BTreeMap;

use borageswitch_fakes::platform::{LASTING_TEXT, RunRecord};
use borageswitch_scheduler::{
    executor::EndKind,
    job::{JobSpec, Size, Step},
    task::TaskKey,
};
use borageswitch_soak::{
    callers::{Fate, Try},
    promises::{self, Seen},
    site,
};
use borageswitch_types::names::{ExecutorName, JobName};

const JOB: &str = "00000000000000aa";

fn spec() -> JobSpec {
    let size = Size { cpu_milli: 5_000, memory_mb: 500, accelerators: 0 };
    let step = Step { count: 1, size, ..Step::default() };
    let second = Step { after: vec![0], ..step.clone() };
    JobSpec { payload: "short".into(), steps: vec![step, second], schedule: None }
}

fn fate(tries: &[Try], state: &str) -> Fate {
    Fate {
        spec: spec(),
        queue: site::queue("payroll-runs", "payroll"),
        tries: tries.to_vec(),
        cancelled_ms: None,
        cancelling: false,
        state: Some(state.to_owned()),
        was_failed: false,
    }
}

/// A lasting job of one task.
fn lasting_fate(state: &str) -> Fate {
    let mut fate = fate(&[Try::Accepted], state);
    fate.spec.payload = LASTING_TEXT.into();
    fate.spec.steps.truncate(1);
    fate.spec.steps[0].lasting = true;
    fate
}

fn lasting_run(ended: Option<(u64, Option<EndKind>)>) -> RunRecord {
    let text = LASTING_TEXT.into();
    RunRecord { text, ended, acknowledged_ms: None, ..run(0, 1, "e1", 100, 200) }
}

fn idle(fate: Fate, runs: &[RunRecord]) -> Vec<String> {
    let fates = BTreeMap::from([(JobName::from(JOB), fate)]);
    promises::idle_lasting(&Seen { fates: &fates, runs })
}

fn task(step: u16) -> TaskKey {
    TaskKey { job: JobName::from(JOB), occurrence: 0, step, index: 0 }
}

fn run(step: u16, number: u32, executor: &str, from: u64, until: u64) -> RunRecord {
    RunRecord {
        executor: ExecutorName::from(executor),
        task: task(step),
        run: number,
        text: "short".into(),
        started_ms: from,
        ended: Some((until, Some(EndKind::Done))),
        acknowledged_ms: Some(until + 10),
    }
}

fn broken(fate: Fate, runs: &[RunRecord]) -> Vec<String> {
    let fates = BTreeMap::from([(JobName::from(JOB), fate)]);
    promises::broken(&Seen { fates: &fates, runs })
}

fn assert_noticed(broken: &[String], what: &str) {
    assert!(broken.iter().any(|text| text.contains(what)), "{broken:?}");
}

#[test]
fn a_job_done_in_order_breaks_nothing() {
    let runs = [run(0, 1, "e1", 100, 200), run(1, 1, "e1", 200, 300)];

    let broken = broken(fate(&[Try::Unknown, Try::Accepted], "completed"), &runs);

    assert_eq!(broken, Vec::<String>::new());
}

#[test]
fn two_runs_of_a_task_at_a_time_are_noticed() {
    let runs = [run(0, 1, "e1", 100, 200), run(0, 2, "e2", 150, 250), run(1, 1, "e1", 300, 400)];

    let broken = broken(fate(&[Try::Accepted], "completed"), &runs);

    assert_noticed(&broken, "runs twice at the same time");
}

#[test]
fn a_run_after_an_acknowledged_completion_is_noticed() {
    let runs = [run(0, 1, "e1", 100, 200), run(0, 2, "e2", 250, 300), run(1, 1, "e1", 300, 400)];

    let broken = broken(fate(&[Try::Accepted], "completed"), &runs);

    assert_noticed(&broken, "although it is done");
}

#[test]
fn a_run_before_the_step_ahead_of_it_is_done_is_noticed() {
    let runs = [run(0, 1, "e1", 100, 200), run(1, 1, "e2", 150, 300)];

    let broken = broken(fate(&[Try::Accepted], "completed"), &runs);

    assert_noticed(&broken, "starts before");
}

#[test]
fn a_run_of_a_job_that_was_refused_is_noticed() {
    let runs = [run(0, 1, "e1", 100, 200)];

    let broken = broken(fate(&[Try::Refused, Try::Refused], "unknown"), &runs);

    assert_noticed(&broken, "although its job was refused");
}

#[test]
fn a_run_that_nobody_asked_for_is_noticed() {
    let mut stray = run(0, 1, "e1", 100, 200);
    stray.task.job = JobName::from("00000000000000bb");

    let broken = broken(fate(&[Try::Refused], "unknown"), &[stray]);

    assert_noticed(&broken, "nobody handed it in");
}

#[test]
fn a_start_long_after_the_cancelling_is_noticed() {
    let cancelled = Fate { cancelled_ms: Some(1_000), ..fate(&[Try::Accepted], "cancelled") };
    let late = 1_001 + promises::LAST_START.as_millis() as u64;

    let broken = broken(cancelled, &[run(0, 1, "e1", late, late + 100)]);

    assert_noticed(&broken, "cancelled at");
}

#[test]
fn more_than_a_host_has_is_noticed() {
    let mut other = run(0, 1, "e1", 100, 200);
    other.task.index = 1;

    let broken = broken(fate(&[Try::Refused], "unknown"), &[run(0, 1, "e1", 150, 250), other]);

    assert_noticed(&broken, "thousandths of a core");
}

#[test]
fn an_accepted_job_that_is_lost_is_noticed() {
    let broken = broken(fate(&[Try::Accepted], "unknown"), &[]);

    assert_noticed(&broken, "was accepted and is shown as unknown");
}

#[test]
fn a_job_shown_as_completed_too_early_is_noticed() {
    let broken = broken(fate(&[Try::Accepted], "completed"), &[run(0, 1, "e1", 100, 200)]);

    assert_noticed(&broken, "is shown as completed and");
}

#[test]
fn a_lasting_job_that_runs_breaks_nothing() {
    let runs = [lasting_run(None)];

    let noticed =
        [broken(lasting_fate("in_progress"), &runs), idle(lasting_fate("in_progress"), &runs)];

    assert_eq!(noticed.concat(), Vec::<String>::new());
}

#[test]
fn a_lasting_job_that_was_shown_as_failed_once_is_noticed() {
    let fate = Fate { was_failed: true, ..lasting_fate("in_progress") };

    let broken = broken(fate, &[lasting_run(None)]);

    assert_noticed(&broken, "was shown as failed");
}

#[test]
fn a_lasting_job_that_is_cancelled_after_it_was_shown_as_failed_is_noticed() {
    let cancelled = Fate { cancelled_ms: Some(1_000), cancelling: true, ..lasting_fate("failed") };
    let fate = Fate { was_failed: true, ..cancelled };

    let broken = broken(fate, &[lasting_run(Some((200, Some(EndKind::Stopped))))]);

    assert_noticed(&broken, "was shown as failed");
}

#[test]
fn a_lasting_task_that_does_not_run_again_is_noticed() {
    let idle = idle(lasting_fate("in_progress"), &[lasting_run(Some((200, None)))]);

    assert_noticed(&idle, "lasts and does not run");
}
