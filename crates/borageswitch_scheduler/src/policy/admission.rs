//! Decides which jobs are refused because they could not end while they are of use.
//!
//! Several callers submit more work for seconds than the hosts of a pool can run. Every job that is
//! accepted then waits until it is of no use to anybody, although its caller could have been told
//! at once. The leader therefore publishes how long a job would wait, and a daemon refuses a job
//! only if by these limits it would end after it is of use.
//!
//! Run times are known to within about a half, so a job is refused only if it would still be of no
//! use should the estimated time to its end be a third too long. [`backlog`](super::backlog)
//! computes the waits, and [`virtual_queue`](super::virtual_queue) the times at which refused jobs
//! may return.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use borageswitch_types::names::{CallerName, JobName, QueueName};

use crate::policy::order::USEFUL_FACTOR;

/// How long limits are valid after a daemon has received them.
pub const LIMITS_VALID: Duration = Duration::from_millis(1_000);

/// The smallest wait of a queue that is published. A shorter wait leaves every job of use.
pub const NOTICEABLE_WAIT: Duration = Duration::from_millis(500);
/// The largest number of callers beyond their share that are published for a queue.
pub const MAX_CALLERS_BEYOND: usize = 32;
/// How long a caller retries that does not say how long it waits.
pub const DEFAULT_PATIENCE: Duration = Duration::from_secs(3);

/// The part of the estimated time to a job's end that counts for a refusal: the estimate may be a
/// third too long, as after run times that are estimated at half as much again as they are.
const CERTAIN_PART: f64 = 2.0 / 3.0;

/// Bounds for values of other processes, so that products of them do not overflow.
const LONGEST_CHAIN: Duration = Duration::from_secs(365 * 24 * 3_600);
const LARGEST_RATIO: f64 = 10.0;

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

/// Decides on a job by the limit of its queue, which is `age` old. `objective` is the time from
/// acceptance within which the job is on time. Jobs with lasting tasks or a schedule are admitted
/// without a query.
///
/// The wait of a job that is refused is known only while the limits are valid, so the retry is
/// permitted once they have expired.
pub fn decide(
    limit: &QueueLimit,
    age: Duration,
    query: &AdmissionQuery,
    objective: Duration,
) -> Decision {
    let beyond = limit.is_beyond(query.caller.as_ref());
    let wait = if beyond { limit.wait_beyond } else { limit.wait };
    let end = wait.min(LONGEST_CHAIN).saturating_sub(age) + limit.expected_chain(query);
    if end.mul_f64(CERTAIN_PART) <= objective.saturating_mul(USEFUL_FACTOR) {
        return Decision::Admit;
    }
    let reason = if beyond { RefusalReason::BeyondShare } else { RefusalReason::NoUse };
    let retry_after = retry_after(LIMITS_VALID, limit, query, objective);
    Decision::Refuse { retry_after, reason }
}

/// Returns when the caller of a refused job is to retry whose turn comes after `turn`, in whole
/// seconds; none if the caller has given up by then or the job is of no use any more.
pub fn retry_after(
    turn: Duration,
    limit: &QueueLimit,
    query: &AdmissionQuery,
    objective: Duration,
) -> Option<Duration> {
    let rounded_up = turn.as_nanos().div_ceil(Duration::from_secs(1).as_nanos());
    let at = Duration::from_secs(u64::try_from(rounded_up).unwrap_or(u64::MAX).max(1));
    let patience = query.patience.filter(|given| !given.is_zero()).unwrap_or(DEFAULT_PATIENCE);
    let end = at.saturating_add(limit.expected_chain(query));
    (at <= patience && end <= objective.saturating_mul(USEFUL_FACTOR)).then_some(at)
}

impl QueueLimit {
    /// Returns whether a caller is beyond its share.
    pub fn is_beyond(&self, caller: Option<&CallerName>) -> bool {
        caller.is_some_and(|caller| self.beyond.contains(caller))
    }

    /// Returns the expected duration of the longest chain of steps of a job.
    pub fn expected_chain(&self, query: &AdmissionQuery) -> Duration {
        // Both values come from another process, and any of them may be malformed.
        let ratio = if self.run_ratio.is_finite() { self.run_ratio } else { 1.0 };
        query.chain.min(LONGEST_CHAIN).mul_f64(ratio.clamp(0.0, LARGEST_RATIO))
    }
}

#[cfg(test)]
mod tests;
