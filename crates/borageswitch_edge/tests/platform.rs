//! Calls to the platform that go well, go wrong, and go silent.

mod support;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::{Duration, Instant},
};

use async_channel::Receiver;
use borageswitch_control::{
    Event,
    store::{CallId, KeyValue, LeaseId, StoreError, StoreRequest, StoreResponse, Version},
};
use borageswitch_edge::platform::{Platform, PlatformConfig};
use borageswitch_fakes::{
    faults::Faults,
    host::{HostOptions, HostStandin},
    host_list::HostListStandin,
    store::StoreStandin,
};
use borageswitch_types::{
    agent::{AgentCommand, AgentError},
    names::{HostName, OperationId},
    time::UnixMillis,
};

use crate::support::Runner;

const TIMEOUT: Duration = Duration::from_secs(5);
const SHORT: Duration = Duration::from_millis(300);

struct Fixture {
    store: StoreStandin,
    hosts: HostListStandin,
    platform: Platform,
    events: Receiver<Event>,
    runner: Runner,
}

fn fixture() -> Fixture {
    fixture_with(|cfg| cfg, |store| vec![store])
}

fn fixture_with<C, A>(configure: C, addresses: A) -> Fixture
where
    C: FnOnce(PlatformConfig) -> PlatformConfig,
    A: FnOnce(SocketAddr) -> Vec<SocketAddr>,
{
    let runner = Runner::start();
    let store = StoreStandin::start(&runner.ex, support::any_port()).unwrap();
    let hosts = HostListStandin::start(&runner.ex, support::any_port(), [host("a")]).unwrap();
    let (tx, events) = async_channel::unbounded();
    let cfg = PlatformConfig::new(addresses(store.address()), hosts.address());
    let cfg = configure(cfg.calls_per_second(10_000).call_timeout(SHORT));
    let platform = Platform::new(cfg, tx, runner.ex.clone());
    Fixture { store, hosts, platform, events, runner }
}

fn host(name: &str) -> HostName {
    HostName::from(name)
}

impl Fixture {
    fn call(&self, request: StoreRequest, timeout: Duration) -> Result<StoreResponse, StoreError> {
        let call = CallId(fastrand::u64(..));
        self.platform.call_store(call, request, timeout);
        support::next_event(&self.events, |event| match event {
            Event::Store { call: answered, outcome } if answered == call => Some(outcome),
            _ => None,
        })
    }

    fn agent(&self, at: SocketAddr, command: AgentCommand) -> Result<bool, AgentError> {
        self.platform.command_host(host("a"), at, command);
        support::next_event(&self.events, |event| match event {
            Event::Agent { outcome, .. } => Some(outcome.map(|status| status.ready)),
            _ => None,
        })
    }

    fn host_list(&self) -> Option<Vec<(String, bool)>> {
        self.platform.read_host_list();
        let hosts = support::next_event(&self.events, |event| match event {
            Event::HostList { hosts } => Some(hosts),
            _ => None,
        });
        Some(hosts?.iter().map(|listed| (listed.host.to_string(), listed.leaving)).collect())
    }
}

fn get(key: &str) -> StoreRequest {
    StoreRequest::Get { key: key.into() }
}

fn write(key: &str, expected: u64, value: &str) -> StoreRequest {
    write_under(key, expected, value, None)
}

fn write_under(key: &str, expected: u64, value: &str, lease: Option<LeaseId>) -> StoreRequest {
    StoreRequest::CompareAndSwap {
        key: key.into(),
        expected: Version(expected),
        value: value.as_bytes().into(),
        lease,
    }
}

fn watch(key: &str, after: u64, wait: Duration) -> StoreRequest {
    StoreRequest::Watch { key: key.into(), after: Version(after), wait }
}

fn value(key: &str, version: u64, value: &str) -> KeyValue {
    KeyValue { key: key.into(), version: Version(version), value: value.as_bytes().into() }
}

fn down() -> Faults {
    Faults { down: true, ..Faults::default() }
}

fn losing_answers() -> Faults {
    Faults { lose_answers: true, ..Faults::default() }
}

fn reboot(not_after: UnixMillis) -> AgentCommand {
    AgentCommand::Reboot { operation: OperationId::from("reboot-1"), not_after }
}

/// Answers two calls with 503 and then closes.
fn unhelpful_proxy() -> SocketAddr {
    let listener = TcpListener::bind(support::any_port()).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for _ in 0..2 {
            let (mut stream, _) = listener.accept().unwrap();
            let mut buf = [0; 1_024];
            let _ = stream.read(&mut buf).unwrap();
            let answer =
                b"HTTP/1.1 503 Unavailable\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
            stream.write_all(answer).unwrap();
        }
    });
    address
}

fn machine(runner: &Runner) -> HostStandin {
    let options = HostOptions {
        host: host("a"),
        target: support::any_port(),
        agent: support::any_port(),
        slots: 1,
        boot_time: Duration::from_millis(1),
        peak_watts: 100,
        boot_watts: 120,
    };
    HostStandin::start(&runner.ex, options).unwrap()
}

#[test]
fn keys_are_written_read_listed_and_deleted() {
    let f = fixture();

    let absent = f.call(get("a/x"), TIMEOUT);
    let written = f.call(write("a/x", 0, "one"), TIMEOUT);
    let Ok(StoreResponse::Written { version }) = written else { panic!("{written:?}") };
    let conflict = f.call(write("a/x", 0, "two"), TIMEOUT);
    let read = f.call(get("a/x"), TIMEOUT);
    let listed = f.call(StoreRequest::List { prefix: "a/".into() }, TIMEOUT);
    let delete = StoreRequest::Delete { key: "a/x".into(), expected: version };
    let deleted = f.call(delete, TIMEOUT);

    assert_eq!(absent, Ok(StoreResponse::Value(None)));
    assert_eq!(conflict, Ok(StoreResponse::Conflict));
    assert_eq!(read, Ok(StoreResponse::Value(Some(value("a/x", version.0, "one")))));
    assert_eq!(listed, Ok(StoreResponse::Values(vec![value("a/x", version.0, "one")])));
    assert_eq!(deleted, Ok(StoreResponse::Done));
    assert_eq!(f.store.value("a/x"), None);
}

#[test]
fn a_watch_ends_with_the_change_or_with_its_time() {
    let f = fixture();
    f.call(write("x", 0, "one"), TIMEOUT).unwrap();

    let unchanged = f.call(watch("x", 1, Duration::from_millis(20)), TIMEOUT);
    f.platform.call_store(CallId(1), watch("x", 1, Duration::from_secs(10)), TIMEOUT);
    f.platform.call_store(CallId(2), write("x", 1, "two"), TIMEOUT);
    let changed = support::next_event(&f.events, |event| match event {
        Event::Store { call: CallId(1), outcome } => Some(outcome),
        _ => None,
    });

    assert_eq!(unchanged, Ok(StoreResponse::Value(None)));
    assert_eq!(changed, Ok(StoreResponse::Value(Some(value("x", 2, "two")))));
}

#[test]
fn a_lease_is_granted_kept_alive_and_ends() {
    let f = fixture();
    let ttl = Duration::from_secs(60);

    let granted = f.call(StoreRequest::GrantLease { ttl }, TIMEOUT);
    let Ok(StoreResponse::Lease { lease, .. }) = granted else { panic!("{granted:?}") };
    let kept = f.call(StoreRequest::KeepAlive { lease }, TIMEOUT);
    let revoked = f.call(StoreRequest::RevokeLease { lease }, TIMEOUT);
    let lost = f.call(StoreRequest::KeepAlive { lease }, TIMEOUT);
    let write_lost = f.call(write_under("x", 0, "one", Some(lease)), TIMEOUT);

    assert_eq!(kept, Ok(StoreResponse::Lease { lease, ttl }));
    assert_eq!(revoked, Ok(StoreResponse::Done));
    assert_eq!(lost, Ok(StoreResponse::LeaseLost));
    assert_eq!(write_lost, Ok(StoreResponse::LeaseLost));
}

/// The store carries a write out and the connection breaks before its answer. An operator would see
/// the change undone and made again if this were taken for "not sent".
#[test]
fn a_write_whose_answer_is_lost_is_not_called_unsent() {
    let f = fixture();
    f.store.faults.set(losing_answers());

    let outcome = f.call(write("x", 0, "one"), TIMEOUT);

    assert_eq!(outcome, Err(StoreError::AnswerLost));
    assert_eq!(f.store.value("x").as_deref(), Some(&b"one"[..]));
}

/// Nobody listens at the store's only address. The write had no effect, and saying so lets the
/// writer try again at once.
#[test]
fn a_write_to_a_closed_port_was_not_sent() {
    let f = fixture_with(|cfg| cfg, |_| vec![support::closed_port()]);

    let outcome = f.call(write("x", 0, "one"), TIMEOUT);

    assert_eq!(outcome, Err(StoreError::NotSent));
}

/// One of the store's addresses is gone. Without the others a daemon would take the store for down.
#[test]
fn the_next_address_serves_when_the_first_is_gone() {
    let f = fixture_with(|cfg| cfg, |store| vec![support::closed_port(), store]);

    let outcome = f.call(write("x", 0, "one"), TIMEOUT);

    assert_eq!(outcome, Ok(StoreResponse::Written { version: Version(1) }));
}

/// One of the store's addresses leads to a proxy that answers 503 for a store it cannot reach. Reads
/// go on to the next address; a write may have passed the proxy, so it is not sent again, and the
/// next one begins at the address that works.
#[test]
fn an_answer_that_says_nothing_counts_as_none() {
    let proxy = unhelpful_proxy();
    let f = fixture_with(|cfg| cfg, |store| vec![proxy, store]);

    let lost = f.call(write("x", 0, "one"), TIMEOUT);
    let written = f.call(write("x", 0, "two"), TIMEOUT);
    let fresh = fixture_with(|cfg| cfg, |store| vec![proxy, store]);
    let read = fresh.call(get("x"), TIMEOUT);

    assert_eq!(lost, Err(StoreError::AnswerLost));
    assert_eq!(written, Ok(StoreResponse::Written { version: Version(1) }));
    assert_eq!(read, Ok(StoreResponse::Value(None)));
}

/// Something between daemon and store loses track of the open connections. Calls on them get no
/// answer, for good, while new connections work: a daemon that kept them would be without the store
/// until it is restarted.
#[test]
fn a_read_on_a_silent_connection_is_made_again_on_a_new_one() {
    let f = fixture();
    f.call(write("x", 0, "one"), TIMEOUT).unwrap();
    f.store.faults.silence_open_connections();

    let read = f.call(get("x"), Duration::from_secs(2));

    assert_eq!(read, Ok(StoreResponse::Value(Some(value("x", 1, "one")))));
}

/// As above, with a write: it may have arrived, so it is not made again, but the next call finds a
/// connection that works.
#[test]
fn a_write_on_a_silent_connection_is_lost_once() {
    let f = fixture();
    f.call(write("x", 0, "one"), TIMEOUT).unwrap();
    f.store.faults.silence_open_connections();

    let lost = f.call(write("x", 1, "two"), SHORT);
    let written = f.call(write("x", 1, "two"), TIMEOUT);

    assert_eq!(lost, Err(StoreError::AnswerLost));
    assert_eq!(written, Ok(StoreResponse::Written { version: Version(2) }));
}

/// A watch goes silent. It ends by itself a little after the store should have answered, so the
/// daemon notices and reads the document again.
#[test]
fn a_watch_that_went_silent_ends() {
    let f = fixture();
    f.call(write("x", 0, "one"), TIMEOUT).unwrap();
    f.store.faults.silence_open_connections();

    let outcome = f.call(watch("x", 1, Duration::from_millis(50)), SHORT);

    assert_eq!(outcome, Err(StoreError::AnswerLost));
}

#[test]
fn a_connection_past_its_age_is_not_used_again() {
    let f = fixture_with(|cfg| cfg.connection_age(Duration::ZERO), |store| vec![store]);
    f.call(write("x", 0, "one"), TIMEOUT).unwrap();
    f.store.faults.silence_open_connections();

    let written = f.call(write("x", 1, "two"), TIMEOUT);

    assert_eq!(written, Ok(StoreResponse::Written { version: Version(2) }));
}

/// The store answers after seconds. A call must not wait longer than the reducer asked, or every
/// decision behind it would wait too.
#[test]
fn a_slow_store_does_not_hold_a_call_past_its_time() {
    let f = fixture();
    f.store.faults.set(Faults { delay_ms: 60_000, ..Faults::default() });
    let begun = Instant::now();

    let outcome = f.call(write("x", 0, "one"), SHORT);

    assert_eq!(outcome, Err(StoreError::AnswerLost));
    assert!(begun.elapsed() < support::LIVENESS);
}

/// The store goes up and down, loses answers and silences connections while a daemon writes. Each
/// write that is called unsent must be absent, and each that is called written must be there.
#[test]
fn what_is_said_of_a_write_is_true_whatever_goes_wrong() {
    let f = fixture();
    let mut rng = fastrand::Rng::with_seed(7);
    let mut unsent = Vec::new();
    let (mut written, mut lost) = (0, 0);

    for turn in 0..150 {
        match rng.u8(0..6) {
            0 => f.store.faults.set(losing_answers()),
            1 => f.store.faults.set(down()),
            2 => f.store.faults.silence_open_connections(),
            _ => f.store.faults.set(Faults::default()),
        }
        let key = format!("k{turn}");
        let outcome = f.call(write(&key, 0, "one"), Duration::from_millis(60));
        match outcome {
            Ok(_) => {
                assert!(f.store.value(&key).is_some(), "{key}: written and absent");
                written += 1;
            }
            Err(StoreError::NotSent) => unsent.push(key),
            Err(_) => lost += 1,
        }
    }

    for key in unsent {
        assert!(f.store.value(&key).is_none(), "{key}: unsent and present");
    }
    assert!(written > 0 && lost > 0, "{written} written, {lost} lost");
}

/// A loop of ours calls the store as fast as it answers. The store serves others too: past the
/// budget calls end here, while a lease is still kept alive.
#[test]
fn calls_past_the_budget_do_not_reach_the_store() {
    let f = fixture_with(|cfg| cfg.calls_per_second(2), |store| vec![store]);

    let outcomes: Vec<_> = (0..20).map(|_| f.call(get("x"), TIMEOUT)).collect();
    let lease = f.call(StoreRequest::GrantLease { ttl: TIMEOUT }, TIMEOUT);

    let refused = outcomes.iter().filter(|outcome| **outcome == Err(StoreError::NotSent)).count();
    assert!(refused >= 10, "{refused} of 20 were refused");
    assert!(lease.is_ok());
}

#[test]
fn an_agent_reports_obeys_and_refuses() {
    let f = fixture();
    let machine = machine(&f.runner);

    let status = f.agent(machine.agent(), AgentCommand::Status);
    let late = f.agent(machine.agent(), reboot(UnixMillis(1)));
    let obeyed = f.agent(machine.agent(), reboot(UnixMillis(u64::MAX)));

    assert_eq!(status, Ok(true));
    assert_eq!(late, Err(AgentError::Refused));
    assert!(obeyed.is_ok());
    assert_eq!(machine.counts().reboots, 1);
}

#[test]
fn an_agent_that_does_not_answer_is_silent() {
    let f = fixture();
    let machine = machine(&f.runner);
    f.agent(machine.agent(), AgentCommand::Status).unwrap();
    machine.agent_faults.silence_open_connections();

    let silent = f.agent(machine.agent(), AgentCommand::Status);
    let again = f.agent(machine.agent(), AgentCommand::Status);

    assert_eq!(silent, Err(AgentError::Silent));
    assert_eq!(again, Ok(true));
}

#[test]
fn the_host_list_is_read_or_missing() {
    let f = fixture();
    f.hosts.set(host("b"), Some(true));

    let read = f.host_list();
    f.hosts.faults.set(down());
    let missing = f.host_list();

    assert_eq!(read, Some(vec![("a".to_owned(), false), ("b".to_owned(), true)]));
    assert_eq!(missing, None);
}

#[test]
fn calls_are_counted_by_kind() {
    let metrics = borageswitch_edge::observe::Metrics::new().unwrap();
    let f = fixture_with(|cfg| cfg.meter(metrics.meter()), |store| vec![store]);

    f.call(write("x", 0, "one"), TIMEOUT).unwrap();
    f.call(get("x"), TIMEOUT).unwrap();
    f.call(get("x"), TIMEOUT).unwrap();

    let text: Arc<str> = metrics.text().unwrap().into();
    assert!(
        text.contains(r#"borageswitch_platform_calls_total{kind="get",result="ok"} 2"#),
        "{text}"
    );
    assert!(
        text.contains(r#"borageswitch_platform_calls_total{kind="write",result="ok"} 1"#),
        "{text}"
    );
}
