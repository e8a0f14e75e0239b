//! A request that is not idempotent is sent at most once, and only under a claim.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

use borageswitch_types::claim::ClaimOutcome;

use crate::support::{Entry, ask, config, eventually, get, ok, post, target, view, with_header};

fn payroll() -> http::Request<http_body_util::Full<bytes::Bytes>> {
    let req = with_header(post("/run", b"december"), "borageswitch-caller", "clerk");
    with_header(req, "borageswitch-request-id", "payroll-december")
}

fn counting_target() -> (std::net::SocketAddr, Arc<AtomicU32>) {
    let runs = Arc::new(AtomicU32::new(0));
    let seen = Arc::clone(&runs);
    let address = target(move |_| {
        seen.fetch_add(1, Ordering::SeqCst);
        async { ok("paid") }
    });
    (address, runs)
}

#[test]
fn without_a_request_id_nothing_is_sent() {
    let (address, runs) = counting_target();
    let entry = Entry::serving(&[address]);

    let received = ask(entry.address(), post("/run", b"december"));

    assert_eq!(received.status, 400);
    assert_eq!(received.header("borageswitch-error"), "missing-request-id");
    assert_eq!(runs.load(Ordering::SeqCst), 0);
}

#[test]
fn a_granted_claim_names_caller_and_id() {
    let (address, runs) = counting_target();
    let entry = Entry::serving(&[address]);
    let claims = Arc::new(Mutex::new(Vec::new()));
    let seen = Arc::clone(&claims);
    entry.answer_claims(move |id| {
        seen.lock().expect("no panic").push(id.to_owned());
        ClaimOutcome::Granted
    });

    let received = ask(entry.address(), payroll());

    assert_eq!(received.text(), "paid");
    assert_eq!(runs.load(Ordering::SeqCst), 1);
    assert_eq!(*claims.lock().expect("no panic"), ["clerk/payroll-december"]);
}

/// The clerk's first try went through another entry, and its answer was lost. The resend must not
/// pay a second time, and must not say "no" either.
#[test]
fn a_resend_finds_the_claim() {
    let (address, runs) = counting_target();
    let entry = Entry::serving(&[address]);
    entry.answer_claims(|_| ClaimOutcome::AlreadyClaimed);

    let received = ask(entry.address(), payroll());

    assert_eq!(received.status, 409);
    assert_eq!(received.header("borageswitch-ran"), "unknown");
    assert_eq!(runs.load(Ordering::SeqCst), 0);
}

/// The store does not answer at all. The request is not sent and says so, and its slot is free
/// again long before its deadline, or an outage of the store would stop other requests too.
#[test]
fn without_an_answer_to_the_claim_nothing_is_sent() {
    let (address, runs) = counting_target();
    let cfg = config().claim_hold(Duration::from_millis(50)).build();
    let entry = Entry::start(cfg);
    entry.traffic.publish_view(Arc::new(view(1, &[address])));

    let received = ask(entry.address(), with_header(payroll(), "borageswitch-deadline-ms", "400"));

    assert_eq!(received.status, 503);
    assert_eq!(received.header("borageswitch-error"), "claim-unavailable");
    assert_eq!(received.header("borageswitch-ran"), "no");
    assert_eq!(runs.load(Ordering::SeqCst), 0);
}

/// The store is down and claims go unanswered. Clerks go on sending payrolls; were each to hold a
/// slot until its claim is given up, the service's other callers would find no slot.
#[test]
fn requests_that_wait_for_the_store_hold_no_slots() {
    let (address, runs) = counting_target();
    let cfg = config().claim_hold(Duration::from_millis(50)).build();
    let entry = Entry::start(cfg);
    entry.traffic.publish_view(Arc::new(view(1, &[address])));
    let first = ask(entry.address(), payroll());
    let entry_address = entry.address();
    let waiting: Vec<_> = (0..20)
        .map(|_| {
            let req = with_header(payroll(), "borageswitch-deadline-ms", "1500");
            thread::spawn(move || ask(entry_address, req))
        })
        .collect();
    eventually(&entry, || entry.traffic.counters().unfinished >= 20);

    let in_flight = entry.traffic.stats()["services"]["pricing"]["in_flight"]["h0"].as_u64();
    let quick = ask(entry.address(), get("/price"));
    let refused = waiting.into_iter().map(|call| call.join().expect("the call ends"));
    let refused: Vec<_> = refused.collect();
    entry.answer_claims(|_| ClaimOutcome::Granted);
    let after = ask(entry.address(), payroll());

    assert_eq!(first.header("borageswitch-error"), "claim-unavailable");
    assert!(in_flight.unwrap_or(0) <= 1, "{in_flight:?} slots wait for the store");
    assert_eq!(quick.text(), "paid");
    for received in refused {
        assert_eq!(received.header("borageswitch-error"), "claim-unavailable");
        assert_eq!(received.header("borageswitch-ran"), "no");
    }
    assert_eq!(after.text(), "paid");
    assert_eq!(runs.load(Ordering::SeqCst), 2);
}
