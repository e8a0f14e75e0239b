//! Determines which jobs are within the rate that their caller was promised.
//!
//! One caller submits several times its usual load to a queue that all callers use. By their
//! deadlines its jobs are as urgent as all others, so the jobs of every caller are late, and a
//! larger part of them the fewer a caller submits. An operator therefore promises each caller a
//! number of jobs per second for when not all can be served. Jobs beyond this rate wait until no
//! promised job does, and use the remaining capacity. Once a pool cannot serve all that waits,
//! [`fair_shares`](super::fair_shares) decides instead, by what the jobs need.

use borageswitch_types::Time;

/// The smallest burst: a caller with a lower rate than this is still promised one job at a time.
const MIN_BURST: f64 = 1.0;

/// A token bucket for the jobs that a caller submits. It is refilled at the caller's rate and holds
/// the jobs of one second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobBucket {
    left: f64,
    at: Time,
}

impl JobBucket {
    /// Creates a full bucket for a rate of `per_second` jobs per second.
    pub fn new(now: Time, per_second: f64) -> Self {
        Self { left: per_second.max(MIN_BURST), at: now }
    }

    /// Takes a token for a submitted job and returns whether there was one. `per_second` is the
    /// caller's current rate.
    pub fn try_take(&mut self, now: Time, per_second: f64) -> bool {
        let refill = now.since(self.at).as_secs_f64() * per_second;
        self.left = (self.left + refill).min(per_second.max(MIN_BURST));
        self.at = self.at.max(now);
        let granted = self.left >= 1.0;
        if granted {
            self.left -= 1.0;
        }
        granted
    }
}

#[cfg(test)]
mod tests;
