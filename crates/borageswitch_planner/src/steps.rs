//! The steps that the holder of the planner's duty should take now.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use borageswitch_types::{
    Fleet, Time,
    agent::{AgentCommand, AgentStatus},
    fleet::{FleetChange, HostPhase, LeaveReason, Reason, WaveStatus},
    names::HostName,
    time::UnixMillis,
};

use crate::capacity;

/// How long after its decision a reboot may still begin.
const REBOOT_VALIDITY: Duration = Duration::from_secs(60);

/// What the holder knows beyond the document.
#[derive(Clone, Debug, Default)]
pub struct Observed {
    /// Now, on the holder's monotonic clock.
    pub now: Time,
    /// Now, on the holder's wall clock.
    pub wall: UnixMillis,
    /// Leaving hosts on which every live daemon has confirmed that nothing is in flight.
    pub drained: BTreeSet<HostName>,
    /// The newest status of each host that was asked.
    pub agents: BTreeMap<HostName, AgentStatus>,
    /// Since when each host has been in its phase, as this holder first saw it.
    pub phase_since: BTreeMap<HostName, Time>,
}

/// One step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Change the document.
    Change {
        /// The change.
        change: FleetChange,
        /// Why, in one sentence.
        reason: Reason,
    },
    /// Command a host's agent; the intent stands in the document already.
    Command {
        /// The host.
        host: HostName,
        /// The command.
        command: AgentCommand,
    },
}

/// Names the steps to take now, the most urgent first.
pub fn next_steps(fleet: &Fleet, observed: &Observed) -> Vec<Step> {
    let mut steps = Vec::new();
    for (name, host) in &fleet.hosts {
        steps.extend(host_step(fleet, observed, name, &host.phase));
    }
    steps.extend(wave_steps(fleet));
    steps
}

fn host_step(
    fleet: &Fleet,
    observed: &Observed,
    name: &HostName,
    phase: &HostPhase,
) -> Option<Step> {
    match phase {
        HostPhase::Leaving { why } if observed.drained.contains(name) => {
            let not_after = UnixMillis(observed.wall.0 + REBOOT_VALIDITY.as_millis() as u64);
            let what = match why {
                LeaveReason::Move { to } => format!("{name} is drained and goes to {to}"),
                LeaveReason::Wave { wave } => format!("{name} is drained and reboots for {wave}"),
                LeaveReason::Hold { .. } => format!("{name} is drained and held"),
                LeaveReason::Power => format!("{name} is drained and switched off"),
            };
            Some(change(FleetChange::FinishLeave { host: name.clone(), not_after }, what))
        }
        HostPhase::Rebooting { operation, not_after, .. } => {
            let status = observed.agents.get(name);
            if status.is_some_and(|s| s.ready && s.done.as_ref() == Some(operation)) {
                let back =
                    FleetChange::HostBack { host: name.clone(), operation: operation.clone() };
                return Some(change(back, format!("{name} is back after its reboot")));
            }
            let command =
                AgentCommand::Reboot { operation: operation.clone(), not_after: *not_after };
            Some(Step::Command { host: name.clone(), command })
        }
        HostPhase::Trial { wave } => {
            let trial = fleet.waves.get(wave)?.settings.trial;
            let since = *observed.phase_since.get(name)?;
            (observed.now.since(since) >= trial).then(|| {
                change(
                    FleetChange::PassTrial { host: name.clone() },
                    format!("{name} did well on trial"),
                )
            })
        }
        _ => None,
    }
}

fn wave_steps(fleet: &Fleet) -> Vec<Step> {
    let mut steps = Vec::new();
    for (name, wave) in fleet.waves.iter().filter(|(_, wave)| wave.status == WaveStatus::Running) {
        if wave.pending.is_empty() && wave.out.is_empty() {
            steps.push(change(
                FleetChange::FinishWave { wave: name.clone() },
                format!("{name} has no host left"),
            ));
        }
        let next = wave.pending.iter().find(|host| may_leave(fleet, host));
        if let (true, Some(host)) = (wave.out.is_empty(), next) {
            let leave = FleetChange::BeginLeave { host: host.clone(), wave: name.clone() };
            steps
                .push(change(leave, format!("{host} is next in {name} and its pool can spare it")));
        }
    }
    steps
}

fn may_leave(fleet: &Fleet, name: &HostName) -> bool {
    let Some(host) = fleet.hosts.get(name) else { return false };
    host.phase == HostPhase::Serving && capacity::check_budgets(fleet, &host.pool, &[name]).is_ok()
}

fn change(change: FleetChange, reason: String) -> Step {
    Step::Change { change, reason: reason.into() }
}
