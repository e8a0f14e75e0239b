//! Estimates how much longer a run takes than its work: the time until it starts, and until its end
//! is known.
//!
//! With a prompt leader this is a small part of the time that a job has to spare. While the leader is
//! the limit, starts and reports wait for their turn, and a job that is started as late as its work
//! permits ends late. A job ends with the last of its tasks, so the mean alone is too little.

use std::time::Duration;

/// The weight of one run in the averages.
const WEIGHT: f64 = 0.02;
/// How many mean deviations above the mean are expected.
const DEVIATIONS: f64 = 2.0;

/// The mean overhead of a run and its mean deviation, in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunOverhead {
    mean: f64,
    deviation: f64,
}

impl RunOverhead {
    /// Records a run that took `took` from the decision on its start until its end was known.
    pub fn record(&mut self, took: Duration, work: Duration) {
        let overhead = took.saturating_sub(work).as_secs_f64();
        self.deviation += ((overhead - self.mean).abs() - self.deviation) * WEIGHT;
        self.mean += (overhead - self.mean) * WEIGHT;
    }

    /// Returns the overhead that most runs stay below.
    pub fn expected(&self) -> Duration {
        Duration::from_secs_f64(self.mean + self.deviation * DEVIATIONS)
    }
}

#[cfg(test)]
mod tests;
