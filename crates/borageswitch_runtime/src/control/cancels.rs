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

/// The cancellations that are stored.
#[derive(Debug)]
pub(super) struct StoredCancels {
    known: BTreeSet<JobName>,
    /// Those that the last append removes.
    removing: Vec<JobName>,
}

impl StoredCancels {
    pub(super) fn new(known: Vec<JobName>) -> Self {
        Self { known: known.into_iter().collect(), removing: Vec::new() }
    }

    pub(super) fn insert(&mut self, job: JobName) {
        self.known.insert(job);
    }

    pub(super) fn contains(&self, job: &JobName) -> bool {
        self.known.contains(job)
    }

    /// Takes the jobs whose stored cancellation goes with an append: those of the ended jobs whose
    /// submissions it removes.
    pub(super) fn take_obsolete(&mut self, effect: &Effect) -> Vec<JobName> {
        let Effect::Append { forget, .. } = effect else { return Vec::new() };
        self.removing = forget.iter().filter(|job| self.known.remove(*job)).cloned().collect();
        self.removing.clone()
    }

    /// The last append has removed no keys.
    pub(super) fn keep_last(&mut self) {
        self.known.extend(self.removing.drain(..));
    }
}
