//! A store with transactions, leases and history.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use borageswitch_runtime::ports::{Change, CommitOutcome, Item, LeaseId, Revision, Transaction};

#[derive(Debug)]
struct Stored {
    value: Vec<u8>,
    revision: Revision,
    lease: Option<LeaseId>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    ends: Instant,
}

/// A store in memory.
#[derive(Debug, Default)]
pub(super) struct MemoryStore {
    items: BTreeMap<Arc<str>, Stored>,
    history: Vec<(Revision, Change)>,
    forgotten: Revision,
    leases: BTreeMap<u64, Lease>,
    revision: Revision,
    next_lease: u64,
    expired: usize,
}

impl MemoryStore {
    /// How many leases have run out.
    pub(super) fn expired(&self) -> usize {
        self.expired
    }

    pub(super) fn revision(&self) -> Revision {
        self.revision
    }

    pub(super) fn get(&self, key: &str) -> Option<Item> {
        self.items.get_key_value(key).map(|(key, stored)| item(key, stored))
    }

    pub(super) fn list(&self, prefix: &str, after: Option<&str>) -> Vec<Item> {
        let fits = |key: &&Arc<str>| key.starts_with(prefix) && after.is_none_or(|a| &***key > a);
        self.items.iter().filter(|(key, _)| fits(key)).map(|(k, stored)| item(k, stored)).collect()
    }

    /// The changes after a revision; nothing if a part of them is forgotten.
    pub(super) fn changes(&self, prefix: &str, after: Revision) -> Option<Vec<Change>> {
        if after < self.forgotten {
            return None;
        }
        let key = |change: &Change| match change {
            Change::Written(item) => item.key.clone(),
            Change::Removed(key) => key.clone(),
        };
        let from = self.history.partition_point(|(revision, _)| *revision <= after);
        let newer = self.history[from..].iter().map(|(_, change)| change);
        Some(newer.filter(|change| key(change).starts_with(prefix)).cloned().collect())
    }

    /// Forgets all changes up to now.
    pub(super) fn forget_history(&mut self) {
        self.history.clear();
        self.forgotten = self.revision;
    }

    pub(super) fn put(&mut self, key: &str, value: Vec<u8>) {
        self.revision += 1;
        self.write(key.into(), value, None);
    }

    fn write(&mut self, key: Arc<str>, value: Vec<u8>, lease: Option<LeaseId>) {
        let stored = Stored { value, revision: self.revision, lease };
        self.history.push((self.revision, Change::Written(item(&key, &stored))));
        self.items.insert(key, stored);
    }

    fn remove(&mut self, key: &Arc<str>) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, Change::Removed(key.clone())));
        }
    }

    pub(super) fn delete(&mut self, key: &str) {
        self.revision += 1;
        self.remove(&key.into());
    }

    pub(super) fn commit(&mut self, tx: &Transaction) -> CommitOutcome {
        let at = |key: &Arc<str>| self.items.get(key).map_or(0, |stored| stored.revision);
        if tx.expect.iter().any(|(key, revision)| at(key) != *revision) {
            let there = tx.expect.iter().filter_map(|(key, _)| self.get(key));
            return CommitOutcome::Conflict(there.collect());
        }
        let leased = tx.write.iter().filter_map(|(_, _, lease)| *lease);
        if leased.into_iter().any(|lease| !self.leases.contains_key(&lease.0)) {
            return CommitOutcome::NoLease;
        }
        self.revision += 1;
        for (key, value, lease) in &tx.write {
            self.write(key.clone(), value.clone(), *lease);
        }
        for key in &tx.remove {
            self.remove(key);
        }
        CommitOutcome::Done(self.revision)
    }

    pub(super) fn grant(&mut self, now: Instant, ttl: Duration) -> LeaseId {
        self.next_lease += 1;
        self.leases.insert(self.next_lease, Lease { ttl, ends: now + ttl });
        LeaseId(self.next_lease)
    }

    pub(super) fn renew(&mut self, now: Instant, lease: LeaseId) -> Option<Duration> {
        let known = self.leases.get_mut(&lease.0)?;
        known.ends = now + known.ttl;
        Some(known.ttl)
    }

    pub(super) fn revoke(&mut self, lease: LeaseId) {
        if self.leases.remove(&lease.0).is_none() {
            return;
        }
        self.revision += 1;
        let under = |(_, stored): &(&Arc<str>, &Stored)| stored.lease == Some(lease);
        let keys: Vec<Arc<str>> =
            self.items.iter().filter(under).map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    /// Ends the leases that nobody has renewed.
    pub(super) fn expire(&mut self, now: Instant) {
        let over = self.leases.iter().filter(|(_, lease)| lease.ends <= now);
        let over: Vec<u64> = over.map(|(id, _)| *id).collect();
        self.expired += over.len();
        for id in over {
            self.revoke(LeaseId(id));
        }
    }
}

fn item(key: &Arc<str>, stored: &Stored) -> Item {
    Item { key: key.clone(), value: stored.value.clone(), revision: stored.revision }
}
