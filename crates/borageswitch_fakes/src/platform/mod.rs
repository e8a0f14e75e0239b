//! A platform in memory, for tests and examples of whatever schedules jobs.
//!
//! [`MemoryPlatform`] implements the runtime's port without sockets: a [`store`] with transactions,
//! leases and watches, and [`executors`] that keep to fencing tokens and leases. Several daemons in
//! one process share one. Faults are switched on by [`MemoryPlatform::set_faults`].

mod executors;
mod store;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use borageswitch_runtime::ports::{
    Change, Changes, Commander, Committed, Item, LeaseId, Page, Places, Platform, Reading,
    Revision, StoreError, StoreResult, Transaction,
};
use borageswitch_scheduler::{
    config::Config,
    effect::{HostOrder, LookOrder, Recipient, StartOrder},
    event::{HostAnswer, LookAnswer, OrderAnswer, Seen, StartAnswer},
    executor::Registration,
    fleet::{HostEntry, HostState, WaveRequest},
    job::Size,
    task::{StepKey, TaskKey},
};
use borageswitch_types::names::{DataCentreName, ExecutorName, HostName, PoolName};
use smol::Timer;

use self::{executors::MemoryExecutor, store::MemoryStore};

/// How often a call that waits looks again.
const LOOK_AGAIN: Duration = Duration::from_millis(2);

/// What goes wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlatformFaults {
    /// The store refuses every call, having done nothing.
    pub store_refuses: bool,
    /// The store carries writes out and does not answer.
    pub store_loses_answers: bool,
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
    faults: PlatformFaults,
    started: Vec<Started>,
    task_time: Duration,
}

/// A platform in memory. Copies share it.
#[derive(Clone)]
pub struct MemoryPlatform {
    places: Places,
    began: Instant,
    inner: Arc<Mutex<Inner>>,
    /// The store refuses whoever calls through this handle, and serves all others.
    turned_away: Arc<AtomicBool>,
}

impl MemoryPlatform {
    /// A platform whose tasks take so long each.
    pub fn new(task_time: Duration) -> Self {
        let inner = Inner {
            store: MemoryStore::default(),
            executors: BTreeMap::new(),
            faults: PlatformFaults::default(),
            started: Vec::new(),
            task_time,
        };
        Self {
            places: Places {
                config: "operator/config".into(),
                executors: "executors/".into(),
                waves: "operator/wave/".into(),
            },
            began: Instant::now(),
            inner: Arc::new(Mutex::new(inner)),
            turned_away: Arc::default(),
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
        let value = serde_json::to_vec(config).expect("a configuration can be encoded");
        self.lock().store.put("operator/config", value);
    }

    /// Adds an executor to a pool.
    pub fn add_executor(&self, name: &str, pool: &str, capacity: Size) {
        let executor = MemoryExecutor::new(PoolName::from(pool), capacity);
        let mut inner = self.lock();
        inner.executors.insert(ExecutorName::from(name), executor);
        inner.store.put(&format!("executors/{name}"), Vec::new());
    }

    /// From now on this goes wrong.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.lock().faults = faults;
    }

    /// The starts that executors have carried out, in order.
    pub fn started(&self) -> Vec<Started> {
        self.lock().started.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Refuses a call if the store refuses all.
    fn admit(&self) -> StoreResult<MutexGuard<'_, Inner>> {
        let mut inner = self.lock();
        if inner.faults.store_refuses || self.turned_away.load(Ordering::SeqCst) {
            return Err(StoreError::Refused);
        }
        inner.store.expire(Instant::now());
        Ok(inner)
    }

    fn registration(&self, name: &str) -> Option<Registration> {
        let executor = ExecutorName::from(name);
        let inner = self.lock();
        let known = inner.executors.get(&executor)?;
        Some(Registration {
            executor,
            pool: known.pool.clone(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            data_centre: DataCentreName::from("memory"),
            draining: false,
            remaining: None,
            capacity: known.capacity,
            labels: vec!["a".into(), "r1".into()],
        })
    }
}

impl Platform for MemoryPlatform {
    fn places(&self) -> &Places {
        &self.places
    }

    async fn read(&self, key: &str) -> StoreResult<Reading> {
        let inner = self.admit()?;
        Ok(Reading { item: inner.store.get(key), at: inner.store.revision() })
    }

    async fn list(&self, prefix: &str, after: Option<&str>) -> StoreResult<Page> {
        let inner = self.admit()?;
        let items = inner.store.list(prefix, after);
        Ok(Page { items, more: false, at: inner.store.revision() })
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> StoreResult<Changes> {
        let until = Instant::now() + wait;
        loop {
            {
                let inner = self.admit()?;
                let changes = inner.store.changes(prefix, after);
                if !changes.is_empty() || Instant::now() >= until {
                    return Ok(Changes { changes, at: inner.store.revision() });
                }
            }
            Timer::after(LOOK_AGAIN).await;
        }
    }

    async fn commit(&self, tx: &Transaction) -> StoreResult<Committed> {
        let mut inner = self.admit()?;
        let committed = inner.store.commit(tx);
        if inner.faults.store_loses_answers { Err(StoreError::Lost) } else { Ok(committed) }
    }

    async fn grant(&self, ttl: Duration) -> StoreResult<(LeaseId, Duration)> {
        Ok((self.admit()?.store.grant(Instant::now(), ttl), ttl))
    }

    async fn renew(&self, lease: LeaseId) -> StoreResult<Duration> {
        self.admit()?.store.renew(Instant::now(), lease).ok_or(StoreError::NotFound)
    }

    async fn revoke(&self, lease: LeaseId) -> StoreResult<()> {
        self.admit()?.store.revoke(lease);
        Ok(())
    }

    fn decode_config(&self, item: &Item) -> Option<Config> {
        serde_json::from_slice(&item.value).ok()
    }

    fn decode_executor(&self, change: &Change) -> Option<Seen> {
        match change {
            Change::Removed(key) => {
                Some(Seen::Gone(ExecutorName::from(key.strip_prefix("executors/")?)))
            }
            Change::Written(item) => {
                self.registration(item.key.strip_prefix("executors/")?).map(Seen::There)
            }
        }
    }

    fn decode_wave(&self, _: &Item) -> Option<WaveRequest> {
        None
    }

    fn encode_wave_report(&self, wave: u64, completed: bool) -> (Arc<str>, Vec<u8>) {
        (format!("reports/{wave}").into(), vec![u8::from(completed)])
    }

    async fn start(
        &self,
        to: &Recipient,
        token: u64,
        order: &StartOrder,
    ) -> (StartAnswer, Option<u64>) {
        let clock_ms = self.clock_ms();
        let mut inner = self.lock();
        let task_time = inner.task_time.as_millis() as u64;
        let Some(executor) = inner.executors.get_mut(&to.executor) else {
            return (StartAnswer::Lost, None);
        };
        let (answer, began) = executor.start(clock_ms, token, order, task_time);
        if began {
            let (task, run) = (order.task.clone(), order.run);
            inner.started.push(Started { executor: to.executor.clone(), task, run });
        }
        (answer, Some(clock_ms))
    }

    async fn stop(&self, to: &Recipient, token: u64, task: &TaskKey, run: u32) -> OrderAnswer {
        let clock_ms = self.clock_ms();
        let mut inner = self.lock();
        match inner.executors.get_mut(&to.executor) {
            Some(executor) => executor.stop(clock_ms, token, task, run),
            None => OrderAnswer::Lost,
        }
    }

    async fn look(&self, to: &Recipient, token: u64, order: &LookOrder) -> LookAnswer {
        let until = Instant::now() + order.wait;
        loop {
            {
                let clock_ms = self.clock_ms();
                let mut inner = self.lock();
                let Some(executor) = inner.executors.get_mut(&to.executor) else {
                    return LookAnswer::Lost;
                };
                let answer = executor.look(clock_ms, token, order);
                let waits = matches!(&answer, LookAnswer::Report(r) if r.ended.is_empty());
                if !waits || Instant::now() >= until {
                    return answer;
                }
            }
            Timer::after(LOOK_AGAIN).await;
        }
    }

    async fn pace(&self, _: &Recipient, _: u64, _: &TaskKey, _: u32, _: u8) -> OrderAnswer {
        OrderAnswer::Done
    }

    async fn advise(
        &self,
        _: &StepKey,
        executors: &[ExecutorName],
    ) -> Option<Vec<(ExecutorName, Arc<str>)>> {
        Some(executors.iter().map(|executor| (executor.clone(), "ticket".into())).collect())
    }

    async fn hosts(&self) -> Option<Vec<HostEntry>> {
        let inner = self.lock();
        let entries = inner.executors.iter().map(|(name, known)| HostEntry {
            host: HostName::from(format!("host-of-{name}")),
            pool: known.pool.clone(),
            state: HostState::Up,
            labels: vec!["a".into(), "r1".into()],
            capacity: known.capacity,
            executor: Some(name.clone()),
        });
        Some(entries.collect())
    }

    async fn order_host(&self, _: &Commander, _: &HostName, _: &HostOrder) -> HostAnswer {
        HostAnswer::Busy
    }
}
