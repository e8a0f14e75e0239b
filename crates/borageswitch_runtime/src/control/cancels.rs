//! Callers that wait until their job's cancelling is stored.

use std::collections::{BTreeMap, BTreeSet};

use async_channel::Sender;
use borageswitch_scheduler::{
    effect::Effect,
    reducer::{Scheduler, view::JobStatus},
};
use borageswitch_types::names::JobName;

use crate::peers::Answer;

/// Whom to answer once a job's cancelling is stored.
pub(super) type Cancelling = BTreeMap<JobName, Vec<Sender<Answer>>>;

/// Answers callers whose job's cancelling is stored now.
pub(super) fn answer(scheduler: &Scheduler, cancelling: &mut Cancelling) {
    cancelling.retain(|job, waiting| {
        let Some(finished) = scheduler.ledger().finished.get(job) else { return true };
        let status = scheduler.status(&finished.queue, job);
        if !status.as_ref().is_some_and(JobStatus::has_ended) {
            return true;
        }
        for answer in waiting.drain(..) {
            let _ = answer.try_send(Answer::Status(status.clone()));
        }
        false
    });
}

/// The stored cancellings that are not needed once an append is stored.
pub(super) fn removed(effect: &Effect, stored: &mut BTreeSet<JobName>) -> Vec<JobName> {
    let Effect::Append { forget, .. } = effect else { return Vec::new() };
    forget.iter().filter(|job| stored.remove(*job)).cloned().collect()
}
