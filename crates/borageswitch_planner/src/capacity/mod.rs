//! What a pool can carry after the loss of its largest failure domain.
//!
//! The functions here judge one pool by the document alone, as a change must. [`Ledger`] keeps the
//! same tallies for all pools at once, so that a planning step over a large fleet counts each host
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

/// The slots of `pool` that are left after the loss of its largest failure domain.
///
/// `usable` decides which hosts count; a caller that asks "what if" leaves out some more.
pub fn surviving_slots<F>(fleet: &Fleet, pool: &PoolName, survives: FailureDomain, usable: F) -> u32
where
    F: Fn(&HostName, &Host) -> bool,
{
    let mut domains: BTreeMap<(&str, &str), u32> = BTreeMap::new();
    for (name, host) in fleet.hosts_in(pool).filter(|(name, host)| usable(name, host)) {
        *domains.entry(domain_of(name, host, survives)).or_default() += u32::from(host.spec.slots);
    }
    let all: u32 = domains.values().sum();
    match survives {
        FailureDomain::None => all,
        _ => all - domains.values().max().copied().unwrap_or(0),
    }
}

/// What fails together with a host.
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

/// Checks that every service of `pool` keeps its promised slots when `without` are gone.
///
/// # Errors
///
/// [`Refusal::BudgetBroken`] names the first service that would not.
pub fn check_budgets(fleet: &Fleet, pool: &PoolName, without: &[&HostName]) -> Result<(), Refusal> {
    check_counting(fleet, pool, |host, record| record.gives_capacity() && !without.contains(&host))
}

/// Checks that the pool could keep its services' promises with every host that belongs to it,
/// those out for a wave included.
///
/// # Errors
///
/// [`Refusal::BudgetBroken`] names the first service whose promise could not be kept.
pub fn check_installed(fleet: &Fleet, pool: &PoolName) -> Result<(), Refusal> {
    check_counting(fleet, pool, |_, host| {
        matches!(
            host.phase,
            HostPhase::Serving
                | HostPhase::Rebooting { .. }
                | HostPhase::Trial { .. }
                | HostPhase::Leaving { why: LeaveReason::Wave { .. } }
        )
    })
}

fn check_counting<F>(fleet: &Fleet, pool: &PoolName, usable: F) -> Result<(), Refusal>
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
