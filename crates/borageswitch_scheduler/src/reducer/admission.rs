//! Computes the admission limits that the leader publishes, by [`crate::policy::admission`].

use std::sync::Arc;

use crate::{
    event::Now,
    policy::admission::{AdmissionLimits, AdmissionQuery, Decision},
    reducer::Scheduler,
};

impl Scheduler {
    /// The limits in force; none while no queue has a noticeable wait.
    pub fn admission_limits(&mut self, _now: Now, _token: u64) -> Option<Arc<AdmissionLimits>> {
        None
    }

    /// Decides whether a job may be stored that a daemon would refuse.
    pub fn decide_admission(&mut self, _now: Now, _query: &AdmissionQuery) -> Decision {
        Decision::Admit
    }
}
