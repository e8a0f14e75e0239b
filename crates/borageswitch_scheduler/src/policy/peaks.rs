//! Decides how many hosts a pool keeps powered on between two load peaks.
//!
//! Peaks recur every few seconds, on a fleet of thousands of hosts. All moves share the calls that
//! the platform accepts per second, so a host that is switched off after a peak and requested again
//! takes these calls from hosts that are missing elsewhere. Where the platform could move all hosts
//! within the time of a single move, this costs nothing, and hosts are switched off at once. The
//! longer it would take, the longer a pool keeps the hosts that its last peak needed.

use std::{collections::VecDeque, time::Duration};

use borageswitch_types::Time;

use crate::policy::arrivals;

/// The cost of switching a host off, in moves: one away, one back, and about as much again for the
/// jobs that wait until the host is back.
const SWITCH_OFF_MOVES: u32 = 3;
/// The factor by which a pool that has had no peak yet may need more hosts than any other pool has
/// needed.
const UNKNOWN_PEAK_FACTOR: usize = 2;

/// Returns how long a pool keeps hosts powered on that it does not need at the moment.
///
/// `all_moved` is the time in which the platform could move every host once, and so also the cost
/// of one move: it uses its share of the calls of all others.
pub fn retention(all_moved: Duration, one_move: Duration) -> Duration {
    SWITCH_OFF_MOVES * all_moved.saturating_sub(one_move)
}

/// The maximum number of hosts that a pool has needed within the retention time.
#[derive(Clone, Debug, Default)]
pub struct Peak {
    /// A monotonic queue of times and needed hosts: no later number is larger than an earlier one.
    falling: VecDeque<(Time, usize)>,
}

impl Peak {
    /// Records the number of hosts that are needed at `now`.
    pub fn record(&mut self, now: Time, needed: usize, retention: Duration) {
        while self.falling.front().is_some_and(|(at, _)| now.since(*at) > retention) {
            self.falling.pop_front();
        }
        while self.falling.back().is_some_and(|(_, hosts)| *hosts <= needed) {
            self.falling.pop_back();
        }
        self.falling.push_back((now, needed));
    }

    /// Returns the maximum.
    pub fn hosts(&self) -> usize {
        self.falling.front().map_or(0, |(_, hosts)| *hosts)
    }
}

/// Returns how many hosts a pool keeps powered on while its load is not known yet. `largest` is the
/// maximum that any pool has needed since work arrived.
///
/// The pool keeps all its hosts, unless releasing the surplus of the fleet takes longer than
/// learning the load does. In that case releasing starts with the first work, and is too slow to
/// leave a peak without hosts.
pub fn hosts_kept_while_learning(all_moved: Duration, largest: Option<usize>) -> usize {
    match largest {
        Some(largest) if all_moved > arrivals::LEARNING_PERIOD => {
            largest.saturating_mul(UNKNOWN_PEAK_FACTOR)
        }
        _ => usize::MAX,
    }
}

#[cfg(test)]
mod tests;
