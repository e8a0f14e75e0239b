//! The part of the relay: offers itself to the leader and makes the calls that it is sent.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use async_channel::{Receiver, Sender};
use borageswitch_scheduler::event::Event;
use borageswitch_types::Time;
use bytes::Bytes;
use futures_lite::future;
use h2::SendStream;
use smol::Timer;

use super::{
    FLUSH_INTERVAL, HEARTBEAT_INTERVAL,
    frames::{self, Call, CallFrame, FrameError, FrameReader, Outcome, OutcomeFrame},
};
use crate::{
    authority::Authority, clock, daemon::Shared, orders, peers::RelaySession, ports::Platform,
};

/// The least processing power of a relay's host, in cores. A weaker one is busy with its callers,
/// and has no memory for connections to hundreds of executors.
const MIN_CORES: f64 = 0.2;
/// How often a daemon checks which daemon leads.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The pause after a session has ended.
const RETRY_PAUSE: Duration = Duration::from_millis(1_000);

/// The calls of one session, and their outcomes.
struct Session {
    authority: Authority,
    outcomes: Mutex<Vec<(u64, Outcome)>>,
    wake: Sender<()>,
}

impl Session {
    fn report(&self, number: u64, outcome: Outcome) {
        self.outcomes.lock().unwrap_or_else(PoisonError::into_inner).push((number, outcome));
        // A full channel holds a message that has not been received yet.
        let _ = self.wake.try_send(());
    }

    fn take_frame(&self) -> OutcomeFrame {
        let mut outcomes = self.outcomes.lock().unwrap_or_else(PoisonError::into_inner);
        OutcomeFrame::new(clock::time(), std::mem::take(&mut outcomes))
    }
}

/// Offers this daemon to each leader as a relay, until it stops.
pub(crate) async fn run<P>(shared: Arc<Shared<P>>)
where
    P: Platform,
{
    if shared.cfg.weight < MIN_CORES {
        return;
    }
    while !shared.is_stopping() {
        let Some(leader) = shared.remote_leader() else {
            Timer::after(LEADER_CHECK_INTERVAL).await;
            continue;
        };
        let reason = serve(&shared, leader).await;
        log::debug!("the session with the leader at {leader} has ended: {reason}");
        Timer::after(RETRY_PAUSE).await;
    }
}

/// Makes calls for the leader at `leader` until the session ends. Gives the reason.
async fn serve<P>(shared: &Arc<Shared<P>>, leader: SocketAddr) -> String
where
    P: Platform,
{
    let Some(offer) = shared.offer_relay(leader).await else {
        return "the offer got no response".to_owned();
    };
    let RelaySession { receive: incoming, send: outgoing, connection: _connection } = offer;
    let (wake, woken) = async_channel::bounded(1);
    let session =
        Arc::new(Session { authority: Authority::default(), outcomes: Mutex::default(), wake });
    let receiving = receive(shared, &session, FrameReader::new(incoming));
    let sending = send(&session, outgoing, woken);
    let reason = future::or(future::or(receiving, sending), leader_changes(shared, leader)).await;
    // Calls that have not been sent yet are not sent any more.
    session.authority.end();
    reason
}

async fn receive<P>(
    shared: &Arc<Shared<P>>,
    session: &Arc<Session>,
    mut reader: FrameReader,
) -> String
where
    P: Platform,
{
    loop {
        let frame: CallFrame = match reader.next().await {
            Ok(frame) => frame,
            Err(err) => {
                if err != FrameError::Ended {
                    shared.instruments.count_unreadable("relay frame");
                    log::error!(reason = err.to_string().as_str(); "relay-frame-unreadable");
                }
                return err.to_string();
            }
        };
        session.authority.adopt(frame.token, Time::from_micros(frame.authority_until));
        for (number, call) in frame.calls {
            let (own, session) = (shared.clone(), session.clone());
            let token = frame.token;
            let task = Box::pin(async move {
                if let Some(outcome) = make(&own, &session.authority, token, call).await {
                    session.report(number, outcome);
                }
            });
            shared.ex.spawn(task).detach();
        }
    }
}

/// Makes a call.
async fn make<P>(
    shared: &Arc<Shared<P>>,
    authority: &Authority,
    token: u64,
    call: Call,
) -> Option<Outcome>
where
    P: Platform,
{
    let event = match call {
        Call::Start(to, order) => orders::start(shared, authority, token, to, order).await,
        Call::Stop(to, task, run) => orders::stop(shared, authority, token, to, task, run).await,
        Call::Poll(to, order) => orders::poll(shared, authority, token, to, order).await,
    };
    match event {
        Event::StartAnswered { response, clock_ms, .. } => Some(Outcome::Start(response, clock_ms)),
        Event::StopAnswered { response, .. } => Some(Outcome::Stop(response)),
        Event::Polled { response, .. } => Some(Outcome::Poll(response)),
        _ => None,
    }
}

async fn send(session: &Session, mut stream: SendStream<Bytes>, woken: Receiver<()>) -> String {
    loop {
        let sent = stream.send_data(frames::encode(&session.take_frame()), false);
        if let Err(err) = sent {
            return err.to_string();
        }
        let heartbeat = async {
            Timer::after(HEARTBEAT_INTERVAL).await;
        };
        let has_outcomes = async {
            let _ = woken.recv().await;
            Timer::after(FLUSH_INTERVAL).await;
        };
        future::or(has_outcomes, heartbeat).await;
    }
}

async fn leader_changes<P>(shared: &Arc<Shared<P>>, leader: SocketAddr) -> String
where
    P: Platform,
{
    while shared.remote_leader() == Some(leader) && !shared.is_stopping() {
        Timer::after(LEADER_CHECK_INTERVAL).await;
    }
    "another daemon leads".to_owned()
}
