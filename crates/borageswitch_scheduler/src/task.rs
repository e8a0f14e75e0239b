//! Identifiers of tasks and steps.

use std::{fmt, str::FromStr};

use borageswitch_types::names::JobName;

/// One task of one occurrence of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub struct TaskKey {
    /// The job that it belongs to.
    pub job: JobName,
    /// The occurrence of the schedule; 0 for jobs without a schedule.
    pub occurrence: u32,
    /// The index of the step within the job.
    pub step: u16,
    /// The index of the task within its step.
    pub index: u32,
}

/// One step of one occurrence of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub struct StepKey {
    /// The job that it belongs to.
    pub job: JobName,
    /// The occurrence of the schedule.
    pub occurrence: u32,
    /// The index of the step within the job.
    pub step: u16,
}

impl TaskKey {
    /// Returns the step that the task belongs to.
    pub fn step_key(&self) -> StepKey {
        StepKey { job: self.job.clone(), occurrence: self.occurrence, step: self.step }
    }
}

impl StepKey {
    /// Returns the task with an index within this step.
    pub fn task(&self, index: u32) -> TaskKey {
        TaskKey { job: self.job.clone(), occurrence: self.occurrence, step: self.step, index }
    }
}

impl fmt::Display for StepKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

/// The error for text that cannot be parsed as a [`TaskKey`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display("a task name must have the form JOB.OCCURRENCE.STEP.INDEX")]
pub struct ParseTaskKeyError;

impl std::error::Error for ParseTaskKeyError {}

impl FromStr for TaskKey {
    type Err = ParseTaskKeyError;

    fn from_str(text: &str) -> Result<Self, ParseTaskKeyError> {
        let mut parts = text.rsplitn(4, '.');
        let index = parse_number(parts.next())?;
        let step = parse_number(parts.next())?;
        let occurrence = parse_number(parts.next())?;
        let job = parts.next().ok_or(ParseTaskKeyError)?;
        Ok(TaskKey { job: JobName::from(job), occurrence, step, index })
    }
}

fn parse_number<T>(part: Option<&str>) -> Result<T, ParseTaskKeyError>
where
    T: FromStr,
{
    part.and_then(|part| part.parse().ok()).ok_or(ParseTaskKeyError)
}
