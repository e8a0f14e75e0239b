//! Asks the planner for steps and sends them on their way.

use std::{collections::BTreeSet, time::Duration};

use borageswitch_planner::steps::{self, Observed, Step};
use borageswitch_types::{
    agent::{AgentCommand, AgentStatus},
    fleet::{Author, ChangeRequest, Duty, HostPhase},
    names::{HostName, OperationId},
};
use borageswitch_wire::operator::OperatorAnswer;

use crate::{
    effect::Effect,
    reducer::{State, writing::Origin},
};

/// How often a host's agent is asked.
const COMMAND_INTERVAL: Duration = Duration::from_millis(500);

impl State {
    pub(super) fn plan(&mut self) {
        if !self.planner_duty.may_act(self.now) || self.writer.holds_planner_change() {
            return;
        }
        let Some(fleet) = self.sync.fleet().cloned() else { return };
        let observed = self.observed();
        for step in steps::next_steps(&fleet, &observed) {
            match step {
                Step::Change { change, reason } => {
                    let operation = self.new_operation();
                    let author =
                        Author::Holder { duty: Duty::Planner, fence: self.planner_duty.fence() };
                    self.effects.push(Effect::Decide { text: reason.clone() });
                    let expected = None;
                    let req = ChangeRequest { operation, expected, author, reason, change };
                    self.queue_change(Origin::Planner, req);
                    return;
                }
                Step::Command { host, command } => self.command(host, command),
            }
        }
    }

    pub(super) fn planner_step_concluded(&mut self, answer: &OperatorAnswer) {
        if let OperatorAnswer::Refused(refusal) = answer {
            log::info!("a planned step was refused: {refusal}");
        }
    }

    pub(super) fn note_phases(&mut self) {
        let Some(fleet) = self.sync.fleet().cloned() else { return };
        self.phase_since.retain(|host, _| fleet.hosts.contains_key(host));
        for (name, host) in &fleet.hosts {
            let known = self.phase_since.get(name).is_some_and(|(epoch, _)| *epoch == host.epoch);
            if !known {
                self.phase_since.insert(name.clone(), (host.epoch, self.now));
            }
        }
    }

    fn observed(&self) -> Observed {
        Observed {
            now: self.now,
            wall: self.wall,
            drained: self.drained(),
            agents: self.agents.clone(),
            phase_since: self
                .phase_since
                .iter()
                .map(|(host, (_, since))| (host.clone(), *since))
                .collect(),
            done_since: self.done_since.clone(),
            ..Observed::default()
        }
    }

    /// Notes what a host's agent says, and since when it has reported its last command as done.
    pub(super) fn note_agent(&mut self, host: HostName, status: AgentStatus) {
        if let Some(done) = &status.done {
            let known = self.done_since.get(&host).is_some_and(|(known, _)| known == done);
            if !known {
                self.done_since.insert(host.clone(), (done.clone(), self.now));
            }
        }
        self.agents.insert(host, status);
    }

    /// Leaving hosts on which nothing is in flight by a view that already shows them leaving.
    fn drained(&self) -> BTreeSet<HostName> {
        let Some(fleet) = self.sync.fleet() else { return BTreeSet::new() };
        if self.traffic.applied < fleet.revision {
            return BTreeSet::new();
        }
        let leaving =
            fleet.hosts.iter().filter(|(_, host)| matches!(host.phase, HostPhase::Leaving { .. }));
        leaving
            .filter(|(name, _)| self.traffic.draining.get(*name).copied().unwrap_or(0) == 0)
            .map(|(name, _)| name.clone())
            .collect()
    }

    fn command(&mut self, host: HostName, command: AgentCommand) {
        let recently =
            self.commanded.get(&host).is_some_and(|at| self.now.since(*at) < COMMAND_INTERVAL);
        let Some(record) = self.sync.fleet().and_then(|fleet| fleet.hosts.get(&host)) else {
            return;
        };
        if recently {
            return;
        }
        let agent = record.spec.addresses.agent;
        self.commanded.insert(host.clone(), self.now);
        self.effects.push(Effect::CommandHost { host, agent, command });
    }

    fn new_operation(&mut self) -> OperationId {
        self.next_call += 1;
        OperationId::from(format!("{}-{}", self.me(), self.next_call))
    }
}
