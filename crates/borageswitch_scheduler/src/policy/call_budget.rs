//! Limits how many orders for hosts are sent to the platform per second.
//!
//! When a load peak begins, hundreds of hosts may be released while hundreds of others are needed.
//! The platform accepts a limited number of calls per second from all daemons together and rejects
//! the rest. Sent all at once, orders that nobody waits for crowd out those that callers wait for,
//! and each rejected order has to be sent again.

use std::time::Duration;

use borageswitch_types::Time;

/// The share of the platform's call limit that is used, as the platform's seconds do not coincide
/// with ours.
const USED_SHARE: f64 = 0.9;
/// The calls of this length of time may be sent at once.
const BURST: Duration = Duration::from_millis(250);
/// The share of a burst that is reserved for hosts that are needed; it is not spent on releasing
/// hosts.
const RESERVED: f64 = 0.5;

/// A token bucket for calls to the platform.
#[derive(Clone, Copy, Debug)]
pub struct CallBudget {
    per_second: f64,
    left: f64,
    at: Time,
}

impl CallBudget {
    /// Creates a full budget for a platform that accepts `per_second` calls per second.
    pub fn new(per_second: f64, now: Time) -> Self {
        let per_second = per_second * USED_SHARE;
        Self { per_second, left: Self::burst(per_second), at: now }
    }

    fn burst(per_second: f64) -> f64 {
        (per_second * BURST.as_secs_f64()).max(1.0)
    }

    fn refill(&mut self, now: Time) {
        let gained = self.per_second * now.since(self.at).as_secs_f64();
        self.left = (self.left + gained).min(Self::burst(self.per_second));
        self.at = now;
    }

    /// Takes one call from the budget and returns whether there was one.
    pub fn try_take(&mut self, now: Time) -> bool {
        self.refill(now);
        let granted = self.left >= 1.0;
        if granted {
            self.left -= 1.0;
        }
        granted
    }

    /// Returns how many calls may be spent on hosts that are merely not needed.
    pub fn optional_calls(&mut self, now: Time) -> usize {
        self.refill(now);
        (self.left - Self::burst(self.per_second) * RESERVED).ceil().max(0.0) as usize
    }
}

#[cfg(test)]
mod tests;
