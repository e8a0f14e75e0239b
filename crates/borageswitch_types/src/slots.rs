//! Messages by which entries share the slots of a target.
//!
//! Membership alone deals each target's slots among the live entries, so the steady state needs
//! none of these. An entry with waiting requests borrows idle slots for a short time. A borrowed
//! slot may be handed on to a third entry within its term without asking its owner: whoever holds
//! it gives it back to the owner.

use std::time::Duration;

use crate::names::{DaemonName, HostName, ServiceName};

/// One slot of one target that passes from one entry to another.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SlotShare {
    /// The entry to which membership deals the slot, and which gets it back.
    pub owner: DaemonName,
    /// Numbers the loan at its owner.
    pub loan: u64,
    /// The target's host.
    pub host: HostName,
    /// How often the host has changed its assignment; a share of an earlier epoch is void.
    pub epoch: u64,
    /// How long requests may be started on the slot, from the moment at which the ask was sent.
    /// The borrower counts from its own ask and the lender from its later grant, so that the loan
    /// ends first at the borrower.
    pub term: Duration,
}

/// A message between two entries about the slots of one service.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum SlotMessage {
    /// An entry has waiting requests and asks for idle slots.
    Ask {
        /// The service whose requests wait.
        service: ServiceName,
        /// Who asks: the sender, or the entry for which the sender passes the ask on.
        asker: DaemonName,
        /// Chosen by the asker; the grant repeats it.
        ask: u64,
        /// How many slots would be used at once.
        wanted: u16,
        /// Who was asked before and had no idle slots; such an ask is passed on a few times.
        tried: Vec<DaemonName>,
    },
    /// Slots for an ask. An ask that nobody can meet has no answer.
    Grant {
        /// The service whose slots are lent.
        service: ServiceName,
        /// The ask that this answers.
        ask: u64,
        /// What is lent.
        shares: Vec<SlotShare>,
        /// How many slots of the service stay idle at the sender: a hint whom to ask next.
        idle_left: u16,
    },
    /// To the owner: requests started within the term still run on these slots.
    Hold {
        /// The service whose slots are lent.
        service: ServiceName,
        /// The loans that last on.
        loans: Vec<u64>,
    },
    /// To the owner: these slots come back.
    Return {
        /// The service whose slots come back.
        service: ServiceName,
        /// The loans that end.
        loans: Vec<u64>,
    },
}

impl SlotMessage {
    /// The service whose slots the message is about.
    pub fn service(&self) -> &ServiceName {
        match self {
            SlotMessage::Ask { service, .. }
            | SlotMessage::Grant { service, .. }
            | SlotMessage::Hold { service, .. }
            | SlotMessage::Return { service, .. } => service,
        }
    }
}
