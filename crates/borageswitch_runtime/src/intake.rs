//! Serves callers' requests on any daemon.
//!
//! A job is accepted once it is stored, and any daemon can store it, so accepting jobs does not
//! depend on a leader. The key of a job is created only if it does not exist, so a repeated request
//! does not create a second job. The leader provides the status of jobs.

mod storing;

use std::{sync::Arc, time::Duration};

use borageswitch_scheduler::{
    job::{JobSpec, Submission},
    policy::quotas,
    reducer::view::JobStatus,
};
use borageswitch_types::{Time, names::JobName};
use smol::Timer;

use crate::{
    admission::Call,
    admission_check,
    cancel_marks::CancelMark,
    clock, codec,
    daemon::Shared,
    failures::{Failure, RequestResult},
    keys,
    peers::{PeerRequest, PeerResponse},
    ports::{CommitOutcome, Item, Platform, Revision, StoreError, Transaction},
};

pub use self::storing::PendingOutcome;
pub(crate) use self::storing::store_submission;
use self::storing::submit_through_leader;

/// The pause before a failed call is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(40);
/// How long writes of a cancellation are repeated that get no response.
const CANCEL_RETRY_WINDOW: Duration = Duration::from_secs(2);
/// The revision that a transaction expects of a key that does not exist.
const NOT_STORED: Revision = 0;
/// How long a request waits for a leader: about as long as an orderly handover takes.
const LEADER_WAIT: Duration = Duration::from_millis(900);

/// Accepts a job.
///
/// # Errors
///
/// A [`Failure`], which says whether the job may have been accepted all the same.
pub async fn submit<P>(
    shared: &Arc<Shared<P>>,
    call: Call<'_>,
    job: &JobName,
    spec: JobSpec,
) -> RequestResult<()>
where
    P: Platform,
{
    spec.check().map_err(|err| Failure::Malformed(err.to_string()))?;
    if let Some(quota) = &call.quota {
        quotas::check(quota, &spec).map_err(Failure::OverQuota)?;
    }
    let submission = Submission {
        job: job.clone(),
        queue: call.queue.clone(),
        accepted: clock::wall(),
        spec,
        caller: call.caller(),
    };
    if let Some(stored) = admission_check::check(shared, &call, &submission).await? {
        notify_leader(shared, stored);
        return Ok(());
    }
    let stored = store_submission(shared, &submission, call.pending).await;
    let failure = match stored {
        Ok(()) => {
            let key = call.owner.map(|owner| owner.fingerprint.to_string()).unwrap_or_default();
            log::info!(
                job = job.as_str(), queue = call.queue.name.as_str(), caller = call.caller_name(),
                key = key.as_str();
                "accepted"
            );
            notify_leader(shared, submission);
            return Ok(());
        }
        // The leader would find the same conflict.
        Err(Failure::Foreign) => return Err(Failure::Foreign),
        Err(failure) => failure,
    };
    let result = submit_through_leader(shared, submission, failure, call.pending).await;
    match &result {
        Ok(()) => log::info!(job = job.as_str(); "accepted-by-leader"),
        Err(failure) => {
            let away = shared.store_health.outage_age(clock::time()).unwrap_or_default();
            log::warn!(
                job = job.as_str(), outcome = failure.to_string().as_str(),
                away_ms = away.as_millis() as u64;
                "not-accepted"
            );
        }
    }
    result
}

/// Notifies the leader of a stored job, without delaying the response to the caller.
///
/// The leader's watch reports the job as well, but reports nothing for a second when the store
/// drops its history, and the jobs of a load peak would start a second late. A lost or late
/// notification does no harm, as the leader takes in each job once.
fn notify_leader<P>(shared: &Arc<Shared<P>>, submission: Submission)
where
    P: Platform,
{
    let own = shared.clone();
    let notification = async move {
        let request = PeerRequest::JobStored(Arc::new(submission));
        if !admission_check::notify(&own, &request).await {
            log::debug!("the leader did not acknowledge a stored job; its watch will report it");
        }
    };
    shared.ex.spawn(notification).detach();
}

/// Gives the status of a job.
///
/// # Errors
///
/// [`Failure::NoJob`] if the job does not exist, [`Failure::NoLeader`] if its status cannot be
/// read.
pub async fn status<P>(
    shared: &Arc<Shared<P>>,
    call: Call<'_>,
    job: &JobName,
) -> RequestResult<JobStatus>
where
    P: Platform,
{
    let (queue, caller) = (call.queue.name.clone(), call.caller());
    let request = PeerRequest::Status { queue, job: job.clone(), caller };
    let known = send_with_retry(shared, &request).await;
    match known {
        Some(PeerResponse::Status(Some(status))) => Ok(status),
        Some(PeerResponse::Foreign) => Err(Failure::Foreign),
        // The leader may not have taken in a job that was accepted a moment ago.
        Some(_) if is_stored(shared, call, job).await? => Ok(JobStatus::Queued),
        Some(_) => Err(Failure::NoJob),
        None if is_stored(shared, call, job).await? => Ok(JobStatus::Queued),
        // The job may have ended, which only a leader knows.
        None => Err(Failure::NoLeader),
    }
}

/// Cancels a job.
///
/// # Errors
///
/// The same as those of [`status`].
pub async fn cancel<P>(shared: &Arc<Shared<P>>, call: Call<'_>, job: &JobName) -> RequestResult<()>
where
    P: Platform,
{
    let (queue, caller) = (call.queue.name.clone(), call.caller());
    let request = PeerRequest::Cancel { queue, job: job.clone(), caller };
    match send_with_retry(shared, &request).await {
        Some(PeerResponse::Status(Some(_))) => Ok(()),
        Some(PeerResponse::Foreign) => Err(Failure::Foreign),
        // The leader knows of too many cancellations of unknown jobs.
        Some(PeerResponse::Refused) => Err(Failure::NoLeader),
        Some(_) if is_stored(shared, call, job).await? => {
            store_cancel(shared, call, job, None).await.map(drop)
        }
        // The job may still be stored, by a write whose outcome is unknown.
        Some(_) => match store_cancel(shared, call, job, Some(NOT_STORED)).await? {
            CommitOutcome::Done(_) => Err(Failure::NoJob),
            CommitOutcome::Conflict(items) if is_cancelled(call, &items) => Err(Failure::NoJob),
            CommitOutcome::Conflict(_) | CommitOutcome::NoLease => Err(Failure::NoLeader),
        },
        None if is_stored(shared, call, job).await? => {
            store_cancel(shared, call, job, None).await.map(drop)
        }
        None => Err(Failure::NoLeader),
    }
}

/// Counts the jobs of a queue that wait for their first start.
///
/// # Errors
///
/// [`Failure::NoLeader`] if no leader responds.
pub async fn pending<P>(shared: &Arc<Shared<P>>, call: Call<'_>) -> RequestResult<u64>
where
    P: Platform,
{
    let request = PeerRequest::Pending { queue: call.queue.name.clone() };
    match send_with_retry(shared, &request).await {
        Some(PeerResponse::Pending(pending)) => Ok(pending),
        _ => Err(Failure::NoLeader),
    }
}

/// Sends a request to the leader, and retries while there is none.
async fn send_with_retry<P>(shared: &Arc<Shared<P>>, request: &PeerRequest) -> Option<PeerResponse>
where
    P: Platform,
{
    let give_up: Time = clock::time() + LEADER_WAIT;
    loop {
        match shared.send_to_leader(request).await {
            None | Some(PeerResponse::NotLeading) => {}
            response => return response,
        }
        if shared.store_is_unavailable() && shared.find_leader().await {
            continue;
        }
        if clock::time() >= give_up || shared.is_stopping() {
            return None;
        }
        Timer::after(RETRY_PAUSE).await;
    }
}

async fn is_stored<P>(shared: &Arc<Shared<P>>, call: Call<'_>, job: &JobName) -> RequestResult<bool>
where
    P: Platform,
{
    if shared.store_health.is_unavailable(clock::time()) {
        return Err(Failure::NoLeader);
    }
    let reading = shared.platform.read(&keys::job(job)).await.map_err(|_| Failure::NoLeader)?;
    let Some(item) = reading.item else { return Ok(false) };
    let submission = match codec::decode_submission(&item.value) {
        Ok(submission) if submission.queue.name == call.queue.name => submission,
        Ok(_) => return Ok(false),
        Err(err) => {
            log::error!(key = &*item.key; "{err}");
            return Ok(false);
        }
    };
    if submission.is_foreign_to(call.caller().as_ref()) {
        return Err(Failure::Foreign);
    }
    Ok(true)
}

/// Stores the cancellation of a job for the leader, if its key has the `expected` revision. A write
/// without a response is repeated: carried out twice or late, it changes nothing.
async fn store_cancel<P>(
    shared: &Arc<Shared<P>>,
    call: Call<'_>,
    job: &JobName,
    expected: Option<Revision>,
) -> RequestResult<CommitOutcome>
where
    P: Platform,
{
    let key = keys::cancel(job);
    let expect = expected.map(|revision| (key.clone(), revision)).into_iter().collect();
    let write = vec![(key, cancel_mark(call).encode(), None)];
    let tx = Transaction { expect, write, remove: Vec::new() };
    let give_up = clock::time() + CANCEL_RETRY_WINDOW;
    loop {
        match shared.platform.commit(&tx).await {
            Ok(outcome) => {
                let stored = matches!(outcome, CommitOutcome::Done(_));
                log::info!(
                    job = job.as_str(), unknown = expected.is_some(), stored = stored;
                    "cancel-stored"
                );
                return Ok(outcome);
            }
            Err(StoreError::Refused) => return Err(Failure::StoreUnavailable),
            Err(_) if clock::time() >= give_up => return Err(Failure::StoreNoResponse),
            Err(_) => Timer::after(RETRY_PAUSE).await,
        };
    }
}

fn cancel_mark(call: Call<'_>) -> CancelMark {
    CancelMark { queue: Some(call.queue.name.clone()), caller: call.caller() }
}

/// Whether the same cancellation was stored before.
fn is_cancelled(call: Call<'_>, items: &[Item]) -> bool {
    items.iter().any(|item| CancelMark::decode(&item.value) == cancel_mark(call))
}
