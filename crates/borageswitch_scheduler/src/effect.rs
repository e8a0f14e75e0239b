//! What the reducer asks for.

use std::{net::SocketAddr, ops::RangeInclusive, sync::Arc, time::Duration};

use borageswitch_types::names::{ExecutorName, HostName, JobName, PoolName, QueueName};

use crate::{
    ledger::{record::Record, snapshot::Snapshot},
    task::{StepKey, TaskKey},
};

/// Which life at which address an order is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recipient {
    /// The life; any other that answers there refuses.
    pub executor: ExecutorName,
    /// Where.
    pub address: SocketAddr,
}

/// A start of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: u32,
    /// The job's text.
    pub text: Arc<str>,
    /// Until when the executor may run things, in milliseconds by its clock.
    pub until_ms: u64,
    /// Where to go on from.
    pub checkpoint: Option<Arc<str>>,
    /// The advisor's permission.
    pub ticket: Option<Arc<str>>,
}

/// A look at an executor, which may prolong its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LookOrder {
    /// Until when the executor may run things, in milliseconds by its clock.
    pub until_ms: Option<u64>,
    /// Ends up to this number are acknowledged.
    pub acknowledged: u64,
    /// How long the executor may wait for an end before it answers.
    pub wait: Duration,
}

/// An order for a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostOrder {
    /// Change the pool.
    Move(PoolName),
    /// Be maintained as part of a wave.
    Maintain(u64),
}

/// What the reducer asks for, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Store records; only then do effects follow that depend on them.
    Append {
        /// The number of the append, one more than the last.
        append: u64,
        /// What to store.
        records: Vec<Record>,
        /// Jobs whose stored submission is no longer needed.
        forget: Vec<JobName>,
    },
    /// Store the ledger whole, and remove appends that are part of it.
    StoreSnapshot {
        /// The ledger.
        snapshot: Box<Snapshot>,
        /// The numbers of the appends to remove.
        remove: RangeInclusive<u64>,
    },
    /// Start a run.
    Start(Recipient, StartOrder),
    /// Stop a run.
    Stop(Recipient, TaskKey, u32),
    /// Look at an executor.
    Look(Recipient, LookOrder),
    /// Let a run work at a share of its speed, in percent.
    Pace(Recipient, TaskKey, u32, u8),
    /// Ask which of these executors may run a step.
    Advise(StepKey, Vec<ExecutorName>),
    /// Read the platform's list of hosts.
    ListHosts,
    /// Give an order for a host.
    Host(HostName, HostOrder),
    /// Tell the operator how a wave stands.
    ReportWave {
        /// The wave.
        wave: u64,
        /// Every host that stays has been maintained.
        completed: bool,
    },
    /// Give up the leadership: another leader is there.
    StepDown,
    /// Write one line to the log.
    Log(LogLine),
    /// Count something.
    Count(Tally),
}

/// What is counted beside the log, by queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Tally {
    /// An executor has crashed while tasks of the queue ran there.
    Crash(QueueName),
    /// A task of the queue was given up, as executors crash under it.
    GivenUp(QueueName),
}

/// A decision worth a line in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// What was decided; a fixed text, so that lines of a kind can be counted.
    pub kind: &'static str,
    /// The job, task, host or wave that it is about.
    pub subject: Arc<str>,
    /// The inputs that decided it, with their age, and the outcome.
    pub detail: String,
}
