//! A request that is not idempotent is sent at most once, and only under a claim.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

use borageswitch_control::Event;
use borageswitch_types::claim::{ClaimOutcome, ClaimTicket};

use crate::support::{
    Entry, ask, config, eventually, get, ok, post, refusing_address, target, view, with_header,
};

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

/// Stands in for the store's claims: an id stays claimed until its ticket is given back.
fn keep_claims(entry: &Entry) -> Arc<Mutex<BTreeMap<String, ClaimTicket>>> {
    let claimed = Arc::new(Mutex::new(BTreeMap::<String, ClaimTicket>::new()));
    let kept = Arc::clone(&claimed);
    let (traffic, events) = (entry.traffic.clone(), entry.events.clone());
    thread::spawn(move || {
        while let Ok(event) = events.recv_blocking() {
            let mut kept = kept.lock().expect("no panic");
            match event {
                Event::Claim(claim) => {
                    let id = claim.request_id.to_string();
                    let is_free = !kept.contains_key(&id);
                    kept.entry(id).or_insert(claim.ticket);
                    let outcome =
                        if is_free { ClaimOutcome::Granted } else { ClaimOutcome::AlreadyClaimed };
                    traffic.answer_claim(claim.ticket, outcome);
                }
                Event::ReleaseClaim(ticket) => kept.retain(|_, holder| *holder != ticket),
                _ => {}
            }
        }
    });
    claimed
}

/// A target that refuses in the documented way until it is told to pay.
fn target_that_refuses_at_first() -> (std::net::SocketAddr, Arc<AtomicU32>, Arc<AtomicU32>) {
    let runs = Arc::new(AtomicU32::new(0));
    let paying = Arc::new(AtomicU32::new(0));
    let (seen, may_pay) = (Arc::clone(&runs), Arc::clone(&paying));
    let address = target(move |_| {
        let pays = may_pay.load(Ordering::SeqCst) > 0;
        if pays {
            seen.fetch_add(1, Ordering::SeqCst);
        }
        async move {
            let mut res = ok(if pays { "paid" } else { "" });
            if !pays {
                *res.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE;
                let yes = http::HeaderValue::from_static("yes");
                res.headers_mut().insert("target-refused", yes);
            }
            res
        }
    });
    (address, runs, paying)
}

/// Every target refuses a payroll in the documented way, and its clerk, told "not run", sends it
/// again under its id. Were the claim to stand, that payroll could not run for the whole window.
/// Once it ran, a further resend is refused.
#[test]
fn a_payroll_that_every_target_refused_runs_once_when_sent_again() {
    let (address, runs, paying) = target_that_refuses_at_first();
    let entry = Entry::serving(&[address]);
    let claimed = keep_claims(&entry);

    let refused = ask(entry.address(), with_header(payroll(), "borageswitch-deadline-ms", "300"));
    eventually(&entry, || claimed.lock().expect("no panic").is_empty());
    paying.store(1, Ordering::SeqCst);
    let paid = ask(entry.address(), payroll());
    let again = ask(entry.address(), payroll());

    assert_eq!(refused.header("borageswitch-ran"), "no");
    assert_eq!(paid.text(), "paid");
    assert_eq!(again.header("borageswitch-error"), "already-claimed");
    assert_eq!(runs.load(Ordering::SeqCst), 1);
}

/// Nothing listens at the target's address. Its clerk is told "not run" and the claim is free.
#[test]
fn a_refused_connection_gives_the_claim_back() {
    let entry = Entry::serving(&[refusing_address()]);
    let claimed = keep_claims(&entry);

    let refused = ask(entry.address(), with_header(payroll(), "borageswitch-deadline-ms", "300"));

    assert_eq!(refused.header("borageswitch-ran"), "no");
    eventually(&entry, || claimed.lock().expect("no panic").is_empty());
}

/// A target breaks the connection after it has read the request. It may have paid, so the claim
/// must stand and the resend be refused.
#[test]
fn a_request_that_may_have_run_keeps_its_claim() {
    let address = crate::support::raw_target(|_, mut stream| {
        crate::support::read_head(&mut stream);
    });
    let entry = Entry::serving(&[address]);
    keep_claims(&entry);

    let lost = ask(entry.address(), payroll());
    let again = ask(entry.address(), payroll());

    assert_eq!(lost.header("borageswitch-ran"), "unknown");
    assert_eq!(again.header("borageswitch-error"), "already-claimed");
}

/// The claim is granted after the request was given up and answered "not run". It comes back.
#[test]
fn a_claim_granted_too_late_is_given_back() {
    let (address, runs) = counting_target();
    let entry = Entry::start(config().claim_hold(Duration::from_millis(50)).build());
    entry.traffic.publish_view(Arc::new(view(1, &[address])));

    let given_up = ask(entry.address(), with_header(payroll(), "borageswitch-deadline-ms", "300"));
    let mut asked = None;
    let mut released = None;
    while released.is_none() {
        match crate::support::within(entry.events.recv()).expect("the traffic part runs") {
            Event::Claim(claim) => {
                entry.traffic.answer_claim(claim.ticket, ClaimOutcome::Granted);
                asked = Some(claim.ticket);
            }
            Event::ReleaseClaim(ticket) => released = Some(ticket),
            _ => {}
        }
    }

    assert_eq!(given_up.header("borageswitch-error"), "claim-unavailable");
    assert_eq!(released, asked);
    assert_eq!(runs.load(Ordering::SeqCst), 0);
}
