//! Passes decisions and revisions to the operators who watch.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use async_channel::{Receiver, Sender, TrySendError};
use borageswitch_types::fleet::Revision;
use borageswitch_wire::schema::proto::{WatchedEvent, watched_event::Event};

/// How many decisions are kept for an operator who begins to watch later.
const KEPT_DECISIONS: usize = 256;
/// How many events wait for a slow watcher before some are left out.
const WATCHER_QUEUE: usize = 2 * KEPT_DECISIONS;
/// The most watchers at once.
const MAX_WATCHERS: usize = 64;

struct Watcher {
    tx: Sender<WatchedEvent>,
    skipped: u64,
}

#[derive(Default)]
struct Inner {
    kept: VecDeque<Arc<str>>,
    watchers: Vec<Watcher>,
}

/// The watchers and what is kept for the next one.
#[derive(Default)]
pub(super) struct Watchers {
    inner: Mutex<Inner>,
}

impl Watchers {
    pub(super) fn decision(&self, decision: Arc<str>) {
        let mut inner = self.lock();
        if inner.kept.len() == KEPT_DECISIONS {
            inner.kept.pop_front();
        }
        inner.kept.push_back(decision.clone());
        inner.pass_on(&decision_event(&decision));
    }

    pub(super) fn revision(&self, revision: Revision) {
        let event = WatchedEvent { event: Some(Event::Revision(revision.0)) };
        self.lock().pass_on(&event);
    }

    /// Begins to watch, with the kept decisions first, unless too many watch already.
    pub(super) fn watch(&self) -> Option<Receiver<WatchedEvent>> {
        let mut inner = self.lock();
        inner.watchers.retain(|watcher| !watcher.tx.is_closed());
        if inner.watchers.len() >= MAX_WATCHERS {
            return None;
        }
        let (tx, rx) = async_channel::bounded(WATCHER_QUEUE);
        let mut watcher = Watcher { tx, skipped: 0 };
        for decision in &inner.kept {
            watcher.pass_on(&decision_event(decision));
        }
        inner.watchers.push(watcher);
        Some(rx)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn pass_on(&mut self, event: &WatchedEvent) {
        self.watchers.retain_mut(|watcher| watcher.pass_on(event));
    }
}

impl Watcher {
    /// Queues an event and says whether the watcher is still there.
    ///
    /// A watcher that does not read must not hold up the reducer or fill memory: what finds its
    /// queue full is left out, and the watcher is told how much.
    fn pass_on(&mut self, event: &WatchedEvent) -> bool {
        if self.skipped > 0 {
            let skipped = WatchedEvent { event: Some(Event::Skipped(self.skipped)) };
            match self.tx.try_send(skipped) {
                Ok(()) => self.skipped = 0,
                Err(TrySendError::Full(_)) => {
                    self.skipped += 1;
                    return true;
                }
                Err(TrySendError::Closed(_)) => return false,
            }
        }
        match self.tx.try_send(event.clone()) {
            Ok(()) => true,
            Err(TrySendError::Full(_)) => {
                self.skipped += 1;
                true
            }
            Err(TrySendError::Closed(_)) => false,
        }
    }
}

fn decision_event(decision: &Arc<str>) -> WatchedEvent {
    WatchedEvent { event: Some(Event::Decision(decision.to_string())) }
}
