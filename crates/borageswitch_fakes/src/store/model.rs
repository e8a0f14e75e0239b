//! The key-value service without network: time is handed in.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;

/// The largest value that the service keeps, in bytes.
pub const MAX_VALUE: usize = 1 << 20;

/// Why a write had no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteError {
    /// The key has another version than the writer expects.
    OtherVersion,
    /// The lease has ended or never was.
    LeaseEnded,
    /// The value is larger than [`MAX_VALUE`].
    TooLarge,
}

#[derive(Clone, Debug)]
struct Entry {
    version: u64,
    value: Bytes,
    lease: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl: Duration,
    ends: Duration,
}

/// Keys with versions and leases.
#[derive(Debug, Default)]
pub struct StoreModel {
    now: Duration,
    last_version: u64,
    last_lease: u64,
    entries: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, Lease>,
}

impl StoreModel {
    /// Lets time pass until `now`; leases that have ended take their keys with them.
    pub fn advance(&mut self, now: Duration) {
        self.now = self.now.max(now);
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends <= self.now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            self.revoke(lease);
        }
    }

    /// The version and value of a key.
    pub fn get(&self, key: &str) -> Option<(u64, Bytes)> {
        self.entries.get(key).map(|entry| (entry.version, entry.value.clone()))
    }

    /// Every key that begins with `prefix`, in order.
    pub fn list(&self, prefix: &str) -> Vec<(String, u64, Bytes)> {
        let from = self.entries.range(prefix.to_owned()..);
        let with_prefix = from.take_while(|(key, _)| key.starts_with(prefix));
        with_prefix.map(|(key, entry)| (key.clone(), entry.version, entry.value.clone())).collect()
    }

    /// Replaces a value; `expected` 0 creates the key.
    ///
    /// # Errors
    ///
    /// When nothing was changed.
    pub fn put(
        &mut self,
        key: &str,
        expected: u64,
        value: Bytes,
        lease: Option<u64>,
    ) -> Result<u64, WriteError> {
        if value.len() > MAX_VALUE {
            return Err(WriteError::TooLarge);
        }
        if self.version(key) != expected {
            return Err(WriteError::OtherVersion);
        }
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Err(WriteError::LeaseEnded);
        }
        self.last_version += 1;
        let entry = Entry { version: self.last_version, value, lease };
        self.entries.insert(key.to_owned(), entry);
        Ok(self.last_version)
    }

    /// Deletes a key; `expected` 0 deletes any version.
    ///
    /// # Errors
    ///
    /// When nothing was changed.
    pub fn delete(&mut self, key: &str, expected: u64) -> Result<(), WriteError> {
        if expected != 0 && self.version(key) != expected {
            return Err(WriteError::OtherVersion);
        }
        self.entries.remove(key);
        Ok(())
    }

    /// Grants a lease.
    pub fn grant(&mut self, ttl: Duration) -> u64 {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, Lease { ttl, ends: self.now + ttl });
        self.last_lease
    }

    /// Lets a lease last for its whole time again, unless it has ended.
    pub fn keep_alive(&mut self, lease: u64) -> Option<Duration> {
        let now = self.now;
        let lease = self.leases.get_mut(&lease)?;
        lease.ends = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Ends a lease and its keys.
    pub fn revoke(&mut self, lease: u64) {
        self.leases.remove(&lease);
        self.entries.retain(|_, entry| entry.lease != Some(lease));
    }

    fn version(&self, key: &str) -> u64 {
        self.entries.get(key).map_or(0, |entry| entry.version)
    }
}
