//! The closed list of how a caller's request can fail, and what each kind means.

use std::time::Duration;

use borageswitch_scheduler::{config::access::Rejection, policy::quotas::QuotaError};

/// Whether what a request asked for has happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Effective {
    /// It has not, and never will.
    #[display("no")]
    No,
    /// Nobody can tell.
    #[display("unknown")]
    Unknown,
}

/// Why a request failed.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Failure {
    /// No configuration is known yet.
    #[display("this daemon has no configuration yet")]
    NoConfig,
    /// The queue does not exist.
    #[display("there is no such queue")]
    NoQueue,
    /// The job does not exist.
    #[display("there is no such job")]
    NoJob,
    /// The request shows no key that is anybody's.
    #[display("{_0}")]
    NotLetIn(Rejection),
    /// This daemon has not heard of the configuration for so long that it cannot tell.
    #[display("this daemon cannot tell which keys and queues there are at the moment")]
    ConfigTooOld,
    /// The job is another caller's.
    #[display("the job belongs to another caller")]
    Foreign,
    /// The request is malformed.
    #[display("{_0}")]
    Malformed(String),
    /// The caller's quota never lets the job run.
    #[display("{_0}")]
    OverQuota(QuotaError),
    /// The body is too large.
    #[display("body: more than {_0} bytes")]
    TooLarge(usize),
    /// The method means nothing here.
    #[display("this method is not allowed here")]
    BadMethod,
    /// The store does not take the job; it was not accepted.
    #[display("the store is not available: not accepted")]
    StoreAway,
    /// The store gave no answer: the job may have been accepted.
    #[display("the store gave no answer: send the same request again")]
    StoreSilent,
    /// Nobody leads at the moment, or the leader cannot be reached.
    #[display("the state of the job cannot be read at the moment")]
    NoLeader,
    /// This daemon is about to end.
    #[display("this daemon is about to end")]
    Stopping,
}

/// The result of a caller's request.
pub type Served<T> = Result<T, Failure>;

/// What a caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The HTTP status.
    pub status: u16,
    /// Whether what was asked for has happened.
    pub effective: Effective,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

/// The shortest time to come back that HTTP can tell.
const SOON: Duration = Duration::from_secs(1);
/// When the store is likely to be back: its outages take some seconds.
const AFTER_OUTAGE: Duration = Duration::from_secs(2);

impl Failure {
    /// Its name in metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Failure::NoConfig => "no-config",
            Failure::NoQueue => "no-queue",
            Failure::NoJob => "no-job",
            Failure::NotLetIn(_) => "not-let-in",
            Failure::ConfigTooOld => "config-too-old",
            Failure::Foreign => "foreign",
            Failure::Malformed(_) => "malformed",
            Failure::OverQuota(_) => "over-quota",
            Failure::TooLarge(_) => "too-large",
            Failure::BadMethod => "bad-method",
            Failure::StoreAway => "store-away",
            Failure::StoreSilent => "store-silent",
            Failure::NoLeader => "no-leader",
            Failure::Stopping => "stopping",
        }
    }

    /// What a caller is told.
    pub fn verdict(&self) -> Verdict {
        let verdict = |status, effective, retry_after| Verdict { status, effective, retry_after };
        match self {
            Failure::NoConfig => verdict(503, Effective::No, Some(SOON)),
            Failure::NoQueue => verdict(404, Effective::No, None),
            Failure::NoJob => verdict(410, Effective::No, None),
            Failure::NotLetIn(_) => verdict(401, Effective::No, None),
            Failure::ConfigTooOld => verdict(503, Effective::No, Some(SOON)),
            Failure::Foreign => verdict(403, Effective::No, None),
            Failure::Malformed(_) => verdict(400, Effective::No, None),
            Failure::OverQuota(_) => verdict(422, Effective::No, None),
            Failure::TooLarge(_) => verdict(413, Effective::No, None),
            Failure::BadMethod => verdict(405, Effective::No, None),
            Failure::StoreAway => verdict(503, Effective::No, Some(AFTER_OUTAGE)),
            Failure::StoreSilent => verdict(504, Effective::Unknown, Some(SOON)),
            // A cancelling that was asked for may have reached the leader.
            Failure::NoLeader => verdict(503, Effective::Unknown, Some(SOON)),
            Failure::Stopping => verdict(503, Effective::No, Some(SOON)),
        }
    }
}
