//! The stored form of the ledger at one point.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use borageswitch_types::names::{ExecutorName, HostName, JobName};

use crate::{
    job::Submission,
    ledger::{
        Finished, Ledger,
        counted_ends::CountedEnds,
        crashes::{Crash, GivenUp, Survival},
        host_orders::HostOrders,
        job::{Job, Progress},
        recent_starts::RecentStarts,
        record::LingeringRun,
    },
    task::{StepKey, TaskKey},
};

/// The ledger without the submissions of the jobs, which are stored when the callers' requests are
/// accepted.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Snapshot {
    /// The number of the last append that is included.
    pub through: u64,
    /// The progress of jobs that have changed since they were accepted.
    pub jobs: BTreeMap<JobName, Progress>,
    /// Jobs that have ended.
    pub finished: BTreeMap<JobName, Finished>,
    /// For each executor, the highest number of a processed end.
    pub last_ends: BTreeMap<ExecutorName, u64>,
    /// The recent orders for hosts.
    pub host_orders: HostOrders,
    /// For each wave, the hosts whose maintenance has begun.
    pub maintained: BTreeMap<u64, Vec<HostName>>,
    /// The waves that were reported as completed.
    pub completed_waves: Vec<u64>,
    /// Runs of ended jobs that have not ended themselves and still count for a quota. This field
    /// and those after it were added later: snapshots of earlier daemons end before them.
    pub lingering_runs: BTreeMap<TaskKey, LingeringRun>,
    /// Tasks under which executors have crashed.
    pub suspects: BTreeMap<TaskKey, Vec<Crash>>,
    /// Jobs that have failed because one of their tasks crashes executors.
    pub given_up: BTreeMap<JobName, GivenUp>,
    /// For each gang, the runs that have failed.
    pub failed_gang_runs: BTreeMap<StepKey, BTreeSet<u32>>,
    /// The runs that were assigned in the last seconds, and when.
    pub recent_starts: RecentStarts,
    /// For how long the present runs of suspects have lived.
    pub survivals: BTreeMap<TaskKey, Survival>,
    /// The ends of runs that count as failures of tasks that may run again.
    pub counted_ends: CountedEnds,
}

impl Snapshot {
    /// Creates the snapshot of the ledger after append `through`.
    pub fn of(ledger: &Ledger, through: u64) -> Self {
        let jobs = ledger.jobs.iter().filter(|(_, job)| !job.is_untouched());
        Self {
            through,
            jobs: jobs.map(|(name, job)| (name.clone(), job.progress.clone())).collect(),
            finished: ledger.finished.clone(),
            last_ends: ledger.last_ends.clone(),
            host_orders: ledger.host_orders.clone(),
            maintained: ledger.maintained.clone(),
            completed_waves: ledger.completed_waves.clone(),
            lingering_runs: ledger.lingering_runs.clone(),
            suspects: ledger.suspects.clone(),
            given_up: ledger.given_up.clone(),
            failed_gang_runs: ledger.failed_gang_runs.clone(),
            recent_starts: ledger.recent_starts.clone(),
            survivals: ledger.survivals.clone(),
            counted_ends: ledger.counted_ends.clone(),
        }
    }

    /// Restores the ledger, with the submissions of jobs as they were accepted.
    ///
    /// The submission of an ended job is skipped: its caller sent it again.
    pub fn restore<I>(self, submissions: I) -> Ledger
    where
        I: IntoIterator<Item = Arc<Submission>>,
    {
        let mut ledger = Ledger {
            jobs: BTreeMap::new(),
            finished: self.finished,
            last_ends: self.last_ends,
            host_orders: self.host_orders,
            maintained: self.maintained,
            completed_waves: self.completed_waves,
            lingering_runs: self.lingering_runs,
            suspects: self.suspects,
            given_up: self.given_up,
            failed_gang_runs: self.failed_gang_runs,
            recent_starts: self.recent_starts,
            survivals: self.survivals,
            counted_ends: self.counted_ends,
        };
        let mut progress = self.jobs;
        for submission in submissions {
            let name = submission.job.clone();
            if ledger.finished.contains_key(&name) {
                continue;
            }
            let job = match progress.remove(&name) {
                Some(progress) => Job::with_progress(submission, progress),
                None => Job::new(submission),
            };
            ledger.jobs.insert(name, job);
        }
        ledger
    }
}
