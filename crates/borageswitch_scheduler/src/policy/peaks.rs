//! How many hosts a pool keeps on between two rushes.
//!
//! The load: rushes that come back every few seconds, on a fleet of thousands of hosts. All moves
//! share the calls that the platform takes in a second, so a host that is switched off after a rush
//! and sent for again takes these calls from hosts that are missing elsewhere. Where the platform
//! could move all hosts within the time that one move takes, this costs nothing, and hosts are
//! switched off at once; the longer it would take, the longer a pool keeps what its last rush needed.

use std::{collections::VecDeque, time::Duration};

use borageswitch_types::Time;

use crate::policy::arrivals;

/// A move away and one back, and about as much again for the jobs that wait until the host is back.
const MOVES: u32 = 3;
/// How much more than any pool has needed one may need whose first rush has yet to come.
const UNSEEN_FACTOR: usize = 2;

/// How long a pool keeps hosts on that it does not need at the moment.
///
/// `all_moved` is how long the platform would take to move every host once. That is also what one
/// move costs: it takes its share of the calls from all others.
pub fn horizon(all_moved: Duration, one_move: Duration) -> Duration {
    MOVES * all_moved.saturating_sub(one_move)
}

/// The most hosts that a pool has needed within the horizon.
#[derive(Clone, Debug, Default)]
pub struct Peak {
    /// Moments since which no more hosts were needed than then, with falling numbers.
    falling: VecDeque<(Time, usize)>,
}

impl Peak {
    /// So many hosts are needed now.
    pub fn note(&mut self, now: Time, needed: usize, horizon: Duration) {
        while self.falling.front().is_some_and(|(at, _)| now.since(*at) > horizon) {
            self.falling.pop_front();
        }
        while self.falling.back().is_some_and(|(_, hosts)| *hosts <= needed) {
            self.falling.pop_back();
        }
        self.falling.push_back((now, needed));
    }

    /// How many they were.
    pub fn hosts(&self) -> usize {
        self.falling.front().map_or(0, |(_, hosts)| *hosts)
    }
}

/// How many hosts a pool keeps on whose load is not known yet, if `largest` is the most that any pool
/// has needed since work came.
///
/// It keeps them all, unless sending the surplus of the fleet away takes longer than learning the
/// load does: then that begins with the first work, and cannot go so fast that a rush is missed.
pub fn kept_while_learning(all_moved: Duration, largest: Option<usize>) -> usize {
    match largest {
        Some(largest) if all_moved > arrivals::FIRST_SEEN => largest * UNSEEN_FACTOR,
        _ => usize::MAX,
    }
}

#[cfg(test)]
mod tests;
