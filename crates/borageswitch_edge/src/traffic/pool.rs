//! Connections to targets, kept between exchanges.
//!
//! An entry may open only its share of a target's connections, so they are counted from before
//! they are opened until they are closed. A connection lies here only while it has no exchange:
//! the whole of one answer has been read from it before the next request may be written.

use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock},
    time::{Duration, Instant},
};

use borageswitch_types::view::TrafficView;
use serde_json::json;
use smol::Timer;

use super::{
    config::TrafficConfig, core::Core, request_body::before, stats::Stats, target_conn::TargetConn,
};

/// How often idle connections are looked through.
const UPKEEP: Duration = Duration::from_millis(500);

/// Connections to all targets.
pub(super) struct Pool {
    connect_timeout: Duration,
    idle_age: Duration,
    total_age: Duration,
    stats: Arc<Stats>,
    targets: RwLock<BTreeMap<SocketAddr, Arc<TargetPool>>>,
}

/// Connections to one target.
pub(super) struct TargetPool {
    address: SocketAddr,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    idle: Vec<TargetConn>,
    /// Connections that are being opened, in an exchange or idle.
    open: u32,
    /// How many this entry may open.
    limit: u32,
    /// Exchanges that wait for a connection.
    waiting: VecDeque<async_channel::Sender<()>>,
}

/// A connection on loan to an exchange. Dropping it closes the connection.
pub(super) struct Lease {
    target: Arc<TargetPool>,
    conn: Option<TargetConn>,
    /// Whether the connection counts as this exchange's.
    counted: bool,
}

impl Pool {
    pub(super) fn new(cfg: &TrafficConfig, stats: Arc<Stats>) -> Self {
        Self {
            connect_timeout: cfg.connect_timeout,
            idle_age: cfg.idle_age,
            total_age: cfg.total_age,
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
            target.lock().limit = limits.get(&target.address).copied().unwrap_or(0);
        }
        for (address, limit) in limits {
            self.target(address).lock().limit = limit;
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
        max_idle: Duration,
        end: Instant,
    ) -> io::Result<Lease> {
        let target = self.target(address);
        loop {
            match target.claim(max_idle.min(self.idle_age), self.total_age) {
                Claimed::Idle(conn) => {
                    return Ok(Lease { target, conn: Some(conn), counted: true });
                }
                Claimed::MayOpen => {
                    // From here the lease counts; dropping it on an error gives the place back.
                    let mut lease = Lease { target, conn: None, counted: true };
                    let connect_end = end.min(Instant::now() + self.connect_timeout);
                    lease.conn = Some(TargetConn::open(address, connect_end).await?);
                    self.stats.target_connection_opened();
                    return Ok(lease);
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
        let entry = |target: &Arc<TargetPool>| {
            let state = target.lock();
            let value = json!({
                "open": state.open,
                "idle": state.idle.len(),
                "limit": state.limit,
                "waiting": state.waiting.len(),
            });
            (target.address.to_string(), value)
        };
        self.all().iter().map(entry).collect::<serde_json::Map<_, _>>().into()
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
        let new = || Arc::new(TargetPool { address, state: Mutex::default() });
        Arc::clone(targets.entry(address).or_insert_with(new))
    }

    /// Closes connections that have been idle too long or are too old, and forgets targets that
    /// are gone.
    fn upkeep(&self) {
        let now = Instant::now();
        for target in self.all() {
            target.drop_worn(now, self.idle_age, self.total_age);
        }
        let mut targets = self.targets.write().unwrap_or_else(PoisonError::into_inner);
        targets.retain(|_, target| {
            let state = target.lock();
            state.limit > 0 || state.open > 0 || !state.waiting.is_empty()
        });
    }
}

enum Claimed {
    Idle(TargetConn),
    MayOpen,
    Wait(async_channel::Receiver<()>),
}

impl TargetPool {
    fn claim(&self, max_idle: Duration, total_age: Duration) -> Claimed {
        let now = Instant::now();
        let mut state = self.lock();
        // The last one used comes first: the others can grow old and go.
        while let Some(conn) = state.idle.pop() {
            assert!(conn.is_free(), "an idle connection has an unfinished exchange");
            if !conn.is_worn(now, max_idle, total_age) {
                return Claimed::Idle(conn);
            }
            state.open -= 1;
        }
        // A request that was started on a target may always open one connection: its slot was
        // lent by another entry, whose connection it then stands for.
        if state.open < state.limit.max(1) {
            state.open += 1;
            return Claimed::MayOpen;
        }
        let (tx, rx) = async_channel::bounded(1);
        state.waiting.push_back(tx);
        Claimed::Wait(rx)
    }

    fn drop_worn(&self, now: Instant, idle_age: Duration, total_age: Duration) {
        let mut state = self.lock();
        let keep_none = state.limit == 0;
        let (worn, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut state.idle)
            .into_iter()
            .partition(|conn| keep_none || conn.is_worn(now, idle_age, total_age));
        state.idle = kept;
        state.closed(worn.len() as u32);
        drop(state);
        drop(worn);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn closed(&mut self, count: u32) {
        assert!(self.open >= count, "more connections closed than opened");
        self.open -= count;
        for _ in 0..count {
            self.wake_one();
        }
    }

    fn wake_one(&mut self) {
        while let Some(tx) = self.waiting.pop_front() {
            // One whose exchange has ended cannot be told; the next one is.
            if tx.try_send(()).is_ok() {
                return;
            }
        }
    }
}

impl Lease {
    pub(super) fn conn(&mut self) -> &mut TargetConn {
        self.conn.as_mut().expect("a lease holds its connection until it is given back")
    }

    /// Gives the connection back after its exchange, or closes it if the exchange has not ended
    /// whole.
    pub(super) fn give_back(mut self) {
        let Some(mut conn) = self.conn.take_if(|conn| conn.is_free()) else { return };
        conn.idle_since = Instant::now();
        conn.reused = true;
        let mut state = self.target.lock();
        if state.open > state.limit.max(1) {
            drop(state);
            self.conn = Some(conn);
            return;
        }
        state.idle.push(conn);
        state.wake_one();
        drop(state);
        self.counted = false;
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.conn = None;
        if self.counted {
            self.target.lock().closed(1);
        }
    }
}

/// Starts the task that looks through idle connections.
pub(super) fn spawn_upkeep(core: &Arc<Core>) {
    let pool = Arc::downgrade(&core.pool);
    let upkeep = async move {
        loop {
            Timer::after(UPKEEP).await;
            let Some(pool) = pool.upgrade() else { return };
            pool.upkeep();
        }
    };
    core.executor.spawn(upkeep).detach();
}
