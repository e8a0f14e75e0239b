//! Logs decisions that take too long, a sign that the leader cannot keep up with its load.

use std::time::{Duration, Instant};

/// A decision that takes this long delays starts and what callers see of their jobs. An ordinary
/// one takes a millisecond or two.
const SLOW_DECISION: Duration = Duration::from_millis(50);
/// The shortest time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Rate-limits the log lines on slow decisions.
#[derive(Debug, Default)]
pub(super) struct SlowDecisionLog {
    last_logged: Option<Instant>,
}

impl SlowDecisionLog {
    /// Logs a decision that took `took` if it was slow: it covered `batched` messages, and
    /// `waiting` more are in the queue.
    pub(super) fn warn_if_slow(&mut self, took: Duration, batched: usize, waiting: usize) {
        let logged = self.last_logged.is_some_and(|logged| logged.elapsed() < LOG_INTERVAL);
        if took < SLOW_DECISION || logged {
            return;
        }
        self.last_logged = Some(Instant::now());
        let took_ms = took.as_millis() as u64;
        log::warn!(took_ms = took_ms, taken = batched, waiting = waiting; "leader-late");
    }
}
