//! Enforces the shares of callers, as decided by [`crate::policy::fair_shares`].
//!
//! Shares are in force in a pool while more work waits there than its free capacity can take. Each
//! sweep divides the pool anew among the callers and marks their waiting tasks as within the share
//! or beyond it. No state is stored: a new leader counts the runs that it inherits and takes them
//! for the past use as well.

pub mod report;
pub mod reserved;

use std::collections::{BTreeMap, BTreeSet};

use borageswitch_types::{
    Time,
    names::{CallerName, JobName, PoolName},
};

use crate::{
    config::Config,
    event::Now,
    job::Size,
    policy::{
        fair_shares::{self, Claim, Division, Entitlement, PastUse},
        order::Urgency,
    },
    reducer::{
        Scheduler,
        waiting::{WaitingOrder, WaitingStep},
    },
    task::StepKey,
};

/// The urgency of a waiting step whose caller has a share.
#[derive(Clone, Copy, Debug)]
pub(super) struct ByShare {
    pub(super) weight: f64,
    /// Within the share.
    pub(super) within: Urgency,
    /// Beyond the share. Equal to `within` if shares make no difference to the step.
    pub(super) beyond: Urgency,
    /// Within the share, it must run now to be of use, although it will be late.
    pub(super) due: bool,
}

/// The shares of callers in all pools.
#[derive(Debug, Default)]
pub struct Shares {
    by_pool: BTreeMap<PoolName, PoolShares>,
}

#[derive(Debug, Default)]
struct PoolShares {
    past: BTreeMap<CallerName, PastUse>,
    /// When the past use was last updated.
    updated: Option<Time>,
    /// Set while shares are in force.
    in_force: Option<InForce>,
    /// When the log last reported the shares.
    logged: Option<Time>,
}

/// The division of a pool as of the last sweep, and what was taken since.
#[derive(Debug)]
struct InForce {
    division: Division,
    claims: BTreeMap<CallerName, Claim>,
    entitlements: BTreeMap<CallerName, Entitlement>,
    /// The index of the first task beyond the share, of steps with tasks within it.
    first_beyond: BTreeMap<StepKey, u32>,
    /// The callers with work beyond their share, the largest excess first.
    beyond: Vec<CallerName>,
}

impl PoolShares {
    /// Accounts for what callers used since the last update.
    fn update_past<'a, I>(&mut self, now: Time, used: I)
    where
        I: Iterator<Item = (&'a CallerName, &'a Size)>,
    {
        let Some(updated) = self.updated.replace(now) else {
            self.past = used.map(|(name, used)| (name.clone(), PastUse::steady(used))).collect();
            return;
        };
        let part_kept = fair_shares::part_kept(now.since(updated));
        let mut used = used.peekable();
        let mut unknown = Vec::new();
        // Both are in the order of the names.
        for (name, past) in &mut self.past {
            while let Some(other) = used.next_if(|(other, _)| *other < name) {
                unknown.push(other);
            }
            let used = used.next_if(|(other, _)| *other == name);
            past.advance(used.map_or(&Size::default(), |(_, used)| used), part_kept);
        }
        unknown.extend(used);
        self.past.retain(|_, past| !past.is_negligible());
        for (name, used) in unknown {
            let mut past = PastUse::default();
            past.advance(used, part_kept);
            self.past.insert(name.clone(), past);
        }
    }
}

impl InForce {
    fn new(capacity: &Size, claims: BTreeMap<CallerName, Claim>) -> Self {
        let listed: Vec<Claim> = claims.values().copied().collect();
        let division = Division::of(capacity, &listed);
        let entitlements = claims.keys().cloned().zip(division.entitlements.iter().copied());
        let entitlements = entitlements.collect();
        let excesses = claims.iter().zip(&listed).zip(&division.entitlements);
        let excesses = excesses.map(|((claim, listed), due)| (claim.0, due.excess(listed)));
        let mut beyond: Vec<(&CallerName, f64)> =
            excesses.filter(|(_, excess)| *excess > 0.0).collect();
        beyond.sort_by(|a, b| b.1.total_cmp(&a.1));
        let beyond = beyond.into_iter().map(|(name, _)| name.clone()).collect();
        Self { division, claims, entitlements, first_beyond: BTreeMap::new(), beyond }
    }

    /// Takes the waiting tasks of a step from its caller's entitlement, and returns the index of
    /// the first one beyond it.
    fn take(&mut self, caller: &CallerName, weight: f64, step: &WaitingStep) -> u32 {
        if !self.entitlements.contains_key(caller) {
            self.entitlements.insert(caller.clone(), self.division.newcomer(weight));
        }
        let Some(left) = self.entitlements.get_mut(caller) else { return u32::MAX };
        let all = step.waiting.len();
        let within = match step.gang {
            true if left.take_gang(&step.size, all) => all,
            true => 0,
            false => left.take(&step.size, all),
        };
        step.waiting.get(within).copied().unwrap_or(u32::MAX)
    }

    /// Marks the tasks of a step as within the share or beyond it.
    fn classify(&mut self, step: WaitingStep) -> Vec<WaitingStep> {
        let (Some(by_share), Some(charge)) = (step.by_share, step.charge.clone()) else {
            return vec![step];
        };
        let first_beyond = match self.first_beyond.get(&step.key) {
            Some(&index) => index,
            None => {
                let index = self.take(&charge.caller, by_share.weight, &step);
                self.note(&step, index);
                index
            }
        };
        split(step, by_share, first_beyond)
    }

    fn note(&mut self, step: &WaitingStep, first_beyond: u32) {
        if step.waiting.first().is_some_and(|first| *first < first_beyond) {
            self.first_beyond.insert(step.key.clone(), first_beyond);
        }
    }
}

impl Shares {
    /// Whether shares are in force in a pool.
    pub(super) fn are_in_force(&self, pool: &PoolName) -> bool {
        self.by_pool.get(pool).is_some_and(|shares| shares.in_force.is_some())
    }

    /// Marks the waiting tasks of steps as within their caller's share or beyond it, where shares
    /// are in force.
    pub(super) fn classify(
        &mut self,
        pool: &PoolName,
        steps: Vec<WaitingStep>,
    ) -> Vec<WaitingStep> {
        let shares = self.by_pool.get_mut(pool).and_then(|shares| shares.in_force.as_mut());
        let Some(shares) = shares else { return steps };
        steps.into_iter().flat_map(|step| shares.classify(step)).collect()
    }
}

impl Scheduler {
    /// The callers beyond their share of a pool, the largest excess first.
    pub fn callers_beyond(&self, pool: &PoolName) -> Vec<CallerName> {
        let shares = self.shares.by_pool.get(pool).and_then(|shares| shares.in_force.as_ref());
        shares.map(|shares| shares.beyond.clone()).unwrap_or_default()
    }

    /// Divides all pools anew.
    pub(super) fn update_shares(&mut self, now: Now) {
        let Some(config) = self.config.clone() else { return };
        if config.callers.len() < 2 && self.shares.by_pool.is_empty() {
            return;
        }
        let known = self.shares.by_pool.keys().chain(self.executors.reserved().pools());
        let pools: BTreeSet<PoolName> = known.chain(self.waiting.pools()).cloned().collect();
        for pool in pools {
            let mut shares = self.shares.by_pool.remove(&pool).unwrap_or_default();
            shares.update_past(now.time, self.executors.reserved().of(&pool));
            let were_in_force = shares.in_force.is_some();
            let order = self.waiting.order(&pool);
            shares.in_force = order.and_then(|order| self.divide(&config, &pool, order, &shares));
            let changed = match (order, &mut shares.in_force) {
                (Some(order), Some(in_force)) => reclassify(in_force, order, were_in_force),
                (Some(order), None) if were_in_force => with_share(order).cloned().collect(),
                _ => BTreeSet::new(),
            };
            changed.iter().for_each(|job| self.waiting.mark_stale(job));
            self.log_shares(now, &pool, &mut shares, were_in_force);
            if shares.in_force.is_some() || !shares.past.is_empty() {
                self.shares.by_pool.insert(pool, shares);
            }
        }
        self.update_waiting(now, false);
    }

    /// Divides a pool among the callers with runs or waiting work there; `None` if its free
    /// capacity can take all waiting work, or if there are not two such callers.
    fn divide(
        &self,
        config: &Config,
        pool: &PoolName,
        order: &WaitingOrder,
        shares: &PoolShares,
    ) -> Option<InForce> {
        if config.callers.len() < 2 {
            return None;
        }
        let free = self.free_capacity.of(pool).fold(Size::default(), |sum, (_, free)| sum + *free);
        let size_of = |step: &WaitingStep| step.size.times(step.waiting.len() as u64);
        let waiting = order.values().fold(Size::default(), |sum, step| sum + size_of(step));
        if free.holds(&waiting) {
            return None;
        }
        let mut claims: BTreeMap<&CallerName, Claim> = BTreeMap::new();
        for (name, used) in self.executors.reserved().of(pool) {
            claims.entry(name).or_default().used = *used;
        }
        for (step, charge) in order.values().filter_map(|step| Some((step, step.charge.as_ref()?)))
        {
            claims.entry(&charge.caller).or_default().waiting += size_of(step);
        }
        let mut capacity = free;
        let mut declared = BTreeMap::new();
        for (name, mut claim) in claims {
            let Some(caller) = config.callers.get(name) else { continue };
            claim.weight = caller.weight;
            claim.past = shares.past.get(name).copied().unwrap_or_default();
            claim.waiting = self.within_quota(name, &caller.quota, &claim.waiting);
            capacity += claim.used;
            declared.insert(name.clone(), claim);
        }
        (declared.len() > 1).then(|| InForce::new(&capacity, declared))
    }

    /// What a caller's quota lets its waiting tasks use.
    fn within_quota(&self, caller: &CallerName, quota: &Size, waiting: &Size) -> Size {
        let used = self.executors.usage().of(caller).size;
        let most = |quota: u64, used: u64, waiting: u64| match quota {
            0 => waiting,
            _ => waiting.min(quota.saturating_sub(used)),
        };
        Size {
            cpu_milli: most(quota.cpu_milli, used.cpu_milli, waiting.cpu_milli),
            memory_mb: most(quota.memory_mb, used.memory_mb, waiting.memory_mb),
            accelerators: most(quota.accelerators, used.accelerators, waiting.accelerators),
        }
    }
}

/// Takes all waiting tasks of a pool from the entitlements of their callers, most urgent first, and
/// returns the jobs that have to be sorted in anew.
fn reclassify(
    shares: &mut InForce,
    order: &WaitingOrder,
    were_in_force: bool,
) -> BTreeSet<JobName> {
    let mut steps: Vec<(Urgency, &WaitingStep)> =
        order.values().filter_map(|step| Some((step.by_share?.within, step))).collect();
    // The parts of a step that is split have the same urgency here and follow each other.
    steps.sort_by(|(a, left), (b, right)| (a, &left.key).cmp(&(b, &right.key)));
    let mut changed = BTreeSet::new();
    for (_, step) in steps {
        let (Some(by_share), Some(charge)) = (step.by_share, &step.charge) else { continue };
        let first_beyond = shares.take(&charge.caller, by_share.weight, step);
        shares.note(step, first_beyond);
        if !were_in_force || !is_classified(step, by_share, first_beyond) {
            changed.insert(step.key.job.clone());
        }
    }
    changed
}

/// The jobs of a pool that callers with a share have submitted.
fn with_share(order: &WaitingOrder) -> impl Iterator<Item = &JobName> {
    order.values().filter(|step| step.by_share.is_some()).map(|step| &step.key.job)
}

/// Whether a step is already sorted in by the given index of its first task beyond the share.
fn is_classified(step: &WaitingStep, by_share: ByShare, first_beyond: u32) -> bool {
    let first = step.waiting.first().copied().unwrap_or_default();
    let last = step.waiting.last().copied().unwrap_or_default();
    match step.beyond {
        true => first >= first_beyond,
        false if by_share.within == by_share.beyond => first < first_beyond,
        false => last < first_beyond,
    }
}

/// Divides the waiting tasks of a step into those within the share and those beyond it.
fn split(mut step: WaitingStep, by_share: ByShare, first_beyond: u32) -> Vec<WaitingStep> {
    let within = step.waiting.partition_point(|index| *index < first_beyond);
    let ByShare { within: urgency, beyond, due, .. } = by_share;
    if urgency == beyond {
        let due = due && within > 0;
        return vec![WaitingStep { urgency, due, beyond: within == 0, ..step }];
    }
    let rest = step.waiting.split_off(within);
    let rest =
        WaitingStep { urgency: beyond, due: false, beyond: true, waiting: rest, ..step.clone() };
    let first = WaitingStep { urgency, due, beyond: false, ..step };
    [first, rest].into_iter().filter(|part| !part.waiting.is_empty()).collect()
}
