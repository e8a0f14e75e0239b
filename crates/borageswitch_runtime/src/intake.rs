//! Serves callers' requests, on any daemon.
//!
//! A job is accepted when it is stored, and any daemon can store it: taking jobs does not depend on
//! who leads. The key is created only if it is not there, so a request that is sent again remains
//! one job. How a job stands is asked of the leader.

use std::{sync::Arc, time::Duration};

use borageswitch_scheduler::{
    job::{JobSpec, Submission},
    policy::quotas,
    reducer::view::JobStatus,
};
use borageswitch_types::{Time, names::JobName};
use futures_lite::future;
use smol::Timer;

use crate::{
    admission::Call,
    answers::{Failure, Served},
    clock, codec,
    daemon::Shared,
    keys,
    peers::{Answer, Question},
    ports::{Committed, Platform, StoreError, Transaction},
};

/// How long a job is tried to be stored before the caller is told to come back. An ordinary write
/// takes some 10 ms; a caller whose daemon is turned away does better at another one.
const STORE_PATIENCE: Duration = Duration::from_millis(100);
/// How long the store may take for one job, more than a slow store does. A caller who waits longer
/// is better told that nothing is known, and finds its job when it asks again.
const ANSWER_PATIENCE: Duration = Duration::from_millis(400);
/// The pause before a call that failed is made again.
const RETRY_PAUSE: Duration = Duration::from_millis(40);
/// How long a question waits for a leader: about the time of an orderly change.
const LEADER_PATIENCE: Duration = Duration::from_millis(900);

/// Accepts a job.
///
/// # Errors
///
/// A [`Failure`] that says whether the job may have been accepted all the same.
pub async fn submit<P>(
    shared: &Arc<Shared<P>>,
    call: Call<'_>,
    job: &JobName,
    spec: JobSpec,
) -> Served<()>
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
    let stored = store_submission(shared, &submission).await;
    let failure = match stored {
        Ok(()) => {
            let key = call.owner.map(|owner| owner.fingerprint.to_string()).unwrap_or_default();
            log::info!(
                job = job.as_str(), queue = call.queue.name.as_str(), caller = call.caller_name(),
                key = key.as_str();
                "accepted"
            );
            tell_leader(shared, submission);
            return Ok(());
        }
        // The leader would find the same.
        Err(Failure::Foreign) => return Err(Failure::Foreign),
        Err(failure) => failure,
    };
    let settled = submit_through_leader(shared, submission, failure).await;
    match &settled {
        Ok(()) => log::info!(job = job.as_str(); "accepted-by-leader"),
        Err(failure) => {
            log::warn!(job = job.as_str(), outcome = failure.to_string().as_str(); "not-accepted");
        }
    }
    settled
}

/// Tells the leader of a job that is stored, beside its answer to the caller.
///
/// The leader's watch tells it as well, but hears nothing for a second when the store drops its
/// history: the jobs of a rush would begin a second late. A message that is lost or
/// comes late does no harm, as the leader takes in a job once.
fn tell_leader<P>(shared: &Arc<Shared<P>>, submission: Submission)
where
    P: Platform,
{
    let own = shared.clone();
    let telling = async move {
        let question = Question::Stored(Arc::new(submission));
        if own.ask(&question).await != Some(Answer::Noted) {
            log::debug!("the leader was not told of a job; its watch will tell it");
        }
    };
    shared.ex.spawn(telling).detach();
}

/// Has the leader store a job: the store may turn this daemon away and serve the leader.
///
/// Once the leader was asked, only its proof that nothing was stored lets this daemon say so. Taken
/// for a refusal, a write of the leader's whose answer was lost would run although its caller was
/// told that it never will.
async fn submit_through_leader<P>(
    shared: &Arc<Shared<P>>,
    submission: Submission,
    own: Failure,
) -> Served<()>
where
    P: Platform,
{
    let question = Question::Submit(Box::new(submission));
    let mut outcome = submit_at_leader(shared, &question, own).await;
    // One that was met before may know of another leader, who can store it whatever became of the
    // first try: it remains one job.
    if outcome.is_err() && shared.find_leader().await {
        let failure = outcome.err().unwrap_or(Failure::StoreSilent);
        outcome = submit_at_leader(shared, &question, failure).await;
    }
    outcome
}

async fn submit_at_leader<P>(
    shared: &Arc<Shared<P>>,
    question: &Question,
    own: Failure,
) -> Served<()>
where
    P: Platform,
{
    let Some(leader) = shared.leader_elsewhere() else { return Err(own) };
    match shared.ask_at(leader, question).await {
        Some(Answer::Accepted) => Ok(()),
        Some(Answer::Refused) => Err(own),
        _ => Err(Failure::StoreSilent),
    }
}

/// Stores a job that was accepted.
///
/// # Errors
///
/// [`Failure::StoreAway`] only if it is proved that nothing was stored.
pub(crate) async fn store_submission<P>(
    shared: &Arc<Shared<P>>,
    submission: &Submission,
) -> Served<()>
where
    P: Platform,
{
    let key = keys::job(&submission.job);
    let tx = Transaction {
        expect: vec![(key.clone(), 0)],
        write: vec![(key, codec::encode(submission), None)],
        remove: Vec::new(),
    };
    let give_up = clock::time() + STORE_PATIENCE;
    loop {
        let sent = clock::time();
        if shared.store_health.is_away(sent) {
            return Err(Failure::StoreAway);
        }
        let answered = async { Some(shared.platform.commit(&tx).await) };
        let patience = async {
            Timer::after(ANSWER_PATIENCE).await;
            None
        };
        match future::or(answered, patience).await.unwrap_or(Err(StoreError::Lost)) {
            Ok(Committed::Done(_)) => {
                shared.store_health.answered();
                return Ok(());
            }
            // The same request was stored before, unless two callers have chosen one id: told that
            // its job is accepted, the second would wait for what never runs.
            Ok(Committed::Conflict(items)) => {
                shared.store_health.answered();
                let foreign = items.iter().any(|item| {
                    codec::decode_submission(&item.value)
                        .is_ok_and(|stored| stored.is_foreign_to(submission.caller.as_ref()))
                });
                return if foreign { Err(Failure::Foreign) } else { Ok(()) };
            }
            Ok(Committed::NoLease) | Err(StoreError::Refused) => {
                shared.store_health.failed(sent);
            }
            // A write without an answer may still be carried out: from now on nobody may say that
            // the job was not accepted.
            Err(_) => {
                shared.store_health.failed(sent);
                return Err(Failure::StoreSilent);
            }
        }
        if clock::time() >= give_up {
            return Err(Failure::StoreAway);
        }
        Timer::after(RETRY_PAUSE).await;
    }
}

/// How a job stands.
///
/// # Errors
///
/// [`Failure::NoJob`] if there is none, [`Failure::NoLeader`] if nobody can tell.
pub async fn status<P>(shared: &Arc<Shared<P>>, call: Call<'_>, job: &JobName) -> Served<JobStatus>
where
    P: Platform,
{
    let (queue, caller) = (call.queue.name.clone(), call.caller());
    let question = Question::Status { queue, job: job.clone(), caller };
    let known = ask_leader(shared, &question).await;
    match known {
        Some(Answer::Status(Some(status))) => Ok(status),
        Some(Answer::Foreign) => Err(Failure::Foreign),
        // A job that was accepted a moment ago may not have come to the leader's ears yet.
        Some(_) if is_stored(shared, call, job).await? => Ok(JobStatus::Queued),
        Some(_) => Err(Failure::NoJob),
        None if is_stored(shared, call, job).await? => Ok(JobStatus::Queued),
        // The job may have ended, which only a leader can tell.
        None => Err(Failure::NoLeader),
    }
}

/// Cancels a job. Gives how it stands then.
///
/// # Errors
///
/// As [`status`].
pub async fn cancel<P>(shared: &Arc<Shared<P>>, call: Call<'_>, job: &JobName) -> Served<()>
where
    P: Platform,
{
    let (queue, caller) = (call.queue.name.clone(), call.caller());
    let question = Question::Cancel { queue, job: job.clone(), caller };
    match ask_leader(shared, &question).await {
        Some(Answer::Status(Some(_))) => Ok(()),
        Some(Answer::Foreign) => Err(Failure::Foreign),
        Some(_) => match store_cancel(shared, call, job).await? {
            true => Ok(()),
            false => Err(Failure::NoJob),
        },
        None => match store_cancel(shared, call, job).await? {
            true => Ok(()),
            false => Err(Failure::NoLeader),
        },
    }
}

/// How many jobs of a queue wait for their first start.
///
/// # Errors
///
/// [`Failure::NoLeader`] if nobody can tell.
pub async fn pending<P>(shared: &Arc<Shared<P>>, call: Call<'_>) -> Served<u64>
where
    P: Platform,
{
    let question = Question::Pending { queue: call.queue.name.clone() };
    match ask_leader(shared, &question).await {
        Some(Answer::Pending(pending)) => Ok(pending),
        _ => Err(Failure::NoLeader),
    }
}

/// Asks whoever leads, and waits a little for somebody to.
async fn ask_leader<P>(shared: &Arc<Shared<P>>, question: &Question) -> Option<Answer>
where
    P: Platform,
{
    let give_up: Time = clock::time() + LEADER_PATIENCE;
    loop {
        match shared.ask(question).await {
            None | Some(Answer::NotLeading) => {}
            answer => return answer,
        }
        if shared.store_is_away() && shared.find_leader().await {
            continue;
        }
        if clock::time() >= give_up || shared.is_stopping() {
            return None;
        }
        Timer::after(RETRY_PAUSE).await;
    }
}

async fn is_stored<P>(shared: &Arc<Shared<P>>, call: Call<'_>, job: &JobName) -> Served<bool>
where
    P: Platform,
{
    if shared.store_health.is_away(clock::time()) {
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

/// Stores that a job is cancelled, for whoever leads next. Gives whether there is such a job.
async fn store_cancel<P>(shared: &Arc<Shared<P>>, call: Call<'_>, job: &JobName) -> Served<bool>
where
    P: Platform,
{
    if !is_stored(shared, call, job).await? {
        return Ok(false);
    }
    let key = keys::cancel(job);
    let tx = Transaction { expect: Vec::new(), write: vec![(key, vec![1], None)], remove: vec![] };
    match shared.platform.commit(&tx).await {
        Ok(_) => Ok(true),
        Err(StoreError::Refused) => Err(Failure::StoreAway),
        Err(_) => Err(Failure::StoreSilent),
    }
}
