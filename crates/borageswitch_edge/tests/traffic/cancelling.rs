//! A caller that goes away costs nothing more.

use std::{
    io::Write,
    net::TcpStream,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};

use borageswitch_types::claim::ClaimOutcome;

use crate::support::{Entry, ask, eventually, get, ok, raw_target, read_head, target};

const REQUEST: &[u8] = b"GET /slow HTTP/1.1\r\nhost: x\r\nborageswitch-service: pricing\r\n\r\n";

/// Callers give up while their requests run. Their connections to the target are closed, so that
/// the target can notice too, and their slots serve others.
#[test]
fn a_running_request_is_dropped_with_its_caller() {
    let started = Arc::new(AtomicU32::new(0));
    let closed = Arc::new(AtomicU32::new(0));
    let (seen_start, seen_close) = (Arc::clone(&started), Arc::clone(&closed));
    let address = raw_target(move |_, mut stream| {
        let head = read_head(&mut stream);
        if head.contains("/slow") {
            seen_start.fetch_add(1, Ordering::SeqCst);
            // Nothing comes until the entry closes.
            read_head(&mut stream);
            seen_close.fetch_add(1, Ordering::SeqCst);
            return;
        }
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
    });
    let entry = Entry::serving(&[address]);
    let callers: Vec<_> = (0..8).map(|_| send(&entry)).collect();
    eventually(&entry, || started.load(Ordering::SeqCst) == 8);

    drop(callers);

    eventually(&entry, || closed.load(Ordering::SeqCst) == 8);
    assert_eq!(ask(entry.address(), get("/quick")).text(), "ok");
    wait_for_in_flight(&entry, 0);
}

/// Callers give up while their requests wait for a slot. The requests never reach a target.
#[test]
fn a_waiting_request_is_withdrawn_with_its_caller() {
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
    let entry = Entry::serving(&[address]);
    let running: Vec<_> = (0..8).map(|_| send(&entry)).collect();
    wait_for_in_flight(&entry, 8);
    let waiting: Vec<_> = (0..8).map(|_| send(&entry)).collect();
    eventually(&entry, || entry.traffic.counters().unfinished == 16);

    drop(waiting);
    eventually(&entry, || entry.traffic.counters().unfinished == 8);
    drop(release);
    eventually(&entry, || entry.traffic.counters().unfinished == 0);

    assert_eq!(started.load(Ordering::SeqCst), 8);
    drop(running);
}

fn send(entry: &Entry) -> TcpStream {
    let mut stream = TcpStream::connect(entry.address()).expect("the entry listens");
    stream.write_all(REQUEST).expect("the entry reads");
    stream
}

fn wait_for_in_flight(entry: &Entry, wanted: u64) {
    eventually(entry, || {
        let stats = entry.traffic.stats();
        let in_flight = stats["services"]["pricing"]["in_flight"]["h0"].as_u64().unwrap_or(0);
        in_flight == wanted
    });
}

/// A clerk sends a payroll and goes away. The target works on, and a host that counted as free now
/// would be rebooted in the middle of it; so the try keeps its slot until the target has answered.
#[test]
fn a_sent_request_that_is_not_idempotent_outlives_its_caller() {
    let (release, released) = async_channel::unbounded::<()>();
    let started = Arc::new(AtomicU32::new(0));
    let seen = Arc::clone(&started);
    let address = target(move |_| {
        seen.fetch_add(1, Ordering::SeqCst);
        let released = released.clone();
        async move {
            let _ = released.recv().await;
            ok("paid")
        }
    });
    let entry = Entry::serving(&[address]);
    entry.answer_claims(|_| ClaimOutcome::Granted);
    let mut caller = TcpStream::connect(entry.address()).expect("the entry listens");
    let payroll = "POST /run HTTP/1.1\r\nhost: x\r\nborageswitch-service: pricing\r\n\
                   borageswitch-request-id: r1\r\ncontent-length: 0\r\n\r\n";
    caller.write_all(payroll.as_bytes()).expect("the entry reads");
    eventually(&entry, || started.load(Ordering::SeqCst) == 1);

    drop(caller);
    eventually(&entry, || entry.traffic.counters().open_connections == 0);
    let unfinished = entry.traffic.counters().unfinished;
    wait_for_in_flight(&entry, 1);
    entry.traffic.shutdown();
    let idle = entry.traffic.is_idle();
    release.send_blocking(()).expect("the target waits");

    assert_eq!((unfinished, idle), (1, false));
    eventually(&entry, || entry.traffic.is_idle());
}
