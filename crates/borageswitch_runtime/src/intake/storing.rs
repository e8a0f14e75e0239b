//! Stores a caller's job, by this daemon or through the leader.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use borageswitch_scheduler::job::Submission;
use smol::Timer;

use super::RETRY_PAUSE;
use crate::{
    clock, codec,
    daemon::Shared,
    failures::{Failure, RequestResult},
    keys,
    orders::with_timeout,
    peers::{ExchangeError, PeerRequest, PeerResponse},
    ports::{CommitOutcome, Platform, StoreError, StoreResult, Transaction},
    store_health::{StoreCall, WriteSlot},
};

/// How long a job waits for a write slot, and refused writes of it are retried, before the request
/// fails. An ordinary write takes some 10 ms; a caller whose daemon the store rejects is served
/// sooner by another daemon.
const STORE_RETRY_WINDOW: Duration = Duration::from_millis(100);
/// The timeout of one write of a job, longer than a slow store takes. After that an unknown outcome
/// serves the caller better than a longer wait: if the job was stored, a repeated request finds it.
/// It also exceeds the platform adapter's timeout for connecting (400 ms): a write that got no
/// connection was not sent, and the job is refused.
const STORE_TIMEOUT: Duration = Duration::from_millis(450);
/// The timeout of a search for a newer leader. Each peer responds in some milliseconds or cannot
/// help.
const LEADER_SEARCH_TIMEOUT: Duration = Duration::from_millis(300);

/// Whether a job that is being submitted may have been stored, for a response at the deadline of its
/// caller, when there is no outcome yet. A job of which nothing was sent is then refused.
#[derive(Debug, Default)]
pub struct PendingOutcome(AtomicBool);

impl PendingOutcome {
    /// The failure of a submission that is abandoned now.
    pub fn failure(&self) -> Failure {
        match self.0.load(Ordering::SeqCst) {
            true => Failure::StoreNoResponse,
            false => Failure::StoreUnavailable,
        }
    }

    fn set(pending: Option<&Self>, may_be_stored: bool) {
        if let Some(pending) = pending {
            pending.0.store(may_be_stored, Ordering::SeqCst);
        }
    }
}

/// Has the leader store a job: the store may reject this daemon and serve the leader.
///
/// After the request to the leader, this daemon may report that nothing was stored only if the
/// leader has proved it. If a lost response of the leader were treated as a refusal, the job could
/// run although its caller was notified that it never will.
pub(super) async fn submit_through_leader<P>(
    shared: &Arc<Shared<P>>,
    submission: Submission,
    local_failure: Failure,
    pending: Option<&PendingOutcome>,
) -> RequestResult<()>
where
    P: Platform,
{
    let request = PeerRequest::Submit(Box::new(submission));
    let outcome = submit_to_leader(shared, &request, local_failure, pending).await;
    // A known peer may know a newer leader. That leader may store the job whatever the outcome of
    // the first attempt, as it remains one job.
    match outcome {
        Err(failure) if search_leader(shared).await => {
            submit_to_leader(shared, &request, failure, pending).await
        }
        outcome => outcome,
    }
}

/// Searches for a newer leader. While there is none, not every request searches: a refusal must not
/// wait for it.
async fn search_leader<P>(shared: &Arc<Shared<P>>) -> bool
where
    P: Platform,
{
    if !shared.store_health.may_search_leader(clock::time()) {
        return false;
    }
    let found = with_timeout(LEADER_SEARCH_TIMEOUT, shared.find_leader()).await.unwrap_or_default();
    if !found {
        shared.store_health.record_failed_search(clock::time());
    }
    found
}

/// Whether the leader can read from the store. If it cannot, or does not respond, nothing of a job was
/// sent to it, and the job can still be refused.
async fn ask_leader<P>(shared: &Arc<Shared<P>>, leader: SocketAddr) -> bool
where
    P: Platform,
{
    let response = shared.send_to_peer(leader, &PeerRequest::Leader).await;
    let available = matches!(response, Some(PeerResponse::Leader(_)));
    if response.is_some() {
        shared.store_health.record_leader(leader, available, clock::time());
    }
    available
}

async fn submit_to_leader<P>(
    shared: &Arc<Shared<P>>,
    request: &PeerRequest,
    local_failure: Failure,
    pending: Option<&PendingOutcome>,
) -> RequestResult<()>
where
    P: Platform,
{
    let Some(leader) = shared.remote_leader() else { return Err(local_failure) };
    let unknown = local_failure == Failure::StoreNoResponse;
    match shared.store_health.leader_has_store(leader, clock::time()) {
        Some(false) => return Err(local_failure),
        None if !unknown && !ask_leader(shared, leader).await => return Err(local_failure),
        _ => {}
    }
    PendingOutcome::set(pending, true);
    let outcome = match shared.exchange(leader, request).await {
        Ok(PeerResponse::Accepted) => Ok(()),
        Ok(PeerResponse::Refused) => {
            shared.store_health.record_leader(leader, false, clock::time());
            Err(local_failure)
        }
        Err(ExchangeError::NotSent) => Err(local_failure),
        Ok(_) | Err(ExchangeError::NoResponse) => Err(Failure::StoreNoResponse),
    };
    PendingOutcome::set(pending, outcome == Err(Failure::StoreNoResponse));
    outcome
}

/// Stores a job, which accepts it.
///
/// # Errors
///
/// [`Failure::StoreUnavailable`] only if it is certain that nothing was stored.
pub(crate) async fn store_submission<P>(
    shared: &Arc<Shared<P>>,
    submission: &Submission,
    pending: Option<&PendingOutcome>,
) -> RequestResult<()>
where
    P: Platform,
{
    let key = keys::job(&submission.job);
    let tx = Arc::new(Transaction {
        expect: vec![(key.clone(), 0)],
        write: vec![(key, codec::encode(submission), None)],
        remove: Vec::new(),
    });
    let give_up = clock::time() + STORE_RETRY_WINDOW;
    loop {
        let Some(slot) = WriteSlot::take(&shared.store_health, give_up).await else {
            return Err(Failure::StoreUnavailable);
        };
        PendingOutcome::set(pending, true);
        match write(shared, &tx, slot).await {
            Ok(CommitOutcome::Done(_)) => return Ok(()),
            // The same request was stored before, unless two callers have chosen the same id. If
            // the second one's job were reported as accepted, its caller would wait for a job that
            // never runs.
            Ok(CommitOutcome::Conflict(items)) => {
                let foreign = items.iter().any(|item| {
                    codec::decode_submission(&item.value)
                        .is_ok_and(|stored| stored.is_foreign_to(submission.caller.as_ref()))
                });
                return if foreign { Err(Failure::Foreign) } else { Ok(()) };
            }
            Ok(CommitOutcome::NoLease) | Err(StoreError::Refused) => {
                PendingOutcome::set(pending, false);
            }
            // A write without a response may still take effect: from now on no response may say
            // that the job was not accepted.
            Err(_) => return Err(Failure::StoreNoResponse),
        }
        if clock::time() >= give_up {
            return Err(Failure::StoreUnavailable);
        }
        Timer::after(RETRY_PAUSE).await;
    }
}

/// Writes a job once. The write goes on if its caller stops waiting, and keeps its slot: otherwise
/// callers with short deadlines would have any number of writes sent to a store that does not
/// respond, and none of them would show that it does not.
async fn write<P>(
    shared: &Arc<Shared<P>>,
    tx: &Arc<Transaction>,
    slot: WriteSlot,
) -> StoreResult<CommitOutcome>
where
    P: Platform,
{
    let (outcome_tx, outcome) = async_channel::bounded(1);
    let (own, tx) = (shared.clone(), tx.clone());
    let call = StoreCall::begin(&shared.store_health, clock::time());
    let writing = async move {
        let written = with_timeout(STORE_TIMEOUT, own.platform.commit(&tx)).await;
        let written = written.unwrap_or(Err(StoreError::Lost));
        match &written {
            Ok(CommitOutcome::Done(_) | CommitOutcome::Conflict(_)) => call.succeed(clock::time()),
            Ok(CommitOutcome::NoLease) | Err(StoreError::Refused) => call.refuse(),
            Err(_) => call.lose(),
        }
        drop(slot);
        // Fails if the caller has stopped waiting.
        let _ = outcome_tx.try_send(written);
    };
    shared.ex.spawn(writing).detach();
    outcome.recv().await.unwrap_or(Err(StoreError::Lost))
}
