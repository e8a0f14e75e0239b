//! What the traffic threads know of the fleet: a snapshot that the reducer publishes.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    fleet::{Revision, ServiceLimits},
    names::{CallerName, DaemonName, HostName, ServiceName, TeamName},
};

/// Whether a target may be given new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
pub enum TargetState {
    /// New requests may be sent.
    Open,
    /// New requests may be sent, few at first: the host has just come back.
    Warming,
    /// No new request may be sent; those in flight end by themselves.
    Leaving,
}

/// One target of a service as one entry sees it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct TargetView {
    /// The host on which the target runs.
    pub host: HostName,
    /// Where the target listens.
    pub address: SocketAddr,
    /// How often the host has changed its assignment.
    pub epoch: u64,
    /// Whether new requests may be sent.
    pub state: TargetState,
    /// How many requests the target runs at once, for all entries together.
    pub slots: u16,
    /// How many of the slots are this entry's without asking.
    pub dealt_slots: u16,
    /// How many connections this entry may open.
    pub dealt_connections: u16,
}

/// One service as one entry sees it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct ServiceView {
    /// Queue lengths, times and shares.
    pub limits: ServiceLimits,
    /// The slots that the availability budget promises: how many failing targets may be set aside
    /// follows from it.
    pub promised_slots: u32,
    /// The targets, by host.
    pub targets: BTreeMap<HostName, TargetView>,
}

/// The share of a team in the queue of every service.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct TeamShare {
    /// Weight against the other teams that wait.
    pub weight: u32,
    /// The most slots of one service that the team's requests may hold at once.
    pub slot_quota: u16,
}

/// What the traffic threads know of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct TrafficView {
    /// The revision of the fleet document from which the view is made.
    pub revision: Revision,
    /// False while the daemon must take no new work: it is stopping, or its view may be stale.
    pub admitting: bool,
    /// When [`Self::admitting`] is false: how soon a caller may come back.
    pub retry_after: Duration,
    /// This daemon.
    pub me: DaemonName,
    /// Every live entry, this one included, in order.
    pub entries: Arc<[DaemonName]>,
    /// The services, by name.
    pub services: BTreeMap<ServiceName, ServiceView>,
    /// The teams with a quota, by name.
    pub teams: BTreeMap<TeamName, TeamShare>,
    /// The team of each known caller.
    pub callers: BTreeMap<CallerName, TeamName>,
}
