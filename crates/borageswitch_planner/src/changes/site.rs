//! Replaces the declared configuration of the whole site.

use std::{collections::BTreeMap, net::SocketAddr};

use borageswitch_types::{
    Fleet,
    fleet::{Host, HostPhase, HostSpec, Refusal, Service, SiteConfig, Team},
    names::{self, HostName},
};

use crate::{
    capacity,
    changes::{
        hosts::describe_phase,
        invalid,
        objects::{check_pool_unused, is_budget_at_most},
        skip_in_waves, unknown, wrong_state,
    },
};

pub(super) fn apply_site(fleet: &mut Fleet, site: &SiteConfig) -> Result<(), Refusal> {
    check_site(site)?;
    let removed = removed_hosts(fleet, site)?;
    let before = std::mem::replace(&mut fleet.services, site.services.clone());
    for name in &removed {
        fleet.hosts.remove(name);
        skip_in_waves(fleet, name, "it was removed");
    }
    check_removed_pools(fleet, site)?;
    fleet.entries_expected = site.entries_expected;
    fleet.power_cap = site.power_cap;
    fleet.pools = site.pools.clone();
    fleet.teams = site.teams.clone();
    fleet.callers = site.callers.clone();
    for (name, (spec, pool)) in &site.hosts {
        declare_host(fleet, name, spec, pool);
    }
    let raised = site
        .services
        .iter()
        .filter(|(name, service)| !is_budget_at_most(before.get(*name), service));
    for (_, service) in raised {
        capacity::check_installed(fleet, &service.pool)?;
    }
    Ok(())
}

/// Known hosts keep their pool and phase. A changed specification begins a new epoch, which
/// invalidates the slots that were allocated under the old one.
fn declare_host(fleet: &mut Fleet, name: &HostName, spec: &HostSpec, pool: &names::PoolName) {
    match fleet.hosts.get_mut(name) {
        Some(known) if known.spec == *spec => {}
        Some(known) => {
            known.spec = spec.clone();
            known.epoch += 1;
        }
        None => {
            fleet.hosts.insert(name.clone(), Host::serving(spec.clone(), pool.clone()));
        }
    }
}

fn removed_hosts(fleet: &Fleet, site: &SiteConfig) -> Result<Vec<HostName>, Refusal> {
    let removed = fleet.hosts.iter().filter(|(name, _)| !site.hosts.contains_key(*name));
    let mut names = Vec::new();
    for (name, host) in removed {
        if !matches!(host.phase, HostPhase::Held { .. } | HostPhase::Failed { .. }) {
            let why = format!(
                "'{name}' is no longer declared but is {}; hold it first",
                describe_phase(host)
            );
            return Err(wrong_state("hosts", why));
        }
        names.push(name.clone());
    }
    Ok(names)
}

/// Refuses to remove a pool that a known host belongs to or is moving to.
fn check_removed_pools(fleet: &Fleet, site: &SiteConfig) -> Result<(), Refusal> {
    let removed = fleet.pools.keys().filter(|pool| !site.pools.contains_key(*pool));
    removed.into_iter().try_for_each(|pool| check_pool_unused(fleet, pool))
}

fn check_site(site: &SiteConfig) -> Result<(), Refusal> {
    if site.entries_expected == 0 {
        return Err(invalid("entries_expected", "at least one entry daemon must be expected"));
    }
    for name in site.pools.keys() {
        check_name("pools", name.as_str())?;
    }
    for (name, service) in &site.services {
        check_name("services", name.as_str())?;
        check_service(&format!("services.{name}"), service)?;
        if !site.pools.contains_key(&service.pool) {
            return Err(unknown(&format!("services.{name}.pool"), service.pool.as_str()));
        }
    }
    for (name, team) in &site.teams {
        check_name("teams", name.as_str())?;
        check_team(&format!("teams.{name}"), team)?;
    }
    for (caller, team) in &site.callers {
        check_name("callers", caller.as_str())?;
        if !site.teams.contains_key(team) {
            return Err(unknown(&format!("callers.{caller}"), team.as_str()));
        }
    }
    check_hosts(site)
}

fn check_hosts(site: &SiteConfig) -> Result<(), Refusal> {
    let mut addresses: BTreeMap<SocketAddr, &HostName> = BTreeMap::new();
    for (name, (spec, pool)) in &site.hosts {
        check_name("hosts", name.as_str())?;
        check_spec(&format!("hosts.{name}"), spec)?;
        if !site.pools.contains_key(pool) {
            return Err(unknown(&format!("hosts.{name}.pool"), pool.as_str()));
        }
        for address in [spec.addresses.target, spec.addresses.agent] {
            if let Some(other) = addresses.insert(address, name) {
                let why = format!("{address} belongs to '{other}' already");
                return Err(invalid(format!("hosts.{name}.addresses"), &why));
            }
        }
    }
    Ok(())
}

pub(super) fn check_name(field: &str, name: &str) -> Result<(), Refusal> {
    names::check_name(name).map_err(|err| invalid(field, &format!("'{name}': {err}")))
}

pub(super) fn check_spec(field: &str, spec: &HostSpec) -> Result<(), Refusal> {
    check_name(&format!("{field}.data_centre"), spec.data_centre.as_str())?;
    check_name(&format!("{field}.rack"), spec.rack.as_str())?;
    if spec.slots == 0 {
        return Err(invalid(format!("{field}.slots"), "a host needs at least one slot"));
    }
    if spec.connections == 0 {
        return Err(invalid(format!("{field}.connections"), "a host needs a connection"));
    }
    if spec.draw.throttled > spec.draw.peak {
        let why = "a throttled host draws no more than at its peak";
        return Err(invalid(format!("{field}.draw.throttled"), why));
    }
    Ok(())
}

pub(super) fn check_service(field: &str, service: &Service) -> Result<(), Refusal> {
    let limits = &service.limits;
    if limits.default_deadline.is_zero() {
        return Err(invalid(format!("{field}.limits.default_deadline"), "it must not be zero"));
    }
    if limits.default_deadline > limits.max_deadline {
        let why = "the default must not be longer than max_deadline";
        return Err(invalid(format!("{field}.limits.default_deadline"), why));
    }
    if limits.retry_permille > 1_000 {
        let why = "a share in thousandths is at most 1000";
        return Err(invalid(format!("{field}.limits.retry_permille"), why));
    }
    Ok(())
}

pub(super) fn check_team(field: &str, team: &Team) -> Result<(), Refusal> {
    if team.weight == 0 {
        return Err(invalid(format!("{field}.weight"), "a weight of 0 would never be served"));
    }
    if team.slot_quota == 0 {
        return Err(invalid(format!("{field}.slot_quota"), "a quota of 0 would never be served"));
    }
    Ok(())
}
