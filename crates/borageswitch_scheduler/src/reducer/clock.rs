//! When an executor's lease ends, by the leader's clock.
//!
//! A lease is told as a time on the executor's own steady clock, which may be 2 % slow and has
//! nothing in common with ours. Each answer carries that clock's reading, taken at some moment
//! between the call's departure and the answer's arrival.

use std::time::Duration;

use borageswitch_types::Time;

/// How slow an executor's clock may be, in thousandths; the platform promises 2 %.
const MAX_DRIFT_PER_MILLE: u64 = 20;
/// Added to every latest end: rounding to milliseconds and late timers on the executor's side.
const TIMER_MARGIN: Duration = Duration::from_millis(150);
/// How much lower than expected a reading of the same clock may be: answers overtake each other.
const REORDER_MARGIN: Duration = Duration::from_millis(200);

/// A reading of an executor's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// When the answer with the reading arrived; the executor's clock was read before that.
    pub received: Time,
    /// The reading in milliseconds.
    pub clock_ms: u64,
}

impl ClockReading {
    /// What the executor's clock shows now, at most a round trip behind.
    pub fn estimate(&self, now: Time) -> u64 {
        self.clock_ms + now.since(self.received).as_millis() as u64
    }

    /// The least that the clock showed when a call that left at `sent` was answered.
    pub fn least_reading(&self, sent: Time) -> u64 {
        let later = sent.since(self.received).as_millis() as u64;
        let earlier = (self.received.since(sent) + REORDER_MARGIN).as_millis() as u64;
        (self.clock_ms + later - later * MAX_DRIFT_PER_MILLE / 1_000).saturating_sub(earlier)
    }

    /// The latest moment at which the executor's clock reaches `until_ms`.
    ///
    /// A task may be started elsewhere only after that: on an executor that cannot be reached but
    /// lives, it runs until then, and callers would see its work done twice.
    pub fn latest_expiry(&self, until_ms: u64) -> Time {
        let left = until_ms.saturating_sub(self.clock_ms);
        let slow = left + left * MAX_DRIFT_PER_MILLE / (1_000 - MAX_DRIFT_PER_MILLE) + 1;
        self.received + Duration::from_millis(slow) + TIMER_MARGIN
    }
}
