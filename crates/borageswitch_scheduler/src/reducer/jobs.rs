//! Jobs come, are cancelled, come due and end.

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
        KEEP_OUTCOME,
        job::{Job, Occurrence},
        record::{Leftover, Outcome, Record},
    },
    policy::{order::JobView, shares::JobRate},
    reducer::{Scheduler, executors::Held},
    task::TaskKey,
};

/// A job's end is of use until this many times the time in which it is on time.
const USEFUL_FACTOR: u32 = 3;
/// How often outcomes that are old enough are dropped.
const FORGET_INTERVAL: Duration = Duration::from_secs(10);

/// What of a job's queue counts for it, and when it is due.
#[derive(Clone, Debug, PartialEq)]
pub struct JobTimes {
    /// The pool that runs its tasks.
    pub pool: PoolName,
    /// 0 comes first.
    pub priority: u32,
    /// How often a task may fail.
    pub max_attempts: u16,
    /// It is on time within this many times its longest chain of work, ..
    pub stretch: f64,
    /// .. and so much more.
    pub allowance: Duration,
    /// When it was accepted.
    pub accepted: Time,
    /// An executor on which one of its tasks failed.
    pub failed_on: Option<ExecutorName>,
    /// An executor has confirmed or listed a run of it to this leader.
    pub begun: bool,
    /// Its caller had handed in its share already when it came.
    pub beyond_share: bool,
}

impl JobTimes {
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
            // Its caller sent it once more after its end; the copy in the store is not needed.
            self.outbox.forget(job);
            return;
        }
        if !self.ledger.submit(submission.clone()) {
            return;
        }
        self.note_times(now, &submission);
        self.note_share(now, &submission);
        self.waiting.mark_stale(&job);
        if let Some(pool) = self.pool_of(&job).cloned() {
            self.note_arrival(now, &pool, &submission);
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

    /// Notes whether a job is within its caller's share.
    fn note_share(&mut self, now: Now, submission: &Submission) {
        let Some(name) = &submission.caller else { return };
        let declared = self.config.as_ref().and_then(|config| config.callers.get(name));
        let Some(weight) = declared.map(|caller| caller.weight) else { return };
        if !self.job_rates.contains_key(name) {
            self.job_rates.insert(name.clone(), JobRate::new(now.time, weight));
        }
        let within = self.job_rates.get_mut(name).is_none_or(|rate| rate.take(now.time, weight));
        if within {
            return;
        }
        if let Some(times) = self.times.get_mut(&submission.job) {
            times.beyond_share = true;
        }
        self.log("beyond-share", &submission.job, || format!("caller={name} weight={weight}"));
    }

    /// Works out when a job is due, from its queue as it stands now.
    pub(super) fn note_times(&mut self, now: Now, submission: &Submission) {
        let age = Duration::from_millis(now.wall.0.saturating_sub(submission.accepted.0));
        let accepted =
            Time::from_micros(now.time.as_micros().saturating_sub(age.as_micros() as u64));
        let configured =
            self.config.as_ref().and_then(|config| config.queues.get(&submission.queue.name));
        let queue = configured.unwrap_or(&submission.queue);
        self.times.insert(submission.job.clone(), JobTimes::new(queue, accepted));
    }

    /// Gives jobs what the configuration in force says of their queue.
    pub(super) fn renew_times(&mut self, now: Now) {
        let Some(config) = self.config.clone() else { return };
        let mut unknown = Vec::new();
        for (name, job) in &self.ledger.jobs {
            let queue = config.queues.get(&job.submission.queue.name);
            match self.times.get_mut(name) {
                Some(times) => {
                    let Some(queue) = queue else { continue };
                    let fresh = JobTimes::new(queue, times.accepted);
                    let failed_on = times.failed_on.take();
                    let JobTimes { begun, beyond_share, .. } = *times;
                    *times = JobTimes { failed_on, begun, beyond_share, ..fresh };
                }
                None => unknown.push(job.submission.clone()),
            }
        }
        for submission in unknown {
            self.note_times(now, &submission);
        }
        for job in self.ledger.jobs.keys() {
            self.waiting.mark_stale(job);
        }
    }

    pub(super) fn cancel(&mut self, now: Now, job: &JobName) {
        let Some(known) = self.ledger.jobs.get(job) else { return };
        let queue = known.submission.queue.name.clone();
        self.finish(now, job, queue, Outcome::Cancelled);
    }

    /// Ends jobs all of whose tasks are done, or one of whose tasks has failed too often.
    pub(super) fn finish_jobs(&mut self, now: Now) {
        for name in std::mem::take(&mut self.maybe_ended) {
            let Some(job) = self.ledger.jobs.get(&name) else { continue };
            let attempts = self.times.get(&name).map_or(u16::MAX, |times| times.max_attempts);
            let outcome = if job.is_done() {
                Outcome::Completed
            } else if has_failed(job, attempts) || self.ledger.given_up.contains_key(&name) {
                Outcome::Failed
            } else {
                continue;
            };
            let queue = job.submission.queue.name.clone();
            self.finish(now, &name, queue, outcome);
        }
    }

    fn finish(&mut self, now: Now, job: &JobName, queue: QueueName, outcome: Outcome) {
        let took = self.times.get(job).map(|times| now.time.since(times.accepted));
        self.log("job-ended", job, || {
            format!(
                "queue={queue} outcome={outcome} took_ms={}",
                took.unwrap_or_default().as_millis()
            )
        });
        self.mark_pool_dirty(job);
        self.ending_jobs.insert(job.clone(), self.outbox.next_append());
        for record in self.leftovers_of(job) {
            self.record(record);
        }
        self.record(Record::Finished { job: job.clone(), queue, outcome, at: now.wall });
        self.outbox.defer_show_end(job.clone());
        self.times.remove(job);
        self.stop_runs_of(now, job);
    }

    /// The runs of a job that go on counting for its caller's quota when it ends.
    fn leftovers_of(&self, job: &JobName) -> Vec<Record> {
        let runs = self.executors.runs_of(job).filter_map(|(executor, task)| {
            let held = self.executors.get(executor)?.runs.get(task)?;
            let charge = held.charge.clone()?;
            let (executor, run, size) = (executor.clone(), held.run, held.size);
            let leftover = Leftover { executor, run, size, charge };
            Some(Record::Leftover { task: task.clone(), leftover })
        });
        runs.collect()
    }

    /// Begins occurrences of timed jobs that are due.
    pub(super) fn begin_due(&mut self, now: Now) {
        let mut due = Vec::new();
        for (name, job) in &self.ledger.jobs {
            let Some(schedule) = job.submission.spec.schedule else { continue };
            let next = job.progress.begun;
            if next >= schedule.times {
                continue;
            }
            let at = schedule.first.0 + schedule.interval.as_millis() as u64 * u64::from(next);
            if now.wall.0 >= at {
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
        let before = UnixMillis(now.wall.0.saturating_sub(KEEP_OUTCOME.as_millis() as u64));
        let slack = FORGET_INTERVAL.as_millis() as u64;
        let overdue = self.ledger.finished.values().any(|f| f.at.0 + slack < before.0);
        if overdue {
            self.record(Record::Forgotten { before });
        }
    }

    pub(super) fn learn(&mut self, now: Now, task: &TaskKey, held: &Held) {
        let Some(job) = self.ledger.jobs.get(&task.job) else { return };
        let Some(step) = job.step(task.step) else { return };
        let declared = step.estimate;
        let queue = job.submission.queue.name.clone();
        self.learned.observe(&queue, declared, now.time.since(held.started));
    }

    /// What the order of jobs depends on.
    pub(super) fn view_of(&self, job: &Job, times: &JobTimes, occurrence: u32) -> JobView {
        let spec = &job.submission.spec;
        let queue = &job.submission.queue.name;
        let expect = |declared| self.learned.expect(queue, declared);
        let whole = longest_chain(spec, None, expect);
        let open = job.progress.open.get(&occurrence);
        let remaining = longest_chain(spec, open, expect);
        let objective = whole.mul_f64(times.stretch) + times.allowance;
        let begin = match spec.schedule {
            // What matters is the order among jobs of the queue, so the due time need not be exact.
            Some(schedule) => times.accepted + schedule.interval * occurrence,
            None => times.accepted,
        };
        JobView {
            lasting: spec.is_lasting(),
            beyond_share: times.beyond_share,
            priority: times.priority,
            accepted: begin,
            deadline: begin + objective,
            useful_until: begin + objective * USEFUL_FACTOR,
            remaining,
        }
    }
}

fn has_failed(job: &Job, max_attempts: u16) -> bool {
    let steps = &job.submission.spec.steps;
    job.progress.open.values().any(|occurrence| {
        occurrence.steps.iter().zip(steps).any(|(state, step)| {
            !step.lasting && state.tasks.iter().any(|task| task.failures >= max_attempts)
        })
    })
}

/// The longest chain of work of a job, or of what is left of an occurrence.
fn longest_chain<F>(spec: &JobSpec, open: Option<&Occurrence>, expect: F) -> Duration
where
    F: Fn(Duration) -> Duration,
{
    let mut ends = vec![Duration::ZERO; spec.steps.len()];
    // Steps may wait for later ones, so the ends settle after as many rounds as a chain has steps.
    for _ in 0..spec.steps.len() {
        let mut changed = false;
        for (number, step) in spec.steps.iter().enumerate() {
            let done = open.is_some_and(|open| open.steps[number].is_done());
            let own = if done { Duration::ZERO } else { expect(step.estimate) };
            let before = step.after.iter().map(|&after| ends[usize::from(after)]).max();
            let end = before.unwrap_or_default() + own;
            changed |= end != ends[number];
            ends[number] = end;
        }
        if !changed {
            break;
        }
    }
    ends.into_iter().max().unwrap_or_default()
}
