//! Why a job has failed.

use std::fmt::{Display, Write};

use borageswitch_types::names::JobName;

use crate::{
    ledger::{
        counted_ends::CountedEnd,
        crashes::Crash,
        job::{Job, Occurrence},
        run_end,
    },
    reducer::Scheduler,
    task::{StepKey, TaskKey},
};

/// The maximum length of the list of ends or crashes in one log line, in bytes. A few attempts or
/// crashes fit.
const MAX_LIST_BYTES: usize = 1_500;

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

    /// What the ledger knows of the runs on which the failure of a job rests, for the log.
    pub(super) fn basis_of(&self, cause: &FailureCause) -> String {
        match cause {
            FailureCause::Attempts { task, failures, .. } => {
                let ends = self.counted_ends_of(task);
                // Earlier versions stored the number of failures alone.
                let unknown = usize::from(*failures).saturating_sub(ends.len());
                format!(" ends_unknown={unknown} ends={}", bounded_list(ends.into_iter()))
            }
            FailureCause::Crashes { task } => {
                let given_up = self.ledger.given_up.get(&task.job);
                let crashes = given_up.map(|given_up| given_up.crashes.as_slice());
                let crashes = crashes.unwrap_or_default().iter().map(describe_crash);
                format!(" crashes={}", bounded_list(crashes))
            }
        }
    }

    /// The ends that count for a task, which are those of all members if it belongs to a gang.
    fn counted_ends_of(&self, task: &TaskKey) -> Vec<&CountedEnd> {
        let job = self.ledger.jobs.get(&task.job);
        let is_gang = job.and_then(|job| job.step(task.step)).is_some_and(|step| step.gang);
        let counted = &self.ledger.counted_ends;
        if is_gang {
            counted.of_step(&task.step_key()).flat_map(|(_, ends)| ends).collect()
        } else {
            counted.of_task(task).iter().collect()
        }
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

fn describe_crash(crash: &Crash) -> String {
    let Crash { executor, run, lived_ms, evidence, at, .. } = crash;
    let age_ms = crash.max_age().map_or("?".to_owned(), |age| age.as_millis().to_string());
    format!(
        "run {run} on {executor} at {} age_ms {age_ms} lived_ms {lived_ms} evidence {evidence}",
        at.0
    )
}

/// Lists items up to [`MAX_LIST_BYTES`], and says how many more there are.
fn bounded_list<I>(items: I) -> String
where
    I: Iterator,
    I::Item: Display,
{
    let mut list = String::new();
    let mut left_out = 0;
    for item in items {
        let item = item.to_string();
        if left_out > 0 || list.len() + item.len() > MAX_LIST_BYTES {
            left_out += 1;
            continue;
        }
        let separator = if list.is_empty() { "" } else { "; " };
        let _ = write!(list, "{separator}{item}");
    }
    format!("[{list}] left_out={left_out}")
}
