//! Maintenance waves: which hosts are rebooted, how carefully, and how far it has come.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{fleet::Reason, names::HostName};

/// What a wave weighs against what, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct WaveWeights {
    /// Spare hosts held idle.
    pub buffer_cost: u32,
    /// The time until the wave has finished.
    pub roll_out_time: u32,
    /// Hosts that change pool.
    pub moves: u32,
}

impl Default for WaveWeights {
    fn default() -> Self {
        Self { buffer_cost: 400, roll_out_time: 400, moves: 200 }
    }
}

/// How carefully a wave goes about its work.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct WaveSettings {
    /// How many hosts may fail before the wave halts itself.
    pub max_failures: u32,
    /// How many hosts go alone, one in each rack, before batches begin.
    pub canaries: u32,
    /// The most hosts that are out of service for the wave at once.
    pub max_batch: u32,
    /// How long a host that is back is watched before it counts again.
    pub trial: Duration,
    /// How long a reboot may take before the host counts as failed.
    pub reboot_timeout: Duration,
    /// What is weighed against what.
    pub weights: WaveWeights,
}

impl Default for WaveSettings {
    fn default() -> Self {
        Self {
            max_failures: 2,
            canaries: 1,
            max_batch: 16,
            trial: Duration::from_secs(10),
            reboot_timeout: Duration::from_secs(600),
            weights: WaveWeights::default(),
        }
    }
}

/// How a wave stands.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum WaveStatus {
    /// Hosts are taken out as budgets allow.
    Running,
    /// An operator has stopped it; hosts that are out come back first.
    Paused,
    /// It has stopped itself.
    Halted {
        /// What was seen.
        reason: Reason,
    },
    /// An operator has given it up; hosts that are out come back first.
    Aborting,
    /// Nothing is left to do.
    Finished,
}

/// A maintenance wave.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Wave {
    /// How carefully it goes about its work.
    pub settings: WaveSettings,
    /// How it stands.
    pub status: WaveStatus,
    /// Hosts not yet taken out.
    pub pending: BTreeSet<HostName>,
    /// Hosts that are out: leaving, rebooting or on trial.
    pub out: BTreeSet<HostName>,
    /// Hosts that serve again.
    pub done: BTreeSet<HostName>,
    /// Hosts that were written off, with what was seen.
    pub failed: BTreeMap<HostName, Reason>,
    /// Hosts that the wave passed over, with the reason.
    #[serde(default)]
    pub skipped: BTreeMap<HostName, Reason>,
}
