//! Starts that are decided but not yet answered. [`crate::policy::start_window`] limits how many
//! there may be.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use borageswitch_types::{Time, names::PoolName};

use crate::{event::StartResponse, policy::start_window::StartWindow, task::TaskKey};

/// The starts in flight, from the decision to the response.
#[derive(Debug, Default)]
pub struct PendingStarts {
    runs: BTreeMap<TaskKey, u32>,
    window: StartWindow,
    /// Pools whose tasks wait because the window was full.
    blocked_pools: BTreeSet<PoolName>,
}

impl PendingStarts {
    /// How many more starts may be decided.
    pub(super) fn remaining(&self) -> usize {
        self.window.available(self.runs.len())
    }

    /// Records that tasks of a pool wait until a start is answered.
    pub(super) fn add_blocked_pool(&mut self, pool: &PoolName) {
        self.blocked_pools.insert(pool.clone());
    }

    /// Takes the pools in which more starts may be decided now.
    pub(super) fn take_blocked_pools(&mut self) -> BTreeSet<PoolName> {
        std::mem::take(&mut self.blocked_pools)
    }

    pub(super) fn begin(&mut self, task: &TaskKey, run: u32) {
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
