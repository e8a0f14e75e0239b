//! A fake of the platform's store in virtual time: keys, versions, leases and watches.

use std::{collections::BTreeMap, sync::Arc};

use borageswitch_control::store::{KeyValue, LeaseId, StoreRequest, StoreResponse, Version};
use borageswitch_types::Time;

#[derive(Clone, Debug)]
struct Entry {
    version: Version,
    value: Arc<[u8]>,
    lease: Option<LeaseId>,
}

/// The keys and leases of the store.
#[derive(Debug, Default)]
pub struct FakeStore {
    keys: BTreeMap<Arc<str>, Entry>,
    leases: BTreeMap<LeaseId, Time>,
    ttls: BTreeMap<LeaseId, std::time::Duration>,
    last: u64,
}

impl FakeStore {
    fn next(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    /// Removes the leases that were not renewed, and their keys.
    pub fn expire(&mut self, now: Time) {
        self.leases.retain(|_, until| *until > now);
        let leases = &self.leases;
        self.keys.retain(|_, e| e.lease.is_none_or(|lease| leases.contains_key(&lease)));
    }

    pub fn value(&self, key: &str) -> Option<&[u8]> {
        self.keys.get(key).map(|entry| &*entry.value)
    }

    pub fn version(&self, key: &str) -> Version {
        self.keys.get(key).map_or(Version::ABSENT, |entry| entry.version)
    }

    /// Executes a request; a watch is executed as a read.
    pub fn execute(&mut self, now: Time, request: &StoreRequest) -> StoreResponse {
        self.expire(now);
        match request {
            StoreRequest::Get { key } | StoreRequest::Watch { key, .. } => {
                StoreResponse::Value(self.read(key))
            }
            StoreRequest::List { prefix } => {
                let keys = self.keys.keys().filter(|key| key.starts_with(&**prefix));
                StoreResponse::Values(keys.filter_map(|key| self.read(key)).collect())
            }
            StoreRequest::CompareAndSwap { key, expected, value, lease } => {
                if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
                    return StoreResponse::LeaseLost;
                }
                if self.version(key) != *expected {
                    return StoreResponse::Conflict;
                }
                let version = Version(self.next());
                let entry = Entry { version, value: value.clone(), lease: *lease };
                self.keys.insert(key.clone(), entry);
                StoreResponse::Written { version }
            }
            StoreRequest::Delete { key, expected } => {
                if self.version(key) != *expected {
                    return StoreResponse::Conflict;
                }
                self.keys.remove(key);
                StoreResponse::Done
            }
            StoreRequest::GrantLease { ttl } => {
                let lease = LeaseId(self.next());
                self.leases.insert(lease, now + *ttl);
                self.ttls.insert(lease, *ttl);
                StoreResponse::Lease { lease, ttl: *ttl }
            }
            StoreRequest::KeepAlive { lease } => match self.leases.get_mut(lease) {
                Some(until) => {
                    let ttl = self.ttls[lease];
                    *until = now + ttl;
                    StoreResponse::Lease { lease: *lease, ttl }
                }
                None => StoreResponse::LeaseLost,
            },
            StoreRequest::RevokeLease { lease } => {
                self.leases.remove(lease);
                self.expire(now);
                StoreResponse::Done
            }
        }
    }

    fn read(&self, key: &Arc<str>) -> Option<KeyValue> {
        let entry = self.keys.get(key)?;
        Some(KeyValue { key: key.clone(), version: entry.version, value: entry.value.clone() })
    }
}
