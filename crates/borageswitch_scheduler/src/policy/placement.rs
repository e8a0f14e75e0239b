//! Chooses the host for a task.
//!
//! Wide and narrow tasks of many jobs run on hosts of a few dozen cores. Spreading them evenly
//! leaves a little free capacity everywhere and nowhere enough for the largest tasks, so the
//! largest tenth of jobs would wait the longest; and as every host would be in use, none could be
//! switched off, lent or maintained. Tasks therefore go to hosts that are in use, and among these
//! to the one with the least capacity left over (best fit).
//!
//! Tasks under which executors have crashed, and all other tasks, avoid hosts with such tasks while
//! there is other capacity: a second crash then tells more about its cause and affects fewer tasks.
//!
//! Best-effort tasks slow down tasks that serve users on the same host, by amounts that differ by
//! program and change within seconds, so the two are kept apart as long as there is capacity.

use crate::job::Size;

/// A host that may run a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<T> {
    /// The host.
    pub id: T,
    /// Its free capacity.
    pub free: Size,
    /// The number of its tasks under which executors have crashed and that have not been cleared
    /// yet.
    pub suspects: usize,
    /// Whether it has crashed repeatedly.
    pub crash_prone: bool,
    /// The number of tasks on it.
    pub tasks: usize,
    /// Whether the task would slow down a serving task there, or be a serving task that is slowed
    /// down.
    pub interferes: bool,
    /// Whether it is of a scarce kind that the task does not need.
    pub wastes_scarce: bool,
    /// Whether it is close to the data of the task and the job has not failed there.
    pub preferred: bool,
    /// Whether anything runs on it.
    pub in_use: bool,
    /// The number of its tasks of the same step, for best-effort tasks only: each of them takes
    /// time to move away when the host is drained.
    pub siblings: usize,
    /// The number of tasks of the same step in its rack, for lasting tasks only.
    pub rack_siblings: usize,
}

/// Returns the best host for a task of `size`, if any has the capacity.
pub fn choose<T, I>(size: &Size, candidates: I) -> Option<T>
where
    T: Copy,
    I: IntoIterator<Item = Candidate<T>>,
{
    let fitting = candidates.into_iter().filter(|candidate| candidate.free.holds(size));
    let best = fitting.min_by_key(|candidate| {
        let left = candidate.free.less(size).cpu_milli;
        let Candidate { suspects, interferes, wastes_scarce, preferred, in_use, siblings, .. } =
            *candidate;
        let rack_siblings = candidate.rack_siblings;
        (suspects, interferes, wastes_scarce, !preferred, !in_use, siblings, rack_siblings, left)
    })?;
    Some(best.id)
}

/// Returns the best host for a task of `size` that must run apart from all suspects: one that is
/// not crash-prone and where the fewest tasks are lost if it crashes.
pub fn choose_isolated<T, I>(size: &Size, candidates: I) -> Option<T>
where
    T: Copy,
    I: IntoIterator<Item = Candidate<T>>,
{
    let without_suspects = candidates
        .into_iter()
        .filter(|candidate| candidate.free.holds(size) && candidate.suspects == 0);
    let best = without_suspects.min_by_key(|candidate| (candidate.crash_prone, candidate.tasks))?;
    Some(best.id)
}
