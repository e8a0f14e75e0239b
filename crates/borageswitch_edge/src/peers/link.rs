//! One proved connection: carries frames both ways until it ends or goes silent.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use async_channel::TrySendError;
use borageswitch_control::Event;
use borageswitch_http::h2_stream::ByteCounter;
use borageswitch_types::names::DaemonName;
use borageswitch_wire::{
    PeerMessage,
    peer::{self, CodecError, MAX_FRAME, Member},
};
use futures_lite::future;
use h2::{Ping, PingPong};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Meter, UpDownCounter},
};

use crate::{
    peers::{
        Shared,
        frames::{FrameError, FrameReader, FrameWriter},
        registry::Place,
    },
    platform::with_deadline,
};

/// After so many intervals of pings without a frame a connection counts as at rest.
const AT_REST_STEPS: u32 = 5;

/// How often in an interval of pings a connection is looked at: a silent one is found that much
/// sooner after its time.
const LOOKS: u32 = 4;

/// Counts what crosses connections.
pub(super) struct Counters {
    messages: Counter<u64>,
    pub(super) bytes: ByteCounter,
    up: UpDownCounter<i64>,
}

impl Counters {
    pub(super) fn new(meter: &Meter) -> Self {
        let messages = meter.u64_counter("borageswitch_peer_messages");
        let bytes = ByteCounter::new(meter);
        let up = meter.i64_up_down_counter("borageswitch_peers_up");
        Self {
            messages: messages.with_description("Messages between daemons by direction").build(),
            bytes,
            up: up.with_description("Peers with a standing connection").build(),
        }
    }

    fn count(&self, direction: &'static str, messages: u64) {
        self.messages.add(messages, &[KeyValue::new("direction", direction)]);
    }
}

/// Why a connection ended.
#[derive(Debug, derive_more::Display, derive_more::From)]
enum LinkEnd {
    #[display("{_0}")]
    Frame(FrameError),
    #[display("{_0}")]
    Codec(CodecError),
    #[display("{_0}")]
    Ping(h2::Error),
    #[display("the peer was silent")]
    #[from(skip)]
    Silent,
    #[display("it was closed here")]
    #[from(skip)]
    Closed,
}

/// A proved connection with all that it needs.
pub(super) struct Link {
    pub(super) member: Member,
    pub(super) reader: FrameReader,
    pub(super) writer: FrameWriter,
    pub(super) ping: PingPong,
    /// Drives the connection; dropping it closes the socket.
    pub(super) driver: smol::Task<()>,
}

impl Link {
    /// Runs until the connection ends, and tells the reducer of its beginning and end.
    pub(super) async fn run(self, shared: Arc<Shared>, place: Place) {
        let Link { member, mut reader, mut writer, ping, driver } = self;
        let daemon = member.daemon.clone();
        shared.counters.up.add(1, &[]);
        if shared.events.send(Event::PeerUp { member }).await.is_ok() {
            let activity = Activity::new();
            let reading = read_all(&shared, &daemon, &mut reader, &activity);
            let writing = write_all(&shared, &place, &mut writer, &activity);
            let watching = watch(&shared, ping, &activity);
            let end = future::or(future::or(reading, writing), watching).await;
            log::info!("the connection to {daemon} ended: {end}");
        }
        drop(driver);
        shared.counters.up.add(-1, &[]);
        if shared.events.send(Event::PeerDown { daemon: daemon.clone() }).await.is_err() {
            log::debug!("the connection to {daemon} outlived the control thread");
        }
        shared.registry.leave(&daemon, &place);
    }
}

async fn read_all(
    shared: &Shared,
    from: &DaemonName,
    reader: &mut FrameReader,
    activity: &Activity,
) -> LinkEnd {
    loop {
        let frame = match reader.read(MAX_FRAME).await {
            Ok(frame) => frame,
            Err(err) => return err.into(),
        };
        activity.heard.note();
        activity.frame.note();
        shared.counters.count("received", 1);
        match peer::decode(&frame) {
            Ok(message) => {
                if !hand_on(shared, from, message).await {
                    return LinkEnd::Closed;
                }
            }
            Err(err) => return err.into(),
        }
    }
}

/// Hands a message to the reducer or the traffic threads and says whether they are still there.
///
/// Messages about slots do not wait for busy traffic threads: behind them the heartbeats would wait
/// too, and a busy daemon would count as silent. A lost one costs a loan that ends by itself.
async fn hand_on(shared: &Shared, from: &DaemonName, message: PeerMessage) -> bool {
    match message {
        PeerMessage::Slots(message) => {
            let sent = shared.slots.try_send((from.clone(), message));
            !matches!(sent, Err(TrySendError::Closed(_)))
        }
        message => {
            let event = Event::Peer { from: from.clone(), message };
            shared.events.send(event).await.is_ok()
        }
    }
}

async fn write_all(
    shared: &Shared,
    place: &Place,
    writer: &mut FrameWriter,
    activity: &Activity,
) -> LinkEnd {
    while let Some(batch) = place.queue.pop().await {
        activity.frame.note();
        if let Err(err) = writer.write_raw(batch.bytes).await {
            return err.into();
        }
        shared.counters.count("sent", batch.frames);
    }
    LinkEnd::Closed
}

/// Ends once the peer has been silent for too long.
///
/// What lies between two daemons can lose track of a connection: then nothing arrives, nothing
/// fails, and the system's own timeout is minutes away. A quiet peer is asked for a sign of life;
/// without one the connection is closed, and a new one, which works, is dialled.
///
/// Most connections carry nothing for most of the time: each daemon has one to every other, and
/// heartbeats go along a tree. Asked every second, nine daemons at rest would spend nearly all of
/// the 3 KB/s that control may cost on signs of life. So a connection on which no frame has moved
/// for a while is asked seldom, until the next frame.
async fn watch(shared: &Shared, mut ping: PingPong, activity: &Activity) -> LinkEnd {
    let step = shared.cfg.ping_interval;
    loop {
        smol::Timer::after(step / LOOKS).await;
        let at_rest = activity.frame.ago() >= step * AT_REST_STEPS;
        let interval = if at_rest { shared.cfg.rest_interval } else { step };
        if activity.heard.ago() < interval {
            continue;
        }
        let patience = shared.cfg.silence.saturating_sub(step);
        match with_deadline(Instant::now() + patience, ping.ping(Ping::opaque())).await {
            Some(Ok(_)) => activity.heard.note(),
            Some(Err(err)) => return err.into(),
            None if activity.heard.ago() >= shared.cfg.silence => return LinkEnd::Silent,
            // A frame has come meanwhile. The unanswered ping stays out, so no second one can be
            // sent; frames alone now tell whether the peer lives.
            None => return frames_alone(shared, activity).await,
        }
    }
}

async fn frames_alone(shared: &Shared, activity: &Activity) -> LinkEnd {
    while activity.heard.ago() < shared.cfg.silence {
        smol::Timer::after(shared.cfg.ping_interval).await;
    }
    LinkEnd::Silent
}

/// When something last moved on a connection.
struct Activity {
    /// Anything from the peer, an answered ping included.
    heard: LastTime,
    /// A frame, in either direction.
    frame: LastTime,
}

impl Activity {
    fn new() -> Self {
        Self { heard: LastTime::now(), frame: LastTime::now() }
    }
}

/// The last time of something.
struct LastTime {
    start: Instant,
    millis: AtomicU64,
}

impl LastTime {
    fn now() -> Self {
        Self { start: Instant::now(), millis: AtomicU64::new(0) }
    }

    fn note(&self) {
        let millis = u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.millis.store(millis, Ordering::Relaxed);
    }

    fn ago(&self) -> Duration {
        let at = Duration::from_millis(self.millis.load(Ordering::Relaxed));
        self.start.elapsed().saturating_sub(at)
    }
}
