//! Tasks whose starts have come to nothing wait before they are started again; for how long,
//! [`crate::policy::start_backoff`] decides.

use std::collections::BTreeMap;

use borageswitch_types::Time;

use crate::{
    event::{Now, StartResponse},
    policy::start_backoff,
    reducer::{Scheduler, waiting::WaitingStep},
    task::TaskKey,
};

#[derive(Clone, Copy, Debug)]
struct Failed {
    in_a_row: u32,
    not_before: Time,
}

/// The starts that have come to nothing, by task, since one was confirmed.
#[derive(Debug, Default)]
pub struct FailedStarts {
    by_task: BTreeMap<TaskKey, Failed>,
}

impl FailedStarts {
    fn note(&mut self, now: Time, task: &TaskKey) {
        let none = Failed { in_a_row: 0, not_before: now };
        let failed = self.by_task.entry(task.clone()).or_insert(none);
        failed.in_a_row += 1;
        failed.not_before = now + start_backoff::backoff(failed.in_a_row);
    }

    /// Whether a task is not to be started yet.
    pub(super) fn holds_back(&self, now: Time, task: &TaskKey) -> bool {
        self.by_task.get(task).is_some_and(|failed| now < failed.not_before)
    }

    /// Whether a member of a gang is not to be started yet, and so none of them.
    pub(super) fn holds_back_gang(&self, now: Time, step: &WaitingStep) -> bool {
        let mut members = step.waiting.iter().map(|&index| step.key.task(index));
        !self.by_task.is_empty() && members.any(|member| self.holds_back(now, &member))
    }

    /// A run of a task is known to be there.
    pub(super) fn confirmed(&mut self, task: &TaskKey) {
        self.by_task.remove(task);
    }
}

impl Scheduler {
    /// Takes in what came of a start.
    pub(super) fn note_start(&mut self, now: Now, task: &TaskKey, answer: StartResponse) {
        match answer {
            StartResponse::Started => self.failed_starts.confirmed(task),
            // The leader or the executor is over; the task has nothing to do with it.
            StartResponse::Fenced | StartResponse::OtherIncarnation => {}
            StartResponse::Outdated
            | StartResponse::Late
            | StartResponse::NoRoom
            | StartResponse::NotPermitted
            | StartResponse::Unhealthy
            | StartResponse::Malformed
            | StartResponse::NotSent
            | StartResponse::Lost => self.failed_starts.note(now.time, task),
        }
    }

    /// A member of a gang has ended because the others did not come.
    pub(super) fn note_alone(&mut self, now: Now, task: &TaskKey) {
        self.failed_starts.note(now.time, task);
    }

    /// Drops what was noted of jobs that have ended.
    pub(super) fn forget_failed_starts(&mut self) {
        let jobs = &self.ledger.jobs;
        self.failed_starts.by_task.retain(|task, _| jobs.contains_key(&task.job));
    }
}
