//! Crashes of executors, as evidence against the tasks that ran there.

use std::{
    fmt,
    time::{Duration, UNIX_EPOCH},
};

use borageswitch_types::{names::ExecutorName, time::UnixMillis};

use crate::{policy::crash_attribution, task::TaskKey};

/// The maximum number of crashes that are kept for a task; the oldest are dropped.
const MAX_KEPT: usize = 32;

/// The age in a crash that is not attributed to the task.
pub const UNATTRIBUTED: u64 = u64::MAX;
/// The minimum time lived in a crash that did not happen: the executor has answered since.
///
/// Earlier versions ignore such an entry, as they know the executor.
const REFUTED: u64 = u64::MAX;

/// The crash of an executor while a task ran there.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Crash {
    /// The executor.
    pub executor: ExecutorName,
    /// When the leader noticed it, by its wall clock.
    pub at: UnixMillis,
    /// The run of the task that was lost with it.
    pub run: u32,
    /// The maximum time that the run had lived, in milliseconds; [`UNATTRIBUTED`] if it is not known,
    /// or if the end of the executor has or may have another cause.
    pub age_ms: u64,
    /// The minimum time that the run had lived, in milliseconds.
    pub lived_ms: u64,
    /// The evidence against the task, in thousandths of a power of ten.
    pub evidence: u32,
}

/// A crash as evidence against one of the tasks that ran there.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Suspicion {
    /// The task.
    pub task: TaskKey,
    /// The crash.
    pub crash: Crash,
}

/// For how long the present run of a suspect is known to have lived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Survival {
    /// The run.
    pub run: u32,
    /// The time in milliseconds.
    pub millis: u64,
}

/// A task that was given up because it crashes executors.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct GivenUp {
    /// The task.
    pub task: TaskKey,
    /// The crashes that counted against it, oldest first.
    pub crashes: Vec<Crash>,
}

impl Crash {
    /// Creates the entry that refutes the crash of an executor.
    pub fn refuted(executor: ExecutorName, at: UnixMillis) -> Self {
        Self { executor, at, run: 0, age_ms: UNATTRIBUTED, lived_ms: REFUTED, evidence: 0 }
    }

    fn is_refuted(&self) -> bool {
        self.lived_ms == REFUTED
    }

    /// Whether the task is known to have run there for at most a certain time, and nothing else is
    /// known that may have ended the executor.
    pub fn is_attributed(&self) -> bool {
        self.age_ms != UNATTRIBUTED
    }

    /// The maximum time that the run had lived, if the crash is attributed to the task.
    pub fn max_age(&self) -> Option<Duration> {
        self.is_attributed().then(|| Duration::from_millis(self.age_ms))
    }
}

impl fmt::Display for Crash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = UNIX_EPOCH + Duration::from_millis(self.at.0);
        let at = humantime::format_rfc3339_millis(at);
        let Self { executor, run, .. } = self;
        match self.max_age() {
            Some(age) => {
                let age_ms = age.as_millis();
                write!(f, "{executor} at {at}, at most {age_ms} ms after the start of run {run}")
            }
            None => write!(f, "{executor} at {at} with run {run}, not attributed to it"),
        }
    }
}

impl fmt::Display for GivenUp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let crashes: Vec<String> = self.crashes.iter().map(Crash::to_string).collect();
        let count = self.crashes.iter().filter(|crash| crash.is_attributed()).count();
        write!(f, "task {} crashed {count} executors: {}", self.task, crashes.join("; "))
    }
}

/// Adds a crash unless it is known, and removes those from which its run exonerates the task. A
/// refuted crash is removed.
///
/// A crash from which an earlier run exonerates the task is not added: a task that crashes executors
/// does so at about the same time after each start.
pub(super) fn add(crashes: &mut Vec<Crash>, crash: &Crash) {
    if crash.is_refuted() {
        crashes.retain(|known| known.executor != crash.executor);
        return;
    }
    if crashes.iter().any(|known| known.executor == crash.executor) {
        return;
    }
    clear_survived(crashes, crash.lived_ms);
    if crashes.iter().any(|earlier| exonerates(earlier.lived_ms, crash)) {
        return;
    }
    crashes.push(crash.clone());
    if crashes.len() > MAX_KEPT {
        crashes.remove(0);
    }
}

/// Removes the crashes from which a run that has lived for `lived_ms` exonerates its task.
pub(super) fn clear_survived(crashes: &mut Vec<Crash>, lived_ms: u64) {
    crashes.retain(|crash| !exonerates(lived_ms, crash));
}

fn exonerates(lived_ms: u64, crash: &Crash) -> bool {
    crash_attribution::exonerates(Duration::from_millis(lived_ms), crash)
}
