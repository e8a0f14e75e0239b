//! Effects: the actions that the reducer requests from the runtime.

use std::{net::SocketAddr, ops::RangeInclusive, sync::Arc, time::Duration};

use borageswitch_types::{
    Time,
    names::{ExecutorName, HostName, JobName, PoolName, QueueName},
    time::UnixMillis,
};

use crate::{
    ledger::{record::Record, snapshot::Snapshot},
    task::{StepKey, TaskKey},
};

/// The incarnation of an executor that an order is for, and its address.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Recipient {
    /// The incarnation; any other one at the same address rejects the order.
    pub executor: ExecutorName,
    /// Where the executor accepts orders.
    pub address: SocketAddr,
}

/// An order to start a run.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StartOrder {
    /// The task to run.
    pub task: TaskKey,
    /// The number of the run, unique among the runs of the task.
    pub run: u32,
    /// The payload of the job.
    pub payload: Arc<str>,
    /// When the executor's lease expires, in milliseconds by its clock.
    pub until_ms: u64,
    /// The checkpoint to resume from.
    pub checkpoint: Option<Arc<str>>,
    /// The ticket by which the advisor permits the run on this executor.
    pub ticket: Option<Arc<str>>,
}

/// A poll of an executor, which may extend its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PollOrder {
    /// The new end of the executor's lease, in milliseconds by its clock, if it is extended.
    pub until_ms: Option<u64>,
    /// Acknowledges ended runs up to this number.
    pub acknowledged: u64,
    /// How long the executor may wait for a run to end before it responds.
    pub wait: Duration,
}

/// An order for a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostOrder {
    /// Move the host to another pool.
    Move(PoolName),
    /// Maintain the host as part of the wave with this number.
    Maintain(u64),
}

/// An action for the runtime. Effects must be dispatched in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Store records. Effects that depend on them are returned only after the records are stored.
    Append {
        /// The sequence number of the append, one more than that of the last append.
        append: u64,
        /// The wall clock of the leader, which is stored with the records.
        at: UnixMillis,
        /// The sequence number of the first append of the leader, which is stored with the records.
        term: u64,
        /// The records to store.
        records: Vec<Record>,
        /// Jobs whose stored submissions are deleted by the same call. Their ends are among these
        /// records or those of earlier appends.
        forget: Vec<JobName>,
    },
    /// Store a snapshot of the ledger, then remove the appends that it includes.
    StoreSnapshot {
        /// The state of the ledger to store.
        snapshot: Box<Snapshot>,
        /// The sequence numbers of the appends to remove once the snapshot is stored.
        remove: RangeInclusive<u64>,
    },
    /// Start a run on an executor.
    Start(Recipient, StartOrder),
    /// Stop a run, given by its task and number.
    Stop(Recipient, TaskKey, u32),
    /// Poll an executor for its runs.
    Poll(Recipient, PollOrder),
    /// Limit the speed of a run, given by its task and number, to a percentage of its full speed.
    LimitSpeed(Recipient, TaskKey, u32, u8),
    /// Request from the advisor which of these executors may run a step.
    RequestAdvice {
        /// The step.
        step: StepKey,
        /// The executors.
        executors: Vec<ExecutorName>,
        /// After how long the request is given up.
        timeout: Duration,
    },
    /// Read the list of hosts from the platform. The response repeats the time of the request.
    ListHosts {
        /// When the list was requested.
        requested: Time,
    },
    /// Send an order for a host to the platform.
    OrderHost(HostName, HostOrder),
    /// Report the state of a wave to the operator.
    ReportWave {
        /// The number of the wave.
        wave: u64,
        /// All hosts of the wave that still exist have been maintained.
        completed: bool,
    },
    /// Give up leadership, because another leader has taken over.
    StepDown,
    /// Write a line to the log.
    Log(LogLine),
    /// Increment a counter.
    Count(CountedEvent),
}

/// An event that is counted in the metrics, by queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CountedEvent {
    /// An executor crashed while it ran tasks of the queue.
    Crash(QueueName),
    /// A task of the queue was given up because it crashes executors.
    GivenUp(QueueName),
}

/// A log line on a decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// The kind of decision, a fixed text by which lines can be filtered and counted.
    pub kind: &'static str,
    /// The job, task, host or wave concerned.
    pub subject: Arc<str>,
    /// The inputs of the decision with their age, and the outcome.
    pub detail: String,
}
