//! Whose turn it is.
//!
//! Load pattern: one team submits thousands of jobs, or cancels them, at once. In a single line
//! everybody would wait behind them, and a cancellation would search the line. Each team has a
//! line of its own, urgent work one before all others, and a job is taken out of its line by key.

use std::collections::BTreeMap;

use borageswitch_types::names::{JobName, TeamName};

use crate::placement::job::{Job, Urgency};

/// The jobs that wait.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Queue {
    urgent: BTreeMap<u64, JobName>,
    normal: BTreeMap<TeamName, BTreeMap<u64, JobName>>,
    low: BTreeMap<TeamName, BTreeMap<u64, JobName>>,
}

impl Queue {
    /// Adds a job.
    pub fn insert(&mut self, job: &Job, sequence: u64, name: &JobName) {
        let line = match job.urgency {
            Urgency::Urgent => &mut self.urgent,
            Urgency::Normal => self.normal.entry(job.team.clone()).or_default(),
            Urgency::Low => self.low.entry(job.team.clone()).or_default(),
        };
        line.insert(sequence, name.clone());
    }

    /// Takes a job out, if it waits.
    pub fn remove(&mut self, job: &Job, sequence: u64) {
        let teams = match job.urgency {
            Urgency::Urgent => {
                self.urgent.remove(&sequence);
                return;
            }
            Urgency::Normal => &mut self.normal,
            Urgency::Low => &mut self.low,
        };
        if let Some(line) = teams.get_mut(&job.team) {
            line.remove(&sequence);
            if line.is_empty() {
                teams.remove(&job.team);
            }
        }
    }

    /// The urgent jobs in their order.
    pub fn urgent(&self) -> impl Iterator<Item = &JobName> {
        self.urgent.values()
    }

    /// The teams that wait.
    pub fn teams(&self) -> impl Iterator<Item = &TeamName> {
        let only_low = self.low.keys().filter(|team| !self.normal.contains_key(*team));
        self.normal.keys().chain(only_low)
    }

    /// The first `most` jobs of a team, normal ones before low ones.
    pub fn of_team(&self, team: &TeamName, most: usize) -> Vec<JobName> {
        let lines = [&self.normal, &self.low];
        let jobs = lines.into_iter().filter_map(|lines| lines.get(team)).flat_map(BTreeMap::values);
        jobs.take(most).cloned().collect()
    }

    /// How many jobs wait.
    pub fn len(&self) -> usize {
        let teams = self.normal.values().chain(self.low.values());
        self.urgent.len() + teams.map(BTreeMap::len).sum::<usize>()
    }

    /// Whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
