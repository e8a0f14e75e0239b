//! Tells whether the executors of a pool crash so rarely that a crash says something about the task
//! that has just started there.
//!
//! While a tenth of the executors of a pool crashes each second, a sound task that is started again
//! and again sees five crashes in a row within a second of its starts, as a task does that causes
//! them. Restarts that are to tell the two apart wait until the crashes are over.

use std::{collections::VecDeque, time::Duration};

use borageswitch_types::Time;

/// How long a pool is observed.
const WINDOW: Duration = Duration::from_secs(3);
/// The rate of crashes of one executor up to which a pool is calm, per second.
const CALM_RATE: f64 = 0.02;

/// The longest time that a suspect waits under one leader for its pool to calm down after a crash:
/// where some executor crashes all the time, it would never start again. A crash after such a start
/// is evidence, but not attributed to the task.
pub const MAX_WAIT: Duration = Duration::from_secs(60);

/// The recent crashes of the executors of a pool.
#[derive(Clone, Debug, Default)]
pub struct PoolCrashes {
    crashes: VecDeque<Time>,
}

impl PoolCrashes {
    /// Adds a crash.
    pub fn add(&mut self, at: Time) {
        self.expire(at);
        self.crashes.push_back(at);
    }

    /// Drops the crashes that no longer count, and returns whether none is left.
    pub fn expire(&mut self, now: Time) -> bool {
        self.crashes.retain(|at| now.since(*at) < WINDOW);
        self.crashes.is_empty()
    }

    /// Whether a pool of this many executors is calm.
    pub fn is_calm(&self, now: Time, executors: usize) -> bool {
        let recent = self.crashes.iter().filter(|at| now.since(**at) < WINDOW).count();
        recent as f64 <= CALM_RATE * WINDOW.as_secs_f64() * executors as f64
    }
}

/// Whether a leader that took over at `began` has observed its pools for long enough.
pub fn is_observed(now: Time, began: Time) -> bool {
    now.since(began) >= WINDOW
}

#[cfg(test)]
mod tests;
