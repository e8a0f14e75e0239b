//! Connections to targets, kept between exchanges.
//!
//! An entry may open only its share of a target's connections, so they are counted from before
//! they are opened until they are closed. A connection lies here only while it has no exchange:
//! the whole of one answer has been read from it before the next request may be written.

mod target_pool;
mod upkeep;

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, PoisonError, RwLock},
    time::{Duration, Instant},
};

use borageswitch_types::view::TrafficView;

use super::{
    config::TrafficConfig, request_body::before, silence::InFlight, stats::Stats,
    stream::SharedStream, target_conn::TargetConn,
};

use self::target_pool::{Claimed, TargetPool};

pub(super) use self::upkeep::spawn as spawn_upkeep;

/// Connections to all targets.
pub(super) struct Pool {
    connect_timeout: Duration,
    idle_age: Duration,
    total_age: Duration,
    silence: Duration,
    stats: Arc<Stats>,
    targets: RwLock<BTreeMap<SocketAddr, Arc<TargetPool>>>,
}

/// A connection on loan to an exchange. Dropping it closes the connection.
pub(super) struct Lease {
    target: Arc<TargetPool>,
    conn: Option<TargetConn>,
    /// Whether the connection counts as this exchange's.
    counted: bool,
    /// Under which number the exchange is watched, until the head of its answer has come.
    watch: Option<u64>,
}

impl Pool {
    pub(super) fn new(cfg: &TrafficConfig, stats: Arc<Stats>) -> Self {
        Self {
            connect_timeout: cfg.connect_timeout,
            idle_age: cfg.idle_age,
            total_age: cfg.total_age,
            silence: cfg.silence,
            stats,
            targets: RwLock::default(),
        }
    }

    /// Takes the shares of connections from a view; targets that are gone get none.
    pub(super) fn set_view(&self, view: &TrafficView) {
        let mut limits: BTreeMap<SocketAddr, u32> = BTreeMap::new();
        for target in view.services.values().flat_map(|service| service.targets.values()) {
            let limit = limits.entry(target.address).or_default();
            *limit = (*limit).max(u32::from(target.dealt_connections));
        }
        for target in self.all() {
            target.set_limit(limits.get(&target.address).copied().unwrap_or(0));
        }
        for (address, limit) in limits {
            self.target(address).set_limit(limit);
        }
    }

    /// A connection to `address` for one exchange, an idle one if there is one that has been idle
    /// for less than `max_idle`.
    ///
    /// # Errors
    ///
    /// Those of connecting; [`io::ErrorKind::TimedOut`] at `end`.
    pub(super) async fn lease(
        &self,
        address: SocketAddr,
        request: InFlight,
        max_idle: Duration,
        end: Instant,
    ) -> io::Result<Lease> {
        let target = self.target(address);
        let max_idle = max_idle.min(self.idle_age);
        loop {
            match target.claim(max_idle, self.total_age, self.silence) {
                Claimed::Idle(conn) => return Ok(Lease::new(target, Some(conn)).watched(request)),
                Claimed::MayOpen => {
                    return Ok(self.open(target, end).await?.watched(request));
                }
                Claimed::Wait(free) => {
                    if before(end, free.recv()).await.is_none() {
                        return Err(io::ErrorKind::TimedOut.into());
                    }
                }
            }
        }
    }

    pub(super) fn dump(&self) -> serde_json::Value {
        let entry = |target: &Arc<TargetPool>| (target.address.to_string(), target.dump());
        self.all().iter().map(entry).collect::<serde_json::Map<_, _>>().into()
    }

    /// Opens a connection that is counted already.
    async fn open(&self, target: Arc<TargetPool>, end: Instant) -> io::Result<Lease> {
        let address = target.address;
        // From here the lease counts; dropping it on an error gives the place back.
        let mut lease = Lease::new(target, None);
        let end = end.min(Instant::now() + self.connect_timeout);
        lease.conn = Some(TargetConn::open(address, end).await?);
        self.stats.target_connection_opened();
        Ok(lease)
    }

    fn all(&self) -> Vec<Arc<TargetPool>> {
        self.targets.read().unwrap_or_else(PoisonError::into_inner).values().cloned().collect()
    }

    fn target(&self, address: SocketAddr) -> Arc<TargetPool> {
        let targets = self.targets.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(target) = targets.get(&address) {
            return Arc::clone(target);
        }
        drop(targets);
        let mut targets = self.targets.write().unwrap_or_else(PoisonError::into_inner);
        let new = || Arc::new(TargetPool::new(address));
        Arc::clone(targets.entry(address).or_insert_with(new))
    }
}

impl Lease {
    fn new(target: Arc<TargetPool>, conn: Option<TargetConn>) -> Self {
        Self { target, conn, counted: true, watch: None }
    }

    fn watched(mut self, request: InFlight) -> Self {
        let stream: Option<SharedStream> = self.conn.as_ref().map(TargetConn::stream);
        self.watch = stream.map(|stream| self.target.watch(request, stream));
        self
    }

    pub(super) fn conn(&mut self) -> &mut TargetConn {
        self.conn.as_mut().expect("a lease holds its connection until it is given back")
    }

    /// Notes that the head of the answer has come.
    pub(super) fn answered(&mut self) {
        let opened = self.conn().opened;
        if let Some(watch) = self.watch.take() {
            self.target.answered(watch, opened);
        }
    }

    /// Gives the connection back after its exchange, or closes it if the exchange has not ended
    /// whole.
    pub(super) fn give_back(mut self) {
        let Some(mut conn) = self.conn.take_if(|conn| conn.is_free()) else { return };
        conn.idle_since = Instant::now();
        match self.target.keep(conn) {
            None => self.counted = false,
            over_limit => self.conn = over_limit,
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(watch) = self.watch.take() {
            self.target.unwatch(watch);
        }
        self.conn = None;
        if self.counted {
            self.target.closed(1);
        }
    }
}
