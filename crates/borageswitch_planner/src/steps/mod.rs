//! Computes the steps that the holder of the planner's duty should take now.
//!
//! [`next_steps`] is stateless. It derives the steps from the document, which holds all decisions,
//! and from [`Observed`], which holds the observations. After a takeover, the new holder can
//! therefore continue from any state of any host.
//!
//! - [`hosts`] advances each host through drain, reboot, return, trial, failure and restart.
//! - [`power`] reduces the reservation below a lowered cap and restores power later.
//! - [`waves`] chooses which hosts leave next.
//! - [`moves`] replaces failed hosts, fills pools and lends spare hosts to a wave.
//!
//! The steps of one call must be taken in order. Each step accounts for those before it, so a
//! caller may also stop after any of them.

pub(crate) mod hosts;
pub(crate) mod moves;
mod platform_list;
pub(crate) mod power;
pub(crate) mod waves;

#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use borageswitch_types::{
    Fleet, Time,
    agent::{AgentCommand, AgentStatus},
    fleet::{FleetChange, Host, Reason},
    names::{HostName, OperationId},
    time::UnixMillis,
};

use crate::{capacity::Ledger, steps::power::PowerBudget};

/// A host that has been silent for less time than this counts as usable. Short network faults also
/// break connections, and a move for each would cause thrashing.
pub const UNREACHABLE_AFTER: Duration = Duration::from_secs(5);

/// Observations of the holder beyond the document.
#[derive(Clone, Debug, Default)]
pub struct Observed {
    /// Current time of the holder's monotonic clock.
    pub now: Time,
    /// Current time of the holder's wall clock.
    pub wall: UnixMillis,
    /// Leaving hosts for which every live daemon has confirmed that no request is in flight.
    pub drained: BTreeSet<HostName>,
    /// The latest status of each host whose agent was queried.
    pub agents: BTreeMap<HostName, AgentStatus>,
    /// When this holder first saw each host in its current phase.
    pub phase_since: BTreeMap<HostName, Time>,
    /// The command that each host's agent last reported as done, and when this holder first saw
    /// that report.
    pub done_since: BTreeMap<HostName, (OperationId, Time)>,
    /// Hosts whose target and agent are both unreachable, and since when.
    pub unreachable_since: BTreeMap<HostName, Time>,
    /// Hosts that the platform's list shows as leaving; `None` until a list was read.
    pub listed_leaving: Option<BTreeSet<HostName>>,
    /// Hosts that fail nearly all of their requests, with the observed symptom.
    pub failing: BTreeMap<HostName, Reason>,
}

impl Observed {
    /// How long a host has been in its current phase, as observed by this holder.
    pub fn in_phase_for(&self, host: &HostName) -> Duration {
        self.phase_since.get(host).map_or(Duration::ZERO, |since| self.now.since(*since))
    }

    /// How long a host has been unreachable.
    pub fn unreachable_for(&self, host: &HostName) -> Duration {
        self.unreachable_since.get(host).map_or(Duration::ZERO, |since| self.now.since(*since))
    }

    /// Whether a host is reachable and does not fail its requests.
    pub fn is_usable(&self, host: &HostName) -> bool {
        self.unreachable_for(host) < UNREACHABLE_AFTER && !self.failing.contains_key(host)
    }

    /// Whether the host's agent has reported `operation` as done.
    pub fn has_done(&self, host: &HostName, operation: &OperationId) -> bool {
        self.agents.get(host).is_some_and(|status| status.done.as_ref() == Some(operation))
    }
}

/// A step of the planner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Changes the document.
    Change {
        /// The change.
        change: FleetChange,
        /// The reason for the change, in one sentence.
        reason: Reason,
    },
    /// Sends a command to a host's agent. The document already records the intent.
    Command {
        /// The host.
        host: HostName,
        /// The command.
        command: AgentCommand,
    },
}

/// A plan under construction: its inputs, and the capacity and power that remain after the steps so
/// far.
pub(crate) struct Plan<'a> {
    pub(crate) fleet: &'a Fleet,
    pub(crate) observed: &'a Observed,
    pub(crate) ledger: Ledger<'a>,
    pub(crate) power: PowerBudget,
    /// Hosts that this plan already changes. A plan contains at most one change per host.
    changed_hosts: BTreeSet<&'a HostName>,
    commands: Vec<Step>,
    changes: Vec<Step>,
}

impl<'a> Plan<'a> {
    pub(crate) fn new(fleet: &'a Fleet, observed: &'a Observed) -> Self {
        Self {
            fleet,
            observed,
            ledger: Ledger::new(fleet, |host| observed.is_usable(host)),
            power: PowerBudget::new(fleet),
            changed_hosts: BTreeSet::new(),
            commands: Vec::new(),
            changes: Vec::new(),
        }
    }

    /// Plans a change of a host and stops counting its capacity for the rest of the plan.
    pub(crate) fn change_host(
        &mut self,
        name: &'a HostName,
        host: &'a Host,
        change: FleetChange,
        why: String,
    ) {
        self.changed_hosts.insert(name);
        self.ledger.remove_host(name, host);
        self.add_change(change, why);
    }

    pub(crate) fn add_change(&mut self, change: FleetChange, why: String) {
        self.changes.push(Step::Change { change, reason: why.into() });
    }

    pub(crate) fn add_command(&mut self, host: &HostName, command: AgentCommand) {
        self.commands.push(Step::Command { host: host.clone(), command });
    }

    pub(crate) fn is_changed(&self, host: &HostName) -> bool {
        self.changed_hosts.contains(host)
    }

    /// Marks a host as changed without removing its capacity.
    pub(crate) fn mark_changed(&mut self, host: &'a HostName) {
        self.changed_hosts.insert(host);
    }

    /// Returns the steps in order. Commands come first, because they cost no write and depend on no
    /// change.
    pub(crate) fn into_steps(self) -> Vec<Step> {
        let mut steps = self.commands;
        steps.extend(self.changes);
        steps
    }

    /// Whether the plan may still use a serving host.
    pub(crate) fn is_available(&self, name: &HostName, host: &Host) -> bool {
        host.gives_capacity() && !self.is_changed(name) && self.observed.is_usable(name)
    }
}

/// Computes the steps to take now, the most urgent first: commands, then changes.
pub fn next_steps(fleet: &Fleet, observed: &Observed) -> Vec<Step> {
    let mut plan = Plan::new(fleet, observed);
    hosts::plan(&mut plan);
    platform_list::plan(&mut plan);
    power::shed(&mut plan);
    waves::plan_endings(&mut plan);
    moves::plan(&mut plan);
    waves::plan_leaves(&mut plan);
    power::throttle_for_boot_surge(&mut plan);
    power::restore(&mut plan);
    plan.into_steps()
}
