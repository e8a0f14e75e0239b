//! Counters and latencies of the traffic threads.

use std::{
    cell::Cell,
    collections::BTreeMap,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use borageswitch_types::ErrorKind;
use hdrhistogram::Histogram;

/// Threads spread over this many histograms, so that they seldom wait for each other.
const SHARDS: usize = 16;
/// Longest latency that is told apart, in microseconds; longer ones count as this.
const MAX_MICROS: u64 = 600_000_000;
/// Two digits keep a histogram at a few kilobytes and an error below one percent.
const DIGITS: u8 = 2;

/// Counters and latencies since the start of the process.
#[derive(Clone, Debug)]
pub struct TrafficStats {
    /// Connections from callers that are open.
    pub open_connections: u64,
    /// Connections from callers that were closed at once because too many were open.
    pub refused_connections: u64,
    /// Requests whose head was understood.
    pub requests: u64,
    /// Requests that wait or are in flight.
    pub unfinished: u64,
    /// Answers of targets that were passed on.
    pub answered: u64,
    /// Answers of our own by kind.
    pub errors: BTreeMap<ErrorKind, u64>,
    /// Tries beyond the first.
    pub retries: u64,
    /// Connections to targets that were opened.
    pub target_connections_opened: u64,
    /// Connections to targets that were given up as silent.
    pub target_connections_silent: u64,
    /// Time from head to the end of the answer, in microseconds.
    pub latency_micros: Histogram<u64>,
    /// Time from the offer to the first start on a target, in microseconds.
    pub wait_micros: Histogram<u64>,
}

#[derive(Debug)]
struct Shard {
    latency: Histogram<u64>,
    wait: Histogram<u64>,
}

#[derive(Debug)]
pub(super) struct Stats {
    open_connections: AtomicU64,
    refused_connections: AtomicU64,
    requests: AtomicU64,
    unfinished: AtomicU64,
    answered: AtomicU64,
    retries: AtomicU64,
    opened: AtomicU64,
    silent: AtomicU64,
    errors: [AtomicU64; ErrorKind::ALL.len()],
    shards: Vec<Mutex<Shard>>,
}

static NEXT_SHARD: AtomicUsize = AtomicUsize::new(0);

thread_local! {
    static SHARD: Cell<usize> =
        Cell::new(NEXT_SHARD.fetch_add(1, Ordering::Relaxed) % SHARDS);
}

impl Stats {
    pub(super) fn new() -> Self {
        let shard = || Mutex::new(Shard { latency: histogram(), wait: histogram() });
        Self {
            open_connections: AtomicU64::new(0),
            refused_connections: AtomicU64::new(0),
            requests: AtomicU64::new(0),
            unfinished: AtomicU64::new(0),
            answered: AtomicU64::new(0),
            retries: AtomicU64::new(0),
            opened: AtomicU64::new(0),
            silent: AtomicU64::new(0),
            errors: std::array::from_fn(|_| AtomicU64::new(0)),
            shards: (0..SHARDS).map(|_| shard()).collect(),
        }
    }

    pub(super) fn connection_opened(&self) -> u64 {
        self.open_connections.fetch_add(1, Ordering::AcqRel) + 1
    }

    pub(super) fn connection_closed(&self) {
        let before = self.open_connections.fetch_sub(1, Ordering::AcqRel);
        assert!(before > 0, "more connections of callers closed than opened");
    }

    pub(super) fn connection_refused(&self) {
        self.refused_connections.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn open_connections(&self) -> u64 {
        self.open_connections.load(Ordering::Acquire)
    }

    pub(super) fn request_began(&self) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.unfinished.fetch_add(1, Ordering::AcqRel);
    }

    pub(super) fn request_ended(&self, latency: Duration) {
        let before = self.unfinished.fetch_sub(1, Ordering::AcqRel);
        assert!(before > 0, "more requests ended than began");
        self.with_shard(|shard| shard.latency.saturating_record(micros(latency)));
    }

    pub(super) fn unfinished(&self) -> u64 {
        self.unfinished.load(Ordering::Acquire)
    }

    pub(super) fn started(&self, wait: Duration) {
        self.with_shard(|shard| shard.wait.saturating_record(micros(wait)));
    }

    pub(super) fn retried(&self) {
        self.retries.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn answered(&self) {
        self.answered.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn error(&self, kind: ErrorKind) {
        if let Some(index) = ErrorKind::ALL.iter().position(|known| *known == kind) {
            self.errors[index].fetch_add(1, Ordering::Relaxed);
        }
    }

    pub(super) fn target_connection_opened(&self) {
        self.opened.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn target_connections_silent(&self, count: u32) {
        self.silent.fetch_add(u64::from(count), Ordering::Relaxed);
    }

    pub(super) fn snapshot(&self) -> TrafficStats {
        let mut latency_micros = histogram();
        let mut wait_micros = histogram();
        for shard in &self.shards {
            let shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            latency_micros.add(&shard.latency).expect("same bounds");
            wait_micros.add(&shard.wait).expect("same bounds");
        }
        let counted = ErrorKind::ALL.iter().zip(&self.errors);
        let errors = counted
            .map(|(kind, count)| (*kind, count.load(Ordering::Relaxed)))
            .filter(|(_, count)| *count > 0)
            .collect();
        TrafficStats {
            open_connections: self.open_connections(),
            refused_connections: self.refused_connections.load(Ordering::Relaxed),
            requests: self.requests.load(Ordering::Relaxed),
            unfinished: self.unfinished(),
            answered: self.answered.load(Ordering::Relaxed),
            errors,
            retries: self.retries.load(Ordering::Relaxed),
            target_connections_opened: self.opened.load(Ordering::Relaxed),
            target_connections_silent: self.silent.load(Ordering::Relaxed),
            latency_micros,
            wait_micros,
        }
    }

    fn with_shard<F>(&self, f: F)
    where
        F: FnOnce(&mut Shard),
    {
        let index = SHARD.with(Cell::get);
        f(&mut self.shards[index].lock().unwrap_or_else(PoisonError::into_inner));
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_MICROS, DIGITS).expect("constant bounds are valid")
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
