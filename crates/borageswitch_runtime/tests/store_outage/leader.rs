//! A daemon that the store refuses, and a leader that has ended or falls silent.

use std::{
    net::TcpListener,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use borageswitch_fakes::platform::PlatformFaults;
use borageswitch_http::h2_stream::{ByteCounter, H2Stream};
use borageswitch_runtime::{
    codec,
    failures::Failure,
    keys::{self, LeaderRecord},
    peers::{Client, PeerRequest, PeerResponse},
};
use bytes::Bytes;
use futures_lite::future;
use h2::server::SendResponse;
use http::Response;
use smol::Executor;

use super::{Daemon, Ex, knows_leader, platform, run, start, submit};

/// A daemon whose store refuses it, and that takes the daemon at `leader` for the leader.
async fn refused_daemon(leader: &TcpListener, ex: &Ex) -> Daemon {
    let platform = platform();
    let address = leader.local_addr().unwrap();
    let record = LeaderRecord { name: "other".into(), address, nonce: 1 };
    platform.put(keys::LEADER, codec::encode(&record));
    let daemon = start("d1", &platform, ex);
    knows_leader(&daemon).await;
    platform.set_faults(PlatformFaults { store_refuses: true, ..Default::default() });
    daemon
}

#[test]
fn a_job_that_was_not_sent_to_the_leader_is_refused() {
    // The store refuses this daemon, and the leader's process has ended: the connection is refused.
    // On "unknown" the caller could not submit the job again.
    let ex = Arc::new(Executor::new());
    run(&ex, async {
        let leader = TcpListener::bind("127.0.0.1:0").unwrap();
        let daemon = refused_daemon(&leader, &ex).await;
        drop(leader);

        assert_eq!(submit(&daemon, "job").await, Err(Failure::StoreUnavailable));
    });
}

#[test]
fn a_job_that_was_not_sent_to_a_silent_leader_is_refused() {
    // The leader accepts connections and does not respond. It is asked whether it can store jobs
    // before one is sent to it.
    let ex = Arc::new(Executor::new());
    run(&ex, async {
        let leader = TcpListener::bind("127.0.0.1:0").unwrap();
        let daemon = refused_daemon(&leader, &ex).await;

        assert_eq!(submit(&daemon, "job").await, Err(Failure::StoreUnavailable));
    });
}

/// Serves requests of daemons as a leader that can read from the store and falls silent when it has
/// to store a job.
async fn serve_as_leader(listener: TcpListener, ex: Ex, connections: Arc<AtomicUsize>) {
    let listener = smol::Async::new(listener).unwrap();
    while let Ok((stream, _)) = listener.accept().await {
        connections.fetch_add(1, Ordering::SeqCst);
        let own = ex.clone();
        let serving = async move {
            let stream = H2Stream::new(stream.into(), byte_counter());
            let mut connection = h2::server::handshake(stream).await.unwrap();
            while let Some(Ok((req, respond))) = connection.accept().await {
                own.spawn(respond_to_reads(req.into_body(), respond)).detach();
            }
        };
        ex.spawn(serving).detach();
    }
}

fn byte_counter() -> ByteCounter {
    ByteCounter::new(&opentelemetry::global::meter("borageswitch"))
}

async fn respond_to_reads(mut body: h2::RecvStream, mut respond: SendResponse<Bytes>) {
    let mut bytes = Vec::new();
    while let Some(Ok(part)) = body.data().await {
        bytes.extend_from_slice(&part);
    }
    if codec::decode::<PeerRequest>("question", &bytes).unwrap() != PeerRequest::Leader {
        future::pending::<()>().await;
    }
    let mut stream = respond.send_response(Response::new(()), false).unwrap();
    let response = codec::encode(&PeerResponse::Leader(None));
    stream.send_data(response.into(), true).unwrap();
}

#[test]
fn a_job_that_was_sent_to_the_leader_is_not_refused_without_a_response() {
    // The leader may have stored the job before it stopped responding.
    let ex = Arc::new(Executor::new());
    run(&ex, async {
        let leader = TcpListener::bind("127.0.0.1:0").unwrap();
        let daemon = refused_daemon(&leader, &ex).await;
        ex.spawn(serve_as_leader(leader, ex.clone(), Arc::default())).detach();

        assert_eq!(submit(&daemon, "job").await, Err(Failure::StoreNoResponse));
    });
}

#[test]
fn requests_to_other_daemons_leave_the_connection_to_the_leader_open() {
    // Reports go to many daemons. If each replaced the connection to the leader, jobs that wait on
    // it for a response would have an unknown outcome.
    let ex = Arc::new(Executor::new());
    run(&ex, async {
        let [leader, other] = [(), ()].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
        let addresses = [&leader, &other].map(|listener| listener.local_addr().unwrap());
        let accepted = Arc::<AtomicUsize>::default();
        ex.spawn(serve_as_leader(leader, ex.clone(), accepted.clone())).detach();
        ex.spawn(serve_as_leader(other, ex.clone(), Arc::default())).detach();
        let client = Client::new(addresses[0], Arc::default(), ex.clone(), byte_counter());
        let ask_leader = || client.exchange(addresses[0], &PeerRequest::Leader);

        for _ in 0..3 {
            let asked = future::zip(ask_leader(), ask_leader()).await;
            assert_eq!(asked, (Ok(PeerResponse::Leader(None)), Ok(PeerResponse::Leader(None))));
            client.exchange_once(addresses[1], &PeerRequest::Leader).await.unwrap();
        }

        assert_eq!(accepted.load(Ordering::SeqCst), 1);
    });
}
