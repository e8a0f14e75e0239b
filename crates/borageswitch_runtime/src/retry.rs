//! Pauses between calls to the store that fail again and again.
//!
//! The load: the store turns hundreds of daemons away for seconds, and each of them asks it again and
//! again who leads and which configuration is in force. With the same short pause each time these
//! calls alone come near to what the store takes in all, and grow with the daemons.

use std::time::Duration;

/// The pause doubles with each failure until it is so many times the first one: a store that is
/// back is noticed within half a second.
const LONGEST: u32 = 4;

/// The pauses of one caller of the store.
#[derive(Clone, Copy, Debug)]
pub struct Pauses {
    first: Duration,
    failed: u32,
}

impl Pauses {
    /// Pauses that begin with `first`.
    pub fn new(first: Duration) -> Self {
        Self { first, failed: 0 }
    }

    /// A call was answered.
    pub fn answered(&mut self) {
        self.failed = 0;
    }

    /// A call has failed. Gives how long to wait before the next one.
    pub fn failed(&mut self) -> Duration {
        let pause = self.first * (1 << self.failed).min(LONGEST);
        self.failed = (self.failed + 1).min(LONGEST);
        pause
    }
}

#[cfg(test)]
mod tests;
