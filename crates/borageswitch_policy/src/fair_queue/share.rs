//! Start-time fair queueing among names that compete at one level.

use std::collections::{BTreeMap, BTreeSet};

/// Shares turns among keys by weight: whoever was charged least comes next.
///
/// A key that becomes active starts at the present virtual time, so that it can neither save up
/// turns while idle nor be punished for work long past.
#[derive(Debug)]
pub(super) struct FairShare<K> {
    ready: BTreeSet<(u64, K)>,
    tags: BTreeMap<K, (u64, u64)>,
    virtual_time: u64,
    weight_sum: u64,
}

impl<K> Default for FairShare<K> {
    fn default() -> Self {
        Self { ready: BTreeSet::new(), tags: BTreeMap::new(), virtual_time: 0, weight_sum: 0 }
    }
}

impl<K> FairShare<K>
where
    K: Clone + Ord,
{
    pub(super) fn activate(&mut self, key: &K, weight: u32) {
        if self.tags.contains_key(key) {
            return;
        }
        let weight = u64::from(weight.max(1));
        self.tags.insert(key.clone(), (self.virtual_time, weight));
        self.ready.insert((self.virtual_time, key.clone()));
        self.weight_sum += weight;
    }

    pub(super) fn deactivate(&mut self, key: &K) {
        let Some((tag, weight)) = self.tags.remove(key) else { return };
        self.ready.remove(&(tag, key.clone()));
        self.weight_sum -= weight;
    }

    /// Charges `cost` to an active key, which moves it back by cost over weight.
    pub(super) fn charge(&mut self, key: &K, cost: u64) {
        let Some((tag, weight)) = self.tags.get_mut(key) else { return };
        self.ready.remove(&(*tag, key.clone()));
        self.virtual_time = self.virtual_time.max(*tag);
        *tag += (cost / *weight).max(1);
        self.ready.insert((*tag, key.clone()));
    }

    /// The active keys, the one to be served next first.
    pub(super) fn in_turn(&self) -> impl Iterator<Item = &K> {
        self.ready.iter().map(|(_, key)| key)
    }

    /// The part of all turns that falls to `key`, in `0.0..=1.0`, were it active.
    pub(super) fn part_of(&self, key: &K, weight: u32) -> f64 {
        let (own, all) = match self.tags.get(key) {
            Some((_, own)) => (*own, self.weight_sum),
            None => (u64::from(weight.max(1)), self.weight_sum + u64::from(weight.max(1))),
        };
        own as f64 / all as f64
    }
}
