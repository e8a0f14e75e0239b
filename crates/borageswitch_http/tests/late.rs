//! Calls made by an overloaded process.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};

use borageswitch_http::client::Client;
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use smol::channel;

/// Starts a server that signals when it has read a request, and responds `delay` later.
fn start_server(delay: Duration) -> (SocketAddr, channel::Receiver<()>, JoinHandle<()>) {
    let (received_tx, received) = channel::bounded(1);
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    let address = listener.local_addr().expect("the listener has no local address");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("accept failed");
        let mut buf = [0; 1_024];
        let read = stream.read(&mut buf).expect("reading the request failed");
        assert!(read > 0);
        received_tx.try_send(()).expect("the request was signalled twice");
        thread::sleep(delay);
        let response = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        stream.write_all(response).expect("writing the response failed");
        // The client closes the connection.
        let _ = stream.read(&mut buf);
    });
    (address, received, server)
}

#[test]
fn an_unread_response_is_accepted_although_the_timer_fires_first() {
    // A load peak keeps a daemon's only core busy from the moment an order is sent until long after
    // its deadline; the response arrives in between. If the order were treated as lost, the daemon
    // would have to query the executor for its outcome, which adds load to the busy core and delays
    // job starts further and further.
    let (address, received, server) = start_server(Duration::from_millis(200));
    let ex = Arc::new(smol::Executor::new());
    let client = Client::new(Duration::from_secs(1), Duration::from_secs(10), ex.clone());
    let req = Request::post("/").body(Full::new(Bytes::new())).expect("invalid request");
    let call = ex.spawn(async move { client.call(address, req, Duration::from_millis(150)).await });

    let response = smol::block_on(ex.run(async {
        received.recv().await.expect("the server received no request");
        thread::sleep(Duration::from_millis(300));
        call.await
    }));

    assert_eq!(response.map(|response| response.body), Ok(Bytes::from_static(b"ok")));
    server.join().expect("the server thread panicked");
}
