//! Which faults a run may have.

use std::time::Duration;

/// Probabilities and times of faults; [`Faults::none`] is a quiet site.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Of a peer message.
    pub loss: f64,
    /// Of a peer message.
    pub duplicate: f64,
    /// Of a store call: the answer is lost after it took effect.
    pub lost_answer: f64,
    /// The mean time between two disturbances: pauses, cuts, outages, replacements.
    pub disturbance: Option<Duration>,
    /// Disturbances and losses end here, so that the run can be seen to recover.
    pub until: Duration,
}

impl Faults {
    pub fn none() -> Self {
        let until = Duration::ZERO;
        Self { loss: 0.0, duplicate: 0.0, lost_answer: 0.0, disturbance: None, until }
    }

    pub fn many() -> Self {
        Self {
            loss: 0.03,
            duplicate: 0.05,
            lost_answer: 0.05,
            disturbance: Some(Duration::from_millis(1_500)),
            until: Duration::from_secs(30),
        }
    }
}
