//! Callers that send requests to all entries and check every answer.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use borageswitch_types::{
    error::{
        CALLER_HEADER, DEADLINE_HEADER, ERROR_HEADER, IDEMPOTENT_HEADER, REQUEST_ID_HEADER,
        VERDICT_HEADER,
    },
    names::ServiceName,
};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use smol::{Executor, Timer};

use crate::client::{Client, ExchangeError};

/// How long a caller waits after it was refused or found no entry.
const PAUSE: Duration = Duration::from_millis(20);
/// Every so many requests a caller sends a non-idempotent one.
const NON_IDEMPOTENT_EVERY: u64 = 8;
/// The deadline that callers ask for.
const DEADLINE: Duration = Duration::from_secs(10);
/// The longest time for which a target runs a request.
const MAX_RUN_MS: u64 = 20;
/// The largest body of a request, in bytes.
const MAX_BODY: usize = 2_048;
/// Latencies are counted up to this many microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;

/// What callers received.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct CallerCounts {
    /// Right answers.
    pub answered: u64,
    /// Answers in which a target said that it had failed.
    pub failed: u64,
    /// Answers of our own instead of a target's, by error kind.
    pub refused: BTreeMap<String, u64>,
    /// Answers that were not the one to the request, or not whole.
    pub mixed_up: u64,
    /// Exchanges that ended without an answer or within one.
    pub cut: u64,
    /// As [`Self::cut`], at an entry that had been made to vanish.
    pub lost_with_entry: u64,
    /// Ids of non-idempotent requests that were told "not run".
    #[serde(skip)]
    pub told_not_run: Vec<String>,
}

/// What callers of one run share.
pub struct CallerBoard {
    entries: Mutex<Vec<SocketAddr>>,
    vanished: Mutex<Vec<SocketAddr>>,
    stopping: AtomicBool,
    next_id: AtomicU64,
    counts: Mutex<CallerCounts>,
    latency: Mutex<Histogram<u64>>,
}

impl CallerBoard {
    /// A board for callers of `entries`.
    pub fn new(entries: Vec<SocketAddr>) -> Self {
        let latency = Histogram::new_with_max(MAX_LATENCY_US, 3)
            .unwrap_or_else(|_| unreachable!("fixed bounds"));
        Self {
            entries: Mutex::new(entries),
            vanished: Mutex::default(),
            stopping: AtomicBool::new(false),
            next_id: AtomicU64::new(0),
            counts: Mutex::default(),
            latency: Mutex::new(latency),
        }
    }

    /// Takes an entry out of the balancer, as its readiness probe would.
    pub fn remove_entry(&self, entry: SocketAddr, vanished: bool) {
        if vanished {
            lock(&self.vanished).push(entry);
        }
        lock(&self.entries).retain(|known| *known != entry);
    }

    /// Puts an entry into the balancer.
    pub fn add_entry(&self, entry: SocketAddr) {
        lock(&self.entries).push(entry);
    }

    /// Asks callers to stop after their requests.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// What callers received so far.
    pub fn counts(&self) -> CallerCounts {
        lock(&self.counts).clone()
    }

    /// The latency of right answers at a quantile, in microseconds.
    pub fn latency_us(&self, quantile: f64) -> u64 {
        lock(&self.latency).value_at_quantile(quantile)
    }

    fn entry(&self, number: u64) -> Option<SocketAddr> {
        let entries = lock(&self.entries);
        match entries.len() as u64 {
            0 => None,
            count => Some(entries[(number % count) as usize]),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One request with all that its answer is checked against.
struct Sent {
    id: String,
    path: String,
    body: Bytes,
    idempotent: bool,
}

/// Sends requests to `service` one after the other until the board says stop.
pub async fn run_caller(
    ex: Arc<Executor<'static>>,
    board: Arc<CallerBoard>,
    service: ServiceName,
    caller: String,
    seed: u64,
) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut client = Client::new(ex);
    let mut connected_to = None;
    while !board.stopping.load(Ordering::SeqCst) {
        let Some(entry) = board.entry(rng.u64(..)) else {
            Timer::after(PAUSE).await;
            continue;
        };
        if connected_to != Some(entry) {
            client.close();
            connected_to = Some(entry);
        }
        let sent = make_request(&board, &service, &caller, &mut rng);
        let req = to_http(&sent, &service, &caller, &mut rng);
        let started = Instant::now();
        let outcome = client.exchange(entry, req).await;
        let refused = note(&board, entry, &sent, started.elapsed(), outcome);
        if refused {
            Timer::after(PAUSE).await;
        }
    }
}

fn make_request(
    board: &CallerBoard,
    service: &ServiceName,
    caller: &str,
    rng: &mut fastrand::Rng,
) -> Sent {
    let number = board.next_id.fetch_add(1, Ordering::Relaxed);
    let len = rng.usize(..MAX_BODY);
    let body: Vec<u8> = std::iter::repeat_with(|| rng.u8(..)).take(len).collect();
    Sent {
        id: format!("{caller}-{number}"),
        path: format!("/{service}/item-{number}"),
        body: body.into(),
        idempotent: !number.is_multiple_of(NON_IDEMPOTENT_EVERY),
    }
}

fn to_http(
    sent: &Sent,
    service: &ServiceName,
    caller: &str,
    rng: &mut fastrand::Rng,
) -> Request<Full<Bytes>> {
    let uri = format!("{}?ms={}", sent.path, rng.u64(..=MAX_RUN_MS));
    let idempotent = if sent.idempotent { "yes" } else { "no" };
    Request::builder()
        .method(Method::POST)
        .uri(uri)
        .header("host", service.as_str())
        .header(CALLER_HEADER, caller)
        .header(REQUEST_ID_HEADER, &sent.id)
        .header(IDEMPOTENT_HEADER, idempotent)
        .header(DEADLINE_HEADER, DEADLINE.as_millis() as u64)
        .body(Full::new(sent.body.clone()))
        .unwrap_or_else(|err| unreachable!("the parts are fixed: {err}"))
}

/// Counts what came of a request; true when the caller should wait before the next one.
fn note(
    board: &CallerBoard,
    entry: SocketAddr,
    sent: &Sent,
    took: Duration,
    outcome: Result<Response<Bytes>, ExchangeError>,
) -> bool {
    let mut counts = lock(&board.counts);
    let res = match outcome {
        Ok(res) => res,
        // A refused connection is no request: the balancer would have chosen another entry.
        Err(ExchangeError::Refused) => return true,
        Err(_) if lock(&board.vanished).contains(&entry) => {
            counts.lost_with_entry += 1;
            return true;
        }
        Err(err) => {
            log::warn!("request {} to {entry}: {err}", sent.id);
            counts.cut += 1;
            return true;
        }
    };
    if let Some(kind) = header(&res, ERROR_HEADER) {
        *counts.refused.entry(kind.to_owned()).or_default() += 1;
        if !sent.idempotent && header(&res, VERDICT_HEADER) == Some("no") {
            counts.told_not_run.push(sent.id.clone());
        }
        return true;
    }
    if is_right(&res, sent) {
        counts.answered += 1;
        lock(&board.latency).saturating_record(took.as_micros() as u64);
        return false;
    }
    if res.status() == StatusCode::INTERNAL_SERVER_ERROR {
        counts.failed += 1;
        return false;
    }
    log::warn!("request {} got a wrong answer with status {}", sent.id, res.status());
    counts.mixed_up += 1;
    false
}

fn header<'a>(res: &'a Response<Bytes>, name: &str) -> Option<&'a str> {
    res.headers().get(name)?.to_str().ok()
}

/// The target repeats path, id and body of the request that it answers.
fn is_right(res: &Response<Bytes>, sent: &Sent) -> bool {
    let Some(end) = res.body().iter().position(|b| *b == b'\n') else { return false };
    let (head, body) = (&res.body()[..end], &res.body()[end + 1..]);
    let head = String::from_utf8_lossy(head);
    let mut words = head.split(' ').skip(1);
    words.next() == Some(&sent.path) && words.next() == Some(&sent.id) && body == &sent.body[..]
}
