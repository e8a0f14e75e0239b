//! All ways in which a caller's request can fail, with the HTTP response to each.

use std::time::Duration;

use borageswitch_scheduler::{
    config::access::Rejection,
    policy::{admission::RefusalReason, quotas::QuotaError},
};

/// Whether a failed request may still have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Effective {
    /// It has not taken effect, and never will.
    #[display("no")]
    No,
    /// It may have taken effect, or may do so later.
    #[display("unknown")]
    Unknown,
}

/// Why a request failed.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Failure {
    /// The daemon has no configuration yet.
    #[display("this daemon has no configuration yet")]
    NoConfig,
    /// The queue does not exist.
    #[display("there is no such queue")]
    NoQueue,
    /// The job does not exist.
    #[display("there is no such job")]
    NoJob,
    /// The request has no valid key for the queue.
    #[display("{_0}")]
    Unauthenticated(Rejection),
    /// The configuration was confirmed too long ago to tell which keys and queues are valid.
    #[display("this daemon cannot tell which keys and queues there are at the moment")]
    ConfigTooOld,
    /// The job belongs to another caller.
    #[display("the job belongs to another caller")]
    Foreign,
    /// The request is malformed.
    #[display("{_0}")]
    Malformed(String),
    /// The job can never run within the caller's quota.
    #[display("{_0}")]
    OverQuota(QuotaError),
    /// The body exceeds this limit in bytes.
    #[display("body: more than {_0} bytes")]
    TooLarge(usize),
    /// The resource does not support the method.
    #[display("this method is not allowed here")]
    BadMethod,
    /// The store is unavailable; the job was not accepted.
    #[display("the store is not available: not accepted")]
    StoreUnavailable,
    /// The store gave no response: the job may have been accepted.
    #[display("the store gave no answer: send the same request again")]
    StoreNoResponse,
    /// There is no leader at the moment, or it cannot be reached.
    #[display("the state of the job cannot be read at the moment")]
    NoLeader,
    /// The job could not end while it is of use, or an operator limits such jobs. It is not stored.
    #[display("too much work is waiting, the job is not accepted: {reason}")]
    Overloaded {
        /// The reason.
        reason: RefusalReason,
        /// When a retry can succeed; none if no retry can.
        retry_after: Option<Duration>,
    },
    /// The daemon is shutting down.
    #[display("this daemon is about to end")]
    Stopping,
}

/// The result of a caller's request.
pub type RequestResult<T> = Result<T, Failure>;

/// The HTTP response to a failed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// The HTTP status.
    pub status: u16,
    /// Whether the request may have taken effect.
    pub effective: Effective,
    /// When to retry, if a retry can succeed.
    pub retry_after: Option<Duration>,
}

/// The shortest `Retry-After` that HTTP can express.
const RETRY_SOON: Duration = Duration::from_secs(1);
/// `Retry-After` during an outage of the store, which takes some seconds.
const RETRY_AFTER_OUTAGE: Duration = Duration::from_secs(2);

/// The value of `Retry-After` for a delay, in seconds. It is rounded up, as a caller that retries
/// too early is refused again.
pub fn retry_after_seconds(delay: Duration) -> u64 {
    (delay.as_secs() + u64::from(delay.subsec_nanos() > 0)).max(1)
}

impl Failure {
    /// The kind of the failure in metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Failure::NoConfig => "no-config",
            Failure::NoQueue => "no-queue",
            Failure::NoJob => "no-job",
            Failure::Unauthenticated(_) => "not-let-in",
            Failure::ConfigTooOld => "config-too-old",
            Failure::Foreign => "foreign",
            Failure::Malformed(_) => "malformed",
            Failure::OverQuota(_) => "over-quota",
            Failure::TooLarge(_) => "too-large",
            Failure::BadMethod => "bad-method",
            Failure::StoreUnavailable => "store-away",
            Failure::StoreNoResponse => "store-silent",
            Failure::NoLeader => "no-leader",
            Failure::Overloaded { .. } => "overloaded",
            Failure::Stopping => "stopping",
        }
    }

    /// The HTTP response to the failure.
    pub fn error_response(&self) -> ErrorResponse {
        let error_response =
            |status, effective, retry_after| ErrorResponse { status, effective, retry_after };
        match self {
            Failure::NoConfig => error_response(503, Effective::No, Some(RETRY_SOON)),
            Failure::NoQueue => error_response(404, Effective::No, None),
            Failure::NoJob => error_response(410, Effective::No, None),
            Failure::Unauthenticated(_) => error_response(401, Effective::No, None),
            Failure::ConfigTooOld => error_response(503, Effective::No, Some(RETRY_SOON)),
            Failure::Foreign => error_response(403, Effective::No, None),
            Failure::Malformed(_) => error_response(400, Effective::No, None),
            Failure::OverQuota(_) => error_response(422, Effective::No, None),
            Failure::TooLarge(_) => error_response(413, Effective::No, None),
            Failure::BadMethod => error_response(405, Effective::No, None),
            Failure::StoreUnavailable => {
                error_response(503, Effective::No, Some(RETRY_AFTER_OUTAGE))
            }
            Failure::StoreNoResponse => error_response(504, Effective::Unknown, Some(RETRY_SOON)),
            // A cancel request may have reached the leader.
            Failure::NoLeader => error_response(503, Effective::Unknown, Some(RETRY_SOON)),
            Failure::Overloaded { retry_after, .. } => {
                error_response(429, Effective::No, *retry_after)
            }
            Failure::Stopping => error_response(503, Effective::No, Some(RETRY_SOON)),
        }
    }
}
