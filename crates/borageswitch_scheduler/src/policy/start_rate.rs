//! Estimates how many tasks per second are started in a pool while its tasks wait for a slow leader.
//!
//! During a load peak the leader may be the limit: its processor, its link or its relays are full.
//! Each start waits for its turn, and so does the report of each end, during which the capacity of
//! the ended run stays in use. By the cores of the hosts alone more jobs seem to fit than can be
//! run: each is started at the last moment at which it can be on time, and the delay of the next
//! start makes it late. With the rate known, [`on_time_set`](super::on_time_set) chooses as many
//! jobs as can be started in time.

use std::time::Duration;

use borageswitch_types::Time;

/// The interval over which starts are counted.
const INTERVAL: Duration = Duration::from_millis(100);
/// The weight of one interval in the average.
const WEIGHT: f64 = 0.2;
/// How long after tasks last waited the rate counts as the limit.
const LINGER: Duration = Duration::from_millis(500);

/// The rate of starts in a pool, while tasks wait.
#[derive(Clone, Copy, Debug, Default)]
pub struct StartRate {
    since: Time,
    starts: u32,
    average: Option<f64>,
    limited_at: Option<Time>,
}

impl StartRate {
    /// Records the decision on a start.
    pub fn record_start(&mut self) {
        self.starts += 1;
    }

    /// Records that tasks wait.
    pub fn record_waiting(&mut self, now: Time) {
        let took = now.since(self.since);
        if !self.is_limited(now) {
            *self = Self { since: now, limited_at: Some(now), ..Self::default() };
        } else if took >= INTERVAL {
            let rate = f64::from(self.starts) / took.as_secs_f64();
            let average = self.average.map(|average| average + (rate - average) * WEIGHT);
            *self = Self { since: now, starts: 0, average: average.or(Some(rate)), ..*self };
        }
        self.limited_at = Some(now);
    }

    /// Returns the starts per second; `None` if no tasks wait, or none has started yet.
    pub fn per_second(&self, now: Time) -> Option<f64> {
        self.average.filter(|rate| *rate > 0.0 && self.is_limited(now))
    }

    fn is_limited(&self, now: Time) -> bool {
        self.limited_at.is_some_and(|at| now.since(at) < LINGER)
    }
}

#[cfg(test)]
mod tests;
