//! What an executor tells of itself and of what it runs.
//!
//! An executor is one life of the program that runs tasks on a host. A host that crashes or is
//! maintained comes back as another executor, which runs nothing; where it is registered under the
//! same name as before, its [`life`](crate::life) tells the two apart.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use borageswitch_types::names::{DataCentreName, ExecutorName, PoolName, RackName};

use crate::{job::Size, task::TaskKey};

/// An executor as it is registered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Which life it is.
    pub executor: ExecutorName,
    /// The pool that its host is in.
    pub pool: PoolName,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// It is about to leave and takes nothing new.
    pub draining: bool,
    /// While it drains, the shortest time that it has left.
    pub remaining: Option<Duration>,
    /// What it has in all.
    pub capacity: Size,
    /// Its kind, and its rack among them.
    pub labels: Vec<Arc<str>>,
}

impl Registration {
    /// Whether it carries a label.
    pub fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|own| &**own == label)
    }

    /// Whether it stands in a rack; racks are told as labels.
    pub fn is_in_rack(&self, rack: &RackName) -> bool {
        self.has_label(rack.as_str())
    }

    /// Its rack: the label after the kind.
    pub fn rack(&self) -> Option<&Arc<str>> {
        self.labels.get(1).or(self.labels.first())
    }
}

/// A run that an executor has at this moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveRun {
    /// The task.
    pub task: TaskKey,
    /// Which of its runs.
    pub run: u32,
    /// What it saved last.
    pub checkpoint: Option<Arc<str>>,
    /// How far it is; a lasting task is at work at 100.
    pub percent: u8,
    /// Over the last half second: the tail of response times in milliseconds for a task with a
    /// target, the thousandths of a core in use for any other.
    pub recent: u64,
}

/// How a run ended.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, derive_more::Display,
)]
pub enum EndKind {
    /// Its work is done.
    #[display("done")]
    Done,
    /// It failed, by its own fault or the executor's.
    #[display("failed")]
    Failed,
    /// It was told to stop.
    #[display("stopped")]
    Stopped,
    /// The executor's lease ended.
    #[display("lapsed")]
    Lapsed,
    /// Another member of its gang ended.
    #[display("broken")]
    Broken,
    /// The other members of its gang did not come.
    #[display("alone")]
    Alone,
}

/// An end that an executor lists until it is acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Counts the executor's ends.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// Which of its runs.
    pub run: u32,
    /// How it ended.
    pub how: EndKind,
    /// What it saved last.
    pub checkpoint: Option<Arc<str>>,
}

/// All that an executor says when it is looked at.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct Report {
    /// Its own clock, in milliseconds.
    pub clock_ms: u64,
    /// What it runs.
    pub active: Vec<ActiveRun>,
    /// What ended and is not acknowledged.
    pub ended: Vec<EndedRun>,
}
