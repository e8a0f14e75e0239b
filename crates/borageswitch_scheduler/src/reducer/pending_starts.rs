//! Starts that are decided but not yet answered. [`crate::policy::start_window`] limits how many
//! there may be.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use borageswitch_types::{Time, names::PoolName};

use crate::{
    event::StartResponse,
    policy::{start_rate::StartRate, start_window::StartWindow},
    task::TaskKey,
};

/// How long the leader counts as slow after the last sign of it.
const SLOW_LINGER: Duration = Duration::from_secs(1);
/// The starts in flight, from the decision to the response.
#[derive(Debug, Default)]
pub struct PendingStarts {
    runs: BTreeMap<TaskKey, u32>,
    window: StartWindow,
    /// When responses last were slow, or the window was full.
    slow_at: Option<Time>,
    rates: BTreeMap<PoolName, StartRate>,
    /// Pools whose tasks wait because the window was full.
    blocked_pools: BTreeSet<PoolName>,
}

impl PendingStarts {
    /// How many more starts may be decided.
    pub(super) fn remaining(&self) -> usize {
        self.window.available(self.runs.len())
    }

    /// Records that tasks of a pool wait until a start is answered.
    pub(super) fn add_blocked_pool(&mut self, now: Time, pool: &PoolName) {
        self.slow_at = Some(now);
        self.blocked_pools.insert(pool.clone());
    }

    /// Whether tasks have waited for this leader lately, and not just for hosts.
    pub(super) fn is_leader_slow(&self, now: Time) -> bool {
        self.slow_at.is_some_and(|at| now.since(at) < SLOW_LINGER)
    }

    /// Records that tasks of a pool wait.
    pub(super) fn record_waiting(&mut self, now: Time, pool: &PoolName) {
        if let Some(rate) = self.rates.get_mut(pool) {
            rate.record_waiting(now);
        }
    }

    /// The tasks per second that a slow leader starts in a pool.
    pub(super) fn rate_of(&self, now: Time, pool: &PoolName) -> Option<f64> {
        self.rates.get(pool)?.per_second(now)
    }

    /// Takes the pools in which more starts may be decided now.
    pub(super) fn take_blocked_pools(&mut self) -> BTreeSet<PoolName> {
        std::mem::take(&mut self.blocked_pools)
    }

    pub(super) fn begin(&mut self, pool: &PoolName, task: &TaskKey, run: u32) {
        match self.rates.get_mut(pool) {
            Some(rate) => rate.record_start(),
            None => self.rates.entry(pool.clone()).or_default().record_start(),
        }
        self.runs.insert(task.clone(), run);
    }

    /// Handles the response to a start, or its absence, after `took`.
    pub(super) fn answered(
        &mut self,
        now: Time,
        task: &TaskKey,
        run: u32,
        took: Duration,
        answer: StartResponse,
    ) {
        if !matches!(answer, StartResponse::Lost | StartResponse::NotSent) {
            self.window.record_response(now, took, self.runs.len());
            if self.window.is_slow() {
                self.slow_at = Some(now);
            }
        }
        self.finish(task, run);
    }

    /// Removes a run that has ended or never started.
    pub(super) fn finish(&mut self, task: &TaskKey, run: u32) {
        if self.runs.get(task) == Some(&run) {
            self.runs.remove(task);
        }
    }
}
