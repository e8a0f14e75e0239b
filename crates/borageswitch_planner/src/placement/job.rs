//! Jobs, their sizes and how they stand.

use std::{collections::BTreeSet, time::Duration};

use borageswitch_types::{
    Time,
    fleet::Reason,
    names::{HostName, OperationId, PoolName, TeamName},
};

/// What a job takes of a host, or a host has to give.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Size {
    /// Processors, in thousandths of a core.
    pub millicores: u64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl Size {
    /// Whether this fits into `room`.
    pub fn fits(&self, room: &Size) -> bool {
        self.lacking(room).is_none()
    }

    /// Names the first part of this for which `room` is too small.
    pub fn lacking(&self, room: &Size) -> Option<&'static str> {
        match () {
            () if self.millicores > room.millicores => Some("processors"),
            () if self.memory_mb > room.memory_mb => Some("memory"),
            () if self.accelerators > room.accelerators => Some("accelerators"),
            () => None,
        }
    }

    /// Both together.
    pub fn plus(&self, other: &Size) -> Size {
        self.with(other, u64::saturating_add)
    }

    /// What is left of this without `other`.
    pub fn minus(&self, other: &Size) -> Size {
        self.with(other, u64::saturating_sub)
    }

    /// The larger of each part.
    pub fn largest(&self, other: &Size) -> Size {
        self.with(other, u64::max)
    }

    fn with(&self, other: &Size, join: fn(u64, u64) -> u64) -> Size {
        Size {
            millicores: join(self.millicores, other.millicores),
            memory_mb: join(self.memory_mb, other.memory_mb),
            accelerators: join(self.accelerators, other.accelerators),
        }
    }

    /// Processors and memory times `percent` of a hundred; accelerators cannot be divided.
    pub fn percent(&self, percent: u64) -> Size {
        Size {
            millicores: self.millicores * percent / 100,
            memory_mb: self.memory_mb * percent / 100,
            accelerators: self.accelerators,
        }
    }
}

/// How soon a job has to start; the first goes first.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub enum Urgency {
    /// Within [`URGENT_START`](super::URGENT_START): others give way.
    Urgent,
    /// In its turn.
    Normal,
    /// When nothing else needs the room; the first to give way.
    Low,
}

/// What a team submits.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Job {
    /// The team whose quota it counts against.
    pub team: TeamName,
    /// Jobs of one kind are alike: what one has used says what the next will use.
    pub kind: Reason,
    /// The pool on whose hosts it runs.
    pub pool: PoolName,
    /// What it takes, as its team believes.
    pub declared: Size,
    /// How long it takes, as its team believes.
    pub declared_run: Duration,
    /// How soon it has to start.
    pub urgency: Urgency,
    /// Whether it may be run again after a start that may have happened.
    pub idempotent: bool,
    /// Whether it can be checkpointed and go on elsewhere.
    pub checkpoints: bool,
}

/// Why a job that runs is to end on its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum StopReason {
    /// It was cancelled.
    Cancelled,
    /// An urgent job needs the room.
    GivesWay,
    /// Its host is to stop.
    HostLeaves,
    /// The jobs on its host use more than it has.
    HostFull,
}

/// How a job has ended; nothing changes it any more.
#[derive(
    Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, derive_more::Display,
)]
pub enum Outcome {
    /// It has done its work.
    #[display("done")]
    Done,
    /// It has run and failed.
    #[display("failed: {reason}")]
    Failed {
        /// What was seen.
        reason: Reason,
    },
    /// It was cancelled; `ran` tells whether it had been started.
    #[display("cancelled")]
    Cancelled {
        /// Whether it had been started.
        ran: bool,
    },
    /// It was not run: it never could be.
    #[display("refused: {reason}")]
    Refused {
        /// What it lacks.
        reason: Reason,
    },
    /// It must not run twice, and whether it has run cannot be told.
    #[display("unknown: {reason}")]
    Unknown {
        /// Why it cannot be told.
        reason: Reason,
    },
}

/// How a job stands.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum JobState {
    /// It waits for room, at least until `not_before`.
    Waiting {
        /// When it began to wait.
        since: Time,
        /// It is not started before.
        not_before: Time,
    },
    /// Room on a host is kept for it, which others still hold.
    Claiming {
        /// The host.
        host: HostName,
        /// When it began to wait.
        since: Time,
    },
    /// The intent to start it is being recorded; no start has left.
    Intended {
        /// The host.
        host: HostName,
        /// The id of the start.
        operation: OperationId,
    },
    /// The intent is recorded and the start may have left.
    Starting {
        /// The host.
        host: HostName,
        /// The id of the start.
        operation: OperationId,
        /// Since when.
        since: Time,
    },
    /// Its host has confirmed the start.
    Running {
        /// The host.
        host: HostName,
        /// The id of the start.
        operation: OperationId,
        /// Since when.
        since: Time,
    },
    /// It is asked to end; first to write a checkpoint, if it can.
    Stopping {
        /// The host.
        host: HostName,
        /// The id of the start.
        operation: OperationId,
        /// Why.
        why: StopReason,
        /// When the checkpoint was asked for, if the stop has not been asked for yet.
        checkpoint_since: Option<Time>,
    },
    /// It has ended.
    Ended(Outcome),
}

impl JobState {
    /// The host on which it takes room.
    pub fn host(&self) -> Option<&HostName> {
        match self {
            JobState::Waiting { .. } | JobState::Ended(_) => None,
            JobState::Claiming { host, .. }
            | JobState::Intended { host, .. }
            | JobState::Starting { host, .. }
            | JobState::Running { host, .. }
            | JobState::Stopping { host, .. } => Some(host),
        }
    }

    /// The id of its start.
    pub fn operation(&self) -> Option<&OperationId> {
        match self {
            JobState::Waiting { .. } | JobState::Claiming { .. } | JobState::Ended(_) => None,
            JobState::Intended { operation, .. }
            | JobState::Starting { operation, .. }
            | JobState::Running { operation, .. }
            | JobState::Stopping { operation, .. } => Some(operation),
        }
    }
}

/// A job with its history.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct JobRecord {
    /// What was submitted.
    pub job: Job,
    /// Counts submissions: the earlier goes first.
    pub sequence: u64,
    /// How it stands.
    pub state: JobState,
    /// What is reserved for it on its host.
    pub size: Size,
    /// The most that its agent has reported of this run, if anything.
    pub peak: Option<Size>,
    /// How often a start has left for it.
    pub starts: u32,
    /// Hosts on which it has failed.
    pub failed_on: BTreeSet<HostName>,
}
