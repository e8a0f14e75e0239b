//! Completes what a `set` command leaves out from what the fleet has.

use std::time::Duration;

use borageswitch_types::{
    Fleet,
    fleet::{FailureDomain, FleetChange, Pool, Service, ServiceLimits, Team},
    names::{PoolName, ServiceName, TeamName},
};

use crate::ctl::error::CtlError;

/// What is given of a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct PoolPatch {
    pub(super) wanted_hosts: Option<u32>,
    pub(super) spare: Option<bool>,
    pub(super) priority: Option<u8>,
}

/// What is given of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct ServicePatch {
    pub(super) pool: Option<PoolName>,
    pub(super) promised_slots: Option<u32>,
    pub(super) survives: Option<FailureDomain>,
    pub(super) queue_len: Option<u32>,
    pub(super) default_deadline: Option<Duration>,
    pub(super) max_deadline: Option<Duration>,
    pub(super) max_body: Option<u64>,
    pub(super) retry_permille: Option<u16>,
    pub(super) claim_window: Option<Duration>,
    pub(super) method_decides: Option<bool>,
}

/// What is given of a team.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct TeamPatch {
    pub(super) weight: Option<u32>,
    pub(super) slot_quota: Option<u16>,
}

/// A new thing needs what has no customary value.
fn required<T>(given: Option<T>, argument: &str, kind: &str) -> Result<T, CtlError> {
    given.ok_or_else(|| CtlError::BadInput(format!("{argument}: a new {kind} needs it")))
}

pub(super) fn pool(
    fleet: &Fleet,
    name: &PoolName,
    patch: &PoolPatch,
) -> Result<FleetChange, CtlError> {
    let mut spec = match fleet.pools.get(name) {
        Some(present) => present.clone(),
        None => Pool {
            wanted_hosts: required(patch.wanted_hosts, "--hosts", "pool")?,
            ..Pool::default()
        },
    };
    spec.wanted_hosts = patch.wanted_hosts.unwrap_or(spec.wanted_hosts);
    spec.spare = patch.spare.unwrap_or(spec.spare);
    spec.priority = patch.priority.unwrap_or(spec.priority);
    Ok(FleetChange::SetPool { pool: name.clone(), spec })
}

pub(super) fn service(
    fleet: &Fleet,
    name: &ServiceName,
    patch: &ServicePatch,
) -> Result<FleetChange, CtlError> {
    let mut spec = match fleet.services.get(name) {
        Some(present) => present.clone(),
        None => Service {
            pool: required(patch.pool.clone(), "--pool", "service")?,
            promised_slots: required(patch.promised_slots, "--slots", "service")?,
            survives: FailureDomain::default(),
            limits: ServiceLimits::default(),
        },
    };
    spec.pool = patch.pool.clone().unwrap_or(spec.pool);
    spec.promised_slots = patch.promised_slots.unwrap_or(spec.promised_slots);
    spec.survives = patch.survives.unwrap_or(spec.survives);
    let limits = &mut spec.limits;
    limits.queue_len = patch.queue_len.unwrap_or(limits.queue_len);
    limits.default_deadline = patch.default_deadline.unwrap_or(limits.default_deadline);
    limits.max_deadline = patch.max_deadline.unwrap_or(limits.max_deadline);
    limits.max_body = patch.max_body.unwrap_or(limits.max_body);
    limits.retry_permille = patch.retry_permille.unwrap_or(limits.retry_permille);
    limits.claim_window = patch.claim_window.unwrap_or(limits.claim_window);
    limits.method_decides = patch.method_decides.unwrap_or(limits.method_decides);
    Ok(FleetChange::SetService { service: name.clone(), spec })
}

pub(super) fn team(
    fleet: &Fleet,
    name: &TeamName,
    patch: &TeamPatch,
) -> Result<FleetChange, CtlError> {
    let mut spec = match fleet.teams.get(name) {
        Some(present) => present.clone(),
        None => Team {
            weight: required(patch.weight, "--weight", "team")?,
            slot_quota: required(patch.slot_quota, "--slot-quota", "team")?,
        },
    };
    spec.weight = patch.weight.unwrap_or(spec.weight);
    spec.slot_quota = patch.slot_quota.unwrap_or(spec.slot_quota);
    Ok(FleetChange::SetTeam { team: name.clone(), spec })
}
