//! Requests between daemons, mostly from any daemon to the leader.
//!
//! Callers connect to any daemon, but only the leader knows the states of jobs. A daemon keeps one
//! `h2` connection to the leader; each request is a stream with one `bincode` message in each
//! direction. A daemon that the store rejects sends its requests to [known peers](known_peers).

mod client;
pub mod known_peers;
mod server;

use std::{collections::BTreeSet, sync::Arc};

use borageswitch_scheduler::{
    job::Submission,
    policy::{
        admission::{AdmissionLimits, AdmissionQuery, Decision},
        manual_limits::LimitSubject,
    },
    reducer::{explain::Subject, view::JobStatus},
};
use borageswitch_types::names::{CallerName, JobName, QueueName};

use crate::{
    keys::LeaderRecord,
    ports::{LeaseId, Revision},
};

pub use self::{
    client::{Client, ExchangeError, RelaySession},
    known_peers::KnownPeers,
    server::serve,
};

/// The largest message: a job as large as the operator's usual limit for a request body.
const MAX_MESSAGE_BYTES: usize = 512 << 10;
/// The header of a request whose sender can decode admission limits. A sender that cannot would
/// close its connection on such a response, and lose the other requests on it.
const LIMITS_HEADER: &str = "limits";

/// A request to another daemon. Except for `Submit`, `Leader`, `RevokeLease` and `StoreHealth`, which
/// any daemon serves, it is meant for the leader.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum PeerRequest {
    /// Read the status of a job.
    Status {
        /// The queue of the job.
        queue: QueueName,
        /// The job.
        job: JobName,
        /// The caller, if the queue requires a key.
        caller: Option<CallerName>,
    },
    /// Cancel a job. The response follows once the cancellation is stored.
    Cancel {
        /// The queue of the job.
        queue: QueueName,
        /// The job.
        job: JobName,
        /// The caller, if the queue requires a key.
        caller: Option<CallerName>,
    },
    /// Notify the leader of a stored job, so that it need not wait for its watch.
    JobStored(Arc<Submission>),
    /// Store a job for a daemon that the store rejects.
    Submit(Box<Submission>),
    /// Count the jobs of a queue that wait for their first start.
    Pending {
        /// The queue.
        queue: QueueName,
    },
    /// Explain the state of a job, host or other subject.
    Explain(Subject),
    /// Dump the scheduler's state.
    Dump,
    /// Read the leader's record from the store. A response shows that the store serves the
    /// receiver.
    Leader,
    /// End the lease of a leader that the store rejects. It has stopped giving orders.
    RevokeLease(LeaseId),
    /// Report whether the store is available to the sender, or to another daemon that told it so.
    StoreHealth {
        /// Whether the store is available.
        available: bool,
        /// Since how many milliseconds.
        since_ms: u64,
    },
    /// Decide on the admission of a job that the sender would refuse by its limits.
    Admission(AdmissionQuery),
    /// Show who waits and who is refused.
    Overload,
}

/// The response to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum PeerResponse {
    /// The status of the job; none if the leader does not know the job.
    Status(Option<JobStatus>),
    /// The job belongs to another caller.
    Foreign,
    /// The number of waiting jobs.
    Pending(u64),
    /// The leader has taken in the job.
    Acknowledged,
    /// The job is stored.
    Accepted,
    /// The job is certainly not stored, or the request is refused.
    Refused,
    /// It is unknown whether the job is stored.
    Indeterminate,
    /// The explanation, one sentence per line; empty if the leader does not know the subject.
    Explained(Vec<String>),
    /// The scheduler's state as JSON.
    Dumped(String),
    /// The receiver does not lead, or cannot respond.
    NotLeading,
    /// The leader's record in the store, and its revision.
    Leader(Option<(LeaderRecord, Revision)>),
    /// The lease has been ended.
    LeaseRevoked,
    /// Whether the store is available to the receiver of a report on it.
    StoreHealth {
        /// Whether the store is available.
        available: bool,
    },
    /// The leader has taken in the job, and these limits are in effect.
    AcknowledgedWithLimits(Arc<AdmissionLimits>),
    /// The decision on the admission of a job.
    Admission(Decision),
    /// The decision on the admission of a job, and the limits in effect. A daemon that refuses all
    /// jobs stores none, so it would not receive limits in any other way.
    AdmissionWithLimits(Decision, Arc<AdmissionLimits>),
    /// One of the responses above, while operators limit these callers and queues.
    WithManualLimits(Box<PeerResponse>, Arc<BTreeSet<LimitSubject>>),
}

impl PeerResponse {
    /// Whether this responds to a notification or a query about a job as only a leader does.
    pub(crate) fn is_from_leader(&self) -> bool {
        matches!(
            self,
            PeerResponse::Acknowledged
                | PeerResponse::AcknowledgedWithLimits(_)
                | PeerResponse::Admission(_)
                | PeerResponse::AdmissionWithLimits(..)
        )
    }

    /// This response without any statement on admission, which falls back to storing jobs.
    pub(crate) fn without_admission(self) -> Self {
        match self {
            PeerResponse::WithManualLimits(response, _) => response.without_admission(),
            PeerResponse::AcknowledgedWithLimits(_) => PeerResponse::Acknowledged,
            PeerResponse::Admission(_) | PeerResponse::AdmissionWithLimits(..) => {
                PeerResponse::NotLeading
            }
            other => other,
        }
    }
}
