//! Decides which jobs are refused because they could not end while they are of use.
//!
//! Several callers submit more work for seconds than the hosts of a pool can run. Every job that is
//! accepted then waits until it is of no use to anybody, although its caller could have been told
//! at once. The leader therefore publishes how long a job would wait, and a daemon refuses a job
//! only if by these limits it would end after it is of use.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use borageswitch_types::names::{CallerName, JobName, QueueName};

/// How long limits are valid after a daemon has received them.
pub const LIMITS_VALID: Duration = Duration::from_millis(1_000);

/// How long a job that is submitted now to a queue has to wait.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct QueueLimit {
    /// The wait of a job within its caller's share, until the work ahead of it is placed.
    pub wait: Duration,
    /// The wait of a job beyond its caller's share: all waiting work is ahead of it.
    pub wait_beyond: Duration,
    /// The core-seconds that the pool of the queue completes per second.
    pub drain_per_s: f64,
    /// The ratio of actual to declared run times in the queue.
    pub run_ratio: f64,
    /// Callers that are beyond their share in the pool, the largest excess first when bounded.
    pub beyond: BTreeSet<CallerName>,
}

/// The limits of all queues in which jobs have to wait, as the leader publishes them.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct AdmissionLimits {
    /// The fencing token of the leader.
    pub token: u64,
    /// Rises with each publication of the leader.
    pub sequence: u64,
    /// How long the limits are valid after receipt.
    pub valid: Duration,
    /// The limits by queue; queues without a noticeable wait are left out.
    pub queues: BTreeMap<QueueName, QueueLimit>,
}

/// What the leader needs to know of a job to decide on its admission.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct AdmissionQuery {
    /// The job.
    pub job: JobName,
    /// The queue.
    pub queue: QueueName,
    /// The caller, if the queue requires a key.
    pub caller: Option<CallerName>,
    /// The declared duration of the longest chain of steps.
    pub chain: Duration,
    /// The declared work, in core-seconds.
    pub core_seconds: f64,
    /// How long the caller waits for a response, and so how long it may retry.
    pub patience: Option<Duration>,
}

/// Why a job is refused.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    derive_more::Display,
    serde::Serialize,
    serde::Deserialize,
)]
pub enum RefusalReason {
    /// The job would end after it is of use.
    #[display("no-use")]
    NoUse,
    /// The caller is beyond its share, and the job would end after it is of use.
    #[display("beyond-share")]
    BeyondShare,
    /// An operator has limited the caller or the queue.
    #[display("manual-limit")]
    ManualLimit,
}

/// The decision on a submitted job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Decision {
    /// The job may be stored.
    Admit,
    /// The job is refused.
    Refuse {
        /// When a retry can succeed; none if no retry can.
        retry_after: Option<Duration>,
        /// The reason.
        reason: RefusalReason,
    },
}

/// A job is of use until this multiple of its objective has passed.
const USEFUL_FACTOR: f64 = 3.0;
/// By how much the estimated end may exceed the real one: the estimates may be a third too long.
const ESTIMATE_MARGIN: f64 = 4.0 / 3.0;
/// The patience of a caller that does not say how long it waits.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(3);

/// Decides on a job by limits that are `age` old. `objective` is the time in which the job is to
/// end, by the learned run times.
pub fn decide(
    limit: &QueueLimit,
    age: Duration,
    query: &AdmissionQuery,
    objective: Duration,
) -> Decision {
    let beyond = query.caller.as_ref().is_some_and(|caller| limit.beyond.contains(caller));
    let published = if beyond { limit.wait_beyond } else { limit.wait };
    let wait = published.saturating_sub(age).as_secs_f64();
    let run = query.chain.as_secs_f64() * limit.run_ratio;
    let useful = objective.as_secs_f64() * USEFUL_FACTOR;
    let excess = (wait + run) / ESTIMATE_MARGIN - useful;
    if excess <= 0.0 {
        return Decision::Admit;
    }
    let patience = query.patience.unwrap_or(DEFAULT_PATIENCE);
    let turn = Duration::try_from_secs_f64(excess * ESTIMATE_MARGIN).unwrap_or(Duration::MAX);
    let reachable = run / ESTIMATE_MARGIN <= useful && turn <= patience;
    let reason = if beyond { RefusalReason::BeyondShare } else { RefusalReason::NoUse };
    Decision::Refuse { retry_after: reachable.then_some(turn), reason }
}
