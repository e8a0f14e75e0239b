//! What tasks really take, since declared run times are far off.
//!
//! The load: estimates that are wrong by a fifth to nine tenths. Whatever is decided from them
//! alone, such as which job can still be on time, would be wrong by as much.

use std::{collections::BTreeMap, time::Duration};

use borageswitch_types::names::QueueName;

/// The weight of a new observation. Some ten tasks a job and queue: one job's tasks move the
/// estimate by about two thirds.
const WEIGHT: f64 = 0.1;
/// Ratios beyond these are of runs that hung or were mistaken; they are counted as these.
const RATIO_RANGE: (f64, f64) = (0.1, 10.0);

/// What the tasks of each queue take, in relation to what was declared.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Learned {
    ratios: BTreeMap<QueueName, f64>,
}

impl Learned {
    /// A task with a declared run time took so long.
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

    /// What a task of a queue with a declared run time will take.
    pub fn expect(&self, queue: &QueueName, declared: Duration) -> Duration {
        let ratio = self.ratios.get(queue).copied().unwrap_or(1.0);
        declared.mul_f64(ratio)
    }
}
