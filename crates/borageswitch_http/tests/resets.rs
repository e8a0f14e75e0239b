//! Calls whose connection is reset unless a response arrives.

use std::{
    io::{self, ErrorKind, Read},
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};

use borageswitch_http::{
    client::{CallError, Client},
    write_gate::WritePermit,
};
use bytes::Bytes;
use http::Request;
use http_body_util::Full;

/// Starts a server that reads a request and does not respond. Gives how the connection ends.
fn start_silent_server() -> (SocketAddr, JoinHandle<io::Result<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    let address = listener.local_addr().expect("the listener has no local address");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("accept failed");
        let mut buf = [0; 1_024];
        assert!(stream.read(&mut buf).expect("reading the request failed") > 0);
        stream.read(&mut buf)
    });
    (address, server)
}

fn request() -> Request<Full<Bytes>> {
    Request::post("/").body(Full::new(Bytes::new())).expect("invalid request")
}

#[test]
fn a_call_that_must_not_arrive_late_resets_its_connection_on_a_timeout() {
    // Guards against an order that a cut network delivers after one of the next leader.
    let (address, server) = start_silent_server();
    let ex = Arc::new(smol::Executor::new());
    let client = Client::new(Duration::from_secs(1), Duration::from_secs(10), ex.clone());

    let call = client.call_or_reset(
        address,
        request(),
        Duration::from_millis(100),
        WritePermit::new(|| true),
    );
    let (result, end) = smol::block_on(ex.run(async {
        let result = call.await;
        let end = smol::unblock(|| server.join().expect("the server thread panicked")).await;
        (result.map(|response| response.status), end)
    }));

    assert_eq!(result, Err(CallError::Lost { reused: false }));
    assert_eq!(end.map_err(|err| err.kind()), Err(ErrorKind::ConnectionReset));
}

#[test]
fn a_request_that_is_no_longer_permitted_once_its_connection_is_open_is_not_sent() {
    // Guards against an order that a suspended leader sends on resuming, after its successor's.
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    let address = listener.local_addr().expect("the listener has no local address");
    let ex = Arc::new(smol::Executor::new());
    let client = Client::new(Duration::from_secs(1), Duration::from_secs(10), ex.clone());
    let permit = WritePermit::new(|| false);

    let call = client.call_or_reset(address, request(), Duration::from_secs(1), permit);
    let result = smol::block_on(ex.run(call));
    drop(client);
    drop(ex);
    let (mut stream, _) = listener.accept().expect("accept failed");
    let mut received = Vec::new();
    // The client resets the connection or closes it.
    let _ = stream.read_to_end(&mut received);

    assert_eq!(result.map(|response| response.status), Err(CallError::NotSent));
    assert!(received.is_empty(), "{received:?}");
}
