//! Connections to a target that have gone silent are replaced while new ones work.

use std::{
    io::Write,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::support::{Entry, LIVENESS, ask, config, get, raw_target, read_head, view, with_header};

/// A target whose connections opened before `lost` was set say nothing any more, as if the path
/// had forgotten them; newer ones work.
fn forgetful_target(lost: &Arc<AtomicBool>) -> std::net::SocketAddr {
    let lost = Arc::clone(lost);
    raw_target(move |_, mut stream| {
        let opened_before = !lost.load(Ordering::SeqCst);
        while !read_head(&mut stream).is_empty() {
            if opened_before && lost.load(Ordering::SeqCst) {
                thread::sleep(LIVENESS);
                return;
            }
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
        }
    })
}

/// The path between entry and target forgets all open connections at once. Requests that go out
/// on them vanish, until the entry has seen that a new connection answers: then it drops the old
/// ones and tries again, long before the callers' deadlines.
#[test]
fn silent_connections_are_given_up_and_replaced() {
    let lost = Arc::new(AtomicBool::new(false));
    let address = forgetful_target(&lost);
    let entry = Entry::start(config().silence(Duration::from_millis(100)).build());
    entry.traffic.publish_view(Arc::new(view(1, &[address])));
    for _ in 0..20 {
        ask(entry.address(), get("/price"));
    }

    lost.store(true, Ordering::SeqCst);
    let entry_address = entry.address();
    let calls: Vec<_> =
        (0..8).map(|_| thread::spawn(move || ask(entry_address, get("/price")))).collect();
    let received: Vec<_> =
        calls.into_iter().map(|call| call.join().expect("the call ends")).collect();

    for received in received {
        assert_eq!((received.status, received.text()), (200, "ok"));
    }
    assert!(entry.traffic.counters().target_connections_silent >= 1);
}

/// One slot is all that this entry has, and a silent connection holds it. No other request could
/// show that the target is well, so the entry asks by itself.
#[test]
fn a_probe_shows_that_the_target_is_well_when_every_slot_is_silent() {
    let lost = Arc::new(AtomicBool::new(false));
    let address = forgetful_target(&lost);
    let entry = Entry::start(config().silence(Duration::from_millis(100)).build());
    let mut narrow = view(1, &[address]);
    for target in narrow.services.values_mut().flat_map(|service| service.targets.values_mut()) {
        target.dealt_slots = 1;
        target.dealt_connections = 1;
    }
    entry.traffic.publish_view(Arc::new(narrow));
    for _ in 0..20 {
        ask(entry.address(), get("/price"));
    }

    lost.store(true, Ordering::SeqCst);
    let received = ask(entry.address(), get("/price"));

    assert_eq!((received.status, received.text()), (200, "ok"));
    assert_eq!(entry.traffic.counters().target_connections_silent, 1);
}

/// A long job of a kind that was never seen runs while short requests are answered over newer
/// connections. Its connection must stay.
#[test]
fn a_long_job_is_not_mistaken_for_a_silent_connection() {
    let address = raw_target(|_, mut stream| {
        loop {
            let head = read_head(&mut stream);
            if head.is_empty() {
                return;
            }
            if head.contains("/job") {
                thread::sleep(Duration::from_millis(1_500));
            }
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
        }
    });
    let entry = Entry::start(config().silence(Duration::from_millis(100)).build());
    entry.traffic.publish_view(Arc::new(view(1, &[address])));
    let entry_address = entry.address();

    let job = thread::spawn(move || {
        ask(entry_address, with_header(get("/job"), "borageswitch-deadline-ms", "15000"))
    });
    while !job.is_finished() {
        assert_eq!(ask(entry.address(), get("/price")).text(), "ok");
    }

    assert_eq!(job.join().expect("the call ends").text(), "ok");
    assert_eq!(entry.traffic.counters().target_connections_silent, 0);
    assert_eq!(entry.traffic.counters().retries, 0);
}
