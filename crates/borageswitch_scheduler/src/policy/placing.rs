//! Which host a task goes to.
//!
//! The load: wide and narrow tasks of many jobs on hosts of a few dozen cores. Spreading them
//! evenly leaves a little room everywhere and nowhere enough for the largest tasks, so the largest
//! tenth of jobs would wait the longest; and every host would be in use, so none could be lent or
//! maintained. Tasks therefore go where the least is left over. Lasting tasks are spread instead:
//! packed, one lost host would take most of a job away from its users.

use crate::job::Size;

/// A host that has room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<T> {
    /// Which.
    pub id: T,
    /// What it has left.
    pub free: Size,
    /// It stands where the task is fastest.
    pub near: bool,
    /// Tasks of the same step that it has.
    pub siblings: usize,
    /// Tasks of the same step in its rack.
    pub rack_siblings: usize,
}

/// The best host for a task of `size`, if any has room.
pub fn choose<T, I>(size: &Size, lasting: bool, candidates: I) -> Option<T>
where
    T: Copy,
    I: IntoIterator<Item = Candidate<T>>,
{
    let fitting = candidates.into_iter().filter(|candidate| candidate.free.holds(size));
    let left = |candidate: &Candidate<T>| candidate.free.less(size).cpu_milli;
    let best = fitting.min_by_key(|candidate| {
        let spread = if lasting { (candidate.siblings, candidate.rack_siblings) } else { (0, 0) };
        (!candidate.near, spread, left(candidate))
    })?;
    Some(best.id)
}
