//! The signal by which every connection learns that the daemon stops.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::Waker,
};

/// Two steps that are never taken back: first answers close their connections, then idle
/// connections are closed as well.
///
/// Connections look at a flag whenever they run, which costs nothing; their wakers are only used
/// when a step is taken.
#[derive(Debug, Default)]
pub(super) struct Shutdown {
    begun: AtomicBool,
    closing_idle: AtomicBool,
    next: AtomicU64,
    wakers: Mutex<BTreeMap<u64, Waker>>,
}

impl Shutdown {
    pub(super) fn has_begun(&self) -> bool {
        self.begun.load(Ordering::Acquire)
    }

    pub(super) fn closes_idle(&self) -> bool {
        self.closing_idle.load(Ordering::Acquire)
    }

    pub(super) fn begin(&self) {
        self.begun.store(true, Ordering::Release);
        self.wake_all();
    }

    pub(super) fn close_idle(&self) {
        self.closing_idle.store(true, Ordering::Release);
        self.wake_all();
    }

    /// Names a listener; it must be removed by [`Shutdown::forget`].
    pub(super) fn register(&self, waker: &Waker) -> u64 {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        self.lock().insert(id, waker.clone());
        id
    }

    pub(super) fn forget(&self, id: u64) {
        self.lock().remove(&id);
    }

    fn wake_all(&self) {
        let wakers: Vec<Waker> = self.lock().values().cloned().collect();
        for waker in wakers {
            waker.wake();
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, Waker>> {
        self.wakers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
