//! How tasks and their runs are named.

use std::{fmt, str::FromStr};

use borageswitch_types::names::JobName;

/// One task of one occurrence of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub struct TaskKey {
    /// The job.
    pub job: JobName,
    /// Which occurrence; 0 for jobs without a schedule.
    pub occurrence: u32,
    /// The step's number.
    pub step: u16,
    /// The task's number within its step.
    pub index: u32,
}

/// One step of one occurrence of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StepKey {
    /// The job.
    pub job: JobName,
    /// Which occurrence.
    pub occurrence: u32,
    /// The step's number.
    pub step: u16,
}

impl TaskKey {
    /// The step that the task belongs to.
    pub fn step_key(&self) -> StepKey {
        StepKey { job: self.job.clone(), occurrence: self.occurrence, step: self.step }
    }
}

impl StepKey {
    /// A task of this step.
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

/// A text that names no task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display("a task is named JOB.OCCURRENCE.STEP.INDEX")]
pub struct BadTaskName;

impl std::error::Error for BadTaskName {}

impl FromStr for TaskKey {
    type Err = BadTaskName;

    fn from_str(text: &str) -> Result<Self, BadTaskName> {
        let mut parts = text.rsplitn(4, '.');
        let index = number(parts.next())?;
        let step = number(parts.next())?;
        let occurrence = number(parts.next())?;
        let job = parts.next().ok_or(BadTaskName)?;
        Ok(TaskKey { job: JobName::from(job), occurrence, step, index })
    }
}

fn number<T>(part: Option<&str>) -> Result<T, BadTaskName>
where
    T: FromStr,
{
    part.and_then(|part| part.parse().ok()).ok_or(BadTaskName)
}
