//! Hosts, pools and maintenance waves as the platform lists them.

use std::{sync::Arc, time::Duration};

use borageswitch_types::names::{ExecutorName, HostName, PoolName};

use crate::job::Size;

/// What a host is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum HostState {
    /// It serves its pool.
    #[display("up")]
    Up,
    /// It is on its way into another pool.
    #[display("moving")]
    Moving,
    /// It is being maintained.
    #[display("in maintenance")]
    InMaintenance,
    /// It is gone, for a while or for good.
    #[display("down")]
    Down,
}

/// A host as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostEntry {
    /// The host.
    pub host: HostName,
    /// Its pool.
    pub pool: PoolName,
    /// What it is doing.
    pub state: HostState,
    /// Its kind and its rack.
    pub labels: Vec<Arc<str>>,
    /// What it has in all.
    pub capacity: Size,
    /// The life of its executor, if it has one.
    pub executor: Option<ExecutorName>,
}

/// A maintenance wave that the operator asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaveRequest {
    /// Its number.
    pub wave: u64,
    /// The hosts that are due.
    pub hosts: Vec<HostName>,
    /// How long it may take, from when it was asked for.
    pub allowed: Duration,
    /// How many hosts may be down for it at once.
    pub max_down: u32,
}
