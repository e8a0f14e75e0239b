//! What the end of a run means for its task, its gang and its job.

use std::sync::Arc;

use crate::{executor::EndKind, job::Step, ledger::job::StepState};

/// What the end of a run means for its task, or for all tasks of its gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndMeaning {
    /// The work is done.
    Completed,
    /// The attempt has failed. The task runs again unless its attempts are used up.
    Failed,
    /// The task runs again.
    Interrupted,
}

impl EndMeaning {
    /// What an end of this kind means for a task of a step.
    pub fn of(step: &Step, kind: EndKind) -> Self {
        match kind {
            // A lasting task runs until its job is cancelled.
            EndKind::Done if step.lasting => Self::Interrupted,
            EndKind::Done => Self::Completed,
            EndKind::Failed => Self::Failed,
            EndKind::Stopped
            | EndKind::LeaseExpired
            | EndKind::GangBroken
            | EndKind::GangIncomplete => Self::Interrupted,
        }
    }
}

/// How the end of a task counts that may be a member of a gang.
///
/// A gang fails as a whole, so of the members that fail in one run only the first counts;
/// `note_failure` notes that the run has failed and returns whether that is new.
pub(super) fn as_part_of_gang<F>(step: &Step, kind: EndKind, note_failure: F) -> EndKind
where
    F: FnOnce() -> bool,
{
    // The failures of a lasting gang are not limited, so its runs need not be kept.
    let is_shared = kind == EndKind::Failed && step.gang && !step.lasting;
    if is_shared && !note_failure() { EndKind::GangBroken } else { kind }
}

/// The end of a run of one task of a step.
#[derive(Debug)]
pub(super) struct RunEnd<'a> {
    /// The index of the task.
    pub(super) index: u32,
    pub(super) run: u32,
    pub(super) kind: EndKind,
    pub(super) checkpoint: Option<&'a Arc<str>>,
}

/// Applies the end of a run to the state of its step.
///
/// The members of a gang share their progress: what the end of one means, it means for all. Each
/// member is released by its own end, as the others may still be running.
pub(super) fn apply(state: &mut StepState, step: &Step, end: &RunEnd<'_>) {
    let index = end.index as usize;
    let Some(task) = state.tasks.get_mut(index) else { return };
    if task.done {
        return;
    }
    task.release(end.run);
    let concerned = if step.gang { &mut state.tasks[..] } else { &mut state.tasks[index..=index] };
    if let Some(checkpoint) = end.checkpoint.filter(|_| step.checkpointing) {
        concerned.iter_mut().for_each(|task| task.checkpoint = Some(checkpoint.clone()));
    }
    match EndMeaning::of(step, end.kind) {
        EndMeaning::Completed => {
            state.done += concerned.len() as u32;
            for task in concerned {
                task.done = true;
                task.assigned = None;
            }
        }
        EndMeaning::Failed => {
            concerned.iter_mut().for_each(|task| task.failures = task.failures.saturating_add(1));
        }
        EndMeaning::Interrupted => {}
    }
}

/// Returns the index of the first task of a step that has failed so often that its job fails.
pub fn task_without_attempts(state: &StepState, step: &Step, max_attempts: u16) -> Option<u32> {
    // A lasting task is started again however often it fails.
    if step.lasting {
        return None;
    }
    let index = state.tasks.iter().position(|task| !task.done && task.failures >= max_attempts)?;
    Some(index as u32)
}
