//! A daemon that the store refuses, and a leader that has ended or falls silent.

use std::{net::TcpListener, sync::Arc};

use borageswitch_fakes::platform::PlatformFaults;
use borageswitch_http::h2_stream::{ByteCounter, H2Stream};
use borageswitch_runtime::{
    codec,
    failures::Failure,
    keys::{self, LeaderRecord},
    peers::{PeerRequest, PeerResponse},
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
async fn serve_as_leader(listener: TcpListener, ex: Ex) {
    let listener = smol::Async::new(listener).unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let bytes = ByteCounter::new(&opentelemetry::global::meter("borageswitch"));
    let stream = H2Stream::new(stream.into(), bytes);
    let mut connection = h2::server::handshake(stream).await.unwrap();
    while let Some(Ok((req, respond))) = connection.accept().await {
        ex.spawn(respond_to_reads(req.into_body(), respond)).detach();
    }
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
        ex.spawn(serve_as_leader(leader, ex.clone())).detach();

        assert_eq!(submit(&daemon, "job").await, Err(Failure::StoreNoResponse));
    });
}
