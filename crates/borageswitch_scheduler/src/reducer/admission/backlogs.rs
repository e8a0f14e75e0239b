//! Computes the work of the pools in which work waits, and what they complete.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use borageswitch_types::names::PoolName;

use crate::{
    event::Now,
    fleet::{HostEntry, HostState},
    job::{Size, Step},
    ledger::job::{Job, Occurrence},
    policy::{
        admission::MAX_CALLERS_BEYOND,
        backlog::Drain,
        order::{Class, Urgency},
    },
    reducer::{
        Scheduler,
        admission::PoolBacklog,
        executors::{Executor, HeldRun, Phase},
        hosts::Purpose,
        places::reserved_size,
        quotas::QuotaAllocation,
    },
    task::TaskKey,
};

/// The part of a pool's cores and memory that is free at most while tasks wait for capacity. Where
/// more is free, they wait for something else, such as hosts with a label.
const LARGEST_FREE_PART: f64 = 0.25;

/// What only some hosts of a pool have: a label, or accelerators.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Requirement {
    label: Option<Arc<str>>,
    accelerators: bool,
}

impl Requirement {
    fn of(step: &Step) -> Option<Requirement> {
        let accelerators = step.size.accelerators > 0;
        let required = step.label.is_some() || accelerators;
        required.then(|| Requirement { label: step.label.clone(), accelerators })
    }

    fn is_met_by(&self, known: &Executor) -> bool {
        self.label.as_ref().is_none_or(|label| known.registration.has_label(label))
            && (!self.accelerators || known.registration.capacity.accelerators > 0)
    }
}

/// Work that has not started, in core-seconds.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitingWork {
    cores: f64,
    pub(super) core_seconds: f64,
    memory_seconds: f64,
    /// The part of it that only some hosts can run.
    required: BTreeMap<Requirement, f64>,
}

impl WaitingWork {
    pub(super) fn add(&mut self, step: &Step, tasks: u64, takes: Duration) {
        let size = reserved_size(step).times(tasks);
        let work = in_cores(size.cpu_milli) * takes.as_secs_f64();
        self.cores += in_cores(size.cpu_milli);
        self.core_seconds += work;
        self.memory_seconds += size.memory_mb as f64 * takes.as_secs_f64();
        if let Some(required) = Requirement::of(step) {
            *self.required.entry(required).or_default() += work;
        }
    }
}

/// The work of a pool while it is being added up.
#[derive(Debug, Default)]
struct Sums {
    backlog: PoolBacklog,
    memory_seconds: f64,
    /// The cores of lasting tasks that wait.
    lasting: f64,
    /// The work that only some hosts can run: what can be on time, is beyond a share, and is late.
    required: BTreeMap<Requirement, [f64; 3]>,
}

impl Sums {
    fn add(&mut self, class: Class, work: &WaitingWork) {
        let totals = &mut self.backlog.work;
        let (total, position) = match class {
            Class::Lasting => {
                self.lasting += work.cores;
                return;
            }
            Class::OnTime => (&mut totals.on_time, 0),
            Class::Beyond => (&mut totals.beyond, 1),
            Class::LastChance | Class::Late | Class::LateBeyond | Class::Unweighted => {
                (&mut totals.late, 2)
            }
            // It runs only where there is spare capacity.
            Class::Overdue => return,
        };
        *total += work.core_seconds;
        self.memory_seconds += work.memory_seconds;
        for (requirement, part) in &work.required {
            self.required.entry(requirement.clone()).or_default()[position] += part;
        }
    }
}

impl Scheduler {
    /// The backlogs of the pools in which work waits for capacity.
    pub(super) fn backlogs(&self, now: Now) -> BTreeMap<PoolName, PoolBacklog> {
        let mut sums: BTreeMap<&PoolName, Sums> = BTreeMap::new();
        // Where jobs are refused the pool may run out of work for a moment. If the limits ended with
        // it, all daemons would admit everything until the next limits.
        let refusing = self.admission.refused.iter();
        let refusing = refusing.filter(|(_, rate)| rate.expected_cores(now.time) >= 1.0);
        let full = self.waiting.pools().filter(|pool| self.is_full(pool));
        let pools: BTreeSet<&PoolName> = full.chain(refusing.map(|(pool, _)| pool)).collect();
        for pool in pools {
            let mut callers = self.callers_beyond(pool);
            callers.truncate(MAX_CALLERS_BEYOND);
            let mut own = Sums::default();
            own.backlog.beyond = callers.into_iter().collect();
            own.backlog.work.arriving = self.arriving_cores(now, pool);
            let refused = self.admission.refused.get(pool);
            own.backlog.work.sustained = self.sustained_cores(now, pool)
                + refused.map_or(0.0, |rate| rate.sustained_cores(now.time));
            self.add_running(now, pool, &mut own);
            sums.insert(pool, own);
        }
        if sums.is_empty() {
            return BTreeMap::new();
        }
        let mut allocation = self.quota_allocation();
        for (name, job) in &self.ledger.jobs {
            let Some(job_state) = self.job_states.get(name) else { continue };
            let Some(own) = sums.get_mut(&job_state.pool) else { continue };
            for (&occurrence, open) in &job.progress.open {
                let work = self.waiting_work(job, open, &job_state.pool, &mut allocation);
                if work.core_seconds <= 0.0 {
                    continue;
                }
                let view = self.view_of(job, job_state, occurrence);
                let class = Urgency::of(&view, now.time).class();
                own.add(class, &work);
                if class == Class::Lasting {
                    continue;
                }
                let objective = view.deadline - view.accepted;
                let queue = job.submission.queue.name.clone();
                let (slack, jobs) = own.backlog.slack.entry(queue).or_default();
                *slack += objective.saturating_sub(view.remaining);
                *jobs += 1;
            }
        }
        let complete =
            sums.into_iter().map(|(pool, own)| (pool.clone(), self.complete_backlog(pool, own)));
        // Where nothing is known to run the work, how long it waits is not known either.
        complete.filter(|(_, backlog)| !backlog.work.drain.is_zero()).collect()
    }

    /// Completes the backlog of a pool once all work is added up.
    fn complete_backlog(&self, pool: &PoolName, sums: Sums) -> PoolBacklog {
        let Sums { mut backlog, memory_seconds, lasting, required } = sums;
        let total = self.registered_capacity(pool, |_| true);
        let work = &mut backlog.work;
        let all = work.running + work.on_time + work.beyond + work.late;
        // Work that only some hosts can run is ahead of other work only as far as these hosts take
        // part in running it.
        for (requirement, parts) in required {
            let hosts = self.registered_capacity(pool, |known| requirement.is_met_by(known));
            let share = hosts.cpu_milli as f64 / total.cpu_milli.max(1) as f64;
            let own: f64 = parts.iter().sum();
            let excess = (1.0 - all * share / own.max(f64::MIN_POSITIVE)).max(0.0);
            work.on_time -= parts[0] * excess;
            work.beyond -= parts[1] * excess;
            work.late -= parts[2] * excess;
        }
        // Where memory is short, only a part of the cores can be in use.
        let cores_per_mb = in_cores(total.cpu_milli) / total.memory_mb.max(1) as f64;
        let usable = (all / (memory_seconds * cores_per_mb).max(f64::MIN_POSITIVE)).min(1.0);
        work.drain = self.drain_of(pool, lasting, usable);
        backlog
    }

    /// Whether hardly any capacity of a pool is free.
    fn is_full(&self, pool: &PoolName) -> bool {
        let total = self.registered_capacity(pool, |_| true);
        let mut free = Size::default();
        self.free_capacity.of(pool).for_each(|(_, size)| free += *size);
        let part = |free: u64, total: u64| free as f64 / total.max(1) as f64;
        part(free.cpu_milli, total.cpu_milli) <= LARGEST_FREE_PART
            || part(free.memory_mb, total.memory_mb) <= LARGEST_FREE_PART
    }

    /// The capacity of the registered executors of a pool that stay in it, without lasting runs.
    fn registered_capacity<F>(&self, pool: &PoolName, filter: F) -> Size
    where
        F: Fn(&Executor) -> bool,
    {
        let mut total = Size::default();
        for (_, known) in self.executors.of_pool(pool) {
            let stays = known.is_registered && !known.registration.draining && !known.host_draining;
            if stays && filter(known) {
                let mut left = known.registration.capacity;
                let lasting = known.runs.values().filter(|held| held.lasting);
                lasting.for_each(|held| left = left.less(&held.size));
                total += left;
            }
        }
        total
    }

    /// What a pool completes, with `lasting` cores of lasting tasks that wait. Only the `usable`
    /// part of the cores can be in use.
    pub(in crate::reducer) fn drain_of(&self, pool: &PoolName, lasting: f64, usable: f64) -> Drain {
        let cores = in_cores(self.registered_capacity(pool, |_| true).cpu_milli);
        let contained = in_cores(self.contained_capacity(pool).cpu_milli);
        let coming = self.coming_cores(pool);
        let own = (cores - contained - lasting) * usable;
        Drain::new(own, coming * usable, self.limits.host_move)
    }

    /// The cores of the hosts that are on their way to a pool.
    fn coming_cores(&self, pool: &PoolName) -> f64 {
        let to_pool = Purpose::Move(pool.clone());
        let comes = |entry: &&HostEntry| match self.fleet.withdrawals.get(&entry.host) {
            Some(withdrawal) => withdrawal.purpose == to_pool,
            None => entry.pool == *pool && entry.state == HostState::Moving,
        };
        let coming = self.fleet.hosts.values().filter(comes);
        coming.map(|entry| in_cores(entry.capacity.cpu_milli)).sum()
    }

    /// Adds what is left of the running tasks of a pool.
    fn add_running(&self, now: Now, pool: &PoolName, sums: &mut Sums) {
        for (task, held) in self.executors.of_pool(pool).flat_map(|(_, known)| &known.runs) {
            let left = self.time_left(now, task, held).as_secs_f64();
            sums.backlog.work.running += in_cores(held.size.cpu_milli) * left;
            sums.memory_seconds += held.size.memory_mb as f64 * left;
        }
    }

    /// How long a run that ends by itself is expected to take from now on.
    fn time_left(&self, now: Now, task: &TaskKey, held: &HeldRun) -> Duration {
        let job = self.ledger.jobs.get(&task.job).filter(|_| !held.lasting);
        let Some((job, step)) = job.and_then(|job| Some((job, job.step(task.step)?))) else {
            return Duration::ZERO;
        };
        let queue = &job.submission.queue.name;
        let takes = self.runtime_estimates.bounded_estimate(queue, step.estimate);
        match held.phase {
            Phase::Active => takes.saturating_sub(now.time.since(held.started)),
            Phase::Recorded | Phase::Sent | Phase::Inherited | Phase::Unsure => takes,
            Phase::Stopping | Phase::Ended => Duration::ZERO,
        }
    }

    /// The work of an occurrence that has not started, as far as its caller's quota permits.
    fn waiting_work<'a>(
        &self,
        job: &'a Job,
        open: &Occurrence,
        pool: &'a PoolName,
        allocation: &mut QuotaAllocation<'a>,
    ) -> WaitingWork {
        let queue = &job.submission.queue.name;
        let mut work = WaitingWork::default();
        for (step, state) in job.submission.spec.steps.iter().zip(&open.steps) {
            let waiting = state.tasks.iter().filter(|task| task.is_waiting()).count() as u64;
            if waiting == 0 || !self.is_feasible(pool, step) {
                continue;
            }
            let tasks = if job.is_unblocked(open, step) {
                allocation.take(job, step, pool, waiting)
            } else {
                waiting
            };
            work.add(step, tasks, self.runtime_estimates.bounded_estimate(queue, step.estimate));
        }
        work
    }
}

fn in_cores(cpu_milli: u64) -> f64 {
    cpu_milli as f64 / 1_000.0
}
