//! Delivery of orders to executors and of their responses, with losses and delays.

use borageswitch_scheduler::{
    effect::{Effect, Recipient},
    event::{Event, OrderResponse, PollResponse, StartResponse},
    task::TaskKey,
};
use borageswitch_types::{Time, names::ExecutorName};

use super::{CALL_TIMEOUT, Due, LONGEST_DELAY, RESET_TIME, Simulation, processor::Work};
use crate::support::executor::Behaviour;

/// How long a run takes on an executor that fails all that it starts, in milliseconds.
const FAILING_RUN_MS: u64 = 50;

impl Simulation {
    pub(super) fn deliver(&mut self) {
        let (now, later) =
            std::mem::take(&mut self.due).into_iter().partition(|(at, _)| *at <= self.now);
        self.due = later;
        let now: Vec<(u64, Due)> = now;
        for (_, due) in now {
            match due {
                Due::Event { token, event } => match &mut self.processor {
                    Some(processor) => processor.enqueue(Work::Handle { token, event }),
                    None => self.handle(token, event),
                },
                // An order that is delayed at an incarnation is lost when the incarnation ends.
                Due::Order { held_by: Some(id), .. } if self.dead.contains(&id) => {}
                Due::Order { token, effect, answered, .. } => self.execute(token, effect, answered),
                Due::HostRemoval { host, executor, enforces_capacity } => {
                    self.remove_host(&host, executor.as_ref(), enforces_capacity);
                }
            }
        }
    }

    pub(super) fn respond_later(&mut self, token: u64, event: Event) {
        let at = self.now + self.rng.u64(1..8);
        self.due.push((at, Due::Event { token, event }));
    }

    pub(super) fn is_reachable(&self, executor: &ExecutorName) -> bool {
        self.executors.contains_key(executor)
            && !self.dead.contains(executor)
            && self.partitioned_until.get(executor).is_none_or(|end| *end <= self.now)
    }

    /// Delivers an order to an executor and sends back its response.
    pub(super) fn execute(&mut self, token: u64, effect: Effect, answered: bool) {
        let sent = Time::from_millis(self.now.saturating_sub(8));
        let to = self.current_incarnation(&recipient(&effect).executor);
        if !self.is_reachable(&to) {
            if answered {
                // The executor became unreachable after the order was sent: the call fails.
                let event = no_response(&effect, sent);
                let at = self.now + self.failure_delay(&recipient(&effect).executor);
                self.due.push((at, Due::Event { token, event }));
            }
            return;
        }
        match effect {
            Effect::Start(asked, order) => {
                let behaviour = self.behaviour_on(&to, &order.task);
                let executor = self.executors.get_mut(&to).unwrap();
                let response = executor.start(self.now, token, &order, behaviour);
                let clock_ms = Some(executor.clock(self.now));
                if response == StartResponse::Started {
                    self.check_started(&to, &order.task);
                    self.poison_task_started(&to, &order, sent);
                }
                if answered {
                    let (task, run, executor) = (order.task, order.run, asked.executor);
                    let event =
                        Event::StartAnswered { executor, task, run, sent, clock_ms, response };
                    self.respond_later(token, event);
                }
            }
            Effect::Stop(asked, task, run) => {
                let executor = self.executors.get_mut(&to).unwrap();
                let response = executor.stop(self.now, token, &task, run);
                if answered {
                    let event =
                        Event::StopAnswered { executor: asked.executor, task, run, response };
                    self.respond_later(token, event);
                }
            }
            Effect::Poll(asked, order) => {
                let executor = self.executors.get_mut(&to).unwrap();
                let report = executor.poll(self.now, token, &order);
                let response =
                    if asked.executor == to { report } else { PollResponse::OtherIncarnation };
                if answered {
                    let event = Event::Polled { executor: asked.executor, sent, order, response };
                    self.respond_later(token, event);
                }
            }
            other => panic!("not an order to an executor: {other:?}"),
        }
    }

    /// Makes all calls in progress to an executor fail now.
    pub(super) fn reset_calls(&mut self, executor: &ExecutorName) {
        let now = self.now;
        for (at, due) in &mut self.due {
            if let Due::Order { effect, answered: true, .. } = due
                && recipient(effect).executor == *executor
            {
                *at = now;
            }
        }
    }

    /// How long a call takes to fail: connections to a host that is still up are reset.
    fn failure_delay(&self, executor: &ExecutorName) -> u64 {
        if self.is_reset(executor) { RESET_TIME } else { CALL_TIMEOUT }
    }

    pub(super) fn behaviour(&self, task: &TaskKey) -> Behaviour {
        let step = &self.submissions[&task.job].spec.steps[usize::from(task.step)];
        // One job in sixteen has a task that always fails; job names are hexadecimal.
        let fails = task.index == 0
            && task.job.as_str().ends_with('0')
            && !self.poison_tasks.is_poison(&task.job);
        Behaviour {
            size: step.size,
            lasting: step.lasting,
            length: self.run_time_of(task, step.estimate),
            fails: fails && !step.lasting,
        }
    }

    /// How a task behaves on an executor that may fail all that it starts.
    fn behaviour_on(&self, executor: &ExecutorName, task: &TaskKey) -> Behaviour {
        let behaviour = self.behaviour(task);
        let fails_all = self.executors[executor].fails_until > self.now;
        let may_fail_again =
            || behaviour.lasting || self.failing_runs(task) + 1 < self.max_attempts(task);
        if behaviour.fails || !fails_all || !may_fail_again() {
            return behaviour;
        }
        Behaviour { fails: true, length: behaviour.length.min(FAILING_RUN_MS), ..behaviour }
    }

    /// The number of runs of a task that have failed or will fail, on all executors.
    pub fn failing_runs(&self, task: &TaskKey) -> usize {
        self.executors.values().map(|known| known.failing_runs(task)).sum()
    }

    fn max_attempts(&self, task: &TaskKey) -> usize {
        usize::from(self.submissions[&task.job].queue.max_attempts)
    }

    pub(super) fn send(&mut self, token: u64, effect: Effect) {
        self.check_sent(&effect);
        let lost = self.chance(self.faults.lost_order);
        let late = self.chance(self.faults.delayed_order);
        let silent = self.chance(self.faults.lost_response) || lost || late;
        let silent = silent || self.loses_response();
        let to = self.current_incarnation(&recipient(&effect).executor);
        let silent = silent || !self.is_reachable(&to);
        // An executor holds a poll with a wait until a run ends; 100 ms stand for that.
        let wait = match &effect {
            Effect::Poll(_, order) if !order.wait.is_zero() => 100,
            _ => 0,
        };
        let delay =
            if late { self.rng.u64(2_000..LONGEST_DELAY) } else { self.rng.u64(1..8) + wait };
        if silent {
            let event = no_response(&effect, Time::from_millis(self.now));
            let at = self.now + self.failure_delay(&recipient(&effect).executor);
            self.due.push((at, Due::Event { token, event }));
        }
        if !lost {
            let at = self.now + delay;
            let held_by = late.then_some(to);
            self.due.push((at, Due::Order { token, effect, answered: !silent, held_by }));
        }
    }
}

fn recipient(effect: &Effect) -> &Recipient {
    match effect {
        Effect::Start(to, _) | Effect::Stop(to, _, _) | Effect::Poll(to, _) => to,
        other => panic!("not an order to an executor: {other:?}"),
    }
}

fn no_response(effect: &Effect, sent: Time) -> Event {
    match effect.clone() {
        Effect::Start(to, order) => Event::StartAnswered {
            executor: to.executor,
            task: order.task,
            run: order.run,
            sent,
            clock_ms: None,
            response: StartResponse::Lost,
        },
        Effect::Stop(to, task, run) => {
            Event::StopAnswered { executor: to.executor, task, run, response: OrderResponse::Lost }
        }
        Effect::Poll(to, order) => {
            Event::Polled { executor: to.executor, sent, order, response: PollResponse::Lost }
        }
        other => panic!("not an order to an executor: {other:?}"),
    }
}
