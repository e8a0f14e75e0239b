//! Limits that operators set by hand, and what a leader tells daemons of them.

mod support;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use borageswitch_fakes::platform::MemoryPlatform;
use borageswitch_http::h2_stream::{ByteCounter, H2Stream};
use borageswitch_runtime::{
    codec,
    failures::{Failure, RequestResult},
    keys::{LEADER, LeaderRecord},
    peers::{PeerRequest, PeerResponse},
    ports::{Platform, Transaction},
};
use borageswitch_scheduler::policy::admission::RefusalReason;
use smol::{Executor, Timer, net::TcpStream};
use support::{Daemon, TIMEOUT, platform, run, start, stored_job, submit_until};

const LIMITED: Failure =
    Failure::Overloaded { reason: RefusalReason::ManualLimit, retry_after: None };

/// A daemon that leads, and refuses all jobs of the queue by hand.
async fn limited_leader(platform: &MemoryPlatform, ex: &Arc<Executor<'static>>) -> Daemon {
    let leader = start("d1", platform, ex);
    submit_until(&leader, "a", Result::is_ok).await;
    platform.put("bs/in/l/q/runs", b"0".to_vec());
    submit_until(&leader, "b", |result| *result == Err(LIMITED)).await;
    leader
}

#[test]
fn a_manual_limit_is_kept_by_all_daemons_and_the_next_leader_until_it_is_lifted() {
    // Guards against a limit that holds only where it was set, or is lost with the leader.
    run(async |ex| {
        let platform = platform();
        let first = limited_leader(&platform, &ex).await;
        let second = start("d2", &platform, &ex);
        let is_limited = |result: &RequestResult<()>| *result == Err(LIMITED);

        submit_until(&second, "c", is_limited).await;
        first.begin_stop();
        let led = |daemon: &Daemon| {
            platform.get(LEADER).is_some_and(|item| {
                let record: LeaderRecord = codec::decode("leader", &item.value).unwrap();
                record.name == daemon.cfg.name
            })
        };
        let end = Instant::now() + TIMEOUT;
        while !led(&second) {
            assert!(Instant::now() < end, "the second daemon does not lead");
            Timer::after(Duration::from_millis(10)).await;
        }
        submit_until(&second, "d", is_limited).await;
        let tx = Transaction { remove: vec!["bs/in/l/q/runs".into()], ..Transaction::default() };
        platform.commit(&tx).await.unwrap();
        submit_until(&second, "e", Result::is_ok).await;
    });
}

/// Notifies a leader of a stored job, as a daemon of this build or of the one before.
async fn notify(leader: &Daemon, job: &str, headers: &[&'static str]) -> PeerResponse {
    let stream = TcpStream::connect(leader.cfg.peer_address).await.unwrap();
    let bytes = ByteCounter::new(&leader.cfg.meter);
    let handshake = h2::client::handshake(H2Stream::new(stream, bytes)).await;
    let (mut sender, connection) = handshake.unwrap();
    let _driver = leader.ex.spawn(connection);
    let mut req = http::Request::post("http://leader/ask");
    for header in headers {
        req = req.header(*header, "1");
    }
    let (res, mut body) = sender.send_request(req.body(()).unwrap(), false).unwrap();
    let request = PeerRequest::JobStored(Arc::new(stored_job(job)));
    body.send_data(codec::encode(&request).into(), true).unwrap();
    let mut body = res.await.unwrap().into_body();
    let mut answer = Vec::new();
    while let Some(part) = body.data().await {
        answer.extend_from_slice(&part.unwrap());
    }
    codec::decode("answer", &answer).unwrap()
}

#[test]
fn a_daemon_of_the_build_before_is_sent_nothing_that_it_cannot_decode() {
    // It would close its connection to the leader, and lose the other requests on it.
    run(async |ex| {
        let platform = platform();
        let leader = limited_leader(&platform, &ex).await;

        let before = notify(&leader, "c", &[]).await;
        let this = notify(&leader, "d", &["limits"]).await;

        assert_eq!(before, PeerResponse::Acknowledged);
        assert!(matches!(this, PeerResponse::WithManualLimits(..)), "{this:?}");
    });
}

#[test]
fn a_leader_whose_lease_may_have_ended_sends_no_limits() {
    // The store rejects the leader, and its successor has other limits by now. It would have jobs
    // refused that can be served.
    run(async |ex| {
        let platform = platform();
        let leader = limited_leader(&platform, &ex).await;

        platform.turn_away(true);

        let end = Instant::now() + TIMEOUT;
        while notify(&leader, "c", &["limits"]).await != PeerResponse::Acknowledged {
            assert!(Instant::now() < end, "the limits of a lost lease are sent");
            Timer::after(Duration::from_millis(20)).await;
        }
    });
}
