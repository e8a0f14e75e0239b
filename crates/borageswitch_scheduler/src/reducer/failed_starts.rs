//! Backoff of tasks whose starts have failed; [`crate::policy::start_backoff`] defines its length.

use std::collections::BTreeMap;

use borageswitch_types::Time;

use crate::{
    event::{Now, StartResponse},
    policy::start_backoff,
    reducer::{Scheduler, waiting::WaitingStep},
    task::TaskKey,
};

#[derive(Clone, Copy, Debug)]
struct Backoff {
    failures: u32,
    not_before: Time,
}

/// The consecutive failed starts of each task since its last confirmed run.
#[derive(Debug, Default)]
pub struct FailedStarts {
    by_task: BTreeMap<TaskKey, Backoff>,
}

impl FailedStarts {
    fn note_failure(&mut self, now: Time, task: &TaskKey) {
        let none = Backoff { failures: 0, not_before: now };
        let backoff = self.by_task.entry(task.clone()).or_insert(none);
        backoff.failures += 1;
        backoff.not_before = now + start_backoff::backoff(backoff.failures);
    }

    /// Whether a task must wait before it is started again.
    pub(super) fn is_backing_off(&self, now: Time, task: &TaskKey) -> bool {
        self.by_task.get(task).is_some_and(|backoff| now < backoff.not_before)
    }

    /// Whether a gang must wait because one of its members must.
    pub(super) fn is_gang_backing_off(&self, now: Time, step: &WaitingStep) -> bool {
        let mut members = step.waiting.iter().map(|&index| step.key.task(index));
        !self.by_task.is_empty() && members.any(|member| self.is_backing_off(now, &member))
    }

    /// Ends the backoff of a task whose run is known to exist.
    pub(super) fn confirmed(&mut self, task: &TaskKey) {
        self.by_task.remove(task);
    }
}

impl Scheduler {
    /// Updates the backoff of a task by the response to its start order.
    pub(super) fn note_start_response(&mut self, now: Now, task: &TaskKey, answer: StartResponse) {
        match answer {
            StartResponse::Started => self.failed_starts.confirmed(task),
            // The leader or the executor has been replaced, which says nothing about the task.
            StartResponse::Fenced | StartResponse::OtherIncarnation => {}
            StartResponse::Outdated
            | StartResponse::Late
            | StartResponse::NoRoom
            | StartResponse::NotPermitted
            | StartResponse::Unhealthy
            | StartResponse::Malformed
            | StartResponse::NotSent
            | StartResponse::Lost => self.failed_starts.note_failure(now.time, task),
        }
    }

    /// Records that a member of a gang has ended because the other members did not start.
    pub(super) fn note_gang_incomplete(&mut self, now: Now, task: &TaskKey) {
        self.failed_starts.note_failure(now.time, task);
    }

    /// Drops the backoff of tasks whose jobs have ended.
    pub(super) fn forget_failed_starts(&mut self) {
        let jobs = &self.ledger.jobs;
        self.failed_starts.by_task.retain(|task, _| jobs.contains_key(&task.job));
    }
}
