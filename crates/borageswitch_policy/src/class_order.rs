//! In which order the priorities come at a free slot.
//!
//! The load pattern: urgent or normal work alone fills every slot for a long time. Strictly by
//! priority, batch work would never start; first-come, urgent work would wait behind batches.
//!
//! Grounds for the figures: urgent work must start within 2.4 s. With three of four turns it
//! starts at once while it asks for less than three quarters of the slots, which no site's urgent
//! work does. One turn in sixteen for batch work costs the others about 6 % while they fill the
//! slots, and nothing otherwise.

use crate::dispatch::Priority;

/// After how many turns of urgent work waiting normal work has one.
const NORMAL_EVERY: u32 = 4;
/// After how many turns of other work waiting batch work has one.
const BATCH_EVERY: u32 = 16;

/// The priorities in their usual order.
const USUAL: [Priority; 3] = [Priority::Urgent, Priority::Normal, Priority::Batch];

/// Remembers which waiting work was passed over how often.
#[derive(Debug, Default)]
pub struct ClassOrder {
    normal_passed: u32,
    batch_passed: u32,
}

impl ClassOrder {
    /// The priorities in the order in which they are to be tried now.
    pub fn order(&self) -> [Priority; 3] {
        if self.batch_passed >= BATCH_EVERY {
            return [Priority::Batch, Priority::Urgent, Priority::Normal];
        }
        if self.normal_passed >= NORMAL_EVERY {
            return [Priority::Normal, Priority::Urgent, Priority::Batch];
        }
        USUAL
    }

    /// Takes note that a request of `served` has started while `waits` tells which priorities have
    /// waiting requests.
    pub fn served<F>(&mut self, served: Priority, waits: F)
    where
        F: Fn(Priority) -> bool,
    {
        self.normal_passed = match served {
            Priority::Urgent if waits(Priority::Normal) => self.normal_passed + 1,
            Priority::Batch => self.normal_passed,
            _ => 0,
        };
        self.batch_passed = match served {
            Priority::Batch => 0,
            _ if waits(Priority::Batch) => self.batch_passed + 1,
            _ => 0,
        };
    }
}
