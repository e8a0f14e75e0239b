//! Each caller receives the whole answer to its own request, or a true verdict.

use std::{
    io::{Read, Write},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

use smol::future;

use crate::support::{
    Entry, LIVENESS, ask, ask_raw, call, get, ok, raw_target, read_head, target, with_header,
    within,
};

#[test]
fn a_request_reaches_a_target_and_its_answer_comes_back() {
    let address = target(|req| async move { ok(req.uri().path()) });
    let entry = Entry::serving(&[address]);

    let received = ask(entry.address(), get("/lots/7"));

    assert_eq!(received.status, 200);
    assert_eq!(received.header("borageswitch-ran"), "yes");
    assert_eq!(received.text(), "/lots/7");
}

#[test]
fn the_first_part_of_the_path_names_the_service() {
    let address = target(|req| async move { ok(req.uri().path()) });
    let entry = Entry::serving(&[address]);
    let mut req = get("/pricing/lots/7");
    req.headers_mut().remove("borageswitch-service");

    let received = ask(entry.address(), req);

    assert_eq!(received.text(), "/pricing/lots/7");
}

#[test]
fn an_unknown_service_is_named_as_such() {
    let entry = Entry::serving(&[]);
    let req = with_header(get("/lots/7"), "borageswitch-service", "prices");

    let received = ask(entry.address(), req);

    assert_eq!(received.status, 404);
    assert_eq!(received.header("borageswitch-ran"), "no");
    assert_eq!(received.header("borageswitch-error"), "unknown-service");
}

#[test]
fn the_deadline_travels_on_shortened() {
    let address = target(|req| async move {
        ok(req.headers()["borageswitch-deadline-ms"].to_str().expect("digits"))
    });
    let entry = Entry::serving(&[address]);

    let received = ask(entry.address(), with_header(get("/"), "borageswitch-deadline-ms", "5000"));

    let left: u64 = received.text().parse().expect("digits");
    assert!(left <= 5_000, "{left}");
}

/// Many callers at once ask one target, which answers in an order of its own. A caller that got
/// another one's answer would act on a stranger's price.
#[test]
fn answers_out_of_order_reach_their_own_callers() {
    let address = target(|req| async move {
        let path = req.uri().path().to_owned();
        let number: u64 = path[1..].parse().expect("a number");
        smol::Timer::after(Duration::from_millis(number * 7 % 20)).await;
        ok(&path)
    });
    let entry = Entry::serving(&[address]);

    let calls = (0..100).map(|number| {
        let address = entry.address();
        thread::spawn(move || (number, ask(address, get(&format!("/{number}")))))
    });
    let calls: Vec<_> = calls.collect();

    for call in calls {
        let (number, received) = call.join().expect("the call ends");
        assert_eq!(received.text(), format!("/{number}"));
    }
}

/// The target answers the first request only after its caller's deadline, when the entry has long
/// told the caller so. Were the connection used again, the late answer would reach the next
/// caller as the answer to another question.
#[test]
fn a_late_answer_reaches_nobody() {
    let (release, released) = async_channel::bounded::<()>(1);
    let address = raw_target(move |number, mut stream| {
        loop {
            let head = read_head(&mut stream);
            if head.is_empty() {
                return;
            }
            if number == 0 {
                let _ = released.recv_blocking();
            }
            let text = if number == 0 { "late" } else { "own" };
            let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{text}", text.len());
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    });
    let entry = Entry::serving(&[address]);

    let first = ask(entry.address(), with_header(get("/a"), "borageswitch-deadline-ms", "50"));
    release.send_blocking(()).expect("the target waits");
    let others: Vec<_> = (0..8).map(|_| ask(entry.address(), get("/b"))).collect();

    assert_eq!(first.status, 504);
    assert_eq!(first.header("borageswitch-ran"), "unknown");
    assert_eq!(first.header("borageswitch-error"), "target-timeout");
    for other in others {
        assert_eq!(other.text(), "own");
    }
}

/// A target crashes in the middle of a large answer. The caller has the head already; only a
/// broken connection can tell it that the rest is missing.
#[test]
fn a_large_answer_cut_short_breaks_the_callers_connection() {
    let address = raw_target(|_, mut stream| {
        read_head(&mut stream);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 200000\r\n\r\n");
        let _ = stream.write_all(&[b'x'; 100_000]);
    });
    let entry = Entry::serving(&[address]);

    let received = ask(entry.address(), get("/"));

    assert_eq!(received.status, 200);
    assert!(received.body.is_none(), "a part was passed off as the whole");
}

/// The same with an answer of unknown length, where a missing last chunk is the only sign.
#[test]
fn a_chunked_answer_cut_short_breaks_the_callers_connection() {
    let address = raw_target(|_, mut stream| {
        read_head(&mut stream);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
        let _ = stream.write_all(b"5\r\nhello\r\n");
    });
    let entry = Entry::serving(&[address]);

    let answer = ask_raw(
        entry.address(),
        b"GET / HTTP/1.1\r\nhost: x\r\nborageswitch-service: pricing\r\n\r\n",
    );

    assert!(!answer.contains("\r\n0\r\n"), "a part was passed off as the whole: {answer}");
}

/// A target that marks the end of its answer by closing its connection does the same when it
/// crashes, so nobody could tell a part from the whole.
#[test]
fn an_answer_without_a_visible_end_is_not_passed_on() {
    let address = raw_target(|_, mut stream| {
        read_head(&mut stream);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\npart");
    });
    let entry = Entry::serving(&[address]);
    let req = with_header(get("/"), "borageswitch-idempotent", "no");
    let req = with_header(req, "borageswitch-request-id", "r1");
    entry.answer_claims(|_| borageswitch_types::claim::ClaimOutcome::Granted);

    let received = ask(entry.address(), req);

    assert_eq!(received.status, 502);
    assert_eq!(received.header("borageswitch-error"), "bad-answer");
    assert_eq!(received.header("borageswitch-ran"), "unknown");
}

/// What a target sends is not HTTP. The caller hears so at once, and the next one is not harmed.
#[test]
fn garbage_from_a_target_is_a_bad_answer() {
    let address = raw_target(|_, mut stream| {
        read_head(&mut stream);
        let _ = stream.write_all(b"\x00\x01\x02 not http at all\r\n\r\n");
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest);
    });
    let entry = Entry::serving(&[address]);

    let received = ask(entry.address(), get("/"));

    assert_eq!(received.status, 502);
    assert_eq!(received.header("borageswitch-error"), "bad-answer");
    assert_eq!(received.header("borageswitch-ran"), "unknown");
}

/// A connection a request would cost each caller a round trip and the target its descriptors.
#[test]
fn connections_to_a_target_are_used_again() {
    let connections = Arc::new(AtomicU32::new(0));
    let seen = Arc::clone(&connections);
    let address = raw_target(move |_, mut stream| {
        seen.fetch_add(1, Ordering::SeqCst);
        stream.set_read_timeout(Some(LIVENESS)).expect("a socket");
        while !read_head(&mut stream).is_empty() {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
        }
    });
    let entry = Entry::serving(&[address]);

    for _ in 0..20 {
        assert_eq!(ask(entry.address(), get("/")).text(), "ok");
    }

    assert_eq!(connections.load(Ordering::SeqCst), 1);
}

/// Forty callers come at once. A target that got more than its eight slots would slow all down.
#[test]
fn concurrent_calls_never_exceed_the_slots() {
    let running = Arc::new(AtomicU32::new(0));
    let most = Arc::new(AtomicU32::new(0));
    let (now, peak) = (Arc::clone(&running), Arc::clone(&most));
    let address = target(move |_| {
        let (now, peak) = (Arc::clone(&now), Arc::clone(&peak));
        async move {
            peak.fetch_max(now.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
            smol::Timer::after(Duration::from_millis(3)).await;
            now.fetch_sub(1, Ordering::SeqCst);
            ok("done")
        }
    });
    let entry = Entry::serving(&[address]);

    let calls: Vec<_> = (0..40).map(|_| call(entry.address(), get("/"))).collect();
    let received = within(future::or(join_all(calls), future::pending()));

    assert!(received.iter().all(|received| received.status == 200));
    assert!(most.load(Ordering::SeqCst) <= 8);
}

async fn join_all<F>(calls: Vec<F>) -> Vec<F::Output>
where
    F: Future,
{
    let mut calls: Vec<_> = calls.into_iter().map(Box::pin).collect();
    let mut done: Vec<Option<F::Output>> = calls.iter().map(|_| None).collect();
    std::future::poll_fn(|cx| {
        for (call, done) in calls.iter_mut().zip(&mut done) {
            if done.is_none()
                && let std::task::Poll::Ready(output) = call.as_mut().poll(cx)
            {
                *done = Some(output);
            }
        }
        if done.iter().all(Option::is_some) {
            return std::task::Poll::Ready(());
        }
        std::task::Poll::Pending
    })
    .await;
    done.into_iter().flatten().collect()
}
