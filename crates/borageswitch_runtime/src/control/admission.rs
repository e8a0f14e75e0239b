//! The leader's responses about the admission of jobs.

use std::{collections::BTreeMap, time::Duration};

use borageswitch_scheduler::policy::{
    admission::{AdmissionQuery, Decision, RefusalReason},
    manual_limits::{LimitSubject, ManualLimits},
};

use super::LeaderState;
use crate::{clock, manual_limits::LimitChange, peers::PeerResponse};

/// The patience of a caller that does not say how long it waits.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(3);

/// The response to the notification of a stored job.
pub(super) fn acknowledge(leading: &mut LeaderState) -> PeerResponse {
    let response = match leading.scheduler.admission_limits(clock::now(), leading.token) {
        Some(limits) => PeerResponse::AcknowledgedWithLimits(limits),
        None => PeerResponse::Acknowledged,
    };
    with_manual_limits(leading, response)
}

/// The response to a query on the admission of a job.
pub(super) fn decide(leading: &mut LeaderState, query: &AdmissionQuery) -> PeerResponse {
    let now = clock::now();
    let decision = decision(leading, query);
    if let Decision::Refuse { reason, .. } = decision {
        leading.refusals.count(now.time, query, reason);
    }
    let response = match leading.scheduler.admission_limits(now, leading.token) {
        Some(limits) => PeerResponse::AdmissionWithLimits(decision, limits),
        None => PeerResponse::Admission(decision),
    };
    with_manual_limits(leading, response)
}

/// Decides on a job.
///
/// A job that the ledger knows is admitted, also after its end, when the store has no copy of it
/// any more. A refusal would tell its caller that the job never runs.
fn decision(leading: &mut LeaderState, query: &AdmissionQuery) -> Decision {
    let now = clock::now();
    let ledger = leading.scheduler.ledger();
    if ledger.jobs.contains_key(&query.job) || ledger.finished.contains_key(&query.job) {
        return Decision::Admit;
    }
    // The scheduler counts the work of a job that it admits, so operators' limits come first.
    match leading.manual_limits.permit(now.time, &query.queue, query.caller.as_ref()) {
        Ok(permit) => {
            let decision = leading.scheduler.decide_admission(now, query);
            if decision == Decision::Admit {
                leading.manual_limits.take(permit);
            }
            decision
        }
        Err(next) => {
            let patience = query.patience.unwrap_or(DEFAULT_PATIENCE);
            let retry_after = next.filter(|next| *next <= patience);
            Decision::Refuse { retry_after, reason: RefusalReason::ManualLimit }
        }
    }
}

fn with_manual_limits(leading: &LeaderState, response: PeerResponse) -> PeerResponse {
    let subjects = leading.manual_limits.subjects();
    if subjects.is_empty() {
        return response;
    }
    PeerResponse::WithManualLimits(Box::new(response), subjects.clone())
}

/// Applies a change of manual limits.
pub(super) fn change_limits(limits: &mut ManualLimits, change: LimitChange) {
    match change {
        LimitChange::Set(subject, per_second) => set_limit(limits, subject, Some(per_second)),
        LimitChange::Lifted(subject) => set_limit(limits, subject, None),
        LimitChange::Listed(stored) => {
            let stored: BTreeMap<LimitSubject, f64> = stored.into_iter().collect();
            let known = limits.iter().map(|(subject, _)| subject);
            let lifted = known.filter(|subject| !stored.contains_key(subject));
            for subject in lifted.cloned().collect::<Vec<_>>() {
                set_limit(limits, subject, None);
            }
            for (subject, per_second) in stored {
                set_limit(limits, subject, Some(per_second));
            }
        }
    }
}

fn set_limit(limits: &mut ManualLimits, subject: LimitSubject, per_second: Option<f64>) {
    let name = subject.to_string();
    if limits.set(subject, per_second) {
        let rate = per_second.map_or_else(|| "none".to_owned(), |rate| rate.to_string());
        log::info!(subject = name.as_str(), jobs_per_s = rate.as_str(); "manual-limit");
    }
}
