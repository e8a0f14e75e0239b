//! Bounds the calls to the store that one daemon makes and has in flight.
//!
//! Load pattern: after an outage every daemon has reads, writes and leases to catch up with, and a
//! fault in a loop of ours would call as fast as the store answers. Without a bound nine daemons can
//! take the several hundred writes and two thousand reads a second that the store gives all its
//! users, and keep it down. Calls about leases are never refused: a duty that is lost for want of a
//! call costs a takeover, which makes more calls.

use std::{
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Instant,
};

use crate::platform::requests::CallKind;

/// Calls a second on average: nine daemons together stay below the store's two thousand.
pub(super) const CALLS_PER_SECOND: u32 = 200;
/// How many seconds' worth of calls may be made at once.
const BURST_SECONDS: f64 = 1.0;
/// The most calls in flight: an outage piles up this many, each with a value of up to a megabyte.
const MAX_IN_FLIGHT: usize = 64;

struct Bucket {
    tokens: f64,
    filled_at: Instant,
}

/// The bound.
pub(super) struct CallBudget {
    per_second: f64,
    bucket: Mutex<Bucket>,
    in_flight: AtomicUsize,
}

/// Held by a call in flight.
pub(super) struct Permit<'a> {
    budget: &'a CallBudget,
}

impl CallBudget {
    pub(super) fn new(per_second: u32) -> Self {
        let per_second = f64::from(per_second);
        let bucket = Bucket { tokens: per_second * BURST_SECONDS, filled_at: Instant::now() };
        Self { per_second, bucket: Mutex::new(bucket), in_flight: AtomicUsize::new(0) }
    }

    /// Lets a call go, or not.
    pub(super) fn take(&self, kind: CallKind) -> Option<Permit<'_>> {
        let paid = self.pay();
        let crowded = self.in_flight.load(Ordering::Relaxed) >= MAX_IN_FLIGHT;
        if kind != CallKind::Lease && (!paid || crowded) {
            return None;
        }
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        Some(Permit { budget: self })
    }

    fn pay(&self) -> bool {
        let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let earned = now.duration_since(bucket.filled_at).as_secs_f64() * self.per_second;
        bucket.tokens = (bucket.tokens + earned).min(self.per_second * BURST_SECONDS);
        bucket.filled_at = now;
        if bucket.tokens < 1.0 {
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        self.budget.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
