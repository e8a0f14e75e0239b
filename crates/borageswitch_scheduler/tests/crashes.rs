//! Detection and logging of crashes of executors.

mod support;

use borageswitch_scheduler::{
    effect::{Effect, LogLine},
    event::{Event, PollResponse, RegistrationChange},
    executor::Registration,
    fleet::{HostEntry, HostState},
    ledger::{Ledger, record::Record},
};
use support::session::{Session, active, host, key, registration, step};

/// Advances the time by `millis` and returns the log lines of the next decision.
fn lines(session: &mut Session, millis: u64) -> Vec<LogLine> {
    session.now += millis;
    let lines = session.settle_with_log().into_iter().filter_map(|effect| match effect {
        Effect::Log(line) => Some(line),
        _ => None,
    });
    lines.collect()
}

fn lines_of_kind<'a>(lines: &'a [LogLine], kind: &str) -> Vec<&'a LogLine> {
    lines.iter().filter(|line| line.kind == kind).collect()
}

fn list_hosts(session: &mut Session, hosts: Vec<HostEntry>) -> Vec<LogLine> {
    let mut logged = lines(session, 2_000);
    session.list_hosts(hosts);
    logged.extend(lines(session, 0));
    logged
}

fn down(host: HostEntry) -> HostEntry {
    HostEntry { state: HostState::Down, executor: None, ..host }
}

/// Two executors with eight tasks each, on hosts that are listed.
fn busy_pair() -> Session {
    let mut session = Session::new(&["e1", "e2"]);
    session.submit("j", vec![step(16)]);
    session.store_and_start();
    list_hosts(&mut session, vec![host("h1", "e1"), host("h2", "e2")]);
    session
}

#[test]
fn a_crash_is_logged_with_the_tasks_of_the_executor() {
    // An operator who finds several hosts down needs to see which task ran on each of them.
    let mut session = busy_pair();
    session.poll_answered("e1", PollResponse::Lost, 0);

    let logged = list_hosts(&mut session, vec![down(host("h1", "e1")), host("h2", "e2")]);

    let crashes = lines_of_kind(&logged, "executor-crashed");
    assert_eq!(crashes.len(), 1, "{logged:?}");
    assert_eq!(&*crashes[0].subject, "e1");
    assert!(crashes[0].detail.contains("others=0 runs=8"), "{}", crashes[0].detail);
    assert!(crashes[0].detail.contains("j.0.0.0 run 1 age_ms"), "{}", crashes[0].detail);
}

#[test]
fn simultaneous_crashes_are_logged_as_such() {
    let mut session = busy_pair();

    let logged = list_hosts(&mut session, vec![down(host("h1", "e1")), down(host("h2", "e2"))]);

    let crashes = lines_of_kind(&logged, "executor-crashed");
    assert_eq!(crashes.len(), 2, "{logged:?}");
    assert!(crashes.iter().all(|line| line.detail.contains("others=1")), "{crashes:?}");
}

#[test]
fn a_planned_end_of_an_executor_is_not_a_crash() {
    // Maintenance, a move, a drain and the removal of a host end executors as planned. If these
    // counted as crashes, they would be attributed to the tasks that ran there.
    let entry = host("h1", "e1");
    let ends = [
        HostEntry { state: HostState::Moving, executor: None, ..entry.clone() },
        HostEntry { state: HostState::InMaintenance, executor: None, ..entry.clone() },
    ];
    for end in ends {
        let mut session = busy_pair();
        let logged = list_hosts(&mut session, vec![end, host("h2", "e2")]);
        assert_eq!(lines_of_kind(&logged, "executor-ended").len(), 1, "{logged:?}");
        assert!(lines_of_kind(&logged, "executor-crashed").is_empty(), "{logged:?}");
    }

    let mut removed = busy_pair();
    let logged = list_hosts(&mut removed, vec![host("h2", "e2")]);
    assert!(lines_of_kind(&logged, "executor-crashed").is_empty(), "{logged:?}");

    let mut drained = busy_pair();
    let on_drain = Registration { draining: true, ..registration("e1") };
    drained.handle(Event::RegistrationChanged(RegistrationChange::Present(on_drain)));
    let logged = list_hosts(&mut drained, vec![down(entry), host("h2", "e2")]);
    assert!(lines_of_kind(&logged, "executor-crashed").is_empty(), "{logged:?}");
}

#[test]
fn a_crash_that_is_detected_only_by_the_lease_is_logged() {
    // Without the platform's list of hosts, only the registration and the lease show that an
    // executor has ended.
    let mut session = busy_pair();
    session.handle(Event::RegistrationChanged(RegistrationChange::Unregistered("e1".into())));

    let logged: Vec<LogLine> = (0..200).flat_map(|_| lines(&mut session, 50)).collect();

    assert_eq!(lines_of_kind(&logged, "executor-crashed").len(), 1, "{logged:?}");
}

/// Lets an executor start after the takeover of a leader whose predecessor had ordered its host, and
/// then be replaced by another one at its address.
fn replace_executor_of_ordered_host(listed: bool) -> Vec<LogLine> {
    let mut ledger = Ledger::default();
    ledger.apply(&Record::HostOrdered { host: "h1".into() });
    let mut session = Session::with_ledger(&[], ledger);
    session.now += 4_000;
    let present = RegistrationChange::Present(registration("e1"));
    session.handle(Event::RegistrationChanged(present));
    session.now += 10;
    session.report("e1", &[], &[], 0);
    session.submit("j", vec![step(8)]);
    session.store_and_start();
    list_hosts(&mut session, if listed { vec![host("h1", "e1")] } else { Vec::new() });
    session.poll_answered("e1", PollResponse::Lost, 0);
    session.handle(Event::RegistrationChanged(RegistrationChange::Unregistered("e1".into())));
    let next = RegistrationChange::Present(registration("e3"));
    session.handle(Event::RegistrationChanged(next));
    lines(&mut session, 50)
}

#[test]
fn an_order_of_an_earlier_leader_does_not_explain_the_end_of_a_later_executor() {
    // Guards against crashes that are not recorded, so that a task crashes one executor after the
    // other.
    for listed in [true, false] {
        let logged = replace_executor_of_ordered_host(listed);

        assert_eq!(lines_of_kind(&logged, "executor-crashed").len(), 1, "{listed}: {logged:?}");
    }
}

#[test]
fn an_executor_that_is_listed_late_keeps_its_tasks() {
    // Guards against tasks that run twice, as the platform lists a new host later than others.
    let mut session = Session::new(&["e1", "e2"]);
    session.submit("j", vec![step(16)]);
    session.store_and_start();

    let mut logged = list_hosts(&mut session, vec![host("h1", "e1")]);
    logged.extend(list_hosts(&mut session, vec![host("h1", "e1")]));

    assert!(lines_of_kind(&logged, "executor-ended").is_empty(), "{logged:?}");
}

#[test]
fn an_executor_that_is_neither_listed_nor_registered_has_ended() {
    // Guards against tasks that wait for the lease of an executor that ended before it was listed.
    let mut session = Session::new(&["e1", "e2"]);
    session.submit("j", vec![step(16)]);
    session.store_and_start();
    list_hosts(&mut session, vec![host("h1", "e1")]);
    let gone = RegistrationChange::Unregistered("e2".into());
    session.handle(Event::RegistrationChanged(gone));

    let logged = list_hosts(&mut session, vec![host("h1", "e1")]);

    assert_eq!(lines_of_kind(&logged, "executor-ended").len(), 1, "{logged:?}");
}

/// The log lines of lists of hosts that lack `executor`, which runs tasks and answers a poll before
/// each list arrives.
fn lines_of_late_lists(session: &mut Session, executor: &str) -> Vec<LogLine> {
    let mut logged = Vec::new();
    for _ in 0..3 {
        logged.extend(lines(session, 2_000));
        session.report(executor, &[active(&key("j", 0))], &[], 0);
        session.list_hosts(vec![host("h9", "e9")]);
        logged.extend(lines(session, 0));
    }
    logged
}

/// Guards against tasks that run twice, as an executor that is not listed yet and whose registration
/// has lapsed is taken for ended although it answers.
#[test]
fn an_executor_that_answers_outlives_its_registration_before_it_is_listed() {
    let mut session = Session::new(&["e1"]);
    session.submit("j", vec![step(1)]);
    session.store_and_start();
    let gone = RegistrationChange::Unregistered("e1".into());
    session.handle(Event::RegistrationChanged(gone));

    let logged = lines_of_late_lists(&mut session, "e1");

    assert!(lines_of_kind(&logged, "executor-ended").is_empty(), "{logged:?}");
}

/// Guards against the end of an executor that has restarted, by a list of the time before its start.
#[test]
fn a_list_from_before_a_restart_does_not_end_the_next_incarnation() {
    let mut session = Session::new(&["e1@1"]);
    list_hosts(&mut session, vec![host("h1", "e1")]);
    let next = RegistrationChange::Present(registration("e1@2"));
    session.handle(Event::RegistrationChanged(next));
    session.report("e1@2", &[], &[], 0);
    session.submit("j", vec![step(1)]);
    session.store_and_start();
    list_hosts(&mut session, vec![host("h1", "e1")]);

    let logged = lines_of_late_lists(&mut session, "e1@2");

    assert!(lines_of_kind(&logged, "executor-ended").is_empty(), "{logged:?}");
}

/// Guards against the end of an executor that has answered a poll that was sent after the request of
/// the list.
#[test]
fn a_list_that_was_requested_before_an_answer_ends_no_executor() {
    let mut session = busy_pair();
    lines(&mut session, 2_000);
    session.now += 100;
    session.report("e1", &[], &[], 0);

    session.list_hosts(vec![host("h2", "e2")]);
    let early = lines(&mut session, 0);
    let late = list_hosts(&mut session, vec![host("h2", "e2")]);

    assert!(lines_of_kind(&early, "executor-ended").is_empty(), "{early:?}");
    assert_eq!(lines_of_kind(&late, "executor-ended").len(), 1, "{late:?}");
}
