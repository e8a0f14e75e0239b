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
pub const PATIENCE: Duration = Duration::from_millis(1_000);
/// Hosts are kept only if they will be free for the gang within this time. Kept for longer, their
/// room is missed by more work than the gang brings.
pub const READY_WITHIN: Duration = Duration::from_millis(1_000);
/// Hosts are kept for one gang no longer than this. What was expected to end by then hangs or
/// stands still, and small jobs that wait beside idle room would be forgotten.
pub const KEPT_FOR: Duration = Duration::from_millis(2_000);
/// How long hosts of other pools are fetched for one gang. What cannot be had in the time of a few
/// moves is not there, and the next gang may need less.
pub const FETCHING: Duration = Duration::from_secs(8);

/// A host that members of a gang may run on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<T> {
    /// Which.
    pub id: T,
    /// How many members it can take once all tasks that end by themselves have ended.
    pub places: usize,
    /// How long that will take.
    pub ready: Duration,
}

/// What can be done for a gang that has found no room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Plan<T> {
    /// Keep these hosts for it.
    Keep(Vec<T>),
    /// Its pool has places for all, though not soon.
    Wait,
    /// Its pool cannot hold it.
    Fetch,
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

/// What to do for so many members.
pub fn plan<T>(members: usize, mut candidates: Vec<Candidate<T>>) -> Plan<T> {
    candidates.retain(|candidate| candidate.places > 0);
    candidates.sort_by_key(|candidate| (candidate.ready, std::cmp::Reverse(candidate.places)));
    let all = candidates.iter().fold(0_usize, |all, c| all.saturating_add(c.places));
    if all < members {
        return Plan::Fetch;
    }
    let mut left = members;
    let mut kept = Vec::new();
    for candidate in candidates {
        if left == 0 {
            break;
        }
        if candidate.ready > READY_WITHIN {
            return Plan::Wait;
        }
        left = left.saturating_sub(candidate.places);
        kept.push(candidate.id);
    }
    Plan::Keep(kept)
}

#[cfg(test)]
mod tests;
