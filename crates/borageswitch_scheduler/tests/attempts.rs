//! Counting of the runs of a task that have failed.

mod support;

use borageswitch_scheduler::{
    effect::Effect,
    event::{Event, RegistrationChange},
    executor::{EndKind, EndedRun},
    ledger::{Ledger, record::Record},
    task::TaskKey,
};
use borageswitch_types::names::ExecutorName;
use support::session::{Session, acknowledgements, done, key, registration, step};

fn failed(number: u64, run: u32, task: &TaskKey) -> EndedRun {
    EndedRun { run, how: EndKind::Failed, ..done(number, task) }
}

fn failures(session: &Session, task: &TaskKey) -> u16 {
    session.scheduler.ledger().task(task).unwrap().failures
}

/// What the next leader knows after the first run of a task has failed on `e1`, if the end is stored
/// but not acknowledged.
fn ledger_with_failure(task: &TaskKey) -> Ledger {
    let mut session = Session::without_reports(&[], Ledger::default());
    session.submit(task.job.as_str(), vec![step(1)]);
    let mut ledger = session.scheduler.ledger().clone();
    let executor = ExecutorName::from("e1");
    let assigned = Record::Assigned { task: task.clone(), run: 1, executor: executor.clone() };
    let (kind, checkpoint) = (EndKind::Failed, None);
    let ended = Record::Ended { executor, number: 1, task: task.clone(), run: 1, kind, checkpoint };
    [assigned, ended].iter().for_each(|record| ledger.apply(record));
    ledger
}

fn register(session: &mut Session, executor: &str) {
    let change = RegistrationChange::Present(registration(executor));
    session.handle(Event::RegistrationChanged(change));
}

fn unregister(session: &mut Session, executor: &str) {
    let change = RegistrationChange::Unregistered(ExecutorName::from(executor));
    session.handle(Event::RegistrationChanged(change));
}

/// Lets two seconds pass, in which each append is stored.
fn run_two_seconds(session: &mut Session) -> Vec<Effect> {
    let mut effects = Vec::new();
    for _ in 0..40 {
        for effect in session.advance(50) {
            if let Effect::Append { append, .. } = effect {
                session.handle(Event::Appended { append });
            }
            effects.push(effect);
        }
    }
    effects
}

#[test]
fn a_failure_counts_once_if_its_executor_is_registered_twice_after_a_takeover() {
    // Guards against a leader that forgets the processed ends of an executor which has not answered
    // it yet, and counts the same end again when the executor is back.
    let task = key("j", 0);
    let mut session = Session::without_reports(&[], ledger_with_failure(&task));
    register(&mut session, "e1");
    session.settle();
    unregister(&mut session, "e1");
    run_two_seconds(&mut session);

    register(&mut session, "e1");
    session.report("e1", &[], &[failed(1, 1, &task)], 0);

    assert_eq!(failures(&session, &task), 1);
}

#[test]
fn an_end_that_an_earlier_leader_stored_is_acknowledged_to_an_executor_that_registers_later() {
    // Guards against an end that is listed for ever: a full list of such ends hides all later ones.
    let task = key("j", 0);
    let mut session = Session::without_reports(&[], ledger_with_failure(&task));
    register(&mut session, "e1");
    session.settle();
    session.report("e1", &[], &[failed(1, 1, &task)], 0);

    let effects = run_two_seconds(&mut session);

    assert!(acknowledgements(&effects).contains(&1), "{effects:?}");
}
