//! Decides which additional hosts lasting tasks need.
//!
//! A lasting task has lost its host, or its host is to be maintained, and the hosts of its pool
//! that it may run on are occupied by other lasting tasks, which never end by themselves. Counted
//! in cores, or by the number of hosts with its label, the pool has enough capacity: no host would
//! ever be fetched, and the task's users would be without service for the rest of the day while
//! other hosts are off. So each such task is placed on the capacity that is really free.

use std::{collections::BTreeMap, sync::Arc};

use crate::job::Size;

/// The capacity of a host for lasting tasks. `K` identifies a step.
#[derive(Clone, Debug, PartialEq)]
pub struct HostCapacity<K> {
    /// The labels of the host.
    pub labels: Vec<Arc<str>>,
    /// The capacity that no lasting task uses.
    pub free: Size,
    /// The number of lasting tasks of each step on the host.
    pub tasks: BTreeMap<K, u32>,
}

/// A lasting task without a host.
#[derive(Clone, Debug, PartialEq)]
pub struct UnplacedTask<K> {
    /// The step of the task.
    pub step: K,
    /// The capacity that the task needs.
    pub size: Size,
    /// The label that the host must have.
    pub label: Option<Arc<str>>,
    /// The limit on tasks of the step on one host.
    pub max_per_host: Option<u32>,
}

/// Returns the hosts that are needed in addition to `hosts`, each with the label that it must have,
/// `limit` at most. Each is taken to be of size `host_size`; a task that is larger gets none.
pub fn additional_hosts<K>(
    unplaced: &[UnplacedTask<K>],
    mut hosts: Vec<HostCapacity<K>>,
    host_size: &Size,
    limit: usize,
) -> Vec<Option<Arc<str>>>
where
    K: Clone + Ord,
{
    let mut more = Vec::new();
    let mut unplaced: Vec<&UnplacedTask<K>> =
        unplaced.iter().filter(|t| host_size.holds(&t.size)).collect();
    // Tasks without a label come last, as they can share a host that is fetched for a label.
    unplaced.sort_by_key(|task| task.label.is_none());
    // The tasks of a step are alike, so a host without room for one has none for those after it.
    let mut first_untried: BTreeMap<&K, usize> = BTreeMap::new();
    for task in unplaced {
        let position = first_untried.entry(&task.step).or_default();
        while hosts.get_mut(*position).is_some_and(|host| !host.try_place(task)) {
            *position += 1;
        }
        if *position < hosts.len() || more.len() >= limit {
            continue;
        }
        let labels = task.label.iter().cloned().collect();
        let mut fresh = HostCapacity { labels, free: *host_size, tasks: BTreeMap::new() };
        fresh.try_place(task);
        hosts.push(fresh);
        more.push(task.label.clone());
    }
    more
}

impl<K> HostCapacity<K>
where
    K: Clone + Ord,
{
    /// Places a task on the host and returns whether it fits.
    fn try_place(&mut self, task: &UnplacedTask<K>) -> bool {
        let of_step = self.tasks.get(&task.step).copied().unwrap_or(0);
        let labelled = task.label.as_ref().is_none_or(|label| self.labels.contains(label));
        let below_limit = task.max_per_host.is_none_or(|most| of_step < most);
        if !labelled || !below_limit || !self.free.holds(&task.size) {
            return false;
        }
        self.free = self.free.less(&task.size);
        self.tasks.insert(task.step.clone(), of_step + 1);
        true
    }
}

#[cfg(test)]
mod tests;
