//! Refuses a job that could not end while it is of use, before it is stored.
//!
//! The leader publishes how long jobs wait, and a daemon that would refuse a job by these limits
//! asks the leader, which knows the backlog of this moment. Whatever is missing on the way (limits,
//! a leader, its response, the store) leads to storing the job, so no fault refuses a job.
//!
//! A refusal says that the job never runs. So a job that an earlier attempt may have stored is
//! looked up first.

use std::{sync::Arc, time::Duration};

use borageswitch_scheduler::{
    job::Submission,
    policy::admission::{
        self, AdmissionLimits, AdmissionQuery, Decision, QueueLimit, RefusalReason,
    },
};
use borageswitch_types::Time;

use crate::{
    admission::Call,
    admission_limits::{IgnoreReason, ValidLimits},
    clock, codec,
    daemon::Shared,
    failures::{self, Failure, RequestResult},
    keys,
    orders::with_timeout,
    peers::{PeerRequest, PeerResponse},
    ports::Platform,
    store_health::StoreCall,
};

/// How long a query waits for the leader. A response takes some 10 ms, and a refusal is to be fast.
const LEADER_TIMEOUT: Duration = Duration::from_millis(150);
/// The age up to which limits refuse jobs while the leader does not respond. A daemon that is cut
/// off from the leader for longer cannot know whether work still waits.
const MAX_AGE_WITHOUT_LEADER: Duration = Duration::from_millis(500);
/// The timeout of a look-up, the same as that of the write which would follow: a store whose
/// responses are slow is to be asked all the same.
const LOOK_UP_TIMEOUT: Duration = Duration::from_millis(400);

/// What a decision is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
enum Basis {
    /// The response of the leader.
    #[display("leader")]
    Leader,
    /// The limits that this daemon knows, as the leader did not respond.
    #[display("limits")]
    Limits,
    /// The leader did not respond, and the limits are too old to refuse.
    #[display("no-answer")]
    NoAnswer,
    /// The store was asked for the job and did not respond.
    #[display("look-up-failed")]
    LookUpFailed,
    /// The store has the job.
    #[display("stored-before")]
    StoredBefore,
}

/// The result of looking up a job in the store.
enum LookUp {
    Missing,
    Stored(Box<Submission>),
    Foreign,
    Failed,
}

/// The job to decide on, and the limits that would refuse it.
struct Case<'a> {
    submission: &'a Submission,
    query: AdmissionQuery,
    /// The limits that would refuse it; none if only an operator's limit applies to it.
    known: Option<ValidLimits>,
}

impl Case<'_> {
    /// The decision by the limits alone.
    fn decide(&self) -> Decision {
        let Some((known, limit)) = self.limit() else { return Decision::Admit };
        let queue = &self.submission.queue;
        let run = self.query.chain.as_secs_f64() * limit.run_ratio;
        let objective = run * queue.stretch + queue.allowance.as_secs_f64();
        // A queue with settings that no duration can hold refuses nothing.
        let Ok(objective) = Duration::try_from_secs_f64(objective) else { return Decision::Admit };
        admission::decide(limit, known.age, &self.query, objective)
    }

    fn limit(&self) -> Option<(&ValidLimits, &QueueLimit)> {
        let known = self.known.as_ref()?;
        Some((known, known.limits.queues.get(&self.query.queue)?))
    }

    /// Logs the decision with its inputs.
    fn log(&self, kind: &'static str, basis: Basis, refusal: Option<Refusal>) {
        let wait = self.limit().map_or(Duration::ZERO, |(_, limit)| {
            let caller = self.query.caller.as_ref();
            let beyond = caller.is_some_and(|caller| limit.beyond.contains(caller));
            if beyond { limit.wait_beyond } else { limit.wait }
        });
        let known = self.known.as_ref();
        let age = known.map_or(Duration::ZERO, |known| known.age);
        let retry_after = refusal.and_then(|refusal| refusal.retry_after);
        log::info!(
            job = self.query.job.as_str(), queue = self.query.queue.as_str(),
            caller = self.query.caller.as_ref().map_or("", |caller| caller.as_str()),
            reason = refusal.map_or_else(String::new, |r| r.reason.to_string()).as_str(),
            wait_ms = clock::millis(wait), age_ms = clock::millis(age),
            token = known.map_or(0, |known| known.limits.token),
            sequence = known.map_or(0, |known| known.limits.sequence),
            retry_after_s = retry_after.map_or(0, failures::retry_after_seconds),
            by = basis.to_string().as_str();
            "{kind}"
        );
    }
}

/// The terms of a refusal.
#[derive(Clone, Copy)]
struct Refusal {
    reason: RefusalReason,
    retry_after: Option<Duration>,
}

/// Decides whether a job may be stored. Gives the job if an earlier attempt has stored it.
///
/// # Errors
///
/// [`Failure::Overloaded`] if the job is refused, [`Failure::Foreign`] if an earlier attempt of
/// another caller has stored a job of this id.
pub(crate) async fn check<P>(
    shared: &Arc<Shared<P>>,
    call: &Call<'_>,
    submission: &Submission,
) -> RequestResult<Option<Submission>>
where
    P: Platform,
{
    let spec = &submission.spec;
    if spec.is_lasting() || spec.schedule.is_some() {
        return Ok(None);
    }
    let (queue, caller) = (&submission.queue.name, submission.caller.as_ref());
    let known = known_limits(shared).filter(|known| known.limits.queues.contains_key(queue));
    let limited_manually = shared.admission_limits.is_limited_manually(queue, caller);
    if known.is_none() && !limited_manually {
        return Ok(None);
    }
    let query = AdmissionQuery {
        job: submission.job.clone(),
        queue: submission.queue.name.clone(),
        caller: submission.caller.clone(),
        chain: spec.longest_chain(|_, step| step.estimate),
        core_seconds: spec.declared_core_seconds(),
        patience: call.patience,
    };
    let mut case = Case { submission, query, known };
    if case.decide() == Decision::Admit && !limited_manually {
        return Ok(None);
    }
    let (decision, basis) = ask(shared, &mut case).await;
    let Decision::Refuse { retry_after, reason } = decision else {
        case.log("admitted", basis, None);
        return Ok(None);
    };
    match look_up(shared, submission).await {
        LookUp::Missing => {
            case.log("refused", basis, Some(Refusal { reason, retry_after }));
            shared.instruments.count_refused_job(&case.query.queue, reason);
            Err(Failure::Overloaded { reason, retry_after })
        }
        LookUp::Stored(stored) => {
            case.log("admitted", Basis::StoredBefore, None);
            Ok(Some(*stored))
        }
        LookUp::Foreign => Err(Failure::Foreign),
        LookUp::Failed => {
            case.log("admitted", Basis::LookUpFailed, None);
            Ok(None)
        }
    }
}

/// Asks the leader for its decision, and decides by the limits if it does not respond.
async fn ask<P>(shared: &Arc<Shared<P>>, case: &mut Case<'_>) -> (Decision, Basis)
where
    P: Platform,
{
    let sent = clock::time();
    let request = PeerRequest::Admission(case.query.clone());
    let response = with_timeout(LEADER_TIMEOUT, shared.send_to_leader(&request)).await.flatten();
    let decision = match receive_manual(shared, sent, response) {
        Some(PeerResponse::Admission(decision)) => {
            shared.admission_limits.clear(sent);
            Some(decision)
        }
        // An earlier leader that does not know of its successor decides by an old backlog.
        Some(PeerResponse::AdmissionWithLimits(decision, limits)) => {
            let current = limits.token >= leader_token(shared);
            let received = receive(shared, sent, limits);
            (current && received != Err(IgnoreReason::Malformed)).then_some(decision)
        }
        _ => None,
    };
    if let Some(decision) = decision {
        return (decision, Basis::Leader);
    }
    // An operator's limit alone refuses nothing without the leader, which counts the jobs.
    match known_limits(shared).filter(|known| known.age < MAX_AGE_WITHOUT_LEADER) {
        Some(known) => {
            case.known = Some(known);
            (case.decide(), Basis::Limits)
        }
        None => (Decision::Admit, Basis::NoAnswer),
    }
}

/// Sends the leader the notification of a stored job, and takes in the limits in its response. Gives
/// whether the leader has taken in the job.
pub(crate) async fn notify<P>(shared: &Arc<Shared<P>>, notification: &PeerRequest) -> bool
where
    P: Platform,
{
    let sent = clock::time();
    let response = shared.send_to_leader(notification).await;
    match receive_manual(shared, sent, response) {
        Some(PeerResponse::Acknowledged) => shared.admission_limits.clear(sent),
        Some(PeerResponse::AcknowledgedWithLimits(limits)) => {
            // Limits that are ignored are counted, and the job is taken in all the same.
            let _ = receive(shared, sent, limits);
        }
        _ => return false,
    }
    true
}

/// Takes in what operators limit, and gives the rest of the response.
fn receive_manual<P>(
    shared: &Arc<Shared<P>>,
    sent: Time,
    response: Option<PeerResponse>,
) -> Option<PeerResponse>
where
    P: Platform,
{
    let (response, subjects) = match response? {
        PeerResponse::WithManualLimits(response, subjects) => (*response, subjects),
        // Any other response about a job shows that operators limit nothing.
        response if response.is_from_leader() => (response, Arc::default()),
        response => return Some(response),
    };
    shared.admission_limits.receive_manual(sent, subjects);
    Some(response)
}

/// Takes in limits, and counts those that are ignored.
fn receive<P>(
    shared: &Arc<Shared<P>>,
    sent: Time,
    limits: Arc<AdmissionLimits>,
) -> Result<(), IgnoreReason>
where
    P: Platform,
{
    let received = shared.admission_limits.receive(sent, leader_token(shared), limits);
    received.inspect_err(|reason| shared.instruments.count_ignored_limits(*reason))
}

fn known_limits<P>(shared: &Arc<Shared<P>>) -> Option<ValidLimits>
where
    P: Platform,
{
    shared.admission_limits.current(clock::time(), leader_token(shared))
}

/// The token of the known leader, 0 if none is known.
fn leader_token<P>(shared: &Arc<Shared<P>>) -> u64
where
    P: Platform,
{
    shared.leader().map_or(0, |(_, token)| token)
}

/// Looks up whether an earlier attempt has stored a job.
async fn look_up<P>(shared: &Arc<Shared<P>>, submission: &Submission) -> LookUp
where
    P: Platform,
{
    let sent = clock::time();
    if shared.store_health.is_unavailable(sent) {
        return LookUp::Failed;
    }
    let key = keys::job(&submission.job);
    let call = StoreCall::begin(&shared.store_health, sent);
    let Some(Ok(response)) = with_timeout(LOOK_UP_TIMEOUT, shared.platform.read(&key)).await else {
        call.lose();
        return LookUp::Failed;
    };
    call.succeed(clock::time());
    let Some(item) = response.item else { return LookUp::Missing };
    match codec::decode_submission(&item.value) {
        Ok(stored) if stored.is_foreign_to(submission.caller.as_ref()) => LookUp::Foreign,
        Ok(stored) => LookUp::Stored(Box::new(stored)),
        Err(err) => {
            log::error!(key = &*item.key; "{err}");
            LookUp::Failed
        }
    }
}
