//! What goes into a placement, and what comes out.

use borageswitch_types::{
    Time,
    fleet::Reason,
    names::{HostName, JobName, OperationId, TeamName},
};

use crate::placement::{
    hosts::HostRoom,
    job::{Job, Outcome, Size},
};

/// What a team may use at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct TeamQuota {
    /// Weight against the other teams that wait.
    pub weight: u32,
    /// The most that its jobs hold at once, over all pools.
    pub limit: Size,
}

/// What happens to jobs and hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A team submits a job; a known name changes nothing.
    Submit {
        /// Its name.
        name: JobName,
        /// The job.
        job: Job,
    },
    /// A job is no longer wanted.
    Cancel {
        /// Its name.
        name: JobName,
    },
    /// All jobs of a team are no longer wanted.
    CancelTeam {
        /// The team.
        team: TeamName,
    },
    /// The intent to start a job is recorded.
    Recorded {
        /// The job.
        name: JobName,
        /// The start.
        operation: OperationId,
    },
    /// The intent to start a job is certainly not recorded and will not be.
    NotRecorded {
        /// The job.
        name: JobName,
        /// The start.
        operation: OperationId,
    },
    /// An agent has started a job.
    Started {
        /// The job.
        name: JobName,
        /// The start.
        operation: OperationId,
    },
    /// An agent has not started a job and never will under this operation.
    NotStarted {
        /// The job.
        name: JobName,
        /// The start.
        operation: OperationId,
    },
    /// An agent reports what a job uses, with a lag.
    Usage {
        /// The job.
        name: JobName,
        /// The start.
        operation: OperationId,
        /// The most that it has used so far.
        peak: Size,
    },
    /// A job has written its checkpoint.
    Checkpointed {
        /// The job.
        name: JobName,
        /// The start.
        operation: OperationId,
    },
    /// A job was stopped before its end.
    Stopped {
        /// The job.
        name: JobName,
        /// The start.
        operation: OperationId,
    },
    /// A job has ended by itself.
    Finished {
        /// The job.
        name: JobName,
        /// The start.
        operation: OperationId,
        /// What went wrong, if anything.
        failure: Option<Reason>,
    },
    /// A host joins or has changed; one that leaves has its jobs end, or checkpointed and moved.
    HostSet {
        /// The host.
        name: HostName,
        /// What it has.
        host: HostRoom,
    },
    /// An agent has renewed the leases of its host's tasks.
    KeptAlive {
        /// The host.
        name: HostName,
        /// When it was asked to, as [`Effect::KeepAlive`] told.
        asked: Time,
    },
    /// A host is switched off or rebooted for certain: none of its tasks runs any more.
    HostGone {
        /// The host.
        name: HostName,
    },
    /// A team's quota is set.
    QuotaSet {
        /// The team.
        team: TeamName,
        /// The quota.
        quota: TeamQuota,
    },
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Record the intent to start a job, so that it lasts.
    Record {
        /// The job.
        name: JobName,
        /// The host.
        host: HostName,
        /// The start.
        operation: OperationId,
    },
    /// Tell an agent to start a job.
    Start {
        /// The job.
        name: JobName,
        /// The host.
        host: HostName,
        /// The start.
        operation: OperationId,
        /// What the agent lets it have.
        size: Size,
    },
    /// Ask an agent to renew the leases of its host's tasks.
    KeepAlive {
        /// The host.
        host: HostName,
        /// Now; the answer carries it back.
        asked: Time,
    },
    /// Ask an agent what has become of a start.
    Ask {
        /// The job.
        name: JobName,
        /// The host.
        host: HostName,
        /// The start.
        operation: OperationId,
    },
    /// Tell an agent to have a job write its checkpoint.
    Checkpoint {
        /// The job.
        name: JobName,
        /// The host.
        host: HostName,
        /// The start.
        operation: OperationId,
    },
    /// Tell an agent to stop a job.
    Stop {
        /// The job.
        name: JobName,
        /// The host.
        host: HostName,
        /// The start.
        operation: OperationId,
    },
    /// Tell whoever submitted a job how it has ended.
    Answer {
        /// The job.
        name: JobName,
        /// How.
        outcome: Outcome,
    },
}
