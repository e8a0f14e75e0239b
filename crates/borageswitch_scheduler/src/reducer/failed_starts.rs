//! Tasks whose starts have come to nothing wait before they are started again; for how long,
//! [`crate::policy::start_pauses`] decides.

use std::collections::BTreeMap;

use borageswitch_types::Time;

use crate::{
    event::{Now, StartAnswer},
    policy::start_pauses,
    reducer::{Scheduler, waiting::WaitingStep},
    task::TaskKey,
};

#[derive(Clone, Copy, Debug)]
struct Backoff {
    failures: u32,
    not_before: Time,
}

/// The starts that have come to nothing, by task, since one was confirmed.
#[derive(Debug, Default)]
pub struct FailedStarts {
    by_task: BTreeMap<TaskKey, Backoff>,
}

impl FailedStarts {
    fn note(&mut self, now: Time, task: &TaskKey) {
        let none = Backoff { failures: 0, not_before: now };
        let failed = self.by_task.entry(task.clone()).or_insert(none);
        failed.failures += 1;
        failed.not_before = now + start_pauses::pause(failed.failures);
    }

    /// Whether a task is not to be started yet.
    pub(super) fn is_backing_off(&self, now: Time, task: &TaskKey) -> bool {
        self.by_task.get(task).is_some_and(|failed| now < failed.not_before)
    }

    /// Whether a member of a gang is not to be started yet, and so none of them.
    pub(super) fn is_gang_backing_off(&self, now: Time, step: &WaitingStep) -> bool {
        let mut members = step.waiting.iter().map(|&index| step.key.task(index));
        !self.by_task.is_empty() && members.any(|member| self.is_backing_off(now, &member))
    }

    /// A run of a task is known to be there.
    pub(super) fn confirmed(&mut self, task: &TaskKey) {
        self.by_task.remove(task);
    }
}

impl Scheduler {
    /// Takes in what came of a start.
    pub(super) fn note_start_response(&mut self, now: Now, task: &TaskKey, answer: StartAnswer) {
        match answer {
            StartAnswer::Started => self.failed_starts.confirmed(task),
            // The leader or the executor is over; the task has nothing to do with it.
            StartAnswer::Fenced | StartAnswer::OtherLife => {}
            StartAnswer::Outdated
            | StartAnswer::Late
            | StartAnswer::NoRoom
            | StartAnswer::NotPermitted
            | StartAnswer::Unhealthy
            | StartAnswer::Malformed
            | StartAnswer::NotSent
            | StartAnswer::Lost => self.failed_starts.note(now.time, task),
        }
    }

    /// A member of a gang has ended because the others did not come.
    pub(super) fn note_gang_incomplete(&mut self, now: Now, task: &TaskKey) {
        self.failed_starts.note(now.time, task);
    }

    /// Drops what was noted of jobs that have ended.
    pub(super) fn forget_failed_starts(&mut self) {
        let jobs = &self.ledger.jobs;
        self.failed_starts.by_task.retain(|task, _| jobs.contains_key(&task.job));
    }
}
