//! Enforces the shares of callers, as decided by [`crate::policy::fair_shares`].
//!
//! Shares are in force in a pool while more work waits there than its free capacity can take. Each
//! sweep divides the pool anew among the callers and marks their waiting tasks as within the share
//! or beyond it. Between two sweeps, a tenth of the runs of a pool may end; what is freed then goes
//! to tasks of the same caller until the next division. No state is stored: a new leader counts the runs that it inherits and takes them
//! for the past use as well.

mod in_force;
pub mod report;
pub mod reserved;

pub(in crate::reducer) use in_force::ByShare;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use borageswitch_types::{
    Time,
    names::{CallerName, JobName, PoolName},
};

use crate::{
    config::{Caller, Config},
    event::Now,
    job::Size,
    policy::fair_shares::{self, Claim, PastUse},
    reducer::{
        Scheduler,
        shares::in_force::InForce,
        waiting::{WaitingOrder, WaitingStep},
    },
};

/// How often past use is updated: often against its half-life of 2 s.
const PAST_USE_INTERVAL: Duration = Duration::from_millis(100);

/// The shares of callers in all pools.
#[derive(Debug, Default)]
pub struct Shares {
    by_pool: BTreeMap<PoolName, PoolShares>,
    /// When past use was last updated.
    updated: Option<Time>,
}

/// Whether past use is updated in a sweep.
#[derive(Clone, Copy, Debug)]
enum PastUpdate {
    NotDue,
    /// Nothing is known of the past: the inherited runs are taken to have run for long.
    First,
    /// The past use counts for this part against the present one.
    Due {
        part_kept: f64,
    },
}

#[derive(Debug, Default)]
struct PoolShares {
    past: BTreeMap<CallerName, PastUse>,
    /// Set while shares are in force.
    in_force: Option<InForce>,
    /// When the log last reported the shares.
    logged: Option<Time>,
    /// Whether the log has reported the shares since they came into force.
    is_reported: bool,
}

impl PoolShares {
    /// Accounts for what callers used since the last update.
    fn update_past<'a, I>(&mut self, update: PastUpdate, used: I)
    where
        I: Iterator<Item = (&'a CallerName, &'a Size)>,
    {
        let part_kept = match update {
            PastUpdate::NotDue => return,
            PastUpdate::First => {
                let steady = used.map(|(name, used)| (name.clone(), PastUse::steady(used)));
                self.past = steady.collect();
                return;
            }
            PastUpdate::Due { part_kept } => part_kept,
        };
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

impl Shares {
    /// Whether shares are in force in a pool.
    pub(super) fn are_in_force(&self, pool: &PoolName) -> bool {
        self.by_pool.get(pool).is_some_and(|shares| shares.in_force.is_some())
    }

    fn next_update(&mut self, now: Time) -> PastUpdate {
        let update = match self.updated.map(|updated| now.since(updated)) {
            None => PastUpdate::First,
            Some(elapsed) if elapsed < PAST_USE_INTERVAL => return PastUpdate::NotDue,
            Some(elapsed) => PastUpdate::Due { part_kept: fair_shares::part_kept(elapsed) },
        };
        self.updated = Some(now);
        update
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

    /// Charges a task that was started although it is beyond its caller's share.
    pub(super) fn borrow(&mut self, pool: &PoolName, step: &WaitingStep) {
        let shares = self.by_pool.get_mut(pool).and_then(|shares| shares.in_force.as_mut());
        if let (Some(shares), Some(charge)) = (shares, &step.charge) {
            shares.borrow(&charge.caller, &step.size);
        }
    }
}

impl Scheduler {
    /// The callers beyond their share of a pool, the largest excess first.
    pub fn callers_beyond(&self, pool: &PoolName) -> Vec<CallerName> {
        let shares = self.shares.by_pool.get(pool).and_then(|shares| shares.in_force.as_ref());
        shares.map(|shares| shares.beyond.clone()).unwrap_or_default()
    }

    /// Gives callers back what their runs used that have ended since the last sweep.
    pub(super) fn release_shares(&mut self) {
        let mut changed = BTreeSet::new();
        for (pool, callers) in self.executors.take_freed() {
            let shares = self.shares.by_pool.get_mut(&pool);
            let Some(shares) = shares.and_then(|shares| shares.in_force.as_mut()) else { continue };
            let Some(order) = self.waiting.order(&pool) else { continue };
            for (caller, freed) in callers {
                shares.release(&caller, &freed, order, &mut changed);
            }
        }
        changed.iter().for_each(|job| self.waiting.reclassify(job, &mut self.shares));
    }

    /// Divides all pools anew.
    pub(super) fn update_shares(&mut self, now: Now) {
        let Some(config) = self.config.clone() else { return };
        self.executors.take_freed();
        if config.callers.len() < 2 && self.shares.by_pool.is_empty() {
            return;
        }
        let known = self.shares.by_pool.keys().chain(self.executors.reserved().pools());
        let pools: BTreeSet<PoolName> = known.chain(self.waiting.pools()).cloned().collect();
        let update = self.shares.next_update(now.time);
        for pool in pools {
            let mut shares = self.shares.by_pool.remove(&pool).unwrap_or_default();
            shares.update_past(update, self.executors.reserved().of(&pool));
            let were_in_force = shares.in_force.is_some();
            let order = self.waiting.order(&pool);
            shares.in_force = order.and_then(|order| self.divide(&config, &pool, order, &shares));
            let changed = match (order, &mut shares.in_force) {
                (Some(order), Some(in_force)) => in_force.reclassify(order, were_in_force),
                (Some(order), None) if were_in_force => with_share(order).cloned().collect(),
                _ => BTreeSet::new(),
            };
            self.log_shares(now, &pool, &mut shares);
            let is_divided = shares.in_force.is_some();
            if is_divided || !shares.past.is_empty() {
                self.shares.by_pool.insert(pool, shares);
            }
            for job in &changed {
                match is_divided {
                    true => self.waiting.reclassify(job, &mut self.shares),
                    false => self.waiting.mark_stale(job),
                }
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
        let mut wanted: BTreeMap<&CallerName, Size> = BTreeMap::new();
        for (step, charge) in order.values().filter_map(|step| Some((step, step.charge.as_ref()?)))
        {
            *wanted.entry(&charge.caller).or_default() += size_of(step);
        }
        let mut capacity = free;
        let mut competing = Vec::new();
        for (name, used, waiting) in merged(self.executors.reserved().of(pool), wanted) {
            let Some(caller) = config.callers.get(name) else { continue };
            let waiting = self.within_quota(caller, &waiting);
            let past = shares.past.get(name).copied().unwrap_or_default();
            let claim = Claim { weight: caller.weight, used, waiting, past };
            capacity += used;
            competing.push((name.clone(), claim));
        }
        (competing.len() > 1).then(|| InForce::new(&capacity, competing))
    }

    /// What a caller's quota lets its waiting tasks use.
    fn within_quota(&self, caller: &Caller, waiting: &Size) -> Size {
        let quota = &caller.quota;
        if *quota == Size::default() || *waiting == Size::default() {
            return *waiting;
        }
        let used = self.executors.usage().of(&caller.name).size;
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

/// The callers with runs or waiting tasks, in the order of their names, with what they use and what
/// waits.
fn merged<'a, I>(
    used: I,
    waiting: BTreeMap<&'a CallerName, Size>,
) -> Vec<(&'a CallerName, Size, Size)>
where
    I: Iterator<Item = (&'a CallerName, &'a Size)>,
{
    let mut waiting = waiting.into_iter().peekable();
    let mut all = Vec::new();
    for (name, used) in used {
        while let Some((other, size)) = waiting.next_if(|(other, _)| *other < name) {
            all.push((other, Size::default(), size));
        }
        let size = waiting.next_if(|(other, _)| *other == name).map(|(_, size)| size);
        all.push((name, *used, size.unwrap_or_default()));
    }
    all.extend(waiting.map(|(name, size)| (name, Size::default(), size)));
    all
}

/// The jobs of a pool that callers with a share have submitted.
fn with_share(order: &WaitingOrder) -> impl Iterator<Item = &JobName> {
    order.values().filter(|step| step.by_share.is_some()).map(|step| &step.key.job)
}
