//! Estimates how long a response can be expected to take.
//!
//! A fixed timeout is either too short for a slow period, and most calls are repeated although they
//! were carried out, or much too long for an ordinary one, and each lost response delays what waits
//! for it.

use std::time::Duration;

/// The weight of a new response time in the averages.
const WEIGHT: f64 = 0.1;
/// How many mean deviations beyond the mean a response may take, as for retransmissions in TCP.
const DEVIATIONS: f64 = 4.0;

/// Moving averages of the response time of one kind of call.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResponseTime {
    /// In seconds.
    mean: f64,
    /// The mean deviation from the mean, in seconds.
    deviation: f64,
}

impl ResponseTime {
    /// Records a response that took `took`.
    pub fn record(&mut self, took: Duration) {
        let difference = took.as_secs_f64() - self.mean;
        self.mean += difference * WEIGHT;
        self.deviation += (difference.abs() - self.deviation) * WEIGHT;
    }

    /// The time after which a call without a response has probably lost it.
    pub fn timeout(&self) -> Duration {
        Duration::from_secs_f64(self.mean + DEVIATIONS * self.deviation)
    }
}
