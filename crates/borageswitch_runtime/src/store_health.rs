//! Whether the store answers this daemon.
//!
//! The load: the store turns this daemon away, or is silent, for seconds, while callers go on sending.
//! Without this module each of them is held until its own patience ends, to be told then what was
//! known from the start; those who come back after a moment elsewhere would have been served.
//!
//! Callers are not used to find out whether the store is back. On a site with many daemons a
//! daemon gets about one caller a second, so a trial now and then would hold nearly every caller.
//! The watch on the configuration goes on all the time and tells.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use borageswitch_types::Time;

/// After failures for so long the store counts as away. An ordinary call takes some 10 ms; a single
/// one that fails says little.
const AWAY_AFTER: Duration = Duration::from_millis(120);

/// What the last calls to the store have shown.
#[derive(Debug, Default)]
pub struct StoreHealth {
    /// When the first call left of those that have failed since the last answer.
    failing_since: Mutex<Option<Time>>,
}

impl StoreHealth {
    /// A call was answered.
    pub fn answered(&self) {
        *self.lock() = None;
    }

    /// A call that left at `sent` was refused or not answered.
    pub fn failed(&self, sent: Time) {
        self.lock().get_or_insert(sent);
    }

    /// Whether the store is known to be away, so that no caller's request should try it.
    pub fn is_away(&self, now: Time) -> bool {
        self.lock().is_some_and(|since| now.since(since) >= AWAY_AFTER)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Time>> {
        self.failing_since.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
