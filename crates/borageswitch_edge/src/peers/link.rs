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
        frames::{FrameError, FrameReader, FrameWriter, PREFIX},
        registry::Place,
    },
    platform::before,
};

/// Counts what crosses connections.
pub(super) struct Counters {
    messages: Counter<u64>,
    bytes: Counter<u64>,
    up: UpDownCounter<i64>,
}

impl Counters {
    pub(super) fn new(meter: &Meter) -> Self {
        let messages = meter.u64_counter("borageswitch_peer_messages");
        let bytes = meter.u64_counter("borageswitch_peer_bytes");
        let up = meter.i64_up_down_counter("borageswitch_peers_up");
        Self {
            messages: messages.with_description("Messages between daemons by direction").build(),
            bytes: bytes.with_description("Bytes of those messages by direction").build(),
            up: up.with_description("Peers with a standing connection").build(),
        }
    }

    fn count(&self, direction: &'static str, frame: usize) {
        let labels = [KeyValue::new("direction", direction)];
        self.messages.add(1, &labels);
        self.bytes.add((PREFIX + frame) as u64, &labels);
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
            let heard = LastHeard::new();
            let reading = read_all(&shared, &daemon, &mut reader, &heard);
            let writing = write_all(&shared, &place, &mut writer);
            let watching = watch(&shared, ping, &heard);
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
    heard: &LastHeard,
) -> LinkEnd {
    loop {
        let frame = match reader.read(MAX_FRAME).await {
            Ok(frame) => frame,
            Err(err) => return err.into(),
        };
        heard.note();
        shared.counters.count("received", frame.len());
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

async fn write_all(shared: &Shared, place: &Place, writer: &mut FrameWriter) -> LinkEnd {
    while let Some(frame) = place.queue.pop().await {
        if let Err(err) = writer.write(&frame).await {
            return err.into();
        }
        shared.counters.count("sent", frame.len());
    }
    LinkEnd::Closed
}

/// Ends once the peer has been silent for too long.
///
/// What lies between two daemons can lose track of a connection: then nothing arrives, nothing
/// fails, and the system's own timeout is minutes away. A quiet peer is asked for a sign of life;
/// without one the connection is closed, and a new one, which works, is dialled.
async fn watch(shared: &Shared, mut ping: PingPong, heard: &LastHeard) -> LinkEnd {
    let interval = shared.cfg.ping_interval;
    loop {
        smol::Timer::after(interval).await;
        if heard.ago() < interval {
            continue;
        }
        let deadline = Instant::now() + shared.cfg.silence.saturating_sub(heard.ago());
        match before(deadline, ping.ping(Ping::opaque())).await {
            Some(Ok(_)) => heard.note(),
            Some(Err(err)) => return err.into(),
            None if heard.ago() >= shared.cfg.silence => return LinkEnd::Silent,
            // A frame has come meanwhile. The unanswered ping stays out, so no second one can be
            // sent; frames alone now tell whether the peer lives.
            None => return frames_alone(shared, heard).await,
        }
    }
}

async fn frames_alone(shared: &Shared, heard: &LastHeard) -> LinkEnd {
    while heard.ago() < shared.cfg.silence {
        smol::Timer::after(shared.cfg.ping_interval).await;
    }
    LinkEnd::Silent
}

/// When the peer was last heard.
struct LastHeard {
    start: Instant,
    millis: AtomicU64,
}

impl LastHeard {
    fn new() -> Self {
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
