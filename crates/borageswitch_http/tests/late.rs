//! Calls of a process that is late with everything.

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

/// A server that tells when it has read one request, and answers so long after that.
fn server(after: Duration) -> (SocketAddr, channel::Receiver<()>, JoinHandle<()>) {
    let (asked_tx, asked) = channel::bounded(1);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a client comes");
        let mut buf = [0; 1_024];
        let read = stream.read(&mut buf).expect("it asks");
        assert!(read > 0);
        asked_tx.try_send(()).expect("nobody else has told");
        thread::sleep(after);
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        stream.write_all(answer).expect("it still listens");
        // The client closes the connection.
        let _ = stream.read(&mut buf);
    });
    (address, asked, server)
}

#[test]
fn an_answer_that_lies_unread_counts_although_the_timer_fires_first() {
    // A rush keeps a daemon's only core busy from when an order has left until long after the
    // order's time is over, and the answer comes meanwhile. Taken for lost, the order has to be
    // looked for on its executor, which costs the busy core still more, and jobs start later and
    // later.
    let (address, asked, server) = server(Duration::from_millis(200));
    let ex = Arc::new(smol::Executor::new());
    let client = Client::new(Duration::from_secs(1), Duration::from_secs(10), ex.clone());
    let req = Request::post("/").body(Full::new(Bytes::new())).expect("it is whole");
    let call = ex.spawn(async move { client.call(address, req, Duration::from_millis(150)).await });

    let answer = smol::block_on(ex.run(async {
        asked.recv().await.expect("the server is asked");
        thread::sleep(Duration::from_millis(300));
        call.await
    }));

    assert_eq!(answer.map(|answer| answer.body), Ok(Bytes::from_static(b"ok")));
    server.join().expect("the server was asked once");
}
