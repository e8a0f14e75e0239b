//! What callers hand in, and the checks that it passes before it is stored.

use std::{sync::Arc, time::Duration};

use borageswitch_types::{
    names::{CallerName, JobName, RackName},
    time::UnixMillis,
};

use crate::config::Queue;

/// The longest text that a job may carry for its tasks, in bytes; the platform's limit.
pub const MAX_TEXT: usize = 4_000;
/// The most steps of a job. The platform names no limit; this bounds what one request can hold.
pub const MAX_STEPS: usize = 256;
/// The most tasks of all steps together. It bounds the memory that one request can claim, far
/// above the widest jobs that callers hand in (some hundred tasks).
pub const MAX_TASKS: u64 = 10_000;

/// What a task needs of a host while it runs.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    serde::Serialize,
    serde::Deserialize,
    derive_more::Add,
    derive_more::AddAssign,
    derive_more::Display,
)]
#[display("{cpu_milli} thousandths of a core, {memory_mb} MB, {accelerators} accelerators")]
pub struct Size {
    /// Thousandths of a core.
    pub cpu_milli: u64,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl Size {
    /// Whether something of size `other` fits into this.
    pub fn holds(&self, other: &Size) -> bool {
        self.cpu_milli >= other.cpu_milli
            && self.memory_mb >= other.memory_mb
            && self.accelerators >= other.accelerators
    }

    /// So many of this.
    pub fn times(&self, count: u64) -> Size {
        Size {
            cpu_milli: self.cpu_milli * count,
            memory_mb: self.memory_mb * count,
            accelerators: self.accelerators * count,
        }
    }

    /// What is left after taking `other` away; nothing of a kind where `other` has more.
    pub fn less(&self, other: &Size) -> Size {
        Size {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

/// Tasks of one kind within a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Step {
    /// How many tasks.
    pub count: u32,
    /// What each needs.
    pub size: Size,
    /// The caller's rough estimate of a task's run time.
    pub estimate: Duration,
    /// Steps all of whose tasks must be done before one of these starts.
    pub after: Vec<u16>,
    /// The tasks save their progress.
    pub checkpointing: bool,
    /// The tasks work only while all of them run, and end together.
    pub gang: bool,
    /// The tasks are slower when they run on more than one rack.
    pub rack_local: bool,
    /// The label that a host must have.
    pub label: Option<Arc<str>>,
    /// The rack that holds the data; tasks are slower elsewhere.
    pub data_rack: Option<RackName>,
    /// At most this many tasks of the step run on one host.
    pub max_per_host: Option<u32>,
    /// Copies of a task may run at the same time.
    pub speculative: bool,
    /// The tasks run until the job is cancelled.
    pub lasting: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<Arc<str>>,
    /// The tail of response times that lasting tasks must stay under.
    pub target_tail: Option<Duration>,
    /// The tasks use the processor time that others leave; theirs is not reserved.
    pub fills: bool,
    /// How many lasting tasks may be away at once through planned work.
    pub max_unavailable: Option<u32>,
}

/// When the steps of a timed job run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Schedule {
    /// When the first occurrence is due.
    pub first: UnixMillis,
    /// From one occurrence to the next.
    pub interval: Duration,
    /// How many occurrences there are.
    pub times: u32,
}

/// A job as its caller describes it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct JobSpec {
    /// Handed to each task unread.
    pub text: Arc<str>,
    /// The steps, in the order by which [`Step::after`] counts them.
    pub steps: Vec<Step>,
    /// Set for jobs that run at set times.
    pub schedule: Option<Schedule>,
}

/// A job that was accepted.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Submission {
    /// Its id, chosen by the caller.
    pub job: JobName,
    /// The queue that it was handed in to, as it stood then: should the operator remove the queue,
    /// the job still runs to its end.
    pub queue: Queue,
    /// When it arrived, by the accepting host's wall clock.
    pub accepted: UnixMillis,
    /// What to run.
    pub spec: JobSpec,
    /// Whose it is; nobody's where callers need no key. Last of all, as submissions that were
    /// stored before there were callers end before it.
    pub caller: Option<CallerName>,
}

impl Submission {
    /// Whether the job is of another caller than this one.
    ///
    /// A job of nobody is everybody's, and so is any job to whom a queue without keys is open.
    pub fn is_foreign_to(&self, caller: Option<&CallerName>) -> bool {
        self.caller.as_ref().zip(caller).is_some_and(|(own, other)| own != other)
    }
}

/// Why a job cannot be taken.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum JobError {
    /// The text is too long.
    #[display("spec: {_0} bytes, at most {MAX_TEXT} are allowed")]
    TextTooLong(usize),
    /// There is nothing to run.
    #[display("steps: a job needs one step at least")]
    NoSteps,
    /// There are too many steps.
    #[display("steps: {_0} steps, at most {MAX_STEPS} are allowed")]
    TooManySteps(usize),
    /// There are too many tasks.
    #[display("steps.count: {_0} tasks, at most {MAX_TASKS} are allowed")]
    TooManyTasks(u64),
    /// A step has no tasks.
    #[display("steps.{_0}.count: a step needs one task at least")]
    EmptyStep(usize),
    /// A step waits for one that does not exist.
    #[display("steps.{step}.after: there is no step {after}")]
    UnknownStep {
        /// The step that waits.
        step: usize,
        /// What it waits for.
        after: u16,
    },
    /// Steps wait for each other.
    #[display("steps.{_0}.after: the step waits for itself")]
    Cycle(usize),
}

impl std::error::Error for JobError {}

impl JobSpec {
    /// Checks what no single field shows.
    ///
    /// # Errors
    ///
    /// Names the first field that is wrong.
    pub fn check(&self) -> Result<(), JobError> {
        if self.text.len() > MAX_TEXT {
            return Err(JobError::TextTooLong(self.text.len()));
        }
        if self.steps.is_empty() {
            return Err(JobError::NoSteps);
        }
        if self.steps.len() > MAX_STEPS {
            return Err(JobError::TooManySteps(self.steps.len()));
        }
        if let Some(empty) = self.steps.iter().position(|step| step.count == 0) {
            return Err(JobError::EmptyStep(empty));
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if tasks > MAX_TASKS {
            return Err(JobError::TooManyTasks(tasks));
        }
        self.check_order()
    }

    fn check_order(&self) -> Result<(), JobError> {
        for (number, step) in self.steps.iter().enumerate() {
            for &after in &step.after {
                if usize::from(after) >= self.steps.len() {
                    return Err(JobError::UnknownStep { step: number, after });
                }
            }
        }
        match self.depths() {
            Ok(_) => Ok(()),
            Err(step) => Err(JobError::Cycle(step)),
        }
    }

    /// For each step how many steps come before it in a row, or a step that waits for itself.
    fn depths(&self) -> Result<Vec<usize>, usize> {
        let mut depths = vec![0; self.steps.len()];
        for _ in 0..=self.steps.len() {
            let mut changed = None;
            for (number, step) in self.steps.iter().enumerate() {
                let before = step.after.iter().map(|&after| depths[usize::from(after)] + 1).max();
                let depth = before.unwrap_or(0);
                if depth > depths[number] {
                    depths[number] = depth;
                    changed = Some(number);
                }
            }
            match changed {
                None => return Ok(depths),
                Some(step) if depths[step] > self.steps.len() => return Err(step),
                Some(_) => {}
            }
        }
        Err(0)
    }

    /// Whether the job runs until it is cancelled.
    pub fn is_lasting(&self) -> bool {
        self.steps.iter().any(|step| step.lasting)
    }

    /// How often the steps run.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times)
    }
}
