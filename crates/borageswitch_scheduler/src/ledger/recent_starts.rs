//! The runs that were assigned in the last seconds, and when.
//!
//! A leader knows how old the runs are that it has started itself. Of those of its predecessors it
//! knows only what is stored. Each append therefore carries the time at which it was sent: a run
//! is started only once its assignment is stored, so it is at most as old as that append.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use borageswitch_types::time::UnixMillis;

use crate::{ledger::record::Record, task::TaskKey};

/// How long the time of an assignment is kept. Starts are not held responsible for anything that
/// may have happened later.
pub const RETENTION: Duration = Duration::from_secs(10);

#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
struct Batch {
    at: UnixMillis,
    runs: Vec<(TaskKey, u32)>,
}

/// The recent assignments, in the order in which they were stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RecentStarts {
    batches: VecDeque<Batch>,
}

impl RecentStarts {
    /// Notes the assignments among the records of an append that was sent at `at`, by the wall
    /// clock of the leader; at 0 the time is not known.
    pub(super) fn note(&mut self, at: UnixMillis, records: &[Record]) {
        let is_kept = |batch: &Batch| {
            // Times that lie ahead are those of a clock that has been set back since.
            batch.at <= at && at.0 - batch.at.0 <= RETENTION.as_millis() as u64
        };
        self.batches.retain(is_kept);
        if at.0 == 0 {
            return;
        }
        let assigned = records.iter().filter_map(|record| match record {
            Record::Assigned { task, run, .. } => Some((task.clone(), *run)),
            _ => None,
        });
        let runs: Vec<(TaskKey, u32)> = assigned.collect();
        if !runs.is_empty() {
            self.batches.push_back(Batch { at, runs });
        }
    }

    /// Returns how long each of the runs can have existed at most: a run that was carried over to
    /// another incarnation of its executor counts from its first assignment.
    pub fn max_ages(&self, now: UnixMillis) -> BTreeMap<(TaskKey, u32), Duration> {
        let mut ages = BTreeMap::new();
        for batch in self.batches.iter().filter(|batch| batch.at <= now) {
            let age = Duration::from_millis(now.0 - batch.at.0);
            for run in &batch.runs {
                ages.entry(run.clone()).or_insert(age);
            }
        }
        ages
    }
}
