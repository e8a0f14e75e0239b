//! Which hosts are kept free for a gang.
//!
//! The load: tasks of a core or two follow each other on every host of a pool while a gang waits,
//! whose members work only together. Each bit of room that comes free is taken at once by a small
//! task, and a gang that takes what is free at one moment never finds room for all its members: its
//! caller sees it wait for as long as the others come, and for ever where a host takes one member
//! and the pool, counted in cores, seems large enough. So a gang that has waited gets the room of
//! some hosts for itself, and small tasks go elsewhere until it has started.

use std::time::Duration;

use crate::job::Size;

/// How long a gang takes what is free before hosts are kept for it. Most find room within the time
/// that a short task takes; hosts that are kept stand partly idle meanwhile.
pub const PATIENCE: Duration = Duration::from_millis(500);
/// How long hosts of other pools are fetched for one gang. What cannot be had in the time of a few
/// moves is not there, and the next gang may need less.
pub const FETCHING: Duration = Duration::from_secs(8);

/// A host that members of a gang may run on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<T> {
    /// Which.
    pub id: T,
    /// How many members it can take at this moment.
    pub now: usize,
    /// How many it can take once all tasks that end by themselves have ended.
    pub soon: usize,
}

/// How many members of this size fit into `room`, at most `most`.
pub fn places(room: &Size, member: &Size, most: Option<u32>) -> usize {
    let fit = |room: u64, member: u64| room.checked_div(member).unwrap_or(u64::MAX);
    let places = fit(room.cpu_milli, member.cpu_milli)
        .min(fit(room.memory_mb, member.memory_mb))
        .min(fit(room.accelerators, member.accelerators))
        .min(most.map_or(u64::MAX, u64::from));
    usize::try_from(places).unwrap_or(usize::MAX)
}

/// The hosts to keep for so many members, those that are soonest free first; nothing if they cannot
/// all take place.
pub fn hosts_to_keep<T>(members: usize, mut candidates: Vec<Candidate<T>>) -> Option<Vec<T>> {
    candidates.retain(|candidate| candidate.soon > 0);
    candidates.sort_by_key(|c| (c.soon - c.now.min(c.soon), std::cmp::Reverse(c.soon)));
    let mut left = members;
    let mut kept = Vec::new();
    for candidate in candidates {
        if left == 0 {
            break;
        }
        left = left.saturating_sub(candidate.soon);
        kept.push(candidate.id);
    }
    (left == 0).then_some(kept)
}

#[cfg(test)]
mod tests;
