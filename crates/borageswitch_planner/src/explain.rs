//! Explains in plain sentences why a host, a pool or a wave waits.
//!
//! The explanations use the planner's own checks on the same document and observations, so they
//! cannot contradict its decisions.

use std::time::Duration;

use borageswitch_types::{
    Fleet,
    fleet::{
        FleetChange, Host, HostPhase, HostPower, LeaveReason, Reason, Watts, Wave, WaveStatus,
    },
    names::{HostName, PoolName, WaveName},
};

use crate::{
    changes::{describe_phase, status_name},
    steps::{
        Observed, Plan, Step,
        hosts::{
            CLOCK_MARGIN, FAIL_AFTER, MAX_RESTARTS, RACK_FAIL_AFTER, READING_LAG, START_TIMEOUT,
        },
        moves::{self, MAX_MOVES, REPLACE_AFTER, RETURN_SURPLUS_AFTER},
        next_steps, waves,
    },
};

/// Maximum number of hosts that one explanation lists individually.
const MAX_NAMED: usize = 8;

/// Explains the state of a host and what it waits for. Empty if the host does not exist.
pub fn host(fleet: &Fleet, observed: &Observed, name: &HostName) -> Vec<Reason> {
    let Some((name, host)) = fleet.hosts.get_key_value(name) else { return Vec::new() };
    let plan = Plan::new(fleet, observed);
    let mut lines =
        vec![format!("{name} stands in {} and is {}.", host.pool, describe_phase(host))];
    lines.extend(phase_detail(&plan, name, host));
    lines.extend(health_detail(&plan, name));
    lines.extend(power_detail(&plan, name, host));
    if host.phase == HostPhase::Serving {
        lines.extend(pending_detail(&plan, name, host));
    }
    lines.extend(next_changes(fleet, observed, |change| changed_host(change) == Some(name)));
    with_last_change(fleet, lines, |change| changed_host(change) == Some(name))
}

/// Explains the size of a pool and whether its availability budgets are met. Empty if the pool does
/// not exist.
pub fn pool(fleet: &Fleet, observed: &Observed, name: &PoolName) -> Vec<Reason> {
    let Some((name, spec)) = fleet.pools.get_key_value(name) else { return Vec::new() };
    let plan = Plan::new(fleet, observed);
    let sizes = moves::sizes(&plan);
    let size = sizes.get(name).cloned().unwrap_or_default();
    let mut lines = vec![match spec.wanted_hosts {
        0 => format!("{name} has {} hosts and no wanted size.", size.members),
        wanted => format!("{name} has {} hosts of {wanted} wanted.", size.members),
    }];
    lines.push(match plan.ledger.check_pool(name) {
        Ok(()) => "Every service in it keeps its promise, also after the loss of the largest \
                   failure domain."
            .to_owned(),
        Err(refusal) => format!("A promise is broken: {refusal}."),
    });
    let hosts: Vec<_> = fleet.hosts_in(name).collect();
    let spare = Plan::new(fleet, observed).ledger.removable(&hosts).len();
    lines.push(format!("It could let {spare} of its serving hosts go now."));
    for (host_name, host) in hosts.iter().filter(|(_, h)| h.phase != HostPhase::Serving) {
        lines.push(format!("{host_name} is {}.", describe_phase(host)));
    }
    lines.extend(size_detail(&plan, &size));
    lines.extend(next_changes(fleet, observed, |change| {
        matches!(change, FleetChange::MoveHost { to, .. } if to == name)
            || changed_host(change)
                .is_some_and(|host| hosts.iter().any(|(other, _)| *other == host))
    }));
    with_last_change(fleet, lines, |change| match change {
        FleetChange::SetPool { pool, .. } => pool == name,
        FleetChange::MoveHost { to, .. } => to == name,
        _ => false,
    })
}

/// Explains the progress of a wave and what it waits for. Empty if the wave does not exist.
pub fn wave(fleet: &Fleet, observed: &Observed, name: &WaveName) -> Vec<Reason> {
    let Some((name, record)) = fleet.waves.get_key_value(name) else { return Vec::new() };
    let plan = Plan::new(fleet, observed);
    let mut lines = vec![format!(
        "{name} is {}: {} pending, {} out, {} done, {} failed, {} passed over.",
        status_name(&record.status),
        record.pending.len(),
        record.out.len(),
        record.done.len(),
        record.failed.len(),
        record.skipped.len(),
    )];
    lines.extend(progress_detail(&plan, record));
    for host_name in record.out.iter().take(MAX_NAMED) {
        let Some((host_name, host)) = fleet.hosts.get_key_value(host_name) else { continue };
        lines.push(format!("{host_name} is {}.", describe_phase(host)));
        lines.extend(phase_detail(&plan, host_name, host));
    }
    for (host_name, why) in record.failed.iter().chain(&record.skipped).take(MAX_NAMED) {
        lines.push(format!("{host_name} is not done: {why}."));
    }
    let steps = next_changes(fleet, observed, |change| concerns_wave(change, name, record));
    if record.status == WaveStatus::Running && steps.is_empty() {
        lines.extend(blocking_reasons(&plan, record));
    }
    lines.extend(steps);
    with_last_change(fleet, lines, |change| concerns_wave(change, name, record))
}

fn concerns_wave(change: &FleetChange, name: &WaveName, record: &Wave) -> bool {
    match change {
        FleetChange::StartWave { wave, .. }
        | FleetChange::PauseWave { wave }
        | FleetChange::ResumeWave { wave }
        | FleetChange::AbortWave { wave }
        | FleetChange::HaltWave { wave, .. }
        | FleetChange::FinishWave { wave }
        | FleetChange::BeginLeave { wave, .. } => wave == name,
        other => changed_host(other).is_some_and(|host| record.out.contains(host)),
    }
}

/// The host that a change applies to, if it applies to a single one.
pub(crate) fn changed_host(change: &FleetChange) -> Option<&HostName> {
    match change {
        FleetChange::AddHost { host, .. }
        | FleetChange::RemoveHost { host }
        | FleetChange::MoveHost { host, .. }
        | FleetChange::HoldHost { host, .. }
        | FleetChange::ReleaseHost { host }
        | FleetChange::BeginLeave { host, .. }
        | FleetChange::FinishLeave { host, .. }
        | FleetChange::HostBack { host, .. }
        | FleetChange::PassTrial { host }
        | FleetChange::FailHost { host, .. }
        | FleetChange::BeginThrottle { host }
        | FleetChange::ConfirmThrottle { host, .. }
        | FleetChange::LiftThrottle { host }
        | FleetChange::RenewReboot { host, .. }
        | FleetChange::ParkHost { host }
        | FleetChange::SwitchOff { host }
        | FleetChange::StartHost { host, .. }
        | FleetChange::ConfirmOff { host } => Some(host),
        _ => None,
    }
}

/// The reasons of the planner's next changes for which `concerns` holds.
fn next_changes<F>(fleet: &Fleet, observed: &Observed, concerns: F) -> Vec<String>
where
    F: Fn(&FleetChange) -> bool,
{
    let next = next_steps(fleet, observed).into_iter().filter_map(|step| match step {
        Step::Change { change, reason } if concerns(&change) => Some(reason),
        Step::Change { .. } | Step::Command { .. } => None,
    });
    next.take(MAX_NAMED).map(|reason| format!("Next: {reason}.")).collect()
}

/// Appends the most recent matching change that the document remembers.
fn with_last_change<F>(fleet: &Fleet, mut lines: Vec<String>, concerns: F) -> Vec<Reason>
where
    F: Fn(&FleetChange) -> bool,
{
    let last = fleet.recent.iter().rev().find(|applied| concerns(&applied.request.change));
    if let Some(applied) = last {
        let reason = &applied.request.reason;
        lines.push(format!("Last change, revision {}: {reason}.", applied.revision));
    }
    lines.into_iter().map(Reason::from).collect()
}

fn phase_detail(plan: &Plan<'_>, name: &HostName, host: &Host) -> Option<String> {
    let observed = plan.observed;
    match &host.phase {
        HostPhase::Serving => None,
        HostPhase::Leaving { .. } if !observed.drained.contains(name) => Some(
            "It waits for its last requests to end, and for every live daemon to confirm that \
             none is left; no request is cut for it."
                .to_owned(),
        ),
        HostPhase::Leaving { why: LeaveReason::Wave { .. } } => Some(format!(
            "It is drained; its reboot needs {} beside the {} that are reserved under a cap of {}.",
            host.boot_surge(),
            plan.fleet.reserved_power(),
            plan.fleet.power_cap,
        )),
        HostPhase::Leaving { .. } => Some("It is drained.".to_owned()),
        HostPhase::Rebooting { operation, not_after, wave } => {
            let timeout =
                plan.fleet.waves.get(wave).map_or(START_TIMEOUT, |w| w.settings.reboot_timeout);
            Some(boot_detail(plan, name, observed.has_done(name, operation), not_after.0, timeout))
        }
        HostPhase::Starting { operation, not_after } => {
            let done = observed.has_done(name, operation);
            Some(boot_detail(plan, name, done, not_after.0, START_TIMEOUT))
        }
        HostPhase::Trial { wave } => {
            let trial = plan.fleet.waves.get(wave)?.settings.trial;
            let since = observed.in_phase_for(name);
            Some(format!("It has been on trial for {} of {} s.", since.as_secs(), trial.as_secs()))
        }
        HostPhase::Held { reason } => {
            Some(format!("An operator took it out of use: {reason}. It waits to be released."))
        }
        HostPhase::Parked => Some(format!(
            "Its start needs {} beside the {} that are reserved under a cap of {}.",
            host.boot_surge(),
            plan.fleet.reserved_power(),
            plan.fleet.power_cap,
        )),
        HostPhase::Failed { reason } => Some(failure_detail(plan, name, host, reason)),
    }
}

fn boot_detail(
    plan: &Plan<'_>,
    name: &HostName,
    began: bool,
    not_after: u64,
    timeout: Duration,
) -> String {
    let since = plan.observed.in_phase_for(name).as_secs();
    let limit = timeout.as_secs();
    let expired = plan.observed.wall.0 > not_after + CLOCK_MARGIN.as_millis() as u64;
    let what = match (began, expired) {
        (true, _) => "the agent has carried the command out and does not report ready yet",
        (false, false) => "the agent has not confirmed the command",
        (false, true) => "the agent may not begin it any more and has not reported its end",
    };
    format!("It has been at it for {since} of at most {limit} s: {what}.")
}

fn failure_detail(plan: &Plan<'_>, name: &HostName, host: &Host, reason: &Reason) -> String {
    let next = if host.failures > MAX_RESTARTS {
        format!("after {} failures in a row it waits to be released", host.failures)
    } else if !plan.observed.agents.get(name).is_some_and(|status| status.ready) {
        "it is restarted once its agent reports it ready".to_owned()
    } else {
        format!("it is restarted once {} are free", host.boot_surge())
    };
    format!("What was seen: {reason}; {next}.")
}

fn health_detail(plan: &Plan<'_>, name: &HostName) -> Option<String> {
    let silent = plan.observed.unreachable_for(name);
    if !silent.is_zero() {
        return Some(format!(
            "It could not be reached for {} s: it counts for no promise, after {} s a spare host \
             may replace it, and after {} s, or {} s if its whole rack is silent, it counts as \
             failed.",
            silent.as_secs(),
            REPLACE_AFTER.as_secs(),
            FAIL_AFTER.as_secs(),
            RACK_FAIL_AFTER.as_secs(),
        ));
    }
    let seen = plan.observed.failing.get(name)?;
    Some(format!("It fails what it is given: {seen}."))
}

fn power_detail(plan: &Plan<'_>, name: &HostName, host: &Host) -> Option<String> {
    let lag = READING_LAG.as_secs();
    Some(match &host.power {
        HostPower::Full => return None,
        HostPower::Throttling { operation } if plan.observed.has_done(name, operation) => {
            let watts = plan.observed.agents.get(name).map_or(0, |status| status.draw_watts);
            let limit = host.spec.draw.throttled;
            format!(
                "Its throttle is confirmed; it counts once readings, which lag by up to {lag} s, \
                 show no more than {limit}: the last was {}.",
                Watts(watts),
            )
        }
        HostPower::Throttling { .. } => {
            "Its agent was asked to throttle it and has not confirmed it.".to_owned()
        }
        HostPower::Throttled => format!("It is throttled to {}.", host.spec.draw.throttled),
        HostPower::Lifting { .. } => "Its agent was asked to lift the throttle.".to_owned(),
        HostPower::SwitchingOff { .. } => {
            "Its agent was asked to switch it off and has not confirmed it.".to_owned()
        }
        HostPower::Surging => "It failed while it booted and counts at its boot surge.".to_owned(),
        HostPower::Off => "It is off.".to_owned(),
    })
}

/// Explains why a serving host that is pending in a wave has not left yet.
fn pending_detail<'a>(plan: &Plan<'a>, name: &'a HostName, host: &'a Host) -> Option<String> {
    let waiting = |(_, wave): &(&WaveName, &Wave)| wave.pending.contains(name);
    let (wave_name, wave) = plan.fleet.waves.iter().find(waiting)?;
    if wave.status != WaveStatus::Running {
        return Some(format!("{wave_name} is {}.", status_name(&wave.status)));
    }
    let stage = waves::stage(plan.fleet, wave);
    if !plan.is_available(name, host) {
        return Some(format!("{wave_name} passes it by until it can be reached."));
    }
    if let Err(refusal) = plan.ledger.check_without(name, host) {
        return Some(format!("{wave_name} waits, since without it {refusal}."));
    }
    if !plan.power.fits(host.boot_surge().0) {
        return Some(format!(
            "{wave_name} waits for {} under the power cap of {}.",
            host.boot_surge(),
            plan.fleet.power_cap
        ));
    }
    let out = wave.out.len();
    Some(match stage {
        waves::Stage::Canaries { limit } => {
            format!("{wave_name} waits for its canaries: {out} of at most {limit} are out.")
        }
        waves::Stage::Batches { limit } => {
            format!("{wave_name} has other hosts first: {out} of at most {limit} are out.")
        }
    })
}

fn progress_detail(plan: &Plan<'_>, record: &Wave) -> Option<String> {
    match &record.status {
        WaveStatus::Running => Some(match waves::stage(plan.fleet, record) {
            waves::Stage::Canaries { limit } => {
                format!("Canaries go first, at most {limit} at once.")
            }
            waves::Stage::Batches { limit } => format!("At most {limit} hosts are out at once."),
        }),
        WaveStatus::Paused => Some("An operator paused it; it waits to be resumed.".to_owned()),
        WaveStatus::Halted { reason } => {
            Some(format!("It stopped itself: {reason}. It waits to be resumed or aborted."))
        }
        WaveStatus::Aborting => Some("Hosts that are out come back first.".to_owned()),
        WaveStatus::Finished => None,
    }
}

/// Explains why no pending host leaves, with one line for each distinct cause.
fn blocking_reasons(plan: &Plan<'_>, record: &Wave) -> Vec<String> {
    let excess = plan.power.excess();
    if excess > 0 {
        let over = Watts(excess);
        return vec![format!("No host may boot while the reservation is {over} above the cap.")];
    }
    if record.out.len() >= waves::stage(plan.fleet, record).limit() {
        return vec!["As many hosts are out as may be.".to_owned()];
    }
    let mut lines: Vec<String> = Vec::new();
    for name in &record.pending {
        let Some((name, host)) = plan.fleet.hosts.get_key_value(name) else { continue };
        let line = if host.phase != HostPhase::Serving {
            format!("{name} is {}.", describe_phase(host))
        } else if !plan.observed.is_usable(name) {
            format!("{name} cannot be counted on: it is silent or fails its work.")
        } else if let Err(refusal) = plan.ledger.check_without(name, host) {
            format!("Without a host of {}, {refusal}.", host.pool)
        } else if !plan.power.fits(host.boot_surge().0) {
            format!("A reboot needs {} that the power cap does not leave.", host.boot_surge())
        } else {
            continue;
        };
        if !lines.contains(&line) {
            lines.push(line);
        }
    }
    lines.truncate(MAX_NAMED);
    lines
}

fn size_detail(plan: &Plan<'_>, size: &moves::PoolSize) -> Option<String> {
    let moving =
        |host: &&Host| matches!(host.phase, HostPhase::Leaving { why: LeaveReason::Move { .. } });
    let in_flight = plan.fleet.hosts.values().filter(moving).count();
    if size.deficit() > 0 && in_flight >= MAX_MOVES {
        return Some(format!("It lacks hosts, and {in_flight} moves are in flight already."));
    }
    if size.deficit() > 0 {
        return Some(format!(
            "It lacks {} hosts, which come from spare pools and pools with more than they want.",
            size.deficit()
        ));
    }
    if size.surplus() > 0 {
        return Some(format!(
            "It gives {} hosts back once no wave needs them and no host of it has changed for {} s.",
            size.surplus(),
            RETURN_SURPLUS_AFTER.as_secs()
        ));
    }
    None
}
