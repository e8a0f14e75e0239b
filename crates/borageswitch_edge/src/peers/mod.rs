//! Keeps the connections between daemons.
//!
//! Two daemons share one `h2` connection with one long-lived stream, on which length-prefixed
//! `bincode` frames go both ways. Before a frame counts, both ends [prove](handshake) that they hold
//! the site's key. [`dial`] and [`accept`] open connections; [`registry`] keeps one for each peer and
//! closes duplicates; [`link`] carries the frames, asks quiet peers for a sign of life and ends when
//! none comes; [`queue`] bounds what waits to be sent.
//!
//! What the site's key does not give: frames are neither encrypted nor signed one by one. Whoever
//! can read or change the traffic between entry hosts can read it, and can change it after the
//! proof.

mod accept;
mod dial;
mod frames;
mod handshake;
mod key;
mod link;
mod queue;
mod registry;

#[cfg(test)]
mod tests;

use std::{
    collections::BTreeMap,
    io::Result as IoResult,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use async_channel::Sender;
use borageswitch_control::Event;
use borageswitch_types::{names::DaemonName, slots::SlotMessage};
use borageswitch_wire::{PeerMessage, peer::Member};
use opentelemetry::metrics::Meter;

pub use self::key::{KeyTooShort, SiteKey};
use self::{dial::Wanted, link::Counters, registry::Registry};

/// What the peers' edge is told at its start.
#[derive(Clone, Debug)]
pub struct PeersConfig {
    listen: SocketAddr,
    key: SiteKey,
    me: Member,
    ping_interval: Duration,
    rest_interval: Duration,
    silence: Duration,
    handshake_timeout: Duration,
    max_backoff: Duration,
    meter: Meter,
}

impl PeersConfig {
    /// Settings with the customary limits.
    pub fn new(listen: SocketAddr, key: SiteKey, me: Member) -> Self {
        Self {
            listen,
            key,
            me,
            ping_interval: Duration::from_secs(2),
            rest_interval: Duration::from_secs(15),
            silence: Duration::from_secs(4),
            handshake_timeout: Duration::from_secs(2),
            max_backoff: Duration::from_secs(2),
            meter: opentelemetry::global::meter("borageswitch"),
        }
    }

    /// How long a connection may be quiet before the peer is asked for a sign of life.
    pub fn ping_interval(mut self, interval: Duration) -> Self {
        self.ping_interval = interval;
        self
    }

    /// As [`Self::ping_interval`], for connections on which no frame has moved for a while.
    pub fn rest_interval(mut self, interval: Duration) -> Self {
        self.rest_interval = interval;
        self
    }

    /// After this time without a sign of life from a busy peer the connection counts as dead.
    pub fn silence(mut self, silence: Duration) -> Self {
        self.silence = silence;
        self
    }

    /// How long connecting and proving may take.
    pub fn handshake_timeout(mut self, timeout: Duration) -> Self {
        self.handshake_timeout = timeout;
        self
    }

    /// The longest wait between two tries to reach a peer.
    pub fn max_backoff(mut self, backoff: Duration) -> Self {
        self.max_backoff = backoff;
        self
    }

    /// Where messages and bytes are counted.
    pub fn meter(mut self, meter: Meter) -> Self {
        self.meter = meter;
        self
    }
}

/// What the parts of the edge share.
struct Shared {
    cfg: PeersConfig,
    registry: Registry,
    counters: Counters,
    events: Sender<Event>,
    slots: Sender<(DaemonName, SlotMessage)>,
    ex: Arc<smol::Executor<'static>>,
}

/// The edge towards the other daemons. Dropping it closes the listener and every connection.
pub struct Peers {
    shared: Arc<Shared>,
    local_addr: SocketAddr,
    wanted: Mutex<BTreeMap<DaemonName, Wanted>>,
    seeds: Mutex<BTreeMap<SocketAddr, smol::Task<()>>>,
    _listener: smol::Task<()>,
}

impl Peers {
    /// Begins to listen for peers. If the port of `me` is 0, peers are told the bound one.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub fn start(
        mut cfg: PeersConfig,
        events: Sender<Event>,
        slots: Sender<(DaemonName, SlotMessage)>,
        ex: Arc<smol::Executor<'static>>,
    ) -> IoResult<Peers> {
        let listener = smol::Async::<std::net::TcpListener>::bind(cfg.listen)?;
        let local_addr = listener.get_ref().local_addr()?;
        if cfg.me.address.port() == 0 {
            cfg.me.address.set_port(local_addr.port());
        }
        let counters = Counters::new(&cfg.meter);
        let registry = Registry::new(cfg.me.daemon.clone());
        let shared = Arc::new(Shared { cfg, registry, counters, events, slots, ex: ex.clone() });
        let accepting = accept::accept(listener.into(), shared.clone());
        Ok(Peers {
            shared,
            local_addr,
            wanted: Mutex::default(),
            seeds: Mutex::default(),
            _listener: ex.spawn(accepting),
        })
    }

    /// Where peers are listened for.
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// This daemon as its peers see it.
    pub fn me(&self) -> &Member {
        &self.shared.cfg.me
    }

    /// Keeps a connection to a peer from now on, and dials again when it ends.
    pub fn connect(&self, member: Member) {
        if member.daemon == self.shared.cfg.me.daemon {
            return;
        }
        let mut wanted = self.wanted.lock().unwrap_or_else(PoisonError::into_inner);
        if wanted.get(&member.daemon).is_some_and(|known| known.address == member.address) {
            return;
        }
        let name = member.daemon.clone();
        wanted.insert(name, dial::keep_connected(self.shared.clone(), member));
    }

    /// Dials an address whose daemon is not known, until it has answered once.
    pub fn dial(&self, address: SocketAddr) {
        let mut seeds = self.seeds.lock().unwrap_or_else(PoisonError::into_inner);
        seeds.retain(|_, task| !task.is_finished());
        seeds
            .entry(address)
            .or_insert_with(|| self.shared.ex.spawn(dial::dial_once(self.shared.clone(), address)));
    }

    /// Closes the connection to a peer and dials no more. The peer itself may dial again.
    pub fn drop_peer(&self, daemon: &DaemonName) {
        let mut wanted = self.wanted.lock().unwrap_or_else(PoisonError::into_inner);
        wanted.remove(daemon);
        self.shared.registry.close(daemon);
    }

    /// Sends a message to a peer if a connection stands; otherwise it is lost.
    pub fn send(&self, to: &DaemonName, message: PeerMessage) {
        self.shared.registry.send(to, &message);
    }
}

impl Drop for Peers {
    fn drop(&mut self) {
        self.shared.registry.close_all();
    }
}
