//! Decides when a target's open connections count as lost.
//!
//! Load pattern: something between entry and target loses track of the connections that are open
//! at one moment, while new ones work. Whatever is sent on an old one vanishes. Without this
//! module every request on such a connection waits until its deadline, its slot stays taken, and
//! the idle ones in the pool go on swallowing requests, one after the other.
//!
//! Waiting long proves nothing by itself: a settlement takes minutes. A connection counts as lost
//! only if all of this holds: its request has waited far longer than requests of its kind have
//! ever taken here; and a connection that was opened after the request was sent has answered, so
//! that the target itself is well. The grounds for the figures: [`PATIENCE`] times the longest
//! seen leaves room for a target at a quarter of its speed; a request that is not idempotent gets
//! four times that, since it gains nothing by ending early; [`MIN_SAMPLES`] answers are the fewest
//! after which the longest says anything. A kind that was never seen is left to the kernel, whose
//! probes the target's kernel answers however long the request takes.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// How many times the longest time of its kind a request may take.
const PATIENCE: u32 = 4;
/// The same for a request that is not idempotent.
const PATIENCE_ONCE: u32 = 16;
/// How many answers of a kind must have been seen.
const MIN_SAMPLES: u32 = 8;
/// How many kinds are told apart; the kinds beyond are left to the kernel.
const MAX_KINDS: usize = 256;

/// A request that is in flight on a connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct InFlight {
    pub(super) kind: u64,
    pub(super) idempotent: bool,
    pub(super) sent: Instant,
}

/// What is known about one target's answers.
#[derive(Debug, Default)]
pub(super) struct Silence {
    kinds: BTreeMap<u64, Kind>,
    /// The newest connection that has answered was opened then.
    newest_answering: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Kind {
    longest: Duration,
    samples: u32,
}

impl Silence {
    /// Notes that a connection opened at `opened` has answered `request` at `now`.
    pub(super) fn answered(&mut self, opened: Instant, request: InFlight, now: Instant) {
        self.opened_and_answered(opened);
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&request.kind) {
            return;
        }
        let took = now.saturating_duration_since(request.sent);
        let kind =
            self.kinds.entry(request.kind).or_insert(Kind { longest: Duration::ZERO, samples: 0 });
        // The longest fades slowly, so that one stall does not blind the entry for ever.
        kind.longest = took.max(kind.longest - kind.longest / 1_024);
        kind.samples = kind.samples.saturating_add(1);
    }

    /// Notes that a connection opened at `opened` has answered something.
    pub(super) fn opened_and_answered(&mut self, opened: Instant) {
        self.newest_answering = self.newest_answering.max(Some(opened));
    }

    /// Whether a connection opened after `request` was sent has answered.
    pub(super) fn newer_one_answered(&self, request: InFlight) -> bool {
        self.newest_answering.is_some_and(|opened| opened > request.sent)
    }

    /// Whether `request` has waited so long that the target should be asked over a new connection.
    pub(super) fn is_suspect(&self, request: InFlight, min: Duration, now: Instant) -> bool {
        self.allowed(request, min)
            .is_some_and(|allowed| now.saturating_duration_since(request.sent) >= allowed)
    }

    /// Whether the connection of `request` counts as lost.
    pub(super) fn is_lost(&self, request: InFlight, min: Duration, now: Instant) -> bool {
        self.is_suspect(request, min, now) && self.newer_one_answered(request)
    }

    fn allowed(&self, request: InFlight, min: Duration) -> Option<Duration> {
        let kind = self.kinds.get(&request.kind).filter(|kind| kind.samples >= MIN_SAMPLES)?;
        let patience = if request.idempotent { PATIENCE } else { PATIENCE_ONCE };
        Some(min.max(kind.longest * patience))
    }
}

#[cfg(test)]
mod tests;
