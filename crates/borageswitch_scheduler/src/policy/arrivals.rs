//! How much work arrives at a pool, and whether that is known yet.
//!
//! The load: a turn begins within moments, rises for seconds, and a host takes a second and a half to
//! come. Asked for by what waits already, hosts come two seconds late, and the jobs of these seconds
//! and all that wait behind them are late.
//!
//! Averaged over a few tenths of a second, one large job passes for a rush: its work asks for
//! hundreds of hosts where its tasks fill ten. Where moves are cheap this is accepted, for the sake
//! of the first jobs of a turn; the dearer they are, the longer the time over which each job's work
//! is spread, up to the time that the job takes.
//!
//! A leader that has just begun has not seen any load. It leaves hosts where the operator or its
//! predecessor had them until it has. Switched off while the site is silent after a start, they would
//! be missing for the first seconds of the first turn.

use std::time::Duration;

use borageswitch_types::Time;

/// The shortest time over which arrivals are averaged: each tenth of a second until a turn is
/// believed makes jobs late.
const RATE_WINDOW: Duration = Duration::from_millis(300);
/// A longer time over which arrivals are averaged as well: as long as the rise of a turn takes. How
/// much the shorter average is above it tells how fast the load rises.
const TREND_WINDOW: Duration = Duration::from_millis(1_200);
/// How much of that difference is expected to be added while hosts are on their way.
const TREND_SHARE: f64 = 1.0;
/// For how long a new leader keeps the hosts of a pool on in which it has seen no short work yet: a
/// turn of each queue.
const UNSEEN: Duration = Duration::from_secs(30);
/// For how long after the first work of a pool its hosts are kept on as well: about a turn.
pub const FIRST_SEEN: Duration = Duration::from_secs(5);

/// How many times are told apart over which a job's work may be spread; each is twice the one before.
const SPREADS: usize = 5;

/// How much work arrives, as moving averages over a shorter and a longer time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ArrivalRate {
    /// In cores, by the time over which it is spread.
    short: [f64; SPREADS],
    long: f64,
    at: Time,
    first: Option<Time>,
}

impl ArrivalRate {
    /// So many core-seconds of work have arrived, to be spread over a time.
    pub fn arrived(&mut self, now: Time, core_seconds: f64, spread: Duration) {
        let (short, long) = self.averages(now);
        let longer = (0..SPREADS - 1).take_while(|&number| window(number) < spread).count();
        self.short = short;
        self.short[longer] += core_seconds / window(longer).as_secs_f64();
        self.long = long + core_seconds / TREND_WINDOW.as_secs_f64();
        self.at = now;
        self.first.get_or_insert(now);
    }

    /// How many cores the arrivals will keep busy once hosts that are sent for have come.
    pub fn cores(&self, now: Time) -> f64 {
        let (short, long) = self.averages(now);
        let short: f64 = short.iter().sum();
        short + TREND_SHARE * (short - long).max(0.0)
    }

    fn averages(&self, now: Time) -> ([f64; SPREADS], f64) {
        let age = now.since(self.at).as_secs_f64();
        let decayed = |cores: f64, window: Duration| cores * (-age / window.as_secs_f64()).exp();
        let short = std::array::from_fn(|number| decayed(self.short[number], window(number)));
        (short, decayed(self.long, TREND_WINDOW))
    }
}

fn window(number: usize) -> Duration {
    RATE_WINDOW * (1 << number)
}

/// Whether a leader that has led for so long does not know a pool's load yet.
pub fn is_learning(led: Duration, arrivals: Option<&ArrivalRate>, now: Time) -> bool {
    match arrivals.and_then(|arrivals| arrivals.first) {
        None => led < UNSEEN,
        Some(first) => led < UNSEEN && now.since(first) < FIRST_SEEN,
    }
}

#[cfg(test)]
mod tests;
