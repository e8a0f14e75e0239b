//! Why a job has failed.

use borageswitch_types::names::JobName;

use crate::{
    ledger::{
        job::{Job, Occurrence},
        run_end,
    },
    reducer::Scheduler,
    task::{StepKey, TaskKey},
};

/// Why a job has failed.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub(super) enum FailureCause {
    /// A task has used up its attempts.
    #[display("attempts task={task} failures={failures} of {max_attempts}")]
    Attempts { task: TaskKey, failures: u16, max_attempts: u16 },
    /// A task was given up because it crashes executors.
    #[display("crashes task={task}")]
    Crashes { task: TaskKey },
}

impl Scheduler {
    /// Returns why a job has failed, if it has.
    pub(super) fn failure_cause(&self, name: &JobName, job: &Job) -> Option<FailureCause> {
        let max_attempts =
            self.job_states.get(name).map_or(u16::MAX, |job_state| job_state.max_attempts);
        used_up_attempts(name, job, max_attempts).or_else(|| {
            let given_up = self.ledger.given_up.get(name)?;
            Some(FailureCause::Crashes { task: given_up.task.clone() })
        })
    }
}

/// The first task of a job that has used up its attempts.
fn used_up_attempts(name: &JobName, job: &Job, max_attempts: u16) -> Option<FailureCause> {
    let find_in = |number: u32, occurrence: &Occurrence| {
        let steps = occurrence.steps.iter().zip(&job.submission.spec.steps).enumerate();
        steps.into_iter().find_map(|(index, (state, step))| {
            let task = run_end::task_without_attempts(state, step, max_attempts)?;
            let step = StepKey { job: name.clone(), occurrence: number, step: index as u16 };
            let failures = state.tasks.get(task as usize)?.failures;
            Some(FailureCause::Attempts { task: step.task(task), failures, max_attempts })
        })
    };
    job.progress.open.iter().find_map(|(number, occurrence)| find_in(*number, occurrence))
}
