//! Whether this daemon may still give orders.
//!
//! A daemon leads while its lease in the store holds. It cannot know when the store counted its
//! last renewal, so it takes the moment at which the renewal left, and stops a margin before. The
//! check is made at the socket, after everything that can take time: a daemon that was suspended
//! between a decision and its order must not send the order when it wakes, as its successor may
//! have decided otherwise by then.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use borageswitch_types::Time;

use crate::clock;

/// How long before the end of its lease a leader stops giving orders: clocks that differ by some
/// thousandths over a lease, and an order's way to its executor.
pub const MARGIN: Duration = Duration::from_millis(150);
/// How long after that it still prolongs what runs. While the store is away nobody can lead, and
/// ending the runs would only lose work; a successor waits for the leases given in this time before
/// it starts anything twice.
pub const KEEP_ALIVE_GRACE: Duration = Duration::from_millis(6_000);

/// Until when this daemon may give orders. Shared by the threads of a process.
#[derive(Debug, Default)]
pub struct Authority {
    until_micros: AtomicU64,
    token: AtomicU64,
}

impl Authority {
    /// The lease was renewed by a call that left at `sent`, for `ttl`.
    pub fn renewed(&self, token: u64, sent: Time, ttl: Duration) {
        let until = sent + ttl.saturating_sub(MARGIN);
        self.token.store(token, Ordering::SeqCst);
        self.until_micros.fetch_max(until.as_micros(), Ordering::SeqCst);
    }

    /// The lease has ended, or was given up.
    pub fn end(&self) {
        self.until_micros.store(0, Ordering::SeqCst);
        self.token.store(0, Ordering::SeqCst);
    }

    /// Whether orders under `token` may leave now.
    pub fn may_order(&self, token: u64) -> bool {
        self.left(token) > Duration::ZERO
    }

    /// Whether leases of executors may be prolonged under `token` now.
    pub fn may_keep_alive(&self, token: u64) -> bool {
        self.token.load(Ordering::SeqCst) == token
            && clock::time() < self.until() + KEEP_ALIVE_GRACE
    }

    /// How long orders under `token` may leave.
    pub fn left(&self, token: u64) -> Duration {
        if self.token.load(Ordering::SeqCst) != token {
            return Duration::ZERO;
        }
        self.until().since(clock::time())
    }

    fn until(&self) -> Time {
        Time::from_micros(self.until_micros.load(Ordering::SeqCst))
    }
}
