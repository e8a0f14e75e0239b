//! Computes the admission limits that the leader publishes, by [`crate::policy::admission`].
//!
//! Nothing here is stored. A new leader computes the limits from its own backlog and the runs that
//! it inherits; the reservations of refused jobs are lost with the leader.

mod backlogs;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use borageswitch_types::{
    Time,
    names::{CallerName, JobName, PoolName, QueueName},
};

use crate::{
    config::Queue,
    event::Now,
    job::Submission,
    policy::{
        admission::{
            self, AdmissionLimits, AdmissionQuery, Decision, LIMITS_VALID, NOTICEABLE_WAIT,
            QueueLimit,
        },
        arrivals::ArrivalRate,
        backlog::{Backlog, LONGEST_WAIT},
        virtual_queue::VirtualQueue,
    },
    reducer::{Scheduler, admission::backlogs::WaitingWork},
};

/// How often the backlog is computed while work waits.
const INTERVAL: Duration = Duration::from_millis(100);

/// The backlog of pools in which work waits, and the jobs that were refused.
#[derive(Debug, Default)]
pub struct Admission {
    /// When the backlog was computed.
    computed: Option<Time>,
    backlogs: BTreeMap<PoolName, PoolBacklog>,
    virtual_queues: BTreeMap<PoolName, VirtualQueue>,
    published: Option<Arc<AdmissionLimits>>,
    /// The backlog and the fencing token from which the published limits were computed.
    published_for: Option<(Option<Time>, u64)>,
    /// The work of new jobs that were refused, which the arrival rates of pools do not include.
    refused: BTreeMap<PoolName, ArrivalRate>,
    sequence: u64,
}

/// The work of a pool, and what the limits of its queues depend on.
#[derive(Debug, Default)]
struct PoolBacklog {
    work: Backlog,
    /// The sum of how long the unfinished jobs of each queue could wait in all, and their number.
    slack: BTreeMap<QueueName, (Duration, u32)>,
    /// The callers beyond their share, at most [`admission::MAX_CALLERS_BEYOND`].
    beyond: BTreeSet<CallerName>,
    /// The jobs that were admitted since the work was computed, and are counted.
    admitted: BTreeSet<JobName>,
}

impl PoolBacklog {
    /// How long the jobs of a queue can wait on average and still be on time.
    fn slack(&self, queue: &Queue) -> Duration {
        let known = self.slack.get(&queue.name);
        known.map_or(queue.allowance, |(sum, jobs)| *sum / (*jobs).max(1))
    }

    /// The limit of a queue whose jobs have `reserved` core-seconds of other jobs ahead of them.
    fn limit(&self, reserved: Reserved, slack: Duration, run_ratio: f64) -> QueueLimit {
        QueueLimit {
            wait: self.work.wait(reserved.within, slack),
            wait_beyond: self.work.wait_beyond(reserved.all, slack),
            drain_per_s: self.work.drain.per_second(),
            run_ratio,
            beyond: self.beyond.clone(),
        }
    }

    /// Counts the work of an admitted job until all work is computed again.
    fn admit(&mut self, job: &JobName, beyond: bool, core_seconds: f64) {
        if self.admitted.insert(job.clone()) {
            let work = &mut self.work;
            *(if beyond { &mut work.beyond } else { &mut work.on_time }) += core_seconds;
        }
    }

    /// Whether a job has to wait for a time that is worth publishing, behind `growth` core-seconds
    /// of work that is yet to come.
    fn is_noticeable(&self, growth: f64, slack: Duration) -> bool {
        self.work.wait_beyond(growth, slack) >= NOTICEABLE_WAIT
    }

    /// When a job is placed if no reservations are ahead of it.
    fn placed(&self, now: Now, beyond: bool) -> Time {
        let Backlog { drain, running, on_time, .. } = self.work;
        let others = if beyond { self.work.beyond } else { 0.0 };
        now.time + drain.time_for(running + on_time + others)
    }

    /// The reserved work ahead of a job, or of a new one.
    fn reserved(&self, now: Now, queue: &VirtualQueue, job: Option<&JobName>) -> Reserved {
        let of = |beyond| queue.due_before(self.placed(now, beyond), &self.work.drain, job, beyond);
        Reserved { within: of(false), all: of(true) }
    }
}

/// The work of reservations ahead of a job, in core-seconds.
#[derive(Clone, Copy, Debug)]
struct Reserved {
    /// Of jobs within their share.
    within: f64,
    /// Of all jobs.
    all: f64,
}

impl Scheduler {
    /// The limits in force; none while no queue has a noticeable wait.
    pub fn admission_limits(&mut self, now: Now, token: u64) -> Option<Arc<AdmissionLimits>> {
        if !self.limits.refuses_jobs {
            return None;
        }
        self.update_backlogs(now);
        let basis = Some((self.admission.computed, token));
        if self.admission.published_for != basis {
            self.admission.published = self.compute_limits(now, token);
            self.admission.published_for = basis;
        }
        self.admission.published.clone()
    }

    /// Decides whether a job may be stored that a daemon would refuse.
    pub fn decide_admission(&mut self, now: Now, query: &AdmissionQuery) -> Decision {
        if !self.limits.refuses_jobs {
            return Decision::Admit;
        }
        self.update_backlogs(now);
        let Some(config) = self.config.clone() else { return Decision::Admit };
        let Some(queue) = config.queues.get(&query.queue) else { return Decision::Admit };
        let Admission { backlogs, virtual_queues, refused, .. } = &mut self.admission;
        let Some(backlog) = backlogs.get_mut(&queue.pool) else { return Decision::Admit };
        let ratio = self.runtime_estimates.ratio(&queue.name);
        let chain = QueueLimit { run_ratio: ratio, ..QueueLimit::default() }.expected_chain(query);
        let objective = chain.mul_f64(queue.stretch) + queue.allowance;
        let slack = objective.saturating_sub(chain);
        let waiting = virtual_queues.entry(queue.pool.clone()).or_default();
        waiting.expire(now.time);
        if !backlog.is_noticeable(0.0, slack) {
            waiting.remove(&query.job);
            return Decision::Admit;
        }
        let core_seconds = if query.core_seconds.is_finite() { query.core_seconds } else { 0.0 };
        let core_seconds = core_seconds.max(0.0) * ratio;
        // What the pool cannot complete in any foreseeable time holds no place ahead of others.
        let never_done = backlog.work.drain.time_for(core_seconds) >= LONGEST_WAIT;
        let core_seconds = if never_done { 0.0 } else { core_seconds };
        let reserved = waiting.get(&query.job).copied();
        let early = reserved.filter(|own| own.is_early(now.time));
        // A job that is early has no better standing than a new one.
        let own = Some(&query.job).filter(|_| early.is_none());
        let limit = backlog.limit(backlog.reserved(now, waiting, own), slack, ratio);
        let beyond = limit.is_beyond(query.caller.as_ref());
        let decision = admission::decide(&limit, Duration::ZERO, query, objective);
        let Decision::Refuse { reason, .. } = decision else {
            waiting.remove(&query.job);
            backlog.admit(&query.job, beyond, core_seconds);
            return Decision::Admit;
        };
        if reserved.is_none() {
            let refused = refused.entry(queue.pool.clone()).or_default();
            refused.record_work(now.time, core_seconds, Duration::ZERO);
        }
        if let Some(early) = early {
            let left = early.turn - now.time;
            let retry_after = admission::retry_after(left, &limit, query, objective);
            return Decision::Refuse { retry_after, reason };
        }
        // A job that has come at its time keeps its place, and a new one goes to the end.
        let ahead = match reserved {
            Some(_) => backlog.reserved(now, waiting, own),
            None => Reserved { within: waiting.total(false), all: waiting.total(true) },
        };
        let Backlog { running, on_time, .. } = backlog.work;
        let ahead =
            running + on_time + if beyond { backlog.work.beyond + ahead.all } else { ahead.within };
        let turn = backlog.work.turn(ahead, slack);
        let retry_after = admission::retry_after(turn, &limit, query, objective);
        match retry_after {
            Some(after) => {
                waiting.reserve(&query.job, now.time + after, beyond, core_seconds);
            }
            None => {
                waiting.remove(&query.job);
            }
        }
        Decision::Refuse { retry_after, reason }
    }

    /// Counts the work of a job that a daemon has stored.
    pub(super) fn note_admitted(&mut self, pool: &PoolName, submission: &Submission, beyond: bool) {
        let spec = &submission.spec;
        let is_counted = self.admission.backlogs.contains_key(pool);
        if !is_counted || spec.is_lasting() || spec.schedule.is_some() {
            return;
        }
        let mut work = WaitingWork::default();
        for step in spec.steps.iter().filter(|step| self.is_feasible(pool, step)) {
            let queue = &submission.queue.name;
            let takes = self.runtime_estimates.bounded_estimate(queue, step.estimate);
            work.add(step, u64::from(step.count), takes);
        }
        if let Some(backlog) = self.admission.backlogs.get_mut(pool) {
            backlog.admit(&submission.job, beyond, work.core_seconds);
        }
    }

    fn compute_limits(&mut self, now: Now, token: u64) -> Option<Arc<AdmissionLimits>> {
        let config = self.config.clone()?;
        let none = VirtualQueue::default();
        let mut queues = BTreeMap::new();
        for queue in config.queues.values() {
            let Some(backlog) = self.admission.backlogs.get(&queue.pool) else { continue };
            let slack = backlog.slack(queue);
            let growth = backlog.work.growth(self.refused_cores(now, &queue.pool));
            if !backlog.is_noticeable(growth, slack) {
                continue;
            }
            let waiting = self.admission.virtual_queues.get(&queue.pool).unwrap_or(&none);
            let Reserved { within, all } = backlog.reserved(now, waiting, None);
            let reserved = Reserved { within: within + growth, all: all + growth };
            let ratio = self.runtime_estimates.ratio(&queue.name);
            queues.insert(queue.name.clone(), backlog.limit(reserved, slack, ratio));
        }
        if queues.is_empty() {
            return None;
        }
        self.admission.sequence += 1;
        let sequence = self.admission.sequence;
        Some(Arc::new(AdmissionLimits { token, sequence, valid: LIMITS_VALID, queues }))
    }

    /// The number of cores that refused work would keep busy.
    fn refused_cores(&self, now: Now, pool: &PoolName) -> f64 {
        let rate = self.admission.refused.get(pool);
        rate.map_or(0.0, |rate| rate.expected_cores(now.time))
    }

    /// Computes the backlogs if they are older than [`INTERVAL`].
    fn update_backlogs(&mut self, now: Now) {
        let is_recent = |at: Time| now.time.since(at) < INTERVAL;
        if self.admission.computed.is_some_and(is_recent) {
            return;
        }
        self.admission.computed = Some(now.time);
        self.admission.backlogs = self.backlogs(now);
        for waiting in self.admission.virtual_queues.values_mut() {
            waiting.expire(now.time);
        }
        self.admission.virtual_queues.retain(|_, waiting| !waiting.is_empty());
    }
}
