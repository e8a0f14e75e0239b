//! Read access for callers and operators.

use borageswitch_types::names::{CallerName, JobName, QueueName};

use crate::{
    ledger::{crashes::GivenUp, record::Outcome},
    reducer::Scheduler,
};

/// The status of a job, as its caller sees it.
#[derive(
    Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, derive_more::Display,
)]
pub enum JobStatus {
    /// The job is accepted; none of its tasks has started.
    #[display("queued")]
    Queued,
    /// At least one task has started.
    #[display("running")]
    Running,
    /// The job has ended.
    #[display("{_0}")]
    Ended(Outcome),
    /// The job has failed because executors crash under one of its tasks.
    #[display("failed: {_0}")]
    GivenUp(GivenUp),
}

impl JobStatus {
    /// Whether the job has ended.
    pub fn has_ended(&self) -> bool {
        matches!(self, JobStatus::Ended(_) | JobStatus::GivenUp(_))
    }
}

impl Scheduler {
    /// The status of a job of a queue; `None` if the queue has no such job.
    ///
    /// An end is reported only once it is stored: if it were reported earlier, a crash could revert
    /// it.
    pub fn status(&self, queue: &QueueName, job: &JobName) -> Option<JobStatus> {
        if let Some(finished) = self.ledger.finished.get(job) {
            if finished.queue != *queue {
                return None;
            }
            if self.ending_jobs.contains(job) {
                return Some(JobStatus::Running);
            }
            let given_up = self.ledger.given_up.get(job);
            let given_up = given_up.filter(|_| finished.outcome == Outcome::Failed).cloned();
            return Some(given_up.map_or(JobStatus::Ended(finished.outcome), JobStatus::GivenUp));
        }
        let known =
            self.ledger.jobs.get(job).filter(|known| known.submission.queue.name == *queue)?;
        Some(if known.progress.started { JobStatus::Running } else { JobStatus::Queued })
    }

    /// Whether a job that has not ended belongs to another caller.
    pub fn is_foreign(&self, job: &JobName, caller: Option<&CallerName>) -> bool {
        self.ledger.jobs.get(job).is_some_and(|known| known.submission.is_foreign_to(caller))
    }

    /// The number of a queue's jobs that wait for their first start.
    ///
    /// A stored assignment does not count as a start, as the order may never have been sent. If it
    /// did, the jobs of a load peak that no leader could start would seem to run, and whoever
    /// monitors the queue would see it nearly empty.
    pub fn pending(&self, queue: &QueueName) -> u64 {
        let of_queue = self.ledger.jobs.iter().filter(|(_, j)| j.submission.queue.name == *queue);
        let begun = |name: &JobName| self.job_states.get(name).is_some_and(|times| times.begun);
        of_queue.filter(|(name, job)| !begun(name) && !job.has_stored_ends()).count() as u64
    }

    /// The ledger, for snapshots and invariant checks.
    pub fn ledger(&self) -> &crate::ledger::Ledger {
        &self.ledger
    }

    /// The executors as the leader knows them, for invariant checks and the state dump.
    pub fn executors(&self) -> impl Iterator<Item = &crate::reducer::executors::Executor> {
        self.executors.values()
    }
}
