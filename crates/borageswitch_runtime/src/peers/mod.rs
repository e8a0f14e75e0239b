//! Carries questions from any daemon to the one that leads.
//!
//! Callers reach any daemon, but only the leader knows how jobs stand. A daemon keeps one `h2`
//! connection to the leader; each question is a stream with a `bincode` message either way. Whom the
//! store turns away asks other daemons that it has met ([`acquaintances`]).

pub mod acquaintances;
mod client;
mod server;

use std::sync::Arc;

use borageswitch_scheduler::{
    job::Submission,
    reducer::{explain::Subject, view::JobStatus},
};
use borageswitch_types::names::{CallerName, JobName, QueueName};

use crate::{
    keys::LeaderRecord,
    ports::{LeaseId, Revision},
};

pub use self::{acquaintances::Acquaintances, client::Client, server::serve};

/// The largest message, in bytes: a job as large as the operator's usual limit for a body.
const MAX_MESSAGE: usize = 512 << 10;

/// What a daemon asks the leader.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Question {
    /// How a job stands.
    Status {
        /// Its queue.
        queue: QueueName,
        /// The job.
        job: JobName,
        /// Who asks, if a key was needed.
        caller: Option<CallerName>,
    },
    /// Cancel a job; answered once that is stored.
    Cancel {
        /// Its queue.
        queue: QueueName,
        /// The job.
        job: JobName,
        /// Who asks, if a key was needed.
        caller: Option<CallerName>,
    },
    /// A job was stored: the leader need not wait until its watch tells.
    Stored(Arc<Submission>),
    /// Store a job for a daemon that the store turns away.
    Submit(Box<Submission>),
    /// How many jobs of a queue wait for their first start.
    Pending {
        /// The queue.
        queue: QueueName,
    },
    /// Why something is as it is.
    Explain(Subject),
    /// What the leader believes.
    Dump,
    /// Who leads, and whether the store serves whoever is asked.
    Leader,
    /// End the lease of a leader that the store turns away, and that gives no orders any more.
    Relieve(LeaseId),
}

/// What the leader answers.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Answer {
    /// How the job stands; nothing if the leader knows of none.
    Status(Option<JobStatus>),
    /// The job is another caller's.
    Foreign,
    /// How many jobs wait.
    Pending(u64),
    /// The leader knows of the job.
    Noted,
    /// The job is stored.
    Accepted,
    /// It is proved that the job is not stored.
    Refused,
    /// The job may be stored or not.
    Unsettled,
    /// Sentences; none if the leader does not know of it.
    Explained(Vec<String>),
    /// What the leader believes, as JSON.
    Dumped(String),
    /// This daemon does not lead.
    NotLeading,
    /// Who leads by the store, and since which revision.
    Leader(Option<(LeaderRecord, Revision)>),
    /// The lease is ended.
    Relieved,
}
