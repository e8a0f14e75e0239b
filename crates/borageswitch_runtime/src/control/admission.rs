//! The leader's responses about the admission of jobs.

use borageswitch_scheduler::policy::admission::{AdmissionQuery, Decision};

use super::LeaderState;
use crate::{clock, peers::PeerResponse};

/// The response to the notification of a stored job.
pub(super) fn acknowledge(leading: &mut LeaderState) -> PeerResponse {
    match leading.scheduler.admission_limits(clock::now(), leading.token) {
        Some(limits) => PeerResponse::AcknowledgedWithLimits(limits),
        None => PeerResponse::Acknowledged,
    }
}

/// The response to a query on the admission of a job.
///
/// A job that the ledger knows is admitted, also after its end, when the store has no copy of it
/// any more. A refusal would tell its caller that the job never runs.
pub(super) fn decide(leading: &mut LeaderState, query: &AdmissionQuery) -> PeerResponse {
    let now = clock::now();
    let ledger = leading.scheduler.ledger();
    let known = ledger.jobs.contains_key(&query.job) || ledger.finished.contains_key(&query.job);
    let decision =
        if known { Decision::Admit } else { leading.scheduler.decide_admission(now, query) };
    match leading.scheduler.admission_limits(now, leading.token) {
        Some(limits) => PeerResponse::AdmissionWithLimits(decision, limits),
        None => PeerResponse::Admission(decision),
    }
}
