//! Replaces failed hosts, fills pools up, and lends spare hosts to a wave.
//!
//! Load pattern: hosts fail every day, a rack every month or two, a data centre a few times a year,
//! and they come back. Without replacement a pool stays at the edge of its budget until people act;
//! with replacement at once and without bounds, a data centre that is lost for a minute sends half
//! the fleet from pool to pool and back.
//!
//! A pool has as many hosts as its `wanted_hosts`, of those that serve or will serve soon. A pool
//! that lacks some is given one from a spare pool or from a pool with more than it wants; the pool
//! whose promises are broken first, then by priority. A pool with more than it wants gives hosts
//! back to a spare pool once it has been calm for [`GIVE_BACK_AFTER`]. At most
//! [`MAX_MOVES`] moves are in flight.
//!
//! During a wave a pool that can spare few hosts is lent some, as long as the rounds saved weigh
//! more than the moves; see [`loan`]. A pool that a wave is through with passes its loans on to the
//! next one rather than back. A failure in the wave calls a loan off: the pool that lacks a host is
//! filled first, also from loans.

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

/// The most moves that the planner has in flight at once.
pub(crate) const MAX_MOVES: usize = 8;
/// A host that was silent for this long is replaced.
pub(crate) const REPLACE_AFTER: Duration = Duration::from_secs(30);
/// A pool gives hosts back after none of its hosts has changed its phase for this long.
pub(crate) const GIVE_BACK_AFTER: Duration = Duration::from_secs(120);
/// One of so many spare hosts is not lent to a wave, so that a host that fails can be replaced at
/// once. Fewer spare hosts are lent all: on a day 1.5 % of hosts fail, so that in a wave of an
/// hour over 50 hosts one is missed in one wave of thirty, until the next loan comes free.
pub(crate) const REPAIR_SHARE: usize = 8;

/// How a pool stands against what is wanted of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct PoolSize {
    /// Hosts that serve or will serve soon, those on their way to the pool included.
    pub(crate) members: usize,
    /// Hosts that should.
    pub(crate) wanted: usize,
    /// Whether some host of the pool has changed its phase lately.
    restless: bool,
}

impl PoolSize {
    pub(crate) fn lacks(&self) -> usize {
        self.wanted.saturating_sub(self.members)
    }

    pub(crate) fn surplus(&self) -> usize {
        if self.wanted == 0 { 0 } else { self.members.saturating_sub(self.wanted) }
    }
}

/// Counts every pool. A pool that wants 0 hosts is left as operators arrange it.
pub(crate) fn sizes<'a>(plan: &Plan<'a>) -> BTreeMap<&'a PoolName, PoolSize> {
    let mut sizes: BTreeMap<&PoolName, PoolSize> = BTreeMap::new();
    for (name, spec) in &plan.fleet.pools {
        let wanted = spec.wanted_hosts as usize;
        sizes.insert(name, PoolSize { wanted, ..PoolSize::default() });
    }
    for (name, host) in &plan.fleet.hosts {
        let (pool, counts) = match &host.phase {
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
        let gone = plan.observed.unreachable_for(name) >= REPLACE_AFTER;
        size.members += usize::from(counts && !gone);
        let calm =
            plan.observed.in_phase_for(name) >= GIVE_BACK_AFTER && plan.observed.is_usable(name);
        size.restless |= !calm;
    }
    sizes
}

/// A host that a plan may move, and what makes it better or worse than others.
#[derive(Clone, Copy)]
struct Offer<'a> {
    name: &'a HostName,
    host: &'a Host,
    /// Whether a wave still has the host ahead of it: moving it would hold the wave up.
    awaited: bool,
    spare: bool,
}

pub(crate) fn plan(plan: &mut Plan<'_>) {
    let mut mover = Mover::new(plan);
    mover.fill(plan);
    mover.lend(plan);
    mover.give_back(plan);
}

/// What a host is moved for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Use {
    /// A pool lacks a host.
    Repair,
    /// A wave would go faster.
    Loan,
}

/// How a wave stands in one pool.
struct Need<'a> {
    pool: &'a PoolName,
    /// Hosts ahead of the wave.
    pending: usize,
    /// Hosts that the pool could do without at once, of its own.
    own: usize,
    /// Hosts that were lent to it.
    lent: usize,
}

impl Need<'_> {
    fn rounds(&self) -> usize {
        match self.own + self.lent {
            0 => usize::MAX,
            at_once => self.pending.div_ceil(at_once),
        }
    }
}

struct Mover<'a> {
    sizes: BTreeMap<&'a PoolName, PoolSize>,
    /// The hosts that waves have left, by pool.
    left: BTreeMap<&'a PoolName, usize>,
    awaited: BTreeSet<&'a HostName>,
    /// The pools in which a wave has hosts ahead of it.
    ahead: BTreeSet<&'a PoolName>,
    /// Hosts that could be moved: spare ones, and those of pools with more than they want.
    offers: Vec<Offer<'a>>,
    moves_left: usize,
}

impl<'a> Mover<'a> {
    fn new(plan: &Plan<'a>) -> Self {
        let moving = |host: &&Host| {
            matches!(host.phase, HostPhase::Leaving { why: LeaveReason::Move { .. } })
        };
        let in_flight = plan.fleet.hosts.values().filter(moving).count();
        let running = plan.fleet.waves.values().filter(|wave| wave.status == WaveStatus::Running);
        let mut mover = Self {
            sizes: sizes(plan),
            left: waves::hosts_left(plan.fleet),
            awaited: running.flat_map(|wave| &wave.pending).collect(),
            ahead: BTreeSet::new(),
            offers: Vec::new(),
            moves_left: MAX_MOVES.saturating_sub(in_flight),
        };
        let awaited = mover.awaited.iter().filter_map(|name| plan.fleet.hosts.get(*name));
        mover.ahead = awaited.map(|host| &host.pool).collect();
        mover.offers = mover.find_offers(plan);
        mover
    }

    /// Gives hosts to pools that lack some: first where a promise is broken, then by priority.
    fn fill(&mut self, plan: &mut Plan<'a>) {
        let lacking = |size: &PoolSize| size.lacks() > 0;
        let mut order: Vec<_> = plan
            .fleet
            .pools
            .iter()
            .filter(|(pool, spec)| !spec.spare && self.sizes.get(pool).is_some_and(lacking))
            .map(|(pool, spec)| {
                let kept = plan.ledger.check_pool(pool).is_ok();
                (kept, std::cmp::Reverse(spec.priority), pool)
            })
            .collect();
        order.sort();
        for (kept, _, pool) in order {
            for _ in 0..self.sizes[pool].lacks() {
                let why = if kept { "it lacks a host" } else { "a promise there is broken" };
                if !self.send_one(plan, pool, Use::Repair, why) {
                    break;
                }
            }
        }
    }

    /// Lends hosts to pools that a running wave finds tight, the one with most rounds left first.
    fn lend(&mut self, plan: &mut Plan<'a>) {
        for wave in plan.fleet.waves.values().filter(|wave| waves::goes_on(wave)) {
            let mut needs = self.needs(plan, wave);
            // Until its canaries have passed a wave is lent only what it cannot begin without.
            let canaries = matches!(waves::stage(plan.fleet, wave), Stage::Canaries { .. });
            let can_begin = needs.iter().any(|need| need.own + need.lent > 0)
                || wave.pending.iter().chain(&wave.out).any(|name| self.is_spare_host(plan, name));
            if canaries && can_begin {
                continue;
            }
            let mut lendable = self.lendable(plan);
            // Nothing is gained by going through the pools when there is nothing to lend.
            while let Some(need) =
                needs.iter_mut().filter(|_| lendable > 0).max_by_key(|n| (n.rounds(), n.pool))
            {
                let best =
                    loan(need.pending, need.own, need.lent + lendable, wave.settings.weights);
                let why = "a wave has few hosts to choose from there";
                if need.lent < best && self.send_one(plan, need.pool, Use::Loan, why) {
                    need.lent += 1;
                    lendable -= 1;
                    continue;
                }
                let served = need.pool;
                needs.retain(|need| need.pool != served);
            }
        }
    }

    fn needs(&self, plan: &mut Plan<'a>, wave: &'a Wave) -> Vec<Need<'a>> {
        let mut pending: BTreeMap<&PoolName, Vec<(&HostName, &Host)>> = BTreeMap::new();
        for name in &wave.pending {
            let Some((name, host)) = plan.fleet.hosts.get_key_value(name) else { continue };
            let managed =
                plan.fleet.pools.get(&host.pool).is_some_and(|p| !p.spare && p.wanted_hosts > 0);
            if managed {
                pending.entry(&host.pool).or_default().push((name, host));
            }
        }
        let need = |(pool, hosts): (&'a PoolName, Vec<(&'a HostName, &'a Host)>)| {
            let lent = self.sizes.get(pool).map_or(0, PoolSize::surplus);
            let left = self.left.get(pool).copied().unwrap_or(0);
            let out = left.saturating_sub(hosts.len());
            let free = plan.ledger.removable(&hosts).len();
            let own = (free + out).saturating_sub(lent);
            Need { pool, pending: hosts.len(), own, lent }
        };
        pending.into_iter().map(need).collect()
    }

    /// How many hosts can be lent now.
    fn lendable(&self, plan: &Plan<'a>) -> usize {
        let open = self.offers.iter().filter(|offer| self.is_open(plan, offer, Use::Loan)).count();
        let spares = self.offers.iter().filter(|offer| offer.spare).count();
        open.saturating_sub(spares / REPAIR_SHARE)
    }

    /// Sends hosts that a pool no longer needs to a spare pool, once all is calm.
    fn give_back(&mut self, plan: &mut Plan<'a>) {
        if !self.ahead.is_empty() {
            return;
        }
        let Some(spare) = self.emptiest_spare(plan) else { return };
        let done_with: Vec<&PoolName> = self
            .sizes
            .iter()
            .filter(|(pool, size)| {
                let in_wave = self.left.contains_key(*pool);
                size.surplus() > 0 && !size.restless && !in_wave && !self.is_spare(plan, pool)
            })
            .map(|(pool, _)| *pool)
            .collect();
        for pool in done_with {
            for _ in 0..self.sizes[pool].surplus() {
                let hosts: Vec<_> = plan
                    .fleet
                    .hosts_in(pool)
                    .filter(|(name, host)| plan.is_free(name, host))
                    .collect();
                let Some(at) = plan.ledger.next_out(&hosts) else { break };
                let (name, host) = hosts[at];
                if !self.move_host(plan, name, host, spare, "its pool has more than it wants") {
                    break;
                }
            }
        }
    }

    fn emptiest_spare(&self, plan: &Plan<'a>) -> Option<&'a PoolName> {
        let spares = plan.fleet.pools.iter().filter(|(_, spec)| spec.spare);
        spares.map(|(name, _)| name).max_by_key(|name| {
            (self.sizes.get(name).map_or(0, PoolSize::lacks), std::cmp::Reverse(*name))
        })
    }

    fn is_spare_host(&self, plan: &Plan<'a>, name: &HostName) -> bool {
        plan.fleet.hosts.get(name).is_some_and(|host| self.is_spare(plan, &host.pool))
    }

    fn is_spare(&self, plan: &Plan<'a>, pool: &PoolName) -> bool {
        plan.fleet.pools.get(pool).is_some_and(|spec| spec.spare)
    }

    fn find_offers(&self, plan: &Plan<'a>) -> Vec<Offer<'a>> {
        let mut offers = Vec::new();
        for (name, host) in &plan.fleet.hosts {
            let spare = self.is_spare(plan, &host.pool);
            let surplus = self.sizes.get(&host.pool).is_some_and(|size| size.surplus() > 0);
            if !(spare || surplus) || !plan.is_free(name, host) {
                continue;
            }
            let awaited = self.awaited.contains(name);
            offers.push(Offer { name, host, awaited, spare });
        }
        offers
    }

    /// Moves the best host that is on offer to `pool`: one that no wave awaits, then one whose
    /// domain carries least of the pool, then a surplus one before a spare one.
    fn send_one(
        &mut self,
        plan: &mut Plan<'a>,
        pool: &'a PoolName,
        purpose: Use,
        why: &str,
    ) -> bool {
        if self.moves_left == 0 {
            return false;
        }
        let best = self
            .offers
            .iter()
            .filter(|offer| offer.host.pool != *pool && self.is_open(plan, offer, purpose))
            .min_by_key(|offer| {
                let beside = plan.ledger.domain_slots(pool, offer.name, offer.host);
                (offer.awaited, beside, offer.spare, offer.name)
            });
        let Some(offer) = best.copied() else { return false };
        self.move_host(plan, offer.name, offer.host, pool, why)
    }

    /// Whether an offer still stands after the moves that were planned since it was found.
    fn is_open(&self, plan: &Plan<'a>, offer: &Offer<'a>, purpose: Use) -> bool {
        let surplus = self.sizes.get(&offer.host.pool).is_some_and(|size| size.surplus() > 0);
        let needed_there = purpose == Use::Loan && self.ahead.contains(&offer.host.pool);
        (offer.spare || (surplus && !needed_there))
            && !plan.is_touched(offer.name)
            && plan.ledger.check_without(offer.name, offer.host).is_ok()
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

/// How many hosts to lend to a pool that has `pending` hosts ahead of a wave and can let `own` of
/// them go at once, if up to `available` can be lent.
///
/// With `b` hosts lent the pool needs `pending / (own + b)` rounds. Fewer rounds end the wave
/// sooner and give the spare hosts back sooner, so both the weight of roll-out time and that of
/// buffer cost speak for loans; each loan costs two moves, there and back. Rounds and moves are
/// taken as shares of the hosts pending, so that the weights mean the same in every pool.
pub(crate) fn loan(pending: usize, own: usize, available: usize, weights: WaveWeights) -> usize {
    if pending == 0 {
        return 0;
    }
    let gain = u64::from(weights.roll_out_time) + u64::from(weights.buffer_cost);
    let cost = |lent: usize| {
        let rounds = pending.div_ceil((own + lent).max(1)) as u64;
        gain * rounds + u64::from(weights.moves) * 2 * lent as u64
    };
    let least = usize::from(own == 0);
    (least..=available.min(pending).max(least))
        .min_by_key(|lent| (cost(*lent), *lent))
        .map_or(0, |lent| lent.min(available))
}
