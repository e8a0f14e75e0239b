//! Invariants of the fleet document, which hold after any sequence of changes.
//!
//! Each change is checked against these rules before it is applied. This module checks them again
//! over the whole document, so that a gap in those checks stops the daemon that would write the
//! document instead of every daemon that reads it. The cost is one pass over hosts and waves per
//! change.

use std::collections::BTreeMap;

use borageswitch_types::{
    Fleet,
    fleet::{HostPhase, LeaveReason, Wave, WaveStatus},
    names::{HostName, WaveName},
};

/// Asserts that `after`, the result of one change to `before`, satisfies every invariant.
///
/// # Panics
///
/// Panics with the first invariant that is violated.
pub fn assert_invariants(before: &Fleet, after: &Fleet) {
    if let Err(broken) = check(before, after) {
        panic!("a change would break the fleet document: {broken}");
    }
}

/// Checks that `after`, the result of one change to `before`, satisfies every invariant.
///
/// # Errors
///
/// Describes the first violated invariant and where it is violated.
pub fn check(before: &Fleet, after: &Fleet) -> Result<(), String> {
    check_monotonic(before, after)?;
    check_power(before, after)?;
    check_pools(after)?;
    check_epochs(before, after)?;
    let out_hosts = check_waves(after)?;
    check_phases(after, &out_hosts)
}

/// The revision must grow and fencing tokens must not decrease, or a paused holder could undo later
/// changes.
fn check_monotonic(before: &Fleet, after: &Fleet) -> Result<(), String> {
    if after.revision <= before.revision {
        return Err(format!("revision {} follows {}", after.revision, before.revision));
    }
    for (duty, seen) in &before.fences {
        if after.fences.get(duty).is_none_or(|fence| fence < seen) {
            return Err(format!("the fence of {duty} went back"));
        }
    }
    Ok(())
}

/// The reserved power may exceed a cap that was just lowered, but must not grow then.
fn check_power(before: &Fleet, after: &Fleet) -> Result<(), String> {
    let (old, reserved) = (before.reserved_power(), after.reserved_power());
    if reserved > after.power_cap && reserved > old {
        return Err(format!("{reserved} reserved under a cap of {}", after.power_cap));
    }
    Ok(())
}

fn check_pools(fleet: &Fleet) -> Result<(), String> {
    for (name, host) in &fleet.hosts {
        if !fleet.pools.contains_key(&host.pool) {
            return Err(format!("host {name} stands in no pool that exists: {}", host.pool));
        }
        if let HostPhase::Leaving { why: LeaveReason::Move { to } } = &host.phase
            && (!fleet.pools.contains_key(to) || *to == host.pool)
        {
            return Err(format!("host {name} goes to {to}, which is no other pool"));
        }
    }
    match fleet.services.iter().find(|(_, service)| !fleet.pools.contains_key(&service.pool)) {
        Some((name, service)) => Err(format!("service {name} stands in no pool: {}", service.pool)),
        None => Ok(()),
    }
}

/// A change of pool or phase must begin a new epoch, or work of the old pool could count for the
/// new one.
fn check_epochs(before: &Fleet, after: &Fleet) -> Result<(), String> {
    for (name, host) in &after.hosts {
        let Some(old) = before.hosts.get(name) else { continue };
        let same_phase = std::mem::discriminant(&old.phase) == std::mem::discriminant(&host.phase);
        let same = old.pool == host.pool && same_phase;
        if host.epoch < old.epoch || (!same && host.epoch == old.epoch) {
            return Err(format!("host {name} changed but stayed in epoch {}", host.epoch));
        }
        let drained = matches!(
            old.phase,
            HostPhase::Leaving { .. }
                | HostPhase::Held { .. }
                | HostPhase::Failed { .. }
                | HostPhase::Parked
        );
        if old.pool != host.pool && !drained {
            return Err(format!("host {name} changed pool without leaving the old one"));
        }
    }
    Ok(())
}

/// Checks that the host sets of the waves are disjoint. Returns the wave of each host that is out.
fn check_waves(fleet: &Fleet) -> Result<BTreeMap<&HostName, &WaveName>, String> {
    let mut in_wave: BTreeMap<&HostName, &WaveName> = BTreeMap::new();
    let mut out = BTreeMap::new();
    for (name, wave) in &fleet.waves {
        for host in wave.pending.iter().chain(&wave.out) {
            if let Some(other) = in_wave.insert(host, name) {
                return Err(format!("host {host} is in wave {other} and in wave {name}"));
            }
            let ended = wave.done.contains(host)
                || wave.failed.contains_key(host)
                || wave.skipped.contains_key(host);
            if ended {
                return Err(format!("host {host} is both ahead of and behind wave {name}"));
            }
        }
        if !fits_status(wave) {
            return Err(format!("wave {name} has hosts left in a state that allows none"));
        }
        out.extend(wave.out.iter().map(|host| (host, name)));
    }
    Ok(out)
}

fn fits_status(wave: &Wave) -> bool {
    match wave.status {
        WaveStatus::Finished => wave.pending.is_empty() && wave.out.is_empty(),
        WaveStatus::Aborting => wave.pending.is_empty(),
        WaveStatus::Running | WaveStatus::Paused | WaveStatus::Halted { .. } => true,
    }
}

/// Checks that a host is out for a wave exactly if its own phase says so.
fn check_phases(fleet: &Fleet, out: &BTreeMap<&HostName, &WaveName>) -> Result<(), String> {
    for (name, host) in &fleet.hosts {
        let wave = match &host.phase {
            HostPhase::Leaving { why: LeaveReason::Wave { wave } }
            | HostPhase::Rebooting { wave, .. }
            | HostPhase::Trial { wave } => Some(wave),
            _ => None,
        };
        if out.get(name).copied() != wave {
            return Err(format!("host {name} and its wave do not agree: {wave:?}"));
        }
    }
    match out.keys().find(|host| !fleet.hosts.contains_key(**host)) {
        Some(host) => Err(format!("host {host} is out for a wave but does not exist")),
        None => Ok(()),
    }
}
