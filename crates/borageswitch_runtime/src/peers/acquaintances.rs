//! Other daemons that this one has met.
//!
//! The load: the store turns some daemons away, for seconds, and serves all others. Such a daemon
//! hears of no new leader, and one that leads can neither renew its lease nor end it. Each question
//! to the leader tells where its sender can be asked, and each answer names a few daemons that asked
//! before, so that those in need can turn to others.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
};

/// The header with the address at which the sender of a question answers others.
pub(super) const ASKER: &str = "asker";
/// The header of an answer with the addresses of other daemons.
pub(super) const OTHERS: &str = "others";
/// The most addresses that one answer names.
const MOST_TOLD: usize = 3;
/// The most addresses that are kept: a leader hears of each daemon, and a few suffice.
const MOST_KEPT: usize = 64;

/// The addresses of daemons that have been met.
#[derive(Debug, Default)]
pub struct Acquaintances {
    known: Mutex<BTreeSet<SocketAddr>>,
}

impl Acquaintances {
    /// A daemon answers at this address. One of those known before may be forgotten for it.
    pub fn note(&self, address: SocketAddr) {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        if known.len() >= MOST_KEPT && !known.contains(&address) {
            let forgotten = known.iter().nth(fastrand::usize(..known.len())).copied();
            forgotten.map(|address| known.remove(&address));
        }
        known.insert(address);
    }

    /// A few of them in random order, without one.
    pub fn some_but(&self, other: Option<SocketAddr>) -> Vec<SocketAddr> {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let others = known.iter().copied().filter(|address| Some(*address) != other);
        let mut others: Vec<SocketAddr> = others.collect();
        fastrand::shuffle(&mut others);
        others.truncate(MOST_TOLD);
        others
    }

    /// Takes in what an answer has told.
    pub(super) fn take_told(&self, told: &str) {
        told.split(',').filter_map(|address| address.parse().ok()).for_each(|a| self.note(a));
    }

    /// What is told to whoever asks from an address.
    pub(super) fn to_tell(&self, asker: Option<SocketAddr>) -> String {
        let told: Vec<String> = self.some_but(asker).iter().map(SocketAddr::to_string).collect();
        told.join(",")
    }
}

#[cfg(test)]
mod tests;
