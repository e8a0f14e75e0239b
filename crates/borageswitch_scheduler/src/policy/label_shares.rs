//! How pools share the hosts with a label of which there are too few.
//!
//! The load: a few hosts have a label, and tasks of several pools wait for it. The pools that have
//! such hosts always have work for them and never let them idle, so a pool without one would wait
//! for ever: its callers see jobs that were accepted and never start, beside others that end in
//! time. So each pool gets its share of these hosts by what waits there for them. A pool whose
//! tasks are not served has more and more of them waiting, until its share is one host at least.

/// What a pool's tasks ask for that wait for a label.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Claim {
    /// What waits, in thousandths of a core.
    pub waiting: u64,
    /// How many hosts with the label the pool has.
    pub hosts: usize,
}

/// How much a host counts that the pool has already, against one that it would get. A host is of no
/// use for some three seconds while it is emptied and moved, as long as two or three tasks, so one
/// that goes to and fro with each job that comes would serve nobody.
const STAY: u64 = 2;

/// How many hosts each pool is to have, in the order of `claims`; together all that there are.
///
/// Hosts are dealt one after the other to whoever has most waiting for each host that it would then
/// have. Where nothing waits, nothing is dealt.
pub fn shares(claims: &[Claim]) -> Vec<usize> {
    let all: usize = claims.iter().map(|claim| claim.hosts).sum();
    let mut shares = vec![0; claims.len()];
    for _ in 0..all {
        let weight = |number: usize| {
            let claim = claims[number];
            let stays = if shares[number] < claim.hosts { STAY } else { 1 };
            claim.waiting * stays / (shares[number] as u64 + 1)
        };
        let next = (0..claims.len()).filter(|&n| weight(n) > 0).max_by_key(|&n| weight(n));
        let Some(next) = next else { break };
        shares[next] += 1;
    }
    shares
}

#[cfg(test)]
mod tests;
