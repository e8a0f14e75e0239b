//! The layout of what this project stores.
//!
//! | key | value | written by |
//! |---|---|---|
//! | `bs/leader` | [`LeaderRecord`], under the leader's lease | whoever leads |
//! | `bs/in/j/JOB` | a [`Submission`](borageswitch_scheduler::job::Submission) | any daemon that accepts a job |
//! | `bs/in/c/JOB` | empty: the job's caller cancelled it | any daemon, while it cannot ask the leader |
//! | `bs/log/NUMBER` | the [`Record`](borageswitch_scheduler::ledger::record::Record)s of an append | the leader |
//! | `bs/snapshot` | a [`Snapshot`](borageswitch_scheduler::ledger::snapshot::Snapshot) | the leader |

use std::{net::SocketAddr, sync::Arc};

use borageswitch_types::names::JobName;

/// Who leads.
pub const LEADER: &str = "bs/leader";
/// What all keys begin with that tell the leader of jobs.
pub const INTAKE: &str = "bs/in/";
/// What the keys of accepted jobs begin with.
pub const JOBS: &str = "bs/in/j/";
/// What the keys of cancelled jobs begin with.
pub const CANCELS: &str = "bs/in/c/";
/// What the keys of appends begin with.
pub const LOG: &str = "bs/log/";
/// The ledger at one point.
pub const SNAPSHOT: &str = "bs/snapshot";

/// What is stored of the daemon that leads.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LeaderRecord {
    /// Its name.
    pub name: Arc<str>,
    /// Where it answers other daemons.
    pub address: SocketAddr,
    /// Drawn anew for each try to lead, so that a write whose answer was lost is recognised.
    pub nonce: u64,
}

/// The key of an accepted job.
pub fn job(job: &JobName) -> Arc<str> {
    Arc::from(format!("{JOBS}{job}"))
}

/// The key that says that a job is cancelled.
pub fn cancel(job: &JobName) -> Arc<str> {
    Arc::from(format!("{CANCELS}{job}"))
}

/// The key of an append. Keys are in the order of the numbers.
pub fn append(number: u64) -> Arc<str> {
    Arc::from(format!("{LOG}{number:016x}"))
}

/// The number of an append, from its key.
pub fn append_number(key: &str) -> Option<u64> {
    u64::from_str_radix(key.strip_prefix(LOG)?, 16).ok()
}
