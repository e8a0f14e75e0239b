//! The minimum interval between two decisions of the scheduler.
//!
//! At load peaks thousands of events arrive each second, each at its own moment. One decision per
//! event costs two thread switches and a scan of everything that may be due: the core is saturated
//! before the executors are, and from then on each event is handled later than the one before. With
//! one decision every few milliseconds for all events since the last one, the same events cost a
//! fraction, and the further the leader falls behind, the more events one decision covers.

use std::time::Duration;

/// The minimum interval. A start passes two or three decisions on its way, so this adds about a
/// hundredth of the time that a job has to spare.
const MIN_INTERVAL: Duration = Duration::from_millis(4);

/// The delay before the next decision, given the time since the last one began.
pub(super) fn delay(since_last: Duration) -> Duration {
    MIN_INTERVAL.saturating_sub(since_last)
}

#[cfg(test)]
mod tests;
