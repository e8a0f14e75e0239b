//! Addresses of other daemons, exchanged with every peer request and response.
//!
//! During a partial outage the store rejects some daemons for seconds and serves all others. A
//! rejected daemon cannot learn of a new leader, and a rejected leader can neither renew its lease
//! nor end it. Each request to the leader therefore carries the address of its sender, and each
//! response names a few earlier senders, so that a rejected daemon knows others to turn to.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
};

/// The header of a request with the address at which its sender serves peers.
pub(super) const REQUESTER_HEADER: &str = "asker";
/// The header of a response with the addresses of other daemons.
pub(super) const OTHER_PEERS_HEADER: &str = "others";
/// The most addresses that one response names.
const MAX_SHARED_PEERS: usize = 3;
/// The most addresses that are kept: every daemon contacts the leader, and a few addresses suffice.
const MAX_KNOWN_PEERS: usize = 64;

/// The addresses of daemons that this one knows.
#[derive(Debug, Default)]
pub struct KnownPeers {
    addresses: Mutex<BTreeSet<SocketAddr>>,
}

impl KnownPeers {
    /// Adds an address. When the set is full, a random other address is evicted.
    pub fn add(&self, address: SocketAddr) {
        let mut addresses = self.addresses.lock().unwrap_or_else(PoisonError::into_inner);
        if addresses.len() >= MAX_KNOWN_PEERS && !addresses.contains(&address) {
            let evicted = addresses.iter().nth(fastrand::usize(..addresses.len())).copied();
            evicted.map(|address| addresses.remove(&address));
        }
        addresses.insert(address);
    }

    /// A random sample of the addresses, without `excluded`.
    pub fn sample_except(&self, excluded: Option<SocketAddr>) -> Vec<SocketAddr> {
        let addresses = self.addresses.lock().unwrap_or_else(PoisonError::into_inner);
        let sample = addresses.iter().copied().filter(|address| Some(*address) != excluded);
        let mut sample: Vec<SocketAddr> = sample.collect();
        fastrand::shuffle(&mut sample);
        sample.truncate(MAX_SHARED_PEERS);
        sample
    }

    /// All addresses.
    pub fn all(&self) -> Vec<SocketAddr> {
        let addresses = self.addresses.lock().unwrap_or_else(PoisonError::into_inner);
        addresses.iter().copied().collect()
    }

    /// Adds the addresses of a response's header. Entries that are not addresses are skipped.
    pub(super) fn add_from_header(&self, value: &str) {
        value.split(',').filter_map(|address| address.parse().ok()).for_each(|a| self.add(a));
    }

    /// The header value of a response to `requester`.
    pub(super) fn to_header(&self, requester: Option<SocketAddr>) -> String {
        let entries: Vec<String> =
            self.sample_except(requester).iter().map(SocketAddr::to_string).collect();
        entries.join(",")
    }
}

#[cfg(test)]
mod tests;
