//! Which faults a run may have.

use std::time::Duration;

/// Probabilities and times of faults; [`Faults::none`] is a quiet site.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Of a peer message.
    pub message_loss: f64,
    /// Of a peer message.
    pub message_duplicate: f64,
    /// Of a store call: the answer is lost after it took effect.
    pub lost_response: f64,
    /// The mean time between two disturbances: pauses, cuts, outages, replacements.
    pub fault_interval: Option<Duration>,
    /// Disturbances and losses end here, so that the run can be seen to recover.
    pub until: Duration,
}

impl Faults {
    pub fn none() -> Self {
        let until = Duration::ZERO;
        Self {
            message_loss: 0.0,
            message_duplicate: 0.0,
            lost_response: 0.0,
            fault_interval: None,
            until,
        }
    }

    pub fn many() -> Self {
        Self {
            message_loss: 0.03,
            message_duplicate: 0.05,
            lost_response: 0.05,
            fault_interval: Some(Duration::from_millis(1_500)),
            until: Duration::from_secs(30),
        }
    }
}
