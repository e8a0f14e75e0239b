//! What can happen to a job, as it is stored.

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
    /// A task has failed as often as it may.
    #[display("failed")]
    Failed,
    /// Its caller cancelled it.
    #[display("cancelled")]
    Cancelled,
}

/// One change of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Record {
    /// A run is about to be started. Stored before the order leaves, so that whoever leads next
    /// knows where the task may be running.
    Assigned {
        /// The task.
        task: TaskKey,
        /// The run.
        run: u32,
        /// Where.
        executor: ExecutorName,
    },
    /// It is proved that a run does not run and never will.
    Released {
        /// The task.
        task: TaskKey,
        /// The run.
        run: u32,
    },
    /// A run ended. Stored before the end is acknowledged: the executor forgets it then, and a
    /// task whose end nobody knows would run again.
    Ended {
        /// Who listed the end.
        executor: ExecutorName,
        /// Counts the executor's ends.
        number: u64,
        /// The task.
        task: TaskKey,
        /// The run.
        run: u32,
        /// How it ended.
        how: EndKind,
        /// What it saved last.
        checkpoint: Option<Arc<str>>,
    },
    /// An occurrence of a timed job is due.
    Due {
        /// The job.
        job: JobName,
        /// Which occurrence.
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
        /// When.
        at: UnixMillis,
    },
    /// Outcomes from before this time are dropped.
    Forgotten {
        /// The time.
        before: UnixMillis,
    },
    /// An executor's life is over: its ends will not be listed again.
    ExecutorGone {
        /// The executor.
        executor: ExecutorName,
    },
    /// Another leader has begun. The first record of each leader.
    TermBegan,
    /// The leader has led for so long. The last record of each append while orders for hosts are
    /// kept in mind: it tells the next leader how old they are at least, on no clock but this one.
    Led {
        /// The time since the leader took over, in milliseconds.
        millis: u64,
    },
    /// An order for a host is about to leave.
    HostOrdered {
        /// The host.
        host: HostName,
    },
    /// The platform has answered the last order for a host, so none is on its way any more.
    HostOrderSettled {
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
    /// Every host of a wave that stays has been maintained.
    WaveCompleted {
        /// The wave.
        wave: u64,
    },
    /// A run of a job that ends may be on an executor still. Its job is forgotten with its end, so
    /// without this the next leader would not count it for its caller's quota.
    Leftover {
        /// The task.
        task: TaskKey,
        /// What is left of it.
        leftover: Leftover,
    },
    /// An executor has crashed, and these tasks may be the cause. Kept in the leader's memory alone,
    /// the count would begin anew with each leader.
    Crashed {
        /// What it means for each of them.
        suspicions: Vec<Suspicion>,
    },
    /// A run of a task has lived for so long: crashes that came sooner say nothing against it.
    Lived {
        /// The task.
        task: TaskKey,
        /// How long, in milliseconds.
        millis: u64,
    },
    /// A task is not started any more, as executors crash under it.
    GivenUp {
        /// The task.
        task: TaskKey,
    },
}

/// A run of a job that has ended, which is being stopped.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Leftover {
    /// Where it is.
    pub executor: ExecutorName,
    /// The run.
    pub run: u32,
    /// The room that it takes.
    pub size: Size,
    /// What it uses of its caller's quota.
    pub charge: Charge,
}

impl Record {
    /// The job that it is about.
    pub fn job(&self) -> Option<&JobName> {
        match self {
            Record::Assigned { task, .. }
            | Record::Released { task, .. }
            | Record::Ended { task, .. }
            | Record::Lived { task, .. }
            | Record::GivenUp { task } => Some(&task.job),
            Record::Due { job, .. } | Record::Finished { job, .. } => Some(job),
            Record::Forgotten { .. }
            | Record::ExecutorGone { .. }
            | Record::TermBegan
            | Record::Led { .. }
            | Record::HostOrdered { .. }
            | Record::HostOrderSettled { .. }
            | Record::Maintained { .. }
            | Record::WaveCompleted { .. }
            | Record::Leftover { .. }
            | Record::Crashed { .. } => None,
        }
    }
}
