//! How entries lend each other slots of the targets.
//!
//! A loan changes how many slots of a host this entry may use, never which requests are in flight:
//! a slot that is given up while a request uses it shows as excess until that request has ended.
//! Who lends to whom and for how long is the business of [`crate::loans`].

use borageswitch_types::names::HostName;

use super::{Targets, target::Target};

impl Targets {
    /// Whether a share of this host and epoch still means anything.
    pub fn is_current(&self, host: &HostName, epoch: u64) -> bool {
        self.targets.get(host).is_some_and(|target| target.listed && target.epoch == epoch)
    }

    /// The epoch of a host in the view.
    pub fn epoch(&self, host: &HostName) -> Option<u64> {
        self.targets.get(host).map(|target| target.epoch)
    }

    /// The host with most free slots among the targets without trouble, if it has any.
    pub fn freest(&self) -> Option<HostName> {
        let healthy = |(_, target): &(&HostName, &Target)| {
            target.free() > 0 && target.health.trouble().is_none()
        };
        let free = self.targets.iter().filter(healthy);
        free.max_by_key(|(_, target)| target.free()).map(|(host, _)| host.clone())
    }

    /// Whether a slot of the host is free.
    pub fn has_free(&self, host: &HostName) -> bool {
        self.targets.get(host).is_some_and(|target| target.free() > 0)
    }

    /// Whether more is in flight than may be, by which a slot given up is still in use.
    pub fn excess(&self, host: &HostName) -> u32 {
        self.targets.get(host).map_or(0, |t| t.in_flight.saturating_sub(t.usable()))
    }

    /// Takes note that one own slot of a host was lent.
    pub fn lend(&mut self, host: &HostName) {
        if let Some(target) = self.targets.get_mut(host) {
            assert!(target.lent < target.dealt, "more slots of {host} lent than dealt");
            target.lent += 1;
        }
    }

    /// Takes note that one own slot has come back.
    pub fn take_back(&mut self, host: &HostName) {
        if let Some(target) = self.targets.get_mut(host) {
            target.lent = target.lent.saturating_sub(1);
        }
    }

    /// Takes note that one slot was borrowed.
    pub fn borrow(&mut self, host: &HostName) {
        if let Some(target) = self.targets.get_mut(host) {
            target.borrowed += 1;
        }
    }

    /// Takes note that one borrowed slot must no longer be used for new requests.
    pub fn give_up(&mut self, host: &HostName) {
        if let Some(target) = self.targets.get_mut(host) {
            target.borrowed = target.borrowed.saturating_sub(1);
        }
    }

    /// Whether own slots of the host are left to lend.
    pub fn owns_unlent(&self, host: &HostName) -> bool {
        self.targets.get(host).is_some_and(|target| target.lent < target.open)
    }
}
