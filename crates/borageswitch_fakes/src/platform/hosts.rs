//! Hosts that crash, leave, move between pools and are maintained.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use borageswitch_scheduler::{
    effect::HostOrder,
    event::HostOrderResponse,
    executor::Registration,
    fleet::{HostEntry, HostState},
    job::Size,
};
use borageswitch_types::names::{DataCentreName, ExecutorName, HostName, PoolName};

/// How long a host is away for a move or for maintenance.
const AWAY: Duration = Duration::from_millis(400);

/// A host as it is added to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostSpec {
    /// The host.
    pub host: HostName,
    /// The name of its executor's first life; later ones are numbered.
    pub executor: ExecutorName,
    /// Its pool.
    pub pool: PoolName,
    /// What it has in all.
    pub capacity: Size,
    /// Its rack.
    pub rack: Arc<str>,
    /// Where its executor takes orders.
    pub address: SocketAddr,
}

#[derive(Debug)]
struct MemoryHost {
    spec: HostSpec,
    lives: u32,
    state: HostState,
    executor: Option<ExecutorName>,
    draining: bool,
    back_at: Option<Instant>,
    maintained_for: Vec<u64>,
}

/// What a change of the hosts means for executors.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum LifeChange {
    Began(ExecutorName),
    Over(ExecutorName),
}

/// All hosts.
#[derive(Debug, Default)]
pub(super) struct MemoryHosts {
    hosts: BTreeMap<HostName, MemoryHost>,
}

impl MemoryHosts {
    pub(super) fn add(&mut self, spec: HostSpec) -> ExecutorName {
        let executor = spec.executor.clone();
        let host = MemoryHost {
            lives: 1,
            state: HostState::Up,
            executor: Some(executor.clone()),
            draining: false,
            back_at: None,
            maintained_for: Vec::new(),
            spec,
        };
        self.hosts.insert(host.spec.host.clone(), host);
        executor
    }

    /// Hosts that are due come back, each with a new life of its executor.
    pub(super) fn advance(&mut self, now: Instant) -> Vec<LifeChange> {
        let due = self.hosts.values_mut().filter(|host| host.back_at.is_some_and(|at| at <= now));
        due.map(MemoryHost::come_back).collect()
    }

    /// A host goes down without warning, and comes back after a while.
    pub(super) fn crash(&mut self, host: &HostName, down: Duration) -> Option<LifeChange> {
        let host = self.hosts.get_mut(host)?;
        host.state = HostState::Down;
        host.back_at = Some(Instant::now() + down);
        host.executor.take().map(LifeChange::Over)
    }

    /// An executor goes down without warning, and its host comes back after a while.
    pub(super) fn crash_executor(
        &mut self,
        executor: &ExecutorName,
        down: Duration,
    ) -> Option<LifeChange> {
        let has = |(_, host): &(&HostName, &MemoryHost)| host.executor.as_ref() == Some(executor);
        let host = self.hosts.iter().find(has).map(|(name, _)| name.clone())?;
        self.crash(&host, down)
    }

    /// The executor of a host is about to leave.
    pub(super) fn drain(&mut self, host: &HostName) -> Option<ExecutorName> {
        let host = self.hosts.get_mut(host)?;
        host.draining = true;
        host.executor.clone()
    }

    /// Carries an order out, or refuses it.
    pub(super) fn order(
        &mut self,
        host: &HostName,
        order: &HostOrder,
    ) -> (HostOrderResponse, Option<LifeChange>) {
        let Some(host) = self.hosts.get_mut(host) else {
            return (HostOrderResponse::Impossible, None);
        };
        match order {
            HostOrder::Move(pool) if host.spec.pool == *pool => {
                return (HostOrderResponse::Done, None);
            }
            HostOrder::Maintain(wave) if host.maintained_for.contains(wave) => {
                return (HostOrderResponse::Done, None);
            }
            _ if host.state != HostState::Up || host.draining => {
                return (HostOrderResponse::Busy, None);
            }
            HostOrder::Move(pool) => {
                host.spec.pool = pool.clone();
                host.state = HostState::Moving;
            }
            HostOrder::Maintain(wave) => {
                host.maintained_for.push(*wave);
                host.state = HostState::InMaintenance;
            }
        }
        host.back_at = Some(Instant::now() + AWAY);
        (HostOrderResponse::Done, host.executor.take().map(LifeChange::Over))
    }

    /// The most hosts of one wave that are down for it now.
    pub(super) fn in_maintenance(&self) -> usize {
        let mut by_wave: BTreeMap<u64, usize> = BTreeMap::new();
        for host in self.hosts.values().filter(|host| host.state == HostState::InMaintenance) {
            if let Some(wave) = host.maintained_for.last() {
                *by_wave.entry(*wave).or_default() += 1;
            }
        }
        by_wave.into_values().max().unwrap_or(0)
    }

    /// Whether a host has been maintained for a wave.
    pub(super) fn was_maintained(&self, host: &HostName, wave: u64) -> bool {
        self.hosts.get(host).is_some_and(|host| host.maintained_for.contains(&wave))
    }

    pub(super) fn registration(&self, executor: &ExecutorName) -> Option<Registration> {
        let of = |host: &&MemoryHost| host.executor.as_ref() == Some(executor);
        let host = self.hosts.values().find(of)?;
        Some(Registration {
            executor: executor.clone(),
            pool: host.spec.pool.clone(),
            address: host.spec.address,
            data_centre: DataCentreName::from("memory"),
            draining: host.draining,
            remaining: host.draining.then_some(Duration::ZERO),
            capacity: host.spec.capacity,
            labels: host.labels(),
        })
    }

    pub(super) fn list(&self) -> Vec<HostEntry> {
        let entry = |host: &MemoryHost| HostEntry {
            host: host.spec.host.clone(),
            pool: host.spec.pool.clone(),
            state: host.state,
            labels: host.labels(),
            capacity: host.spec.capacity,
            executor: host.executor.clone(),
        };
        self.hosts.values().map(entry).collect()
    }
}

impl MemoryHost {
    fn labels(&self) -> Vec<Arc<str>> {
        vec!["a".into(), self.spec.rack.clone()]
    }

    fn come_back(&mut self) -> LifeChange {
        self.lives += 1;
        let executor = ExecutorName::from(format!("{}-{}", self.spec.executor, self.lives));
        self.state = HostState::Up;
        self.draining = false;
        self.back_at = None;
        self.executor = Some(executor.clone());
        LifeChange::Began(executor)
    }
}
