//! The life cycle of jobs: submission, due occurrences, cancellation and completion.

use std::{sync::Arc, time::Duration};

use borageswitch_types::{
    Time,
    names::{CallerName, ExecutorName, JobName, PoolName, QueueName},
    time::UnixMillis,
};

use crate::{
    config::Queue,
    event::Now,
    job::{JobSpec, Submission},
    ledger::{
        Finished, OUTCOME_RETENTION,
        job::{Job, Occurrence},
        record::{LingeringRun, Outcome, Record},
    },
    policy::{
        caller_shares::JobBucket,
        order::{JobView, USEFUL_FACTOR},
    },
    reducer::{Scheduler, executors::HeldRun, job_failures::FailureCause},
    task::TaskKey,
};

/// How long outcomes are kept beyond their retention, so that they are dropped in batches.
const FORGET_INTERVAL: Duration = Duration::from_secs(10);

/// The scheduling state of a job: the settings of its queue, its age and its progress.
#[derive(Clone, Debug, PartialEq)]
pub struct JobState {
    /// The pool that runs its tasks.
    pub pool: PoolName,
    /// The priority of its queue; 0 is the highest.
    pub priority: u32,
    /// The number of failures of one task at which the job fails.
    pub max_attempts: u16,
    /// The factor of its longest chain of work within which the job is on time.
    pub stretch: f64,
    /// The time that is added to that product.
    pub allowance: Duration,
    /// When the job was accepted.
    pub accepted: Time,
    /// The first executor on which one of its tasks failed.
    pub failed_on: Option<ExecutorName>,
    /// Whether an executor has confirmed, listed or ended one of its runs under this leader.
    pub begun: bool,
    /// Whether its caller had already used up its share of jobs when the job was submitted.
    pub beyond_share: bool,
}

impl JobState {
    fn new(queue: &Queue, accepted: Time) -> Self {
        Self {
            pool: queue.pool.clone(),
            priority: queue.priority,
            max_attempts: queue.max_attempts,
            stretch: queue.stretch,
            allowance: queue.allowance,
            accepted,
            failed_on: None,
            begun: false,
            beyond_share: false,
        }
    }
}

impl Scheduler {
    pub(super) fn submit(&mut self, now: Now, submission: Arc<Submission>) {
        let job = submission.job.clone();
        if self.ledger.finished.contains_key(&job) {
            // The caller submitted the job again after its end; the stored copy is not needed.
            self.outbox.forget(job);
            return;
        }
        if !self.ledger.submit(submission.clone()) {
            return;
        }
        self.init_job_state(now, &submission);
        self.charge_job_share(now, &submission);
        self.waiting.mark_stale(&job);
        if let Some(pool) = self.pool_of(&job).cloned() {
            self.note_arrival(now, &pool, &submission);
            let beyond = self.job_states.get(&job).is_some_and(|state| state.beyond_share);
            self.note_admitted(&pool, &submission, beyond);
            self.dirty_pools.insert(pool);
        }
        self.log("job-known", &job, || {
            let age = now.wall.0.saturating_sub(submission.accepted.0);
            let steps = &submission.spec.steps;
            let tasks: u32 = steps.iter().map(|step| step.count).sum();
            let labels: Vec<&str> = steps.iter().filter_map(|s| s.label.as_deref()).collect();
            format!(
                "queue={} caller={} steps={} tasks={tasks} labels={labels:?} age_ms={age}",
                submission.queue.name,
                submission.caller.as_ref().map_or("none", CallerName::as_str),
                steps.len()
            )
        });
    }

    /// Charges a job to its caller's rate, and marks it if it exceeds the rate. Where shares of the
    /// pool are in force, these decide instead.
    fn charge_job_share(&mut self, now: Now, submission: &Submission) {
        let Some(name) = &submission.caller else { return };
        if self.pool_of(&submission.job).is_some_and(|pool| self.shares.are_in_force(pool)) {
            return;
        }
        let declared = self.config.as_ref().and_then(|config| config.callers.get(name));
        let Some(weight) = declared.map(|caller| caller.weight) else { return };
        if !self.job_buckets.contains_key(name) {
            self.job_buckets.insert(name.clone(), JobBucket::new(now.time, weight));
        }
        let within =
            self.job_buckets.get_mut(name).is_none_or(|rate| rate.try_take(now.time, weight));
        if within {
            return;
        }
        if let Some(job_state) = self.job_states.get_mut(&submission.job) {
            job_state.beyond_share = true;
        }
        self.log("beyond-share", &submission.job, || format!("caller={name} weight={weight}"));
    }

    /// Derives the scheduling state of a job from the present settings of its queue.
    pub(super) fn init_job_state(&mut self, now: Now, submission: &Submission) {
        let age = Duration::from_millis(now.wall.0.saturating_sub(submission.accepted.0));
        let accepted =
            Time::from_micros(now.time.as_micros().saturating_sub(age.as_micros() as u64));
        let configured =
            self.config.as_ref().and_then(|config| config.queues.get(&submission.queue.name));
        let queue = configured.unwrap_or(&submission.queue);
        self.job_states.insert(submission.job.clone(), JobState::new(queue, accepted));
    }

    /// Updates the scheduling state of all jobs from the configuration in force.
    pub(super) fn refresh_job_states(&mut self, now: Now) {
        let Some(config) = self.config.clone() else { return };
        let mut unknown = Vec::new();
        for (name, job) in &self.ledger.jobs {
            let queue = config.queues.get(&job.submission.queue.name);
            match self.job_states.get_mut(name) {
                Some(job_state) => {
                    let Some(queue) = queue else { continue };
                    let fresh = JobState::new(queue, job_state.accepted);
                    let failed_on = job_state.failed_on.take();
                    let JobState { begun, beyond_share, .. } = *job_state;
                    *job_state = JobState { failed_on, begun, beyond_share, ..fresh };
                }
                None => unknown.push(job.submission.clone()),
            }
        }
        for submission in unknown {
            self.init_job_state(now, &submission);
        }
        for job in self.ledger.jobs.keys() {
            self.waiting.mark_stale(job);
        }
    }

    pub(super) fn cancel(&mut self, now: Now, job: &JobName) {
        let Some(known) = self.ledger.jobs.get(job) else { return };
        let queue = known.submission.queue.name.clone();
        self.finish(now, job, queue, Outcome::Cancelled, None);
    }

    /// Removes the keys of a job that is not known, or has ended.
    pub fn forget_job(&mut self, job: JobName) {
        if !self.ledger.jobs.contains_key(&job) {
            self.outbox.forget(job);
        }
    }

    /// Finishes jobs that are done, have a task that failed too often, or were given up.
    pub(super) fn finish_jobs(&mut self, now: Now) {
        for name in std::mem::take(&mut self.maybe_ended) {
            let Some(job) = self.ledger.jobs.get(&name) else { continue };
            let cause = if job.is_done() { None } else { self.failure_cause(&name, job) };
            let outcome = match &cause {
                Some(_) => Outcome::Failed,
                None if job.is_done() => Outcome::Completed,
                None => continue,
            };
            let queue = job.submission.queue.name.clone();
            self.finish(now, &name, queue, outcome, cause);
        }
    }

    fn finish(
        &mut self,
        now: Now,
        job: &JobName,
        queue: QueueName,
        outcome: Outcome,
        cause: Option<FailureCause>,
    ) {
        let took = self.job_states.get(job).map(|job_state| now.time.since(job_state.accepted));
        let basis = cause.as_ref().map(|cause| self.basis_of(cause)).unwrap_or_default();
        self.log("job-ended", job, || {
            let cause = cause.map(|cause| format!(" cause={cause}")).unwrap_or_default();
            let took_ms = took.unwrap_or_default().as_millis();
            format!("queue={queue} outcome={outcome}{cause} took_ms={took_ms}{basis}")
        });
        self.mark_pool_dirty(job);
        self.ending_jobs.insert(job.clone());
        for record in self.lingering_runs_of(job) {
            self.record(record);
        }
        self.record(Record::Finished { job: job.clone(), queue, outcome, at: now.wall });
        self.outbox.defer_show_end(job.clone());
        self.job_states.remove(job);
        self.stop_runs_of(now, job);
    }

    /// The runs of a job that still count for its caller's quota after the job has ended.
    fn lingering_runs_of(&self, job: &JobName) -> Vec<Record> {
        let runs = self.executors.runs_of(job).filter_map(|(executor, task)| {
            let held = self.executors.get(executor)?.runs.get(task)?;
            let charge = held.charge.clone()?;
            let (executor, run, size) = (executor.clone(), held.run, held.size);
            let lingering = LingeringRun { executor, run, size, charge };
            Some(Record::LingeringRun { task: task.clone(), lingering })
        });
        runs.collect()
    }

    /// Begins the due occurrences of jobs with a schedule.
    pub(super) fn begin_due_occurrences(&mut self, now: Now) {
        let mut due = Vec::new();
        for (name, job) in &self.ledger.jobs {
            let Some(schedule) = job.submission.spec.schedule else { continue };
            let next = job.progress.begun;
            if next >= schedule.times {
                continue;
            }
            let is_due = schedule.due(next).is_some_and(|at| now.wall >= at);
            if is_due && job.has_room_for_occurrence() {
                due.push((name.clone(), next));
            }
        }
        for (job, occurrence) in due {
            self.log("occurrence-due", &job, || format!("occurrence={occurrence}"));
            self.record(Record::Due { job: job.clone(), occurrence });
            self.mark_pool_dirty(&job);
        }
    }

    pub(super) fn forget_outcomes(&mut self, now: Now) {
        let before = UnixMillis(now.wall.0.saturating_sub(OUTCOME_RETENTION.as_millis() as u64));
        let slack = FORGET_INTERVAL.as_millis() as u64;
        let overdue = self.ledger.finished.values().any(|f| f.at.0 + slack < before.0);
        if overdue {
            self.renew_outcomes(now, before);
            self.record(Record::OutcomesDropped { before });
        }
    }

    /// Renews the outcomes that would be dropped although the submission of the job may still be
    /// stored: without its outcome, the next leader would take the job for a new one.
    fn renew_outcomes(&mut self, now: Now, before: UnixMillis) {
        let finished = &self.ledger.finished;
        let stored = self.outbox.stored_submissions();
        let renewed = stored.filter_map(|job| {
            let Finished { queue, outcome, at } = finished.get(job)?;
            let (job, queue, outcome) = (job.clone(), queue.clone(), *outcome);
            (*at < before).then_some(Record::Finished { job, queue, outcome, at: now.wall })
        });
        for record in renewed.collect::<Vec<_>>() {
            self.record(record);
        }
    }

    pub(super) fn learn_duration(&mut self, now: Now, task: &TaskKey, held: &HeldRun) {
        let Some(job) = self.ledger.jobs.get(&task.job) else { return };
        let Some(step) = job.step(task.step) else { return };
        let declared = step.estimate;
        let queue = job.submission.queue.name.clone();
        if let Some(placed) = held.placed {
            let work = self.runtime_estimates.estimate(&queue, declared);
            self.run_overhead.record(now.time.since(placed), work);
        }
        // A slow leader learns late that a run has ended. Taken for its run time, that would make
        // the deadline of the next job seem later than it is. When an earlier leader's run started is
        // not known; counted from the takeover, it would pass for a very short one.
        if held.start_sent.is_some() && !self.pending_starts.is_leader_slow(now.time) {
            self.runtime_estimates.observe(&queue, declared, now.time.since(held.started));
        }
    }

    /// The inputs of the order in which occurrences of jobs are placed.
    pub(super) fn view_of(&self, job: &Job, job_state: &JobState, occurrence: u32) -> JobView {
        let spec = &job.submission.spec;
        let queue = &job.submission.queue.name;
        let expect = |declared| self.runtime_estimates.estimate(queue, declared);
        let whole = longest_chain(spec, None, expect);
        let open = job.progress.open.get(&occurrence);
        let remaining = longest_chain(spec, open, expect);
        let objective = whole.mul_f64(job_state.stretch) + job_state.allowance;
        let begin = match spec.schedule {
            // Only the order among jobs of the queue matters, so the due time need not be exact.
            Some(schedule) => job_state.accepted + schedule.interval.saturating_mul(occurrence),
            None => job_state.accepted,
        };
        JobView {
            lasting: spec.is_lasting(),
            beyond_share: job_state.beyond_share,
            priority: job_state.priority,
            accepted: begin,
            deadline: begin + objective,
            useful_until: begin + objective.saturating_mul(USEFUL_FACTOR),
            remaining,
        }
    }
}

/// The expected duration of the longest chain of steps of a job, or of what remains of the
/// occurrence `open`.
fn longest_chain<F>(spec: &JobSpec, open: Option<&Occurrence>, expect: F) -> Duration
where
    F: Fn(Duration) -> Duration,
{
    spec.longest_chain(|number, step| {
        let done = open.is_some_and(|open| open.steps[number].is_done());
        if done { Duration::ZERO } else { expect(step.estimate) }
    })
}
