//! Stored cancellations.
//!
//! A job may be cancelled while the outcome of the write that submits it is unknown: the store may
//! carry it out seconds later, when the cancellation has been confirmed. No reading of the store can
//! tell, so the cancellation is stored as well, and the leader applies it to a job that comes after
//! it.

use borageswitch_scheduler::job::Submission;
use borageswitch_types::names::{CallerName, QueueName};

use crate::codec;

/// The first byte of each value. Earlier versions stored nothing else.
const FORMAT: u8 = 1;

/// Whose job a stored cancellation is for.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CancelMark {
    /// The queue of the job; `None` if it was checked before the cancellation was stored.
    pub queue: Option<QueueName>,
    /// The caller that cancelled it; `None` if the queue needs no key.
    pub caller: Option<CallerName>,
}

impl CancelMark {
    /// Encodes the mark for the store.
    pub fn encode(&self) -> Vec<u8> {
        let mut value = vec![FORMAT];
        value.extend(codec::encode(self));
        value
    }

    /// Decodes a stored mark. One that cannot be decoded was stored by an earlier version, which had
    /// checked queue and caller.
    pub fn decode(value: &[u8]) -> Self {
        let fields = value.strip_prefix(&[FORMAT]).unwrap_or_default();
        codec::decode("cancellation", fields).unwrap_or_default()
    }

    /// Returns whether the mark cancels a job.
    pub fn applies_to(&self, submission: &Submission) -> bool {
        self.queue.as_ref().is_none_or(|queue| *queue == submission.queue.name)
            && !submission.is_foreign_to(self.caller.as_ref())
    }
}
