//! "Not run" is said only where it is proved, and then another try is made.

use std::{
    io::Write,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};

use borageswitch_types::claim::ClaimOutcome;
use http::Response;
use http_body_util::Full;

use crate::support::{
    Entry, ask, get, ok, post, raw_target, read_head, refusing_address, target, with_header,
};

fn payroll() -> http::Request<Full<bytes::Bytes>> {
    let req = post("/run", b"december");
    with_header(req, "borageswitch-request-id", "payroll-december")
}

/// Nothing listens at the target's address any more. The connection is refused before a byte of
/// the request could leave, so "no" is true.
#[test]
fn a_refused_connection_proves_that_the_request_did_not_run() {
    let entry = Entry::serving(&[refusing_address()]);

    let received = ask(entry.address(), with_header(get("/"), "borageswitch-deadline-ms", "300"));

    assert_eq!(received.header("borageswitch-ran"), "no");
    assert!(received.status >= 500);
}

/// The target refuses in the documented way: it has not started the request. Its plain 503, on
/// the other hand, may come from half-way through, and is passed on as its answer.
#[test]
fn only_the_documented_refusal_counts_as_not_run() {
    let refusing = target(|_| async {
        let mut res = ok("full");
        *res.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE;
        res.headers_mut().insert("target-refused", http::HeaderValue::from_static("yes"));
        res
    });
    let failing = target(|_| async {
        let mut res: Response<Full<bytes::Bytes>> = ok("half done");
        *res.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE;
        res
    });

    let refused = ask(
        Entry::serving(&[refusing]).address(),
        with_header(get("/"), "borageswitch-deadline-ms", "300"),
    );
    let failed = ask(Entry::serving(&[failing]).address(), get("/"));

    assert_eq!(refused.header("borageswitch-ran"), "no");
    assert_eq!(failed.header("borageswitch-ran"), "yes");
    assert_eq!(failed.text(), "half done");
}

/// A target breaks the connection once it has read the request. Whether it ran, nobody can say:
/// a caller that was told "not run" would send a payroll twice.
#[test]
fn a_connection_that_breaks_after_sending_leaves_it_unknown() {
    let runs = Arc::new(AtomicU32::new(0));
    let seen = Arc::clone(&runs);
    let address = raw_target(move |_, mut stream| {
        if !read_head(&mut stream).is_empty() {
            seen.fetch_add(1, Ordering::SeqCst);
        }
    });
    let entry = Entry::serving(&[address]);
    entry.answer_claims(|_| ClaimOutcome::Granted);

    let received = ask(entry.address(), payroll());

    assert_eq!(received.status, 502);
    assert_eq!(received.header("borageswitch-error"), "target-lost");
    assert_eq!(received.header("borageswitch-ran"), "unknown");
    assert_eq!(runs.load(Ordering::SeqCst), 1);
}

/// The target has closed a connection that lay idle. A request put on it was never written, so
/// it goes out on another connection and the caller notices nothing.
#[test]
fn an_idle_connection_that_the_target_closed_costs_no_request() {
    let address = raw_target(|_, mut stream| {
        read_head(&mut stream);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
    });
    let entry = Entry::serving(&[address]);
    entry.answer_claims(|_| ClaimOutcome::Granted);

    for _ in 0..10 {
        let received = ask(entry.address(), get("/"));
        assert_eq!(received.text(), "ok");
        // The close that the target has already sent needs a moment on its way.
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
}
