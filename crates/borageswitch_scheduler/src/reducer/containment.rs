//! Limits how many executors tasks may reach that are suspected of crashing them.

use borageswitch_types::names::PoolName;

use crate::{job::Size, reducer::Scheduler};

impl Scheduler {
    /// The capacity of a pool that probes and suspects hold and sound work cannot use.
    pub fn contained_capacity(&self, _pool: &PoolName) -> Size {
        Size::default()
    }
}
