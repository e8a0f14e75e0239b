//! A stand-in of the platform's key-value service: compare-and-swap, leases and watches.
//!
//! [`model`] is the service without network; this module puts it behind HTTP.

pub mod model;

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderValue, Method, StatusCode};
use smol::Timer;

use crate::{
    faults::FaultSwitch,
    serve::{self, Runner, WholeRequest, WholeResponse},
    store::model::{StoreModel, WriteError},
};

/// The header of a value's version.
pub const VERSION_HEADER: &str = "store-version";
/// The header of the version that a writer expects.
pub const EXPECTED_HEADER: &str = "store-expected";
/// The header of the lease with which a key ends.
pub const LEASE_HEADER: &str = "store-lease";

/// How often a waiting watch looks for a change.
const WATCH_INTERVAL: Duration = Duration::from_millis(2);
/// The longest time for which a watch is held.
const MAX_WATCH: Duration = Duration::from_secs(60);

struct Inner {
    model: StoreModel,
    calls: BTreeMap<&'static str, u64>,
}

/// A store on a loopback port.
#[derive(Clone)]
pub struct StoreStandin {
    inner: Arc<Mutex<Inner>>,
    started: Instant,
    address: SocketAddr,
    /// What goes wrong at the store.
    pub faults: FaultSwitch,
}

impl StoreStandin {
    /// Starts a store at `listen`.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub fn start(ex: &Runner, listen: SocketAddr) -> io::Result<Self> {
        let listener = serve::bind(listen)?;
        let address = listener.get_ref().local_addr()?;
        let inner = Inner { model: StoreModel::default(), calls: BTreeMap::new() };
        let store = Self {
            inner: Arc::new(Mutex::new(inner)),
            started: Instant::now(),
            address,
            faults: FaultSwitch::default(),
        };
        let served = store.clone();
        serve::serve(ex, listener, store.faults.clone(), move |req| {
            let store = served.clone();
            async move { Some(store.handle(req).await) }
        });
        Ok(store)
    }

    /// Where the store listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// How many calls of each kind it has carried out.
    pub fn calls(&self) -> BTreeMap<&'static str, u64> {
        self.lock().calls.clone()
    }

    /// The value of a key, as a test or report reads it.
    pub fn value(&self, key: &str) -> Option<Bytes> {
        self.with_model(|model| model.get(key).map(|(_, value)| value))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn with_model<T, F>(&self, act: F) -> T
    where
        F: FnOnce(&mut StoreModel) -> T,
    {
        let mut inner = self.lock();
        inner.model.advance(self.started.elapsed());
        act(&mut inner.model)
    }

    fn count(&self, kind: &'static str) {
        *self.lock().calls.entry(kind).or_default() += 1;
    }

    async fn handle(&self, req: WholeRequest) -> WholeResponse {
        let path = req.uri().path().to_owned();
        let method = req.method().clone();
        if let Some(key) = path.strip_prefix("/v1/keys/") {
            return self.handle_key(&method, key, &req);
        }
        if let Some(key) = path.strip_prefix("/v1/watch/") {
            self.count("watch");
            return self.watch(key, &req).await;
        }
        match (method, path.as_str()) {
            (Method::GET, "/v1/keys") => self.list(&req),
            (Method::POST, "/v1/leases") => self.grant(&req),
            (method, path) => match serve::number(path.strip_prefix("/v1/leases/")) {
                Some(lease) => self.handle_lease(&method, lease),
                None => serve::answer(StatusCode::NOT_FOUND, "no such call"),
            },
        }
    }

    fn handle_key(&self, method: &Method, key: &str, req: &WholeRequest) -> WholeResponse {
        match *method {
            Method::GET => {
                self.count("get");
                value_answer(self.with_model(|model| model.get(key)))
            }
            Method::PUT => self.put(key, req),
            Method::DELETE => self.delete(key, req),
            _ => serve::answer(StatusCode::METHOD_NOT_ALLOWED, "GET, PUT or DELETE"),
        }
    }

    fn put(&self, key: &str, req: &WholeRequest) -> WholeResponse {
        self.count("write");
        let Some(expected) = header_number(req, EXPECTED_HEADER) else {
            return serve::answer(StatusCode::BAD_REQUEST, "store-expected is missing");
        };
        let lease = header_number(req, LEASE_HEADER);
        let value = req.body().clone();
        match self.with_model(|model| model.put(key, expected, value, lease)) {
            Ok(version) => with_version(serve::answer(StatusCode::OK, ""), version),
            Err(err) => write_error(err),
        }
    }

    fn delete(&self, key: &str, req: &WholeRequest) -> WholeResponse {
        self.count("write");
        let expected = header_number(req, EXPECTED_HEADER).unwrap_or(0);
        match self.with_model(|model| model.delete(key, expected)) {
            Ok(()) => serve::answer(StatusCode::OK, ""),
            Err(err) => write_error(err),
        }
    }

    fn list(&self, req: &WholeRequest) -> WholeResponse {
        self.count("list");
        let prefix = serve::query(req, "prefix").unwrap_or("");
        let entries = self.with_model(|model| model.list(prefix));
        let rows: Vec<serde_json::Value> = entries
            .into_iter()
            .map(|(key, version, value)| {
                let value = String::from_utf8_lossy(&value);
                serde_json::json!({ "key": key, "version": version, "value": value })
            })
            .collect();
        serve::answer_json(&rows)
    }

    async fn watch(&self, key: &str, req: &WholeRequest) -> WholeResponse {
        let after = serve::number(serve::query(req, "after")).unwrap_or(0);
        let wait = Duration::from_millis(serve::number(serve::query(req, "wait_ms")).unwrap_or(0));
        let until = Instant::now() + wait.min(MAX_WATCH);
        loop {
            match self.with_model(|model| model.get(key)) {
                Some((version, value)) if version > after => {
                    return value_answer(Some((version, value)));
                }
                None if after > 0 => return value_answer(None),
                _ if Instant::now() >= until => return serve::answer(StatusCode::NO_CONTENT, ""),
                _ => {}
            }
            Timer::after(WATCH_INTERVAL).await;
        }
    }

    fn grant(&self, req: &WholeRequest) -> WholeResponse {
        self.count("lease");
        let Some(ttl_ms) = serve::number(serve::query(req, "ttl_ms")) else {
            return serve::answer(StatusCode::BAD_REQUEST, "ttl_ms is missing");
        };
        let lease = self.with_model(|model| model.grant(Duration::from_millis(ttl_ms)));
        serve::answer_json(&serde_json::json!({ "lease": lease, "ttl_ms": ttl_ms }))
    }

    fn handle_lease(&self, method: &Method, lease: u64) -> WholeResponse {
        self.count("lease");
        match *method {
            Method::PUT => match self.with_model(|model| model.keep_alive(lease)) {
                Some(ttl) => {
                    let ttl_ms = ttl.as_millis() as u64;
                    serve::answer_json(&serde_json::json!({ "lease": lease, "ttl_ms": ttl_ms }))
                }
                None => write_error(WriteError::LeaseEnded),
            },
            Method::DELETE => {
                self.with_model(|model| model.revoke(lease));
                serve::answer(StatusCode::OK, "")
            }
            _ => serve::answer(StatusCode::METHOD_NOT_ALLOWED, "PUT or DELETE"),
        }
    }
}

fn header_number(req: &WholeRequest, name: &str) -> Option<u64> {
    serve::number(req.headers().get(name)?.to_str().ok())
}

fn with_version(mut res: WholeResponse, version: u64) -> WholeResponse {
    res.headers_mut().insert(VERSION_HEADER, HeaderValue::from(version));
    res
}

fn value_answer(found: Option<(u64, Bytes)>) -> WholeResponse {
    match found {
        Some((version, value)) => with_version(serve::answer(StatusCode::OK, value), version),
        None => serve::answer(StatusCode::NOT_FOUND, ""),
    }
}

fn write_error(err: WriteError) -> WholeResponse {
    match err {
        WriteError::OtherVersion => serve::answer(StatusCode::CONFLICT, "another version"),
        WriteError::LeaseEnded => serve::answer(StatusCode::GONE, "the lease has ended"),
        WriteError::TooLarge => serve::answer(StatusCode::PAYLOAD_TOO_LARGE, "over a megabyte"),
    }
}
