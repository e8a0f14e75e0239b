//! Bounds on the expiry of an executor's lease, by the leader's clock.
//!
//! A lease is given as a time on the executor's own monotonic clock, which may be 2 % slow and has
//! no relation to the leader's. Each response carries a reading of that clock, taken at some moment
//! between the departure of the call and the arrival of the response.

use std::time::Duration;

use borageswitch_types::Time;

/// How slow an executor's clock may be, in thousandths; the platform guarantees 2 %.
const MAX_DRIFT_PER_MILLE: u64 = 20;
/// Added to each latest expiry to cover rounding to milliseconds and late timers on the executor.
const TIMER_MARGIN: Duration = Duration::from_millis(150);
/// How much lower than expected a reading of the same clock may be, as responses may arrive out of
/// order.
const REORDER_MARGIN: Duration = Duration::from_millis(200);

/// A reading of an executor's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// When the response with the reading arrived; the reading was taken earlier.
    pub received: Time,
    /// The reading in milliseconds.
    pub clock_ms: u64,
}

impl ClockReading {
    /// An estimate of the executor's clock now, behind it by at most one round trip.
    pub fn estimate(&self, now: Time) -> u64 {
        self.clock_ms.saturating_add(now.since(self.received).as_millis() as u64)
    }

    /// The lowest reading that the executor may have taken for a call sent at `sent`.
    pub fn least_reading(&self, sent: Time) -> u64 {
        let later = sent.since(self.received).as_millis() as u64;
        let earlier = (self.received.since(sent) + REORDER_MARGIN).as_millis() as u64;
        let least_passed = later - later.saturating_mul(MAX_DRIFT_PER_MILLE) / 1_000;
        self.clock_ms.saturating_add(least_passed).saturating_sub(earlier)
    }

    /// The latest moment at which the executor's clock reaches `until_ms`.
    ///
    /// A task must not be started elsewhere before that moment: an executor that is alive but
    /// unreachable runs the task until then, and callers would see its work done twice.
    pub fn latest_expiry(&self, until_ms: u64) -> Time {
        let left = until_ms.saturating_sub(self.clock_ms);
        let drift = left.saturating_mul(MAX_DRIFT_PER_MILLE) / (1_000 - MAX_DRIFT_PER_MILLE);
        let slow = left.saturating_add(drift).saturating_add(1);
        self.received + Duration::from_millis(slow) + TIMER_MARGIN
    }
}
