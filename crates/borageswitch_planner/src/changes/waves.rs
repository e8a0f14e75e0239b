//! Starts, pauses, resumes, aborts and finishes maintenance waves.
//!
//! Hosts that are out when a wave stops return to service first: a host that is rebooting or on
//! trial completes that, and a host that is still leaving serves again.

use std::{collections::BTreeSet, time::Duration};

use borageswitch_types::{
    Fleet,
    fleet::{HostPhase, LeaveReason, Reason, Refusal, Wave, WaveSettings, WaveStatus},
    names::{HostName, WaveName},
};

use crate::changes::{
    find_host, find_wave, hosts::describe_phase, invalid, set_phase, wrong_state,
};

pub(super) fn start(
    fleet: &mut Fleet,
    name: &WaveName,
    hosts: &[HostName],
    settings: &WaveSettings,
) -> Result<(), Refusal> {
    if fleet.waves.contains_key(name) {
        return Err(wrong_state("wave", format!("'{name}' exists already")));
    }
    check_settings(settings)?;
    let pending = match hosts {
        [] => all_eligible_hosts(fleet),
        named => named_hosts(fleet, named)?,
    };
    if pending.is_empty() {
        return Err(invalid("hosts", "no host can go into a wave now"));
    }
    let record = Wave {
        settings: settings.clone(),
        status: WaveStatus::Running,
        pending,
        out: Default::default(),
        done: Default::default(),
        failed: Default::default(),
        skipped: Default::default(),
    };
    fleet.waves.insert(name.clone(), record);
    Ok(())
}

fn check_settings(settings: &WaveSettings) -> Result<(), Refusal> {
    if settings.max_batch == 0 {
        return Err(invalid("settings.max_batch", "at least one host must be allowed out"));
    }
    if settings.reboot_timeout == Duration::ZERO {
        return Err(invalid("settings.reboot_timeout", "a reboot takes longer than nothing"));
    }
    Ok(())
}

/// Checks that a host is in no other wave and in no phase that a wave would have to wait for.
fn check_eligible(fleet: &Fleet, name: &HostName) -> Result<(), String> {
    let Some(host) = fleet.hosts.get(name) else { return Err(format!("'{name}' is unknown")) };
    let unavailable =
        matches!(host.phase, HostPhase::Held { .. } | HostPhase::Failed { .. } | HostPhase::Parked);
    if unavailable {
        return Err(format!("'{name}' is {}", describe_phase(host)));
    }
    let other =
        fleet.waves.iter().find(|(_, wave)| wave.pending.contains(name) || wave.out.contains(name));
    match other {
        Some((wave, _)) => Err(format!("'{name}' is in wave '{wave}' already")),
        None => Ok(()),
    }
}

fn all_eligible_hosts(fleet: &Fleet) -> BTreeSet<HostName> {
    fleet.hosts.keys().filter(|name| check_eligible(fleet, name).is_ok()).cloned().collect()
}

fn named_hosts(fleet: &mut Fleet, named: &[HostName]) -> Result<BTreeSet<HostName>, Refusal> {
    for name in named {
        find_host(fleet, name)?;
        check_eligible(fleet, name).map_err(|why| wrong_state("hosts", why))?;
    }
    Ok(named.iter().cloned().collect())
}

pub(super) fn pause(fleet: &mut Fleet, name: &WaveName) -> Result<(), Refusal> {
    let wave = find_wave(fleet, name)?;
    if wave.status != WaveStatus::Running {
        return Err(wrong_status(name, wave, "paused"));
    }
    wave.status = WaveStatus::Paused;
    for host in cancel_leaving(fleet, name)? {
        find_wave(fleet, name)?.pending.insert(host);
    }
    Ok(())
}

pub(super) fn halt(fleet: &mut Fleet, name: &WaveName, why: &Reason) -> Result<(), Refusal> {
    let wave = find_wave(fleet, name)?;
    if wave.status != WaveStatus::Running {
        return Err(wrong_status(name, wave, "halted"));
    }
    wave.status = WaveStatus::Halted { reason: why.clone() };
    for host in cancel_leaving(fleet, name)? {
        find_wave(fleet, name)?.pending.insert(host);
    }
    Ok(())
}

/// Resuming a halted wave accepts the failures so far: one more failure halts it again.
pub(super) fn resume(fleet: &mut Fleet, name: &WaveName) -> Result<(), Refusal> {
    let wave = find_wave(fleet, name)?;
    match wave.status {
        WaveStatus::Paused | WaveStatus::Halted { .. } => {
            let failed = u32::try_from(wave.failed.len()).unwrap_or(u32::MAX);
            wave.settings.max_failures = wave.settings.max_failures.max(failed);
            wave.status = WaveStatus::Running;
            Ok(())
        }
        _ => Err(wrong_status(name, wave, "resumed")),
    }
}

pub(super) fn abort(fleet: &mut Fleet, name: &WaveName) -> Result<(), Refusal> {
    let wave = find_wave(fleet, name)?;
    if matches!(wave.status, WaveStatus::Aborting | WaveStatus::Finished) {
        return Err(wrong_status(name, wave, "aborted"));
    }
    wave.status = WaveStatus::Aborting;
    for host in cancel_leaving(fleet, name)? {
        find_wave(fleet, name)?.skipped.insert(host, "the wave was aborted".into());
    }
    let wave = find_wave(fleet, name)?;
    for host in std::mem::take(&mut wave.pending) {
        wave.skipped.insert(host, "the wave was aborted".into());
    }
    Ok(())
}

/// Returns hosts that are still leaving for the wave to service, and removes them from its `out`
/// set.
fn cancel_leaving(fleet: &mut Fleet, name: &WaveName) -> Result<Vec<HostName>, Refusal> {
    let out = find_wave(fleet, name)?.out.clone();
    let mut returned = Vec::new();
    for host_name in out {
        let host = find_host(fleet, &host_name)?;
        if matches!(host.phase, HostPhase::Leaving { why: LeaveReason::Wave { .. } }) {
            set_phase(host, HostPhase::Serving);
            returned.push(host_name);
        }
    }
    let wave = find_wave(fleet, name)?;
    wave.out.retain(|host| !returned.contains(host));
    Ok(returned)
}

pub(super) fn finish(fleet: &mut Fleet, name: &WaveName) -> Result<(), Refusal> {
    let wave = find_wave(fleet, name)?;
    if wave.status == WaveStatus::Finished {
        return Err(wrong_status(name, wave, "finished"));
    }
    if !wave.out.is_empty() || !wave.pending.is_empty() {
        return Err(wrong_state("wave", format!("'{name}' has hosts left")));
    }
    wave.status = WaveStatus::Finished;
    Ok(())
}

pub(super) fn remove(fleet: &mut Fleet, name: &WaveName) -> Result<(), Refusal> {
    let wave = find_wave(fleet, name)?;
    if wave.status != WaveStatus::Finished {
        return Err(wrong_status(name, wave, "removed"));
    }
    fleet.waves.remove(name);
    Ok(())
}

pub(super) fn begin_leave(
    fleet: &mut Fleet,
    name: &HostName,
    wave: &WaveName,
) -> Result<(), Refusal> {
    let record = find_wave(fleet, wave)?;
    if record.status != WaveStatus::Running {
        return Err(wrong_state("wave", format!("'{wave}' is not running")));
    }
    if !record.pending.contains(name) {
        return Err(wrong_state("host", format!("'{name}' is not pending in '{wave}'")));
    }
    let host = find_host(fleet, name)?;
    if host.phase != HostPhase::Serving {
        return Err(wrong_state("host", format!("'{name}' is {}", describe_phase(host))));
    }
    let pool = host.pool.clone();
    crate::capacity::check_budgets(fleet, &pool, &[name])?;
    set_phase(
        find_host(fleet, name)?,
        HostPhase::Leaving { why: LeaveReason::Wave { wave: wave.clone() } },
    );
    let record = find_wave(fleet, wave)?;
    record.pending.remove(name);
    record.out.insert(name.clone());
    Ok(())
}

fn wrong_status(name: &WaveName, wave: &Wave, action: &str) -> Refusal {
    wrong_state("wave", format!("'{name}' is {} and cannot be {action}", status_name(&wave.status)))
}

/// The name of a wave's status for messages.
pub(crate) fn status_name(status: &WaveStatus) -> &'static str {
    match status {
        WaveStatus::Running => "running",
        WaveStatus::Paused => "paused",
        WaveStatus::Halted { .. } => "halted",
        WaveStatus::Aborting => "aborting",
        WaveStatus::Finished => "finished",
    }
}
