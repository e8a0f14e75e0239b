//! Measures how much work arrives at a pool, and whether its load is known yet.
//!
//! A load peak begins within moments and rises for seconds, and a host takes a second and a half to
//! arrive. Hosts that are requested only for the work already waiting arrive two seconds late, and
//! the jobs of these seconds and all those behind them are late.
//!
//! Averaged over a few tenths of a second, a single large job looks like a peak: its work requests
//! hundreds of hosts where its tasks fill ten. Where moves are cheap this is accepted for the sake
//! of the first jobs of a peak. The more expensive moves are, the longer the time over which each
//! job's work is spread, up to the time that the job takes.
//!
//! A leader that has just taken over has not seen any load. Until it has, it leaves hosts where the
//! operator or its predecessor placed them. If it switched them off while the site is idle after a
//! start, they would be missing in the first seconds of the first peak.

use std::time::Duration;

use borageswitch_types::Time;

/// The shortest averaging window. Each tenth of a second until a peak is recognised makes jobs
/// late.
const RATE_WINDOW: Duration = Duration::from_millis(300);
/// A longer averaging window, as long as the rise of a peak takes. The difference between the
/// shorter and the longer average shows how fast the load rises.
const TREND_WINDOW: Duration = Duration::from_millis(1_200);
/// The share of that difference that is expected to be added while hosts are on their way.
const TREND_SHARE: f64 = 1.0;
/// How long a new leader keeps the hosts of a pool powered on in which it has seen no short jobs
/// yet: long enough for a peak of each queue.
const LEARNING_TIMEOUT: Duration = Duration::from_secs(30);
/// How long the hosts of a pool are kept powered on after its first work as well: about the length
/// of a peak.
pub const LEARNING_PERIOD: Duration = Duration::from_secs(5);

/// The number of averaging windows over which a job's work may be spread; each is twice as long as
/// the one before.
const WINDOW_COUNT: usize = 5;

/// Moving averages of the arriving work, over a shorter and a longer window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ArrivalRate {
    /// In cores, one for each averaging window.
    short: [f64; WINDOW_COUNT],
    long: f64,
    at: Time,
    first: Option<Time>,
}

impl ArrivalRate {
    /// Records work that has arrived, spread over the smallest window of at least `spread`, or the
    /// largest one.
    pub fn record_work(&mut self, now: Time, core_seconds: f64, spread: Duration) {
        let (short, long) = self.averages(now);
        let chosen = (0..WINDOW_COUNT - 1).take_while(|&index| window(index) < spread).count();
        self.short = short;
        self.short[chosen] += core_seconds / window(chosen).as_secs_f64();
        self.long = long + core_seconds / TREND_WINDOW.as_secs_f64();
        self.at = now;
        self.first.get_or_insert(now);
    }

    /// Returns how many cores the arrivals will keep busy once requested hosts have arrived.
    pub fn expected_cores(&self, now: Time) -> f64 {
        let (short, long) = self.averages(now);
        let short: f64 = short.iter().sum();
        short + TREND_SHARE * (short - long).max(0.0)
    }

    /// Returns how many cores the arrivals of the last second or so have kept busy. Unlike
    /// [`Self::expected_cores`] it does not run ahead of a rising load.
    pub fn sustained_cores(&self, now: Time) -> f64 {
        self.averages(now).1
    }

    /// Returns the short averages and the long one, decayed to `now`.
    fn averages(&self, now: Time) -> ([f64; WINDOW_COUNT], f64) {
        let age = now.since(self.at).as_secs_f64();
        let decayed = |cores: f64, window: Duration| cores * (-age / window.as_secs_f64()).exp();
        let short = std::array::from_fn(|index| decayed(self.short[index], window(index)));
        (short, decayed(self.long, TREND_WINDOW))
    }
}

/// Returns the length of an averaging window.
fn window(index: usize) -> Duration {
    RATE_WINDOW * (1 << index)
}

/// Returns whether a leader does not know a pool's load yet, `led` after it took over.
pub fn is_learning(led: Duration, arrivals: Option<&ArrivalRate>, now: Time) -> bool {
    match arrivals.and_then(|arrivals| arrivals.first) {
        None => led < LEARNING_TIMEOUT,
        Some(first) => led < LEARNING_TIMEOUT && now.since(first) < LEARNING_PERIOD,
    }
}

#[cfg(test)]
mod tests;
