//! The keys of ended jobs, which are removed from the store with the end of the job or after it.

use std::collections::BTreeSet;

use borageswitch_types::names::JobName;

use super::after_stored::{AfterStored, Position, RecordQueue};

/// The maximum number of jobs whose keys one append removes. The store accepts 32 entries per call
/// and rejects a larger call as a whole each time, so nothing would be stored any more. Three
/// entries of a call are already taken, and a job has up to two keys.
const MAX_JOBS_PER_APPEND: usize = 14;

/// Jobs whose keys are to be removed.
#[derive(Debug, Default)]
pub(super) struct Removals {
    waiting: AfterStored<JobName>,
    /// The jobs in `waiting`.
    waiting_jobs: BTreeSet<JobName>,
}

impl Removals {
    /// Adds a job whose end is among the records in `queue` or those sent before.
    pub(super) fn push(&mut self, queue: &RecordQueue, job: JobName) {
        if self.waiting_jobs.insert(job.clone()) {
            self.waiting.push(queue, job);
        }
    }

    /// Returns whether keys can be removed without another record.
    pub(super) fn are_due(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Takes the jobs whose keys an append removes that stores the records before `stored`.
    pub(super) fn take(&mut self, stored: Position) -> Vec<JobName> {
        let jobs = self.waiting.take(stored, MAX_JOBS_PER_APPEND);
        for job in &jobs {
            self.waiting_jobs.remove(job);
        }
        jobs
    }
}
