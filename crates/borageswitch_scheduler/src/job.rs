//! Jobs as callers submit them, and their validation before they are stored.

use std::{
    ops::{Add, AddAssign},
    sync::Arc,
    time::Duration,
};

use borageswitch_types::{
    names::{CallerName, JobName, RackName},
    time::UnixMillis,
};

use crate::{config::Queue, policy::runtime_estimates::LONGEST_COUNTED_RUN};

/// The longest payload of a job, in bytes. The limit is set by the platform.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;
/// The largest number of steps of a job. The platform sets no limit; this one bounds the size of a
/// request.
pub const MAX_STEPS: usize = 256;
/// The largest number of tasks in all steps of a job. It bounds the memory that one request can
/// allocate and is far above the largest jobs in use (some hundred tasks).
pub const MAX_TASKS: u64 = 10_000;

/// An amount of resources: the requirement of a task, or the capacity of a host.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    serde::Serialize,
    serde::Deserialize,
    derive_more::Display,
)]
#[display("{cpu_milli} thousandths of a core, {memory_mb} MB, {accelerators} accelerators")]
pub struct Size {
    /// Processor time, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// The number of accelerators.
    pub accelerators: u64,
}

impl Size {
    /// Returns whether `other` fits into this size.
    pub fn holds(&self, other: &Size) -> bool {
        self.cpu_milli >= other.cpu_milli
            && self.memory_mb >= other.memory_mb
            && self.accelerators >= other.accelerators
    }

    /// Returns this size multiplied by `count`, at most the largest size.
    pub fn times(&self, count: u64) -> Size {
        Size {
            cpu_milli: self.cpu_milli.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// Returns this size minus `other`. Resources of which `other` has more become 0.
    pub fn less(&self, other: &Size) -> Size {
        Size {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

/// Sums saturate: sizes are given by callers, operators and hosts.
impl Add for Size {
    type Output = Size;

    fn add(self, rhs: Size) -> Size {
        Size {
            cpu_milli: self.cpu_milli.saturating_add(rhs.cpu_milli),
            memory_mb: self.memory_mb.saturating_add(rhs.memory_mb),
            accelerators: self.accelerators.saturating_add(rhs.accelerators),
        }
    }
}

impl AddAssign for Size {
    fn add_assign(&mut self, rhs: Size) {
        *self = *self + rhs;
    }
}

/// A group of identical tasks within a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Step {
    /// The number of tasks.
    pub count: u32,
    /// The resources that each task needs.
    pub size: Size,
    /// The caller's rough estimate of the run time of a task.
    pub estimate: Duration,
    /// Indices of the steps that must be completed before a task of this step starts.
    pub after: Vec<u16>,
    /// The tasks save checkpoints, from which they can resume.
    pub checkpointing: bool,
    /// The tasks form a gang: they make progress only while all of them run, and end together.
    pub gang: bool,
    /// The tasks run slower if they are spread over several racks.
    pub rack_local: bool,
    /// A label that hosts must have to run the tasks.
    pub label: Option<Arc<str>>,
    /// The rack with the data of the tasks; they run slower in other racks.
    pub data_rack: Option<RackName>,
    /// The largest number of tasks of this step on one host.
    pub max_per_host: Option<u32>,
    /// Several copies of a task may run at the same time.
    pub speculative: bool,
    /// The tasks run until the job is cancelled.
    pub lasting: bool,
    /// The image that the tasks run; tasks of the same image behave alike.
    pub image: Option<Arc<str>>,
    /// The upper bound for the tail response time of lasting tasks.
    pub target_tail: Option<Duration>,
    /// The tasks use spare processor time of other tasks; none is reserved for them.
    pub best_effort: bool,
    /// The largest number of lasting tasks that planned work may take down at once.
    pub max_unavailable: Option<u32>,
}

/// The schedule of a job that runs repeatedly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Schedule {
    /// When the first occurrence is due.
    pub first: UnixMillis,
    /// The time from one occurrence to the next.
    pub interval: Duration,
    /// The number of occurrences.
    pub times: u32,
}

impl Schedule {
    /// Returns when an occurrence is due; `None` if no clock ever shows that time.
    pub fn due(&self, occurrence: u32) -> Option<UnixMillis> {
        let interval = u64::try_from(self.interval.as_millis()).ok()?;
        let since_first = interval.checked_mul(u64::from(occurrence))?;
        self.first.0.checked_add(since_first).map(UnixMillis)
    }
}

/// A job as its caller describes it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct JobSpec {
    /// Opaque payload, passed to every task unchanged.
    pub payload: Arc<str>,
    /// The steps; [`Step::after`] refers to their indices.
    pub steps: Vec<Step>,
    /// Set for jobs that run on a schedule.
    pub schedule: Option<Schedule>,
}

/// An accepted job.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Submission {
    /// The id of the job, chosen by the caller.
    pub job: JobName,
    /// The queue at the time of submission. The copy is needed to finish the job if the operator
    /// removes the queue.
    pub queue: Queue,
    /// When the job arrived, by the wall clock of the host that accepted it.
    pub accepted: UnixMillis,
    /// The description of the work.
    pub spec: JobSpec,
    /// The caller that owns the job; `None` if the queue needs no key. This must remain the last
    /// field: submissions that were stored before callers existed end before it.
    pub caller: Option<CallerName>,
}

impl Submission {
    /// Returns whether the job is owned by another caller than the given one.
    ///
    /// A job without an owner is foreign to nobody, and no job is foreign to an unauthenticated
    /// caller, who can reach only queues that need no key.
    pub fn is_foreign_to(&self, caller: Option<&CallerName>) -> bool {
        self.caller.as_ref().zip(caller).is_some_and(|(own, other)| own != other)
    }
}

/// Why a job is rejected.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum JobError {
    /// The payload is too long.
    #[display("spec: {_0} bytes, at most {MAX_PAYLOAD_BYTES} are allowed")]
    PayloadTooLong(usize),
    /// The job has no steps.
    #[display("steps: a job needs one step at least")]
    NoSteps,
    /// The job has too many steps.
    #[display("steps: {_0} steps, at most {MAX_STEPS} are allowed")]
    TooManySteps(usize),
    /// The job has too many tasks.
    #[display("steps.count: {_0} tasks, at most {MAX_TASKS} are allowed")]
    TooManyTasks(u64),
    /// A step has no tasks.
    #[display("steps.{_0}.count: a step needs one task at least")]
    EmptyStep(usize),
    /// A step depends on one that does not exist.
    #[display("steps.{step}.after: there is no step {after}")]
    UnknownStep {
        /// The index of the dependent step.
        step: usize,
        /// The index of the missing step.
        after: u16,
    },
    /// The dependencies between steps have a cycle.
    #[display("steps.{_0}.after: the step waits for itself")]
    Cycle(usize),
}

impl std::error::Error for JobError {}

impl JobSpec {
    /// Validates limits and dependencies that cannot be checked field by field.
    ///
    /// # Errors
    ///
    /// Returns the first violation, with the name of the field.
    pub fn check(&self) -> Result<(), JobError> {
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(JobError::PayloadTooLong(self.payload.len()));
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
        self.check_dependencies()
    }

    fn check_dependencies(&self) -> Result<(), JobError> {
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

    /// Returns for each step the length of its longest chain of dependencies, or a step of a cycle
    /// as the error.
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

    /// Returns the duration of the longest chain of steps, of which each takes `duration` by its
    /// index.
    pub fn longest_chain<F>(&self, duration: F) -> Duration
    where
        F: Fn(usize, &Step) -> Duration,
    {
        let mut ends = vec![Duration::ZERO; self.steps.len()];
        // Steps may depend on steps with higher numbers, so it takes as many rounds as the longest
        // chain has steps until the ends no longer change.
        for _ in 0..self.steps.len() {
            let mut changed = false;
            for (number, step) in self.steps.iter().enumerate() {
                let before = step.after.iter().map(|&after| ends[usize::from(after)]).max();
                let end = before.unwrap_or_default().saturating_add(duration(number, step));
                changed |= end != ends[number];
                ends[number] = end;
            }
            if !changed {
                break;
            }
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns the core-seconds of all tasks by their declared run times. Best-effort tasks count
    /// nothing, as no processor time is reserved for them.
    pub fn declared_core_seconds(&self) -> f64 {
        let reserved = self.steps.iter().filter(|step| !step.best_effort);
        let work = |step: &Step| {
            let cores = step.size.cpu_milli as f64 / 1_000.0;
            let each = step.estimate.min(LONGEST_COUNTED_RUN);
            f64::from(step.count) * cores * each.as_secs_f64()
        };
        reserved.map(work).sum()
    }

    /// Returns whether the job runs until it is cancelled.
    pub fn is_lasting(&self) -> bool {
        self.steps.iter().any(|step| step.lasting)
    }

    /// Returns the number of occurrences; 1 without a schedule.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times)
    }
}
