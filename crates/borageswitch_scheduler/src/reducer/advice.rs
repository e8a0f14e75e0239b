//! Asks on which executors a step may run, where a policy restricts that.
//!
//! The advisor takes its time for each executor that it is asked about and serves one call of a
//! daemon at a time, so it is asked about a few dozen executors that have room, and only for steps
//! that wait. What it refuses for a step it refuses for good; what it permits runs out.

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

/// How many executors one call asks about.
const ASK_ABOUT: usize = 30;
/// The most calls that wait at once: the advisor refuses when 32 calls of all daemons wait.
const MAX_CALLS: usize = 4;
/// A permission is used only while so much of its time is left: the order has yet to be stored and
/// to arrive.
const TICKET_MARGIN: Duration = Duration::from_millis(250);
/// How long to wait after a call without an answer.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

#[derive(Clone, Debug, PartialEq)]
enum Verdict {
    Permitted { ticket: Arc<str>, until: Time },
    Refused,
}

/// What the advisor has said, and what it is being asked.
#[derive(Debug, Default)]
pub struct Advice {
    verdicts: BTreeMap<StepKey, BTreeMap<ExecutorName, Verdict>>,
    asking: BTreeMap<StepKey, Time>,
    not_before: Time,
}

impl Advice {
    /// The permission to run a step on an executor, while it holds.
    pub fn ticket(&self, step: &StepKey, executor: &ExecutorName, now: Time) -> Option<Arc<str>> {
        match self.verdicts.get(step)?.get(executor)? {
            Verdict::Permitted { ticket, until } if now + TICKET_MARGIN < *until => {
                Some(ticket.clone())
            }
            _ => None,
        }
    }

    /// The executor did not accept its permission.
    pub fn withdraw(&mut self, step: &StepKey, executor: &ExecutorName) {
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
    /// Whether starts of a job's tasks need a permission.
    pub(super) fn needs_ticket(&self, job: &Job) -> bool {
        self.advisor_of(job).is_some()
    }

    fn advisor_of(&self, job: &Job) -> Option<AdvisorTimes> {
        let name = &job.submission.queue.name;
        let configured = self.config.as_ref().and_then(|config| config.queues.get(name));
        configured.unwrap_or(&job.submission.queue).advisor
    }

    /// Asks about a step with a task that has found no host, unless enough is being asked.
    ///
    /// Hosts with room that were not asked about yet come in, whether or not others are permitted:
    /// those may be full, or have as many tasks of the step as they may have.
    pub(super) fn ask_advice(&mut self, now: Now, key: &StepKey, step: &Step, room: &FreeCapacity) {
        let advice = &self.advice;
        let busy = advice.asking.len() >= MAX_CALLS || advice.asking.contains_key(key);
        if busy || now.time < advice.not_before {
            return;
        }
        let suits = |executor: &&ExecutorName| {
            let known = self.executors.get(executor);
            known.is_some_and(|known| fits_labels(step, known))
        };
        let size = reserved_size(step);
        let mut ask: Vec<ExecutorName> = room
            .iter()
            .filter(|(_, free)| free.holds(&size))
            .map(|(executor, _)| executor)
            .filter(suits)
            .filter(|executor| !advice.is_refused(key, executor))
            .filter(|executor| advice.ticket(key, executor, now.time).is_none())
            .cloned()
            .collect();
        ask.sort_by_key(|executor| std::cmp::Reverse(room[executor].cpu_milli));
        ask.truncate(ASK_ABOUT);
        if ask.is_empty() {
            return;
        }
        self.advice.asking.insert(key.clone(), now.time);
        self.effects.push(Effect::Advise(key.clone(), ask));
    }

    pub(super) fn advised(
        &mut self,
        now: Now,
        sent: Time,
        step: &StepKey,
        asked: &[ExecutorName],
        allowed: Option<Vec<(ExecutorName, Arc<str>)>>,
    ) {
        self.advice.asking.remove(step);
        self.mark_pool_dirty(&step.job);
        let Some(allowed) = allowed else {
            self.advice.not_before = now.time + RETRY_PAUSE;
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
            // The time counts from when the advisor answered, at the earliest when it was asked.
            let until = sent + times.validity;
            verdicts.insert(executor, Verdict::Permitted { ticket, until });
        }
        self.log("advice", step, || format!("asked={} permitted={permitted}", asked.len()));
    }

    /// Drops what was said of jobs that have ended.
    pub(super) fn forget_advice(&mut self) {
        let jobs = &self.ledger.jobs;
        self.advice.verdicts.retain(|step, _| jobs.contains_key(&step.job));
        self.advice.asking.retain(|step, _| jobs.contains_key(&step.job));
    }
}
