//! Shares the hosts with a label between pools when there are too few of them.
//!
//! A few hosts have a label, and tasks of several pools wait for it. The pools that have such hosts
//! always have work for them, so that they are never idle, and a pool without one would wait
//! forever: its callers see jobs that were accepted and never start, while others end on time. Each
//! pool therefore gets a share of these hosts by the work that waits for them there. In a pool
//! whose tasks are not served, more and more of them wait, until its share is at least one host.

/// The demand of a pool for the hosts with a label.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolDemand {
    /// The tasks waiting for the label, in thousandths of a core.
    pub waiting: u64,
    /// How many hosts with the label the pool has.
    pub hosts: usize,
}

/// The weight of a host that the pool has already, against one that it would get. A host is
/// unusable for some three seconds while it is drained and moved, as long as two or three tasks
/// take, so one that moves back and forth with each arriving job would serve nobody.
const HELD_HOST_WEIGHT: u64 = 2;

/// Returns how many hosts each pool is to have, in the order of `demands`. The sum is at most the
/// number of hosts that the pools have.
///
/// Hosts are allocated one after the other to the pool with the most waiting work for each host
/// that it would then have. Pools without waiting work get none.
pub fn shares(demands: &[PoolDemand]) -> Vec<usize> {
    let total: usize = demands.iter().map(|demand| demand.hosts).sum();
    let mut shares = vec![0; demands.len()];
    for _ in 0..total {
        let weight = |index: usize| {
            let demand = demands[index];
            let factor = if shares[index] < demand.hosts { HELD_HOST_WEIGHT } else { 1 };
            demand.waiting.saturating_mul(factor) / (shares[index] as u64 + 1)
        };
        let next = (0..demands.len()).filter(|&n| weight(n) > 0).max_by_key(|&n| weight(n));
        let Some(next) = next else { break };
        shares[next] += 1;
    }
    shares
}

#[cfg(test)]
mod tests;
