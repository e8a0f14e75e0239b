//! The keys of the state that this project stores.
//!
//! | key | value | written by |
//! |---|---|---|
//! | `bs/leader` | [`LeaderRecord`], under the leader's lease | the leader |
//! | `bs/in/j/JOB` | a [`Submission`](borageswitch_scheduler::job::Submission) | any daemon that accepts a job |
//! | `bs/in/c/JOB` | a [`CancelMark`](crate::cancel_marks::CancelMark): the job's caller cancelled it | any daemon, while the leader cannot be reached or does not know the job |
//! | `bs/in/l/q/QUEUE`, `bs/in/l/c/CALLER` | a limit in jobs per second, as text ([`crate::manual_limits`]) | an operator |
//! | `bs/log/NUMBER` | the [`Record`](borageswitch_scheduler::ledger::record::Record)s of an append | the leader |
//! | `bs/snapshot` | a [`Snapshot`](borageswitch_scheduler::ledger::snapshot::Snapshot) | the leader |

use std::{net::SocketAddr, sync::Arc};

use borageswitch_types::names::JobName;

/// The key of the leader.
pub const LEADER: &str = "bs/leader";
/// The key prefix of accepted and cancelled jobs, and of manual limits.
pub const INTAKE: &str = "bs/in/";
/// The key prefix of accepted jobs.
pub const JOBS: &str = "bs/in/j/";
/// The key prefix of cancelled jobs.
pub const CANCELS: &str = "bs/in/c/";
/// The key prefix of manual limits.
pub const MANUAL_LIMITS: &str = "bs/in/l/";
/// The key prefix of appends.
pub const LOG: &str = "bs/log/";
/// The key of the snapshot of the ledger.
pub const SNAPSHOT: &str = "bs/snapshot";

/// The stored record of the leader.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LeaderRecord {
    /// The name of the daemon.
    pub name: Arc<str>,
    /// The address at which it serves its peers.
    pub address: SocketAddr,
    /// A random number per campaign, which identifies the write if its response is lost.
    pub nonce: u64,
}

/// The key of an accepted job.
pub fn job(job: &JobName) -> Arc<str> {
    Arc::from(format!("{JOBS}{job}"))
}

/// The key of the cancellation of a job.
pub fn cancel(job: &JobName) -> Arc<str> {
    Arc::from(format!("{CANCELS}{job}"))
}

/// The key of an append. The keys sort by number.
pub fn append(number: u64) -> Arc<str> {
    Arc::from(format!("{LOG}{number:016x}"))
}

/// The number of the append with this key.
pub fn append_number(key: &str) -> Option<u64> {
    u64::from_str_radix(key.strip_prefix(LOG)?, 16).ok()
}
