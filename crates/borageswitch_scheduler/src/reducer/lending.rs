//! Hosts change their pool as the load does; the decision is in [`crate::policy::lending`].

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
        lending::{self, IdleHost, LabelNeed, Need, PoolLoad},
        peaks::{self, Peak},
    },
    reducer::{
        Scheduler, executors::Executor, hosts::Purpose, places::reserved_size,
        waiting::unblocked_steps,
    },
};

/// What is known of the load of pools, and which moves are impossible.
#[derive(Debug, Default)]
pub struct Lending {
    arrivals: BTreeMap<PoolName, ArrivalRate>,
    /// What pools have needed of late.
    peaks: BTreeMap<PoolName, Peak>,
    /// When the first short work came.
    first_work: Option<Time>,
    /// The calls about hosts that may leave.
    budget: Option<CallBudget>,
    /// Kinds of hosts that cannot be in a pool.
    unfit: BTreeSet<(Arc<str>, PoolName)>,
}

/// What the tasks of a pool ask for.
#[derive(Debug, Default)]
struct PoolNeeds {
    whole: Need,
    labelled: BTreeMap<Arc<str>, Need>,
    data_racks: BTreeSet<Arc<str>>,
    fills: bool,
    serves: bool,
}

impl PoolNeeds {
    fn add(&mut self, step: &Step, waiting: u64) {
        let size = reserved_size(step);
        let waits = size.times(waiting);
        let apart = step.max_per_host.map_or(0, |most| step.count.div_ceil(most) as usize);
        let need = match &step.label {
            // Hosts without the label are of no use to what waits for it; what runs counts as any
            // other.
            Some(label) => {
                let need = self.labelled.entry(label.clone()).or_default();
                need.apart = need.apart.max(1);
                need
            }
            None => &mut self.whole,
        };
        need.demand += waits;
        need.apart = need.apart.max(apart);
        if let Some(rack) = step.data_rack.as_ref().filter(|_| waiting > 0) {
            self.data_racks.insert(Arc::from(rack.as_str()));
        }
        self.fills |= step.fills;
        self.serves |= step.target_tail.is_some() && !step.fills;
    }
}

impl Lending {
    /// The most hosts that any pool has needed of late.
    fn largest_peak(&self) -> usize {
        self.peaks.values().map(Peak::hosts).max().unwrap_or(0)
    }

    /// The platform refused to have a host of this kind in a pool.
    pub(super) fn note_unfit(&mut self, entry: &HostEntry, pool: &PoolName) {
        if let Some(kind) = entry.labels.first() {
            self.unfit.insert((kind.clone(), pool.clone()));
        }
    }
}

impl Scheduler {
    /// A job has arrived: its work counts for the rate of its pool.
    pub(super) fn note_arrival(&mut self, now: Now, pool: &PoolName, submission: &Submission) {
        if submission.spec.is_lasting() || submission.spec.schedule.is_some() {
            return;
        }
        let queue = &submission.queue.name;
        let (mut work, mut takes) = (0.0, Duration::ZERO);
        for step in &submission.spec.steps {
            let cores = step.size.cpu_milli as f64 / 1_000.0;
            let each = self.learned.expect(queue, step.estimate);
            work += f64::from(step.count) * cores * each.as_secs_f64();
            takes += each;
        }
        let spread = takes.min(peaks::horizon(self.all_moved(), self.limits.host_move));
        self.lending.arrivals.entry(pool.clone()).or_default().arrived(now.time, work, spread);
        self.lending.first_work.get_or_insert(now.time);
    }

    /// Whether an order for a host may leave now; if so, its call is taken out of the budget.
    pub(super) fn may_call_hosts(&mut self, now: Time) -> bool {
        self.call_budget(now).take(now)
    }

    fn call_budget(&mut self, now: Time) -> &mut CallBudget {
        let calls = self.limits.host_calls_per_s;
        self.lending.budget.get_or_insert_with(|| CallBudget::new(calls, now))
    }

    /// How long the platform would take to move every host once.
    fn all_moved(&self) -> Duration {
        let hosts = self.fleet.hosts.len() as f64;
        Duration::from_secs_f64(hosts / self.limits.host_calls_per_s)
    }

    /// Notes what pools need, and says how many of their hosts stay on.
    fn keep_on(&mut self, now: Now, loads: &mut [PoolLoad<HostName>]) {
        let all_moved = self.all_moved();
        let horizon = peaks::horizon(all_moved, self.limits.host_move);
        for load in loads.iter().filter(|load| !load.standby) {
            let peak = self.lending.peaks.entry(load.pool.clone()).or_default();
            peak.note(now.time, load.need.hosts(&load.host), horizon);
        }
        let largest = self.lending.largest_peak();
        let begun = self.lending.first_work;
        let unseen = begun.is_none_or(|first| now.time.since(first) < horizon);
        let led = now.time.since(self.took_over_at);
        for load in loads {
            let peak = self.lending.peaks.get(&load.pool).map_or(0, Peak::hosts);
            let rate = self.lending.arrivals.get(&load.pool);
            let is_learning = arrivals::is_learning(led, rate, now.time);
            load.kept_on = if is_learning {
                peaks::kept_while_learning(all_moved, begun.is_some().then_some(largest))
            } else if unseen {
                largest
            } else {
                peak
            };
        }
    }

    /// Moves hosts to where the work is.
    pub(super) fn step_lending(&mut self, now: Now) {
        if self.fleet.listed.is_none_or(|listed| listed < self.took_over_at) {
            return;
        }
        let mut loads = self.pool_loads(now);
        self.keep_on(now, &mut loads);
        let spare_calls = self.call_budget(now.time).spare(now.time);
        // Busy hosts are lent only for a label that is short.
        if loads.iter().any(PoolLoad::lacks_label) {
            for load in &mut loads {
                load.busy = self.busy_hosts(now.time, &load.pool);
            }
        }
        let hosts = &self.fleet.hosts;
        let unfit = &self.lending.unfit;
        let may_move = |host: &HostName, pool: &PoolName| {
            let kind = hosts.get(host).and_then(|entry| entry.labels.first());
            kind.is_none_or(|kind| !unfit.contains(&(kind.clone(), pool.clone())))
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
                    let waiting = need.demand.cpu_milli;
                    for entry in members.iter().filter(|entry| entry.labels.contains(&label)) {
                        hosts += 1;
                        // Full hosts are of no help to what waits for the label.
                        need.demand +=
                            self.executor_on(entry).map_or(Size::default(), Executor::taken);
                    }
                    LabelNeed { label, need, waiting, hosts }
                });
                PoolLoad {
                    pool: pool.name.clone(),
                    standby: pool.standby,
                    hosts: members.len(),
                    idle: self.idle_hosts(now.time, pool.standby, &in_pool),
                    busy: Vec::new(),
                    need: needs.whole,
                    labelled: labelled.collect(),
                    lasting: self.extra_hosts_for_lasting(&pool.name, &members, &host),
                    gang: self.extra_hosts_for_gang(&pool.name, &members, &host),
                    label_hosts: count_labels(&members),
                    data_racks: needs.data_racks,
                    arriving_cores: rate.map_or(0.0, |rate| rate.cores(now.time)),
                    host,
                    has_short_work: rate.is_some(),
                    kept_on: 0,
                }
            })
            .collect()
    }

    /// What runs and what waits, by pool.
    fn needs(&self) -> BTreeMap<PoolName, PoolNeeds> {
        let mut needs: BTreeMap<PoolName, PoolNeeds> = BTreeMap::new();
        for known in self.executors.values() {
            needs.entry(known.registration.pool.clone()).or_default().whole.demand += known.taken();
        }
        // Hosts that are fetched for tasks whose callers are at their quota would stand idle.
        let mut dealing = self.quota_allocation();
        for (name, job) in &self.ledger.jobs {
            let Some(times) = self.times.get(name) else { continue };
            let pool = needs.entry(times.pool.clone()).or_default();
            for (step, waiting) in unblocked_steps(job) {
                pool.add(step, dealing.take(job, step, &times.pool, waiting as u64));
            }
        }
        for pool in needs.values_mut() {
            // One host more keeps tasks that fill gaps away from tasks that serve.
            pool.whole.apart += usize::from(pool.fills && pool.serves);
        }
        needs
    }

    /// Hosts that serve a pool, or are on their way to it.
    fn members_of<'a>(&'a self, pool: &PoolName, in_pool: &[&'a HostEntry]) -> Vec<&'a HostEntry> {
        let serving = in_pool.iter().copied().filter(|entry| {
            entry.state == HostState::Up && !self.fleet.withdrawals.contains_key(&entry.host)
        });
        let to_pool = Purpose::Move(pool.clone());
        let coming =
            self.fleet.withdrawals.iter().filter(|(_, withdrawal)| withdrawal.purpose == to_pool);
        serving.chain(coming.filter_map(|(host, _)| self.fleet.hosts.get(host))).collect()
    }

    /// What is known of a host's executor.
    pub(super) fn executor_on(&self, entry: &HostEntry) -> Option<&Executor> {
        self.executors.get(entry.executor.as_ref()?)
    }

    /// Hosts with nothing to run.
    fn idle_hosts(
        &self,
        now: Time,
        standby: bool,
        in_pool: &[&HostEntry],
    ) -> Vec<IdleHost<HostName>> {
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
                if !known.present || !known.fenced || !known.runs.is_empty() {
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

    /// Hosts that run nothing but tasks that end.
    fn busy_hosts(&self, now: Time, pool: &PoolName) -> Vec<IdleHost<HostName>> {
        let in_pool = self.fleet.hosts.values().filter(|entry| entry.pool == *pool);
        let busy = in_pool.filter(|entry| {
            let known = self.executor_on(entry).filter(|known| known.present && known.fenced);
            let only_short = known.is_some_and(|known| {
                !known.runs.is_empty() && known.runs.values().all(|held| !held.lasting)
            });
            only_short
                && !self.fleet.withdrawals.contains_key(&entry.host)
                && !self.is_order_paused(now, &entry.host)
        });
        busy.map(|entry| self.lendable(entry, Duration::ZERO)).collect()
    }

    fn lendable(&self, entry: &HostEntry, idle: Duration) -> IdleHost<HostName> {
        IdleHost {
            host: entry.host.clone(),
            idle,
            labels: entry.labels.clone(),
            scarce: self.fleet.is_scarce(&entry.labels),
        }
    }

    /// What a host of a pool has: that of its smallest one, or of the smallest of all.
    fn typical_host(&self, in_pool: &[&HostEntry]) -> Size {
        let smallest = |sizes: Vec<Size>| sizes.into_iter().min_by_key(|size| size.cpu_milli);
        smallest(in_pool.iter().map(|entry| entry.capacity).collect())
            .or_else(|| smallest(self.fleet.hosts.values().map(|entry| entry.capacity).collect()))
            .unwrap_or_default()
    }
}

/// How many of these hosts have each label.
fn count_labels(members: &[&HostEntry]) -> BTreeMap<Arc<str>, usize> {
    let mut counts = BTreeMap::new();
    for label in members.iter().flat_map(|entry| &entry.labels) {
        *counts.entry(label.clone()).or_default() += 1;
    }
    counts
}
