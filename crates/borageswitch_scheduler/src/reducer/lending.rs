//! Hosts change their pool as the load does; see [`lending`](crate::policy::lending).

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
    job::{Size, Submission},
    policy::lending::{self, ArrivalRate, PoolLoad},
    reducer::{
        Scheduler,
        hosts::Purpose,
        pass::{reserved, unblocked_steps},
    },
};

/// What is known of the load of pools, and which moves are impossible.
#[derive(Debug, Default)]
pub struct Lending {
    arrivals: BTreeMap<PoolName, ArrivalRate>,
    /// Kinds of hosts that cannot be in a pool.
    unfit: BTreeSet<(Arc<str>, PoolName)>,
}

impl Lending {
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
        let work: f64 = submission
            .spec
            .steps
            .iter()
            .map(|step| {
                let cores = step.size.cpu_milli as f64 / 1_000.0;
                let each = self.learned.expect(queue, step.estimate).as_secs_f64();
                f64::from(step.count) * cores * each
            })
            .sum();
        self.lending.arrivals.entry(pool.clone()).or_default().arrived(now.time, work);
    }

    /// Moves hosts to where the work is.
    pub(super) fn step_lending(&mut self, now: Now) {
        if self.fleet.listed.is_none_or(|listed| listed < self.began) {
            return;
        }
        let loads = self.pool_loads(now);
        let hosts = &self.fleet.hosts;
        let unfit = &self.lending.unfit;
        let may_move = |host: &HostName, pool: &PoolName| {
            let kind = hosts.get(host).and_then(|entry| entry.labels.first());
            kind.is_none_or(|kind| !unfit.contains(&(kind.clone(), pool.clone())))
        };
        for chosen in lending::decide(&loads, may_move) {
            self.detail(now, &chosen.host, Purpose::Move(chosen.to));
        }
    }

    fn pool_loads(&self, now: Now) -> Vec<PoolLoad<HostName>> {
        let Some(config) = &self.config else { return Vec::new() };
        let demands = self.demands();
        config
            .pools
            .values()
            .map(|pool| {
                let arrivals = self.lending.arrivals.get(&pool.name);
                let in_pool: Vec<&HostEntry> =
                    self.fleet.hosts.values().filter(|entry| entry.pool == pool.name).collect();
                PoolLoad {
                    pool: pool.name.clone(),
                    standby: pool.standby,
                    hosts: self.hosts_of(&pool.name, &in_pool),
                    idle: self.idle_hosts(now.time, pool.standby, &in_pool),
                    demand: demands.get(&pool.name).copied().unwrap_or_default(),
                    apart: self.hosts_apart(&pool.name),
                    arriving_cores: arrivals.map_or(0.0, |rate| rate.cores(now.time)),
                    host: self.typical_host(&in_pool),
                    has_short_work: arrivals.is_some(),
                }
            })
            .collect()
    }

    /// What runs and what waits, by pool.
    fn demands(&self) -> BTreeMap<PoolName, Size> {
        let mut demands: BTreeMap<PoolName, Size> = BTreeMap::new();
        for known in self.executors.values() {
            let demand = demands.entry(known.registration.pool.clone()).or_default();
            *demand += known.taken();
        }
        for (name, job) in &self.ledger.jobs {
            let Some(times) = self.times.get(name) else { continue };
            for (step, waiting) in unblocked_steps(job) {
                let size = reserved(step);
                let waiting = waiting as u64;
                let demand = demands.entry(times.pool.clone()).or_default();
                *demand += Size {
                    cpu_milli: size.cpu_milli * waiting,
                    memory_mb: size.memory_mb * waiting,
                    accelerators: size.accelerators * waiting,
                };
            }
        }
        demands
    }

    /// How many hosts a pool needs because tasks may not share one: so many that each step has
    /// enough, and one more where tasks that fill gaps are to be kept away from tasks that serve.
    fn hosts_apart(&self, pool: &PoolName) -> usize {
        let mut most = 0;
        let mut fills = false;
        let mut serves = false;
        for (name, job) in &self.ledger.jobs {
            if self.times.get(name).is_none_or(|times| times.pool != *pool) {
                continue;
            }
            for (step, _) in unblocked_steps(job) {
                let each = step.max_per_host.unwrap_or(u32::MAX);
                most = most.max(step.count.div_ceil(each) as usize);
                fills |= step.fills;
                serves |= step.target_tail.is_some() && !step.fills;
            }
        }
        most + usize::from(fills && serves)
    }

    /// Hosts that serve a pool, or are on their way to it.
    fn hosts_of(&self, pool: &PoolName, in_pool: &[&HostEntry]) -> usize {
        let serving = in_pool.iter().filter(|entry| {
            entry.state == HostState::Up && !self.fleet.details.contains_key(&entry.host)
        });
        let coming = self
            .fleet
            .details
            .values()
            .filter(|detail| detail.purpose == Purpose::Move(pool.clone()));
        serving.count() + coming.count()
    }

    /// Hosts with nothing to run, those idle longest first.
    fn idle_hosts(
        &self,
        now: Time,
        standby: bool,
        in_pool: &[&HostEntry],
    ) -> Vec<(HostName, Duration)> {
        let free = in_pool.iter().filter(|entry| {
            entry.state == HostState::Up && !self.fleet.details.contains_key(&entry.host)
        });
        let mut idle: Vec<(HostName, Duration)> = free
            .filter_map(|entry| {
                if standby {
                    return Some((entry.host.clone(), Duration::ZERO));
                }
                let known = self.executors.get(entry.executor.as_ref()?)?;
                let unused = known.present && known.fenced && known.runs.is_empty();
                unused.then(|| (entry.host.clone(), now.since(known.idle_since)))
            })
            .collect();
        idle.sort_by_key(|(_, idle)| std::cmp::Reverse(*idle));
        idle
    }

    /// What a host of a pool has: that of its smallest one, or of the smallest of all.
    fn typical_host(&self, in_pool: &[&HostEntry]) -> Size {
        let smallest = |sizes: Vec<Size>| sizes.into_iter().min_by_key(|size| size.cpu_milli);
        smallest(in_pool.iter().map(|entry| entry.capacity).collect())
            .or_else(|| smallest(self.fleet.hosts.values().map(|entry| entry.capacity).collect()))
            .unwrap_or_default()
    }
}
