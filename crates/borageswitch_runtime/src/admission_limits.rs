//! What this daemon knows of the leader's admission limits, and how old it is.
//!
//! The leader sends its limits with its responses. They are a help to refuse early what the leader
//! would refuse, and never a condition for accepting a job: limits that are missing, malformed,
//! expired or from an earlier leader refuse nothing.
//!
//! Limits are as old as the request whose response carried them. A response that was delayed on its
//! way could otherwise pass for a new one.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use borageswitch_scheduler::policy::{
    admission::{AdmissionLimits, LIMITS_VALID, QueueLimit},
    manual_limits::{self, LimitSubject},
};
use borageswitch_types::{
    Time,
    names::{CallerName, QueueName},
};

/// The largest ratio of actual to declared run times that is plausible. Declared run times are
/// rough, but not by three orders of magnitude.
const MAX_RUN_RATIO: f64 = 1_000.0;
/// The most callers that the limits of a queue name.
const MAX_BEYOND: usize = 32;

/// Why received limits are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum IgnoreReason {
    /// They are from an earlier leader, or older than those that are known.
    #[display("outdated")]
    Outdated,
    /// A value in them is impossible.
    #[display("malformed")]
    Malformed,
}

/// Limits that are in effect at this daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct ValidLimits {
    /// The limits.
    pub limits: Arc<AdmissionLimits>,
    /// The most that they can be old.
    pub age: Duration,
}

#[derive(Debug, Default)]
struct Known {
    /// The token and the sequence of the newest limits that were received.
    newest: (u64, u64),
    current: Option<(Arc<AdmissionLimits>, Time)>,
    /// What operators limit, and when the request was sent whose response said so.
    manual: (Arc<BTreeSet<LimitSubject>>, Time),
}

/// The admission limits that this daemon knows.
#[derive(Debug, Default)]
pub struct KnownLimits {
    known: Mutex<Known>,
}

impl KnownLimits {
    /// Takes in limits from the response to a request sent at `sent`. `leader` is the token of the
    /// known leader, 0 if none is known.
    ///
    /// # Errors
    ///
    /// The reason if the limits are ignored.
    pub fn receive(
        &self,
        sent: Time,
        leader: u64,
        limits: Arc<AdmissionLimits>,
    ) -> Result<(), IgnoreReason> {
        if !is_well_formed(&limits) {
            return Err(IgnoreReason::Malformed);
        }
        let mut known = self.lock();
        let version = (limits.token, limits.sequence);
        if limits.token < leader || version < known.newest {
            return Err(IgnoreReason::Outdated);
        }
        // Responses may overtake each other, and the same limits are sent more than once.
        let confirmed = known.current.as_ref().filter(|_| known.newest == version);
        let at = confirmed.map_or(sent, |(_, at)| sent.max(*at));
        known.newest = version;
        known.current = Some((limits, at));
        Ok(())
    }

    /// Drops the limits: the response to a request sent at `sent` shows that the leader has none.
    pub fn clear(&self, sent: Time) {
        self.lock().current.take_if(|(_, at)| *at <= sent);
    }

    /// The limits in effect. `leader` is the token of the known leader, 0 if none is known.
    pub fn current(&self, now: Time, leader: u64) -> Option<ValidLimits> {
        let known = self.lock();
        let (limits, at) = known.current.as_ref()?;
        let age = now.since(*at);
        let valid = age < limits.valid && limits.token >= leader;
        valid.then(|| ValidLimits { limits: limits.clone(), age })
    }

    /// Takes in what operators limit, from the response to a request sent at `sent`. It does not
    /// expire: the leader decides on each such job, and a lost leader refuses none.
    pub fn receive_manual(&self, sent: Time, subjects: Arc<BTreeSet<LimitSubject>>) {
        let mut known = self.lock();
        if sent >= known.manual.1 {
            known.manual = (subjects, sent);
        }
    }

    /// Whether an operator limits the jobs of a queue or a caller.
    pub fn is_limited_manually(&self, queue: &QueueName, caller: Option<&CallerName>) -> bool {
        manual_limits::concern(&self.lock().manual.0, queue, caller)
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether no value is impossible. One impossible value shows that the sender's state is damaged,
/// so the other queues are not relied on either.
fn is_well_formed(limits: &AdmissionLimits) -> bool {
    let plausible = |limit: &QueueLimit| {
        limit.drain_per_s.is_finite()
            && limit.drain_per_s >= 0.0
            && limit.run_ratio > 0.0
            && limit.run_ratio <= MAX_RUN_RATIO
            && limit.beyond.len() <= MAX_BEYOND
    };
    limits.valid <= LIMITS_VALID && limits.queues.values().all(plausible)
}

#[cfg(test)]
mod tests;
