//! Whether the store answers this daemon.
//!
//! The load: the store turns this daemon away, or is silent, for seconds, while callers go on sending.
//! Without this module each of them is held until its own patience ends, to be told then what was
//! known from the start; those who come back after a moment elsewhere would have been served.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use borageswitch_types::Time;

/// After failures for so long the store counts as away. An ordinary call takes some 10 ms; a single
/// one that fails says little.
const AWAY_AFTER: Duration = Duration::from_millis(120);
/// While it is away, one request in this time tries it all the same.
const TRY_EVERY: Duration = Duration::from_millis(250);

#[derive(Debug, Default)]
struct State {
    failing_since: Option<Time>,
    tried: Time,
}

/// What the last calls to the store have shown.
#[derive(Debug, Default)]
pub struct StoreHealth(Mutex<State>);

impl StoreHealth {
    /// A call was answered.
    pub fn answered(&self) {
        self.lock().failing_since = None;
    }

    /// A call that left at `sent` was refused or not answered.
    pub fn failed(&self, sent: Time) {
        self.lock().failing_since.get_or_insert(sent);
    }

    /// Whether a request should try the store now; otherwise it is known to be away.
    pub fn may_try(&self, now: Time) -> bool {
        let mut state = self.lock();
        let away = state.failing_since.is_some_and(|since| now.since(since) >= AWAY_AFTER);
        if away && now.since(state.tried) < TRY_EVERY {
            return false;
        }
        state.tried = now;
        true
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
