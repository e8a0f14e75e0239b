//! Starts that are decided and not answered yet; how many there may be,
//! [`crate::policy::start_window`] decides.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use borageswitch_types::{Time, names::PoolName};

use crate::{event::StartResponse, policy::start_window::StartWindow, task::TaskKey};

/// The starts on their way, from the decision to the answer.
#[derive(Debug, Default)]
pub struct Starting {
    runs: BTreeMap<TaskKey, u32>,
    window: StartWindow,
    /// Pools in which tasks wait for an answer, as no more could be decided.
    held_back: BTreeSet<PoolName>,
}

impl Starting {
    /// How many more may be decided.
    pub(super) fn left(&self) -> usize {
        self.window.available(self.runs.len())
    }

    /// Tasks of a pool wait until a start is answered.
    pub(super) fn hold_back(&mut self, pool: &PoolName) {
        self.held_back.insert(pool.clone());
    }

    /// The pools in which more may be decided now.
    pub(super) fn take_held_back(&mut self) -> BTreeSet<PoolName> {
        std::mem::take(&mut self.held_back)
    }

    pub(super) fn decided(&mut self, task: &TaskKey, run: u32) {
        self.runs.insert(task.clone(), run);
    }

    /// A start was answered, or got no answer, after `took`.
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
        self.over(task, run);
    }

    /// A run is over or was never begun.
    pub(super) fn over(&mut self, task: &TaskKey, run: u32) {
        if self.runs.get(task) == Some(&run) {
            self.runs.remove(task);
        }
    }
}
