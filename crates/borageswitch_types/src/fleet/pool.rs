//! Pools, the services placed into them, and the teams whose requests they serve.

use std::time::Duration;

use crate::names::PoolName;

/// The kind of failure that a service's capacity must survive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum FailureDomain {
    /// None: the capacity counts as it stands.
    None,
    /// One host.
    Host,
    /// One rack.
    #[default]
    Rack,
    /// One data centre.
    DataCentre,
}

/// A group of hosts that serve the same services.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Pool {
    /// How many hosts the operators want in it; more are given back, fewer are filled up. With 0
    /// the pool is left as operators arrange it.
    pub wanted_hosts: u32,
    /// Whether its hosts stand by to replace failed hosts of other pools.
    pub spare: bool,
    /// Which pools keep their hosts longest when power is short: the highest go last.
    #[serde(default)]
    pub priority: u8,
}

/// How requests of a service are queued, bounded and tried again.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ServiceLimits {
    /// The most requests that wait at one entry.
    pub queue_len: u32,
    /// The deadline of a request that names none.
    pub default_deadline: Duration,
    /// The longest deadline that a request may ask for.
    pub max_deadline: Duration,
    /// The largest body of a request, in bytes.
    pub max_body: u64,
    /// Tries beyond the first, as a share of successes, in thousandths.
    pub retry_permille: u16,
    /// How long the id of a non-idempotent request stays claimed.
    pub claim_window: Duration,
    /// Whether the HTTP method decides that a request is idempotent when no header says so.
    pub method_decides: bool,
}

impl Default for ServiceLimits {
    fn default() -> Self {
        Self {
            queue_len: 4_096,
            default_deadline: Duration::from_secs(10),
            max_deadline: Duration::from_secs(300),
            max_body: 16 << 20,
            retry_permille: 100,
            claim_window: Duration::from_secs(600),
            method_decides: true,
        }
    }
}

/// A service that callers address.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Service {
    /// The pool whose hosts serve it.
    pub pool: PoolName,
    /// The slots that its availability budget promises.
    pub promised_slots: u32,
    /// The failure that leaves the promised slots standing.
    pub survives: FailureDomain,
    /// How requests are queued, bounded and tried again.
    pub limits: ServiceLimits,
}

/// A group of callers with a share of its own.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Team {
    /// Weight against the other teams that wait.
    pub weight: u32,
    /// The most slots of one service that its requests hold at once.
    pub slot_quota: u16,
}
