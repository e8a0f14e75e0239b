//! Which host a task goes to.
//!
//! The load: wide and narrow tasks of many jobs on hosts of a few dozen cores. Spreading them
//! evenly leaves a little room everywhere and nowhere enough for the largest tasks, so the largest
//! tenth of jobs would wait the longest; and every host would be in use, so none could be switched
//! off, lent or maintained. Tasks therefore go to hosts that are in use, and there to where the
//! least is left over.
//!
//! Tasks under which executors have crashed, and all others, keep away from hosts with such tasks
//! while there is other room: a second crash then says more, and takes less with it.
//!
//! Tasks that fill gaps slow down tasks that serve users on the same host, by amounts that differ
//! by program and change within seconds, so the two are kept apart as long as there is room.

use crate::job::Size;

/// A host that may run a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<T> {
    /// Which.
    pub id: T,
    /// What it has left.
    pub free: Size,
    /// Tasks that it has under which executors have crashed, and that may crash it yet.
    pub suspects: usize,
    /// It has crashed again and again.
    pub unsteady: bool,
    /// How many tasks it has.
    pub tasks: usize,
    /// The task would disturb what serves there, or be disturbed.
    pub disturbs: bool,
    /// It is of a scarce kind that the task can do without.
    pub wasted: bool,
    /// It stands where the task is fastest.
    pub near: bool,
    /// Something runs on it.
    pub in_use: bool,
    /// Tasks of the same step that it has; counted for tasks that fill gaps only. Each of them
    /// takes its time to move away when the host is to be emptied.
    pub siblings: usize,
    /// Tasks of the same step in its rack; counted for lasting tasks only.
    pub rack_siblings: usize,
}

/// The best host for a task of `size`, if any has room.
pub fn choose<T, I>(size: &Size, candidates: I) -> Option<T>
where
    T: Copy,
    I: IntoIterator<Item = Candidate<T>>,
{
    let fitting = candidates.into_iter().filter(|candidate| candidate.free.holds(size));
    let best = fitting.min_by_key(|candidate| {
        let left = candidate.free.less(size).cpu_milli;
        let Candidate { suspects, disturbs, wasted, near, in_use, siblings, .. } = *candidate;
        let rack_siblings = candidate.rack_siblings;
        (suspects, disturbs, wasted, !near, !in_use, siblings, rack_siblings, left)
    })?;
    Some(best.id)
}

/// The best host for a task of `size` that has to run apart from all suspects: a steady one where
/// the least is lost if it crashes.
pub fn choose_apart<T, I>(size: &Size, candidates: I) -> Option<T>
where
    T: Copy,
    I: IntoIterator<Item = Candidate<T>>,
{
    let apart = candidates
        .into_iter()
        .filter(|candidate| candidate.free.holds(size) && candidate.suspects == 0);
    let best = apart.min_by_key(|candidate| (candidate.unsteady, candidate.tasks))?;
    Some(best.id)
}
