//! Messages by which entries share the slots of a target.
//!
//! Membership alone deals each target's slots among the live entries, so the steady state needs
//! none of these. An entry with waiting requests borrows idle slots for a short time.

use std::time::Duration;

use crate::names::{HostName, ServiceName};

/// Slots of one target that pass from one entry to another.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SlotShare {
    /// The target's host.
    pub host: HostName,
    /// How often the host has changed its assignment; a share of an earlier epoch is void.
    pub epoch: u64,
    /// How many of its slots.
    pub slots: u16,
}

/// A message between two entries about the slots of one service.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum SlotMessage {
    /// The sender has waiting requests and asks for idle slots.
    Ask {
        /// The service whose requests wait.
        service: ServiceName,
        /// Chosen by the asker; the grant repeats it.
        ask: u64,
        /// How many slots would be used at once.
        wanted: u16,
    },
    /// The answer to an ask; no shares means that the sender has no idle slots.
    Grant {
        /// The service whose slots are lent.
        service: ServiceName,
        /// The ask that this answers.
        ask: u64,
        /// What is lent.
        shares: Vec<SlotShare>,
        /// How long the shares may be used, from the moment the ask was sent: the borrower counts
        /// from its own ask, the lender from its later grant, so that the loan ends first at the
        /// borrower.
        term: Duration,
        /// How many slots of the service stay idle at the sender: a hint whom to ask next.
        idle_left: u16,
    },
    /// The sender gives shares back before their term ends.
    Return {
        /// The service whose slots come back.
        service: ServiceName,
        /// The ask by which they were borrowed.
        ask: u64,
        /// What comes back.
        shares: Vec<SlotShare>,
    },
}
