//! Tells operators that the leader cannot keep up with what it has to decide.

use std::time::{Duration, Instant};

/// A decision that takes so long makes starts late, and callers see their jobs late. An ordinary one
/// takes a millisecond or two.
const LATE_DECISION: Duration = Duration::from_millis(50);
/// The shortest time between two lines.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// What was told of late decisions.
#[derive(Debug, Default)]
pub(super) struct Lateness {
    told: Option<Instant>,
}

impl Lateness {
    /// A decision took so long, for which so many messages were taken in, and so many more wait.
    pub(super) fn note(&mut self, took: Duration, taken: usize, waiting: usize) {
        let told = self.told.is_some_and(|told| told.elapsed() < LINE_INTERVAL);
        if took < LATE_DECISION || told {
            return;
        }
        self.told = Some(Instant::now());
        let took_ms = took.as_millis() as u64;
        log::warn!(took_ms = took_ms, taken = taken, waiting = waiting; "leader-late");
    }
}
