//! Whether the store is available to this daemon: a circuit breaker for callers' requests.
//!
//! The store may reject this daemon, or not respond, for seconds. Without the breaker each request
//! in this time is held until it times out and then fails anyway, while a caller that fails at once
//! can retry at another daemon and be served.
//!
//! Callers' requests are not used as probes. On a site with many daemons a daemon gets about one
//! request a second, so occasional probes would hold nearly every caller. The watch on the
//! configuration runs all the time and shows when the store has recovered.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use borageswitch_types::Time;

/// The store counts as unavailable once calls have failed for this long. An ordinary call takes
/// some 10 ms; a single failed one says little.
const UNAVAILABLE_AFTER: Duration = Duration::from_millis(120);

/// The outcome of the last calls to the store.
#[derive(Debug, Default)]
pub struct StoreHealth {
    /// When the first call was sent of those that have failed since the last success.
    failing_since: Mutex<Option<Time>>,
}

impl StoreHealth {
    /// Records a call that succeeded.
    pub fn record_success(&self) {
        *self.lock() = None;
    }

    /// Records that a call sent at `sent` was refused or got no response.
    pub fn record_failure(&self, sent: Time) {
        self.lock().get_or_insert(sent);
    }

    /// Whether the store is known to be unavailable, so that callers' requests must not call it.
    pub fn is_unavailable(&self, now: Time) -> bool {
        self.lock().is_some_and(|since| now.since(since) >= UNAVAILABLE_AFTER)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Time>> {
        self.failing_since.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
