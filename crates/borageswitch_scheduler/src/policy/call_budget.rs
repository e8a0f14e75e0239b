//! How many orders for hosts are given a second.
//!
//! The load: hundreds of hosts are to be sent away when a rush begins that needs hundreds of others.
//! The platform takes so many calls a second from all daemons together and refuses the rest. Given
//! all at once, orders that nobody waits for crowd out those that callers wait for, and each refused
//! one has to be given again.

use std::time::Duration;

use borageswitch_types::Time;

/// The share of the platform's calls that is used: its seconds are not ours.
const SHARE: f64 = 0.9;
/// The calls of so long a time may leave at once.
const BURST: Duration = Duration::from_millis(250);
/// The share of a burst that is left to hosts which are needed: none is sent away with it.
const RESERVED: f64 = 0.5;

/// The calls that may leave.
#[derive(Clone, Copy, Debug)]
pub struct CallBudget {
    per_second: f64,
    left: f64,
    at: Time,
}

impl CallBudget {
    /// A budget for a platform that takes so many calls a second.
    pub fn new(per_second: f64, now: Time) -> Self {
        let per_second = per_second * SHARE;
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

    /// Takes one call out of the budget, if there is one.
    pub fn take(&mut self, now: Time) -> bool {
        self.refill(now);
        let granted = self.left >= 1.0;
        if granted {
            self.left -= 1.0;
        }
        granted
    }

    /// How many hosts may be sent away that are merely not needed.
    pub fn spare(&mut self, now: Time) -> usize {
        self.refill(now);
        (self.left - Self::burst(self.per_second) * RESERVED).ceil().max(0.0) as usize
    }
}

#[cfg(test)]
mod tests;
