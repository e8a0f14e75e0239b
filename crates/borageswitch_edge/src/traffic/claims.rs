//! Claims that requests wait for.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use borageswitch_types::claim::{ClaimOutcome, ClaimTicket};

type Waiting = BTreeMap<ClaimTicket, async_channel::Sender<ClaimOutcome>>;

/// Finds the request that a claim's answer is for.
#[derive(Debug, Default)]
pub(super) struct Claims {
    next: AtomicU64,
    waiting: Mutex<Waiting>,
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
