//! Finds steps that no existing host can run.
//!
//! A caller may declare more than any host has, for example memory in bytes in place of megabytes.
//! Such a job is kept, as larger hosts may join, but its demand must not move hosts, keep them
//! powered on or delay others meanwhile.

use borageswitch_types::names::PoolName;

use crate::{
    job::{Size, Step},
    policy::gangs,
    reducer::{Scheduler, places::reserved_size},
};

impl Scheduler {
    /// Whether the hosts that are in a pool, or could be moved to it, can run a task of a step, or
    /// all its tasks at once if they form a gang. True as long as the hosts are not known.
    pub(super) fn is_feasible(&self, pool: &PoolName, step: &Step) -> bool {
        if self.fleet.listed.is_none() {
            return true;
        }
        let of_pool = self.executors.of_pool(pool).map(|(_, known)| &known.registration);
        let executors = of_pool
            .filter(|own| step.label.as_ref().is_none_or(|label| own.has_label(label)))
            .map(|own| &own.capacity);
        let movable = self.fleet.hosts.values().filter(|entry| {
            step.label.as_ref().is_none_or(|label| entry.labels.contains(label))
                && (entry.pool == *pool || !self.lending.is_unfit(&entry.labels, pool))
        });
        can_hold(step, executors) || can_hold(step, movable.map(|entry| &entry.capacity))
    }
}

/// Whether empty hosts of these sizes can run a step.
fn can_hold<'a, I>(step: &Step, hosts: I) -> bool
where
    I: IntoIterator<Item = &'a Size>,
{
    let size = reserved_size(step);
    let mut missing = if step.gang { step.count as usize } else { 1 };
    hosts.into_iter().any(|host| {
        missing = missing.saturating_sub(gangs::member_capacity(host, &size, step.max_per_host));
        missing == 0
    })
}
