//! The ledger at one point, as it is stored.

use std::{collections::BTreeMap, sync::Arc};

use borageswitch_types::names::{ExecutorName, HostName, JobName};

use crate::{
    job::Submission,
    ledger::{
        Finished, Ledger,
        crashes::{Crash, GivenUp},
        host_orders::HostOrders,
        job::{Job, Progress},
        record::Leftover,
    },
    task::TaskKey,
};

/// The ledger without the jobs' descriptions: those are stored where the callers' requests were
/// accepted.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Snapshot {
    /// The last append that is part of it.
    pub through: u64,
    /// Jobs that have begun.
    pub jobs: BTreeMap<JobName, Progress>,
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
    /// Runs of jobs that have ended, which count for a quota until they have ended as well. This and
    /// the fields after it are younger than the layout: snapshots of earlier daemons end before them.
    pub leftovers: BTreeMap<TaskKey, Leftover>,
    /// Tasks under which executors have crashed.
    pub suspects: BTreeMap<TaskKey, Vec<Crash>>,
    /// Jobs that have failed because executors crash under a task of theirs.
    pub given_up: BTreeMap<JobName, GivenUp>,
}

impl Snapshot {
    /// The ledger after append `through`.
    pub fn of(ledger: &Ledger, through: u64) -> Self {
        let jobs = ledger.jobs.iter().filter(|(_, job)| !job.is_untouched());
        Self {
            through,
            jobs: jobs.map(|(name, job)| (name.clone(), job.progress.clone())).collect(),
            finished: ledger.finished.clone(),
            seen: ledger.seen.clone(),
            host_orders: ledger.host_orders.clone(),
            maintained: ledger.maintained.clone(),
            completed_waves: ledger.completed_waves.clone(),
            leftovers: ledger.leftovers.clone(),
            suspects: ledger.suspects.clone(),
            given_up: ledger.given_up.clone(),
        }
    }

    /// The ledger again, with the descriptions of jobs as they were accepted.
    ///
    /// A submission of a job that has ended is left out: its caller sent it once more.
    pub fn restore<I>(self, submissions: I) -> Ledger
    where
        I: IntoIterator<Item = Arc<Submission>>,
    {
        let mut ledger = Ledger {
            jobs: BTreeMap::new(),
            finished: self.finished,
            seen: self.seen,
            host_orders: self.host_orders,
            maintained: self.maintained,
            completed_waves: self.completed_waves,
            leftovers: self.leftovers,
            suspects: self.suspects,
            given_up: self.given_up,
        };
        let mut progress = self.jobs;
        for submission in submissions {
            let name = submission.job.clone();
            if ledger.finished.contains_key(&name) {
                continue;
            }
            let mut job = Job::new(submission);
            if let Some(progress) = progress.remove(&name) {
                job.progress = progress;
            }
            ledger.jobs.insert(name, job);
        }
        ledger
    }
}
