//! How a job stands: its occurrences, their steps and tasks.

use std::{collections::BTreeMap, sync::Arc};

use borageswitch_types::names::ExecutorName;

use crate::{
    executor::EndKind,
    job::{Step, Submission},
    task::TaskKey,
};

/// Where a run of a task was ordered.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Assignment {
    /// The executor.
    pub executor: ExecutorName,
    /// The run.
    pub run: u32,
}

/// How a task stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct TaskState {
    /// The highest number that a run of it has had; 0 before the first.
    pub last_run: u32,
    /// How often it has failed.
    pub failures: u16,
    /// It is done.
    pub done: bool,
    /// What it saved last.
    pub checkpoint: Option<Arc<str>>,
    /// Where it runs, or may be running.
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

    /// Whether it waits for a host, as far as the task itself is concerned.
    pub fn is_waiting(&self) -> bool {
        !self.done && self.assigned.is_none()
    }
}

/// How a step of an occurrence stands.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StepState {
    /// Its tasks.
    pub tasks: Vec<TaskState>,
    /// How many of them are done.
    pub done: u32,
}

impl StepState {
    fn new(step: &Step) -> Self {
        Self { tasks: vec![TaskState::default(); step.count as usize], done: 0 }
    }

    /// Whether every task is done.
    pub fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }
}

/// How one occurrence of a job's steps stands.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Occurrence {
    /// Its steps.
    pub steps: Vec<StepState>,
}

impl Occurrence {
    /// Whether every step is done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(StepState::is_done)
    }
}

/// The part of a job that changes while it runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Progress {
    /// Occurrences that have begun and are not done.
    pub open: BTreeMap<u32, Occurrence>,
    /// How many occurrences have begun.
    pub begun: u32,
    /// A task of it was started at least once.
    pub started: bool,
}

/// A job that has not ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// What was handed in.
    pub submission: Arc<Submission>,
    /// How far it is.
    pub progress: Progress,
}

impl Job {
    /// A job that was just accepted. One without a schedule begins at once.
    pub fn new(submission: Arc<Submission>) -> Self {
        let mut job = Self { submission, progress: Progress::default() };
        if job.submission.spec.schedule.is_none() {
            job.begin_occurrence(0);
        }
        job
    }

    /// The occurrence is due: its tasks may run.
    pub(super) fn begin_occurrence(&mut self, occurrence: u32) {
        if occurrence < self.progress.begun {
            return;
        }
        let steps = self.submission.spec.steps.iter().map(StepState::new).collect();
        self.progress.open.insert(occurrence, Occurrence { steps });
        self.progress.begun = occurrence + 1;
    }

    /// Whether nothing has happened to the job since it was accepted: its description tells all.
    pub fn is_untouched(&self) -> bool {
        let at_first = if self.submission.spec.schedule.is_some() { 0 } else { 1 };
        !self.progress.started && self.progress.begun == at_first
    }

    /// Whether a task of it is known to have run, by an end that is stored.
    pub fn has_ends(&self) -> bool {
        let ended = |step: &StepState| step.done > 0 || step.tasks.iter().any(|t| t.failures > 0);
        let mut open = self.progress.open.values();
        self.progress.begun as usize > open.len()
            || open.any(|occurrence| occurrence.steps.iter().any(ended))
    }

    /// Whether every occurrence has begun and is done.
    pub fn is_done(&self) -> bool {
        self.progress.open.is_empty() && self.progress.begun >= self.submission.spec.occurrences()
    }

    /// The description of a step.
    pub fn step(&self, step: u16) -> Option<&Step> {
        self.submission.spec.steps.get(usize::from(step))
    }

    /// How a step of an open occurrence stands.
    pub fn step_state(&self, occurrence: u32, step: u16) -> Option<&StepState> {
        self.progress.open.get(&occurrence)?.steps.get(usize::from(step))
    }

    /// How a task stands.
    pub fn task(&self, task: &TaskKey) -> Option<&TaskState> {
        self.step_state(task.occurrence, task.step)?.tasks.get(task.index as usize)
    }

    pub(super) fn task_mut(&mut self, task: &TaskKey) -> Option<&mut TaskState> {
        // Whoever asks to change a task is about to assign or release it.
        self.progress.started = true;
        let occurrence = self.progress.open.get_mut(&task.occurrence)?;
        occurrence.steps.get_mut(usize::from(task.step))?.tasks.get_mut(task.index as usize)
    }

    /// Whether all steps that `step` waits for are done.
    pub fn is_unblocked(&self, occurrence: &Occurrence, step: &Step) -> bool {
        step.after.iter().all(|&after| occurrence.steps[usize::from(after)].is_done())
    }

    pub(super) fn end(
        &mut self,
        task: &TaskKey,
        run: u32,
        how: EndKind,
        checkpoint: Option<&Arc<str>>,
    ) {
        let Some(step) = self.step(task.step).cloned() else { return };
        let Some(occurrence) = self.progress.open.get_mut(&task.occurrence) else { return };
        let Some(state) = occurrence.steps.get_mut(usize::from(task.step)) else { return };
        if state.tasks.get(task.index as usize).is_none_or(|task| task.done) {
            return;
        }
        let checkpoint = checkpoint.filter(|_| step.checkpointing);
        if step.gang {
            end_of_gang(state, task, run, how, checkpoint);
        } else {
            end_of_task(state, &step, task, run, how, checkpoint);
        }
        if occurrence.is_done() {
            self.progress.open.remove(&task.occurrence);
        }
    }
}

fn end_of_task(
    state: &mut StepState,
    step: &Step,
    key: &TaskKey,
    run: u32,
    how: EndKind,
    checkpoint: Option<&Arc<str>>,
) {
    let task = &mut state.tasks[key.index as usize];
    task.release(run);
    if let Some(checkpoint) = checkpoint {
        task.checkpoint = Some(checkpoint.clone());
    }
    match how {
        EndKind::Done if !step.lasting => {
            task.done = true;
            task.assigned = None;
            state.done += 1;
        }
        EndKind::Failed => task.failures = task.failures.saturating_add(1),
        EndKind::Done
        | EndKind::Stopped
        | EndKind::LeaseExpired
        | EndKind::GangBroken
        | EndKind::GangIncomplete => {}
    }
}

/// The members of a gang end together: one that is done stands for all, and one that failed is a
/// failure of the whole gang, counted once a run whoever reports it first.
fn end_of_gang(
    state: &mut StepState,
    key: &TaskKey,
    run: u32,
    how: EndKind,
    checkpoint: Option<&Arc<str>>,
) {
    if how == EndKind::Done {
        for task in &mut state.tasks {
            task.done = true;
            task.assigned = None;
        }
        state.done = state.tasks.len() as u32;
        return;
    }
    if let Some(checkpoint) = checkpoint {
        for task in &mut state.tasks {
            task.checkpoint = Some(checkpoint.clone());
        }
    }
    if how == EndKind::Failed {
        for task in &mut state.tasks {
            task.failures = task.failures.saturating_add(1);
        }
    }
    state.tasks[key.index as usize].release(run);
}
