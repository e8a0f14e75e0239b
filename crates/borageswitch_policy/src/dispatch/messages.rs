//! The inputs and outputs of a dispatcher.

use std::{net::SocketAddr, time::Duration};

use borageswitch_types::{
    ErrorKind, Time,
    error::Ran,
    names::{CallerName, DaemonName, HostName},
    slots::SlotMessage,
};

/// Identifies one request at one entry.
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
    /// Somebody waits for the response.
    #[default]
    Normal,
    /// Nobody waits for the response.
    Batch,
}

/// A request to be sent to a target.
#[derive(Clone, Debug)]
pub struct Offer {
    /// Identifies the request from now on.
    pub ticket: Ticket,
    /// The caller that sent it.
    pub caller: CallerName,
    /// How urgent it is.
    pub priority: Priority,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// The method and the first parts of the path, by which run times are estimated.
    pub kind: u64,
    /// Whether the request can be retried without harm: it is idempotent and its body is available.
    pub retryable: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered.
    Answered {
        /// The HTTP status.
        status: u16,
    },
    /// The target did not answer, or not completely.
    Failed {
        /// The cause.
        kind: ErrorKind,
        /// Whether the target may have run the request.
        ran: Ran,
        /// False once a part of the response has been sent to the caller, or if the body cannot be
        /// sent again.
        retryable: bool,
    },
    /// The caller disconnected, and the attempt was abandoned.
    Abandoned,
}

/// The events that a dispatcher handles.
#[derive(Clone, Debug)]
pub enum DispatchInput {
    /// A request has arrived.
    Offered(Offer),
    /// The caller of a waiting or started request has disconnected.
    Cancelled(Ticket),
    /// An attempt has ended; its slot is free.
    Finished(Ticket, Outcome),
    /// Another entry has sent a message about slots.
    Slots(DaemonName, SlotMessage),
    /// Time has passed.
    Tick,
}

/// The actions that a dispatcher requests.
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
    /// Send this error to the caller now.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// The reason.
        kind: ErrorKind,
        /// When the caller may retry, if the dispatcher has a better estimate than the error table.
        retry_after: Option<Duration>,
    },
    /// Send a message about slots to another entry.
    SendSlots(DaemonName, SlotMessage),
}
