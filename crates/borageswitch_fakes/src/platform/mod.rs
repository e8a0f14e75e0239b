//! A platform in memory, for tests and examples of whatever schedules jobs.
//!
//! [`MemoryPlatform`] implements the runtime's port without sockets: a [`store`] with transactions,
//! leases and watches, [`executors`] that keep to fencing tokens and leases, and [`hosts`] that
//! crash, move and are maintained. Several daemons in one process share one. Faults are switched on
//! by [`MemoryPlatform::set_faults`]; what executors saw is in [`MemoryPlatform::runs`].
//! [`example`] has a configuration to begin with; [`port`] is what the runtime calls.

pub mod example;
mod executors;
mod held_write;
mod hosts;
mod leader;
mod port;
mod store;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use borageswitch_runtime::{
    codec,
    ports::{CommitOutcome, ExternalKeys, Item, StoreError, StoreResult, Transaction},
};
use borageswitch_scheduler::{config::Config, executor::Registration, job::Size, task::TaskKey};
use borageswitch_types::names::{ExecutorName, HostName, PoolName};
use smol::Timer;

use self::{
    executors::MemoryExecutor,
    held_write::HeldWrite,
    hosts::{LifeChange, MemoryHosts},
    store::MemoryStore,
};
pub use self::{
    executors::{CRASHING_TEXT, FAILING_TEXT, LASTING_TEXT, RunRecord},
    hosts::HostSpec,
    leader::{FakeLeader, LeaderAnswers},
};

/// How long a host is down whose executor a task has crashed.
const DOWN_AFTER_TASK: Duration = Duration::from_millis(300);
/// How long a wave may take.
const WAVE_TIME: Duration = Duration::from_secs(20);
/// How often a call that waits looks again.
const LOOK_AGAIN: Duration = Duration::from_millis(2);

/// What goes wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlatformFaults {
    /// The store refuses every call, having done nothing.
    pub store_refuses: bool,
    /// The store carries writes out and does not answer.
    pub store_loses_answers: bool,
    /// The store answers so much later.
    pub store_delay: Duration,
    /// Watches hear of no change.
    pub watches_deaf: bool,
    /// Calls to the store hang for so long and then end without an answer, having done nothing.
    pub store_hangs: Duration,
    /// The store carries writes out, hangs for so long and then does not answer.
    pub store_hangs_after_writes: Duration,
    /// Orders for hosts are carried out and answered so much later.
    pub host_order_delay: Duration,
}

/// What a test asks of an executor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Started {
    /// Where.
    pub executor: ExecutorName,
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: u32,
}

struct Inner {
    store: MemoryStore,
    executors: BTreeMap<ExecutorName, MemoryExecutor>,
    hosts: MemoryHosts,
    faults: PlatformFaults,
    held_write: HeldWrite,
    runs: Vec<RunRecord>,
    task_time: Duration,
    most_in_maintenance: usize,
}

impl Inner {
    /// Commits a transaction, or holds it and gives nothing.
    fn commit(&mut self, tx: &Transaction) -> Option<CommitOutcome> {
        if self.held_write.takes(tx) { None } else { Some(self.store.commit(tx)) }
    }

    /// Lets what is due happen: leases end, hosts come back.
    fn advance(&mut self, wire: &Wire) {
        self.store.expire(Instant::now());
        for change in self.hosts.advance(Instant::now()) {
            self.take(wire, 0, change);
        }
    }

    fn take(&mut self, wire: &Wire, clock_ms: u64, change: LifeChange) {
        match change {
            LifeChange::Began(executor) => {
                self.executors.insert(executor.clone(), MemoryExecutor::new(executor.clone()));
                self.register(wire, &executor);
            }
            LifeChange::Over(executor) => {
                if let Some(mut known) = self.executors.remove(&executor) {
                    known.vanish(clock_ms, &mut self.runs);
                }
                self.store.delete(&format!("{}{executor}", wire.places.executors));
            }
        }
        self.most_in_maintenance = self.most_in_maintenance.max(self.hosts.in_maintenance());
    }

    /// Whether nobody answers at the address of an executor: its host is away.
    fn is_dark(&self, executor: &ExecutorName) -> bool {
        !self.executors.keys().any(|life| base(life) == base(executor))
    }

    fn register(&mut self, wire: &Wire, executor: &ExecutorName) {
        let Some(registration) = self.hosts.registration(executor) else { return };
        let key = format!("{}{executor}", wire.places.executors);
        self.store.put(&key, (wire.encode)(&registration));
    }
}

/// The part of an executor's name that all lives on its host share.
fn base(executor: &ExecutorName) -> &str {
    executor.as_str().split('-').next().unwrap_or_default()
}

/// How the platform's own entries in its store are named and encoded.
struct Wire {
    places: ExternalKeys,
    encode: Box<EncodeRegistration>,
}

type EncodeRegistration = dyn Fn(&Registration) -> Vec<u8> + Send + Sync;

/// A platform in memory. Copies share it.
#[derive(Clone)]
pub struct MemoryPlatform {
    wire: Arc<Wire>,
    began: Instant,
    inner: Arc<Mutex<Inner>>,
    /// The store refuses whoever calls through this handle, and serves all others.
    turned_away: Arc<AtomicBool>,
    /// Calls that have hung and ended without an answer.
    hung: Arc<AtomicUsize>,
}

impl MemoryPlatform {
    /// A platform whose tasks take so long each.
    pub fn new(task_time: Duration) -> Self {
        let places = ExternalKeys {
            config: "operator/config".into(),
            executors: "executors/".into(),
            waves: "operator/wave/".into(),
        };
        Self::with_wire(task_time, places, |_| Vec::new())
    }

    /// A platform whose entries in the store are named and encoded as given.
    pub fn with_wire<E>(task_time: Duration, places: ExternalKeys, encode: E) -> Self
    where
        E: Fn(&Registration) -> Vec<u8> + Send + Sync + 'static,
    {
        let inner = Inner {
            store: MemoryStore::default(),
            executors: BTreeMap::new(),
            hosts: MemoryHosts::default(),
            faults: PlatformFaults::default(),
            held_write: HeldWrite::default(),
            runs: Vec::new(),
            task_time,
            most_in_maintenance: 0,
        };
        Self {
            wire: Arc::new(Wire { places, encode: Box::new(encode) }),
            began: Instant::now(),
            inner: Arc::new(Mutex::new(inner)),
            turned_away: Arc::default(),
            hung: Arc::default(),
        }
    }

    /// Another handle to the same platform, for a daemon that can be turned away by itself.
    pub fn another_handle(&self) -> Self {
        Self { turned_away: Arc::default(), ..self.clone() }
    }

    /// Whether the store refuses whoever calls through this handle.
    pub fn turn_away(&self, turned_away: bool) {
        self.turned_away.store(turned_away, Ordering::SeqCst);
    }

    /// The operator declares a configuration.
    pub fn configure(&self, config: &Config) {
        let value = codec::encode(config);
        let key = self.wire.places.config.clone();
        self.put(&key, value);
    }

    /// The operator writes a key.
    pub fn put(&self, key: &str, value: Vec<u8>) {
        self.lock().store.put(key, value);
    }

    /// The operator reads a key.
    pub fn get(&self, key: &str) -> Option<Item> {
        self.lock().store.get(key)
    }

    /// The operator requests a wave over some hosts, one at a time.
    pub fn request_wave(&self, wave: u64, hosts: &[&str]) {
        self.put(&format!("{}{wave}", self.wire.places.waves), hosts.join("\n").into_bytes());
    }

    /// Adds an executor to a pool, on a host of its own.
    pub fn add_executor(&self, name: &str, pool: &str, capacity: Size) {
        self.add_host(HostSpec {
            host: HostName::from(format!("host-of-{name}")),
            executor: ExecutorName::from(name),
            pool: PoolName::from(pool),
            capacity,
            rack: "r1".into(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
        });
    }

    /// Adds a host.
    pub fn add_host(&self, spec: HostSpec) {
        let mut inner = self.lock();
        let executor = inner.hosts.add(spec);
        inner.take(&self.wire, 0, LifeChange::Began(executor));
    }

    /// A host goes down without warning, and comes back after a while.
    pub fn crash_host(&self, host: &HostName, down: Duration) {
        let clock_ms = self.clock_ms();
        let mut inner = self.lock();
        if let Some(change) = inner.hosts.crash(host, down) {
            inner.take(&self.wire, clock_ms, change);
        }
    }

    /// A task takes down the executor that has just started it.
    fn crash_under_task(&self, inner: &mut Inner, executor: &ExecutorName) {
        let change = inner.hosts.crash_executor(executor, DOWN_AFTER_TASK);
        if let Some(change) = change {
            inner.take(&self.wire, self.clock_ms(), change);
        }
    }

    /// The executor of a host says that it is about to leave.
    pub fn drain_host(&self, host: &HostName) {
        let mut inner = self.lock();
        if let Some(executor) = inner.hosts.drain(host) {
            inner.register(&self.wire, &executor);
        }
    }

    /// The store forgets its history.
    pub fn forget_history(&self) {
        self.lock().store.forget_history();
    }

    /// From now on this goes wrong.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.lock().faults = faults;
    }

    /// From now on this goes wrong as well, or no more.
    pub fn change_faults<F>(&self, change: F)
    where
        F: FnOnce(&mut PlatformFaults),
    {
        change(&mut self.lock().faults);
    }

    /// Every run that began, in order, as it stands now.
    pub fn runs(&self) -> Vec<RunRecord> {
        let clock_ms = self.clock_ms();
        let mut guard = self.lock();
        let Inner { executors, runs, .. } = &mut *guard;
        executors.values_mut().for_each(|executor| executor.advance(clock_ms, runs));
        runs.clone()
    }

    /// The starts that executors have carried out, in order.
    pub fn started(&self) -> Vec<Started> {
        let started = |run: &RunRecord| Started {
            executor: run.executor.clone(),
            task: run.task.clone(),
            run: run.run,
        };
        self.lock().runs.iter().map(started).collect()
    }

    /// The most hosts of one wave that were down for it at once.
    pub fn most_in_maintenance(&self) -> usize {
        self.lock().most_in_maintenance
    }

    /// Whether a host has been maintained for a wave.
    pub fn was_maintained(&self, host: &HostName, wave: u64) -> bool {
        self.lock().hosts.was_maintained(host, wave)
    }

    /// Milliseconds since the platform began: the clock of all its executors.
    pub fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.advance(&self.wire);
        inner
    }

    /// Refuses a call if the store refuses all.
    fn admit(&self) -> StoreResult<MutexGuard<'_, Inner>> {
        let inner = self.lock();
        if inner.faults.store_refuses || self.turned_away.load(Ordering::SeqCst) {
            return Err(StoreError::Refused);
        }
        Ok(inner)
    }

    /// How many calls to the store have hung until they ended without an answer.
    pub fn hung(&self) -> usize {
        self.hung.load(Ordering::SeqCst)
    }

    /// How many leases in the store have run out instead of being ended.
    pub fn expired_leases(&self) -> usize {
        self.lock().store.expired()
    }

    /// Lets a call to the store take its time.
    async fn pass(&self) -> StoreResult<()> {
        let (delay, hangs) = {
            let faults = self.lock().faults;
            (faults.store_delay, faults.store_hangs)
        };
        if !delay.is_zero() {
            Timer::after(delay).await;
        }
        if !hangs.is_zero() {
            Timer::after(hangs).await;
            self.hung.fetch_add(1, Ordering::SeqCst);
            return Err(StoreError::Lost);
        }
        Ok(())
    }
}
