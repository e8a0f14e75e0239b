//! The keys of ended jobs, which are removed from the store with the end of the job or after it.

use std::{collections::BTreeSet, time::Duration};

use borageswitch_types::{Time, names::JobName};

use super::after_stored::{AfterStored, Position, RecordQueue};

/// The maximum number of jobs whose keys one append removes. The store accepts 32 entries per call
/// and rejects a larger call as a whole each time, so nothing would be stored any more. Three
/// entries of a call are already taken, and a job has up to two keys.
const MAX_JOBS_PER_APPEND: usize = 14;
/// The pause after which removals that the store has refused are sent again.
const REFUSAL_PAUSE: Duration = Duration::from_secs(10);

/// Jobs whose keys are to be removed.
#[derive(Debug, Default)]
pub(super) struct Removals {
    waiting: AfterStored<JobName>,
    /// The jobs in `waiting`.
    waiting_jobs: BTreeSet<JobName>,
    in_flight: Vec<JobName>,
    not_before: Time,
}

impl Removals {
    /// Adds a job whose end is among the records in `queue` or those sent before.
    pub(super) fn push(&mut self, queue: &RecordQueue, job: JobName) {
        if self.waiting_jobs.insert(job.clone()) {
            self.waiting.push(queue, job);
        }
    }

    /// Returns whether keys can be removed without another record.
    pub(super) fn are_due(&self, now: Time) -> bool {
        now >= self.not_before && !self.waiting.is_empty()
    }

    /// Takes the jobs whose keys an append removes that stores the records before `stored`.
    pub(super) fn take(&mut self, now: Time, stored: Position) -> Vec<JobName> {
        if !self.are_due(now) {
            return Vec::new();
        }
        self.in_flight = self.waiting.take(stored, MAX_JOBS_PER_APPEND);
        for job in &self.in_flight {
            self.waiting_jobs.remove(job);
        }
        self.in_flight.clone()
    }

    /// The keys of the last append were removed.
    pub(super) fn confirm(&mut self) {
        self.in_flight.clear();
    }

    /// The store has refused to remove the keys of the last append; they are sent again later.
    pub(super) fn retry(&mut self, now: Time, queue: &RecordQueue) {
        self.not_before = now + REFUSAL_PAUSE;
        for job in std::mem::take(&mut self.in_flight) {
            self.push(queue, job);
        }
    }

    /// The jobs whose keys may still be stored.
    pub(super) fn outstanding(&self) -> impl Iterator<Item = &JobName> {
        self.waiting_jobs.iter().chain(&self.in_flight)
    }
}
