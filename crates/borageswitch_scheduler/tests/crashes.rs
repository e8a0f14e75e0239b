//! Executors that crash, and what is made of it.

mod support;

use borageswitch_scheduler::{
    effect::{Effect, LogLine},
    event::{Event, PollResponse, RegistrationChange},
    executor::Registration,
    fleet::{HostEntry, HostState},
};
use support::session::{Session, host, registration, step};

/// Every line of the next decision, `millis` later.
fn lines(session: &mut Session, millis: u64) -> Vec<LogLine> {
    session.now += millis;
    let moment = session.moment();
    let effects = session.scheduler.settle(moment);
    let lines = effects.into_iter().filter_map(|effect| match effect {
        Effect::Log(line) => Some(line),
        _ => None,
    });
    lines.collect()
}

fn lines_of_kind<'a>(lines: &'a [LogLine], kind: &str) -> Vec<&'a LogLine> {
    lines.iter().filter(|line| line.kind == kind).collect()
}

fn listed(session: &mut Session, hosts: Vec<HostEntry>) -> Vec<LogLine> {
    let mut logged = lines(session, 2_000);
    session.handle(Event::HostsListed(Some(hosts)));
    logged.extend(lines(session, 0));
    logged
}

fn down(host: HostEntry) -> HostEntry {
    HostEntry { state: HostState::Down, executor: None, ..host }
}

/// Two executors with a task each, on hosts that are listed.
fn busy_pair() -> Session {
    let mut session = Session::new(&["e1", "e2"]);
    session.submit("j", vec![step(16)]);
    session.store_and_start();
    listed(&mut session, vec![host("h1", "e1"), host("h2", "e2")]);
    session
}

#[test]
fn a_crash_is_told_with_the_tasks_that_ran_there() {
    // An operator who finds host after host down has to see which task was on each of them.
    let mut session = busy_pair();
    session.poll_answered("e1", PollResponse::Lost, 0);

    let logged = listed(&mut session, vec![down(host("h1", "e1")), host("h2", "e2")]);

    let crashes = lines_of_kind(&logged, "executor-crashed");
    assert_eq!(crashes.len(), 1, "{logged:?}");
    assert_eq!(&*crashes[0].subject, "e1");
    assert!(crashes[0].detail.contains("others=0 runs=8"), "{}", crashes[0].detail);
    assert!(crashes[0].detail.contains("j.0.0.0 run 1 age_ms"), "{}", crashes[0].detail);
}

#[test]
fn executors_that_go_together_are_told_as_such() {
    let mut session = busy_pair();

    let logged = listed(&mut session, vec![down(host("h1", "e1")), down(host("h2", "e2"))]);

    let crashes = lines_of_kind(&logged, "executor-crashed");
    assert_eq!(crashes.len(), 2, "{logged:?}");
    assert!(crashes.iter().all(|line| line.detail.contains("others=1")), "{crashes:?}");
}

#[test]
fn an_executor_that_leaves_or_is_ordered_away_has_not_crashed() {
    // Maintenance, a move, a drain and the removal of a host end executors as planned. Told as
    // crashes, they would put blame on whatever ran there.
    let entry = host("h1", "e1");
    let ends = [
        HostEntry { state: HostState::Moving, executor: None, ..entry.clone() },
        HostEntry { state: HostState::InMaintenance, executor: None, ..entry.clone() },
    ];
    for end in ends {
        let mut session = busy_pair();
        let logged = listed(&mut session, vec![end, host("h2", "e2")]);
        assert_eq!(lines_of_kind(&logged, "executor-ended").len(), 1, "{logged:?}");
        assert!(lines_of_kind(&logged, "executor-crashed").is_empty(), "{logged:?}");
    }

    let mut removed = busy_pair();
    let logged = listed(&mut removed, vec![host("h2", "e2")]);
    assert!(lines_of_kind(&logged, "executor-crashed").is_empty(), "{logged:?}");

    let mut drained = busy_pair();
    let leaving = Registration { draining: true, ..registration("e1") };
    drained.handle(Event::RegistrationChanged(RegistrationChange::Present(leaving)));
    let logged = listed(&mut drained, vec![down(entry), host("h2", "e2")]);
    assert!(lines_of_kind(&logged, "executor-crashed").is_empty(), "{logged:?}");
}

#[test]
fn a_crash_that_shows_only_by_its_lease_is_told_as_well() {
    // The platform's list of hosts is away: that an executor has gone shows by its registration
    // and its lease alone.
    let mut session = busy_pair();
    session.handle(Event::RegistrationChanged(RegistrationChange::Unregistered("e1".into())));

    let logged: Vec<LogLine> = (0..200).flat_map(|_| lines(&mut session, 50)).collect();

    assert_eq!(lines_of_kind(&logged, "executor-crashed").len(), 1, "{logged:?}");
}
