//! Bookkeeping of lent and borrowed slots per target.
//!
//! A loan changes how many slots of a host this entry may use, never which requests are in flight:
//! a slot that is given back while a request uses it counts as excess until that request has ended.
//! [`crate::loans`] decides who lends to whom and for how long.

use borageswitch_types::names::HostName;

use super::{Targets, target::Target};

impl Targets {
    /// Returns whether a share of this host and epoch is still valid.
    pub fn is_current(&self, host: &HostName, epoch: u64) -> bool {
        self.targets.get(host).is_some_and(|target| target.listed && target.epoch == epoch)
    }

    /// Returns the epoch of a host in the view.
    pub fn epoch(&self, host: &HostName) -> Option<u64> {
        self.targets.get(host).map(|target| target.epoch)
    }

    /// Returns the host with the most free slots among the targets that are not ejected, if any is
    /// free.
    pub fn most_free(&self) -> Option<HostName> {
        let healthy = |(_, target): &(&HostName, &Target)| {
            target.free() > 0 && target.health.ejection_reason().is_none()
        };
        let free = self.targets.iter().filter(healthy);
        free.max_by_key(|(_, target)| target.free()).map(|(host, _)| host.clone())
    }

    /// Returns whether a slot of the host is free.
    pub fn has_free(&self, host: &HostName) -> bool {
        self.targets.get(host).is_some_and(|target| target.free() > 0)
    }

    /// Returns by how much the requests in flight exceed the usable slots: the slots given back
    /// while still in use.
    pub fn excess(&self, host: &HostName) -> u32 {
        self.targets.get(host).map_or(0, |t| t.in_flight.saturating_sub(t.usable()))
    }

    /// Records that one own slot of a host was lent.
    pub fn lend(&mut self, host: &HostName) {
        if let Some(target) = self.targets.get_mut(host) {
            assert!(target.lent < target.allocated, "more slots of {host} lent than dealt");
            target.lent += 1;
        }
    }

    /// Records that one own slot was returned.
    pub fn take_back(&mut self, host: &HostName) {
        if let Some(target) = self.targets.get_mut(host) {
            target.lent = target.lent.saturating_sub(1);
        }
    }

    /// Records that one slot was borrowed.
    pub fn borrow(&mut self, host: &HostName) {
        if let Some(target) = self.targets.get_mut(host) {
            target.borrowed += 1;
        }
    }

    /// Records that one borrowed slot must no longer be used for new requests.
    pub fn release_borrowed(&mut self, host: &HostName) {
        if let Some(target) = self.targets.get_mut(host) {
            target.borrowed = target.borrowed.saturating_sub(1);
        }
    }

    /// Returns whether own slots of the host are left to lend.
    pub fn has_unlent(&self, host: &HostName) -> bool {
        self.targets.get(host).is_some_and(|target| target.lent < target.open)
    }
}
