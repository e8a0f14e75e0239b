//! Maintenance waves over hosts that the platform does not list.

mod support;

use borageswitch_scheduler::{
    effect::{Effect, HostOrder},
    event::{Event, HostOrderResponse, RegistrationChange},
    fleet::{HostEntry, HostState},
    ledger::{Ledger, record::Record},
};
use borageswitch_types::{Time, names::HostName};
use support::session::{Session, host, registration, wave_over};

/// The duration of a step, in milliseconds.
const STEP: u64 = 50;
/// The time that the waves are allowed, in milliseconds.
const ALLOWED: u64 = 20_000;

/// Runs the session while the platform lists these hosts, and stores all appends.
fn run(session: &mut Session, hosts: &[HostEntry], millis: u64) -> Vec<Effect> {
    let mut all = Vec::new();
    for _ in 0..millis / STEP {
        for effect in session.advance(STEP) {
            match &effect {
                Effect::ListHosts { .. } => session.list_hosts(hosts.to_vec()),
                Effect::Append { append, .. } => {
                    session.handle(Event::Appended { append: *append });
                }
                _ => {}
            }
            all.push(effect);
        }
    }
    all
}

/// Runs the session while the platform does not respond to requests for lists, and stores all
/// appends.
fn run_without_lists(session: &mut Session, millis: u64) -> Vec<Effect> {
    let mut all = Vec::new();
    for _ in 0..millis / STEP {
        for effect in session.advance(STEP) {
            if let Effect::Append { append, .. } = &effect {
                session.handle(Event::Appended { append: *append });
            }
            all.push(effect);
        }
    }
    all
}

fn list_requests(effects: &[Effect]) -> Vec<Time> {
    let request = |effect: &Effect| match effect {
        Effect::ListHosts { requested } => Some(*requested),
        _ => None,
    };
    effects.iter().filter_map(request).collect()
}

fn is_completed(effects: &[Effect]) -> bool {
    effects.iter().any(|effect| matches!(effect, Effect::ReportWave { completed: true, .. }))
}

fn is_maintained(effects: &[Effect], host: &str) -> bool {
    let ordered = Effect::OrderHost(HostName::from(host), HostOrder::Maintain(1));
    effects.contains(&ordered)
}

#[test]
fn a_host_that_joins_just_before_its_wave_is_maintained() {
    // Guards against a wave that is reported as completed without having maintained its host.
    let mut session = Session::new(&["e1"]);
    let before = [host("h", "e1")];
    run(&mut session, &before, 2_000);

    session.handle(wave_over(&["new"], 1));
    let unlisted = run(&mut session, &before, 1_000);
    let off = HostEntry { executor: None, ..host("new", "none") };
    let listed = run(&mut session, &[host("h", "e1"), off], 1_000);

    assert!(!is_completed(&unlisted), "{unlisted:?}");
    assert!(is_maintained(&listed, "new"), "{listed:?}");
}

#[test]
fn a_host_that_is_listed_late_is_maintained() {
    // Guards against a wave that is reported as completed before the platform lists its host.
    let mut session = Session::new(&["e1"]);
    let before = [host("h", "e1")];
    run(&mut session, &before, 2_000);

    session.handle(wave_over(&["new"], 1));
    let unlisted = run(&mut session, &before, 15_000);
    let off = HostEntry { executor: None, ..host("new", "none") };
    let listed = run(&mut session, &[host("h", "e1"), off], 1_000);

    assert!(!is_completed(&unlisted), "{unlisted:?}");
    assert!(is_maintained(&listed, "new"), "{listed:?}");
}

#[test]
fn a_wave_over_a_host_that_has_left_is_completed() {
    // Guards against a wave that waits for a host that was listed and no longer is.
    let mut session = Session::new(&["e1"]);
    let left = HostEntry { executor: None, ..host("left", "none") };
    run(&mut session, &[host("h", "e1"), left], 4_000);

    session.handle(wave_over(&["left"], 1));
    let effects = run(&mut session, &[host("h", "e1")], 4_000);

    assert!(is_completed(&effects), "{effects:?}");
}

#[test]
fn a_wave_over_a_host_that_was_never_listed_is_completed_when_its_time_is_over() {
    // Guards against a wave that waits for ever for a host that does not exist.
    let mut session = Session::new(&["e1"]);
    let hosts = [host("h", "e1")];
    run(&mut session, &hosts, 2_000);

    session.handle(wave_over(&["none"], 1));
    let before_deadline = run(&mut session, &hosts, ALLOWED - 2_000);
    let after_deadline = run(&mut session, &hosts, 4_000);

    assert!(!is_completed(&before_deadline), "{before_deadline:?}");
    assert!(is_completed(&after_deadline), "{after_deadline:?}");
}

#[test]
fn a_list_that_arrives_late_counts_from_its_own_request() {
    // Guards against an old list that passes for one requested later, and shows hosts as gone or back.
    let mut session = Session::new(&["e1"]);
    run(&mut session, &[host("h", "e1")], 4_000);
    session.handle(wave_over(&["new"], 1));
    let requests = list_requests(&run_without_lists(&mut session, 4_000));
    let off = HostEntry { executor: None, ..host("new", "none") };
    let newer = vec![host("h", "e1"), off];
    session.handle(Event::HostsListed { requested: requests[1], hosts: Some(newer) });

    let older = vec![host("h", "e1")];
    session.handle(Event::HostsListed { requested: requests[0], hosts: Some(older) });
    let effects = run_without_lists(&mut session, 1_000);

    assert!(!is_completed(&effects), "{effects:?}");
    assert!(is_maintained(&effects, "new"), "{effects:?}");
}

#[test]
fn a_list_from_before_an_order_does_not_show_its_host_as_back() {
    // Guards against more hosts in maintenance at once than the operator permits.
    let mut session = Session::new(&["e1", "e2"]);
    let outdated = [host("h1", "e1"), host("h2", "e2")];
    run(&mut session, &outdated, 4_000);
    session.handle(wave_over(&["h1", "h2"], 1));
    run(&mut session, &outdated, 1_000);
    let done = Event::HostOrderAnswered { host: "h1".into(), response: HostOrderResponse::Done };
    session.handle(done);

    let still_away = run(&mut session, &outdated, 4_000);
    let back = [host("h1", "e3"), host("h2", "e2")];
    let after = run(&mut session, &back, 2_000);

    assert!(!is_maintained(&still_away, "h2"), "{still_away:?}");
    assert!(is_maintained(&after, "h2"), "{after:?}");
}

fn answer_done(session: &mut Session, host: &str) {
    let host = HostName::from(host);
    session.handle(Event::HostOrderAnswered { host, response: HostOrderResponse::Done });
}

/// Registers an executor that responds to polls.
fn join(session: &mut Session, executor: &str) {
    let present = RegistrationChange::Present(registration(executor));
    session.handle(Event::RegistrationChanged(present));
    session.now += 10;
    session.report(executor, &[], &[], 0);
}

#[test]
fn an_executor_from_before_an_order_does_not_show_its_host_as_back() {
    // Guards against more hosts in maintenance than permitted: an old list still names the executor
    // that preceded the one that the order ended.
    let mut session = Session::new(&["e1", "e2"]);
    let outdated = [host("h1", "e0"), host("h2", "e2")];
    run(&mut session, &outdated, 4_000);
    session.handle(wave_over(&["h1", "h2"], 1));
    run(&mut session, &outdated, 1_000);
    answer_done(&mut session, "h1");

    let from_before = [host("h1", "e1"), host("h2", "e2")];
    let still_away = run(&mut session, &from_before, 4_000);
    join(&mut session, "e3");
    let after = run(&mut session, &[host("h1", "e3"), host("h2", "e2")], 2_000);

    assert!(!is_maintained(&still_away, "h2"), "{still_away:?}");
    assert!(is_maintained(&after, "h2"), "{after:?}");
}

#[test]
fn an_executor_that_has_ended_does_not_show_its_host_as_back() {
    // Guards against more hosts in maintenance than permitted: lists name an ended executor by the
    // name that all its incarnations share, or after the leader has forgotten it.
    for (ordered, listed) in [("e1@5", "e1"), ("e1", "e0")] {
        let mut session = Session::new(&["e0", ordered, "e2"]);
        let before = [host("h1", ordered), host("h2", "e2")];
        run(&mut session, &before, 4_000);
        session.handle(wave_over(&["h1", "h2"], 1));
        run(&mut session, &before, 1_000);
        answer_done(&mut session, "h1");
        let gone = RegistrationChange::Unregistered("e0".into());
        session.handle(Event::RegistrationChanged(gone));
        let unlisted = HostEntry { state: HostState::Up, executor: None, ..host("h1", "none") };
        let forgotten = run(&mut session, &[unlisted, host("h2", "e2")], 4_000);

        let still_away = run(&mut session, &[host("h1", listed), host("h2", "e2")], 4_000);

        assert!(!is_maintained(&forgotten, "h2"), "{listed}: {forgotten:?}");
        assert!(!is_maintained(&still_away, "h2"), "{listed}: {still_away:?}");
    }
}

/// A ledger with maintenance of a host that the platform has just begun.
fn ledger_with_maintenance_of(host: &str) -> Ledger {
    let host = HostName::from(host);
    let mut ledger = Ledger::default();
    ledger.apply(&Record::HostOrdered { host: host.clone() });
    ledger.apply(&Record::HostOrderAnswered { host: host.clone(), millis: 1_000 });
    ledger.apply(&Record::Maintained { wave: 1, host });
    ledger
}

#[test]
fn an_old_list_after_a_takeover_does_not_show_a_host_as_back() {
    // Guards against more hosts in maintenance than permitted: an earlier leader has ordered one,
    // and lists of the new leader still show the host as it was before.
    let mut session = Session::without_reports(&["e1", "e2"], ledger_with_maintenance_of("h1"));
    session.report("e2", &[], &[], 0);
    session.handle(wave_over(&["h1", "h2"], 1));

    let from_before = [host("h1", "e1"), host("h2", "e2")];
    let still_away = run(&mut session, &from_before, 8_000);
    join(&mut session, "e3");
    let after = run(&mut session, &[host("h1", "e3"), host("h2", "e2")], 2_000);

    assert!(!is_maintained(&still_away, "h2"), "{still_away:?}");
    assert!(is_maintained(&after, "h2"), "{after:?}");
}

#[test]
fn an_old_list_after_the_pause_of_a_takeover_does_not_show_a_host_as_back() {
    // Guards against more hosts in maintenance than permitted: an earlier leader has ended without
    // the response to its order, and the host stays away for longer than the next leader pauses.
    let mut ledger = Ledger::default();
    ledger.apply(&Record::HostOrdered { host: "h2".into() });
    let mut session = Session::without_reports(&["e1", "e2"], ledger);
    session.report("e1", &[], &[], 0);
    session.handle(wave_over(&["h1", "h2"], 1));

    let from_before = [host("h1", "e1"), host("h2", "e2")];
    let still_away = run(&mut session, &from_before, 8_000);

    assert!(!is_maintained(&still_away, "h1"), "{still_away:?}");
}

#[test]
fn a_host_that_was_back_before_a_takeover_does_not_delay_its_wave() {
    // Guards against waves that wait for the age of an order although its host is in service.
    let mut session = Session::without_reports(&["e1", "e2"], ledger_with_maintenance_of("h1"));
    session.now += 10;
    session.report("e1", &[], &[], 0);
    session.report("e2", &[], &[], 0);
    session.handle(wave_over(&["h1", "h2"], 1));
    let back = [host("h1", "e1"), host("h2", "e2")];

    session.handle(Event::HostsListed {
        requested: Time::from_millis(10_000),
        hosts: Some(back.to_vec()),
    });
    let effects = run(&mut session, &back, 2_000);

    assert!(is_maintained(&effects, "h2"), "{effects:?}");
}

#[test]
fn a_host_of_an_earlier_order_is_back_once_its_order_is_old() {
    // Guards against a wave that never ends, as a host that is off has no executor to respond.
    let mut session = Session::without_reports(&["e2"], ledger_with_maintenance_of("h1"));
    session.report("e2", &[], &[], 0);
    session.handle(wave_over(&["h1", "h2"], 1));

    let off = HostEntry { executor: None, ..host("h1", "none") };
    let effects = run(&mut session, &[off, host("h2", "e2")], 22_000);

    assert!(is_maintained(&effects, "h2"), "{effects:?}");
}

#[test]
fn a_host_whose_executor_is_not_listed_yet_is_drained_before_its_maintenance() {
    // Guards against tasks that end with a host which was taken for one that is off.
    let mut session = Session::new(&["e1", "e2"]);
    let unlisted = [host("h1", "e1"), HostEntry { executor: None, ..host("h2", "none") }];
    run(&mut session, &unlisted, 4_000);

    session.handle(wave_over(&["h2"], 1));
    let effects = run(&mut session, &unlisted, 4_000);
    let listed = run(&mut session, &[host("h1", "e1"), host("h2", "e2")], 2_000);

    assert!(!is_maintained(&effects, "h2"), "{effects:?}");
    assert!(is_maintained(&listed, "h2"), "{listed:?}");
}
