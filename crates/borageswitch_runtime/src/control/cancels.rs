//! Responses to cancel requests, which wait until the cancellation is stored.

use std::collections::{BTreeMap, BTreeSet};

use async_channel::Sender;
use borageswitch_scheduler::{
    effect::Effect,
    reducer::{Scheduler, view::JobStatus},
};
use borageswitch_types::names::JobName;

use crate::peers::PeerResponse;

/// The requesters that wait for the cancellation of a job to be stored.
pub(super) type WaitingCancels = BTreeMap<JobName, Vec<Sender<PeerResponse>>>;

/// Responds to the requesters of all jobs whose cancellation is stored by now.
pub(super) fn respond(scheduler: &Scheduler, waiting_cancels: &mut WaitingCancels) {
    waiting_cancels.retain(|job, waiting| {
        let Some(finished) = scheduler.ledger().finished.get(job) else { return true };
        let status = scheduler.status(&finished.queue, job);
        if !status.as_ref().is_some_and(JobStatus::has_ended) {
            return true;
        }
        for response in waiting.drain(..) {
            let _ = response.try_send(PeerResponse::Status(status.clone()));
        }
        false
    });
}

/// The jobs whose stored cancellation is obsolete once an append is stored.
pub(super) fn obsolete(effect: &Effect, stored: &mut BTreeSet<JobName>) -> Vec<JobName> {
    let Effect::Append { forget, .. } = effect else { return Vec::new() };
    forget.iter().filter(|job| stored.remove(*job)).cloned().collect()
}
