//! Estimates how long tasks really take, as declared run times are far off.
//!
//! Declared run times are wrong by a fifth to nine tenths. A decision based on them alone, such as
//! which job can still be on time, would be wrong by as much.

use std::{collections::BTreeMap, time::Duration};

use borageswitch_types::names::QueueName;

/// The weight of a new observation. A job has some ten tasks in a queue, so one job's tasks move
/// the estimate by about two thirds.
const WEIGHT: f64 = 0.1;
/// The limits of an observed ratio. Ratios beyond them are of runs that hung or were measured
/// wrongly.
const RATIO_RANGE: (f64, f64) = (0.1, 10.0);

/// The longest run time of a task that counts as load of its pool. Declared times may be wrong by any
/// factor, and a task that runs for longer delays others by the cores that it occupies.
pub const LONGEST_COUNTED_RUN: Duration = Duration::from_secs(60);

/// The ratio of actual to declared run times, by queue.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RuntimeEstimates {
    ratios: BTreeMap<QueueName, f64>,
}

impl RuntimeEstimates {
    /// Records how long a task with a declared run time took.
    pub fn observe(&mut self, queue: &QueueName, declared: Duration, took: Duration) {
        if declared.is_zero() {
            return;
        }
        let ratio = took.as_secs_f64() / declared.as_secs_f64();
        let ratio = ratio.clamp(RATIO_RANGE.0, RATIO_RANGE.1);
        match self.ratios.get_mut(queue) {
            Some(known) => *known += WEIGHT * (ratio - *known),
            None => {
                self.ratios.insert(queue.clone(), ratio);
            }
        }
    }

    /// Estimates how long a task of a queue with a declared run time will take.
    pub fn estimate(&self, queue: &QueueName, declared: Duration) -> Duration {
        declared.mul_f64(self.ratio(queue))
    }

    /// Estimates how long a task will take as far as it counts as load of its pool.
    pub fn bounded_estimate(&self, queue: &QueueName, declared: Duration) -> Duration {
        self.estimate(queue, declared).min(LONGEST_COUNTED_RUN)
    }

    /// Returns the ratio of actual to declared run times in a queue.
    pub fn ratio(&self, queue: &QueueName) -> f64 {
        self.ratios.get(queue).copied().unwrap_or(1.0)
    }
}
