//! What a new leader holds against tasks whose executors end around its takeover.

mod support;

use borageswitch_scheduler::{
    effect::Effect,
    event::{Event, RegistrationChange},
    job::{JobSpec, Step, Submission},
    ledger::{Ledger, record::Record},
};
use borageswitch_types::{
    names::{ExecutorName, JobName},
    time::UnixMillis,
};
use support::{
    fixtures::queue,
    session::{Session, host, key, step},
};

/// The number of crashes at the start of a task that gives its job up.
const CRASH_LIMIT: u32 = 5;

/// A ledger with a lasting job of a number of tasks that have not started.
fn ledger_with_lasting_job(tasks: u32) -> Ledger {
    let mut ledger = Ledger::default();
    ledger.submit(std::sync::Arc::new(Submission {
        job: JobName::from("j"),
        queue: queue(),
        accepted: UnixMillis(1),
        spec: JobSpec {
            payload: "text".into(),
            steps: vec![Step { lasting: true, ..step(tasks) }],
            schedule: None,
        },
        caller: None,
    }));
    ledger
}

fn assign(ledger: &mut Ledger, run: u32, executor: &str) {
    let executor = ExecutorName::from(executor);
    ledger.apply(&Record::Assigned { task: key("j", 0), run, executor });
}

/// Lets a leader run for some seconds, with a list of hosts that names only `e0`, and returns what
/// it has stored.
fn records_of_term(session: &mut Session) -> Vec<Record> {
    let mut stored = Vec::new();
    for _ in 0..200 {
        for effect in session.advance(50) {
            match effect {
                Effect::Append { append, records, .. } => {
                    stored.extend(records);
                    session.handle(Event::Appended { append });
                }
                Effect::ListHosts { .. } => session.list_hosts(vec![host("h0", "e0")]),
                _ => {}
            }
        }
    }
    stored
}

fn is_given_up(ledger: &Ledger) -> bool {
    ledger.given_up.contains_key(&JobName::from("j"))
}

#[test]
fn runs_of_earlier_leaders_that_are_lost_at_takeovers_give_no_job_up() {
    // Guards against assuming that a run which an earlier leader started has just begun.
    let mut ledger = ledger_with_lasting_job(1);
    for run in 1..=CRASH_LIMIT + 1 {
        let lost = format!("e{run}");
        assign(&mut ledger, run, &lost);
        let mut session = Session::without_reports(&[], ledger.clone());

        records_of_term(&mut session).iter().for_each(|record| ledger.apply(record));
    }

    assert!(!is_given_up(&ledger), "{:?}", ledger.given_up);
}

#[test]
fn registered_executors_that_are_lost_at_takeovers_give_no_job_up() {
    // Guards against taking the registration of an executor that has ended for proof of a crash.
    let mut ledger = ledger_with_lasting_job(1);
    for run in 1..=CRASH_LIMIT + 1 {
        let lost = format!("e{run}");
        assign(&mut ledger, run, &lost);
        let mut session = Session::without_reports(&[&lost], ledger.clone());
        session.now += 3_000;
        session.settle();
        let gone = RegistrationChange::Unregistered(ExecutorName::from(&*lost));
        session.handle(Event::RegistrationChanged(gone));

        records_of_term(&mut session).iter().for_each(|record| ledger.apply(record));
    }

    assert!(!is_given_up(&ledger), "{:?}", ledger.given_up);
}
