//! Responses to cancel requests, which wait until the cancellation is stored, and cancellations of
//! jobs that are not known yet.

use std::{collections::BTreeMap, time::Duration};

use async_channel::Sender;
use borageswitch_scheduler::{
    effect::Effect,
    event::{Event, Now},
    job::Submission,
    ledger::OUTCOME_RETENTION,
    reducer::{Scheduler, view::JobStatus},
};
use borageswitch_types::{Time, names::JobName};

use crate::{cancel_marks::CancelMark, peers::PeerResponse};

/// How long a cancellation is kept whose job is not known. The write that submits the job may be
/// carried out until then; outcomes of jobs are kept for the same time.
const UNUSED_RETENTION: Duration = OUTCOME_RETENTION;
/// How long an unused cancellation still applies after its removal was ordered: its job may have
/// been stored just before.
const REMOVAL_GRACE: Duration = Duration::from_secs(10);
/// The most cancellations of unknown jobs at a time, so that a caller that cancels arbitrary ids
/// fills neither the store nor the memory.
const MAX_UNUSED: usize = 2_000;

/// The requesters that wait for the cancellation of a job to be stored.
pub(super) type WaitingCancels = BTreeMap<JobName, Vec<Sender<PeerResponse>>>;

/// Cancels a job that is known, if a stored cancellation applies to it.
pub(super) fn apply(
    scheduler: &mut Scheduler,
    stored_cancels: &StoredCancels,
    now: Now,
    job: &JobName,
) {
    let known = scheduler.ledger().jobs.get(job);
    if known.is_some_and(|known| stored_cancels.applies_to(&known.submission)) {
        scheduler.handle(now, Event::Cancelled(job.clone()));
    }
}

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

/// A cancellation that is stored, or about to be.
#[derive(Clone, Debug)]
struct Known {
    mark: CancelMark,
    since: Time,
    /// Whether its removal was ordered because no job came.
    expired: bool,
}

/// The cancellations that are stored.
#[derive(Debug)]
pub(super) struct StoredCancels {
    known: BTreeMap<JobName, Known>,
    /// Those that the last append removes.
    removing: Vec<(JobName, Known)>,
}

impl StoredCancels {
    pub(super) fn new(known: Vec<(JobName, CancelMark)>, now: Time) -> Self {
        let mut cancels = Self { known: BTreeMap::new(), removing: Vec::new() };
        known.into_iter().for_each(|(job, mark)| cancels.insert(job, mark, now));
        cancels
    }

    pub(super) fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    pub(super) fn insert(&mut self, job: JobName, mark: CancelMark, now: Time) {
        self.known.insert(job, Known { mark, since: now, expired: false });
    }

    /// Adds a cancellation that is about to be stored, unless there are too many of unknown jobs.
    pub(super) fn try_insert(&mut self, job: &JobName, mark: CancelMark, now: Time) -> bool {
        let has_room = self.known.len() < MAX_UNUSED || self.known.contains_key(job);
        if has_room && !self.known.contains_key(job) {
            self.insert(job.clone(), mark, now);
        }
        has_room
    }

    /// Returns whether a job is cancelled.
    pub(super) fn applies_to(&self, submission: &Submission) -> bool {
        self.known.get(&submission.job).is_some_and(|known| known.mark.applies_to(submission))
    }

    /// Takes the jobs whose stored cancellation goes with an append: those of the ended jobs whose
    /// submissions it removes, and those that have expired.
    pub(super) fn take_obsolete(&mut self, effect: &Effect) -> Vec<JobName> {
        let Effect::Append { forget, .. } = effect else { return Vec::new() };
        let named = forget.iter().filter(|job| self.known.contains_key(*job));
        let named: Vec<JobName> = named.cloned().collect();
        let used = named.iter().filter_map(|job| {
            let known = self.known.remove(job)?;
            Some((job.clone(), known))
        });
        self.removing = used.collect();
        let expired = self.removing.iter().filter(|(_, known)| known.expired);
        self.known.extend(expired.cloned());
        named
    }

    /// The last append has removed no keys.
    pub(super) fn keep_last(&mut self) {
        self.known.extend(self.removing.drain(..));
    }

    /// Returns the jobs whose cancellations have just expired, and drops those that expired a while
    /// ago.
    pub(super) fn expire(&mut self, now: Time) -> Vec<JobName> {
        self.known.retain(|_, known| now.since(known.since) < UNUSED_RETENTION + REMOVAL_GRACE);
        let is_due = |known: &Known| !known.expired && now.since(known.since) >= UNUSED_RETENTION;
        let due = self.known.iter_mut().filter(|(_, known)| is_due(known));
        let due = due.map(|(job, known)| {
            known.expired = true;
            job.clone()
        });
        due.collect()
    }
}
