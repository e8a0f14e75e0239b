//! Bodies pass whole in both directions, with bounded memory.

use std::{
    io::{Read, Write},
    net::TcpStream,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};

use crate::support::{
    Entry, LIVENESS, ask, eventually, get, raw_target, read_head, target, with_header,
};

/// A body whose bytes tell their place.
fn pattern(len: usize) -> Bytes {
    (0..len).map(|at| (at % 251) as u8).collect()
}

#[test]
fn bodies_of_every_size_pass_both_ways() {
    let address = target(|req| async move {
        let body = req.into_body().collect().await.expect("a whole body").to_bytes();
        http::Response::new(Full::new(body))
    });
    let entry = Entry::serving(&[address]);

    for len in [0, 1, 65_535, 65_536, 65_537, 300_000, 1 << 20] {
        let body = pattern(len);
        let mut req = with_header(get("/"), "borageswitch-idempotent", "yes");
        *req.method_mut() = http::Method::POST;
        *req.body_mut() = Full::new(body.clone());
        let received = ask(entry.address(), req);
        assert_eq!(received.status, 200, "{len}");
        assert!(received.body.expect("a whole answer") == body, "{len}");
    }
}

#[test]
fn an_answer_to_head_keeps_its_length_and_has_no_body() {
    let address = raw_target(|_, mut stream| {
        while !read_head(&mut stream).is_empty() {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 1234\r\n\r\n");
        }
    });
    let entry = Entry::serving(&[address]);
    let mut req = get("/");
    *req.method_mut() = http::Method::HEAD;

    let received = ask(entry.address(), req);

    assert_eq!(received.header("content-length"), "1234");
    assert_eq!(received.body.expect("an end").len(), 0);
}

#[test]
fn answers_without_bodies_pass() {
    let address = raw_target(|_, mut stream| {
        loop {
            let head = read_head(&mut stream);
            let answer: &[u8] = match head.split(' ').nth(1) {
                Some("/204") => b"HTTP/1.1 204 No Content\r\n\r\n",
                Some("/304") => b"HTTP/1.1 304 Not Modified\r\ncontent-length: 9\r\n\r\n",
                Some(_) => {
                    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
                }
                None => return,
            };
            let _ = stream.write_all(answer);
        }
    });
    let entry = Entry::serving(&[address]);

    for (path, status) in [("/204", 204), ("/304", 304), ("/200", 200)] {
        let received = ask(entry.address(), get(path));
        assert_eq!((received.status, received.header("borageswitch-ran")), (status, "yes"));
        assert_eq!(received.body.expect("an end").len(), 0);
    }
}

/// A caller asks for a very large answer and does not read it. Were the answer read on all the
/// same, a few such callers would take the entry's memory; so the target has to wait.
#[test]
fn a_caller_that_does_not_read_stops_the_target() {
    const WHOLE: u64 = 256 << 20;
    let written = Arc::new(AtomicU64::new(0));
    let seen = Arc::clone(&written);
    let address = raw_target(move |_, mut stream| {
        read_head(&mut stream);
        let _ = write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {WHOLE}\r\n\r\n");
        let chunk = [b'x'; 64 << 10];
        while stream.write_all(&chunk).is_ok() {
            seen.fetch_add(chunk.len() as u64, Ordering::SeqCst);
        }
    });
    let entry = Entry::serving(&[address]);
    let mut stream = TcpStream::connect(entry.address()).expect("the entry listens");
    stream.set_read_timeout(Some(LIVENESS)).expect("a socket");
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: x\r\nborageswitch-service: pricing\r\n\r\n")
        .expect("the entry reads");
    let mut first = [0; 1024];
    stream.read_exact(&mut first).expect("the answer begins");

    let stopped_at = wait_until_still(&written);

    assert!(stopped_at < WHOLE / 4, "{stopped_at} bytes went out");
}

fn wait_until_still(written: &AtomicU64) -> u64 {
    loop {
        let before = written.load(Ordering::SeqCst);
        thread::sleep(Duration::from_millis(200));
        if before > 0 && written.load(Ordering::SeqCst) == before {
            return before;
        }
    }
}

/// A target answers before it has read a large body, and reads no further. The answer is passed
/// on, and the connection, on which the rest of the body is still due, is not used again.
#[test]
fn an_early_answer_ends_its_connection() {
    let address = raw_target(|_, mut stream| {
        if read_head(&mut stream).is_empty() {
            return;
        }
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nearly");
        thread::sleep(LIVENESS);
    });
    let entry = Entry::serving(&[address]);
    let mut caller = TcpStream::connect(entry.address()).expect("the entry listens");
    caller.set_read_timeout(Some(LIVENESS)).expect("a socket");

    let head = "PUT / HTTP/1.1\r\nhost: x\r\nborageswitch-service: pricing\r\n\
                content-length: 1000000\r\n\r\n";
    caller.write_all(head.as_bytes()).expect("the entry reads");
    caller.write_all(&pattern(100_000)).expect("the entry reads");
    let first = read_head(&mut caller);
    let second = ask(entry.address(), get("/"));

    assert!(first.starts_with("HTTP/1.1 200"), "{first}");
    assert_eq!(second.text(), "early");
}

/// A caller asks for a large answer and stops reading. At the deadline the target gets its slot
/// back all the same, or a few such callers would take a service's slots for as long as they like.
#[test]
fn a_caller_that_does_not_read_holds_its_slot_until_the_deadline_only() {
    let address = raw_target(|_, mut stream| {
        read_head(&mut stream);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 1000000000\r\n\r\n");
        while stream.write_all(&[b'x'; 64 << 10]).is_ok() {}
    });
    let entry = Entry::serving(&[address]);
    let mut stream = TcpStream::connect(entry.address()).expect("the entry listens");
    stream
        .write_all(
            b"GET / HTTP/1.1\r\nhost: x\r\nborageswitch-service: pricing\r\n\
              borageswitch-deadline-ms: 300\r\n\r\n",
        )
        .expect("the entry reads");

    eventually(&entry, || entry.traffic.counters().answered == 1);
    eventually(&entry, || entry.traffic.counters().unfinished == 0);

    let in_flight = &entry.traffic.stats()["services"]["pricing"]["in_flight"];
    assert!(in_flight.as_object().is_some_and(serde_json::Map::is_empty), "{in_flight}");
}
