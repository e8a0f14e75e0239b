//! The ends of runs that count as failures of their tasks.
//!
//! A task only keeps the number of its failures. The ends behind that number tell an operator what
//! the end of a job rests on, and keep one end from counting twice: an executor lists an end until
//! it is acknowledged, and may list it again after the leader has forgotten the executor with the
//! number of its last end. A task never has two runs of the same number, and a run ends once.

use std::{collections::BTreeMap, fmt};

use borageswitch_types::names::{ExecutorName, JobName};

use crate::task::{StepKey, TaskKey};

/// The maximum number of ends that are kept for a task, so that a task with many attempts does not
/// enlarge each snapshot; those of the earliest runs are dropped.
const MAX_KEPT: usize = 64;
/// The term of a leader whose appends do not tell it.
pub const UNKNOWN_TERM: u64 = 0;

/// The end of a run that counts as a failure of its task.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CountedEnd {
    /// The run.
    pub run: u32,
    /// The executor that reported the end.
    pub executor: ExecutorName,
    /// The sequence number of the end on this executor.
    pub number: u64,
    /// The number of the first append of the leader that counted the end; [`UNKNOWN_TERM`] if it is
    /// not known.
    pub term: u64,
}

impl fmt::Display for CountedEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { run, executor, number, term } = self;
        write!(f, "run {run} on {executor} end {number} ")?;
        if *term == UNKNOWN_TERM { f.write_str("term ?") } else { write!(f, "term {term}") }
    }
}

/// For each task that has failed and may run again, the ends that count.
///
/// For a gang, which fails as a whole, an end is kept with the member whose end was counted. Lasting
/// tasks have none, as their failures are not limited.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CountedEnds {
    by_task: BTreeMap<TaskKey, Vec<CountedEnd>>,
}

impl CountedEnds {
    /// Adds the end of a run of a task unless it is known, and returns whether it is new.
    ///
    /// The end of a run before all that are kept is taken for known if some may have been dropped.
    pub(super) fn add(&mut self, task: &TaskKey, end: CountedEnd) -> bool {
        if self.is_known(task, end.run) {
            return false;
        }
        let ends = self.by_task.entry(task.clone()).or_default();
        let position = ends.partition_point(|earlier| earlier.run < end.run);
        ends.insert(position, end);
        if ends.len() > MAX_KEPT {
            ends.remove(0);
        }
        true
    }

    /// Returns whether the end of a run counts already.
    pub fn is_known(&self, task: &TaskKey, run: u32) -> bool {
        let ends = self.of_task(task);
        let may_be_dropped =
            ends.len() == MAX_KEPT && ends.first().is_some_and(|first| run < first.run);
        may_be_dropped || ends.binary_search_by_key(&run, |end| end.run).is_ok()
    }

    /// Drops the ends of a task that is done.
    pub(super) fn drop_task(&mut self, task: &TaskKey) {
        self.by_task.remove(task);
    }

    /// Drops the ends of all members of a gang that is done.
    pub(super) fn drop_step(&mut self, step: &StepKey) {
        let tasks: Vec<TaskKey> = self.of_step(step).map(|(task, _)| task.clone()).collect();
        tasks.iter().for_each(|task| self.drop_task(task));
    }

    /// Drops the ends of all tasks of a job that has ended.
    pub(super) fn drop_job(&mut self, job: &JobName) {
        self.by_task.retain(|task, _| task.job != *job);
    }

    /// Returns the ends that count for a task, in the order of its runs.
    pub fn of_task(&self, task: &TaskKey) -> &[CountedEnd] {
        self.by_task.get(task).map(Vec::as_slice).unwrap_or_default()
    }

    /// Returns the tasks of a step with ends that count.
    pub fn of_step(&self, step: &StepKey) -> impl Iterator<Item = (&TaskKey, &[CountedEnd])> {
        let tasks = self.by_task.range(step.task(0)..=step.task(u32::MAX));
        tasks.map(|(task, ends)| (task, ends.as_slice()))
    }
}
