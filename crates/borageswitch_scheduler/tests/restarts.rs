//! Executors that restart under their registered names.

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

fn incarnation_of(number: u64) -> ExecutorName {
    incarnation::name("e1", Some(UnixMillis(number)))
}

fn registered(number: u64) -> Registration {
    registration(incarnation_of(number).as_str())
}

/// A leader with one executor in its first incarnation, which runs two tasks.
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

/// Whether the leader assumes that an incarnation runs a task, or may run it.
fn holds(session: &Session, incarnation: &ExecutorName, task: &TaskKey) -> bool {
    let mut known = session.scheduler.executors();
    known.any(|known| known.registration.executor == *incarnation && known.runs.contains_key(task))
}

fn starts(effects: &[Effect]) -> Vec<&ExecutorName> {
    let starts = effects.iter().filter_map(|effect| match effect {
        Effect::Start(to, _) => Some(&to.executor),
        _ => None,
    });
    starts.collect()
}

/// Starts the runs that are ordered over the next 200 ms, and returns their executors.
fn started_executors(session: &mut Session) -> Vec<ExecutorName> {
    (0..4).flat_map(|_| session.store_and_start()).map(|(executor, _)| executor).collect()
}

#[test]
fn runs_of_an_earlier_incarnation_are_restarted() {
    // The new incarnation does not know the runs, so the tasks would never end.
    let mut session = running();

    restart(&mut session);
    session.report("e1@2", &[], &[], 0);

    assert_eq!(started_executors(&mut session), vec![incarnation_of(2), incarnation_of(2)]);
}

#[test]
fn ends_of_a_new_incarnation_count_although_their_numbers_restart() {
    // Ends with numbers that the earlier incarnation had acknowledged must not be ignored, or their
    // jobs would never end.
    let mut session = running();
    let ended = [done(1, &key("j", 0)), done(2, &key("j", 1))];
    session.report("e1@1", &[], &ended, 0);
    session.store_and_start();
    session.submit("k", vec![step(1)]);
    session.store_and_start();

    restart(&mut session);
    session.report("e1@2", &[], &[], 0);
    started_executors(&mut session);
    let end = borageswitch_scheduler::executor::EndedRun { run: 2, ..done(1, &key("k", 0)) };
    session.report("e1@2", &[], &[end], 0);
    session.store_and_start();

    let status = session.scheduler.status(&support::fixtures::queue().name, &"k".into());
    assert!(status.is_some_and(|status| status.has_ended()), "k has not ended");
}

#[test]
fn a_start_on_a_new_incarnation_is_not_repeated_elsewhere() {
    // The executor restarts between two orders, and its new incarnation accepts a start that was
    // meant for the old one. If the run were assumed lost with the old one, the task would run twice.
    let mut session = Session::new(&["e1@1", "e2"]);
    session.now += 60_000;
    session.report("e1@1", &[], &[], 0);
    session.submit("j", vec![step(16)]);
    let effects = session.advance(50);
    for effect in effects {
        if let Effect::Append { append, .. } = effect {
            session.handle(Event::Appended { append });
        }
    }
    for effect in session.settle() {
        if let Effect::Start(to, order) = effect {
            let clock_ms = if to.executor == incarnation_of(1) { 300 } else { session.now };
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
    let on_new_incarnation: Vec<ActiveRun> = (0..16)
        .map(|index| key("j", index))
        .filter(|task| holds(&session, &incarnation_of(2), task))
        .map(|task| active(&task))
        .collect();
    session.report("e1@2", &on_new_incarnation, &[], 0);

    assert_eq!(on_new_incarnation.len(), 8);
    assert!(started_executors(&mut session).is_empty());
}

#[test]
fn a_start_without_a_response_is_stopped_on_the_new_incarnation() {
    // The first start may yet be carried out under the same name, so a second one would run the task
    // twice.
    let mut session = Session::new(&["e1@1"]);
    session.submit("j", vec![step(1)]);
    for effect in session.advance(50) {
        if let Effect::Append { append, .. } = effect {
            session.handle(Event::Appended { append });
        }
    }
    assert_eq!(starts(&session.settle()).len(), 1);

    session.poll_answered("e1@1", PollResponse::OtherIncarnation, 0);
    restart(&mut session);
    let before_the_poll = started_executors(&mut session);
    session.report("e1@2", &[], &[], 0);
    let effects = session.advance(50);

    assert!(before_the_poll.is_empty());
    assert!(effects.iter().any(|effect| matches!(effect, Effect::Stop(..))), "{effects:?}");
}

#[test]
fn a_host_whose_executor_has_restarted_is_drained_before_maintenance() {
    // An order for the host must not end tasks of an incarnation that the leader overlooked.
    let mut session = running();
    session.list_hosts(vec![host("h1", "e1")]);
    restart(&mut session);
    session.report("e1@2", &[], &[], 0);
    started_executors(&mut session);

    session.handle(Event::WaveRequested(borageswitch_scheduler::fleet::WaveRequest {
        wave: 1,
        hosts: vec!["h1".into()],
        allowed: std::time::Duration::from_secs(20),
        max_down: 1,
    }));
    let effects: Vec<Effect> = (0..10).flat_map(|_| session.advance(100)).collect();

    assert!(!effects.iter().any(|effect| matches!(effect, Effect::OrderHost(..))), "{effects:?}");
}

#[test]
fn a_registration_without_a_start_time_is_ignored() {
    // Another program overwrites the registration of an executor that reports its start time. If
    // this were taken for a new incarnation, the runs there would be assumed ended and run twice.
    let mut session = running();

    session.handle(Event::RegistrationChanged(RegistrationChange::Present(registration("e1"))));
    session.settle();

    assert!(started_executors(&mut session).is_empty());
    assert!(holds(&session, &incarnation_of(1), &key("j", 0)));
}

#[test]
fn a_new_leader_restarts_tasks_of_an_ended_incarnation() {
    // The old incarnation has certainly ended, so its tasks need not wait for its lease to expire.
    let mut first = Session::new(&["e1@1"]);
    first.submit("j", vec![step(1)]);
    first.store_and_start();

    let mut next = Session::with_ledger(&["e1@2"], first.scheduler.ledger().clone());

    assert_eq!(started_executors(&mut next), vec![incarnation_of(2)]);
}

#[test]
fn an_ended_incarnation_is_forgotten() {
    let mut session = running();
    session.list_hosts(vec![host("h1", "e1")]);
    session.advance(2_000);
    let down = HostEntry { state: HostState::Down, executor: None, ..host("h1", "e1") };
    session.list_hosts(vec![down]);
    session.settle();

    session.list_hosts(vec![host("h1", "e1")]);
    restart(&mut session);

    let known = session.scheduler.executors().map(|known| known.registration.executor.clone());
    assert_eq!(known.collect::<Vec<_>>(), vec![incarnation_of(2)]);
}
