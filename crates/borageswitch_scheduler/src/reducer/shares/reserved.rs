//! What the runs of each caller reserve in each pool.

use std::collections::BTreeMap;

use borageswitch_types::names::{CallerName, PoolName};

use crate::{job::Size, reducer::executors::HeldRun};

/// The reserved capacity by pool and caller. Runs without a caller are left out.
#[derive(Debug, Default)]
pub struct ReservedByPool {
    by_pool: BTreeMap<PoolName, BTreeMap<CallerName, Size>>,
    /// What runs that have ended since [`Self::take_freed`] had reserved.
    freed: BTreeMap<PoolName, BTreeMap<CallerName, Size>>,
}

impl ReservedByPool {
    /// The pools in which callers have runs.
    pub fn pools(&self) -> impl Iterator<Item = &PoolName> {
        self.by_pool.keys()
    }

    /// The callers that reserve capacity in a pool, with what they reserve.
    pub fn of(&self, pool: &PoolName) -> impl Iterator<Item = (&CallerName, &Size)> {
        self.by_pool.get(pool).into_iter().flatten()
    }

    /// What runs that have ended since the last call had reserved.
    pub(in crate::reducer) fn take_freed(
        &mut self,
    ) -> BTreeMap<PoolName, BTreeMap<CallerName, Size>> {
        std::mem::take(&mut self.freed)
    }

    /// Adds a run on an executor of a pool.
    pub(in crate::reducer) fn add(&mut self, pool: &PoolName, held: &HeldRun) {
        let Some(charge) = &held.charge else { return };
        if !self.by_pool.contains_key(pool) {
            self.by_pool.insert(pool.clone(), BTreeMap::new());
        }
        let Some(callers) = self.by_pool.get_mut(pool) else { return };
        match callers.get_mut(&charge.caller) {
            Some(size) => *size += held.size,
            None => {
                callers.insert(charge.caller.clone(), held.size);
            }
        }
    }

    /// Subtracts a run on an executor of a pool.
    pub(in crate::reducer) fn subtract(&mut self, pool: &PoolName, held: &HeldRun) {
        let Some(charge) = &held.charge else { return };
        let Some(callers) = self.by_pool.get_mut(pool) else { return };
        let Some(size) = callers.get_mut(&charge.caller) else { return };
        let freed = self.freed.entry(pool.clone()).or_default();
        *freed.entry(charge.caller.clone()).or_default() += held.size;
        *size = size.less(&held.size);
        if *size == Size::default() {
            callers.remove(&charge.caller);
        }
        if callers.is_empty() {
            self.by_pool.remove(pool);
        }
    }
}
