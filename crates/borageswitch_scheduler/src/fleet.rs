//! Hosts and maintenance waves as the platform lists them.

use std::{sync::Arc, time::Duration};

use borageswitch_types::names::{ExecutorName, HostName, PoolName};

use crate::job::Size;

/// The state of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum HostState {
    /// It is available to its pool.
    #[display("up")]
    Up,
    /// It is moving to another pool.
    #[display("moving")]
    Moving,
    /// It is being maintained.
    #[display("in maintenance")]
    InMaintenance,
    /// It is unavailable, temporarily or permanently.
    #[display("down")]
    Down,
    /// A state that this version does not know. Nothing is ordered on the host, and its executor may
    /// still run tasks.
    #[display("unknown")]
    Unknown,
    /// The entry cannot be decoded, except for the name of the host and perhaps its executor. Nothing
    /// is ordered on the host, and its executor may still run tasks.
    #[display("unreadable")]
    Unreadable,
}

/// A host as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostEntry {
    /// The unique name of the host.
    pub host: HostName,
    /// The pool that the host is in or moves to.
    pub pool: PoolName,
    /// The current state.
    pub state: HostState,
    /// Labels of the host: its kind and its rack.
    pub labels: Vec<Arc<str>>,
    /// Its total capacity.
    pub capacity: Size,
    /// The name under which its executor is registered, if it has one.
    pub executor: Option<ExecutorName>,
}

/// A maintenance wave that the operator requested.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaveRequest {
    /// The number of the wave.
    pub wave: u64,
    /// The hosts to maintain.
    pub hosts: Vec<HostName>,
    /// How long the wave may take, counted from the request.
    pub allowed: Duration,
    /// The largest number of hosts that may be down for the wave at once.
    pub max_down: u32,
}
