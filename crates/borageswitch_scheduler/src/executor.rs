//! Registrations of executors and their reports on runs.
//!
//! An executor is one incarnation of the process that runs tasks on a host. After a crash or
//! maintenance, a host comes back with a new executor, which has no runs. If it registers under the
//! same name as before, its [`incarnation`](crate::incarnation) distinguishes the two.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use borageswitch_types::names::{DataCentreName, ExecutorName, PoolName, RackName};

use crate::{job::Size, task::TaskKey};

/// An executor as it is registered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// The incarnation of the executor.
    pub executor: ExecutorName,
    /// The pool of its host.
    pub pool: PoolName,
    /// Where it accepts orders.
    pub address: SocketAddr,
    /// The data centre of its host.
    pub data_centre: DataCentreName,
    /// It will shut down soon and accepts no new runs.
    pub draining: bool,
    /// While it drains, the least time until it shuts down.
    pub remaining: Option<Duration>,
    /// Its total capacity.
    pub capacity: Size,
    /// Labels of the host, among them its kind and its rack.
    pub labels: Vec<Arc<str>>,
}

impl Registration {
    /// Returns whether the host has a label.
    pub fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|own| &**own == label)
    }

    /// Returns whether the host is in a rack. Racks are given as labels.
    pub fn is_in_rack(&self, rack: &RackName) -> bool {
        self.has_label(rack.as_str())
    }

    /// Returns the rack: the label after the kind, or the only label.
    pub fn rack(&self) -> Option<&Arc<str>> {
        self.labels.get(1).or(self.labels.first())
    }
}

/// A run that is active on an executor.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ActiveRun {
    /// The task of the run.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
    /// The last checkpoint that the run saved.
    pub checkpoint: Option<Arc<str>>,
    /// Progress in percent. A lasting task works normally at 100.
    pub percent: u8,
    /// Measurement over the last half second: for a task with a target, its tail response time in
    /// milliseconds; for any other task, its processor use in thousandths of a core.
    pub recent: u64,
}

/// How a run ended.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, derive_more::Display,
)]
pub enum EndKind {
    /// It completed its work.
    #[display("done")]
    Done,
    /// It failed, by a fault of the task or of the executor.
    #[display("failed")]
    Failed,
    /// It was stopped by an order.
    #[display("stopped")]
    Stopped,
    /// The executor's lease expired.
    #[display("lapsed")]
    LeaseExpired,
    /// Another member of its gang ended.
    #[display("broken")]
    GangBroken,
    /// The other members of its gang did not start.
    #[display("alone")]
    GangIncomplete,
}

/// An ended run, which an executor reports until it is acknowledged.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EndedRun {
    /// The sequence number among the ended runs of the executor.
    pub number: u64,
    /// The task of the run.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
    /// The reason of the end.
    pub how: EndKind,
    /// The last checkpoint that the run saved.
    pub checkpoint: Option<Arc<str>>,
}

/// The response of an executor to a poll.
#[derive(Clone, Debug, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// The executor's clock, in milliseconds.
    pub clock_ms: u64,
    /// All active runs.
    pub active: Vec<ActiveRun>,
    /// Ended runs that are not acknowledged, those with the lowest numbers first.
    pub ended: Vec<EndedRun>,
    /// Whether more runs may have ended than `ended` lists. The executor lists the others once these
    /// are acknowledged.
    pub more_ended: bool,
}
