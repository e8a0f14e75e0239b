//! Runs the planner and executes the steps that it returns.

use std::time::Duration;

use borageswitch_planner::steps::{self, Step};
use borageswitch_types::{
    Time,
    agent::AgentCommand,
    fleet::{Duty, Refusal},
    names::{HostName, OperationId},
};
use borageswitch_wire::operator::OperatorAnswer;

use crate::{
    effect::Effect,
    reducer::{State, writing::Origin},
};

/// Minimum time between two commands to the same host's agent.
const COMMAND_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time between two planner runs after changes: a run costs milliseconds on a large fleet,
/// and confirmations arrive one by one.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two planner runs without changes, for steps that depend on time alone.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of planned changes in one write.
const MAX_PLANNED_CHANGES: usize = 8;

/// When the planner last ran and when it runs next.
#[derive(Debug, Default)]
pub(super) struct Planning {
    last: Time,
    next: Time,
}

impl State {
    pub(super) fn schedule_planning(&mut self) {
        let soon = (self.planning.last + MIN_PLAN_INTERVAL).max(self.now);
        self.planning.next = self.planning.next.min(soon);
    }

    pub(super) fn plan_tick(&mut self) {
        let due = self.planning.next <= self.now;
        if !due || !self.may_act(&Duty::Planner) || self.writer.has_planner_change() {
            return;
        }
        self.planning.last = self.now;
        self.planning.next = self.now + PLAN_INTERVAL;
        self.refresh_drained();
        self.refresh_failing();
        let Some(fleet) = self.sync.fleet().cloned() else { return };
        self.observed.now = self.now;
        self.observed.wall = self.wall;
        let mut changes = 0;
        for step in steps::next_steps(&fleet, &self.observed) {
            match step {
                Step::Change { change, reason } if changes < MAX_PLANNED_CHANGES => {
                    changes += 1;
                    self.record_decision(reason.to_string());
                    let req = self.holder_request(change, reason);
                    self.queue_change(Origin::Planner, req);
                }
                Step::Change { .. } => {}
                Step::Command { host, command } => self.command(host, command),
            }
        }
    }

    pub(super) fn planner_change_resolved(&mut self, response: &OperatorAnswer) {
        if let OperatorAnswer::Refused(refusal) = response {
            self.record_decision(format!("a planned step was refused: {refusal}"));
            if let Refusal::Fenced { duty } = refusal {
                self.duty_fenced(duty);
            }
        }
        self.schedule_planning();
    }

    pub(super) fn command(&mut self, host: HostName, command: AgentCommand) {
        let recently =
            self.last_commands.get(&host).is_some_and(|at| self.now.since(*at) < COMMAND_INTERVAL);
        let Some(record) = self.sync.fleet().and_then(|fleet| fleet.hosts.get(&host)) else {
            return;
        };
        if recently {
            return;
        }
        let agent = record.spec.addresses.agent;
        assert!(
            self.may_act(&Duty::Planner),
            "a command would be sent after the lease has expired"
        );
        self.last_commands.insert(host.clone(), self.now);
        self.effects.push(Effect::CommandHost { host, agent, command });
    }

    pub(super) fn new_operation(&mut self) -> OperationId {
        self.operations += 1;
        OperationId::from(format!("{}-{}", self.me(), self.operations))
    }
}
