//! Hosts that crash, lose capacity, are removed and are maintained, and gangs, which span hosts.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use borageswitch_scheduler::{
    effect::HostOrder,
    event::{Event, HostOrderResponse},
    executor::Registration,
    fleet::{HostEntry, HostState, WaveRequest},
    incarnation,
    job::Size,
    task::TaskKey,
};
use borageswitch_types::names::{DataCentreName, ExecutorName, HostName, PoolName};

use super::{Due, Simulation, late_lists::LateLists};
use crate::support::fixtures::{cores, queue};

/// How long a crashed executor stays registered, in milliseconds.
const REGISTRATION_TTL: u64 = 4_500;
/// The duration of maintenance of a host, in milliseconds.
const MAINTENANCE: u64 = 2_000;
/// How long a host takes to move to another pool, in milliseconds.
const MOVE: u64 = 1_500;
/// For how long after a loss of capacity a start may rely on the earlier capacity, in milliseconds.
const CAPACITY_DROP_GRACE: u64 = 4_500;
/// The number of racks.
const RACKS: usize = 3;
/// The data centres of a simulation that has several.
pub(super) const DATA_CENTRES: [&str; 2] = ["dc-1", "dc-2"];

#[derive(Clone, Debug)]
pub(super) struct SimHost {
    pool: PoolName,
    rack: usize,
    data_centre: DataCentreName,
    port: u16,
    enforces_capacity: bool,
    pub(super) state: HostState,
    executor: Option<ExecutorName>,
    /// The last incarnation of its executor that has ended.
    last_executor: Option<ExecutorName>,
    back_at: u64,
    draining: bool,
    capacity: Size,
    /// The time of the loss of capacity, and the capacity before it.
    capacity_dropped: Option<(u64, Size)>,
    restored_at: u64,
    /// The waves for which it was maintained.
    pub(super) maintained: Vec<u64>,
    /// From when lists name it, and its present executor.
    pub(super) listed_from: u64,
    pub(super) executor_listed_from: u64,
}

/// A maintenance wave.
#[derive(Clone, Debug)]
pub(super) struct SimWave {
    pub(super) requested_at: u64,
    pub(super) request: WaveRequest,
}

/// All hosts of a simulation, and the registrations of their executors.
#[derive(Clone, Debug, Default)]
pub(super) struct Hosts {
    pub(super) all: BTreeMap<HostName, SimHost>,
    /// Registrations of executors that have ended, each with the time of its expiry.
    expiring: Vec<(u64, Registration)>,
    /// Executors that crashed while their host stayed up, so that connections are reset.
    reset_connections: BTreeSet<ExecutorName>,
    list_outage_until: u64,
    pub(super) waves: BTreeMap<u64, SimWave>,
    next_host: u32,
    pub(super) lists: LateLists,
}

impl SimHost {
    fn labels(&self) -> Vec<std::sync::Arc<str>> {
        vec!["a".into(), format!("r{}", self.rack).into()]
    }

    fn registration(&self) -> Option<Registration> {
        Some(Registration {
            executor: self.executor.clone()?,
            pool: self.pool.clone(),
            address: SocketAddr::from(([127, 0, 0, 1], self.port)),
            data_centre: self.data_centre.clone(),
            draining: self.draining,
            remaining: self.draining.then_some(Duration::ZERO),
            capacity: self.capacity,
            labels: self.labels(),
        })
    }
}

impl Hosts {
    pub(super) fn registrations(&self, now: u64) -> Vec<Registration> {
        let live = self.all.values().filter_map(SimHost::registration);
        let expiring = self.expiring.iter().filter(|(until, _)| *until > now);
        live.chain(expiring.map(|(_, registration)| registration.clone())).collect()
    }

    /// The hosts as the platform lists them at this moment.
    pub(super) fn entries(&self, now: u64) -> Vec<HostEntry> {
        let listed = self.all.iter().filter(|(_, host)| host.listed_from <= now);
        let entries = listed.map(|(name, host)| HostEntry {
            host: name.clone(),
            pool: host.pool.clone(),
            state: host.state,
            labels: host.labels(),
            capacity: host.capacity,
            executor: host
                .executor
                .as_ref()
                .filter(|_| host.executor_listed_from <= now)
                .map(|e| ExecutorName::from(incarnation::registered_name(e))),
        });
        entries.collect()
    }

    fn host_of(&self, executor: &ExecutorName) -> Option<&SimHost> {
        self.all.values().find(|host| host.executor.as_ref() == Some(executor))
    }
}

impl Simulation {
    pub(super) fn add_host(&mut self, enforces_capacity: bool) {
        self.add_host_to(queue().pool, enforces_capacity);
    }

    pub(super) fn add_host_to(&mut self, pool: PoolName, enforces_capacity: bool) {
        let executor = self.add_executor(enforces_capacity);
        self.insert_host(pool, Some(executor), enforces_capacity);
    }

    /// Adds a host that is off, so that it has no executor.
    pub(super) fn add_standby_host(&mut self, pool: &PoolName) {
        self.insert_host(pool.clone(), None, true);
    }

    fn insert_host(
        &mut self,
        pool: PoolName,
        executor: Option<ExecutorName>,
        enforces_capacity: bool,
    ) {
        let listed_from = self.now + self.listing_lag();
        let has_data_centres = self.has_data_centres;
        let Some(hosts) = &mut self.hosts else { return };
        hosts.next_host += 1;
        let name = HostName::from(format!("h{}", hosts.next_host));
        let host = SimHost {
            pool,
            rack: hosts.next_host as usize % RACKS,
            data_centre: match has_data_centres {
                true => DATA_CENTRES[hosts.next_host as usize % DATA_CENTRES.len()].into(),
                false => "dc".into(),
            },
            port: 1_000 + hosts.next_host as u16,
            enforces_capacity,
            state: HostState::Up,
            executor,
            last_executor: None,
            back_at: 0,
            draining: false,
            capacity: cores(16),
            capacity_dropped: None,
            restored_at: 0,
            maintained: Vec::new(),
            listed_from,
            executor_listed_from: 0,
        };
        hosts.all.insert(name, host);
    }

    /// Crashes an executor with all its runs. Its host comes back some seconds later.
    pub(super) fn crash(&mut self, executor: &ExecutorName) {
        let back_at = self.now + self.rng.u64(2_000..5_000);
        let host_stays_up = self.rng.bool();
        if let Some(hosts) = self.hosts.as_mut().filter(|_| host_stays_up) {
            hosts.reset_connections.insert(executor.clone());
            self.reset_calls(executor);
        }
        self.end_incarnation(executor, HostState::Down, back_at);
    }

    /// Whether connections to an executor are reset instead of timing out.
    pub(super) fn is_reset(&self, executor: &ExecutorName) -> bool {
        self.hosts.as_ref().is_some_and(|hosts| hosts.reset_connections.contains(executor))
    }

    fn end_incarnation(&mut self, executor: &ExecutorName, state: HostState, back_at: u64) {
        let now = self.now;
        let Some(hosts) = &mut self.hosts else { return };
        let of = |host: &&mut SimHost| host.executor.as_ref() == Some(executor);
        let Some(host) = hosts.all.values_mut().find(of) else { return };
        let registration = host.registration();
        host.last_executor = host.executor.take();
        host.state = state;
        host.back_at = back_at;
        host.draining = false;
        host.capacity_dropped = None;
        host.capacity = cores(16);
        // Only a crashed executor stays registered for a while.
        if let Some(registration) = registration.filter(|_| state == HostState::Down) {
            hosts.expiring.push((now + REGISTRATION_TTL, registration));
        }
        if std::env::var_os("BORAGESWITCH_LOG").is_some() {
            let runs = self.executors.get(executor).map(|known| known.run_ages(now));
            self.trace(|| format!("{executor} ends, its host is {state}; runs: {runs:?}"));
        }
        if let Some(known) = self.executors.get_mut(executor) {
            known.active.clear();
        }
        self.dead.insert(executor.clone());
        if state != HostState::Down {
            self.send_registrations();
        }
    }

    /// Expires the registrations of executors that have ended: they were renewed earlier than those
    /// of the executors that run, and do not outlast them.
    pub(super) fn expire_registrations_of_ended(&mut self) {
        if let Some(hosts) = &mut self.hosts {
            hosts.expiring.clear();
        }
    }

    pub(super) fn advance_hosts(&mut self) {
        let now = self.now;
        let Some(hosts) = &mut self.hosts else { return };
        let before = hosts.expiring.len();
        hosts.expiring.retain(|(until, _)| *until > now);
        let mut changed = hosts.expiring.len() != before;
        let is_back = |host: &SimHost| host.state != HostState::Up && host.back_at <= now;
        let back: Vec<HostName> =
            hosts.all.iter().filter(|(_, h)| is_back(h)).map(|(name, _)| name.clone()).collect();
        let is_restored =
            |host: &SimHost| host.capacity_dropped.is_some() && host.restored_at <= now;
        for host in hosts.all.values_mut().filter(|host| is_restored(host)) {
            host.capacity_dropped = None;
            host.capacity = cores(16);
            changed = true;
        }
        for name in &back {
            if self.switch_off(name) {
                continue;
            }
            let enforces_capacity =
                self.hosts.as_ref().is_some_and(|hosts| hosts.all[name].enforces_capacity);
            let executor = self.restart_executor(name, enforces_capacity);
            // Some executors come back at the same address, some at another one.
            let port = self.rng.u16(2_000..60_000);
            let changes_port = self.rng.bool();
            let listed_from = self.now + self.listing_lag();
            let host = self.hosts.as_mut().and_then(|hosts| hosts.all.get_mut(name));
            let Some(host) = host else { continue };
            host.state = HostState::Up;
            host.executor = Some(executor);
            host.executor_listed_from = listed_from;
            host.port = if changes_port { port } else { host.port };
        }
        if changed || !back.is_empty() {
            self.send_registrations();
        }
        self.sync_capacities();
    }

    /// Leaves a host that is back without an executor if it is in a pool of hosts that are off.
    fn switch_off(&mut self, name: &HostName) -> bool {
        let pool = self.hosts.as_ref().map(|hosts| hosts.all[name].pool.clone());
        let is_off = pool.is_some_and(|pool| self.is_standby(&pool));
        let host = self.hosts.as_mut().and_then(|hosts| hosts.all.get_mut(name));
        if let Some(host) = host.filter(|_| is_off) {
            host.state = HostState::Up;
        }
        is_off
    }

    /// Starts a new executor on a host, under the same name if `reuse_names` is set.
    fn restart_executor(&mut self, host: &HostName, enforces_capacity: bool) -> ExecutorName {
        let before = self.hosts.as_ref().and_then(|hosts| hosts.all[host].last_executor.clone());
        let Some(before) = before.filter(|_| self.reuse_names) else {
            return self.add_executor(enforces_capacity);
        };
        let next = self.start_incarnation(&before, enforces_capacity);
        if let Some(hosts) = &mut self.hosts {
            // The new registration replaces an old one of the same name.
            hosts.expiring.retain(|(_, r)| {
                incarnation::registered_name(&r.executor) != incarnation::registered_name(&next)
            });
        }
        next
    }

    /// Sets the capacity that executors enforce to the current capacity of their hosts.
    fn sync_capacities(&mut self) {
        let Some(hosts) = &self.hosts else { return };
        for host in hosts.all.values() {
            let known = host.executor.as_ref().and_then(|name| self.executors.get_mut(name));
            if let Some(known) = known {
                known.capacity = host.capacity;
            }
        }
    }

    pub(super) fn inject_host_faults(&mut self) {
        if self.hosts.is_none() {
            return;
        }
        if self.chance(self.faults.rack_failure) {
            let rack = self.rng.usize(..RACKS);
            self.trace(|| format!("rack {rack} fails"));
            for executor in self.executors_where(|host| host.rack == rack) {
                self.crash(&executor);
            }
        }
        if self.chance(self.faults.capacity_drop) {
            self.drop_capacity();
        }
        if self.chance(self.faults.host_removal) {
            self.announce_removal();
        }
        if self.chance(self.faults.wave) {
            self.request_wave();
        }
        if self.chance(self.faults.host_list_outage) {
            let until = self.now + self.rng.u64(500..6_000);
            if let Some(hosts) = &mut self.hosts {
                hosts.list_outage_until = until;
            }
        }
    }

    pub(super) fn executors_in(&self, data_centre: &str) -> Vec<ExecutorName> {
        self.executors_where(|host| host.data_centre.as_str() == data_centre)
    }

    pub(super) fn executors_where<F>(&self, wanted: F) -> Vec<ExecutorName>
    where
        F: Fn(&SimHost) -> bool,
    {
        let hosts = self.hosts.iter().flat_map(|hosts| hosts.all.values());
        hosts.filter(|host| wanted(host)).filter_map(|host| host.executor.clone()).collect()
    }

    fn random_host(&mut self) -> Option<HostName> {
        let hosts = self.hosts.as_ref()?;
        let up = hosts.all.iter().filter(|(_, host)| host.executor.is_some() && !host.draining);
        let up: Vec<HostName> = up.map(|(name, _)| name.clone()).collect();
        if up.is_empty() { None } else { Some(up[self.rng.usize(..up.len())].clone()) }
    }

    fn drop_capacity(&mut self) {
        let Some(name) = self.random_host() else { return };
        let left = if self.rng.u32(..4) == 0 { 0 } else { self.rng.u64(1..12) };
        let restored_at = self.now + self.rng.u64(1_000..8_000);
        let now = self.now;
        let host = self.hosts.as_mut().and_then(|hosts| hosts.all.get_mut(&name));
        if let Some(host) = host.filter(|host| host.capacity_dropped.is_none()) {
            host.capacity_dropped = Some((now, host.capacity));
            host.capacity = cores(left);
            host.restored_at = restored_at;
            self.send_registrations();
        }
    }

    /// Drains a random host and schedules its removal and replacement some seconds later.
    pub(super) fn announce_removal(&mut self) {
        let Some(name) = self.random_host() else { return };
        let at = self.now + self.rng.u64(2_000..4_000);
        let host = self.hosts.as_mut().and_then(|hosts| hosts.all.get_mut(&name));
        let Some(host) = host else { return };
        host.draining = true;
        let (enforces_capacity, executor) = (host.enforces_capacity, host.executor.clone());
        self.send_registrations();
        self.due.push((at, Due::HostRemoval { host: name, executor, enforces_capacity }));
    }

    pub(super) fn remove_host(
        &mut self,
        name: &HostName,
        executor: Option<&ExecutorName>,
        enforces_capacity: bool,
    ) {
        let there = self.hosts.as_ref().and_then(|hosts| hosts.all.get(name));
        let Some(host) = there.filter(|host| host.executor.as_ref() == executor) else { return };
        let pool = host.pool.clone();
        if let Some(executor) = executor {
            self.end_incarnation(executor, HostState::Moving, u64::MAX);
        }
        if let Some(hosts) = &mut self.hosts {
            hosts.all.remove(name);
        }
        self.add_host_to(pool, enforces_capacity);
        self.send_registrations();
    }

    fn request_wave(&mut self) {
        let Some(hosts) = &mut self.hosts else { return };
        let wave = hosts.waves.len() as u64 + 1;
        let due: Vec<HostName> = hosts.all.keys().step_by(2).cloned().collect();
        let request =
            WaveRequest { wave, hosts: due, allowed: Duration::from_secs(20), max_down: 2 };
        hosts.waves.insert(wave, SimWave { requested_at: self.now, request: request.clone() });
        let moment = self.moment();
        if let Some(leader) = &mut self.leader {
            leader.handle(moment, Event::WaveRequested(request));
        }
    }

    pub(super) fn list_hosts(&mut self) -> Option<Vec<HostEntry>> {
        let hosts = self.hosts.as_ref().filter(|hosts| hosts.list_outage_until <= self.now)?;
        let current = hosts.entries(self.now);
        Some(self.late_list(current))
    }

    pub(super) fn order_host(&mut self, token: u64, name: &HostName, order: &HostOrder) {
        let host = self.hosts.as_ref().and_then(|hosts| hosts.all.get(name));
        let up = host.filter(|host| host.state == HostState::Up && !host.draining);
        let response = match (up.and_then(|host| host.executor.clone()), order) {
            (Some(executor), HostOrder::Maintain(wave)) => {
                self.check_wave_order(*wave, name);
                self.end_incarnation(&executor, HostState::InMaintenance, self.now + MAINTENANCE);
                HostOrderResponse::Done
            }
            (Some(executor), HostOrder::Move(pool)) => {
                self.end_incarnation(&executor, HostState::Moving, self.now + MOVE);
                if let Some(host) = self.hosts.as_mut().and_then(|hosts| hosts.all.get_mut(name)) {
                    host.pool = pool.clone();
                }
                HostOrderResponse::Done
            }
            (None, HostOrder::Move(pool)) if self.is_off(name) => {
                let back_at = self.now + MOVE;
                if let Some(host) = self.hosts.as_mut().and_then(|hosts| hosts.all.get_mut(name)) {
                    host.pool = pool.clone();
                    host.state = HostState::Moving;
                    host.back_at = back_at;
                }
                HostOrderResponse::Done
            }
            _ => HostOrderResponse::Busy,
        };
        self.trace(|| format!("{name} is ordered: {order:?}, answer {response:?}"));
        let event = Event::HostOrderAnswered { host: name.clone(), response };
        self.due.push((self.now + 10, Due::Event { token, event }));
    }

    fn is_off(&self, name: &HostName) -> bool {
        let host = self.hosts.as_ref().and_then(|hosts| hosts.all.get(name));
        host.is_some_and(|host| host.state == HostState::Up && self.is_standby(&host.pool))
    }

    /// The capacity that a start may rely on: the current one, or the one before a recent loss.
    pub(super) fn recent_capacity(&self, executor: &ExecutorName) -> Size {
        let host = self.hosts.as_ref().and_then(|hosts| hosts.host_of(executor));
        let lately = host
            .and_then(|host| host.capacity_dropped)
            .filter(|(at, _)| self.now - at < CAPACITY_DROP_GRACE);
        lately.map_or(self.executors[executor].capacity, |(_, before)| before)
    }

    /// Delays the end of gang members while not all members of the same run are active.
    pub(super) fn stall_incomplete_gangs(&mut self) {
        if self.hosts.is_none() {
            return;
        }
        let mut present: BTreeMap<(TaskKey, u32), u32> = BTreeMap::new();
        let first = |task: &TaskKey| TaskKey { index: 0, ..task.clone() };
        let alive = self.executors.iter().filter(|(name, _)| !self.dead.contains(*name));
        for (task, run) in alive.flat_map(|(_, known)| &known.active) {
            *present.entry((first(task), run.run)).or_default() += 1;
        }
        let submissions = &self.submissions;
        for known in self.executors.values_mut() {
            for (task, run) in &mut known.active {
                let step = &submissions[&task.job].spec.steps[usize::from(task.step)];
                let whole = present.get(&(first(task), run.run)) == Some(&step.count);
                if step.gang && !whole {
                    run.ends = run.ends.max(self.now + 50);
                }
            }
        }
    }
}
