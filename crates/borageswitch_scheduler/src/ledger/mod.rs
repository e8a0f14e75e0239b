//! Jobs, runs and ends: all that must outlive the daemon that leads.
//!
//! [`record`] lists what can happen to a job; [`Ledger::apply`] is the only way in which the ledger
//! changes. A new leader reads the last [`Snapshot`](snapshot::Snapshot) and the records after it,
//! and arrives at the ledger that its predecessor had stored.

pub mod crashes;
pub mod host_orders;
pub mod job;
pub mod record;
pub mod snapshot;

#[cfg(test)]
mod tests;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use borageswitch_types::{
    names::{ExecutorName, HostName, JobName, QueueName},
    time::UnixMillis,
};

use crate::{
    executor::EndKind,
    job::Submission,
    ledger::{
        crashes::{Crash, GivenUp, Suspicion},
        host_orders::HostOrders,
        job::Job,
        record::{Leftover, Outcome, Record},
    },
    task::TaskKey,
};

/// How long a job's outcome is kept after its end: the two minutes that callers are promised and
/// half a minute for clocks that differ and for callers that ask late.
pub const KEEP_OUTCOME: Duration = Duration::from_secs(150);

/// A job that has ended.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Finished {
    /// Its queue.
    pub queue: QueueName,
    /// How it ended.
    pub outcome: Outcome,
    /// When, by the leader's wall clock.
    pub at: UnixMillis,
}

/// Jobs, runs and ends.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ledger {
    /// Jobs that have not ended.
    pub jobs: BTreeMap<JobName, Job>,
    /// Jobs that have ended.
    pub finished: BTreeMap<JobName, Finished>,
    /// For each executor the highest number of an end that was taken in.
    pub seen: BTreeMap<ExecutorName, u64>,
    /// The orders that hosts were given of late.
    pub host_orders: HostOrders,
    /// For each wave the hosts whose maintenance has begun.
    pub maintained: BTreeMap<u64, Vec<HostName>>,
    /// Waves that were reported as completed.
    pub completed_waves: Vec<u64>,
    /// Runs of jobs that have ended, which count for a quota until they have ended as well.
    pub leftovers: BTreeMap<TaskKey, Leftover>,
    /// Tasks under which executors have crashed, since they last ran for long enough without.
    pub suspects: BTreeMap<TaskKey, Vec<Crash>>,
    /// Jobs that have failed because executors crash under a task of theirs.
    pub given_up: BTreeMap<JobName, GivenUp>,
}

impl Ledger {
    /// Takes in a job unless it is known. Gives whether it is new.
    pub fn submit(&mut self, submission: Arc<Submission>) -> bool {
        let name = submission.job.clone();
        if self.finished.contains_key(&name) || self.jobs.contains_key(&name) {
            return false;
        }
        self.jobs.insert(name, Job::new(submission));
        true
    }

    /// What a record makes of the ledger.
    ///
    /// A record about a job that is not there changes nothing: the job has ended since.
    pub fn apply(&mut self, record: &Record) {
        match record {
            Record::Assigned { task, run, executor } => self.assign(task, *run, executor),
            Record::Released { task, run } => {
                self.clear_leftover(task, *run);
                self.release(task, *run);
            }
            Record::Leftover { task, leftover } => {
                self.leftovers.insert(task.clone(), leftover.clone());
            }
            Record::Ended { executor, number, task, run, how, checkpoint } => {
                self.clear_leftover(task, *run);
                let seen = self.seen.entry(executor.clone()).or_default();
                if *number > *seen {
                    *seen = *number;
                    self.end(task, *run, *how, checkpoint.as_ref());
                    if matches!(how, EndKind::Done | EndKind::Failed) {
                        // An executor has started it and lived on.
                        self.suspects.remove(task);
                    }
                }
            }
            Record::Due { job, occurrence } => {
                if let Some(job) = self.jobs.get_mut(job) {
                    job.begin_occurrence(*occurrence);
                }
            }
            Record::Finished { job, queue, outcome, at } => {
                self.jobs.remove(job);
                self.suspects.retain(|task, _| task.job != *job);
                let finished = Finished { queue: queue.clone(), outcome: *outcome, at: *at };
                self.finished.insert(job.clone(), finished);
            }
            Record::Forgotten { before } => {
                self.finished.retain(|_, finished| finished.at >= *before);
                let Self { jobs, finished, given_up, .. } = self;
                given_up.retain(|job, _| jobs.contains_key(job) || finished.contains_key(job));
            }
            Record::ExecutorGone { executor } => {
                self.seen.remove(executor);
                self.leftovers.retain(|_, leftover| leftover.executor != *executor);
            }
            Record::TermBegan => self.host_orders.term_began(),
            Record::Led { millis } => self.host_orders.led(*millis),
            Record::HostOrdered { host } => self.host_orders.ordered(host),
            Record::HostOrderSettled { host, millis } => self.host_orders.settled(host, *millis),
            Record::Maintained { wave, host } => {
                let hosts = self.maintained.entry(*wave).or_default();
                if !hosts.contains(host) {
                    hosts.push(host.clone());
                }
            }
            Record::Crashed { suspicions } => {
                suspicions.iter().for_each(|suspicion| self.suspect(suspicion));
            }
            Record::Lived { task, millis } => self.outlive(task, *millis),
            Record::GivenUp { task } => {
                let crashes = self.suspects.remove(task).unwrap_or_default();
                let given_up = GivenUp { task: task.clone(), crashes };
                self.given_up.entry(task.job.clone()).or_insert(given_up);
            }
            Record::WaveCompleted { wave } => {
                if !self.completed_waves.contains(wave) {
                    self.completed_waves.push(*wave);
                }
            }
        }
    }

    fn suspect(&mut self, suspicion: &Suspicion) {
        let task = &suspicion.task;
        if self.task(task).is_some_and(|state| !state.done) {
            let crashes = self.suspects.entry(task.clone()).or_default();
            crashes::add(crashes, &suspicion.crash);
        }
    }

    fn outlive(&mut self, task: &TaskKey, lived_ms: u64) {
        let Some(crashes) = self.suspects.get_mut(task) else { return };
        crashes::outlive(crashes, lived_ms);
        if crashes.is_empty() {
            self.suspects.remove(task);
        }
    }

    /// The suspects among the tasks of a job.
    pub fn suspects_of(&self, job: &JobName) -> impl Iterator<Item = (&TaskKey, &Vec<Crash>)> {
        let first = TaskKey { job: job.clone(), occurrence: 0, step: 0, index: 0 };
        let from = self.suspects.range(first..);
        from.take_while(move |(task, _)| task.job == *job)
    }

    /// The crashes that speak against a task.
    pub fn crashes_under(&self, task: &TaskKey) -> &[Crash] {
        self.suspects.get(task).map(Vec::as_slice).unwrap_or_default()
    }

    fn assign(&mut self, task: &TaskKey, run: u32, executor: &ExecutorName) {
        if let Some(state) = self.task_mut(task) {
            state.assign(run, executor);
        }
    }

    fn release(&mut self, task: &TaskKey, run: u32) {
        if let Some(state) = self.task_mut(task) {
            state.release(run);
        }
    }

    fn clear_leftover(&mut self, task: &TaskKey, run: u32) {
        if self.leftovers.get(task).is_some_and(|leftover| leftover.run == run) {
            self.leftovers.remove(task);
        }
    }

    fn end(&mut self, task: &TaskKey, run: u32, how: EndKind, checkpoint: Option<&Arc<str>>) {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.end(task, run, how, checkpoint);
        }
    }

    /// The state of a task of a job that has not ended.
    pub fn task(&self, task: &TaskKey) -> Option<&job::TaskState> {
        self.jobs.get(&task.job)?.task(task)
    }

    fn task_mut(&mut self, task: &TaskKey) -> Option<&mut job::TaskState> {
        self.jobs.get_mut(&task.job)?.task_mut(task)
    }
}
