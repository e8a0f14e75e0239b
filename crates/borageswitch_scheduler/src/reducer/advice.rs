//! Requests to the advisor, which decides on which executors the steps of a queue may run.
//!
//! A request is sent only for a step with waiting tasks, and names executors with free capacity. A
//! refusal is final for its step; a permission expires. How long calls are and why there is one at a
//! time is decided in [`crate::policy::advice`].

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use borageswitch_types::{
    Time,
    names::{ExecutorName, PoolName},
};

use crate::{
    config::AdvisorTimes,
    effect::Effect,
    event::Now,
    job::Step,
    ledger::job::Job,
    policy::{
        advice::{self, TICKET_MARGIN},
        gangs,
        order::Urgency,
    },
    reducer::{Scheduler, free_capacity::FreeCapacity, places::fits_labels, waiting::WaitingStep},
    task::StepKey,
};

#[derive(Clone, Debug, PartialEq)]
enum Verdict {
    Permitted { ticket: Arc<str>, until: Time },
    Refused,
}

/// What the advisor has answered about a step.
#[derive(Debug, Default)]
struct StepAdvice {
    verdicts: BTreeMap<ExecutorName, Verdict>,
    answers: u32,
}

/// A request that could be sent.
#[derive(Debug)]
struct Candidate {
    /// Steps without an answer come before those that need another one, then the most urgent.
    rank: (u32, Urgency),
    step: StepKey,
    executors: Vec<ExecutorName>,
    times: AdvisorTimes,
}

/// The advisor's verdicts, and the request in flight.
#[derive(Debug, Default)]
pub struct Advice {
    by_step: BTreeMap<StepKey, StepAdvice>,
    /// The step of the request in flight. It stays after the end of its job: the advisor serves the
    /// request all the same, and another one would wait behind it.
    in_flight: Option<StepKey>,
    /// The request to send after this decision.
    next: Option<Candidate>,
    /// The pools with steps that wait for the request in flight to be answered.
    blocked_pools: BTreeSet<PoolName>,
    not_before: Time,
    /// The number of successive requests without an answer.
    unanswered: u32,
}

impl Advice {
    /// The ticket that permits a step to run on an executor, while it is valid.
    pub fn ticket(&self, step: &StepKey, executor: &ExecutorName, now: Time) -> Option<Arc<str>> {
        match self.by_step.get(step)?.verdicts.get(executor)? {
            Verdict::Permitted { ticket, until } if now + TICKET_MARGIN < *until => {
                Some(ticket.clone())
            }
            _ => None,
        }
    }

    /// Drops the ticket for an executor that did not accept it.
    pub fn discard_ticket(&mut self, step: &StepKey, executor: &ExecutorName) {
        if let Some(advice) = self.by_step.get_mut(step) {
            advice.verdicts.remove(executor);
        }
    }

    fn answers(&self, step: &StepKey) -> u32 {
        self.by_step.get(step).map_or(0, |advice| advice.answers)
    }

    fn is_refused(&self, step: &StepKey, executor: &ExecutorName) -> bool {
        let verdict = self.by_step.get(step).and_then(|advice| advice.verdicts.get(executor));
        verdict == Some(&Verdict::Refused)
    }
}

impl Scheduler {
    /// Whether starts of a job's tasks need a ticket from the advisor.
    pub(super) fn needs_ticket(&self, job: &Job) -> bool {
        self.advisor_of(job).is_some()
    }

    /// The times of the advisor of a job's queue.
    pub(super) fn advisor_of(&self, job: &Job) -> Option<AdvisorTimes> {
        let name = &job.submission.queue.name;
        let configured = self.config.as_ref().and_then(|config| config.queues.get(name));
        configured.unwrap_or(&job.submission.queue).advisor
    }

    /// Proposes a request for a step with a task that was not placed.
    ///
    /// It names executors that have free capacity but no valid verdict, even if the step is
    /// permitted on others: those may be full, or have reached the step's limit of tasks per host.
    pub(super) fn propose_advice(
        &mut self,
        now: Now,
        pool: &PoolName,
        waiting: &WaitingStep,
        step: &Step,
        available: &FreeCapacity,
    ) {
        let advice = &self.advice;
        if advice.in_flight.is_some() || now.time < advice.not_before {
            self.advice.blocked_pools.insert(pool.clone());
            return;
        }
        let rank = (advice.answers(&waiting.key), waiting.urgency);
        if advice.next.as_ref().is_some_and(|next| next.rank <= rank) {
            self.advice.blocked_pools.insert(pool.clone());
            return;
        }
        let Some(job) = self.ledger.jobs.get(&waiting.key.job) else { return };
        let Some(times) = self.advisor_of(job).filter(advice::is_useful) else { return };
        let executors = self.executors_to_name(now, waiting, step, &times, available);
        if executors.is_empty() {
            return;
        }
        let replaced = self.advice.next.replace(Candidate {
            rank,
            step: waiting.key.clone(),
            executors,
            times,
        });
        let replaced = replaced.and_then(|other| self.pool_of(&other.step.job).cloned());
        self.advice.blocked_pools.extend(replaced);
    }

    fn executors_to_name(
        &self,
        now: Now,
        waiting: &WaitingStep,
        step: &Step,
        times: &AdvisorTimes,
        available: &FreeCapacity,
    ) -> Vec<ExecutorName> {
        let (advice, key) = (&self.advice, &waiting.key);
        let has_labels = |executor: &&ExecutorName| {
            let known = self.executors.get(executor);
            known.is_some_and(|known| fits_labels(step, known))
        };
        let mut executors: Vec<ExecutorName> = available
            .iter()
            .filter(|(_, free)| free.holds(&waiting.size))
            .map(|(executor, _)| executor)
            .filter(has_labels)
            .filter(|executor| !advice.is_refused(key, executor))
            .filter(|executor| advice.ticket(key, executor, now.time).is_none())
            .cloned()
            .collect();
        executors.sort_by_key(|executor| std::cmp::Reverse(available[executor].cpu_milli));
        let mut unplaced = waiting.waiting.len();
        let needed = executors.iter().take_while(|executor| {
            let is_needed = unplaced > 0;
            let free = &available[*executor];
            let places = gangs::member_capacity(free, &waiting.size, step.max_per_host);
            unplaced = unplaced.saturating_sub(places);
            is_needed
        });
        let needed = needed.count();
        executors.truncate(advice::executors_to_name(times, needed));
        executors
    }

    /// Sends the request that goes first among those proposed in this decision.
    pub(super) fn send_advice_request(&mut self) {
        let Some(Candidate { step, executors, times, .. }) = self.advice.next.take() else {
            return;
        };
        self.advice.in_flight = Some(step.clone());
        let timeout = advice::timeout(&times, executors.len());
        self.effects.push(Effect::RequestAdvice { step, executors, timeout });
    }

    pub(super) fn handle_advice(
        &mut self,
        now: Now,
        sent: Time,
        step: &StepKey,
        asked: &[ExecutorName],
        allowed: Option<Vec<(ExecutorName, Arc<str>)>>,
    ) {
        self.advice.in_flight.take_if(|in_flight| in_flight == step);
        self.dirty_pools.append(&mut self.advice.blocked_pools);
        self.mark_pool_dirty(&step.job);
        let took_ms = (now.time - sent).as_millis();
        let Some(allowed) = allowed else {
            self.advice.unanswered = self.advice.unanswered.saturating_add(1);
            let pause = advice::backoff(self.advice.unanswered);
            self.advice.not_before = now.time + pause;
            self.log("advice-missing", step, || {
                format!("no answer after_ms={took_ms} pause_ms={}", pause.as_millis())
            });
            return;
        };
        self.advice.unanswered = 0;
        let Some(job) = self.ledger.jobs.get(&step.job) else { return };
        let Some(times) = self.advisor_of(job) else { return };
        let until = advice::valid_until(&times, asked.len(), sent, now.time);
        let own = self.advice.by_step.entry(step.clone()).or_default();
        own.answers = own.answers.saturating_add(1);
        for executor in asked {
            own.verdicts.insert(executor.clone(), Verdict::Refused);
        }
        let permitted = allowed.len();
        for (executor, ticket) in allowed {
            own.verdicts.insert(executor, Verdict::Permitted { ticket, until });
        }
        self.log("advice", step, || {
            format!("asked={} permitted={permitted} after_ms={took_ms}", asked.len())
        });
    }

    /// Drops the advice for jobs that have ended.
    pub(super) fn forget_advice(&mut self) {
        let jobs = &self.ledger.jobs;
        self.advice.by_step.retain(|step, _| jobs.contains_key(&step.job));
    }
}
