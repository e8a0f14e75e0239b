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
/// The longest time without work, after which most hosts have recovered.
const LONGEST_REST: Duration = Duration::from_millis(6_000);

/// A trial that has not shown anything after so long is not waited for: it may be a task that lasts
/// or hangs, and the executor would never get work again.
const TRIAL: Duration = Duration::from_millis(2_500);

/// Whether an executor deserves work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Trust {
    failures: u32,
    rests: u32,
    resting_until: Time,
    trial: Option<Time>,
}

impl Trust {
    /// A run is done, or a lasting one is at work.
    pub fn succeeded(&mut self) {
        *self = Trust::default();
    }

    /// A run failed that is not known to fail everywhere.
    pub fn failed(&mut self, now: Time) {
        self.failures += 1;
        self.trial = None;
        if self.failures >= DISTRUST_AFTER && now >= self.resting_until {
            let rest = FIRST_REST.saturating_mul(1 << self.rests.min(4)).min(LONGEST_REST);
            self.resting_until = now + rest;
            self.rests += 1;
        }
    }

    /// Something was placed on it.
    pub fn placed(&mut self, now: Time) {
        if self.is_doubted() {
            self.trial = Some(now);
        }
    }

    /// Whether something new may be placed on it. After a rest, one run at a time shows whether it
    /// has recovered, whatever else still runs there.
    pub fn allows(&self, now: Time) -> bool {
        if !self.is_doubted() {
            return true;
        }
        let on_trial = self.trial.is_some_and(|trial| now.since(trial) < TRIAL);
        now >= self.resting_until && !on_trial
    }

    /// Whether it failed so often that it gets no ordinary work.
    pub fn is_doubted(&self) -> bool {
        self.failures >= DISTRUST_AFTER
    }
}
