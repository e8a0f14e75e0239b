//! The records of the ledger: everything that can happen to a job, as it is stored.

use std::sync::Arc;

use borageswitch_types::{
    names::{ExecutorName, HostName, JobName, QueueName},
    time::UnixMillis,
};

use crate::{
    executor::EndKind, job::Size, ledger::crashes::Suspicion, policy::quotas::Charge, task::TaskKey,
};

/// How a job ended.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, derive_more::Display,
)]
pub enum Outcome {
    /// Every task is done.
    #[display("completed")]
    Completed,
    /// A task has used up its attempts.
    #[display("failed")]
    Failed,
    /// Its caller cancelled it.
    #[display("cancelled")]
    Cancelled,
}

/// One change of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Record {
    /// A run is about to be started. Stored before the order is sent, so that the next leader knows
    /// where the task may be running.
    Assigned {
        /// The task.
        task: TaskKey,
        /// The run.
        run: u32,
        /// The executor.
        executor: ExecutorName,
    },
    /// It is proved that a run neither runs nor ever will.
    Released {
        /// The task.
        task: TaskKey,
        /// The run.
        run: u32,
    },
    /// A run ended. Stored before the end is acknowledged: the executor discards it then, and a
    /// task whose end is unknown would run again.
    Ended {
        /// The executor that reported the end.
        executor: ExecutorName,
        /// The sequence number of the end on this executor.
        number: u64,
        /// The task.
        task: TaskKey,
        /// The run.
        run: u32,
        /// How it ended.
        kind: EndKind,
        /// The last checkpoint of the run.
        checkpoint: Option<Arc<str>>,
    },
    /// An occurrence of a scheduled job is due.
    Due {
        /// The job.
        job: JobName,
        /// The occurrence.
        occurrence: u32,
    },
    /// A job has ended.
    Finished {
        /// The job.
        job: JobName,
        /// Its queue.
        queue: QueueName,
        /// How it ended.
        outcome: Outcome,
        /// When it ended, by the wall clock of the leader.
        at: UnixMillis,
    },
    /// Outcomes of jobs that ended before this time are dropped.
    OutcomesDropped {
        /// The time.
        before: UnixMillis,
    },
    /// The incarnation of an executor has ended: it will not report its ends again.
    ExecutorGone {
        /// The executor.
        executor: ExecutorName,
    },
    /// The term of another leader has begun. This is the first record of each leader.
    TermBegan,
    /// How long the leader has led. This is the last record of each append while recent orders for
    /// hosts are kept: it tells the next leader the minimum age of these orders, measured by a
    /// single clock.
    TermTime {
        /// The time since the leader took over, in milliseconds.
        millis: u64,
    },
    /// An order for a host is about to be sent.
    HostOrdered {
        /// The host.
        host: HostName,
    },
    /// The platform has responded to the last order for a host, so no order is in flight any more.
    HostOrderAnswered {
        /// The host.
        host: HostName,
        /// The time since the leader took over, in milliseconds.
        millis: u64,
    },
    /// The platform has begun to maintain a host.
    Maintained {
        /// The wave.
        wave: u64,
        /// The host.
        host: HostName,
    },
    /// Every remaining host of a wave has been maintained.
    WaveCompleted {
        /// The wave.
        wave: u64,
    },
    /// A run of an ending job may still be on an executor. The job is dropped with its end, so
    /// without this record the next leader would not count the run for the caller's quota.
    LingeringRun {
        /// The task.
        task: TaskKey,
        /// The run.
        lingering: LingeringRun,
    },
    /// An executor has crashed, and these tasks may be the cause. If the crashes were kept only in
    /// the memory of the leader, each leader would count them anew.
    Crashed {
        /// The evidence against each of the tasks.
        suspicions: Vec<Suspicion>,
    },
    /// A run of a task has lived long enough to exonerate the task from earlier crashes.
    Survived {
        /// The task.
        task: TaskKey,
        /// How long the run has lived, in milliseconds.
        millis: u64,
    },
    /// A task is not started any more, as it crashes executors.
    GivenUp {
        /// The task.
        task: TaskKey,
    },
}

/// The records of one append, as they are stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StoredAppend {
    /// The records.
    pub records: Vec<Record>,
    /// When the append was sent, by the wall clock of the leader. This field was added later:
    /// appends of earlier daemons end before it, and it is 0.
    pub at: UnixMillis,
    /// The number of the first append of the leader that sent it. This field was added later:
    /// appends of earlier daemons end before it, and it is 0.
    pub term: u64,
}

/// A run of an ended job that is being stopped.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LingeringRun {
    /// The executor that it is on.
    pub executor: ExecutorName,
    /// The run.
    pub run: u32,
    /// The capacity that is reserved for it.
    pub size: Size,
    /// Its usage of the caller's quota.
    pub charge: Charge,
}

impl Record {
    /// Returns the job that the record is about, if it is a single one.
    pub fn job(&self) -> Option<&JobName> {
        match self {
            Record::Assigned { task, .. }
            | Record::Released { task, .. }
            | Record::Ended { task, .. }
            | Record::Survived { task, .. }
            | Record::GivenUp { task } => Some(&task.job),
            Record::Due { job, .. } | Record::Finished { job, .. } => Some(job),
            Record::OutcomesDropped { .. }
            | Record::ExecutorGone { .. }
            | Record::TermBegan
            | Record::TermTime { .. }
            | Record::HostOrdered { .. }
            | Record::HostOrderAnswered { .. }
            | Record::Maintained { .. }
            | Record::WaveCompleted { .. }
            | Record::LingeringRun { .. }
            | Record::Crashed { .. } => None,
        }
    }
}
