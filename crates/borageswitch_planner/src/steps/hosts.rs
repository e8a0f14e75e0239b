//! Advances each host through its lifecycle: drained, rebooted, back, on trial, failed, restarted.
//!
//! Single hosts fail all day, and racks and data centres fail as a whole. Without the limits here,
//! the hosts of a lost rack would be failed one by one, a fault of a service would fail all hosts
//! of its pool, and a host that breaks at each start would be restarted for ever.

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
/// Maximum difference between the wall clocks of two hosts.
pub(crate) const CLOCK_MARGIN: Duration = Duration::from_secs(10);
/// A host whose start takes longer counts as failed.
pub(crate) const START_TIMEOUT: Duration = Duration::from_secs(600);
/// A host that has been silent for this long counts as failed.
pub(crate) const FAIL_AFTER: Duration = Duration::from_secs(120);
/// The hosts of a completely silent rack count as failed after this time.
pub(crate) const RACK_FAIL_AFTER: Duration = Duration::from_secs(1_800);
/// Delay before a reachable failed host is restarted.
pub(crate) const RESTART_AFTER: Duration = Duration::from_secs(60);
/// A host with more consecutive failures stays out of service until an operator releases it.
pub(crate) const MAX_RESTARTS: u16 = 2;
/// Maximum age of a power reading.
pub(crate) const READING_LAG: Duration = Duration::from_secs(10);
/// If more than one in this many hosts of a pool fail their requests, the cause is assumed to be
/// the service rather than the hosts.
const FAILING_HOSTS_DIVISOR: usize = 3;

/// Counts of faulty hosts and of all hosts per rack and pool, computed once per plan.
struct FaultCounts<'a> {
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
            HostPhase::Serving | HostPhase::Leaving { .. } => {
                check_serving(plan, name, host, &faults);
            }
            HostPhase::Rebooting { wave, operation, not_after } => {
                let timeout = reboot_timeout(plan, wave);
                advance_boot(plan, name, host, operation, *not_after, timeout);
            }
            HostPhase::Starting { operation, not_after } => {
                advance_boot(plan, name, host, operation, *not_after, START_TIMEOUT);
            }
            HostPhase::Trial { wave } => check_trial(plan, name, host, wave),
            HostPhase::Failed { .. } => restart(plan, name, host),
            HostPhase::Held { .. } | HostPhase::Parked => {}
        }
    }
}

fn count_faults<'a>(plan: &Plan<'a>) -> FaultCounts<'a> {
    let mut faults = FaultCounts { racks: BTreeMap::new(), failing: BTreeMap::new() };
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
            // A wave that halts in this plan gets its leaving hosts back, since the cause of the
            // last failures would probably fail this host too.
            let wave_stops = plan.fleet.waves.get(wave).is_none_or(|wave| !waves::may_reboot(wave));
            // The boot surge was earmarked when the host began to leave. If the cap was lowered
            // since then, the drained host waits here for power, where it cuts no requests.
            if wave_stops || !plan.power.reserve_surge(host) {
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

/// Fails a serving host that is lost, unless the fault affects more than single hosts.
fn check_serving<'a>(
    plan: &mut Plan<'a>,
    name: &'a HostName,
    host: &'a Host,
    faults: &FaultCounts<'a>,
) {
    let limit = if is_rack_silent(host, faults) { RACK_FAIL_AFTER } else { FAIL_AFTER };
    if plan.observed.unreachable_for(name) >= limit {
        let why = format!("{name} could not be reached for {} s", limit.as_secs());
        return plan_failure(plan, name, host, why);
    }
    let Some(symptom) = plan.observed.failing.get(name) else { return };
    let (failing, all) = faults.failing.get(&host.pool).copied().unwrap_or_default();
    if failing == 1 || failing * FAILING_HOSTS_DIVISOR <= all {
        let why = format!("{name} fails what it is given: {symptom}");
        plan_failure(plan, name, host, why);
    }
}

/// Whether every host of the rack is silent. The likely cause is a switch or the rack's power
/// supply, and the hosts will probably return together; they are replaced, but fail much later than
/// single hosts.
fn is_rack_silent(host: &Host, faults: &FaultCounts<'_>) -> bool {
    let rack = (&host.spec.data_centre, &host.spec.rack);
    let (silent, all) = faults.racks.get(&rack).copied().unwrap_or_default();
    all > 1 && silent == all
}

fn plan_failure<'a>(plan: &mut Plan<'a>, name: &'a HostName, host: &'a Host, why: String) {
    let change = FleetChange::FailHost { host: name.clone(), reason: why.as_str().into() };
    plan.change_host(name, host, change, why);
}

fn advance_boot<'a>(
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
        plan.mark_changed(name);
        plan.add_change(back, format!("{name} is back after its reboot"));
    } else if observed.in_phase_for(name) >= timeout {
        let why = format!("{name} did not come back within {} s", timeout.as_secs());
        plan_failure(plan, name, host, why);
    } else if !expired {
        let command = AgentCommand::Reboot { operation: operation.clone(), not_after };
        plan.add_command(name, command);
    } else if ready {
        // The agent is ready but never began the reboot and now refuses to, so the command was
        // lost. Without a new command the host would wait until its timeout.
        let not_after = valid_until(observed.wall);
        let renew = FleetChange::RenewReboot { host: name.clone(), not_after };
        plan.mark_changed(name);
        plan.add_change(
            renew,
            format!("{name} never got the command to reboot, which is asked again"),
        );
    } else {
        plan.add_command(name, AgentCommand::Status);
    }
}

fn check_trial<'a>(plan: &mut Plan<'a>, name: &'a HostName, host: &'a Host, wave: &'a WaveName) {
    let Some(record) = plan.fleet.waves.get(wave) else { return };
    let observed = plan.observed;
    if let Some(symptom) = observed.failing.get(name) {
        return plan_failure(plan, name, host, format!("{name} failed its trial: {symptom}"));
    }
    let silent = observed.unreachable_for(name);
    if silent >= record.settings.trial.max(FAIL_AFTER) {
        return plan_failure(plan, name, host, format!("{name} went silent on trial"));
    }
    let ready = observed.agents.get(name).is_none_or(|status| status.ready);
    if !ready || !silent.is_zero() {
        plan.add_command(name, AgentCommand::Status);
        if observed.in_phase_for(name) >= record.settings.trial + record.settings.reboot_timeout {
            plan_failure(plan, name, host, format!("{name} was not ready at the end of its trial"));
        }
        return;
    }
    if observed.in_phase_for(name) >= record.settings.trial {
        plan.mark_changed(name);
        plan.add_change(
            FleetChange::PassTrial { host: name.clone() },
            format!("{name} did well on trial"),
        );
    }
}

/// Restarts a failed host that is reachable again, up to [`MAX_RESTARTS`] times in a row.
fn restart<'a>(plan: &mut Plan<'a>, name: &'a HostName, host: &'a Host) {
    let observed = plan.observed;
    let too_soon = observed.in_phase_for(name) < RESTART_AFTER;
    let silent = !observed.unreachable_for(name).is_zero();
    let switching_off = matches!(host.power, HostPower::SwitchingOff { .. });
    if host.failures > MAX_RESTARTS || too_soon || silent || switching_off {
        return;
    }
    if !observed.agents.get(name).is_some_and(|status| status.ready) {
        return plan.add_command(name, AgentCommand::Status);
    }
    if plan.power.reserve_start(host) {
        let not_after = valid_until(observed.wall);
        let start = FleetChange::StartHost { host: name.clone(), not_after };
        let why = format!("{name} answers again after failure {} and is restarted", host.failures);
        plan.mark_changed(name);
        plan.add_change(start, why);
    }
}

/// Confirms the power state that the host is changing to, or repeats the command for it.
fn plan_power_state<'a>(plan: &mut Plan<'a>, name: &'a HostName, host: &'a Host) {
    match &host.power {
        HostPower::Throttling { operation } => advance_throttle(plan, name, host, operation),
        HostPower::Lifting { operation } if plan.observed.has_done(name, operation) => {
            let confirm =
                FleetChange::ConfirmThrottle { host: name.clone(), operation: operation.clone() };
            plan.add_change(confirm, format!("{name} runs unthrottled again"));
        }
        HostPower::Lifting { operation } => {
            let operation = operation.clone();
            plan.add_command(name, AgentCommand::Throttle { operation, limit_watts: None });
        }
        HostPower::SwitchingOff { operation, .. } => {
            let is_off = plan.observed.has_done(name, operation)
                && plan.observed.agents.get(name).is_some_and(|status| !status.ready);
            if is_off {
                let confirm = FleetChange::ConfirmOff { host: name.clone() };
                return plan.add_change(confirm, format!("{name} is off"));
            }
            plan.add_command(name, AgentCommand::PowerOff { operation: operation.clone() });
        }
        HostPower::Throttled => restore_lost_throttle(plan, name, host),
        HostPower::Full | HostPower::Surging | HostPower::Off => {}
    }
}

/// Repeats a throttle that a host has lost, for example in an unplanned reboot.
///
/// A throttle is confirmed only after a reading has shown it, so a later reading above the limit
/// means that the throttle is lost and the site draws power that may be reserved for another host.
/// The command only lowers the draw, so the document need not record the intent. Its operation id
/// changes once a minute, because an agent ignores an id that it has already executed.
fn restore_lost_throttle<'a>(plan: &mut Plan<'a>, name: &'a HostName, host: &'a Host) {
    let limit = host.spec.draw.throttled.0;
    let lost = plan.observed.agents.get(name).is_some_and(|status| status.draw_watts > limit);
    if lost {
        let minute = plan.observed.wall.0 / 60_000;
        let operation = OperationId::from(format!("throttle-{name}-{minute}"));
        plan.add_command(name, AgentCommand::Throttle { operation, limit_watts: Some(limit) });
    }
}

/// Confirms a throttle once the agent has reported it, that report is older than the readings' lag,
/// and the reading is within the limit: a more recent reading may still date from before the
/// throttle.
fn advance_throttle<'a>(
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
        return plan.add_change(confirm, format!("{name} is throttled to {limit} W"));
    }
    // Repeated even if it is done, because the response carries the next reading.
    let operation = operation.clone();
    plan.add_command(name, AgentCommand::Throttle { operation, limit_watts: Some(limit) });
}
