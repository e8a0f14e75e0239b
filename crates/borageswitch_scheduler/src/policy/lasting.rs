//! Which more hosts lasting tasks need.
//!
//! The load: a lasting task has lost its host, or its host is to be maintained, and the hosts of
//! its pool that it may run on have other lasting tasks on them, which never end by themselves.
//! Counted in cores, or by the number of hosts with its label, the pool has enough: nothing would
//! ever be fetched, and the task's users would be without service for the rest of the day beside
//! hosts that are off. So each such task is tried on the room that is really there.

use std::{collections::BTreeMap, sync::Arc};

use crate::job::Size;

/// What a host has left for lasting tasks, whose steps are told apart by `K`.
#[derive(Clone, Debug, PartialEq)]
pub struct Room<K> {
    /// What the host is labelled with.
    pub labels: Vec<Arc<str>>,
    /// What no other lasting task takes.
    pub free: Size,
    /// How many tasks of each step it has.
    pub tasks: BTreeMap<K, u32>,
}

/// A lasting task without a place.
#[derive(Clone, Debug, PartialEq)]
pub struct Seeker<K> {
    /// Its step.
    pub step: K,
    /// What it takes.
    pub size: Size,
    /// The label that its host must have.
    pub label: Option<Arc<str>>,
    /// At most this many tasks of the step run on one host.
    pub max_per_host: Option<u32>,
}

/// The hosts that are needed besides `rooms`, each with the label that it must have. Each is taken
/// to be as large as `host`; a task larger than that gets none.
pub fn more_hosts<K>(
    seekers: &[Seeker<K>],
    mut rooms: Vec<Room<K>>,
    host: &Size,
) -> Vec<Option<Arc<str>>>
where
    K: Clone + Ord,
{
    let mut more = Vec::new();
    let mut seekers: Vec<&Seeker<K>> = seekers.iter().filter(|s| host.holds(&s.size)).collect();
    // A task without a label can share a host that was fetched for one with it.
    seekers.sort_by_key(|seeker| seeker.label.is_none());
    for seeker in seekers {
        if rooms.iter_mut().any(|room| room.take(seeker)) {
            continue;
        }
        let labels = seeker.label.iter().cloned().collect();
        let mut fresh = Room { labels, free: *host, tasks: BTreeMap::new() };
        fresh.take(seeker);
        rooms.push(fresh);
        more.push(seeker.label.clone());
    }
    more
}

impl<K> Room<K>
where
    K: Clone + Ord,
{
    /// Gives a task a place here, if there is one.
    fn take(&mut self, seeker: &Seeker<K>) -> bool {
        let there = self.tasks.get(&seeker.step).copied().unwrap_or(0);
        let labelled = seeker.label.as_ref().is_none_or(|label| self.labels.contains(label));
        let apart = seeker.max_per_host.is_none_or(|most| there < most);
        if !labelled || !apart || !self.free.holds(&seeker.size) {
            return false;
        }
        self.free = self.free.less(&seeker.size);
        self.tasks.insert(seeker.step.clone(), there + 1);
        true
    }
}

#[cfg(test)]
mod tests;
