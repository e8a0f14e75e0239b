//! Fault probabilities of a simulation.

use std::time::Duration;

/// Probabilities and times of faults; [`Faults::none`] disables them.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Of a peer message.
    pub message_loss: f64,
    /// Of a peer message.
    pub message_duplicate: f64,
    /// Probability that the response to a store call is lost after the call took effect.
    pub lost_response: f64,
    /// Mean time between two faults of daemons: pauses, partitions, outages, replacements.
    pub fault_interval: Option<Duration>,
    /// When faults and losses end, so that recovery can be checked.
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
