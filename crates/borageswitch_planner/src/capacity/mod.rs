//! Pool capacity after the loss of the largest failure domain.
//!
//! The functions here check one pool against the document, as a single change needs. [`Ledger`]
//! maintains the same totals for all pools, so that planning a large fleet counts each host only
//! once.

mod ledger;

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use borageswitch_types::{
    Fleet,
    fleet::{FailureDomain, Host, HostPhase, LeaveReason, Refusal},
    names::{HostName, PoolName},
};

pub use self::ledger::Ledger;

/// Returns the slots of `pool` that remain after the loss of its largest failure domain.
///
/// Only hosts for which `usable` holds are counted.
pub fn surviving_slots<F>(fleet: &Fleet, pool: &PoolName, survives: FailureDomain, usable: F) -> u32
where
    F: Fn(&HostName, &Host) -> bool,
{
    let mut domains: BTreeMap<(&str, &str), u32> = BTreeMap::new();
    for (name, host) in fleet.hosts_in(pool).filter(|(name, host)| usable(name, host)) {
        *domains.entry(domain_of(name, host, survives)).or_default() += u32::from(host.spec.slots);
    }
    let total: u32 = domains.values().sum();
    match survives {
        FailureDomain::None => total,
        _ => total - domains.values().max().copied().unwrap_or(0),
    }
}

/// The failure domain of a host.
pub(crate) fn domain_of<'a>(
    name: &'a HostName,
    host: &'a Host,
    survives: FailureDomain,
) -> (&'a str, &'a str) {
    let data_centre = host.spec.data_centre.as_str();
    match survives {
        FailureDomain::None | FailureDomain::Host => (name.as_str(), ""),
        FailureDomain::Rack => (data_centre, host.spec.rack.as_str()),
        FailureDomain::DataCentre => (data_centre, ""),
    }
}

/// Checks that every service of `pool` keeps its promised slots without the hosts in `without`.
///
/// # Errors
///
/// [`Refusal::BudgetBroken`] with the first service that would not.
pub fn check_budgets(fleet: &Fleet, pool: &PoolName, without: &[&HostName]) -> Result<(), Refusal> {
    check_usable_hosts(fleet, pool, |host, record| {
        record.gives_capacity() && !without.contains(&host)
    })
}

/// Checks that the pool meets its services' budgets with all hosts that belong to it, including
/// those that are out for a wave.
///
/// # Errors
///
/// [`Refusal::BudgetBroken`] with the first service whose budget cannot be met.
pub fn check_installed(fleet: &Fleet, pool: &PoolName) -> Result<(), Refusal> {
    check_usable_hosts(fleet, pool, |_, host| {
        matches!(
            host.phase,
            HostPhase::Serving
                | HostPhase::Rebooting { .. }
                | HostPhase::Trial { .. }
                | HostPhase::Leaving { why: LeaveReason::Wave { .. } }
        )
    })
}

fn check_usable_hosts<F>(fleet: &Fleet, pool: &PoolName, usable: F) -> Result<(), Refusal>
where
    F: Fn(&HostName, &Host) -> bool,
{
    let services = || fleet.services.iter().filter(|(_, service)| service.pool == *pool);
    let promised: u32 = services().map(|(_, service)| service.promised_slots).sum();
    for (name, service) in services() {
        let left = surviving_slots(fleet, pool, service.survives, &usable);
        if left < promised {
            return Err(Refusal::BudgetBroken { service: name.clone(), left, promised });
        }
    }
    Ok(())
}
