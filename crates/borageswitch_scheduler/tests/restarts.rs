//! Executors that start again under the names that they are registered by.

mod support;

use borageswitch_scheduler::{
    effect::Effect,
    event::{Event, PollResponse, RegistrationChange, StartResponse},
    executor::{ActiveRun, Registration},
    fleet::{HostEntry, HostState},
    incarnation,
    task::TaskKey,
};
use borageswitch_types::{Time, names::ExecutorName, time::UnixMillis};
use support::session::{Session, active, done, host, key, registration, step};

fn life_of(number: u64) -> ExecutorName {
    incarnation::name("e1", Some(UnixMillis(number)))
}

fn registered(number: u64) -> Registration {
    registration(life_of(number).as_str())
}

/// A leader with one executor in its first life, which runs two tasks.
fn running() -> Session {
    let mut session = Session::new(&["e1@1"]);
    session.submit("j", vec![step(2)]);
    session.store_and_start();
    session.report("e1@1", &[active(&key("j", 0)), active(&key("j", 1))], &[], 0);
    session.settle();
    session
}

fn restart(session: &mut Session) {
    session.handle(Event::RegistrationChanged(RegistrationChange::Present(registered(2))));
    session.settle();
}

/// Whether a task is believed to be on a life, or may be.
fn holds(session: &Session, life: &ExecutorName, task: &TaskKey) -> bool {
    let mut known = session.scheduler.executors();
    known.any(|known| known.registration.executor == *life && known.runs.contains_key(task))
}

fn starts(effects: &[Effect]) -> Vec<&ExecutorName> {
    let starts = effects.iter().filter_map(|effect| match effect {
        Effect::Start(to, _) => Some(&to.executor),
        _ => None,
    });
    starts.collect()
}

/// Starts whatever is ordered over the next moments, and says where.
fn started_again(session: &mut Session) -> Vec<ExecutorName> {
    (0..4).flat_map(|_| session.store_and_start()).map(|(executor, _)| executor).collect()
}

#[test]
fn what_an_earlier_life_ran_is_started_again() {
    // Guards against tasks that are believed to run on an executor that has forgotten them.
    let mut session = running();

    restart(&mut session);
    session.report("e1@2", &[], &[], 0);

    assert_eq!(started_again(&mut session), vec![life_of(2), life_of(2)]);
}

#[test]
fn ends_of_a_later_life_count_though_their_numbers_begin_anew() {
    // Guards against jobs that never end, as their ends bear numbers that were acknowledged before.
    let mut session = running();
    let ended = [done(1, &key("j", 0)), done(2, &key("j", 1))];
    session.report("e1@1", &[], &ended, 0);
    session.store_and_start();
    session.submit("k", vec![step(1)]);
    session.store_and_start();

    restart(&mut session);
    session.report("e1@2", &[], &[], 0);
    started_again(&mut session);
    let end = borageswitch_scheduler::executor::EndedRun { run: 2, ..done(1, &key("k", 0)) };
    session.report("e1@2", &[], &[end], 0);
    session.store_and_start();

    let status = session.scheduler.status(&support::fixtures::queue().name, &"k".into());
    assert!(status.is_some_and(|status| status.has_ended()), "k has not ended");
}

#[test]
fn a_start_that_met_a_later_life_is_not_repeated_elsewhere() {
    // The executor starts again between two orders, and its new life answers a start that was meant
    // for the old one. Taken for lost with the old life, the task would run twice.
    let mut session = Session::new(&["e1@1", "e2"]);
    session.now += 60_000;
    session.report("e1@1", &[], &[], 0);
    session.submit("j", vec![step(16)]);
    let effects = session.pass(50);
    for effect in effects {
        if let Effect::Append { append, .. } = effect {
            session.handle(Event::Appended { append });
        }
    }
    for effect in session.settle() {
        if let Effect::Start(to, order) = effect {
            let clock_ms = if to.executor == life_of(1) { 300 } else { session.now };
            session.handle(Event::StartAnswered {
                executor: to.executor,
                task: order.task,
                run: order.run,
                sent: Time::from_millis(session.now),
                clock_ms: Some(clock_ms),
                response: StartResponse::Started,
            });
        }
    }

    restart(&mut session);
    let on_new_life: Vec<ActiveRun> = (0..16)
        .map(|index| key("j", index))
        .filter(|task| holds(&session, &life_of(2), task))
        .map(|task| active(&task))
        .collect();
    session.report("e1@2", &on_new_life, &[], 0);

    assert_eq!(on_new_life.len(), 8);
    assert!(started_again(&mut session).is_empty());
}

#[test]
fn a_start_without_an_answer_is_looked_for_on_the_later_life() {
    // Guards against a second start while the first one may yet be carried out under the same name.
    let mut session = Session::new(&["e1@1"]);
    session.submit("j", vec![step(1)]);
    for effect in session.pass(50) {
        if let Effect::Append { append, .. } = effect {
            session.handle(Event::Appended { append });
        }
    }
    assert_eq!(starts(&session.settle()).len(), 1);

    session.look_answered("e1@1", PollResponse::OtherIncarnation, 0);
    restart(&mut session);
    let before_the_look = started_again(&mut session);
    session.report("e1@2", &[], &[], 0);
    let effects = session.pass(50);

    assert!(before_the_look.is_empty());
    assert!(effects.iter().any(|effect| matches!(effect, Effect::Stop(..))), "{effects:?}");
}

#[test]
fn a_host_whose_executor_has_started_again_is_emptied_before_it_is_ordered_away() {
    // Guards against an order for a host that ends the tasks of a life which was not known.
    let mut session = running();
    session.handle(Event::HostsListed(Some(vec![host("h1", "e1")])));
    restart(&mut session);
    session.report("e1@2", &[], &[], 0);
    started_again(&mut session);

    session.handle(Event::WaveRequested(borageswitch_scheduler::fleet::WaveRequest {
        wave: 1,
        hosts: vec!["h1".into()],
        allowed: std::time::Duration::from_secs(20),
        max_down: 1,
    }));
    let effects: Vec<Effect> = (0..10).flat_map(|_| session.pass(100)).collect();

    assert!(!effects.iter().any(|effect| matches!(effect, Effect::OrderHost(..))), "{effects:?}");
}

#[test]
fn an_entry_without_a_start_names_no_executor() {
    // Another program writes over the entry of an executor that tells its start. Taken for a life
    // of it, the entry would end whatever runs there, and have it run twice.
    let mut session = running();

    session.handle(Event::RegistrationChanged(RegistrationChange::Present(registration("e1"))));
    session.settle();

    assert!(started_again(&mut session).is_empty());
    assert!(holds(&session, &life_of(1), &key("j", 0)));
}

#[test]
fn a_new_leader_finds_what_ran_before_a_restart() {
    // Guards against tasks that wait for the lease of a life that is over for certain.
    let mut first = Session::new(&["e1@1"]);
    first.submit("j", vec![step(1)]);
    first.store_and_start();

    let mut next = Session::with_ledger(&["e1@2"], first.scheduler.ledger().clone());

    assert_eq!(started_again(&mut next), vec![life_of(2)]);
}

#[test]
fn a_life_that_is_over_is_not_kept() {
    let mut session = running();
    session.handle(Event::HostsListed(Some(vec![host("h1", "e1")])));
    session.pass(2_000);
    let down = HostEntry { state: HostState::Down, executor: None, ..host("h1", "e1") };
    session.handle(Event::HostsListed(Some(vec![down])));
    session.settle();

    session.handle(Event::HostsListed(Some(vec![host("h1", "e1")])));
    restart(&mut session);

    let known = session.scheduler.executors().map(|known| known.registration.executor.clone());
    assert_eq!(known.collect::<Vec<_>>(), vec![life_of(2)]);
}
