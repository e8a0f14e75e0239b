//! What goes into a dispatcher and what comes out of it.

use std::{net::SocketAddr, time::Duration};

use borageswitch_types::{
    ErrorKind, Time,
    error::Ran,
    names::{CallerName, DaemonName, HostName},
    slots::SlotMessage,
};

/// Names one request at one entry.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    derive_more::Display,
)]
pub struct Ticket(pub u64);

/// How urgent a request is.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    derive_more::Display,
)]
#[display(rename_all = "lowercase")]
pub enum Priority {
    /// Starts before all others.
    Urgent,
    /// Somebody waits for the answer.
    #[default]
    Normal,
    /// Nobody waits for the answer.
    Batch,
}

/// A request that asks to be sent.
#[derive(Clone, Debug)]
pub struct Offer {
    /// Names the request from now on.
    pub ticket: Ticket,
    /// Who sent it.
    pub caller: CallerName,
    /// How urgent it is.
    pub priority: Priority,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// What the request does, for run times learned: the method and the path's first parts.
    pub kind: u64,
    /// Whether a second try is harmless and possible: it is idempotent and its body is at hand.
    pub retryable: bool,
}

/// How a try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered.
    Answered {
        /// The HTTP status.
        status: u16,
    },
    /// The target did not answer, or not in full.
    Failed {
        /// Why.
        kind: ErrorKind,
        /// Whether the target may have run the request.
        ran: Ran,
        /// False once a part of the answer has gone to the caller, or the body cannot be sent
        /// again.
        retryable: bool,
    },
    /// The caller went away, and the try was given up.
    Abandoned,
}

/// What happens to a dispatcher.
#[derive(Clone, Debug)]
pub enum DispatchInput {
    /// A request asks to be sent.
    Offered(Offer),
    /// The caller of a waiting or started request has gone away.
    Cancelled(Ticket),
    /// A try has ended; its slot is free.
    Finished(Ticket, Outcome),
    /// Another entry sends a message about slots.
    Slots(DaemonName, SlotMessage),
    /// Time has passed.
    Tick,
}

/// What a dispatcher asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatchOutput {
    /// Send the request to this target now.
    Start {
        /// The request.
        ticket: Ticket,
        /// The target's host.
        host: HostName,
        /// Where the target listens.
        address: SocketAddr,
    },
    /// Answer the request with this error now.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// Why.
        kind: ErrorKind,
        /// When the caller may come back, where the dispatcher knows better than the table.
        retry_after: Option<Duration>,
    },
    /// Send a message about slots to another entry.
    SendSlots(DaemonName, SlotMessage),
}
