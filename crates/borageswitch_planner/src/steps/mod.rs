//! The steps that the holder of the planner's duty should take now.
//!
//! [`next_steps`] keeps nothing between two calls. It reads the document, which holds what was
//! decided, and [`Observed`], which holds what was seen, and names the steps that follow; so a
//! holder that has just taken over goes on where the last one was stopped, at any state of any
//! host.
//!
//! - [`hosts`] carries each host on: drained, rebooted, back, on trial, failed, restarted.
//! - [`power`] brings the reservation under a lowered cap and gives watts back.
//! - [`waves`] chooses which hosts go out next.
//! - [`moves`] replaces failed hosts, fills pools up and lends spare hosts to a wave.
//!
//! The steps of one call can be taken in their order, all or only the first few: each later one
//! reckons with those before it.

pub(crate) mod hosts;
mod listing;
pub(crate) mod moves;
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

use crate::{capacity::Ledger, steps::power::Budget};

/// A host that was silent for less counts as usable: connections are also lost by short faults of
/// the network, and a move for each would be thrash.
pub const UNREACHABLE_AFTER: Duration = Duration::from_secs(5);

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
    /// The command that each host's agent last reported as done, and since when this holder has
    /// known it.
    pub done_since: BTreeMap<HostName, (OperationId, Time)>,
    /// Hosts of which neither target nor agent can be reached, and since when.
    pub unreachable_since: BTreeMap<HostName, Time>,
    /// Hosts that the platform's list shows as leaving; nothing until a list was read.
    pub listed_leaving: Option<BTreeSet<HostName>>,
    /// Hosts that fail nearly everything they are given, with what was seen.
    pub failing: BTreeMap<HostName, Reason>,
}

impl Observed {
    /// How long a host has been in its phase, as far as this holder knows.
    pub fn in_phase_for(&self, host: &HostName) -> Duration {
        self.phase_since.get(host).map_or(Duration::ZERO, |since| self.now.since(*since))
    }

    /// How long a host could not be reached.
    pub fn unreachable_for(&self, host: &HostName) -> Duration {
        self.unreachable_since.get(host).map_or(Duration::ZERO, |since| self.now.since(*since))
    }

    /// Whether a host can be counted on: it was reached lately and does not fail its work.
    pub fn is_usable(&self, host: &HostName) -> bool {
        self.unreachable_for(host) < UNREACHABLE_AFTER && !self.failing.contains_key(host)
    }

    /// Whether the host's agent has said that it carried `operation` out.
    pub fn has_done(&self, host: &HostName, operation: &OperationId) -> bool {
        self.agents.get(host).is_some_and(|status| status.done.as_ref() == Some(operation))
    }
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

/// A plan in the making: what is known, and what the steps so far leave of capacity and watts.
pub(crate) struct Plan<'a> {
    pub(crate) fleet: &'a Fleet,
    pub(crate) observed: &'a Observed,
    pub(crate) ledger: Ledger<'a>,
    pub(crate) power: Budget,
    /// Hosts for which this plan has a change already: one change a host and plan.
    touched: BTreeSet<&'a HostName>,
    commands: Vec<Step>,
    changes: Vec<Step>,
}

impl<'a> Plan<'a> {
    pub(crate) fn new(fleet: &'a Fleet, observed: &'a Observed) -> Self {
        Self {
            fleet,
            observed,
            ledger: Ledger::new(fleet, |host| observed.is_usable(host)),
            power: Budget::new(fleet),
            touched: BTreeSet::new(),
            commands: Vec::new(),
            changes: Vec::new(),
        }
    }

    /// Plans a change of one host, which counts no more for the rest of the plan.
    pub(crate) fn change_host(
        &mut self,
        name: &'a HostName,
        host: &'a Host,
        change: FleetChange,
        why: String,
    ) {
        self.touched.insert(name);
        self.ledger.take(name, host);
        self.change(change, why);
    }

    pub(crate) fn change(&mut self, change: FleetChange, why: String) {
        self.changes.push(Step::Change { change, reason: why.into() });
    }

    pub(crate) fn command(&mut self, host: &HostName, command: AgentCommand) {
        self.commands.push(Step::Command { host: host.clone(), command });
    }

    pub(crate) fn is_touched(&self, host: &HostName) -> bool {
        self.touched.contains(host)
    }

    /// Notes a change of a host that takes none of its capacity.
    pub(crate) fn touch(&mut self, host: &'a HostName) {
        self.touched.insert(host);
    }

    /// The steps in their order: commands first, since they cost no write and wait for none.
    pub(crate) fn into_steps(self) -> Vec<Step> {
        let mut steps = self.commands;
        steps.extend(self.changes);
        steps
    }

    /// Whether the plan may still use a host that serves.
    pub(crate) fn is_free(&self, name: &HostName, host: &Host) -> bool {
        host.gives_capacity() && !self.is_touched(name) && self.observed.is_usable(name)
    }
}

/// Names the steps to take now, the most urgent first: commands, then changes.
pub fn next_steps(fleet: &Fleet, observed: &Observed) -> Vec<Step> {
    let mut plan = Plan::new(fleet, observed);
    hosts::plan(&mut plan);
    listing::plan(&mut plan);
    power::shed(&mut plan);
    waves::plan_endings(&mut plan);
    moves::plan(&mut plan);
    waves::plan_leaves(&mut plan);
    power::make_room(&mut plan);
    power::give_back(&mut plan);
    plan.into_steps()
}
