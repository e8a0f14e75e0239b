//! The state of a job: its occurrences, their steps and tasks.

use std::{collections::BTreeMap, sync::Arc};

use borageswitch_types::names::ExecutorName;

use crate::{
    executor::EndKind,
    job::{MAX_TASKS, Step, Submission},
    ledger::run_end::{self, RunEnd},
    task::TaskKey,
};

/// The executor on which a run of a task was ordered.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Assignment {
    /// The executor.
    pub executor: ExecutorName,
    /// The run.
    pub run: u32,
}

/// The state of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct TaskState {
    /// The highest number of its runs so far; 0 before the first.
    pub last_run: u32,
    /// The number of its failures.
    pub failures: u16,
    /// Whether it is done.
    pub done: bool,
    /// Its last checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// The run that is ordered, and may be running.
    pub assigned: Option<Assignment>,
}

impl TaskState {
    pub(super) fn assign(&mut self, run: u32, executor: &ExecutorName) {
        self.last_run = self.last_run.max(run);
        self.assigned = Some(Assignment { executor: executor.clone(), run });
    }

    pub(super) fn release(&mut self, run: u32) {
        if self.assigned.as_ref().is_some_and(|assigned| assigned.run == run) {
            self.assigned = None;
        }
    }

    /// Returns whether the task itself is ready to be placed; its step may still be blocked.
    pub fn is_waiting(&self) -> bool {
        !self.done && self.assigned.is_none()
    }
}

/// The state of a step of an occurrence.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StepState {
    /// Its tasks.
    pub tasks: Vec<TaskState>,
    /// The number of tasks that are done.
    pub done: u32,
}

impl StepState {
    fn new(step: &Step) -> Self {
        Self { tasks: vec![TaskState::default(); step.count as usize], done: 0 }
    }

    fn completed(step: &Step) -> Self {
        let task = TaskState { done: true, ..TaskState::default() };
        Self { tasks: vec![task; step.count as usize], done: step.count }
    }

    fn reopen(&mut self) {
        self.tasks.iter_mut().for_each(|task| task.done = false);
        self.done = 0;
    }

    /// Returns whether every task is done.
    pub fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }
}

/// The state of one occurrence of a job's steps.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Occurrence {
    /// Its steps.
    pub steps: Vec<StepState>,
}

impl Occurrence {
    /// Returns whether every step is done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(StepState::is_done)
    }
}

/// The part of a job that changes while it runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Progress {
    /// The occurrences that have begun and are not done.
    pub open: BTreeMap<u32, Occurrence>,
    /// The number of occurrences that have begun.
    pub begun: u32,
    /// Whether a task of the job was ever started.
    pub started: bool,
}

/// A job that has not ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// The job as it was submitted.
    pub submission: Arc<Submission>,
    /// Its progress.
    pub progress: Progress,
}

impl Job {
    /// Creates a job that has just been accepted. One without a schedule begins at once.
    pub fn new(submission: Arc<Submission>) -> Self {
        let mut job = Self { submission, progress: Progress::default() };
        if job.submission.spec.schedule.is_none() {
            job.begin_occurrence(0);
        }
        job
    }

    /// Creates a job with the progress that a leader has stored.
    ///
    /// Earlier versions took a lasting gang for done when its runs ended. Such gangs, and the
    /// occurrences that were closed with them, are opened again.
    pub(super) fn with_progress(submission: Arc<Submission>, progress: Progress) -> Self {
        let mut job = Self { submission, progress };
        if !job.submission.spec.is_lasting() {
            return job;
        }
        let steps = &job.submission.spec.steps;
        for occurrence in 0..job.progress.begun {
            let open = job.progress.open.entry(occurrence).or_insert_with(|| Occurrence {
                steps: steps.iter().map(StepState::completed).collect(),
            });
            for (state, step) in open.steps.iter_mut().zip(steps) {
                if step.lasting && state.done > 0 {
                    state.reopen();
                }
            }
        }
        job
    }

    /// Returns whether another occurrence can begin: occurrences may overlap, and those of a job
    /// have at most as many tasks at a time as a job without a schedule.
    pub fn has_room_for_occurrence(&self) -> bool {
        let tasks: u64 = self.submission.spec.steps.iter().map(|s| u64::from(s.count)).sum();
        let open = self.progress.open.len() as u64;
        open == 0 || tasks.saturating_mul(open + 1) <= MAX_TASKS
    }

    /// Begins an occurrence that is due: its tasks may run.
    pub(super) fn begin_occurrence(&mut self, occurrence: u32) {
        if occurrence < self.progress.begun {
            return;
        }
        let steps = self.submission.spec.steps.iter().map(StepState::new).collect();
        self.progress.open.insert(occurrence, Occurrence { steps });
        self.progress.begun = occurrence + 1;
    }

    /// Returns whether nothing has happened to the job since it was accepted, so that its
    /// submission describes its whole state.
    pub fn is_untouched(&self) -> bool {
        let begun_at_first = if self.submission.spec.schedule.is_some() { 0 } else { 1 };
        !self.progress.started && self.progress.begun == begun_at_first
    }

    /// Returns whether a task of the job is known to have run, by a stored end.
    pub fn has_stored_ends(&self) -> bool {
        let ended = |step: &StepState| step.done > 0 || step.tasks.iter().any(|t| t.failures > 0);
        let mut open = self.progress.open.values();
        self.progress.begun as usize > open.len()
            || open.any(|occurrence| occurrence.steps.iter().any(ended))
    }

    /// Returns whether every occurrence has begun and is done.
    pub fn is_done(&self) -> bool {
        self.progress.open.is_empty() && self.progress.begun >= self.submission.spec.occurrences()
    }

    /// Returns the specification of a step.
    pub fn step(&self, step: u16) -> Option<&Step> {
        self.submission.spec.steps.get(usize::from(step))
    }

    /// Returns the state of a step of an open occurrence.
    pub fn step_state(&self, occurrence: u32, step: u16) -> Option<&StepState> {
        self.progress.open.get(&occurrence)?.steps.get(usize::from(step))
    }

    /// Returns the state of a task of an open occurrence.
    pub fn task(&self, task: &TaskKey) -> Option<&TaskState> {
        self.step_state(task.occurrence, task.step)?.tasks.get(task.index as usize)
    }

    pub(super) fn task_mut(&mut self, task: &TaskKey) -> Option<&mut TaskState> {
        // Tasks are only changed to assign or release them.
        self.progress.started = true;
        let occurrence = self.progress.open.get_mut(&task.occurrence)?;
        occurrence.steps.get_mut(usize::from(task.step))?.tasks.get_mut(task.index as usize)
    }

    /// Returns whether all steps that `step` waits for are done.
    pub fn is_unblocked(&self, occurrence: &Occurrence, step: &Step) -> bool {
        step.after.iter().all(|&after| occurrence.steps[usize::from(after)].is_done())
    }

    pub(super) fn end(
        &mut self,
        task: &TaskKey,
        run: u32,
        kind: EndKind,
        checkpoint: Option<&Arc<str>>,
    ) {
        let Some(step) = self.step(task.step).cloned() else { return };
        let Some(occurrence) = self.progress.open.get_mut(&task.occurrence) else { return };
        let Some(state) = occurrence.steps.get_mut(usize::from(task.step)) else { return };
        run_end::apply(state, &step, &RunEnd { index: task.index, run, kind, checkpoint });
        if occurrence.is_done() {
            self.progress.open.remove(&task.occurrence);
        }
    }
}
