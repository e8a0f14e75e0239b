//! What a new leader assumes about runs that earlier leaders started.

mod support;

use borageswitch_scheduler::{
    effect::Effect,
    executor::{ActiveRun, EndKind, EndedRun},
};
use support::session::{Session, active, done, host, key, lasting, step, stop_count, wave_over};

/// A time within which any stop that an executor has accepted has ended the run, in milliseconds.
const AFTER_STOPS: u64 = 1_200;

/// A leader that has just taken over from one that runs two lasting tasks, of which one may be
/// unavailable, on executors `e0` and `e1`; `e2` has capacity for either.
fn successor() -> Session {
    let executors = ["e0", "e1", "e2"];
    let mut first = Session::new(&executors);
    first.submit("l", vec![lasting(2)]);
    let started = first.store_and_start();
    assert_eq!(started.len(), 2, "{started:?}");
    Session::without_reports(&executors, first.scheduler.ledger().clone())
}

/// The executors that run the first and the second task.
fn executors_of(session: &Session) -> [String; 2] {
    let executor_of = |index| {
        let task = session.scheduler.ledger().task(&key("l", index)).unwrap();
        task.assigned.as_ref().unwrap().executor.as_str().to_owned()
    };
    [executor_of(0), executor_of(1)]
}

fn report_idle(session: &mut Session) {
    let busy = executors_of(session);
    for name in ["e0", "e1", "e2"].iter().filter(|name| !busy.contains(&(**name).to_owned())) {
        session.report(name, &[], &[], 0);
    }
}

/// Requests the maintenance of an executor's host and returns the effects of draining it.
fn drain(session: &mut Session, executor: &str) -> Vec<Effect> {
    session.handle(wave_over(&["h"], 1));
    let mut effects = session.advance(110);
    session.list_hosts(vec![host("h", executor)]);
    effects.extend(session.advance(110));
    effects
}

#[test]
fn a_run_that_an_earlier_leader_may_be_stopping_does_not_count_as_available() {
    // Guards against stopping a lasting task while another one of its step is still listed at full
    // progress, but is being stopped by an order of the leader before.
    let mut session = successor();
    let [stopped_on, due] = executors_of(&session);
    session.report(&stopped_on, &[active(&key("l", 0))], &[], 0);
    session.report(&due, &[active(&key("l", 1))], &[], 0);
    report_idle(&mut session);

    let early = drain(&mut session, &due);
    let stopped = EndedRun { how: EndKind::Stopped, ..done(1, &key("l", 0)) };
    session.report(&stopped_on, &[], &[stopped], 0);
    let late = session.advance(110);

    assert_eq!(stop_count(&early), 0, "{early:?}");
    assert_eq!(stop_count(&late), 0, "{late:?}");
}

#[test]
fn an_inherited_run_that_outlasts_all_earlier_stops_counts_as_available() {
    // Guards against a new leader that never drains a host with lasting tasks.
    let mut session = successor();
    let [other, due] = executors_of(&session);
    for _ in 0..2 {
        session.report(&other, &[active(&key("l", 0))], &[], 0);
        session.report(&due, &[active(&key("l", 1))], &[], 0);
        report_idle(&mut session);
        session.settle();
        session.now += AFTER_STOPS;
    }

    let effects = drain(&mut session, &due);

    assert_eq!(stop_count(&effects), 1, "{effects:?}");
}

#[test]
fn a_run_on_an_executor_that_has_not_reported_does_not_count_as_available() {
    // Guards against stopping a lasting task while another one of its step has not been heard of
    // since the takeover.
    let mut session = successor();
    let [_, due] = executors_of(&session);
    for _ in 0..2 {
        session.report(&due, &[active(&key("l", 1))], &[], 0);
        report_idle(&mut session);
        session.settle();
        session.now += AFTER_STOPS;
    }

    let effects = drain(&mut session, &due);

    assert_eq!(stop_count(&effects), 0, "{effects:?}");
}

#[test]
fn an_inherited_run_that_is_still_starting_does_not_count_as_available() {
    // Guards against stopping a lasting task while another one of its step, which an earlier leader
    // started, does not serve yet.
    let mut session = successor();
    let [other, due] = executors_of(&session);
    for _ in 0..2 {
        let starting = ActiveRun { percent: 40, ..active(&key("l", 0)) };
        session.report(&other, &[starting], &[], 0);
        session.report(&due, &[active(&key("l", 1))], &[], 0);
        report_idle(&mut session);
        session.settle();
        session.now += AFTER_STOPS;
    }

    let effects = drain(&mut session, &due);

    assert_eq!(stop_count(&effects), 0, "{effects:?}");
}

#[test]
fn ends_of_inherited_runs_do_not_make_later_runs_stragglers() {
    // Guards against stopping sound runs because runs of unknown age, which ended just after the
    // takeover, passed for very short ones.
    let mut first = Session::new(&["e0", "e1"]);
    first.submit("j", vec![step(4)]);
    let inherited = first.store_and_start();
    let mut session = Session::without_reports(&["e0", "e1"], first.scheduler.ledger().clone());
    for executor in ["e0", "e1"] {
        let here = inherited.iter().filter(|(on, _)| on.as_str() == executor);
        let ends: Vec<EndedRun> =
            here.zip(1..).map(|((_, task), number)| done(number, task)).collect();
        session.report(executor, &[], &ends, 0);
    }
    session.submit("k", vec![step(1)]);
    let started = session.store_and_start();
    assert_eq!(started.len(), 1, "{started:?}");

    session.now += 1_400;
    let halfway = ActiveRun { percent: 60, ..active(&key("k", 0)) };
    session.report(started[0].0.as_str(), &[halfway], &[], 4);
    let effects = session.advance(110);

    assert_eq!(stop_count(&effects), 0, "{effects:?}");
}
