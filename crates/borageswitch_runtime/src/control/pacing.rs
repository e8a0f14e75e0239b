//! How often the scheduler decides.
//!
//! The load: thousands of answers come each second, each at a moment of its own. A decision for each
//! costs two changes of thread and a walk over whatever may be due, the core is full before the
//! executors are, and from then on each answer is taken in later than the one before. Decided every
//! few milliseconds for all that has come, the same answers cost a fraction, and the later the
//! leader is, the more of them one decision covers.

use std::time::Duration;

/// The least time from one decision to the next. A start passes two or three of them on its way,
/// which is some hundredth of the time that a job has to spare.
const PACE: Duration = Duration::from_millis(4);

/// How long to wait before the next decision, when the last one began so long ago.
pub(super) fn pause(since_last: Duration) -> Duration {
    PACE.saturating_sub(since_last)
}

#[cfg(test)]
mod tests;
