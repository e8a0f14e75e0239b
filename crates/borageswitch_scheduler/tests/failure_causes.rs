//! The log line on the end of a job that has failed.

mod support;

use borageswitch_scheduler::{
    effect::{Effect, LogLine},
    event::Event,
    executor::{EndKind, EndedRun},
    ledger::record::Record,
    reducer::{Limits, Scheduler},
    task::TaskKey,
};
use support::{
    fixtures::config,
    session::{Session, done, key, lasting, step},
};

/// Settles, and returns the log lines on ends of jobs.
fn ends_of_jobs(session: &mut Session) -> Vec<LogLine> {
    let lines = session.settle_with_log().into_iter().filter_map(|effect| match effect {
        Effect::Log(line) => Some(line),
        _ => None,
    });
    lines.filter(|line| line.kind == "job-ended").collect()
}

#[test]
fn the_end_of_a_job_without_attempts_names_the_task_and_its_failures() {
    // An operator who has only this line must see whether attempts or crashes ended the job.
    let mut session = Session::new(&["e1"]);
    session.submit("j", vec![lasting(1), step(2)]);
    session.store_and_start();
    let task = TaskKey { step: 1, ..key("j", 1) };
    for run in 1..=3 {
        let failed = EndedRun { run, how: EndKind::Failed, ..done(u64::from(run), &task) };
        session.report("e1", &[], &[failed], 0);
    }

    let lines = ends_of_jobs(&mut session);

    assert_eq!(lines.len(), 1, "{lines:?}");
    let cause = "outcome=failed cause=attempts task=j.0.1.1 failures=3 of 3 took_ms=";
    assert!(lines[0].detail.contains(cause), "{}", lines[0].detail);
}

#[test]
fn the_end_of_a_job_that_is_given_up_names_the_task_that_crashes_executors() {
    // An operator who has only this line must see whether attempts or crashes ended the job.
    let mut session = Session::new(&["e1"]);
    session.submit("j", vec![lasting(1)]);
    let mut ledger = session.scheduler.ledger().clone();
    ledger.apply(&Record::GivenUp { task: key("j", 0) });
    let (limits, config) = (Limits::default(), config(true));
    session.scheduler = Scheduler::recover(limits, session.moment(), ledger, 1, config, Vec::new());

    let lines = ends_of_jobs(&mut session);

    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].detail.contains("cause=crashes task=j.0.0.0"), "{}", lines[0].detail);
}

#[test]
fn the_end_of_a_job_that_has_not_failed_has_no_cause() {
    // Guards against a cause that is taken for a failure.
    let mut session = Session::new(&["e1"]);
    session.submit("j", vec![step(1)]);
    session.handle(Event::Cancelled(key("j", 0).job));

    let lines = ends_of_jobs(&mut session);

    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(!lines[0].detail.contains("cause="), "{}", lines[0].detail);
}
