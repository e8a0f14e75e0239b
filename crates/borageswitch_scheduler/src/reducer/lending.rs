//! Moves of hosts between pools to follow the load, as decided by [`crate::policy::lending`].

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use borageswitch_types::{
    Time,
    names::{HostName, PoolName},
};

use crate::{
    event::Now,
    fleet::{HostEntry, HostState},
    job::{Size, Step, Submission},
    policy::{
        arrivals::{self, ArrivalRate},
        call_budget::CallBudget,
        lending::{self, Demand, LabelDemand, MovableHost, PoolLoad},
        peaks::{self, Peak},
    },
    reducer::{
        Scheduler, executors::Executor, hosts::Purpose, places::reserved_size,
        waiting::unblocked_steps,
    },
};

/// The measured load of pools, and the moves that the platform has refused.
#[derive(Debug, Default)]
pub struct Lending {
    arrivals: BTreeMap<PoolName, ArrivalRate>,
    /// The peak need of each pool within the recent past.
    peaks: BTreeMap<PoolName, Peak>,
    /// When the first job without a schedule and without lasting tasks arrived.
    first_short_work: Option<Time>,
    /// The budget for calls to the platform that order hosts.
    budget: Option<CallBudget>,
    /// Kinds of hosts that the platform refuses to have in a pool.
    unfit: BTreeSet<(Arc<str>, PoolName)>,
}

/// What the tasks of a pool need.
#[derive(Debug, Default)]
struct PoolNeeds {
    whole: Demand,
    labelled: BTreeMap<Arc<str>, Demand>,
    data_racks: BTreeSet<Arc<str>>,
    best_effort: bool,
    serves: bool,
}

impl PoolNeeds {
    fn add(&mut self, step: &Step, waiting: u64) {
        let size = reserved_size(step);
        let waiting_size = size.times(waiting);
        let apart = step.max_per_host.map_or(0, |most| step.count.div_ceil(most) as usize);
        let need = match &step.label {
            // Hosts without the label are of no use to tasks that wait for it. Running tasks are
            // counted in the need of the whole pool.
            Some(label) => {
                let need = self.labelled.entry(label.clone()).or_default();
                need.separate_hosts = need.separate_hosts.max(1);
                need
            }
            None => &mut self.whole,
        };
        need.resources += waiting_size;
        need.separate_hosts = need.separate_hosts.max(apart);
        if let Some(rack) = step.data_rack.as_ref().filter(|_| waiting > 0) {
            self.data_racks.insert(Arc::from(rack.as_str()));
        }
        self.best_effort |= step.best_effort;
        self.serves |= step.target_tail.is_some() && !step.best_effort;
    }
}

impl Lending {
    /// The most hosts that any pool has recently needed.
    fn largest_peak(&self) -> usize {
        self.peaks.values().map(Peak::hosts).max().unwrap_or(0)
    }

    /// Whether the platform has refused to have this kind of host in a pool.
    pub(super) fn is_unfit(&self, labels: &[Arc<str>], pool: &PoolName) -> bool {
        // Nothing is refused on most sites, and the names would be cloned for each look-up.
        let Some(kind) = labels.first().filter(|_| !self.unfit.is_empty()) else { return false };
        self.unfit.contains(&(kind.clone(), pool.clone()))
    }

    /// Records that the platform refused to have this kind of host in a pool.
    pub(super) fn note_unfit(&mut self, entry: &HostEntry, pool: &PoolName) {
        if let Some(kind) = entry.labels.first() {
            self.unfit.insert((kind.clone(), pool.clone()));
        }
    }
}

impl Scheduler {
    /// Adds the work of a submitted job to the arrival rate of its pool.
    pub(super) fn note_arrival(&mut self, now: Now, pool: &PoolName, submission: &Submission) {
        if submission.spec.is_lasting() || submission.spec.schedule.is_some() {
            return;
        }
        let queue = &submission.queue.name;
        let (mut work, mut takes) = (0.0, Duration::ZERO);
        let feasible = submission.spec.steps.iter().filter(|step| self.is_feasible(pool, step));
        for step in feasible {
            let cores = step.size.cpu_milli as f64 / 1_000.0;
            let each = self.runtime_estimates.bounded_estimate(queue, step.estimate);
            work += f64::from(step.count) * cores * each.as_secs_f64();
            takes += each;
        }
        let spread = takes.min(peaks::retention(self.fleet_move_time(), self.limits.host_move));
        self.lending.arrivals.entry(pool.clone()).or_default().record_work(now.time, work, spread);
        self.lending.first_short_work.get_or_insert(now.time);
    }

    /// Takes one call to the platform out of the budget; false if the budget is used up.
    pub(super) fn take_host_call(&mut self, now: Time) -> bool {
        self.call_budget(now).try_take(now)
    }

    fn call_budget(&mut self, now: Time) -> &mut CallBudget {
        let calls = self.limits.host_calls_per_s;
        self.lending.budget.get_or_insert_with(|| CallBudget::new(calls, now))
    }

    /// How long it would take to order one move for every host, at the platform's call rate.
    fn fleet_move_time(&self) -> Duration {
        let hosts = self.fleet.hosts.len() as f64;
        Duration::from_secs_f64(hosts / self.limits.host_calls_per_s)
    }

    /// Updates the peaks of the pools, and sets how many hosts each pool retains.
    fn update_retained_hosts(&mut self, now: Now, loads: &mut [PoolLoad<HostName>]) {
        let fleet_move_time = self.fleet_move_time();
        let horizon = peaks::retention(fleet_move_time, self.limits.host_move);
        for load in loads.iter().filter(|load| !load.standby) {
            let peak = self.lending.peaks.entry(load.pool.clone()).or_default();
            peak.record(now.time, load.demand.hosts(&load.host_size), horizon);
        }
        let largest = self.lending.largest_peak();
        let first_work = self.lending.first_short_work;
        let peaks_unknown = first_work.is_none_or(|first| now.time.since(first) < horizon);
        let term_age = now.time.since(self.took_over_at);
        for load in loads {
            let peak = self.lending.peaks.get(&load.pool).map_or(0, Peak::hosts);
            let rate = self.lending.arrivals.get(&load.pool);
            let is_learning = arrivals::is_learning(term_age, rate, now.time);
            load.min_powered_on = if is_learning {
                peaks::hosts_kept_while_learning(
                    fleet_move_time,
                    first_work.is_some().then_some(largest),
                )
            } else if peaks_unknown {
                largest
            } else {
                peak
            };
        }
    }

    /// Moves hosts to the pools that need them.
    pub(super) fn lend_hosts(&mut self, now: Now) {
        if self.fleet.listed.is_none_or(|listed| listed < self.took_over_at) {
            return;
        }
        let mut loads = self.pool_loads(now);
        self.update_retained_hosts(now, &mut loads);
        let spare_calls = self.call_budget(now.time).optional_calls(now.time);
        // Busy hosts are lent only to a pool that lacks hosts with a label.
        if loads.iter().any(PoolLoad::lacks_labelled_host) {
            for load in &mut loads {
                load.busy = self.busy_hosts(now.time, &load.pool);
            }
        }
        let hosts = &self.fleet.hosts;
        let may_move = |host: &HostName, pool: &PoolName| {
            hosts.get(host).is_none_or(|entry| !self.lending.is_unfit(&entry.labels, pool))
        };
        for chosen in lending::decide(&loads, spare_calls, may_move) {
            self.withdraw(now, &chosen.host, Purpose::Move(chosen.to));
        }
    }

    fn pool_loads(&self, now: Now) -> Vec<PoolLoad<HostName>> {
        let Some(config) = &self.config else { return Vec::new() };
        let mut needs = self.needs();
        config
            .pools
            .values()
            .map(|pool| {
                let rate = self.lending.arrivals.get(&pool.name);
                let in_pool: Vec<&HostEntry> =
                    self.fleet.hosts.values().filter(|entry| entry.pool == pool.name).collect();
                let members = self.members_of(&pool.name, &in_pool);
                let needs = needs.remove(&pool.name).unwrap_or_default();
                let host = self.typical_host(&in_pool);
                let labelled = needs.labelled.into_iter().map(|(label, mut need)| {
                    let mut hosts = 0;
                    let waiting = need.resources.cpu_milli;
                    for entry in members.iter().filter(|entry| entry.labels.contains(&label)) {
                        hosts += 1;
                        // Capacity in use on these hosts is no help to tasks that wait for it.
                        need.resources +=
                            self.executor_on(entry).map_or(Size::default(), Executor::used);
                    }
                    LabelDemand { label, demand: need, waiting, hosts }
                });
                PoolLoad {
                    pool: pool.name.clone(),
                    standby: pool.standby,
                    hosts: members.len(),
                    idle: self.idle_hosts(now.time, pool.standby, &in_pool),
                    busy: Vec::new(),
                    demand: needs.whole,
                    label_demands: labelled.collect(),
                    missing_for_lasting: self.extra_hosts_for_lasting(&pool.name, &members, &host),
                    missing_for_gang: self.extra_hosts_for_gang(&pool.name, &members, &host),
                    hosts_by_label: count_labels(&members),
                    data_racks: needs.data_racks,
                    arriving_cores: self.arriving_cores(now, &pool.name),
                    host_size: host,
                    has_short_work: rate.is_some(),
                    min_powered_on: 0,
                }
            })
            .collect()
    }

    /// The demand of running and waiting tasks, by pool.
    fn needs(&self) -> BTreeMap<PoolName, PoolNeeds> {
        let mut needs: BTreeMap<PoolName, PoolNeeds> = BTreeMap::new();
        for known in self.executors.values() {
            needs.entry(known.registration.pool.clone()).or_default().whole.resources +=
                known.used();
        }
        // Hosts that were moved for tasks whose callers are at their quota would be idle.
        let mut allocation = self.quota_allocation();
        for (name, job) in &self.ledger.jobs {
            let Some(job_state) = self.job_states.get(name) else { continue };
            let pool = needs.entry(job_state.pool.clone()).or_default();
            for (step, waiting) in unblocked_steps(job) {
                if waiting > 0 && !self.is_feasible(&job_state.pool, step) {
                    continue;
                }
                pool.add(step, allocation.take(job, step, &job_state.pool, waiting as u64));
            }
        }
        for pool in needs.values_mut() {
            // One more host lets best-effort tasks run apart from serving tasks.
            pool.whole.separate_hosts += usize::from(pool.best_effort && pool.serves);
        }
        needs
    }

    /// The number of cores that arriving work keeps busy in a pool.
    pub(super) fn arriving_cores(&self, now: Now, pool: &PoolName) -> f64 {
        let rate = self.lending.arrivals.get(pool);
        rate.map_or(0.0, |rate| rate.expected_cores(now.time))
    }

    /// The number of cores that the arrivals of the last second have kept busy in a pool.
    pub(super) fn sustained_cores(&self, now: Now, pool: &PoolName) -> f64 {
        let rate = self.lending.arrivals.get(pool);
        rate.map_or(0.0, |rate| rate.sustained_cores(now.time))
    }

    /// The hosts that serve a pool or are being moved to it.
    fn members_of<'a>(&'a self, pool: &PoolName, in_pool: &[&'a HostEntry]) -> Vec<&'a HostEntry> {
        let serving = in_pool.iter().copied().filter(|entry| {
            entry.state == HostState::Up && !self.fleet.withdrawals.contains_key(&entry.host)
        });
        let to_pool = Purpose::Move(pool.clone());
        let incoming =
            self.fleet.withdrawals.iter().filter(|(_, withdrawal)| withdrawal.purpose == to_pool);
        serving.chain(incoming.filter_map(|(host, _)| self.fleet.hosts.get(host))).collect()
    }

    /// The executor on a host, if it is known.
    pub(super) fn executor_on(&self, entry: &HostEntry) -> Option<&Executor> {
        self.executors.get(entry.executor.as_ref()?)
    }

    /// The hosts of a pool that have no runs and may be lent.
    fn idle_hosts(
        &self,
        now: Time,
        standby: bool,
        in_pool: &[&HostEntry],
    ) -> Vec<MovableHost<HostName>> {
        let free = in_pool.iter().filter(|entry| {
            entry.state == HostState::Up
                && !self.fleet.withdrawals.contains_key(&entry.host)
                && !self.is_order_paused(now, &entry.host)
        });
        let idle = free.filter_map(|entry| {
            let idle = if standby {
                Duration::ZERO
            } else {
                let known = self.executors.get(entry.executor.as_ref()?)?;
                if !known.is_registered || !known.fenced || !known.runs.is_empty() {
                    return None;
                }
                if self.is_needed_by_gang(&entry.pool, entry.executor.as_ref()?) {
                    return None;
                }
                now.since(known.idle_since)
            };
            Some(self.lendable(entry, idle))
        });
        idle.collect()
    }

    /// The hosts of a pool whose runs are all of tasks that end by themselves.
    fn busy_hosts(&self, now: Time, pool: &PoolName) -> Vec<MovableHost<HostName>> {
        let in_pool = self.fleet.hosts.values().filter(|entry| entry.pool == *pool);
        let busy = in_pool.filter(|entry| {
            let known = self.executor_on(entry).filter(|known| known.is_registered && known.fenced);
            let only_short = known.is_some_and(|known| {
                !known.runs.is_empty() && known.runs.values().all(|held| !held.lasting)
            });
            only_short
                && !self.fleet.withdrawals.contains_key(&entry.host)
                && !self.is_order_paused(now, &entry.host)
        });
        busy.map(|entry| self.lendable(entry, Duration::ZERO)).collect()
    }

    fn lendable(&self, entry: &HostEntry, idle: Duration) -> MovableHost<HostName> {
        MovableHost {
            host: entry.host.clone(),
            idle,
            labels: entry.labels.clone(),
            scarce: self.fleet.is_scarce(&entry.labels),
        }
    }

    /// The capacity of the smallest host in a pool, or of the smallest host of all if it has none.
    fn typical_host(&self, in_pool: &[&HostEntry]) -> Size {
        let smallest = |sizes: Vec<Size>| sizes.into_iter().min_by_key(|size| size.cpu_milli);
        smallest(in_pool.iter().map(|entry| entry.capacity).collect())
            .or_else(|| smallest(self.fleet.hosts.values().map(|entry| entry.capacity).collect()))
            .unwrap_or_default()
    }
}

/// The number of these hosts that have each label.
fn count_labels(members: &[&HostEntry]) -> BTreeMap<Arc<str>, usize> {
    let mut counts = BTreeMap::new();
    for label in members.iter().flat_map(|entry| &entry.labels) {
        *counts.entry(label.clone()).or_default() += 1;
    }
    counts
}
