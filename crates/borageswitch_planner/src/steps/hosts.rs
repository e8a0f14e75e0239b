//! Carries each host on: drained, rebooted, back, on trial, failed, restarted.
//!
//! Load pattern: single hosts fail all day, and racks and data centres fail at once. Without the
//! limits here a lost rack would have its hosts written off one by one, a fault of a service
//! would have all hosts of its pool written off, and a host that breaks at each start would be
//! started for ever.

use std::{collections::BTreeMap, time::Duration};

use borageswitch_types::{
    agent::AgentCommand,
    fleet::{FleetChange, Host, HostPhase, HostPower, LeaveReason},
    names::{DataCentreName, HostName, OperationId, PoolName, RackName, WaveName},
    time::UnixMillis,
};

use crate::steps::{Plan, waves};

/// How long after its decision a reboot may still begin.
pub(crate) const REBOOT_VALIDITY: Duration = Duration::from_secs(60);
/// By how much the wall clocks of two hosts may differ.
pub(crate) const CLOCK_MARGIN: Duration = Duration::from_secs(10);
/// How long a start may take before the host counts as failed.
pub(crate) const START_TIMEOUT: Duration = Duration::from_secs(600);
/// A host that was silent for this long counts as failed.
pub(crate) const FAIL_AFTER: Duration = Duration::from_secs(120);
/// The hosts of a rack that is silent as a whole count as failed after this time.
pub(crate) const RACK_FAIL_AFTER: Duration = Duration::from_secs(1_800);
/// A failed host that can be reached is restarted after this time.
pub(crate) const RESTART_AFTER: Duration = Duration::from_secs(60);
/// After so many failures in a row a host stays out until an operator releases it.
pub(crate) const MAX_RESTARTS: u16 = 2;
/// Readings of a host's draw are at most so old.
pub(crate) const READING_LAG: Duration = Duration::from_secs(10);
/// If more than one in so many hosts of a pool fail their work, the fault lies not with the hosts.
const FAILING_SHARE: usize = 3;

/// How many hosts fail together, counted once a plan.
struct Faults<'a> {
    racks: BTreeMap<(&'a DataCentreName, &'a RackName), (usize, usize)>,
    failing: BTreeMap<&'a PoolName, (usize, usize)>,
}

pub(crate) fn plan(plan: &mut Plan<'_>) {
    let faults = count_faults(plan);
    for (name, host) in &plan.fleet.hosts {
        if plan.observed.unreachable_for(name).is_zero() {
            plan_power_state(plan, name, host);
        }
        match &host.phase {
            HostPhase::Leaving { why } if plan.observed.drained.contains(name) => {
                finish_leave(plan, name, host, why);
            }
            HostPhase::Serving | HostPhase::Leaving { .. } => watch(plan, name, host, &faults),
            HostPhase::Rebooting { wave, operation, not_after } => {
                let timeout = reboot_timeout(plan, wave);
                reboot(plan, name, host, operation, *not_after, timeout);
            }
            HostPhase::Starting { operation, not_after } => {
                reboot(plan, name, host, operation, *not_after, START_TIMEOUT);
            }
            HostPhase::Trial { wave } => trial(plan, name, host, wave),
            HostPhase::Failed { .. } => restart(plan, name, host),
            HostPhase::Held { .. } | HostPhase::Parked => {}
        }
    }
}

fn count_faults<'a>(plan: &Plan<'a>) -> Faults<'a> {
    let mut faults = Faults { racks: BTreeMap::new(), failing: BTreeMap::new() };
    for (name, host) in &plan.fleet.hosts {
        let rack = faults.racks.entry((&host.spec.data_centre, &host.spec.rack)).or_default();
        rack.0 += usize::from(!plan.observed.unreachable_for(name).is_zero());
        rack.1 += 1;
        let pool = faults.failing.entry(&host.pool).or_default();
        pool.0 += usize::from(plan.observed.failing.contains_key(name));
        pool.1 += 1;
    }
    faults
}

fn reboot_timeout(plan: &Plan<'_>, wave: &WaveName) -> Duration {
    plan.fleet.waves.get(wave).map_or(START_TIMEOUT, |wave| wave.settings.reboot_timeout)
}

fn finish_leave<'a>(plan: &mut Plan<'a>, name: &'a HostName, host: &'a Host, why: &'a LeaveReason) {
    let not_after = valid_until(plan.observed.wall);
    let what = match why {
        LeaveReason::Move { to } => format!("{name} is drained and goes to {to}"),
        LeaveReason::Hold { .. } => format!("{name} is drained and held"),
        LeaveReason::Power => format!("{name} is drained and switched off"),
        LeaveReason::Wave { wave } => {
            // A wave that halts in this plan has its leaving hosts back: what broke the last
            // hosts would break this one.
            let stops = plan.fleet.waves.get(wave).is_none_or(|wave| !waves::may_reboot(wave));
            // The boot surge was set aside when the host began to leave; a cap lowered since then
            // makes the drained host wait here, where it waits for watts and cuts nothing.
            if stops || !plan.power.spend_surge(host) {
                return;
            }
            format!("{name} is drained and reboots for {wave}")
        }
    };
    plan.change_host(name, host, FleetChange::FinishLeave { host: name.clone(), not_after }, what);
}

pub(crate) fn valid_until(wall: UnixMillis) -> UnixMillis {
    UnixMillis(wall.0 + REBOOT_VALIDITY.as_millis() as u64)
}

/// Writes a serving host off once it is surely gone, unless more than hosts has failed.
fn watch<'a>(plan: &mut Plan<'a>, name: &'a HostName, host: &'a Host, faults: &Faults<'a>) {
    let limit = if is_rack_lost(host, faults) { RACK_FAIL_AFTER } else { FAIL_AFTER };
    if plan.observed.unreachable_for(name) >= limit {
        let why = format!("{name} could not be reached for {} s", limit.as_secs());
        return fail(plan, name, host, why);
    }
    let Some(seen) = plan.observed.failing.get(name) else { return };
    let (failing, all) = faults.failing.get(&host.pool).copied().unwrap_or_default();
    if failing == 1 || failing * FAILING_SHARE <= all {
        let why = format!("{name} fails what it is given: {seen}");
        fail(plan, name, host, why);
    }
}

/// Whether every host of the rack is silent: then a switch or the power of the rack is gone, and
/// the hosts will most likely be back together: they are replaced, but written off much later.
fn is_rack_lost(host: &Host, faults: &Faults<'_>) -> bool {
    let rack = (&host.spec.data_centre, &host.spec.rack);
    let (silent, all) = faults.racks.get(&rack).copied().unwrap_or_default();
    all > 1 && silent == all
}

fn fail<'a>(plan: &mut Plan<'a>, name: &'a HostName, host: &'a Host, why: String) {
    let change = FleetChange::FailHost { host: name.clone(), reason: why.as_str().into() };
    plan.change_host(name, host, change, why);
}

fn reboot<'a>(
    plan: &mut Plan<'a>,
    name: &'a HostName,
    host: &'a Host,
    operation: &'a OperationId,
    not_after: UnixMillis,
    timeout: Duration,
) {
    let observed = plan.observed;
    let ready = observed.agents.get(name).is_some_and(|status| status.ready);
    let began = observed.has_done(name, operation);
    let expired = observed.wall.0 > not_after.0 + CLOCK_MARGIN.as_millis() as u64;
    if ready && began {
        let back = FleetChange::HostBack { host: name.clone(), operation: operation.clone() };
        plan.touch(name);
        plan.change(back, format!("{name} is back after its reboot"));
    } else if observed.in_phase_for(name) >= timeout {
        let why = format!("{name} did not come back within {} s", timeout.as_secs());
        fail(plan, name, host, why);
    } else if !expired {
        let command = AgentCommand::Reboot { operation: operation.clone(), not_after };
        plan.command(name, command);
    } else if ready {
        // The agent answers but never began, and refuses to begin by now: the command was lost on
        // its way. Without a new one the host would wait here until its timeout.
        let not_after = valid_until(observed.wall);
        let renew = FleetChange::RenewReboot { host: name.clone(), not_after };
        plan.touch(name);
        plan.change(renew, format!("{name} never got the command to reboot, which is asked again"));
    } else {
        plan.command(name, AgentCommand::Status);
    }
}

fn trial<'a>(plan: &mut Plan<'a>, name: &'a HostName, host: &'a Host, wave: &'a WaveName) {
    let Some(record) = plan.fleet.waves.get(wave) else { return };
    let observed = plan.observed;
    if let Some(seen) = observed.failing.get(name) {
        return fail(plan, name, host, format!("{name} failed its trial: {seen}"));
    }
    let silent = observed.unreachable_for(name);
    if silent >= record.settings.trial.max(FAIL_AFTER) {
        return fail(plan, name, host, format!("{name} went silent on trial"));
    }
    let ready = observed.agents.get(name).is_none_or(|status| status.ready);
    if !ready || !silent.is_zero() {
        plan.command(name, AgentCommand::Status);
        if observed.in_phase_for(name) >= record.settings.trial + record.settings.reboot_timeout {
            fail(plan, name, host, format!("{name} was not ready at the end of its trial"));
        }
        return;
    }
    if observed.in_phase_for(name) >= record.settings.trial {
        plan.touch(name);
        plan.change(
            FleetChange::PassTrial { host: name.clone() },
            format!("{name} did well on trial"),
        );
    }
}

/// Restarts a failed host that can be reached again, a few times.
fn restart<'a>(plan: &mut Plan<'a>, name: &'a HostName, host: &'a Host) {
    let observed = plan.observed;
    let too_soon = observed.in_phase_for(name) < RESTART_AFTER;
    let silent = !observed.unreachable_for(name).is_zero();
    let switching_off = matches!(host.power, HostPower::SwitchingOff { .. });
    if host.failures > MAX_RESTARTS || too_soon || silent || switching_off {
        return;
    }
    if !observed.agents.get(name).is_some_and(|status| status.ready) {
        return plan.command(name, AgentCommand::Status);
    }
    if plan.power.spend_start(host) {
        let not_after = valid_until(observed.wall);
        let start = FleetChange::StartHost { host: name.clone(), not_after };
        let why = format!("{name} answers again after failure {} and is restarted", host.failures);
        plan.touch(name);
        plan.change(start, why);
    }
}

/// Repeats the command that the host's power state waits for, or confirms it.
fn plan_power_state<'a>(plan: &mut Plan<'a>, name: &'a HostName, host: &'a Host) {
    match &host.power {
        HostPower::Throttling { operation } => throttle(plan, name, host, operation),
        HostPower::Lifting { operation } if plan.observed.has_done(name, operation) => {
            let confirm =
                FleetChange::ConfirmThrottle { host: name.clone(), operation: operation.clone() };
            plan.change(confirm, format!("{name} runs unthrottled again"));
        }
        HostPower::Lifting { operation } => {
            let operation = operation.clone();
            plan.command(name, AgentCommand::Throttle { operation, limit_watts: None });
        }
        HostPower::SwitchingOff { operation, .. } => {
            let off = plan.observed.has_done(name, operation)
                && plan.observed.agents.get(name).is_some_and(|status| !status.ready);
            if off {
                let confirm = FleetChange::ConfirmOff { host: name.clone() };
                return plan.change(confirm, format!("{name} is off"));
            }
            plan.command(name, AgentCommand::PowerOff { operation: operation.clone() });
        }
        HostPower::Throttled => throttle_again(plan, name, host),
        HostPower::Full | HostPower::Surging | HostPower::Off => {}
    }
}

/// Repeats a throttle that a host has lost, for instance by a reboot of its own.
///
/// A throttle counts only after a reading has shown it, so a later reading above it means that it
/// is gone, and the site draws watts that may have been given to another host. The command lowers
/// the draw and nothing else, so it needs no intent in the document; its id changes once a minute,
/// or an agent that remembers the last one would do nothing.
fn throttle_again<'a>(plan: &mut Plan<'a>, name: &'a HostName, host: &'a Host) {
    let limit = host.spec.draw.throttled.0;
    let lost = plan.observed.agents.get(name).is_some_and(|status| status.draw_watts > limit);
    if lost {
        let minute = plan.observed.wall.0 / 60_000;
        let operation = OperationId::from(format!("throttle-{name}-{minute}"));
        plan.command(name, AgentCommand::Throttle { operation, limit_watts: Some(limit) });
    }
}

/// A throttle counts once the agent has confirmed it, the readings can show it, and they do: the
/// reading of a moment ago may still be one from before the throttle.
fn throttle<'a>(
    plan: &mut Plan<'a>,
    name: &'a HostName,
    host: &'a Host,
    operation: &'a OperationId,
) {
    let observed = plan.observed;
    let limit = host.spec.draw.throttled.0;
    let settled = observed.done_since.get(name).is_some_and(|(done, since)| {
        done == operation && observed.now.since(*since) >= READING_LAG
    });
    let low = observed.agents.get(name).is_some_and(|status| status.draw_watts <= limit);
    if settled && low && observed.has_done(name, operation) {
        let confirm =
            FleetChange::ConfirmThrottle { host: name.clone(), operation: operation.clone() };
        return plan.change(confirm, format!("{name} is throttled to {limit} W"));
    }
    // Repeated even when it is done: the answer carries the next reading.
    let operation = operation.clone();
    plan.command(name, AgentCommand::Throttle { operation, limit_watts: Some(limit) });
}
