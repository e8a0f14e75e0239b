//! The operators' calls that wait for the reducer.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use async_channel::Sender;
use borageswitch_control::{Event, event::OperatorCallId};
use borageswitch_wire::operator::{OperatorAnswer, OperatorRequest};

use crate::platform::with_deadline;

/// The most calls that wait at once: beyond them a flood of calls would fill memory.
const MAX_WAITING: usize = 1_024;

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoAnswer {
    /// Too many calls wait; it was not passed on.
    TooMany,
    /// The daemon is ending; it was not passed on.
    Ending,
    /// The reducer did not answer in time, so what it was asked may still happen.
    Late,
}

/// The calls that wait.
pub(super) struct Calls {
    events: Sender<Event>,
    next: AtomicU64,
    waiting: Mutex<BTreeMap<OperatorCallId, Sender<OperatorAnswer>>>,
}

impl Calls {
    pub(super) fn new(events: Sender<Event>) -> Self {
        Self { events, next: AtomicU64::new(1), waiting: Mutex::new(BTreeMap::new()) }
    }

    /// Asks the reducer and waits for its answer.
    pub(super) async fn ask(
        &self,
        request: OperatorRequest,
        patience: Duration,
    ) -> Result<OperatorAnswer, NoAnswer> {
        let call = OperatorCallId(self.next.fetch_add(1, Ordering::Relaxed));
        let (tx, rx) = async_channel::bounded(1);
        let _entry = self.enter(call, tx)?;
        let event = Event::Operator { call, request };
        let deadline = Instant::now() + patience;
        let asked = async {
            self.events.send(event).await.map_err(|_| NoAnswer::Ending)?;
            rx.recv().await.map_err(|_| NoAnswer::Late)
        };
        with_deadline(deadline, asked).await.unwrap_or(Err(NoAnswer::Late))
    }

    pub(super) fn answer(&self, call: OperatorCallId, answer: OperatorAnswer) {
        let Some(tx) = self.lock().remove(&call) else { return };
        let unread = tx.try_send(answer).is_err();
        if unread {
            log::debug!("operator call {call} was given up before its answer");
        }
    }

    fn enter(
        &self,
        call: OperatorCallId,
        tx: Sender<OperatorAnswer>,
    ) -> Result<WaitingCall<'_>, NoAnswer> {
        let mut waiting = self.lock();
        if waiting.len() >= MAX_WAITING {
            return Err(NoAnswer::TooMany);
        }
        waiting.insert(call, tx);
        Ok(WaitingCall { calls: self, call })
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<OperatorCallId, Sender<OperatorAnswer>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Forgets a call when its operator goes away: without it each abandoned call would stay for good.
struct WaitingCall<'a> {
    calls: &'a Calls,
    call: OperatorCallId,
}

impl Drop for WaitingCall<'_> {
    fn drop(&mut self) {
        self.calls.lock().remove(&self.call);
    }
}
