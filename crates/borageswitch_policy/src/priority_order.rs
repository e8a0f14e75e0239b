//! The order in which the priorities are tried when a slot is free.
//!
//! Load pattern: urgent or normal work alone fills every slot for a long time. With strict
//! priorities batch work would never start; with a first-come queue urgent work would wait behind
//! batch work.
//!
//! Reasons for the constants: urgent work must start within 2.4 s. It gets three of four starts, so
//! it starts at once while it needs less than three quarters of the slots; no site has more urgent
//! work than that. One start in sixteen for batch work costs the other priorities about 6 % while
//! they fill the slots, and nothing otherwise.

use crate::dispatch::Priority;

/// Normal work comes first after this many urgent starts during which it waited.
const NORMAL_EVERY: u32 = 4;
/// Batch work comes first after this many other starts during which it waited.
const BATCH_EVERY: u32 = 16;

/// The order while neither normal nor batch work has been passed over too often.
const DEFAULT_ORDER: [Priority; 3] = [Priority::Urgent, Priority::Normal, Priority::Batch];

/// Counts how often waiting work of the lower priorities was passed over.
#[derive(Debug, Default)]
pub struct PriorityOrder {
    normal_skipped: u32,
    batch_skipped: u32,
}

impl PriorityOrder {
    /// Returns the priorities in the order in which to try them now.
    pub fn order(&self) -> [Priority; 3] {
        if self.batch_skipped >= BATCH_EVERY {
            return [Priority::Batch, Priority::Urgent, Priority::Normal];
        }
        if self.normal_skipped >= NORMAL_EVERY {
            return [Priority::Normal, Priority::Urgent, Priority::Batch];
        }
        DEFAULT_ORDER
    }

    /// Records the start of a request of priority `started`; `waits` returns whether requests of a
    /// priority are waiting.
    pub fn record_start<F>(&mut self, started: Priority, waits: F)
    where
        F: Fn(Priority) -> bool,
    {
        self.normal_skipped = match started {
            Priority::Urgent if waits(Priority::Normal) => self.normal_skipped + 1,
            Priority::Batch => self.normal_skipped,
            _ => 0,
        };
        self.batch_skipped = match started {
            Priority::Batch => 0,
            _ if waits(Priority::Batch) => self.batch_skipped + 1,
            _ => 0,
        };
    }
}
