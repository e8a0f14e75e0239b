//! A model of the leader's processor: each call and each event takes time, one after the other.

use std::collections::VecDeque;

use borageswitch_scheduler::{effect::Effect, event::Event};

use super::Simulation;

/// Work that waits for the leader's processor.
pub(super) enum Work {
    Send { token: u64, effect: Effect },
    Handle { token: u64, event: Event },
}

/// The leader's processor and the work that waits for it.
pub struct Processor {
    micros_per_call: i64,
    micros_per_event: i64,
    usual_costs: (i64, i64),
    budget_micros: i64,
    queue: VecDeque<Work>,
}

impl Processor {
    /// Creates a processor that takes so long to send a call and to handle an event.
    pub fn new(micros_per_call: i64, micros_per_event: i64) -> Self {
        Self {
            micros_per_call,
            micros_per_event,
            usual_costs: (micros_per_call, micros_per_event),
            budget_micros: 0,
            queue: VecDeque::new(),
        }
    }

    /// Changes how long calls and events take for a while.
    pub(super) fn set_costs(&mut self, micros_per_call: i64, micros_per_event: i64) {
        self.micros_per_call = micros_per_call;
        self.micros_per_event = micros_per_event;
    }

    /// Takes as long as at first again.
    pub(super) fn set_costs_to_usual(&mut self) {
        (self.micros_per_call, self.micros_per_event) = self.usual_costs;
    }

    pub(super) fn enqueue(&mut self, work: Work) {
        self.queue.push_back(work);
    }

    /// Forgets the work of a leader that has ended.
    pub(super) fn clear(&mut self) {
        self.queue.clear();
    }

    fn take(&mut self) -> Option<Work> {
        if self.budget_micros <= 0 {
            return None;
        }
        let work = self.queue.pop_front()?;
        self.budget_micros -= match &work {
            Work::Send { .. } => self.micros_per_call,
            Work::Handle { .. } => self.micros_per_event,
        };
        Some(work)
    }
}

impl Simulation {
    /// Carries out the work for which the processor has time in one step.
    pub(super) fn run_processor(&mut self, step_micros: i64) {
        let Some(processor) = &mut self.processor else { return };
        processor.budget_micros = (processor.budget_micros + step_micros).min(step_micros);
        while let Some(work) = self.processor.as_mut().and_then(Processor::take) {
            match work {
                Work::Send { token, effect } => self.send(token, effect),
                Work::Handle { token, event } => self.handle(token, event),
            }
        }
    }

    pub(super) fn handle(&mut self, token: u64, event: Event) {
        let moment = self.moment();
        if let Some(leader) = self.leader.as_mut().filter(|_| token == self.token) {
            leader.handle(moment, event);
        }
    }
}
