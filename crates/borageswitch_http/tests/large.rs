//! Responses that arrive slowly over a link of low bandwidth.

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

/// The number of chunks in a response, and the interval between them.
const CHUNKS: usize = 8;
const INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a call, or of each body frame in a call for a large response.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Starts a server that answers one request with the first `sent_chunks` chunks of a response.
fn start_server(sent_chunks: usize) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    let address = listener.local_addr().expect("the listener has no local address");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("accept failed");
        let mut buf = [0; 1_024];
        assert!(stream.read(&mut buf).expect("reading the request failed") > 0);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {CHUNKS}\r\n\r\n");
        stream.write_all(head.as_bytes()).expect("writing the response failed");
        for _ in 0..sent_chunks {
            thread::sleep(INTERVAL);
            stream.write_all(b"x").expect("writing the response failed");
        }
        // Keeps the connection open without sending for longer than the client's timeout.
        thread::sleep(2 * TIMEOUT);
    });
    (address, server)
}

fn get_request() -> WholeRequest {
    Request::get("/").body(Full::new(Bytes::new())).expect("invalid request")
}

#[test]
fn a_large_response_may_exceed_the_timeout_while_data_arrives() {
    // Guards against a list that cannot be transferred over a slow link within the timeout of a
    // call, and is therefore requested again and again.
    let ex = Arc::new(smol::Executor::new());
    let client = Client::new(Duration::from_secs(5), Duration::from_secs(10), ex.clone());
    let (address, server) = start_server(CHUNKS);

    let response = smol::block_on(ex.run(client.call_large(address, get_request(), TIMEOUT)));

    assert_eq!(response.map(|response| response.body.len()), Ok(CHUNKS));
    server.join().expect("the server thread panicked");
}

#[test]
fn a_large_response_that_stalls_times_out() {
    // Guards against a takeover that blocks on a connection that has stopped responding.
    let ex = Arc::new(smol::Executor::new());
    let client = Client::new(Duration::from_secs(5), Duration::from_secs(10), ex.clone());
    let (address, server) = start_server(CHUNKS / 2);

    let response = smol::block_on(ex.run(client.call_large(address, get_request(), TIMEOUT)));

    assert_eq!(response.map(|_| ()), Err(CallError::Lost { reused: false }));
    server.join().expect("the server thread panicked");
}
