//! Starts that are decided and not answered yet; how many there may be,
//! [`crate::policy::start_window`] decides.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use borageswitch_types::{Time, names::PoolName};

use crate::{event::StartAnswer, policy::start_window::StartWindow, task::TaskKey};

/// The starts on their way, from the decision to the answer.
#[derive(Debug, Default)]
pub struct PendingStarts {
    runs: BTreeMap<TaskKey, u32>,
    window: StartWindow,
    /// Pools in which tasks wait for an answer, as no more could be decided.
    blocked_pools: BTreeSet<PoolName>,
}

impl PendingStarts {
    /// How many more may be decided.
    pub(super) fn remaining(&self) -> usize {
        self.window.left(self.runs.len())
    }

    /// Tasks of a pool wait until a start is answered.
    pub(super) fn add_blocked_pool(&mut self, pool: &PoolName) {
        self.blocked_pools.insert(pool.clone());
    }

    /// The pools in which more may be decided now.
    pub(super) fn take_blocked_pools(&mut self) -> BTreeSet<PoolName> {
        std::mem::take(&mut self.blocked_pools)
    }

    pub(super) fn begin(&mut self, task: &TaskKey, run: u32) {
        self.runs.insert(task.clone(), run);
    }

    /// A start was answered, or got no answer, after `took`.
    pub(super) fn answered(
        &mut self,
        now: Time,
        task: &TaskKey,
        run: u32,
        took: Duration,
        answer: StartAnswer,
    ) {
        if !matches!(answer, StartAnswer::Lost | StartAnswer::NotSent) {
            self.window.answered(now, took, self.runs.len());
        }
        self.finish(task, run);
    }

    /// A run is over or was never begun.
    pub(super) fn finish(&mut self, task: &TaskKey, run: u32) {
        if self.runs.get(task) == Some(&run) {
            self.runs.remove(task);
        }
    }
}
