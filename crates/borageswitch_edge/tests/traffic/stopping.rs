//! Planned stops of targets and of daemons cut nothing.

use std::{
    io::{Read, Write},
    net::TcpStream,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

use borageswitch_types::{Time, fleet::Revision, view::TargetState};

use crate::support::{Entry, LIVENESS, ask, eventually, get, host, ok, target, view, with_state};

/// A target that holds each request until the test lets it go.
fn holding_target() -> (std::net::SocketAddr, async_channel::Sender<()>, Arc<AtomicU32>) {
    let (release, released) = async_channel::unbounded::<()>();
    let started = Arc::new(AtomicU32::new(0));
    let seen = Arc::clone(&started);
    let address = target(move |_| {
        seen.fetch_add(1, Ordering::SeqCst);
        let released = released.clone();
        async move {
            let _ = released.recv().await;
            ok("done")
        }
    });
    (address, release, started)
}

fn wait_for(entry: &Entry, counter: &AtomicU32, wanted: u32) {
    eventually(entry, || counter.load(Ordering::SeqCst) >= wanted);
}

/// A host leaves while it runs a request. It gets no new one from the moment the view is in
/// force, its request ends by itself, and the report then says that nothing is in flight, which
/// is what the reboot waits for.
#[test]
fn a_leaving_host_gets_nothing_new_and_finishes_what_it_has() {
    let (leaving, release, started) = holding_target();
    let other = target(|_| async { ok("other") });
    let entry = Entry::start(crate::support::config().build());
    entry.traffic.publish_view(Arc::new(view(1, &[leaving])));
    let address = entry.address();
    let first = thread::spawn(move || ask(address, get("/")));
    wait_for(&entry, &started, 1);

    let next = with_state(view(2, &[leaving, other]), 0, TargetState::Leaving);
    entry.traffic.publish_view(Arc::new(next));
    let busy = entry.wait_for_report(|report| report.applied == Revision(2));
    let later: Vec<_> = (0..20).map(|_| ask(entry.address(), get("/"))).collect();
    release.send_blocking(()).expect("the target waits");
    let drained = entry.wait_for_report(|report| report.draining.get(&host(0)) == Some(&0));

    assert_eq!(busy.draining.get(&host(0)), Some(&1));
    assert!(later.iter().all(|received| received.text() == "other"));
    assert_eq!(first.join().expect("the call ends").text(), "done");
    assert_eq!(started.load(Ordering::SeqCst), 1);
    assert_eq!(drained.applied, Revision(2));
}

/// A host that has vanished from the view while a request runs on it is still reported, or a
/// planner could think it free and reboot it under the request.
#[test]
fn a_host_that_left_the_view_is_reported_until_it_is_free() {
    let (leaving, release, started) = holding_target();
    let entry = Entry::serving(&[leaving]);
    let address = entry.address();
    let call = thread::spawn(move || ask(address, get("/")));
    wait_for(&entry, &started, 1);

    entry.traffic.publish_view(Arc::new(view(2, &[])));
    let busy = entry.wait_for_report(|report| report.applied == Revision(2));
    release.send_blocking(()).expect("the target waits");
    let free = entry.wait_for_report(|report| report.unfinished == 0);

    assert_eq!(busy.draining.get(&host(0)), Some(&1));
    assert_eq!(call.join().expect("the call ends").text(), "done");
    assert_eq!(free.draining.get(&host(0)), None);
}

/// The daemon is told to stop while requests run over kept connections. Every one of them gets
/// its whole answer, is told that the connection ends, and then the daemon is idle.
#[test]
fn a_stopping_daemon_finishes_its_requests() {
    let (address, release, started) = holding_target();
    let entry = Entry::serving(&[address]);
    let mut callers: Vec<TcpStream> = (0..4).map(|_| keep_alive_call(&entry)).collect();
    wait_for(&entry, &started, 4);

    entry.traffic.shutdown();
    // Long enough that idle connections are already being closed.
    thread::sleep(Duration::from_millis(150));
    drop(release);

    for caller in &mut callers {
        let mut answer = String::new();
        caller.read_to_string(&mut answer).expect("the answer comes whole");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(answer.contains("connection: close"), "{answer}");
        assert!(answer.ends_with("done"), "{answer}");
    }
    eventually(&entry, || entry.traffic.is_idle());
    assert!(TcpStream::connect(entry.address()).is_err(), "the port is closed");
}

/// A request reaches a kept connection just after the daemon began to stop. It was on its way
/// already, so it is served all the same.
#[test]
fn a_request_on_its_way_when_the_daemon_stops_is_served() {
    let address = target(|_| async { ok("served") });
    let entry = Entry::start(crate::support::config().linger(LIVENESS).build());
    entry.traffic.publish_view(Arc::new(view(1, &[address])));
    let mut caller = TcpStream::connect(entry.address()).expect("the entry listens");
    caller.set_read_timeout(Some(LIVENESS)).expect("a socket");
    eventually(&entry, || entry.traffic.counters().open_connections == 1);

    entry.traffic.shutdown();
    caller.write_all(REQUEST).expect("the entry reads");
    let mut answer = String::new();
    caller.read_to_string(&mut answer).expect("the answer comes whole");

    assert!(answer.ends_with("served"), "{answer}");
}

/// A view that does not admit: the daemon may be cut off. The caller is told at once when to come
/// back, and a request that is in flight goes on.
#[test]
fn a_daemon_that_may_not_admit_says_so_at_once() {
    let (address, release, started) = holding_target();
    let entry = Entry::serving(&[address]);
    let entry_address = entry.address();
    let running = thread::spawn(move || ask(entry_address, get("/")));
    wait_for(&entry, &started, 1);
    let mut closed = view(2, &[address]);
    closed.admitting = false;
    closed.retry_after = Duration::from_millis(1_500);

    entry.traffic.publish_view(Arc::new(closed));
    let refused = ask(entry.address(), get("/"));
    drop(release);

    assert_eq!((refused.status, refused.header("retry-after")), (503, "2"));
    assert_eq!(refused.header("borageswitch-ran"), "no");
    assert!(refused.text().contains("\"retry_after_ms\":1500"), "{}", refused.text());
    assert_eq!(running.join().expect("the call ends").text(), "done");
}

/// A request waits for the only slot when the daemon's permission to serve ends, as after a pause of
/// the whole process. By then the host may be rebooting or serve another pool; the request is told
/// that it did not run, and never starts there.
#[test]
fn a_waiting_request_does_not_start_after_the_permission_has_ended() {
    let (address, release, started) = holding_target();
    let mut narrow = view(1, &[address]);
    for target in narrow.services.values_mut().flat_map(|service| service.targets.values_mut()) {
        (target.slots, target.dealt_slots) = (1, 1);
    }
    let entry = Entry::start(crate::support::config().build());
    entry.traffic.publish_view(Arc::new(narrow));
    let entry_address = entry.address();
    let running = thread::spawn(move || ask(entry_address, get("/")));
    wait_for(&entry, &started, 1);
    let waiting = thread::spawn(move || ask(entry_address, get("/")));
    entry.wait_for_report(|report| report.unfinished == 2);

    entry.traffic.admit_until(Time::ZERO);
    release.send_blocking(()).expect("the target waits");
    let refused = waiting.join().expect("the call ends");

    assert_eq!((refused.status, refused.header("borageswitch-ran")), (503, "no"));
    assert_eq!(running.join().expect("the call ends").text(), "done");
    assert_eq!(started.load(Ordering::SeqCst), 1);
}

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: x\r\nborageswitch-service: pricing\r\n\r\n";

fn keep_alive_call(entry: &Entry) -> TcpStream {
    let mut stream = TcpStream::connect(entry.address()).expect("the entry listens");
    stream.set_read_timeout(Some(LIVENESS)).expect("a socket");
    stream.write_all(REQUEST).expect("the entry reads");
    stream
}
