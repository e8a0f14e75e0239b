//! How callers are served: addresses, limits and timeouts.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

/// How callers are served.
#[derive(Clone, Debug)]
pub struct TrafficConfig {
    pub(super) listen: SocketAddr,
    pub(super) threads: usize,
    pub(super) seed: u64,
    pub(super) clock_start: Instant,
    pub(super) max_connections: usize,
    pub(super) max_head: usize,
    pub(super) head_timeout: Duration,
    pub(super) body_timeout: Duration,
    pub(super) connect_timeout: Duration,
    pub(super) claim_hold: Duration,
    pub(super) idle_age: Duration,
    pub(super) total_age: Duration,
    pub(super) silence: Duration,
    pub(super) linger: Duration,
}

impl TrafficConfig {
    /// Begins with the given address to listen on and the usual limits.
    pub fn builder(listen: SocketAddr) -> TrafficConfigBuilder {
        TrafficConfigBuilder { cfg: TrafficConfig { listen, ..TrafficConfig::default() } }
    }
}

impl Default for TrafficConfig {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            threads: 2,
            seed: 0,
            clock_start: Instant::now(),
            max_connections: 10_000,
            max_head: 32 << 10,
            head_timeout: Duration::from_secs(75),
            body_timeout: Duration::from_secs(10),
            connect_timeout: Duration::from_secs(1),
            claim_hold: Duration::from_millis(500),
            idle_age: Duration::from_secs(20),
            total_age: Duration::from_secs(300),
            silence: Duration::from_secs(2),
            linger: Duration::from_secs(1),
        }
    }
}

macro_rules! setters {
    ($($(#[$doc:meta])* $name:ident: $type:ty,)*) => {
        $(
            $(#[$doc])*
            pub fn $name(mut self, $name: $type) -> Self {
                self.cfg.$name = $name;
                self
            }
        )*
    };
}

/// Builds a [`TrafficConfig`].
#[derive(Clone, Debug)]
pub struct TrafficConfigBuilder {
    cfg: TrafficConfig,
}

impl TrafficConfigBuilder {
    setters! {
        /// How many threads serve requests; at least one.
        threads: usize,
        /// Seeds every random choice.
        seed: u64,
        /// The start of the process's clock: [`Time::ZERO`](borageswitch_types::Time::ZERO).
        clock_start: Instant,
        /// The most connections from callers; further ones are closed at once.
        max_connections: usize,
        /// The largest head of a request, in bytes; at least 8,192.
        max_head: usize,
        /// How long a caller may take over one head, the time between requests included. Whoever
        /// keeps connections to the entry must drop idle ones sooner, or a request may meet the
        /// close.
        head_timeout: Duration,
        /// How long a caller may let its body stall.
        body_timeout: Duration,
        /// How long a target may take to accept a connection.
        connect_timeout: Duration,
        /// How long a request that has its slot waits for the claim of its id.
        claim_hold: Duration,
        /// How long a connection to a target may lie unused.
        idle_age: Duration,
        /// How old a connection to a target may become before it is replaced between requests.
        total_age: Duration,
        /// How long a target may be silent before its connections are checked.
        silence: Duration,
        /// How long idle connections of callers are kept after a shutdown has begun, so that a
        /// request on its way still gets its answer.
        linger: Duration,
    }

    /// The finished configuration.
    pub fn build(self) -> TrafficConfig {
        self.cfg
    }
}
