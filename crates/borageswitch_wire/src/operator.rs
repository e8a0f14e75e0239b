//! What operators may ask of a daemon and what they are answered.

use std::{sync::Arc, time::Duration};

use borageswitch_types::{
    fleet::{ChangeRequest, Refusal, Revision},
    names::{DaemonName, HostName, PoolName, WaveName},
};

/// What an explanation is asked about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// A host.
    Host(HostName),
    /// A pool.
    Pool(PoolName),
    /// A wave.
    Wave(WaveName),
    /// A request, by the id that its caller chose.
    Request(Arc<str>),
}

/// What an operator asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorRequest {
    /// Change the fleet document.
    Change(Box<ChangeRequest>),
    /// Wait until a revision is in force at every live daemon.
    WaitInForce {
        /// The revision.
        revision: Revision,
        /// How long to wait at the most.
        timeout: Duration,
    },
    /// Show the fleet document.
    GetFleet,
    /// Show the daemon's whole state as JSON.
    Dump,
    /// Tell why something is as it is.
    Explain(Subject),
}

/// What an operator is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorAnswer {
    /// The change is accepted.
    Accepted {
        /// The revision that it made.
        revision: Revision,
    },
    /// The change is refused; nothing was changed.
    Refused(Refusal),
    /// The store did not say whether the change was accepted: ask again with the same operation id.
    Undecided {
        /// What was tried.
        detail: Arc<str>,
    },
    /// Whether a revision is in force everywhere.
    InForce {
        /// The revision asked about.
        revision: Revision,
        /// The daemons that have not confirmed it; empty when it is in force.
        lagging: Vec<DaemonName>,
    },
    /// A document as JSON text.
    Json(String),
    /// An explanation, one sentence a line.
    Explanation(Vec<Arc<str>>),
    /// What was asked about is not known.
    NotFound,
}
