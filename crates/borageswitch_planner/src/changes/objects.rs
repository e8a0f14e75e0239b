//! Creates, changes and deletes pools, services, hosts, teams and callers.

use borageswitch_types::{
    Fleet,
    fleet::{Host, HostPhase, HostSpec, LeaveReason, Pool, Refusal, Service, Team},
    names::{CallerName, HostName, PoolName, ServiceName, TeamName},
};

use crate::{
    capacity,
    changes::{
        find_host, hosts::describe_phase, invalid, site, skip_in_waves, unknown, wrong_state,
    },
};

pub(super) fn set_pool(fleet: &mut Fleet, name: &PoolName, spec: &Pool) -> Result<(), Refusal> {
    site::check_name("pool", name.as_str())?;
    fleet.pools.insert(name.clone(), spec.clone());
    Ok(())
}

pub(super) fn remove_pool(fleet: &mut Fleet, name: &PoolName) -> Result<(), Refusal> {
    if !fleet.pools.contains_key(name) {
        return Err(unknown("pool", name.as_str()));
    }
    check_pool_unused(fleet, name)?;
    fleet.pools.remove(name);
    Ok(())
}

/// Refuses if a host or service belongs to the pool, or a host is moving to it.
pub(super) fn check_pool_unused(fleet: &Fleet, pool: &PoolName) -> Result<(), Refusal> {
    if let Some((service, _)) = fleet.services.iter().find(|(_, service)| service.pool == *pool) {
        return Err(wrong_state("pool", format!("service '{service}' stands in '{pool}'")));
    }
    let uses_pool = |host: &Host| host.pool == *pool || destination(host) == Some(pool);
    match fleet.hosts.iter().find(|(_, host)| uses_pool(host)) {
        Some((host, _)) => {
            Err(wrong_state("pool", format!("host '{host}' stands in '{pool}' or goes there")))
        }
        None => Ok(()),
    }
}

fn destination(host: &Host) -> Option<&PoolName> {
    match &host.phase {
        HostPhase::Leaving { why: LeaveReason::Move { to } } => Some(to),
        _ => None,
    }
}

pub(super) fn set_service(
    fleet: &mut Fleet,
    name: &ServiceName,
    spec: &Service,
) -> Result<(), Refusal> {
    site::check_name("service", name.as_str())?;
    site::check_service("spec", spec)?;
    if !fleet.pools.contains_key(&spec.pool) {
        return Err(unknown("spec.pool", spec.pool.as_str()));
    }
    let before = fleet.services.insert(name.clone(), spec.clone());
    if !is_budget_at_most(before.as_ref(), spec) {
        capacity::check_installed(fleet, &spec.pool)?;
    }
    Ok(())
}

/// Whether the new budget of a service is at most as strict as the old one.
pub(super) fn is_budget_at_most(before: Option<&Service>, after: &Service) -> bool {
    before.is_some_and(|before| {
        before.pool == after.pool
            && before.survives == after.survives
            && before.promised_slots >= after.promised_slots
    })
}

pub(super) fn remove_service(fleet: &mut Fleet, name: &ServiceName) -> Result<(), Refusal> {
    match fleet.services.remove(name) {
        Some(_) => Ok(()),
        None => Err(unknown("service", name.as_str())),
    }
}

pub(super) fn add_host(
    fleet: &mut Fleet,
    name: &HostName,
    spec: &HostSpec,
    pool: &PoolName,
) -> Result<(), Refusal> {
    site::check_name("host", name.as_str())?;
    site::check_spec("spec", spec)?;
    if !fleet.pools.contains_key(pool) {
        return Err(unknown("pool", pool.as_str()));
    }
    if fleet.hosts.contains_key(name) {
        return Err(wrong_state("host", format!("'{name}' exists already")));
    }
    let addresses = |host: &Host| [host.spec.addresses.target, host.spec.addresses.agent];
    let new_addresses = [spec.addresses.target, spec.addresses.agent];
    let has_same_address =
        |host: &Host| addresses(host).iter().any(|address| new_addresses.contains(address));
    if let Some((other, _)) = fleet.hosts.iter().find(|(_, host)| has_same_address(host)) {
        let why = format!("an address belongs to '{other}' already");
        return Err(invalid("spec.addresses", &why));
    }
    fleet.hosts.insert(name.clone(), Host::serving(spec.clone(), pool.clone()));
    Ok(())
}

pub(super) fn remove_host(fleet: &mut Fleet, name: &HostName) -> Result<(), Refusal> {
    let host = find_host(fleet, name)?;
    if !matches!(host.phase, HostPhase::Held { .. } | HostPhase::Failed { .. }) {
        let state = describe_phase(host);
        return Err(wrong_state("host", format!("'{name}' is {state}; hold it first")));
    }
    fleet.hosts.remove(name);
    skip_in_waves(fleet, name, "it was removed");
    Ok(())
}

pub(super) fn set_team(fleet: &mut Fleet, name: &TeamName, spec: &Team) -> Result<(), Refusal> {
    site::check_name("team", name.as_str())?;
    site::check_team("spec", spec)?;
    fleet.teams.insert(name.clone(), spec.clone());
    Ok(())
}

pub(super) fn remove_team(fleet: &mut Fleet, name: &TeamName) -> Result<(), Refusal> {
    if fleet.teams.remove(name).is_none() {
        return Err(unknown("team", name.as_str()));
    }
    fleet.callers.retain(|_, team| team != name);
    Ok(())
}

pub(super) fn set_caller(
    fleet: &mut Fleet,
    caller: &CallerName,
    team: &TeamName,
) -> Result<(), Refusal> {
    site::check_name("caller", caller.as_str())?;
    if !fleet.teams.contains_key(team) {
        return Err(unknown("team", team.as_str()));
    }
    fleet.callers.insert(caller.clone(), team.clone());
    Ok(())
}

pub(super) fn set_entries_expected(fleet: &mut Fleet, entries: u16) -> Result<(), Refusal> {
    if entries == 0 {
        return Err(invalid("entries", "at least one entry daemon must be expected"));
    }
    fleet.entries_expected = entries;
    Ok(())
}
