//! Which executors get work although some of theirs failed.
//!
//! The load: a host fails everything that it starts, within a moment. It is always the emptiest,
//! so without this module every waiting task is sent there, fails, and uses up its few attempts,
//! until jobs that could be done are shown as failed.

use std::time::Duration;

use borageswitch_types::Time;

/// An executor with this many failures in a row gets nothing for a while. Jobs that can never be
/// done (some 3 in 100) fail on sound hosts too; two in a row from different jobs are rare there.
const DISTRUST_AFTER: u32 = 2;
/// The first time without work; about the length of one task.
const FIRST_REST: Duration = Duration::from_millis(1_500);
/// The longest time without work; hosts were seen to recover after some six seconds.
const LONGEST_REST: Duration = Duration::from_millis(6_000);

/// Whether an executor deserves work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Trust {
    failures: u32,
    rests: u32,
    resting_until: Time,
}

impl Trust {
    /// A run is done.
    pub fn succeeded(&mut self) {
        *self = Trust::default();
    }

    /// A run failed that is not known to fail everywhere.
    pub fn failed(&mut self, now: Time) {
        self.failures += 1;
        if self.failures >= DISTRUST_AFTER && now >= self.resting_until {
            let rest = FIRST_REST.saturating_mul(1 << self.rests.min(4)).min(LONGEST_REST);
            self.resting_until = now + rest;
            self.rests += 1;
        }
    }

    /// Whether something new may be placed on an executor that has `runs` runs. After a rest, one
    /// run at a time shows whether it has recovered.
    pub fn allows(&self, now: Time, runs: usize) -> bool {
        if self.failures < DISTRUST_AFTER {
            return true;
        }
        now >= self.resting_until && runs == 0
    }

    /// Whether it failed so often that it gets no ordinary work.
    pub fn is_doubted(&self) -> bool {
        self.failures >= DISTRUST_AFTER
    }
}
