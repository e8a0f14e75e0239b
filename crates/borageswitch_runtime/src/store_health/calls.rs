//! Calls to the store that wait for a response, and the limit on job writes among them.
//!
//! The outcome of a job write in flight is unknown when the store stops responding. At a load peak
//! hundreds of writes would be sent before the first one times out, and none of these jobs could be
//! refused any more. The limit keeps the rest unsent, so that they can be refused truthfully.

use std::{sync::Arc, time::Duration};

use borageswitch_types::Time;
use smol::Timer;

use super::{State, StoreHealth};
use crate::clock;

/// The most job writes in flight at once. An ordinary write takes some 10 ms, so that these carry
/// 3,000 jobs a second.
const MAX_WRITES: usize = 32;
/// The most job writes in flight while the last call failed or calls are slow. A store that takes a
/// quarter of a second for each still stores 16 jobs a second for each daemon.
const MAX_WRITES_SUSPECT: usize = 4;
/// How often a request that waits checks whether it may write.
const SLOT_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// A call to the store that has no outcome yet.
#[derive(Debug)]
pub struct StoreCall {
    health: Arc<StoreHealth>,
    number: u64,
    sent: Time,
}

impl StoreCall {
    /// Begins a call that is sent at `sent`.
    pub fn begin(health: &Arc<StoreHealth>, sent: Time) -> Self {
        let mut state = health.lock();
        let number = state.next_call;
        state.next_call += 1;
        state.calls.insert(number, sent);
        let reported = state.reports.tell_of_outage(sent);
        drop(state);
        if reported {
            // The monitor has to notice when this call becomes slow.
            health.wake_monitor();
        }
        Self { health: health.clone(), number, sent }
    }

    /// Records that the response arrived at `now`.
    pub fn succeed(self, now: Time) {
        self.end();
        self.health.record_success(now);
    }

    /// Records that the store refused the call.
    pub fn refuse(self) {
        self.end();
        self.health.record_failure(self.sent);
    }

    /// Records that there was no response, or none that shows the outcome.
    pub fn lose(self) {
        self.end();
        self.health.record_no_response(self.sent);
    }

    fn end(&self) {
        self.health.lock().calls.remove(&self.number);
    }
}

impl Drop for StoreCall {
    /// A call that is abandoned shows nothing.
    fn drop(&mut self) {
        self.end();
    }
}

/// The permission for one job write.
#[derive(Debug)]
pub struct WriteSlot {
    health: Arc<StoreHealth>,
}

impl WriteSlot {
    /// Takes a slot if one is free.
    pub fn try_take(health: &Arc<StoreHealth>, now: Time) -> Option<Self> {
        let mut state = health.lock();
        if state.writes >= state.write_limit(now) {
            return None;
        }
        state.writes += 1;
        drop(state);
        Some(Self { health: health.clone() })
    }

    /// Waits for a slot until `give_up`. Gives `None` at that time, or as soon as the store is
    /// known to be unavailable.
    pub async fn take(health: &Arc<StoreHealth>, give_up: Time) -> Option<Self> {
        loop {
            let now = clock::time();
            if health.is_unavailable(now) {
                return None;
            }
            if let Some(slot) = Self::try_take(health, now) {
                return Some(slot);
            }
            if now >= give_up {
                return None;
            }
            Timer::after(SLOT_CHECK_INTERVAL.min(give_up.since(now))).await;
        }
    }
}

impl Drop for WriteSlot {
    fn drop(&mut self) {
        self.health.lock().writes -= 1;
    }
}

impl State {
    fn write_limit(&self, now: Time) -> usize {
        if self.reports.are_being_checked(now) {
            // The outcome of the check takes less time than requests wait for a slot.
            0
        } else if self.is_suspect(now) {
            MAX_WRITES_SUSPECT
        } else {
            MAX_WRITES
        }
    }
}
