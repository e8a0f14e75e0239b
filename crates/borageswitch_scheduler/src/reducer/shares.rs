//! Which callers use more than their share of a pool.

use borageswitch_types::names::{CallerName, PoolName};

use crate::reducer::Scheduler;

impl Scheduler {
    /// The callers beyond their share of a pool, the largest excess first.
    pub fn callers_beyond(&self, _pool: &PoolName) -> Vec<CallerName> {
        Vec::new()
    }
}
