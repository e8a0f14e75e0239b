//! Claims that requests wait for.
//!
//! A request that has its slot waits a short time only for its claim. While the store is down that
//! would still cost a slot for that time for each request that needs a claim, and the others of
//! the service would starve. So after a claim without an outcome further such requests wait before
//! they queue, and one at a time tries whether the store is back.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use borageswitch_types::claim::{ClaimOutcome, ClaimTicket};
use smol::Timer;

/// How often one request tries whether claims work again.
const TRY_EVERY: Duration = Duration::from_millis(250);
/// How often a request that waits for that looks.
const LOOK_EVERY: Duration = Duration::from_millis(20);

type Waiting = BTreeMap<ClaimTicket, async_channel::Sender<ClaimOutcome>>;

/// Finds the request that a claim's answer is for.
#[derive(Debug, Default)]
pub(super) struct Claims {
    next: AtomicU64,
    waiting: Mutex<Waiting>,
    /// While claims do not work: when the next request may try.
    next_try: Mutex<Option<Instant>>,
}

/// A claim that was asked for; forgotten when dropped.
pub(super) struct PendingClaim<'a> {
    claims: &'a Claims,
    pub(super) ticket: ClaimTicket,
    answer: async_channel::Receiver<ClaimOutcome>,
}

impl Claims {
    pub(super) fn ask(&self) -> PendingClaim<'_> {
        let ticket = ClaimTicket(self.next.fetch_add(1, Ordering::Relaxed));
        let (tx, answer) = async_channel::bounded(1);
        let before = self.lock().insert(ticket, tx);
        assert!(before.is_none(), "two claims under one ticket");
        PendingClaim { claims: self, ticket, answer }
    }

    pub(super) fn answer(&self, ticket: ClaimTicket, outcome: ClaimOutcome) {
        // A request that has given up has removed its ticket; its answer is of no use.
        if let Some(tx) = self.lock().remove(&ticket) {
            let _ = tx.try_send(outcome);
        }
    }

    /// Notes how a claim ended.
    pub(super) fn ended(&self, outcome: ClaimOutcome, now: Instant) {
        *self.next_try() = match outcome {
            ClaimOutcome::Granted | ClaimOutcome::AlreadyClaimed => None,
            ClaimOutcome::Unavailable => Some(now + TRY_EVERY),
        };
    }

    /// Waits until a request that needs a claim may queue; false if that does not come before
    /// `end`.
    pub(super) async fn passable(&self, end: Instant) -> bool {
        while !self.may_pass(Instant::now()) {
            if Instant::now() + LOOK_EVERY >= end {
                return false;
            }
            Timer::after(LOOK_EVERY).await;
        }
        true
    }

    fn may_pass(&self, now: Instant) -> bool {
        let mut next_try = self.next_try();
        match *next_try {
            None => true,
            Some(at) if now < at => false,
            Some(_) => {
                *next_try = Some(now + TRY_EVERY);
                true
            }
        }
    }

    fn next_try(&self) -> MutexGuard<'_, Option<Instant>> {
        self.next_try.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn waiting(&self) -> usize {
        self.lock().len()
    }

    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PendingClaim<'_> {
    pub(super) async fn outcome(&self) -> ClaimOutcome {
        self.answer.recv().await.unwrap_or(ClaimOutcome::Unavailable)
    }
}

impl Drop for PendingClaim<'_> {
    fn drop(&mut self) {
        self.claims.lock().remove(&self.ticket);
    }
}
