//! Decides which hosts are reserved for a gang.
//!
//! The members of a gang work only together. While a gang waits, tasks of a core or two follow each
//! other on every host of its pool, and each bit of capacity that becomes free is taken at once by
//! a small task. A gang that only uses what is free at one moment never finds capacity for all its
//! members. It waits for as long as small tasks arrive, and forever where a host takes one member
//! and the pool, counted in cores, seems large enough. A gang that has waited for a while therefore
//! gets some hosts reserved, and small tasks go elsewhere until it has started.

use std::time::Duration;

use crate::job::Size;

/// How long a gang waits for free capacity before hosts are reserved for it. Most find capacity
/// within the time that a short task takes, and reserved hosts are partly idle meanwhile.
pub const RESERVE_AFTER: Duration = Duration::from_millis(1_000);
/// Hosts are reserved only if they will be free for the gang within this time. A longer reservation
/// would delay more work than the gang brings.
pub const READY_WITHIN: Duration = Duration::from_millis(1_000);
/// The longest reservation for one gang. Tasks that were expected to end by then hang or have
/// stopped making progress, and small jobs waiting beside idle capacity would starve.
pub const MAX_RESERVATION: Duration = Duration::from_millis(2_000);
/// How long hosts of other pools are fetched for one gang. Hosts that cannot be had in the time of
/// a few moves are not available, and the next gang may need fewer.
pub const MAX_FETCH: Duration = Duration::from_secs(8);

/// A host that members of a gang may run on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<T> {
    /// The host.
    pub id: T,
    /// How many members it can take once all tasks that end by themselves have ended.
    pub max_members: usize,
    /// How long it takes until then.
    pub ready_in: Duration,
}

/// What is done for a gang that has found no capacity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Plan<T> {
    /// Reserve these hosts for it.
    Reserve(Vec<T>),
    /// Wait: its pool has capacity for all members, but not soon.
    Wait,
    /// Fetch hosts of other pools: its own pool cannot hold the gang.
    Fetch,
}

/// Returns how many members of a size fit into `free`, limited to `max_per_host`.
pub fn member_capacity(free: &Size, member: &Size, max_per_host: Option<u32>) -> usize {
    let fit = |free: u64, member: u64| free.checked_div(member).unwrap_or(u64::MAX);
    let capacity = fit(free.cpu_milli, member.cpu_milli)
        .min(fit(free.memory_mb, member.memory_mb))
        .min(fit(free.accelerators, member.accelerators))
        .min(max_per_host.map_or(u64::MAX, u64::from));
    usize::try_from(capacity).unwrap_or(usize::MAX)
}

/// Decides what to do for a gang of `members`.
pub fn plan<T>(members: usize, mut candidates: Vec<Candidate<T>>) -> Plan<T> {
    candidates.retain(|candidate| candidate.max_members > 0);
    candidates
        .sort_by_key(|candidate| (candidate.ready_in, std::cmp::Reverse(candidate.max_members)));
    let total = candidates.iter().fold(0_usize, |total, c| total.saturating_add(c.max_members));
    if total < members {
        return Plan::Fetch;
    }
    let mut left = members;
    let mut reserved = Vec::new();
    for candidate in candidates {
        if left == 0 {
            break;
        }
        if candidate.ready_in > READY_WITHIN {
            return Plan::Wait;
        }
        left = left.saturating_sub(candidate.max_members);
        reserved.push(candidate.id);
    }
    Plan::Reserve(reserved)
}

#[cfg(test)]
mod tests;
