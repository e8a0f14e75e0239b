//! Callers that speak HTTP/2.

use std::{io::Write, net::TcpStream};

use http_body_util::{BodyExt, Full};
use smol_hyper::rt::{FuturesIo, SmolExecutor};

use crate::support::{Entry, eventually, ok, raw_target, read_head, target, within};

#[derive(Clone)]
struct Spawner(std::sync::Arc<smol::Executor<'static>>);

impl AsRef<smol::Executor<'static>> for Spawner {
    fn as_ref(&self) -> &smol::Executor<'static> {
        &self.0
    }
}

/// Thirty requests share one connection. Their answers come back as they are ready, each on its
/// own stream, the error of an unknown service among them.
#[test]
fn many_requests_share_a_connection() {
    let address = target(|req| async move {
        smol::Timer::after(std::time::Duration::from_millis(req.uri().path().len() as u64)).await;
        ok(req.uri().path())
    });
    let entry = Entry::serving(&[address]);
    let executor = std::sync::Arc::new(smol::Executor::new());

    let run = async {
        let (sender, connection) = connect(&entry, &executor).await;
        let connection = executor.spawn(connection);
        let calls: Vec<_> = (0..30)
            .map(|number| {
                let mut sender = sender.clone();
                executor.spawn(async move {
                    let service = if number == 7 { "unknown" } else { "pricing" };
                    let req = http::Request::get(format!("http://entry/{number}"))
                        .header("borageswitch-service", service)
                        .body(Full::<bytes::Bytes>::default())
                        .expect("a valid request");
                    let res = sender.send_request(req).await.expect("an answer");
                    let status = res.status().as_u16();
                    let body = res.into_body().collect().await.expect("a whole body").to_bytes();
                    (number, status, body)
                })
            })
            .collect();
        let mut received = Vec::new();
        for call in calls {
            received.push(call.await);
        }
        drop(connection);
        received
    };
    let received = within(executor.run(run));

    for (number, status, body) in received {
        if number == 7 {
            assert_eq!(status, 404);
        } else {
            assert_eq!((status, &body[..]), (200, format!("/{number}").as_bytes()));
        }
    }
}

/// The daemon stops while a request over HTTP/2 runs. The caller gets its answer whole, and the
/// connection then ends by itself.
#[test]
fn a_stopping_daemon_finishes_its_streams() {
    let (release, released) = async_channel::unbounded::<()>();
    let address = target(move |_| {
        let released = released.clone();
        async move {
            let _ = released.recv().await;
            ok("done")
        }
    });
    let entry = Entry::serving(&[address]);
    let executor = std::sync::Arc::new(smol::Executor::new());

    let run = async {
        let (mut sender, connection) = connect(&entry, &executor).await;
        let connection = executor.spawn(connection);
        let answer = executor.spawn(sender.send_request(request()));
        while entry.traffic.counters().unfinished == 0 {
            smol::Timer::after(std::time::Duration::from_millis(1)).await;
        }
        entry.traffic.shutdown();
        smol::Timer::after(std::time::Duration::from_millis(150)).await;
        drop(release);
        let res = answer.await.expect("an answer");
        let body = res.into_body().collect().await.expect("a whole body").to_bytes();
        drop(sender);
        (body, connection.await)
    };
    let (body, connection) = within(executor.run(run));

    assert_eq!(&body[..], b"done");
    assert!(connection.is_ok(), "{connection:?}");
    eventually(&entry, || entry.traffic.is_idle());
}

/// A target breaks off in the middle of a large answer. The stream must end with an error, and
/// the connection goes on serving its other streams.
#[test]
fn an_answer_cut_short_resets_its_stream_only() {
    let address = raw_target(|number, mut stream| {
        read_head(&mut stream);
        let answer: &[u8] = match number {
            0 => b"HTTP/1.1 200 OK\r\ncontent-length: 200000\r\n\r\npart",
            _ => b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole",
        };
        let _ = stream.write_all(answer);
    });
    let entry = Entry::serving(&[address]);
    let executor = std::sync::Arc::new(smol::Executor::new());

    let run = async {
        let (mut sender, connection) = connect(&entry, &executor).await;
        let _connection = executor.spawn(connection);
        let cut = sender.send_request(request()).await;
        let cut = match cut {
            Ok(res) => res.into_body().collect().await.is_err(),
            Err(_) => true,
        };
        let res = sender.send_request(request()).await.expect("the connection lives");
        (cut, res.into_body().collect().await.expect("a whole body").to_bytes())
    };
    let (cut, second) = within(executor.run(run));

    assert!(cut, "a part was passed off as the whole");
    assert_eq!(&second[..], b"whole");
}

type Sender = hyper::client::conn::http2::SendRequest<Full<bytes::Bytes>>;
type Connection = hyper::client::conn::http2::Connection<
    FuturesIo<smol::Async<TcpStream>>,
    Full<bytes::Bytes>,
    SmolExecutor<Spawner>,
>;

async fn connect(
    entry: &Entry,
    executor: &std::sync::Arc<smol::Executor<'static>>,
) -> (Sender, Connection) {
    let stream =
        smol::Async::<TcpStream>::connect(entry.address()).await.expect("the entry listens");
    let spawner = SmolExecutor::new(Spawner(std::sync::Arc::clone(executor)));
    hyper::client::conn::http2::handshake(spawner, FuturesIo::new(stream)).await.expect("handshake")
}

fn request() -> http::Request<Full<bytes::Bytes>> {
    let req = http::Request::get("http://entry/lots").header("borageswitch-service", "pricing");
    req.body(Full::default()).expect("a valid request")
}
