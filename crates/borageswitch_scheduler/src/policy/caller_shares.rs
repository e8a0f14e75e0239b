//! Which jobs are within their caller's share.
//!
//! The load: one caller hands in several times what it usually does, in the turn of a queue that all
//! callers use. By their deadlines alone its jobs are as urgent as all others, so each caller's jobs
//! are late, the more of them the fewer it hands in. An operator promises each caller so many jobs a
//! second when not all can be served. What comes beyond that waits until nothing that was promised
//! does, and runs in whatever room is left.

use borageswitch_types::Time;

/// A caller that hands in less often than this is promised one job at a time all the same.
const LEAST_BURST: f64 = 1.0;

/// Counts what a caller hands in against its share: a bucket that fills with its rate, and holds
/// what it may hand in within one second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobRate {
    left: f64,
    at: Time,
}

impl JobRate {
    /// A caller that has handed in nothing for a while. As with [`Self::take`], its share is given in
    /// jobs a second.
    pub fn new(now: Time, per_second: f64) -> Self {
        Self { left: per_second.max(LEAST_BURST), at: now }
    }

    /// A job is handed in; `per_second` is the caller's share now. Gives whether it is within that.
    pub fn take(&mut self, now: Time, per_second: f64) -> bool {
        let fresh = now.since(self.at).as_secs_f64() * per_second;
        self.left = (self.left + fresh).min(per_second.max(LEAST_BURST));
        self.at = self.at.max(now);
        let within = self.left >= 1.0;
        if within {
            self.left -= 1.0;
        }
        within
    }
}

#[cfg(test)]
mod tests;
