//! The fleet document: everything that must last, as one value in the platform's store.
//!
//! A region has one document under one key. Each accepted change is one compare-and-swap of that
//! key, so a change is in the document whole or not at all, whoever races whom: a host stands in
//! one pool because it has one [`Host::pool`] field, and two planners cannot both spend the last
//! watt because the reservation of every host is in the value that they both try to replace.
//!
//! The document keeps its last [`RECENT_CHANGES`] changes. They answer three questions: whether
//! a write whose answer was lost took effect, which change a losing operator collided with, and
//! what to send to a peer that is a few revisions behind.

mod change;
mod duty;
mod host;
mod pool;
mod wave;

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
};

use crate::names::{
    CallerName, HostName, OperationId, PoolName, RegionName, ServiceName, TeamName, WaveName,
};

pub use self::{
    change::{AppliedChange, Author, ChangeRequest, FleetChange, Refusal, SiteConfig},
    duty::{Duty, Fence, ParseDutyError},
    host::{Draw, Host, HostPhase, HostPower, HostSpec, LeaveReason},
    pool::{FailureDomain, Pool, Service, ServiceLimits, Team},
    wave::{Wave, WaveSettings, WaveStatus, WaveWeights},
};

/// How many changes the document remembers.
pub const RECENT_CHANGES: usize = 64;

/// The layout of the document; a daemon refuses one that it does not know.
pub const FLEET_FORMAT: u32 = 1;

/// Counts the accepted changes of a region's fleet document; it only grows.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    derive_more::Display,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// The revision after this one.
    pub const fn next(self) -> Revision {
        Revision(self.0 + 1)
    }
}

/// Electric power in watts.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    derive_more::Display,
    derive_more::Add,
    derive_more::Sum,
)]
#[serde(transparent)]
#[display("{_0} W")]
pub struct Watts(pub u64);

/// The fleet document of one region.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Fleet {
    /// The layout, [`FLEET_FORMAT`].
    pub format: u32,
    /// The region that the document describes.
    pub region: RegionName,
    /// How many changes the document has seen.
    pub revision: Revision,
    /// How many entry daemons the region is meant to run; a majority is counted against it.
    pub entries_expected: u16,
    /// The most that all hosts together may draw.
    pub power_cap: Watts,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Pools by name.
    pub pools: BTreeMap<PoolName, Pool>,
    /// Hosts by name.
    pub hosts: BTreeMap<HostName, Host>,
    /// Teams with a quota.
    pub teams: BTreeMap<TeamName, Team>,
    /// The team of each known caller.
    pub callers: BTreeMap<CallerName, TeamName>,
    /// Maintenance waves, ended ones included until they are removed.
    pub waves: BTreeMap<WaveName, Wave>,
    /// The highest fencing number seen for each duty: a write under a lower one is refused.
    pub fences: BTreeMap<Duty, Fence>,
    /// The last changes, oldest first, at most [`RECENT_CHANGES`].
    pub recent: VecDeque<AppliedChange>,
}

impl Fleet {
    /// A document without hosts, pools and services.
    pub fn empty(region: RegionName) -> Self {
        Self {
            format: FLEET_FORMAT,
            region,
            revision: Revision::default(),
            entries_expected: 1,
            power_cap: Watts(0),
            services: BTreeMap::new(),
            pools: BTreeMap::new(),
            hosts: BTreeMap::new(),
            teams: BTreeMap::new(),
            callers: BTreeMap::new(),
            waves: BTreeMap::new(),
            fences: BTreeMap::new(),
            recent: VecDeque::new(),
        }
    }

    /// The change that carried `operation`, if the document still remembers it.
    pub fn find_operation(&self, operation: &OperationId) -> Option<&AppliedChange> {
        self.recent.iter().rev().find(|applied| applied.request.operation == *operation)
    }

    /// The changes after `revision`, oldest first, or nothing if some are forgotten.
    pub fn changes_since(&self, revision: Revision) -> Option<Vec<AppliedChange>> {
        if revision > self.revision {
            return None;
        }
        let missing = (self.revision.0 - revision.0) as usize;
        if missing > self.recent.len() {
            return None;
        }
        Some(self.recent.iter().skip(self.recent.len() - missing).cloned().collect())
    }

    /// What the hosts may draw at the most, as far as it is confirmed.
    pub fn reserved_power(&self) -> Watts {
        self.hosts.values().map(Host::reserved_power).sum()
    }

    /// The hosts that stand in `pool`, in order of their names.
    pub fn hosts_in<'a>(
        &'a self,
        pool: &'a PoolName,
    ) -> impl Iterator<Item = (&'a HostName, &'a Host)> {
        self.hosts.iter().filter(move |(_, host)| host.pool == *pool)
    }
}

/// Where the parts of a host listen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HostAddresses {
    /// The target that answers callers' requests.
    pub target: SocketAddr,
    /// The platform's agent that starts, stops, throttles and reboots.
    pub agent: SocketAddr,
}

/// Why a host is held that the platform is about to take away.
pub const PLATFORM_LEAVES: &str = "the platform's list shows that it leaves";

/// A short explanation that people read.
pub type Reason = Arc<str>;
