//! Whose turn it is.
//!
//! Load pattern: one team submits thousands of jobs, or cancels them, at once. In a single line
//! everybody would wait behind them, and a cancellation would search the line. Each pool has lines
//! of its own, since room in one helps no job of another; in a pool each team has a line, urgent
//! work one before all others, and a job is taken out of its line by key.

use std::collections::BTreeMap;

use borageswitch_types::names::{JobName, PoolName, TeamName};

use crate::placement::job::{Job, Urgency};

/// The jobs that wait for one pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
struct Lines {
    urgent: BTreeMap<u64, JobName>,
    normal: BTreeMap<TeamName, BTreeMap<u64, JobName>>,
    low: BTreeMap<TeamName, BTreeMap<u64, JobName>>,
}

impl Lines {
    fn of(&mut self, job: &Job) -> &mut BTreeMap<u64, JobName> {
        match job.urgency {
            Urgency::Urgent => &mut self.urgent,
            Urgency::Normal => self.normal.entry(job.team.clone()).or_default(),
            Urgency::Low => self.low.entry(job.team.clone()).or_default(),
        }
    }

    fn drop_line(&mut self, job: &Job) {
        match job.urgency {
            Urgency::Urgent => {}
            Urgency::Normal => {
                self.normal.remove(&job.team);
            }
            Urgency::Low => {
                self.low.remove(&job.team);
            }
        }
    }

    fn is_empty(&self) -> bool {
        self.urgent.is_empty() && self.normal.is_empty() && self.low.is_empty()
    }
}

/// The jobs that wait.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Queue {
    pools: BTreeMap<PoolName, Lines>,
    len: usize,
}

impl Queue {
    /// Adds a job.
    pub fn insert(&mut self, job: &Job, sequence: u64, name: &JobName) {
        let lines = self.pools.entry(job.pool.clone()).or_default();
        if lines.of(job).insert(sequence, name.clone()).is_none() {
            self.len += 1;
        }
    }

    /// Takes a job out, if it waits.
    pub fn remove(&mut self, job: &Job, sequence: u64) {
        let Some(lines) = self.pools.get_mut(&job.pool) else { return };
        let line = lines.of(job);
        if line.remove(&sequence).is_some() {
            self.len -= 1;
        }
        if line.is_empty() {
            lines.drop_line(job);
        }
        if lines.is_empty() {
            self.pools.remove(&job.pool);
        }
    }

    /// The pools for which jobs wait.
    pub fn pools(&self) -> impl Iterator<Item = &PoolName> {
        self.pools.keys()
    }

    /// The urgent jobs of a pool in their order.
    pub fn urgent(&self, pool: &PoolName) -> impl Iterator<Item = &JobName> {
        self.pools.get(pool).into_iter().flat_map(|lines| lines.urgent.values())
    }

    /// The teams that wait for a pool.
    pub fn teams(&self, pool: &PoolName) -> impl Iterator<Item = &TeamName> {
        self.pools.get(pool).into_iter().flat_map(|lines| {
            let only_low = lines.low.keys().filter(|team| !lines.normal.contains_key(*team));
            lines.normal.keys().chain(only_low)
        })
    }

    /// The first `most` jobs of a team for a pool, normal ones before low ones.
    pub fn of_team(&self, pool: &PoolName, team: &TeamName, most: usize) -> Vec<JobName> {
        let Some(lines) = self.pools.get(pool) else { return Vec::new() };
        let lines = [&lines.normal, &lines.low];
        let jobs = lines.into_iter().filter_map(|lines| lines.get(team)).flat_map(BTreeMap::values);
        jobs.take(most).cloned().collect()
    }

    /// How many jobs wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}
