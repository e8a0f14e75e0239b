//! Executors that crashed while a task ran there.

use std::{
    fmt,
    time::{Duration, UNIX_EPOCH},
};

use borageswitch_types::{names::ExecutorName, time::UnixMillis};

use crate::{policy::crash_attribution, task::TaskKey};

/// The most crashes that are kept of one task, the newest ones.
const MOST_KEPT: usize = 32;

/// One executor that crashed while a task ran there.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Crash {
    /// The executor.
    pub executor: ExecutorName,
    /// When the leader learned of it, by its wall clock.
    pub at: UnixMillis,
    /// The run that went with it.
    pub run: u32,
    /// How long that run was there at most, in milliseconds.
    pub age_ms: u64,
    /// How long it was there at least, in milliseconds.
    pub lived_ms: u64,
    /// How strongly it speaks against the task, in thousandths of a power of ten.
    pub evidence: u32,
}

/// What a crash means for one of the tasks that ran there.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Suspicion {
    /// The task.
    pub task: TaskKey,
    /// The crash.
    pub crash: Crash,
}

/// A task that was given up because executors crash under it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct GivenUp {
    /// The task.
    pub task: TaskKey,
    /// The crashes that spoke against it, oldest first.
    pub crashes: Vec<Crash>,
}

impl fmt::Display for Crash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = UNIX_EPOCH + Duration::from_millis(self.at.0);
        let at = humantime::format_rfc3339_millis(at);
        let Self { executor, run, age_ms, .. } = self;
        write!(f, "{executor} at {at}, at most {age_ms} ms after the start of run {run}")
    }
}

impl fmt::Display for GivenUp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let crashes: Vec<String> = self.crashes.iter().map(Crash::to_string).collect();
        let count = crashes.len();
        write!(f, "task {} crashed {count} executors: {}", self.task, crashes.join("; "))
    }
}

/// Adds a crash unless it is known, and drops those that its run has outlived.
pub(super) fn add(crashes: &mut Vec<Crash>, crash: &Crash) {
    if crashes.iter().any(|known| known.executor == crash.executor) {
        return;
    }
    outlive(crashes, crash.lived_ms);
    crashes.push(crash.clone());
    if crashes.len() > MOST_KEPT {
        crashes.remove(0);
    }
}

/// Drops the crashes that a run of the task has outlived.
pub(super) fn outlive(crashes: &mut Vec<Crash>, lived_ms: u64) {
    let lived = Duration::from_millis(lived_ms);
    crashes.retain(|crash| !crash_attribution::refutes(lived, crash));
}
