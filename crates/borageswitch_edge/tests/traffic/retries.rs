//! An idempotent request is tried again elsewhere while that is harmless.

use std::{
    io::Write,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};

use borageswitch_types::claim::ClaimOutcome;

use crate::support::{
    Entry, ask, get, ok, post, raw_target, read_head, refusing_address, target, with_header,
};

/// One of two targets has died and its port refuses connections. Callers must not notice.
#[test]
fn a_dead_target_costs_no_request() {
    let alive = target(|_| async { ok("alive") });
    let entry = Entry::serving(&[refusing_address(), alive]);

    for _ in 0..10 {
        assert_eq!(ask(entry.address(), get("/")).text(), "alive");
    }
}

/// The first try breaks off in the middle of a small answer. No byte of it has gone to the caller
/// yet, so another try can give the caller a whole one.
#[test]
fn a_small_answer_cut_short_is_tried_again() {
    let address = raw_target(|number, mut stream| {
        while !read_head(&mut stream).is_empty() {
            let answer: &[u8] = match number {
                0 => b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf",
                _ => b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole",
            };
            let _ = stream.write_all(answer);
            if number == 0 {
                return;
            }
        }
    });
    let entry = Entry::serving(&[address]);

    let received = ask(entry.address(), get("/"));

    assert_eq!(received.text(), "whole");
    assert_eq!(entry.traffic.counters().retries, 1);
}

/// The same happens to a payroll. It may have run, so it must not be tried again.
#[test]
fn a_request_that_is_not_idempotent_is_not_tried_again_once_sent() {
    let runs = Arc::new(AtomicU32::new(0));
    let seen = Arc::clone(&runs);
    let address = raw_target(move |_, mut stream| {
        if !read_head(&mut stream).is_empty() {
            seen.fetch_add(1, Ordering::SeqCst);
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf");
        }
    });
    let entry = Entry::serving(&[address]);
    entry.answer_claims(|_| ClaimOutcome::Granted);

    let received =
        ask(entry.address(), with_header(post("/run", b"x"), "borageswitch-request-id", "r1"));

    assert_eq!(received.header("borageswitch-error"), "target-lost");
    assert_eq!(received.header("borageswitch-ran"), "unknown");
    assert_eq!(runs.load(Ordering::SeqCst), 1);
}

/// A payroll meets a target whose port refuses. It was not sent, so it goes to the next one, under
/// the claim that it has.
#[test]
fn a_request_that_is_not_idempotent_goes_elsewhere_when_proved_not_run() {
    let runs = Arc::new(AtomicU32::new(0));
    let seen = Arc::clone(&runs);
    let alive = target(move |_| {
        seen.fetch_add(1, Ordering::SeqCst);
        async { ok("paid") }
    });
    let entry = Entry::serving(&[refusing_address(), alive]);
    let claims = Arc::new(AtomicU32::new(0));
    let asked = Arc::clone(&claims);
    entry.answer_claims(move |_| {
        asked.fetch_add(1, Ordering::SeqCst);
        ClaimOutcome::Granted
    });

    let received =
        ask(entry.address(), with_header(post("/run", b"x"), "borageswitch-request-id", "r1"));

    assert_eq!(received.text(), "paid");
    assert_eq!(runs.load(Ordering::SeqCst), 1);
    assert_eq!(claims.load(Ordering::SeqCst), 1);
}
