//! Admission limits and the leader's decisions on jobs that a daemon would refuse.

mod support;

use std::{sync::Arc, time::Duration};

use borageswitch_scheduler::{
    config::{Caller, Config, Queue},
    event::Event,
    job::{Size, Step},
    ledger::Ledger,
    policy::admission::{AdmissionLimits, AdmissionQuery, Decision, RefusalReason},
};
use borageswitch_types::names::{CallerName, JobName};
use support::{
    fixtures::{config, config_with, queue},
    session::{Session, step},
};

const TOKEN: u64 = 7;

fn limits(session: &mut Session) -> Option<Arc<AdmissionLimits>> {
    let moment = session.moment();
    session.scheduler.admission_limits(moment, TOKEN)
}

/// A query for a job of ten tasks of half a second.
fn query(job: &str) -> AdmissionQuery {
    AdmissionQuery {
        job: JobName::from(job),
        queue: queue().name,
        caller: None,
        chain: Duration::from_millis(500),
        core_seconds: 5.0,
        patience: Some(Duration::from_secs(60)),
    }
}

fn decide(session: &mut Session, query: &AdmissionQuery) -> Decision {
    let moment = session.moment();
    session.scheduler.decide_admission(moment, query)
}

/// Asks for a job that is refused, and returns when it may return.
fn refused(session: &mut Session, job: &str) -> Duration {
    match decide(session, &query(job)) {
        Decision::Refuse { retry_after: Some(after), reason: RefusalReason::NoUse } => after,
        other => panic!("{job}: {other:?}"),
    }
}

/// A pool of eight cores that is sent `jobs` jobs of ten tasks at once.
fn overloaded(config: Arc<Config>, jobs: usize) -> Session {
    let mut session = Session::with_config(&["e1"], Ledger::default(), config);
    for number in 0..jobs {
        session.submit(&format!("j{number}"), vec![step(10)]);
    }
    session.store_and_start();
    session.advance(100);
    session
}

#[test]
fn without_waiting_work_there_are_no_limits() {
    let mut session = Session::new(&["e1"]);
    session.submit("j", vec![step(8)]);
    session.store_and_start();
    session.advance(200);

    assert_eq!(limits(&mut session), None);
    assert_eq!(decide(&mut session, &query("new")), Decision::Admit);
}

#[test]
fn limits_carry_the_token_and_a_rising_sequence() {
    // Daemons ignore limits of earlier leaders, and older ones of the same leader.
    let mut session = overloaded(config(true), 3);

    let first = limits(&mut session).unwrap();
    let cached = limits(&mut session).unwrap();
    session.advance(100);
    let second = limits(&mut session).unwrap();
    let moment = session.moment();
    let next_term = session.scheduler.admission_limits(moment, TOKEN + 1).unwrap();

    assert!(Arc::ptr_eq(&first, &cached));
    assert_eq!((first.token, next_term.token), (TOKEN, TOKEN + 1));
    assert!(first.sequence < second.sequence && second.sequence < next_term.sequence);
    let limit = &first.queues[&queue().name];
    assert!(limit.wait >= Duration::from_millis(500) && limit.wait <= limit.wait_beyond);
}

#[test]
fn a_job_that_returns_early_is_told_the_same_time() {
    // Whoever retries more often must not be served earlier.
    let mut session = overloaded(config(true), 3);
    let first = refused(&mut session, "a");
    session.advance(300);

    let Decision::Refuse { retry_after, .. } = decide(&mut session, &query("a")) else {
        panic!("admitted before its turn")
    };

    let left = first - Duration::from_millis(300);
    assert_eq!(retry_after, Some(Duration::from_secs(left.as_secs() + 1)));
}

#[test]
fn another_id_gets_a_later_turn() {
    // Submitting a refused job under many ids must not gain anything.
    let mut session = overloaded(config(true), 3);
    let first = refused(&mut session, "a");

    let second = refused(&mut session, "b");

    assert!(second > first, "{second:?} after {first:?}");
    assert_eq!(refused(&mut session, "a"), first);
}

#[test]
fn tasks_that_wait_for_a_label_do_not_keep_others_out() {
    // Many tasks wait for a label that no host has, beside an idle pool.
    let mut session = Session::new(&["e1"]);
    for number in 0..50 {
        let labelled = Step { label: Some("rare".into()), ..step(10) };
        session.submit(&format!("j{number}"), vec![labelled]);
    }
    session.advance(200);

    assert_eq!(limits(&mut session), None);
}

#[test]
fn tasks_that_wait_for_a_quota_do_not_keep_others_out() {
    // One caller has used up its quota and submits far more. Its tasks are not ahead of anybody.
    let mut with_caller = Config::clone(&config(true));
    let name = CallerName::from("hot");
    let quota = Size { cpu_milli: 8_000, ..Size::default() };
    with_caller.callers.insert(name.clone(), Caller { name, weight: 1_000.0, quota });
    let mut session = Session::with_config(&["e1"], Ledger::default(), Arc::new(with_caller));
    for number in 0..50 {
        session.submit_as("hot", &format!("j{number}"), vec![step(10)]);
    }
    session.store_and_start();
    session.advance(200);

    assert_eq!(decide(&mut session, &query("new")), Decision::Admit);
}

#[test]
fn a_pool_without_known_hosts_refuses_nothing() {
    // A leader that has not heard of its executors knows nothing about the time to wait.
    let mut session = Session::new(&[]);
    for number in 0..50 {
        session.submit(&format!("j{number}"), vec![step(10)]);
    }
    session.advance(200);

    assert_eq!(limits(&mut session), None);
    assert_eq!(decide(&mut session, &query("new")), Decision::Admit);
}

#[test]
fn a_change_of_the_configuration_counts_at_the_next_computation() {
    // An operator gives the jobs of a queue more time during an overload.
    let mut session = overloaded(config(true), 3);
    refused(&mut session, "a");
    let patient = Queue { allowance: Duration::from_secs(60), ..queue() };
    let event = Event::Configured(config_with(patient, true));

    session.handle(event);
    session.advance(200);

    assert_eq!(decide(&mut session, &query("b")), Decision::Admit);
}

#[test]
fn a_successor_decides_by_its_own_backlog() {
    // Reservations are lost with the leader; limits must not be.
    let mut session = overloaded(config(true), 40);
    assert_ne!(decide(&mut session, &query("a")), Decision::Admit);
    let ledger = session.scheduler.ledger().clone();

    let mut successor = Session::with_config(&["e1"], ledger, config(true));
    successor.advance(200);

    assert!(limits(&mut successor).is_some());
    assert_ne!(decide(&mut successor, &query("a")), Decision::Admit);
}
