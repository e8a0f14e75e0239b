//! What callers and operators ask.

use borageswitch_types::names::{CallerName, JobName, QueueName};

use crate::{
    ledger::{crashes::GivenUp, record::Outcome},
    reducer::Scheduler,
};

/// How a job stands, as its caller sees it.
#[derive(
    Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, derive_more::Display,
)]
pub enum JobStatus {
    /// It is accepted; nothing of it has started.
    #[display("queued")]
    Queued,
    /// Something of it has started.
    #[display("running")]
    Running,
    /// It has ended.
    #[display("{_0}")]
    Ended(Outcome),
    /// It has failed: executors crash under one of its tasks.
    #[display("failed: {_0}")]
    GivenUp(GivenUp),
}

impl JobStatus {
    /// Whether it has come to its end.
    pub fn has_ended(&self) -> bool {
        matches!(self, JobStatus::Ended(_) | JobStatus::GivenUp(_))
    }
}

impl Scheduler {
    /// How a job of a queue stands; nothing if there is none.
    ///
    /// An end is shown only once it is stored: shown earlier, a crash could take it back.
    pub fn status(&self, queue: &QueueName, job: &JobName) -> Option<JobStatus> {
        if let Some(finished) = self.ledger.finished.get(job) {
            if finished.queue != *queue {
                return None;
            }
            if self.ending_jobs.contains_key(job) {
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

    /// Whether a job that has not ended is another caller's.
    pub fn is_foreign(&self, job: &JobName, caller: Option<&CallerName>) -> bool {
        self.ledger.jobs.get(job).is_some_and(|known| known.submission.is_foreign_to(caller))
    }

    /// How many jobs of a queue wait for their first start.
    ///
    /// An order that is stored is no start: it may never have left. Counted as one, the jobs of a
    /// rush that no leader could start would seem to run, and whoever watches the queue would see
    /// it nearly empty.
    pub fn pending(&self, queue: &QueueName) -> u64 {
        let of_queue = self.ledger.jobs.iter().filter(|(_, j)| j.submission.queue.name == *queue);
        let begun = |name: &JobName| self.times.get(name).is_some_and(|times| times.begun);
        of_queue.filter(|(name, job)| !begun(name) && !job.has_ends()).count() as u64
    }

    /// The ledger, for snapshots and invariants.
    pub fn ledger(&self) -> &crate::ledger::Ledger {
        &self.ledger
    }

    /// The executors as they are known, for invariants and the state dump.
    pub fn executors(&self) -> impl Iterator<Item = &crate::reducer::executors::Executor> {
        self.executors.values()
    }
}
