use std::{net::SocketAddr, time::Duration};

use borageswitch_types::{
    ErrorKind,
    error::Ran,
    fleet::{Revision, ServiceLimits},
    names::{CallerName, DaemonName},
    slots::{SlotMessage, SlotShare},
    view::{TargetState, TargetView, TeamShare},
};

use super::*;

const ME: &str = "entry-a";
const OTHER: &str = "entry-b";

struct Fixture {
    dispatcher: Dispatcher,
    view: TrafficView,
    now: Time,
}

/// Creates one entry of two with `hosts` targets, each with two of its four slots allocated to this
/// entry.
fn fixture(hosts: usize) -> Fixture {
    let targets = (0..hosts).map(|n| {
        let host = HostName::from(format!("host-{n}"));
        let address = SocketAddr::from(([127, 0, 0, 1], 9_000 + n as u16));
        let target = TargetView {
            host: host.clone(),
            address,
            epoch: 1,
            state: TargetState::Open,
            slots: 4,
            dealt_slots: 2,
            dealt_connections: 8,
        };
        (host, target)
    });
    let service = ServiceView {
        limits: ServiceLimits::default(),
        promised_slots: 0,
        targets: targets.collect(),
    };
    let view = TrafficView {
        revision: Revision::default(),
        admitting: true,
        retry_after: Duration::from_millis(300),
        me: DaemonName::from(ME),
        entries: Arc::from([DaemonName::from(ME), DaemonName::from(OTHER)]),
        services: BTreeMap::from([(ServiceName::from("pricing"), service)]),
        teams: BTreeMap::from([(TeamName::from("small"), TeamShare { weight: 1, slot_quota: 2 })]),
        callers: BTreeMap::from([(CallerName::from("of-small"), TeamName::from("small"))]),
    };
    let mut fixture = Fixture {
        dispatcher: Dispatcher::new(ServiceName::from("pricing"), 1),
        view,
        now: Time::from_millis(1_000),
    };
    fixture.publish();
    fixture
}

impl Fixture {
    fn publish(&mut self) -> Vec<DispatchOutput> {
        let mut out = Vec::new();
        self.dispatcher.set_view(self.now, Arc::new(self.view.clone()), &mut out);
        out
    }

    fn input(&mut self, input: DispatchInput) -> Vec<DispatchOutput> {
        let mut out = Vec::new();
        self.dispatcher.handle(self.now, input, &mut out);
        out
    }

    fn offer(&mut self, ticket: u64, caller: &str, retryable: bool) -> Vec<DispatchOutput> {
        let deadline = self.now + Duration::from_secs(10);
        self.input(DispatchInput::Offered(Offer {
            ticket: Ticket(ticket),
            caller: CallerName::from(caller),
            priority: Priority::Normal,
            deadline,
            kind: 1,
            retryable,
        }))
    }

    fn fail(&mut self, ticket: u64, kind: ErrorKind, ran: Ran) -> Vec<DispatchOutput> {
        let outcome = Outcome::Failed { kind, ran, retryable: true };
        self.input(DispatchInput::Finished(Ticket(ticket), outcome))
    }

    fn answer(&mut self, ticket: u64) -> Vec<DispatchOutput> {
        let outcome = Outcome::Answered { status: 200 };
        self.input(DispatchInput::Finished(Ticket(ticket), outcome))
    }

    fn service(&mut self) -> &mut ServiceView {
        self.view.services.values_mut().next().expect("the fixture has a service")
    }
}

fn started_on(out: &[DispatchOutput]) -> Vec<&str> {
    out.iter()
        .filter_map(|output| match output {
            DispatchOutput::Start { host, .. } => Some(host.as_str()),
            DispatchOutput::Refuse { .. } | DispatchOutput::SendSlots(..) => None,
        })
        .collect()
}

fn refused_with(out: &[DispatchOutput]) -> Option<ErrorKind> {
    out.iter().find_map(|output| match output {
        DispatchOutput::Refuse { kind, .. } => Some(*kind),
        _ => None,
    })
}

/// A non-idempotent payroll request loses its connection after it was sent. Sending it again could
/// pay twice.
#[test]
fn non_idempotent_request_that_may_have_run_is_not_retried() {
    let mut fixture = fixture(2);
    fixture.offer(1, "payroll", false);

    let out = fixture.fail(1, ErrorKind::TargetLost, Ran::Unknown);

    assert_eq!(refused_with(&out), Some(ErrorKind::TargetLost));
    assert!(started_on(&out).is_empty());
}

#[test]
fn request_that_provably_did_not_run_goes_elsewhere_at_once() {
    let mut fixture = fixture(2);
    let first = fixture.offer(1, "payroll", false);

    let out = fixture.fail(1, ErrorKind::TargetRefused, Ran::No);

    assert_eq!(started_on(&out).len(), 1);
    assert_ne!(started_on(&out), started_on(&first));
}

/// The first attempt breaks after it was sent, the second is refused by its target. Reporting "not
/// run" because of the second attempt would be wrong for the first.
#[test]
fn earlier_attempt_that_may_have_run_determines_the_error() {
    let mut fixture = fixture(3);
    fixture.offer(1, "dispatch", true);
    assert_eq!(started_on(&fixture.fail(1, ErrorKind::TargetLost, Ran::Unknown)).len(), 1);
    assert_eq!(started_on(&fixture.fail(1, ErrorKind::TargetRefused, Ran::No)).len(), 1);

    let out = fixture.fail(1, ErrorKind::TargetRefused, Ran::No);

    assert_eq!(refused_with(&out), Some(ErrorKind::TargetLost));
}

/// As above, but the deadline passes while the request waits for its retry.
#[test]
fn deadline_of_a_retry_is_not_reported_as_not_run() {
    let mut fixture = fixture(1);
    for ticket in 1..=2 {
        fixture.offer(ticket, "dispatch", true);
    }
    fixture.fail(1, ErrorKind::TargetLost, Ran::Unknown);
    fixture.service().targets.values_mut().for_each(|t| t.state = TargetState::Leaving);
    fixture.publish();
    fixture.offer(3, "dispatch", true);
    fixture.fail(2, ErrorKind::TargetLost, Ran::Unknown);
    fixture.now += Duration::from_secs(20);

    let out = fixture.input(DispatchInput::Tick);

    let kinds: Vec<ErrorKind> = out
        .iter()
        .filter_map(|output| match output {
            DispatchOutput::Refuse { kind, .. } => Some(*kind),
            _ => None,
        })
        .collect();
    assert_eq!(kinds, [ErrorKind::TargetLost]);
}

/// One of two hosts is ejected, and an attempt on the other is refused. A request that waited for
/// the ejected host would block the queue until its deadline.
#[test]
fn retry_does_not_wait_for_an_ejected_host() {
    let mut fixture = fixture(2);
    for ticket in 0..40 {
        let out = fixture.offer(ticket, "desk", false);
        let status = if started_on(&out) == ["host-0"] { 500 } else { 200 };
        fixture.now += Duration::from_millis(10);
        fixture.input(DispatchInput::Finished(Ticket(ticket), Outcome::Answered { status }));
    }
    assert_eq!(
        fixture.dispatcher.ejection_reason(&HostName::from("host-0")),
        Some(EjectionReason::Failing)
    );
    assert_eq!(started_on(&fixture.offer(100, "desk", false)), ["host-1"]);

    let out = fixture.fail(100, ErrorKind::TargetRefused, Ran::No);

    assert_eq!(started_on(&out), ["host-1"]);
}

/// One of two hosts is ejected, and the other leaves for maintenance. Requests would wait for the
/// next probe, up to half a minute, though the host may have recovered long ago.
#[test]
fn ejected_host_is_used_when_no_other_is_left() {
    let mut fixture = fixture(2);
    for ticket in 0..40 {
        let out = fixture.offer(ticket, "desk", false);
        let status = if started_on(&out) == ["host-0"] { 500 } else { 200 };
        fixture.now += Duration::from_millis(10);
        fixture.input(DispatchInput::Finished(Ticket(ticket), Outcome::Answered { status }));
    }
    let other = HostName::from("host-1");
    fixture.service().targets.get_mut(&other).expect("it is there").state = TargetState::Leaving;
    fixture.publish();

    let out = fixture.offer(100, "desk", false);

    assert_eq!(started_on(&out), ["host-0"]);
}

/// An attempt on the host with free slots is refused, and the only other host is full for long. The
/// request may wait for it briefly, but must not block the queue.
#[test]
fn retry_waits_for_another_host_only_briefly() {
    let mut fixture = fixture(2);
    for ticket in 1..=4 {
        fixture.offer(ticket, "desk", true);
    }
    fixture.offer(5, "desk", true);
    let first = fixture.fail(1, ErrorKind::TargetRefused, Ran::No);
    fixture.now += Duration::from_millis(150);

    let later = fixture.input(DispatchInput::Tick);

    let started = started_on(&first).len() + started_on(&later).len();
    assert_eq!(started, 1, "{first:?} {later:?}");
    assert_eq!(fixture.dispatcher.waiting(), 1);
}

#[test]
fn leaving_target_gets_nothing_new_and_waiting_requests_go_on_elsewhere() {
    let mut fixture = fixture(2);
    for ticket in 1..=5 {
        fixture.offer(ticket, "desk", true);
    }
    let leaving = HostName::from("host-0");
    fixture.service().targets.get_mut(&leaving).expect("it is there").state = TargetState::Leaving;
    assert!(fixture.publish().is_empty());

    let starts: Vec<String> = (1..=4)
        .flat_map(|ticket| {
            started_on(&fixture.answer(ticket)).into_iter().map(String::from).collect::<Vec<_>>()
        })
        .collect();

    assert_eq!(starts, ["host-1"]);
}

/// A host comes back from a reboot with cold caches. At first it gets one request from all entries
/// together, and its full share only after a while.
#[test]
fn warming_target_gets_few_requests_at_first() {
    let mut fixture = fixture(1);
    fixture.service().targets.values_mut().for_each(|t| t.state = TargetState::Warming);
    fixture.publish();
    let at_first: usize = (1..=4).map(|n| started_on(&fixture.offer(n, "desk", true)).len()).sum();

    fixture.now += Duration::from_secs(9);
    let mut later = started_on(&fixture.input(DispatchInput::Tick)).len();
    fixture.now += Duration::from_millis(900);
    later += started_on(&fixture.input(DispatchInput::Tick)).len();

    assert!(at_first <= 1, "{at_first}");
    assert!(at_first + later <= 2 && later >= 1, "{later}");
}

#[test]
fn team_uses_no_more_slots_than_its_quota() {
    let mut fixture = fixture(4);

    let started: usize =
        (1..=8).map(|n| started_on(&fixture.offer(n, "of-small", true)).len()).sum();

    assert_eq!(started, 1, "half of the quota of two is this entry's");
    assert_eq!(started_on(&fixture.offer(20, "desk", true)).len(), 1);
}

#[test]
fn refusals_name_their_reason() {
    let mut fixture = fixture(1);
    fixture.view.admitting = false;
    fixture.publish();
    let stopping = refused_with(&fixture.offer(1, "desk", true));
    fixture.view.admitting = true;
    fixture.service().targets.clear();
    fixture.publish();
    let no_target = refused_with(&fixture.offer(2, "desk", true));
    fixture.view.services.clear();
    fixture.publish();
    let unknown = refused_with(&fixture.offer(3, "desk", true));

    assert_eq!(stopping, Some(ErrorKind::NotAdmitting));
    assert_eq!(no_target, Some(ErrorKind::NoTarget));
    assert_eq!(unknown, Some(ErrorKind::UnknownService));
}

#[test]
fn cancelled_request_gets_no_response_and_no_retry() {
    let mut fixture = fixture(1);
    fixture.offer(1, "desk", true);
    fixture.input(DispatchInput::Cancelled(Ticket(1)));

    let out = fixture.fail(1, ErrorKind::TargetLost, Ran::Unknown);

    assert!(out.is_empty(), "{out:?}");
    assert!(fixture.dispatcher.in_flight().is_empty());
}

/// Another entry grants a slot whose term has ended before the grant arrives: using it could put
/// more requests on the target than it has slots. It is returned to its owner unused.
#[test]
fn late_grant_is_returned_and_not_used() {
    let mut fixture = fixture(1);
    let share = SlotShare {
        owner: DaemonName::from(OTHER),
        loan: 9,
        host: HostName::from("host-0"),
        epoch: 1,
        term: Duration::from_secs(1),
    };
    let grant = SlotMessage::Grant {
        service: ServiceName::from("pricing"),
        ask: 77,
        shares: vec![share],
        idle_left: 0,
    };

    let out = fixture.input(DispatchInput::Slots(DaemonName::from(OTHER), grant));

    let back = SlotMessage::Return { service: ServiceName::from("pricing"), loans: vec![9] };
    assert_eq!(out, [DispatchOutput::SendSlots(DaemonName::from(OTHER), back)]);
    let started: usize = (1..=4).map(|n| started_on(&fixture.offer(n, "desk", true)).len()).sum();
    assert_eq!(started, 2);
}

/// A lent slot is not used by its owner until it is returned, or until the borrower has sent no
/// notice for longer than it may.
#[test]
fn lent_slot_is_not_used_until_it_comes_back() {
    let mut fixture = fixture(1);
    let ask = SlotMessage::Ask {
        service: ServiceName::from("pricing"),
        asker: DaemonName::from(OTHER),
        ask: 5,
        wanted: 1,
        tried: Vec::new(),
    };
    let out = fixture.input(DispatchInput::Slots(DaemonName::from(OTHER), ask));
    assert!(matches!(
        out.as_slice(),
        [DispatchOutput::SendSlots(_, SlotMessage::Grant { shares, .. })] if shares.len() == 1
    ));
    let while_lent: usize =
        (1..=3).map(|n| started_on(&fixture.offer(n, "desk", true)).len()).sum();

    let back = SlotMessage::Return { service: ServiceName::from("pricing"), loans: vec![1] };
    let after = fixture.input(DispatchInput::Slots(DaemonName::from(OTHER), back));

    assert_eq!(while_lent, 1);
    assert_eq!(started_on(&after).len(), 1);
}

#[test]
fn failing_host_shows_in_the_report_for_control() {
    let mut fixture = fixture(2);
    for ticket in 0..20 {
        let out = fixture.offer(ticket, "desk", false);
        let failing = started_on(&out) == ["host-0"];
        let outcome = if failing { 500 } else { 200 };
        fixture.now += Duration::from_millis(10);
        fixture
            .input(DispatchInput::Finished(Ticket(ticket), Outcome::Answered { status: outcome }));
    }

    let report = fixture.dispatcher.failure_permille(fixture.now);

    assert_eq!(report.get(&HostName::from("host-0")), Some(&1_000));
    assert_eq!(report.get(&HostName::from("host-1")), Some(&0));
    assert_eq!(
        fixture.dispatcher.ejection_reason(&HostName::from("host-0")),
        Some(EjectionReason::Failing)
    );
}
