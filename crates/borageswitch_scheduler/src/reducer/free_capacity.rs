//! Free capacity of the open executors of each pool.

use std::collections::{BTreeMap, BTreeSet};

use borageswitch_types::names::{ExecutorName, PoolName};

use crate::{event::Now, job::Size, reducer::Scheduler};

/// Free capacity of the open executors of one pool.
pub(super) type FreeCapacity = BTreeMap<ExecutorName, Size>;

/// Free capacity of all pools.
#[derive(Debug, Default)]
pub struct FreeCapacityByPool {
    by_pool: BTreeMap<PoolName, FreeCapacity>,
    /// Executors that reopen after some time without an event.
    resting: BTreeSet<ExecutorName>,
}

impl FreeCapacityByPool {
    /// Takes the free capacity of a pool; [`Self::put_back`] returns it.
    pub(super) fn take(&mut self, pool: &PoolName) -> FreeCapacity {
        self.by_pool.get_mut(pool).map(std::mem::take).unwrap_or_default()
    }

    /// The free capacity of a pool's open executors.
    pub(super) fn of(&self, pool: &PoolName) -> impl Iterator<Item = (&ExecutorName, &Size)> {
        self.by_pool.get(pool).into_iter().flatten()
    }

    pub(super) fn put_back(&mut self, pool: &PoolName, available: FreeCapacity) {
        self.by_pool.insert(pool.clone(), available);
    }
}

impl Scheduler {
    /// Updates the executors that have changed and, in a sweep, those that reopen with time.
    pub(super) fn update_free_capacity(&mut self, now: Now, sweep: bool) {
        for (pool, executor) in self.executors.take_departed() {
            if let Some(available) = self.free_capacity.by_pool.get_mut(&pool) {
                available.remove(&executor);
            }
        }
        let changed = self.executors.take_changed();
        for executor in &changed {
            self.update_executor_capacity(now, executor);
        }
        self.poll_candidates.extend(changed);
        if sweep {
            for executor in std::mem::take(&mut self.free_capacity.resting) {
                self.update_executor_capacity(now, &executor);
            }
        }
    }

    fn update_executor_capacity(&mut self, now: Now, executor: &ExecutorName) {
        let Some(known) = self.executors.get(executor) else { return };
        let pool = &known.registration.pool;
        if !self.free_capacity.by_pool.contains_key(pool) {
            self.free_capacity.by_pool.insert(pool.clone(), FreeCapacity::new());
        }
        let Some(available) = self.free_capacity.by_pool.get_mut(pool) else { return };
        if !known.accepts_runs(now.time) {
            available.remove(executor);
            if known.recovers_with_time(now.time) {
                self.free_capacity.resting.insert(executor.clone());
            }
            return;
        }
        match available.get_mut(executor) {
            Some(free) => *free = known.free(),
            None => {
                available.insert(executor.clone(), known.free());
            }
        }
    }
}
