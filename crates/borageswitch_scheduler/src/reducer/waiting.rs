//! The steps with waiting tasks, by pool and urgency.
//!
//! At a load peak thousands of tasks wait while hundreds end each second. Sorting them anew for
//! each decision would cost more the longer the backlog is, and a leader that has fallen behind
//! would fall further behind until nothing starts any more. A job is therefore sorted in again only
//! when it has changed, and all others in rotation, as their urgency changes with time.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Bound,
    time::Duration,
};

use borageswitch_types::{
    Time,
    names::{JobName, PoolName},
};

use crate::{
    event::Now,
    job::{Size, Step},
    ledger::job::{Job, StepState},
    policy::{
        last_chance,
        order::{Class, JobView, Urgency},
        quotas::Charge,
    },
    reducer::{
        Scheduler,
        on_time_set::OnTimeSet,
        places::reserved_size,
        shares::{ByShare, Shares},
    },
    task::{StepKey, TaskKey},
};

/// The number of sweeps in which all waiting jobs are refreshed once: a quarter of a second, which
/// is less than the uncertainty of a job's run time.
const SWEEPS_PER_REFRESH: usize = 5;
/// The minimum number of jobs refreshed per sweep.
const MIN_REFRESHED_PER_SWEEP: usize = 50;

/// The waiting tasks of a step.
#[derive(Clone, Debug)]
pub(super) struct WaitingStep {
    pub(super) urgency: Urgency,
    pub(super) key: StepKey,
    /// The indices of the waiting tasks.
    pub(super) waiting: Vec<u32>,
    /// The capacity that each task takes.
    pub(super) size: Size,
    /// The caller, and what each task uses of its quota.
    pub(super) charge: Option<Charge>,
    /// The tasks work only together.
    pub(super) gang: bool,
    /// Hosts exist that can run the tasks.
    pub(super) feasible: bool,
    /// The step must run now to be of use, although it will be late.
    pub(super) due: bool,
    /// The urgency by the caller's share, if it has one.
    pub(super) by_share: Option<ByShare>,
    /// The tasks are beyond the share of their caller, where shares are in force.
    pub(super) beyond: bool,
    /// Whether its occurrence can be on time if it runs now.
    pub(super) can_be_on_time: bool,
    /// The time from the acceptance of its occurrence to the deadline.
    pub(super) objective: Duration,
    /// The deadline of its occurrence.
    pub(super) deadline: Time,
    /// The time until which its occurrence is of use.
    pub(super) useful_until: Time,
    /// The longest chain of work that is left of its occurrence.
    pub(super) remaining: Duration,
    /// The work of each waiting task.
    pub(super) task_core_seconds: f64,
}

/// The waiting steps of a pool, most urgent first. A step of which only some tasks are within its
/// caller's share is listed twice.
pub(super) type WaitingOrder = BTreeMap<(Urgency, StepKey), WaitingStep>;

#[derive(Debug)]
struct ListedJob {
    pool: PoolName,
    steps: Vec<(Urgency, StepKey)>,
}

/// The waiting steps of all pools.
#[derive(Debug, Default)]
pub struct Waiting {
    orders: BTreeMap<PoolName, WaitingOrder>,
    listed: BTreeMap<JobName, ListedJob>,
    /// Jobs that have changed.
    stale: BTreeSet<JobName>,
    /// The last job refreshed in rotation.
    last_refreshed: Option<JobName>,
    pub(super) on_time_set: OnTimeSet,
}

impl Waiting {
    /// Marks a job as changed.
    pub(super) fn mark_stale(&mut self, job: &JobName) {
        if !self.stale.contains(job) {
            self.stale.insert(job.clone());
        }
    }

    /// The steps of a pool, if any wait.
    pub(super) fn order(&self, pool: &PoolName) -> Option<&WaitingOrder> {
        self.orders.get(pool).filter(|order| !order.is_empty())
    }

    /// Takes the steps of a pool; [`Self::put_back`] returns them.
    pub(super) fn take(&mut self, pool: &PoolName) -> WaitingOrder {
        self.orders.get_mut(pool).map(std::mem::take).unwrap_or_default()
    }

    pub(super) fn put_back(&mut self, pool: &PoolName, order: WaitingOrder) {
        if !order.is_empty() {
            self.orders.insert(pool.clone(), order);
        }
    }

    /// The pools in which steps wait.
    pub(super) fn pools(&self) -> impl Iterator<Item = &PoolName> {
        self.orders.iter().filter(|(_, order)| !order.is_empty()).map(|(pool, _)| pool)
    }

    /// The waiting steps of a pool.
    pub(super) fn of_pool(&self, pool: &PoolName) -> impl Iterator<Item = &WaitingStep> {
        self.orders.get(pool).into_iter().flat_map(BTreeMap::values)
    }

    /// The next jobs to refresh in rotation.
    fn next_to_refresh(&mut self) -> Vec<JobName> {
        let count = (self.listed.len() / SWEEPS_PER_REFRESH).max(MIN_REFRESHED_PER_SWEEP);
        let from = self.last_refreshed.take().map_or(Bound::Unbounded, Bound::Excluded);
        let jobs = self.listed.range((from, Bound::Unbounded)).take(count);
        let jobs: Vec<JobName> = jobs.map(|(job, _)| job.clone()).collect();
        self.last_refreshed = jobs.last().filter(|_| jobs.len() == count).cloned();
        jobs
    }

    fn remove_job(&mut self, job: &JobName) {
        let Some(listed) = self.listed.remove(job) else { return };
        let Some(order) = self.orders.get_mut(&listed.pool) else { return };
        for step in &listed.steps {
            order.remove(step);
        }
    }

    /// Sorts a job in again after the shares of callers have changed.
    pub(super) fn reclassify(&mut self, job: &JobName, shares: &mut Shares) {
        let Some(listed) = self.listed.remove(job) else { return };
        let Some(order) = self.orders.get_mut(&listed.pool) else { return };
        let mut steps: Vec<WaitingStep> = Vec::new();
        for part in listed.steps.iter().filter_map(|step| order.remove(step)) {
            match steps.iter_mut().find(|step| step.key == part.key) {
                Some(step) => step.waiting.extend(part.waiting),
                None => steps.push(part),
            }
        }
        steps.iter_mut().for_each(|step| step.waiting.sort_unstable());
        let steps = shares.classify(&listed.pool, steps);
        self.insert_job(job, listed.pool, steps);
    }

    fn insert_job(&mut self, job: &JobName, pool: PoolName, steps: Vec<WaitingStep>) {
        if steps.is_empty() {
            return;
        }
        let keys = steps.iter().map(|step| (step.urgency, step.key.clone())).collect();
        let order = self.orders.entry(pool.clone()).or_default();
        order.extend(steps.into_iter().map(|step| ((step.urgency, step.key.clone()), step)));
        self.listed.insert(job.clone(), ListedJob { pool, steps: keys });
    }
}

impl Scheduler {
    /// Updates the order of waiting steps.
    pub(super) fn update_waiting(&mut self, now: Now, sweep: bool) {
        if sweep {
            self.update_on_time_sets(now);
            let to_refresh = self.waiting.next_to_refresh();
            self.waiting.stale.extend(to_refresh);
        }
        for job in std::mem::take(&mut self.waiting.stale) {
            self.waiting.remove_job(&job);
            let known = self.ledger.jobs.get(&job).zip(self.pool_of(&job).cloned());
            if let Some((known, pool)) = known {
                let steps = self.waiting_steps(now, &job, known);
                let steps = self.shares.classify(&pool, steps);
                self.waiting.insert_job(&job, pool, steps);
            }
        }
    }

    fn waiting_steps(&self, now: Now, name: &JobName, job: &Job) -> Vec<WaitingStep> {
        let Some(times) = self.job_states.get(name) else { return Vec::new() };
        let mut steps = Vec::new();
        for &occurrence in job.progress.open.keys() {
            let waiting = waiting_by_step(name, job, occurrence);
            if waiting.is_empty() {
                continue;
            }
            let view = self.view_of(job, times, occurrence);
            let mut urgency = Urgency::of(&view, now.time);
            let can_be_on_time = urgency.class() == Class::OnTime;
            if can_be_on_time && self.waiting.on_time_set.is_surplus(name, occurrence) {
                urgency = urgency.as_surplus(&view);
            }
            let by_share = self.by_share(now, job, &view);
            let due = last_chance::is_due(&view, now.time);
            steps.extend(waiting.into_iter().map(|(key, waiting)| {
                let step = job.step(key.step);
                let size = step.map(reserved_size).unwrap_or_default();
                let gang = step.is_some_and(|step| step.gang);
                let feasible = step.is_some_and(|step| self.is_feasible(&times.pool, step));
                let charge = step.and_then(|step| charge_of(job, step));
                let queue = &job.submission.queue.name;
                let estimates = &self.runtime_estimates;
                let each = step.map(|step| estimates.bounded_estimate(queue, step.estimate));
                let cores = size.cpu_milli as f64 / 1_000.0;
                WaitingStep {
                    urgency,
                    key,
                    waiting,
                    size,
                    charge,
                    gang,
                    feasible,
                    due,
                    by_share,
                    beyond: false,
                    can_be_on_time,
                    objective: view.deadline - view.accepted,
                    deadline: view.deadline,
                    useful_until: view.useful_until,
                    remaining: view.remaining,
                    task_core_seconds: cores * each.unwrap_or_default().as_secs_f64(),
                }
            }));
        }
        steps
    }

    /// The urgency of a job's steps by its caller's share; `None` if the caller is not declared.
    fn by_share(&self, now: Now, job: &Job, view: &JobView) -> Option<ByShare> {
        let caller = job.submission.caller.as_ref()?;
        let weight = self.config.as_ref()?.callers.get(caller)?.weight;
        let within = JobView { beyond_share: false, ..*view };
        let beyond = Urgency::of(&JobView { beyond_share: true, ..*view }, now.time);
        let is_weighted = weight > 0.0;
        Some(ByShare {
            weight,
            within: Urgency::of(&within, now.time),
            beyond: if is_weighted { beyond.as_late_beyond() } else { beyond.as_unweighted() },
            due: is_weighted && last_chance::is_due(&within, now.time),
        })
    }
}

/// What each task of a step uses of its caller's quota.
pub(super) fn charge_of(job: &Job, step: &Step) -> Option<Charge> {
    let caller = job.submission.caller.clone()?;
    Some(Charge { caller, size: step.size })
}

/// The steps of a job that can run, with the number of their waiting tasks.
pub(super) fn unblocked_steps(job: &Job) -> Vec<(&Step, usize)> {
    let steps = &job.submission.spec.steps;
    let mut found = Vec::new();
    for open in job.progress.open.values() {
        for (step, state) in steps.iter().zip(&open.steps) {
            if !state.is_done() && job.is_unblocked(open, step) {
                let waiting = state.tasks.iter().filter(|task| task.is_waiting()).count();
                found.push((step, waiting));
            }
        }
    }
    found
}

fn waiting_by_step(name: &JobName, job: &Job, occurrence: u32) -> Vec<(StepKey, Vec<u32>)> {
    let Some(open) = job.progress.open.get(&occurrence) else { return Vec::new() };
    let mut waiting = Vec::new();
    for (number, (step, state)) in job.submission.spec.steps.iter().zip(&open.steps).enumerate() {
        if state.is_done() || !job.is_unblocked(open, step) {
            continue;
        }
        let tasks = waiting_indices(state);
        if !tasks.is_empty() {
            let key = StepKey { job: name.clone(), occurrence, step: number as u16 };
            waiting.push((key, tasks));
        }
    }
    waiting
}

/// The waiting tasks of a job whose steps can run.
pub(super) fn waiting_tasks_of(name: &JobName, job: &Job) -> Vec<TaskKey> {
    let steps = job.progress.open.keys().flat_map(|&open| waiting_by_step(name, job, open));
    steps.flat_map(|(key, tasks)| tasks.into_iter().map(move |index| key.task(index))).collect()
}

fn waiting_indices(state: &StepState) -> Vec<u32> {
    let waiting = state.tasks.iter().enumerate().filter(|(_, task)| task.is_waiting());
    waiting.map(|(index, _)| index as u32).collect()
}
