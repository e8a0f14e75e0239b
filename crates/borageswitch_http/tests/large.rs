//! Answers that take long to come in over a small link.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};

use borageswitch_http::client::{CallError, Client, WholeRequest};
use bytes::Bytes;
use http::Request;
use http_body_util::Full;

/// How many parts an answer has, and the time between two of them.
const PARTS: usize = 8;
const BETWEEN: Duration = Duration::from_millis(100);
/// How long a call may take, or each part of one whose answer may be large.
const TIMEOUT: Duration = Duration::from_millis(500);

/// A server that answers one request part by part, of which it sends so many.
fn server(sent: usize) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a client comes");
        let mut buf = [0; 1_024];
        assert!(stream.read(&mut buf).expect("it asks") > 0);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {PARTS}\r\n\r\n");
        stream.write_all(head.as_bytes()).expect("it listens");
        for _ in 0..sent {
            thread::sleep(BETWEEN);
            stream.write_all(b"x").expect("it listens");
        }
        // Silent, but open, for longer than a client waits.
        thread::sleep(2 * TIMEOUT);
    });
    (address, server)
}

fn ask() -> WholeRequest {
    Request::get("/").body(Full::new(Bytes::new())).expect("it is whole")
}

#[test]
fn an_answer_that_keeps_coming_is_waited_for_if_it_may_be_large() {
    // Guards against a list that fits no small link within the time of a call, and is asked for
    // again and again.
    let ex = Arc::new(smol::Executor::new());
    let client = Client::new(Duration::from_secs(5), Duration::from_secs(10), ex.clone());
    let (address, server) = server(PARTS);

    let answer = smol::block_on(ex.run(client.call_large(address, ask(), TIMEOUT)));

    assert_eq!(answer.map(|answer| answer.body.len()), Ok(PARTS));
    server.join().expect("the server was asked once");
}

#[test]
fn an_answer_that_stops_coming_is_given_up() {
    // Guards against a takeover that waits for a connection which went silent.
    let ex = Arc::new(smol::Executor::new());
    let client = Client::new(Duration::from_secs(5), Duration::from_secs(10), ex.clone());
    let (address, server) = server(PARTS / 2);

    let answer = smol::block_on(ex.run(client.call_large(address, ask(), TIMEOUT)));

    assert_eq!(answer.map(|_| ()), Err(CallError::Lost { reused: false }));
    server.join().expect("the server was asked once");
}
