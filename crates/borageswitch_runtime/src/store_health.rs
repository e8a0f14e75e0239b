//! Whether the store is available to this daemon: a circuit breaker for callers' requests.
//!
//! The store may reject this daemon, or not respond, for seconds. Without the breaker each request
//! in this time is held until it times out and then fails anyway, while a caller that fails at once
//! can retry at another daemon and be served.
//!
//! Callers' requests are not used as probes. On a site with many daemons a daemon gets about one
//! request a second, so occasional probes would hold nearly every caller. The watch on the
//! configuration runs all the time, and while the store is unavailable a [`monitor`] reads from it.
//!
//! Without [`reports`] of other daemons each daemon detects an outage by jobs of its own callers,
//! and the outcome of each of these jobs is unknown. A report is only a hint, as the store may
//! reject one daemon and serve the others: what this daemon's own calls show has precedence.

mod calls;
pub mod monitor;
mod reports;

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use async_channel::{Receiver, Sender};
use borageswitch_types::Time;

use self::reports::Reports;
pub use self::{
    calls::{StoreCall, WriteSlot},
    reports::OutageReport,
};

/// The store counts as unavailable once calls have failed for this long. An ordinary call takes
/// some 10 ms; a single failed one says little.
const UNAVAILABLE_AFTER: Duration = Duration::from_millis(120);
/// A call without a response for this long is slow: fewer jobs are written at once. A slow store
/// takes a quarter of a second and is not unavailable.
const SLOW_AFTER: Duration = Duration::from_millis(150);
/// While other daemons report an outage, a call without a response for this long shows that it
/// concerns this daemon too: five times what an ordinary call takes.
const SLOW_DURING_OUTAGE: Duration = Duration::from_millis(50);
/// `Retry-After` in the first second of an outage: most outages are short.
const RETRY_AFTER_EARLY: Duration = Duration::from_secs(1);
/// `Retry-After` later in an outage, which then usually takes some seconds.
const RETRY_AFTER_LATE: Duration = Duration::from_secs(2);

/// The outcome of the last calls to the store, and what other daemons reported.
#[derive(Debug)]
pub struct StoreHealth {
    state: Mutex<State>,
    /// Wakes the monitor. Carries nothing.
    changes: (Sender<()>, Receiver<()>),
}

#[derive(Debug, Default)]
struct State {
    /// When the first call was sent of those that have failed since the last success.
    failing_since: Option<Time>,
    /// When the last response arrived that shows that the store serves this daemon.
    last_success: Option<Time>,
    /// When the calls were sent that have no response yet. The numbers rise, so the first one is
    /// the oldest.
    calls: BTreeMap<u64, Time>,
    next_call: u64,
    /// The number of job writes in flight.
    writes: usize,
    reports: Reports,
}

impl Default for StoreHealth {
    fn default() -> Self {
        Self { state: Mutex::default(), changes: async_channel::bounded(1) }
    }
}

impl StoreHealth {
    /// Records a response that arrived at `now` and shows that the store serves this daemon.
    pub fn record_success(&self, now: Time) {
        let mut state = self.lock();
        let failed = state.failing_since.take().is_some();
        state.last_success = state.last_success.max(Some(now));
        let disproved = state.reports.disprove();
        drop(state);
        if failed || disproved {
            self.wake_monitor();
        }
    }

    /// Records that a watch sent at `sent` has ended at `now` with a response. A store that has
    /// stopped responding to new calls may still end earlier watches, which then shows nothing.
    pub fn record_watch(&self, sent: Time, now: Time) {
        let state = self.lock();
        let suspected = state.failing_since.max(state.reports.outage_reported());
        drop(state);
        if suspected.is_none_or(|at| at <= sent) {
            self.record_success(now);
        }
    }

    /// Records that a call sent at `sent` was refused.
    pub fn record_failure(&self, sent: Time) {
        let mut state = self.lock();
        let first = state.failing_since.is_none();
        // A watch may have been sent long before the last success.
        let since = state.last_success.map_or(sent, |at| at.max(sent));
        state.failing_since.get_or_insert(since);
        drop(state);
        if first {
            self.wake_monitor();
        }
    }

    /// Records that a call sent at `sent` got no response. It counts as failed unless a response
    /// to another call has arrived since: a single lost response is no outage.
    pub fn record_no_response(&self, sent: Time) {
        if self.lock().last_success.is_none_or(|at| at <= sent) {
            self.record_failure(sent);
        }
    }

    /// Whether the store is known to be unavailable, so that callers' requests must not call it.
    pub fn is_unavailable(&self, now: Time) -> bool {
        self.lock().is_unavailable(now)
    }

    /// How long the store has been unavailable, if it is.
    pub fn outage_age(&self, now: Time) -> Option<Duration> {
        self.lock().outage_since(now).map(|since| now.since(since))
    }

    /// `Retry-After` of a request that is refused at `now` because of the store.
    pub fn retry_after(&self, now: Time) -> Duration {
        match self.outage_age(now) {
            Some(age) if age >= RETRY_AFTER_EARLY => RETRY_AFTER_LATE,
            _ => RETRY_AFTER_EARLY,
        }
    }

    fn wake_monitor(&self) {
        // A full channel means that the monitor is about to run anyway.
        let _ = self.changes.0.try_send(());
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn is_unavailable(&self, now: Time) -> bool {
        let reported = self.reports.tell_of_outage(now);
        match self.failing_since {
            Some(since) => reported || now.since(since) >= UNAVAILABLE_AFTER,
            None => reported && self.waits_for(now) >= SLOW_DURING_OUTAGE,
        }
    }

    /// When the store became unavailable, if it is.
    fn outage_since(&self, now: Time) -> Option<Time> {
        if !self.is_unavailable(now) {
            return None;
        }
        self.failing_since.or(self.calls.values().next().copied())
    }

    /// How long the oldest call has been waiting for a response.
    fn waits_for(&self, now: Time) -> Duration {
        self.calls.values().next().map_or(Duration::ZERO, |sent| now.since(*sent))
    }

    /// Whether the last call failed, or calls have been without a response for long.
    fn is_suspect(&self, now: Time) -> bool {
        let silent = self.last_success.is_none_or(|at| now.since(at) >= SLOW_AFTER);
        self.failing_since.is_some() || (silent && self.waits_for(now) >= SLOW_AFTER)
    }
}

#[cfg(test)]
mod tests;
