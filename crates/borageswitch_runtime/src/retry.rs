//! Exponential backoff for calls to the store.
//!
//! When the store rejects hundreds of daemons for seconds, each of them keeps retrying to read the
//! leader and the configuration. With a short constant pause these calls alone come near to the
//! store's capacity, and grow with the number of daemons.

use std::time::Duration;

/// The delay doubles with each failure up to this multiple of the first one, so that a recovered
/// store is noticed within half a second.
const MAX_FACTOR: u32 = 4;

/// The backoff of one series of calls.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    first: Duration,
    failures: u32,
}

impl Backoff {
    /// A backoff whose first delay is `first`.
    pub fn new(first: Duration) -> Self {
        Self { first, failures: 0 }
    }

    /// Resets the delay after a call that succeeded.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Gives the delay after a failed call, and increases the next one.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.first * (1 << self.failures).min(MAX_FACTOR);
        self.failures = (self.failures + 1).min(MAX_FACTOR);
        delay
    }
}

#[cfg(test)]
mod tests;
