//! The connections to one target.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use serde_json::json;

use crate::traffic::{
    silence::{InFlight, Silence},
    stream::SharedStream,
    target_conn::TargetConn,
};

/// The connections to one target.
pub(super) struct TargetPool {
    pub(super) address: SocketAddr,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    idle: Vec<TargetConn>,
    /// Connections that are being opened, in an exchange or idle.
    open: u32,
    /// How many this entry may open.
    limit: u32,
    /// Exchanges that wait for a connection.
    waiting: VecDeque<async_channel::Sender<()>>,
    /// Exchanges that wait for the head of their answer.
    watched: BTreeMap<u64, Watched>,
    next_watch: u64,
    silence: Silence,
    probing: bool,
}

struct Watched {
    request: InFlight,
    stream: SharedStream,
}

/// What an exchange that asks for a connection gets.
pub(super) enum Claimed {
    Idle(TargetConn),
    MayOpen,
    Wait(async_channel::Receiver<()>),
}

/// What a look at the silent exchanges has found.
pub(super) struct Silent {
    /// How many connections were broken off.
    pub(super) lost: u32,
    /// Whether the target should be asked over a new connection.
    pub(super) probe: bool,
}

impl TargetPool {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self { address, state: Mutex::default() }
    }

    pub(super) fn set_limit(&self, limit: u32) {
        self.lock().limit = limit;
    }

    pub(super) fn claim(
        &self,
        max_idle: Duration,
        total_age: Duration,
        silence: Duration,
    ) -> Claimed {
        let now = Instant::now();
        let mut state = self.lock();
        // While one connection is suspected, an idle one is trusted only if it has answered
        // lately; otherwise it would swallow this request as well.
        let max_idle =
            if state.is_suspect(silence, now) { max_idle.min(silence) } else { max_idle };
        // The last one used comes first: the others can grow old and go.
        while let Some(conn) = state.idle.pop() {
            assert!(conn.is_free(), "an idle connection has an unfinished exchange");
            if !conn.is_worn(now, max_idle, total_age) {
                return Claimed::Idle(conn);
            }
            state.open -= 1;
        }
        // A request that was started on a target may always open one connection: its slot was
        // lent by another entry, whose connection it then stands for.
        if state.open < state.limit.max(1) {
            state.open += 1;
            return Claimed::MayOpen;
        }
        let (tx, rx) = async_channel::bounded(1);
        state.waiting.push_back(tx);
        Claimed::Wait(rx)
    }

    /// Keeps a connection for the next exchange, or returns it if there are too many.
    pub(super) fn keep(&self, conn: TargetConn) -> Option<TargetConn> {
        let mut state = self.lock();
        if state.open > state.limit.max(1) {
            return Some(conn);
        }
        state.idle.push(conn);
        assert!(state.idle.len() <= state.open as usize, "an idle connection is not counted");
        state.wake_one();
        None
    }

    pub(super) fn closed(&self, count: u32) {
        self.lock().closed(count);
    }

    pub(super) fn watch(&self, request: InFlight, stream: SharedStream) -> u64 {
        let mut state = self.lock();
        state.next_watch += 1;
        let number = state.next_watch;
        state.watched.insert(number, Watched { request, stream });
        number
    }

    pub(super) fn unwatch(&self, watch: u64) {
        self.lock().watched.remove(&watch);
    }

    pub(super) fn answered(&self, watch: u64, opened: Instant) {
        let mut state = self.lock();
        if let Some(watched) = state.watched.remove(&watch) {
            state.silence.answered(opened, watched.request, Instant::now());
        }
    }

    /// Breaks off connections that count as lost, and drops the idle ones of their time.
    pub(super) fn end_silent(&self, min: Duration) -> Silent {
        let now = Instant::now();
        let mut state = self.lock();
        let State { watched, silence, .. } = &*state;
        let requests = watched.values().map(|it| (it.request, &it.stream));
        let lost: Vec<(InFlight, &SharedStream)> =
            requests.filter(|(request, _)| silence.is_lost(*request, min, now)).collect();
        for (_, stream) in &lost {
            stream.break_off();
        }
        let (count, latest) = (lost.len() as u32, lost.iter().map(|(it, _)| it.sent).max());
        if let Some(latest) = latest {
            // An idle connection that has not answered since may be lost too.
            state.drop_idle(|conn| conn.idle_since <= latest);
        }
        let probe = !state.probing && count == 0 && state.is_suspect(min, now);
        state.probing |= probe;
        Silent { lost: count, probe }
    }

    /// Counts a connection for a probe. It may exceed the share by one: when all connections of
    /// the share are silent, nothing else could show that the target is well.
    pub(super) fn begin_probe(&self) {
        self.lock().open += 1;
    }

    pub(super) fn end_probe(&self, answered: Option<Instant>) {
        let mut state = self.lock();
        state.probing = false;
        if let Some(opened) = answered {
            state.silence.opened_and_answered(opened);
        }
    }

    pub(super) fn drop_worn(&self, now: Instant, idle_age: Duration, total_age: Duration) {
        let mut state = self.lock();
        let keep_none = state.limit == 0;
        state.drop_idle(|conn| keep_none || conn.is_worn(now, idle_age, total_age));
    }

    pub(super) fn is_unused(&self) -> bool {
        let state = self.lock();
        state.limit == 0 && state.open == 0 && state.waiting.is_empty()
    }

    pub(super) fn dump(&self) -> serde_json::Value {
        let state = self.lock();
        json!({
            "open": state.open,
            "idle": state.idle.len(),
            "limit": state.limit,
            "waiting": state.waiting.len(),
            "unanswered": state.watched.len(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn is_suspect(&self, min: Duration, now: Instant) -> bool {
        let mut requests = self.watched.values().map(|it| it.request);
        requests.any(|request| self.silence.is_suspect(request, min, now))
    }

    fn drop_idle<F>(&mut self, drop_it: F)
    where
        F: FnMut(&mut TargetConn) -> bool,
    {
        let dropped = self.idle.extract_if(.., drop_it).count();
        self.closed(dropped as u32);
    }

    fn closed(&mut self, count: u32) {
        assert!(self.open >= count, "more connections closed than opened");
        self.open -= count;
        for _ in 0..count {
            self.wake_one();
        }
    }

    fn wake_one(&mut self) {
        while let Some(tx) = self.waiting.pop_front() {
            // One whose exchange has ended cannot be told; the next one is.
            if tx.try_send(()).is_ok() {
                return;
            }
        }
    }
}
