//! Whether this daemon may still give orders.
//!
//! A daemon leads while its lease in the store is valid. It cannot know when the store processed
//! its last renewal, so it counts from the moment at which it sent the renewal, and stops giving
//! orders a margin before the lease expires. The check is made right before an order is sent, after
//! everything that can take time: a daemon that was suspended between a decision and its order must
//! not send the order on resuming, as its successor may have decided otherwise by then.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use borageswitch_http::write_gate::WritePermit;
use borageswitch_types::Time;

use crate::clock;

/// How long before the end of its lease a leader stops giving orders. This covers clocks that drift
/// by some thousandths over a lease, and the time that an order takes to its executor.
pub const LEASE_MARGIN: Duration = Duration::from_millis(150);
/// How long after that it still extends the leases of executors. While the store is unavailable no
/// daemon can lead, and ending the runs would only lose work. A successor waits until leases
/// extended in this time have expired before it starts a task again.
pub const KEEP_ALIVE_GRACE: Duration = Duration::from_millis(6_000);

/// The time until which this daemon may give orders. Shared by the threads of the process.
#[derive(Clone, Debug, Default)]
pub struct Authority {
    held: Arc<Held>,
}

#[derive(Debug, Default)]
struct Held {
    until_micros: AtomicU64,
    token: AtomicU64,
}

impl Authority {
    /// Records that a call sent at `sent` renewed the lease for `ttl`.
    pub fn record_renewal(&self, token: u64, sent: Time, ttl: Duration) {
        let until = sent + ttl.saturating_sub(LEASE_MARGIN);
        self.held.token.store(token, Ordering::SeqCst);
        self.held.until_micros.fetch_max(until.as_micros(), Ordering::SeqCst);
    }

    /// Takes over the authority of a leader for which this daemon makes calls, until `until`.
    pub fn adopt(&self, token: u64, until: Time) {
        if self.held.token.load(Ordering::SeqCst) != token {
            self.end();
            self.held.token.store(token, Ordering::SeqCst);
        }
        self.held.until_micros.store(until.as_micros(), Ordering::SeqCst);
    }

    /// Ends the authority, as the lease has ended or was given up.
    pub fn end(&self) {
        self.held.until_micros.store(0, Ordering::SeqCst);
        self.held.token.store(0, Ordering::SeqCst);
    }

    /// Whether orders with `token` may be sent now.
    pub fn may_order(&self, token: u64) -> bool {
        self.remaining(token) > Duration::ZERO
    }

    /// A permit for one order with `token`, in force while [`Self::may_order`] holds.
    pub fn permit(&self, token: u64) -> WritePermit {
        let own = self.clone();
        WritePermit::new(move || own.may_order(token))
    }

    /// Whether orders of any term may be sent now.
    pub fn is_current(&self) -> bool {
        clock::time() < self.until()
    }

    /// Whether leases of executors may be extended with `token` now.
    pub fn may_keep_alive(&self, token: u64) -> bool {
        self.held.token.load(Ordering::SeqCst) == token
            && clock::time() < self.until() + KEEP_ALIVE_GRACE
    }

    /// For how long orders with `token` may still be sent.
    pub fn remaining(&self, token: u64) -> Duration {
        if self.held.token.load(Ordering::SeqCst) != token {
            return Duration::ZERO;
        }
        self.until().since(clock::time())
    }

    /// When the authority ends.
    pub fn until(&self) -> Time {
        Time::from_micros(self.held.until_micros.load(Ordering::SeqCst))
    }
}

#[cfg(test)]
mod tests;
