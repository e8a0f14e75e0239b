//! Requests to the advisor, which decides on which executors the steps of a queue may run.
//!
//! The time of a request grows with the number of executors in it, and the advisor serves one call
//! of a daemon at a time. A request therefore names at most a few dozen executors with free
//! capacity, and is sent only for steps with waiting tasks. A refusal is final for its step; a
//! permission expires.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use borageswitch_types::{Time, names::ExecutorName};

use crate::{
    config::AdvisorTimes,
    effect::Effect,
    event::Now,
    job::Step,
    ledger::job::Job,
    reducer::{
        Scheduler,
        free_capacity::FreeCapacity,
        places::{fits_labels, reserved_size},
    },
    task::StepKey,
};

/// The most executors that one request names.
const MAX_EXECUTORS_PER_REQUEST: usize = 30;
/// The most requests in flight: the advisor refuses further ones when 32 from all daemons wait.
const MAX_REQUESTS_IN_FLIGHT: usize = 4;
/// The remaining validity that a ticket needs to be used: the start order has yet to be stored and
/// to reach the executor.
const TICKET_MARGIN: Duration = Duration::from_millis(250);
/// How long to wait after a request that got no response.
const RETRY_BACKOFF: Duration = Duration::from_millis(300);

#[derive(Clone, Debug, PartialEq)]
enum Verdict {
    Permitted { ticket: Arc<str>, until: Time },
    Refused,
}

/// The advisor's verdicts, and the requests in flight.
#[derive(Debug, Default)]
pub struct Advice {
    verdicts: BTreeMap<StepKey, BTreeMap<ExecutorName, Verdict>>,
    in_flight: BTreeMap<StepKey, Time>,
    not_before: Time,
}

impl Advice {
    /// The ticket that permits a step to run on an executor, while it is valid.
    pub fn ticket(&self, step: &StepKey, executor: &ExecutorName, now: Time) -> Option<Arc<str>> {
        match self.verdicts.get(step)?.get(executor)? {
            Verdict::Permitted { ticket, until } if now + TICKET_MARGIN < *until => {
                Some(ticket.clone())
            }
            _ => None,
        }
    }

    /// Drops the ticket for an executor that did not accept it.
    pub fn discard_ticket(&mut self, step: &StepKey, executor: &ExecutorName) {
        if let Some(verdicts) = self.verdicts.get_mut(step) {
            verdicts.remove(executor);
        }
    }

    fn is_refused(&self, step: &StepKey, executor: &ExecutorName) -> bool {
        let verdict = self.verdicts.get(step).and_then(|verdicts| verdicts.get(executor));
        verdict == Some(&Verdict::Refused)
    }
}

impl Scheduler {
    /// Whether starts of a job's tasks need a ticket from the advisor.
    pub(super) fn needs_ticket(&self, job: &Job) -> bool {
        self.advisor_of(job).is_some()
    }

    fn advisor_of(&self, job: &Job) -> Option<AdvisorTimes> {
        let name = &job.submission.queue.name;
        let configured = self.config.as_ref().and_then(|config| config.queues.get(name));
        configured.unwrap_or(&job.submission.queue).advisor
    }

    /// Requests advice for a step with a task that was not placed, unless a request for the step or
    /// too many for others are in flight.
    ///
    /// The request names executors that have free capacity but no valid verdict, even if the step
    /// is permitted on others: those may be full, or have reached the step's limit of tasks per
    /// host.
    pub(super) fn request_advice(
        &mut self,
        now: Now,
        key: &StepKey,
        step: &Step,
        available: &FreeCapacity,
    ) {
        let advice = &self.advice;
        let busy =
            advice.in_flight.len() >= MAX_REQUESTS_IN_FLIGHT || advice.in_flight.contains_key(key);
        if busy || now.time < advice.not_before {
            return;
        }
        let has_labels = |executor: &&ExecutorName| {
            let known = self.executors.get(executor);
            known.is_some_and(|known| fits_labels(step, known))
        };
        let size = reserved_size(step);
        let mut candidates: Vec<ExecutorName> = available
            .iter()
            .filter(|(_, free)| free.holds(&size))
            .map(|(executor, _)| executor)
            .filter(has_labels)
            .filter(|executor| !advice.is_refused(key, executor))
            .filter(|executor| advice.ticket(key, executor, now.time).is_none())
            .cloned()
            .collect();
        candidates.sort_by_key(|executor| std::cmp::Reverse(available[executor].cpu_milli));
        candidates.truncate(MAX_EXECUTORS_PER_REQUEST);
        if candidates.is_empty() {
            return;
        }
        self.advice.in_flight.insert(key.clone(), now.time);
        self.effects.push(Effect::RequestAdvice(key.clone(), candidates));
    }

    pub(super) fn handle_advice(
        &mut self,
        now: Now,
        sent: Time,
        step: &StepKey,
        asked: &[ExecutorName],
        allowed: Option<Vec<(ExecutorName, Arc<str>)>>,
    ) {
        self.advice.in_flight.remove(step);
        self.mark_pool_dirty(&step.job);
        let Some(allowed) = allowed else {
            self.advice.not_before = now.time + RETRY_BACKOFF;
            self.log("advice-missing", step, || "no answer".to_owned());
            return;
        };
        let Some(job) = self.ledger.jobs.get(&step.job) else { return };
        let Some(times) = self.advisor_of(job) else { return };
        let verdicts = self.advice.verdicts.entry(step.clone()).or_default();
        for executor in asked {
            verdicts.insert(executor.clone(), Verdict::Refused);
        }
        let permitted = allowed.len();
        for (executor, ticket) in allowed {
            // The validity begins when the advisor responds, which is not before the request.
            let until = sent + times.validity;
            verdicts.insert(executor, Verdict::Permitted { ticket, until });
        }
        self.log("advice", step, || format!("asked={} permitted={permitted}", asked.len()));
    }

    /// Drops the advice for jobs that have ended.
    pub(super) fn forget_advice(&mut self) {
        let jobs = &self.ledger.jobs;
        self.advice.verdicts.retain(|step, _| jobs.contains_key(&step.job));
        self.advice.in_flight.retain(|step, _| jobs.contains_key(&step.job));
    }
}
