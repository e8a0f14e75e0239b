//! Claims that requests wait for.
//!
//! A request that has its slot waits a short time only for its claim. While the store is down that
//! would still cost a slot for that time for each request that needs a claim, and the others of
//! the service would starve. So after a claim without an outcome further such requests wait before
//! they queue, and one at a time tries whether the store is back.
//!
//! A claim under which nothing was sent is given back, or the caller, told truly that its request
//! did not run, would be refused when it sends it again. [`HeldClaim`] gives it back when the
//! request ends; from the moment before something is sent under it, it does so only after a proof
//! that nothing ran.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use borageswitch_control::Event;
use borageswitch_types::claim::{ClaimOutcome, ClaimTicket};
use smol::Timer;

use super::core::Core;

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

/// A claim that was asked for. Dropped, it is forgotten, and given back should it be granted.
pub(super) struct PendingClaim<'a> {
    core: &'a Core,
    pub(super) ticket: ClaimTicket,
    answer: async_channel::Receiver<ClaimOutcome>,
}

/// A claim that was granted to a request. Dropped, it is given back, unless something was sent
/// under it; a panic between sending and answer leaves it standing.
pub(super) struct HeldClaim {
    core: Arc<Core>,
    ticket: ClaimTicket,
    sent: bool,
}

impl Core {
    pub(super) fn ask_for_claim(&self) -> PendingClaim<'_> {
        let (ticket, answer) = self.claims.ask();
        PendingClaim { core: self, ticket, answer }
    }

    /// Tells the request that asked for a claim what came of it.
    pub(super) fn answer_claim(&self, ticket: ClaimTicket, outcome: ClaimOutcome) {
        // A request that has given up has removed its ticket, or listens no more.
        let taken = self.claims.lock().remove(&ticket);
        let is_told = taken.is_some_and(|tx| tx.try_send(outcome).is_ok());
        if !is_told && outcome == ClaimOutcome::Granted {
            self.release_claim(ticket);
        }
    }

    fn release_claim(&self, ticket: ClaimTicket) {
        // Should the control thread not take it, the claim stands: the request is not run again.
        if self.events.try_send(Event::ReleaseClaim(ticket)).is_err() {
            log::warn!("a claim could not be given back; its id stays claimed");
        }
    }
}

impl Claims {
    fn ask(&self) -> (ClaimTicket, async_channel::Receiver<ClaimOutcome>) {
        let ticket = ClaimTicket(self.next.fetch_add(1, Ordering::Relaxed));
        let (tx, answer) = async_channel::bounded(1);
        let before = self.lock().insert(ticket, tx);
        assert!(before.is_none(), "two claims under one ticket");
        (ticket, answer)
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
        self.core.claims.lock().remove(&self.ticket);
        // An answer that came in the last instant was read by nobody. Closed first, the channel
        // takes none after this look; whoever sends it then gives the claim back.
        self.answer.close();
        if self.answer.try_recv() == Ok(ClaimOutcome::Granted) {
            self.core.release_claim(self.ticket);
        }
    }
}

impl HeldClaim {
    pub(super) fn new(core: Arc<Core>, ticket: ClaimTicket) -> Self {
        Self { core, ticket, sent: false }
    }

    /// To be called before anything is sent.
    pub(super) fn sending(&mut self) {
        assert!(!self.sent, "a request is sent again although it may have run");
        self.sent = true;
    }

    /// It is proved that nothing of what was sent ran.
    pub(super) fn not_run(&mut self) {
        self.sent = false;
    }
}

impl Drop for HeldClaim {
    fn drop(&mut self) {
        if !self.sent {
            self.core.release_claim(self.ticket);
        }
    }
}
