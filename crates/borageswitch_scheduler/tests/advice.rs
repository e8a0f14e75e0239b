//! Steps that may run only on executors that an advisor permits.

mod support;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use borageswitch_scheduler::{
    config::{AdvisorTimes, Queue},
    effect::Effect,
    event::Event,
    job::Step,
    ledger::Ledger,
};
use borageswitch_types::{Time, names::ExecutorName};
use support::{
    fixtures::{config_with, cores, queue},
    session::{Session, active, key, lasting, step, stop_count},
};

/// The largest number of executors in one request to the advisor.
const MAX_CANDIDATES: usize = 100;

fn advised_queue() -> Queue {
    let advisor = AdvisorTimes {
        decision: Duration::from_millis(20),
        per_host: Duration::from_millis(1),
        validity: Duration::from_secs(2),
    };
    Queue { advisor: Some(advisor), ..queue() }
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("e{number:02}")).collect()
}

fn session(executors: &[String]) -> Session {
    let executors: Vec<&str> = executors.iter().map(String::as_str).collect();
    Session::with_config(&executors, Ledger::default(), config_with(advised_queue(), true))
}

/// Runs the session for a second with an advisor that permits only the given executors. Returns the
/// executors and tickets of all starts.
fn run_with_advisor(
    session: &mut Session,
    allowed: &[&str],
) -> Vec<(ExecutorName, Option<Arc<str>>)> {
    let mut started = Vec::new();
    for _ in 0..20 {
        for effect in session.advance(50) {
            match effect {
                Effect::RequestAdvice(step, candidates) => {
                    assert!(candidates.len() <= MAX_CANDIDATES);
                    let permitted = candidates.iter().filter(|e| allowed.contains(&e.as_str()));
                    let permitted = permitted.map(|e| (e.clone(), Arc::from(format!("for {e}"))));
                    let permitted = Some(permitted.collect());
                    let sent = Time::from_millis(session.now);
                    session.handle(Event::AdviceReceived { step, sent, candidates, permitted });
                }
                Effect::Append { append, .. } => session.handle(Event::Appended { append }),
                Effect::Start(to, order) => started.push((to.executor, order.ticket)),
                _ => {}
            }
        }
    }
    started
}

#[test]
fn a_task_starts_only_where_it_is_permitted_and_carries_its_ticket() {
    let executors = names(3);
    let mut session = session(&executors);
    session.submit("j", vec![step(2)]);

    let started = run_with_advisor(&mut session, &["e01"]);

    let expected = (ExecutorName::from("e01"), Some(Arc::from("for e01")));
    assert_eq!(started, [expected.clone(), expected]);
}

/// A pool has more hosts than fit into one request. A step may have one task on a host, and its
/// first task uses the only permitted host of the first request. Without a request for the others
/// the second task would wait forever beside a permitted empty host.
#[test]
fn further_hosts_are_requested_when_the_permitted_ones_are_used_up() {
    let executors = names(45);
    let mut session = session(&executors);
    session.submit("j", vec![Step { max_per_host: Some(1), ..step(2) }]);

    let started = run_with_advisor(&mut session, &["e00", "e44"]);

    let at: BTreeMap<&str, usize> = started.iter().map(|(e, _)| (e.as_str(), 1)).collect();
    assert_eq!(at.len(), 2, "{started:?}");
}

/// Each member of a gang needs its own host, and the first request yields only one permitted host.
/// Without further requests the gang would never be placed.
#[test]
fn advice_is_requested_until_all_members_of_a_gang_have_a_host() {
    let executors = names(45);
    let mut session = session(&executors);
    let gang = Step { gang: true, max_per_host: Some(1), ..step(2) };
    session.submit("j", vec![gang]);

    let started = run_with_advisor(&mut session, &["e00", "e44"]);

    assert_eq!(started.len(), 2, "{started:?}");
}

/// All hosts are full of short tasks when a lasting task arrives that has no permission for any of
/// them yet. Evictions from a host where it may not run would repeatedly waste the work of other
/// callers without any benefit.
#[test]
fn nothing_is_evicted_from_hosts_where_a_lasting_task_may_not_run() {
    let executors = names(2);
    let mut session = session(&executors);
    session.submit("j", vec![Step { size: cores(8), ..step(2) }]);
    assert_eq!(run_with_advisor(&mut session, &["e00", "e01"]).len(), 2);
    for (index, executor) in executors.iter().enumerate() {
        session.report(executor, &[active(&key("j", index as u32))], &[], 0);
    }

    session.submit("l", vec![lasting(1)]);
    let mut effects = Vec::new();
    for _ in 0..5 {
        effects.extend(session.advance(50));
    }

    assert_eq!(stop_count(&effects), 0, "{effects:?}");
}
