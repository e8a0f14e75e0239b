//! The log line on the end of a job that has failed.

mod support;

use borageswitch_scheduler::{
    effect::{Effect, LogLine},
    event::Event,
    executor::{EndKind, EndedRun},
    job::Step,
    ledger::{
        Ledger,
        crashes::{Crash, Suspicion},
        record::Record,
    },
    reducer::{Limits, Scheduler, explain::Subject},
    task::TaskKey,
};
use borageswitch_types::{names::ExecutorName, time::UnixMillis};
use support::{
    fixtures::config,
    session::{Session, done, key, lasting, registration, step},
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

/// A leader that takes over with a ledger, as append 40.
fn take_over(session: &mut Session, ledger: Ledger) {
    let (limits, config) = (Limits::default(), config(true));
    let executors = vec![registration("e1")];
    session.scheduler = Scheduler::recover(limits, session.moment(), ledger, 40, config, executors);
}

fn fail(session: &mut Session, run: u32, task: &TaskKey) {
    let failed = EndedRun { run, how: EndKind::Failed, ..done(u64::from(run), task) };
    session.report("e1", &[], &[failed], 0);
}

#[test]
fn the_end_of_a_job_without_attempts_names_each_end_with_the_leader_that_counted_it() {
    // Guards against a job that is shown as failed and of which nobody can tell afterwards whether
    // one end was counted twice: the lines of the leader before are gone with its log.
    let mut session = Session::new(&["e1"]);
    session.submit("j", vec![step(1)]);
    session.store_and_start();
    let task = key("j", 0);
    fail(&mut session, 1, &task);
    let ledger = session.scheduler.ledger().clone();
    take_over(&mut session, ledger);
    fail(&mut session, 2, &task);
    fail(&mut session, 3, &task);

    let lines = ends_of_jobs(&mut session);

    assert_eq!(lines.len(), 1, "{lines:?}");
    let ends = "ends_unknown=0 ends=[run 1 on e1 end 1 term 1; run 2 on e1 end 2 term 40; \
                run 3 on e1 end 3 term 40] left_out=0";
    assert!(lines[0].detail.ends_with(ends), "{}", lines[0].detail);
}

#[test]
fn an_operator_can_ask_for_the_ends_that_count() {
    // Guards against a task with failures of which nobody can say where they happened.
    let mut session = Session::new(&["e1"]);
    session.submit("j", vec![step(1)]);
    session.store_and_start();
    fail(&mut session, 1, &key("j", 0));

    let lines = session.scheduler.explain(session.moment(), &Subject::Job(key("j", 0).job));

    let wanted = "step 0: task 0 has failed: run 1 on e1 end 1 term 1";
    assert!(lines.iter().any(|line| line == wanted), "{lines:?}");
}

#[test]
fn the_ends_of_a_gang_are_named_whichever_member_failed() {
    // Guards against a gang that is shown as failed without the ends of the members that failed.
    let mut session = Session::new(&["e1"]);
    session.submit("j", vec![Step { gang: true, ..step(2) }]);
    session.store_and_start();
    fail(&mut session, 1, &key("j", 1));
    fail(&mut session, 2, &key("j", 0));
    fail(&mut session, 3, &key("j", 1));

    let lines = ends_of_jobs(&mut session);

    assert_eq!(lines.len(), 1, "{lines:?}");
    let detail = &lines[0].detail;
    let ends = ["run 1 on e1 end 1", "run 2 on e1 end 2", "run 3 on e1 end 3"];
    assert!(ends.iter().all(|end| detail.contains(end)), "{detail}");
    assert!(detail.contains("ends_unknown=0"), "{detail}");
}

#[test]
fn the_end_of_a_job_that_is_given_up_names_the_crashes_and_is_bounded() {
    // Guards against a verdict of which only the leader's earlier lines tell the evidence, and
    // against a line that the log cuts.
    let mut session = Session::new(&["e1"]);
    session.submit("j", vec![lasting(1)]);
    let mut ledger = session.scheduler.ledger().clone();
    for number in 1..=32 {
        let executor = ExecutorName::from(format!("executor-with-a-rather-long-name-{number}"));
        let (at, age_ms) = (UnixMillis(1_700_000_000_000), 500 + u64::from(number));
        let crash = Crash { executor, at, run: number, age_ms, lived_ms: 20, evidence: 700 };
        let suspicions = vec![Suspicion { task: key("j", 0), crash }];
        ledger.apply(&Record::Crashed { suspicions });
    }
    ledger.apply(&Record::GivenUp { task: key("j", 0) });
    take_over(&mut session, ledger);

    let lines = ends_of_jobs(&mut session);

    assert_eq!(lines.len(), 1, "{lines:?}");
    let detail = &lines[0].detail;
    let first = "crashes=[run 1 on executor-with-a-rather-long-name-1 at 1700000000000 age_ms 501 \
                 lived_ms 20 evidence 700; run 2 ";
    assert!(detail.contains(first), "{detail}");
    assert!(detail.len() < 1_800, "{}", detail.len());
    assert!(!detail.ends_with("left_out=0"), "{detail}");
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
