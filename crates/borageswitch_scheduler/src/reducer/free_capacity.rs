//! What the open executors of each pool have left.

use std::collections::{BTreeMap, BTreeSet};

use borageswitch_types::names::{ExecutorName, PoolName};

use crate::{event::Now, job::Size, reducer::Scheduler};

/// What is left on open executors.
pub(super) type FreeCapacity = BTreeMap<ExecutorName, Size>;

/// What is left in each pool.
#[derive(Debug, Default)]
pub struct FreeCapacityByPool {
    by_pool: BTreeMap<PoolName, FreeCapacity>,
    /// Executors that will be open again after some time, though nothing happens to them.
    resting: BTreeSet<ExecutorName>,
}

impl FreeCapacityByPool {
    /// Takes the room of a pool, to be put back by [`Self::put_back`].
    pub(super) fn take(&mut self, pool: &PoolName) -> FreeCapacity {
        self.by_pool.get_mut(pool).map(std::mem::take).unwrap_or_default()
    }

    /// The room of a pool.
    pub(super) fn of(&self, pool: &PoolName) -> impl Iterator<Item = (&ExecutorName, &Size)> {
        self.by_pool.get(pool).into_iter().flatten()
    }

    pub(super) fn put_back(&mut self, pool: &PoolName, available: FreeCapacity) {
        self.by_pool.insert(pool.clone(), available);
    }
}

impl Scheduler {
    /// Takes in what has changed on executors; in a sweep also what the time alone has changed.
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
        if !known.is_open(now.time) {
            available.remove(executor);
            if known.rests(now.time) {
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
