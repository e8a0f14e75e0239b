//! Replaces failed hosts, fills pools, and lends spare hosts to a wave.
//!
//! Hosts fail every day, a rack every month or two, a data centre a few times a year, and they come
//! back. Without replacement, a pool stays at the limit of its budget until an operator acts. With
//! immediate and unlimited replacement, the loss of a data centre for a minute would move half of
//! the fleet between pools and back.
//!
//! A pool should have `wanted_hosts` hosts that serve or will serve soon. A pool with fewer gets
//! hosts from a spare pool or from a pool with a surplus: pools whose budget is violated come
//! first, then pools by priority. A pool with a surplus returns hosts to a spare pool once none of
//! its hosts has changed for [`RETURN_SURPLUS_AFTER`]. At most [`MAX_MOVES`] moves are in flight.
//!
//! During a wave, a pool that can spare few hosts is lent some, as long as the rounds saved
//! outweigh the moves; see [`loan_size`]. When a wave has finished a pool, its loans pass to the
//! next pool instead of going back. After a failure in the wave, the pool that lacks a host is
//! filled first, also with lent hosts.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use borageswitch_types::{
    fleet::{FleetChange, Host, HostPhase, LeaveReason, Wave, WaveStatus, WaveWeights},
    names::{HostName, PoolName},
};

use crate::steps::{
    Plan,
    waves::{self, Stage},
};

/// Maximum number of moves in flight at once.
pub(crate) const MAX_MOVES: usize = 8;
/// A host that has been silent for this long is replaced.
pub(crate) const REPLACE_AFTER: Duration = Duration::from_secs(30);
/// A pool returns surplus hosts after none of its hosts has changed its phase for this long.
pub(crate) const RETURN_SURPLUS_AFTER: Duration = Duration::from_secs(120);
/// One in this many spare hosts is not lent to a wave, so that a failed host can be replaced at
/// once. With fewer spare hosts all are lent: 1.5 % of hosts fail per day, so in a one-hour wave
/// over 50 hosts a reserve is missing in one wave of thirty, and only until the next loan is
/// returned.
pub(crate) const REPAIR_RESERVE_DIVISOR: usize = 8;

/// The size of a pool compared with its wanted size.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct PoolSize {
    /// Hosts that serve or will serve soon, including those moving to the pool.
    pub(crate) members: usize,
    /// The wanted number of such hosts.
    pub(crate) wanted: usize,
    /// Whether some host of the pool has changed its phase recently.
    recently_changed: bool,
}

impl PoolSize {
    pub(crate) fn deficit(&self) -> usize {
        self.wanted.saturating_sub(self.members)
    }

    pub(crate) fn surplus(&self) -> usize {
        if self.wanted == 0 { 0 } else { self.members.saturating_sub(self.wanted) }
    }
}

/// Computes the size of every pool. A pool with 0 wanted hosts has no target size and is managed by
/// operators.
pub(crate) fn sizes<'a>(plan: &Plan<'a>) -> BTreeMap<&'a PoolName, PoolSize> {
    let mut sizes: BTreeMap<&PoolName, PoolSize> = BTreeMap::new();
    for (name, spec) in &plan.fleet.pools {
        let wanted = spec.wanted_hosts as usize;
        sizes.insert(name, PoolSize { wanted, ..PoolSize::default() });
    }
    for (name, host) in &plan.fleet.hosts {
        let (pool, is_member) = match &host.phase {
            HostPhase::Leaving { why: LeaveReason::Move { to } } => (to, true),
            HostPhase::Serving
            | HostPhase::Leaving { why: LeaveReason::Wave { .. } }
            | HostPhase::Rebooting { .. }
            | HostPhase::Trial { .. }
            | HostPhase::Starting { .. } => (&host.pool, true),
            HostPhase::Leaving { .. }
            | HostPhase::Held { .. }
            | HostPhase::Parked
            | HostPhase::Failed { .. } => (&host.pool, false),
        };
        let Some(size) = sizes.get_mut(pool) else { continue };
        let is_lost = plan.observed.unreachable_for(name) >= REPLACE_AFTER;
        size.members += usize::from(is_member && !is_lost);
        let is_steady = plan.observed.in_phase_for(name) >= RETURN_SURPLUS_AFTER
            && plan.observed.is_usable(name);
        size.recently_changed |= !is_steady;
    }
    sizes
}

/// A host that a plan may move, and the properties by which candidates are compared.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    name: &'a HostName,
    host: &'a Host,
    /// Whether the host is pending in a wave, which a move would delay.
    pending_in_wave: bool,
    spare: bool,
}

pub(crate) fn plan(plan: &mut Plan<'_>) {
    let mut planner = MovePlanner::new(plan);
    planner.fill_pools(plan);
    planner.lend_hosts(plan);
    planner.return_surplus(plan);
}

/// The purpose of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    /// Fills a pool that lacks a host.
    Repair,
    /// Speeds up a wave.
    Loan,
}

/// The demand of a wave in one pool.
struct WaveDemand<'a> {
    pool: &'a PoolName,
    /// Hosts that the wave has not taken out yet.
    pending: usize,
    /// Hosts of the pool itself that could be out at once.
    own_removable: usize,
    /// Hosts lent to the pool.
    lent: usize,
}

impl WaveDemand<'_> {
    fn rounds(&self) -> usize {
        match self.own_removable + self.lent {
            0 => usize::MAX,
            at_once => self.pending.div_ceil(at_once),
        }
    }
}

struct MovePlanner<'a> {
    sizes: BTreeMap<&'a PoolName, PoolSize>,
    /// Hosts pending in or out for running waves, by pool.
    wave_hosts: BTreeMap<&'a PoolName, usize>,
    pending_in_wave: BTreeSet<&'a HostName>,
    /// Pools with hosts that are pending in a running wave.
    pools_with_pending: BTreeSet<&'a PoolName>,
    /// Hosts that could be moved: those of spare pools and of pools with a surplus.
    candidates: Vec<Candidate<'a>>,
    moves_left: usize,
}

impl<'a> MovePlanner<'a> {
    fn new(plan: &Plan<'a>) -> Self {
        let moving = |host: &&Host| {
            matches!(host.phase, HostPhase::Leaving { why: LeaveReason::Move { .. } })
        };
        let in_flight = plan.fleet.hosts.values().filter(moving).count();
        let running = plan.fleet.waves.values().filter(|wave| wave.status == WaveStatus::Running);
        let mut planner = Self {
            sizes: sizes(plan),
            wave_hosts: waves::remaining_hosts(plan.fleet),
            pending_in_wave: running.flat_map(|wave| &wave.pending).collect(),
            pools_with_pending: BTreeSet::new(),
            candidates: Vec::new(),
            moves_left: MAX_MOVES.saturating_sub(in_flight),
        };
        let pending_in_wave =
            planner.pending_in_wave.iter().filter_map(|name| plan.fleet.hosts.get(*name));
        planner.pools_with_pending = pending_in_wave.map(|host| &host.pool).collect();
        planner.candidates = planner.find_candidates(plan);
        planner
    }

    /// Fills pools that lack hosts, first those that miss a budget, then by priority.
    fn fill_pools(&mut self, plan: &mut Plan<'a>) {
        let has_deficit = |size: &PoolSize| size.deficit() > 0;
        let mut order: Vec<_> = plan
            .fleet
            .pools
            .iter()
            .filter(|(pool, spec)| !spec.spare && self.sizes.get(pool).is_some_and(has_deficit))
            .map(|(pool, spec)| {
                let meets_budgets = plan.ledger.check_pool(pool).is_ok();
                (meets_budgets, std::cmp::Reverse(spec.priority), pool)
            })
            .collect();
        order.sort();
        for (meets_budgets, _, pool) in order {
            for _ in 0..self.sizes[pool].deficit() {
                let why =
                    if meets_budgets { "it lacks a host" } else { "a promise there is broken" };
                if !self.move_best_candidate(plan, pool, Purpose::Repair, why) {
                    break;
                }
            }
        }
    }

    /// Lends hosts to pools that limit a running wave, starting with the pool with the most
    /// remaining rounds.
    fn lend_hosts(&mut self, plan: &mut Plan<'a>) {
        for wave in plan.fleet.waves.values().filter(|wave| waves::may_take_hosts(wave)) {
            let mut demands = self.demands(plan, wave);
            // Until its canaries have passed, a wave is lent only the hosts that it needs to begin.
            let canaries = matches!(waves::stage(plan.fleet, wave), Stage::Canaries { .. });
            let can_begin = demands.iter().any(|demand| demand.own_removable + demand.lent > 0)
                || wave.pending.iter().chain(&wave.out).any(|name| self.is_spare_host(plan, name));
            if canaries && can_begin {
                continue;
            }
            let mut lendable = self.lendable(plan);
            // Skips the loop when there is nothing to lend.
            while let Some(demand) =
                demands.iter_mut().filter(|_| lendable > 0).max_by_key(|n| (n.rounds(), n.pool))
            {
                let best = loan_size(
                    demand.pending,
                    demand.own_removable,
                    demand.lent + lendable,
                    wave.settings.weights,
                );
                let why = "a wave has few hosts to choose from there";
                if demand.lent < best
                    && self.move_best_candidate(plan, demand.pool, Purpose::Loan, why)
                {
                    demand.lent += 1;
                    lendable -= 1;
                    continue;
                }
                let finished_pool = demand.pool;
                demands.retain(|demand| demand.pool != finished_pool);
            }
        }
    }

    fn demands(&self, plan: &mut Plan<'a>, wave: &'a Wave) -> Vec<WaveDemand<'a>> {
        let mut pending: BTreeMap<&PoolName, Vec<(&HostName, &Host)>> = BTreeMap::new();
        for name in &wave.pending {
            let Some((name, host)) = plan.fleet.hosts.get_key_value(name) else { continue };
            let managed =
                plan.fleet.pools.get(&host.pool).is_some_and(|p| !p.spare && p.wanted_hosts > 0);
            if managed {
                pending.entry(&host.pool).or_default().push((name, host));
            }
        }
        let demand = |(pool, hosts): (&'a PoolName, Vec<(&'a HostName, &'a Host)>)| {
            let lent = self.sizes.get(pool).map_or(0, PoolSize::surplus);
            let wave_hosts = self.wave_hosts.get(pool).copied().unwrap_or(0);
            let out = wave_hosts.saturating_sub(hosts.len());
            let free = plan.ledger.removable(&hosts).len();
            let own_removable = (free + out).saturating_sub(lent);
            WaveDemand { pool, pending: hosts.len(), own_removable, lent }
        };
        pending.into_iter().map(demand).collect()
    }

    /// The number of hosts that can be lent now.
    fn lendable(&self, plan: &Plan<'a>) -> usize {
        let movable = self
            .candidates
            .iter()
            .filter(|candidate| self.is_movable(plan, candidate, Purpose::Loan))
            .count();
        let spares = self.candidates.iter().filter(|candidate| candidate.spare).count();
        movable.saturating_sub(spares / REPAIR_RESERVE_DIVISOR)
    }

    /// Returns surplus hosts to a spare pool when no wave needs them and their pool has not changed
    /// recently.
    fn return_surplus(&mut self, plan: &mut Plan<'a>) {
        if !self.pools_with_pending.is_empty() {
            return;
        }
        let Some(spare) = self.spare_pool_to_fill(plan) else { return };
        let pools_to_shrink: Vec<&PoolName> = self
            .sizes
            .iter()
            .filter(|(pool, size)| {
                let in_wave = self.wave_hosts.contains_key(*pool);
                size.surplus() > 0
                    && !size.recently_changed
                    && !in_wave
                    && !self.is_spare(plan, pool)
            })
            .map(|(pool, _)| *pool)
            .collect();
        for pool in pools_to_shrink {
            for _ in 0..self.sizes[pool].surplus() {
                let hosts: Vec<_> = plan
                    .fleet
                    .hosts_in(pool)
                    .filter(|(name, host)| plan.is_available(name, host))
                    .collect();
                let Some(index) = plan.ledger.next_removable(&hosts) else { break };
                let (name, host) = hosts[index];
                if !self.move_host(plan, name, host, spare, "its pool has more than it wants") {
                    break;
                }
            }
        }
    }

    fn spare_pool_to_fill(&self, plan: &Plan<'a>) -> Option<&'a PoolName> {
        let spares = plan.fleet.pools.iter().filter(|(_, spec)| spec.spare);
        spares.map(|(name, _)| name).max_by_key(|name| {
            (self.sizes.get(name).map_or(0, PoolSize::deficit), std::cmp::Reverse(*name))
        })
    }

    fn is_spare_host(&self, plan: &Plan<'a>, name: &HostName) -> bool {
        plan.fleet.hosts.get(name).is_some_and(|host| self.is_spare(plan, &host.pool))
    }

    fn is_spare(&self, plan: &Plan<'a>, pool: &PoolName) -> bool {
        plan.fleet.pools.get(pool).is_some_and(|spec| spec.spare)
    }

    fn find_candidates(&self, plan: &Plan<'a>) -> Vec<Candidate<'a>> {
        let mut candidates = Vec::new();
        for (name, host) in &plan.fleet.hosts {
            let spare = self.is_spare(plan, &host.pool);
            let surplus = self.sizes.get(&host.pool).is_some_and(|size| size.surplus() > 0);
            if !(spare || surplus) || !plan.is_available(name, host) {
                continue;
            }
            let pending_in_wave = self.pending_in_wave.contains(name);
            candidates.push(Candidate { name, host, pending_in_wave, spare });
        }
        candidates
    }

    /// Moves the best candidate to `pool`: prefers hosts that are not pending in a wave, then those
    /// whose failure domain holds the fewest slots of the pool, then surplus hosts over spare ones.
    fn move_best_candidate(
        &mut self,
        plan: &mut Plan<'a>,
        pool: &'a PoolName,
        purpose: Purpose,
        why: &str,
    ) -> bool {
        if self.moves_left == 0 {
            return false;
        }
        let best = self
            .candidates
            .iter()
            .filter(|candidate| {
                candidate.host.pool != *pool && self.is_movable(plan, candidate, purpose)
            })
            .min_by_key(|candidate| {
                let slots_in_domain =
                    plan.ledger.domain_slots(pool, candidate.name, candidate.host);
                (candidate.pending_in_wave, slots_in_domain, candidate.spare, candidate.name)
            });
        let Some(candidate) = best.copied() else { return false };
        self.move_host(plan, candidate.name, candidate.host, pool, why)
    }

    /// Whether a candidate may still move after the moves planned so far.
    fn is_movable(&self, plan: &Plan<'a>, candidate: &Candidate<'a>, purpose: Purpose) -> bool {
        let surplus = self.sizes.get(&candidate.host.pool).is_some_and(|size| size.surplus() > 0);
        let is_kept_for_wave =
            purpose == Purpose::Loan && self.pools_with_pending.contains(&candidate.host.pool);
        (candidate.spare || (surplus && !is_kept_for_wave))
            && !plan.is_changed(candidate.name)
            && plan.ledger.check_without(candidate.name, candidate.host).is_ok()
    }

    fn move_host(
        &mut self,
        plan: &mut Plan<'a>,
        name: &'a HostName,
        host: &'a Host,
        to: &'a PoolName,
        why: &str,
    ) -> bool {
        if self.moves_left == 0 {
            return false;
        }
        self.moves_left -= 1;
        if let Some(size) = self.sizes.get_mut(&host.pool) {
            size.members -= 1;
        }
        if let Some(size) = self.sizes.get_mut(to) {
            size.members += 1;
        }
        let change = FleetChange::MoveHost { host: name.clone(), to: to.clone() };
        plan.change_host(name, host, change, format!("{name} goes to {to}: {why}"));
        true
    }
}

/// Returns how many hosts to lend to a pool with `pending` hosts in a wave, of which it can spare
/// `own_removable` at once, if up to `available` hosts can be lent.
///
/// With `b` hosts lent, the pool needs `pending / (own_removable + b)` rounds. Fewer rounds end the
/// wave sooner and return the spare hosts sooner, so both the weight of rollout time and that of
/// buffer cost favour loans. Each loan costs two moves, there and back. Rounds and moves are taken
/// relative to the number of pending hosts, so that the weights mean the same in every pool.
pub(crate) fn loan_size(
    pending: usize,
    own_removable: usize,
    available: usize,
    weights: WaveWeights,
) -> usize {
    if pending == 0 {
        return 0;
    }
    let gain = u64::from(weights.roll_out_time) + u64::from(weights.buffer_cost);
    let cost = |lent: usize| {
        let rounds = pending.div_ceil((own_removable + lent).max(1)) as u64;
        gain * rounds + u64::from(weights.moves) * 2 * lent as u64
    };
    let least = usize::from(own_removable == 0);
    (least..=available.min(pending).max(least))
        .min_by_key(|lent| (cost(*lent), *lent))
        .map_or(0, |lent| lent.min(available))
}
