//! The platform's store: keys, transactions, watches and leases.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Reply, Request},
    json::{Json, quote},
    record::Recorder,
};

/// How long an ordinary answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// How often leases are checked for their end.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Clone)]
struct Item {
    /// Base64, as it was written.
    value: String,
    revision: u64,
    created_at: u64,
    lease: u64,
}

#[derive(Clone)]
struct Change {
    key: String,
    revision: u64,
    /// `None` if the key was removed.
    item: Option<Item>,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

/// Writes whose answers are lost, and which are carried out later.
struct LateWrites {
    /// They write a key that contains this text.
    key_part: String,
    delay: Duration,
    /// When the store loses answers no longer.
    until: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    late_writes: Option<LateWrites>,
}

/// The store. Clones are the same store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    recorder: Recorder,
}

impl Store {
    /// Starts a store. Gives its address.
    pub fn start(recorder: Recorder) -> std::io::Result<(Self, SocketAddr)> {
        let state = State { revision: 100, next_lease: 7_000, ..State::default() };
        let store = Self { state: Arc::new((Mutex::new(state), Condvar::new())), recorder };
        let own = store.clone();
        let address = http::serve(move |request| own.handle(&request))?;
        let own = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(EXPIRY_INTERVAL);
                own.expire_leases();
            }
        });
        Ok((store, address))
    }

    /// Writes a key as the operator or an executor does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.lock();
        state.write(key, &base64(value.as_bytes()), 0);
        drop(state);
        self.state.1.notify_all();
    }

    /// Whether a key exists.
    pub fn has(&self, key: &str) -> bool {
        self.lock().items.contains_key(key)
    }

    /// Loses the answers to writes of keys that contain `key_part` for a while, and carries each out
    /// after `delay` if its condition still holds.
    pub fn lose_writes(&self, key_part: &str, delay: Duration, lasts: Duration) {
        let (key_part, until) = (key_part.to_owned(), Instant::now() + lasts);
        self.lock().late_writes = Some(LateWrites { key_part, delay, until });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn expire_leases(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let ended: Vec<u64> =
            state.leases.iter().filter(|(_, lease)| lease.ends <= now).map(|(id, _)| *id).collect();
        ended.iter().for_each(|id| state.end_lease(*id));
        drop(state);
        if !ended.is_empty() {
            self.state.1.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Reply {
        thread::sleep(ANSWER_TIME);
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let path = request.path.as_str();
        match path {
            "/-/kv-key" => self.read(&request.query["key"]),
            "/-/kv-range" => self.list(request),
            "/-/kv-watch" => self.watch(request),
            "/-/kv-txn" => self.transact(body),
            "/-/kv-lease" => self.grant(&body),
            _ => match path.strip_prefix("/-/kv-keep/").or(path.strip_prefix("/-/kv-lease-end/")) {
                Some(id) => {
                    self.renew_or_end(id.parse().unwrap_or(0), path.starts_with("/-/kv-keep/"))
                }
                None => Reply::Answer(400, "{}".to_owned()),
            },
        }
    }

    fn read(&self, key: &str) -> Reply {
        let state = self.lock();
        let at = state.revision;
        match state.items.get(key) {
            Some(item) => {
                let fields = item_fields(key, item);
                Reply::Answer(200, format!("{{{fields},\"at_rev\":{at}}}"))
            }
            None => Reply::Answer(404, format!("{{\"at_rev\":{at}}}")),
        }
    }

    fn list(&self, request: &Request) -> Reply {
        let prefix = request.query.get("prefix").cloned().unwrap_or_default();
        let after = request.query.get("after").cloned().unwrap_or_default();
        let state = self.lock();
        let found = state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let found: Vec<String> =
            found.map(|(key, item)| format!("{{{}}}", item_fields(key, item))).collect();
        let more = found.len() > 500;
        let page = found.into_iter().take(500).collect::<Vec<_>>().join(",");
        let at = state.revision;
        Reply::Answer(200, format!("{{\"items\":[{page}],\"has_more\":{more},\"at_rev\":{at}}}"))
    }

    fn watch(&self, request: &Request) -> Reply {
        let number = |name: &str| request.query.get(name).and_then(|text| text.parse().ok());
        let prefix = request.query.get("prefix").cloned().unwrap_or_default();
        let after: u64 = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut state = self.lock();
        loop {
            let from = state.history.partition_point(|change| change.revision <= after);
            let events: Vec<String> = state.history[from..]
                .iter()
                .filter(|change| change.key.starts_with(&prefix))
                .map(event)
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), state.revision);
                return Reply::Answer(200, format!("{{\"events\":[{events}],\"at_rev\":{at}}}"));
            }
            let waited = self.state.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn transact(&self, body: Json) -> Reply {
        let mut state = self.lock();
        let written: Vec<String> = body.list("write").iter().map(|row| row.text("key")).collect();
        let is_late = |late: &&LateWrites| {
            Instant::now() < late.until && written.iter().any(|key| key.contains(&late.key_part))
        };
        if let Some(delay) = state.late_writes.as_ref().filter(is_late).map(|late| late.delay) {
            drop(state);
            self.recorder.line(&format!(
                "store: the answer to the write of {} is lost, it is carried out {} ms later",
                written.join(", "),
                delay.as_millis()
            ));
            let own = self.clone();
            thread::spawn(move || {
                thread::sleep(delay);
                let outcome = own.lock().transact(&body).0;
                own.state.1.notify_all();
                own.recorder.line(&format!(
                    "store: the late write of {} is carried out: {outcome}",
                    written.join(", ")
                ));
            });
            return Reply::Lost;
        }
        let (status, text) = state.transact(&body);
        drop(state);
        self.state.1.notify_all();
        Reply::Answer(status, text)
    }

    fn grant(&self, body: &Json) -> Reply {
        let ttl_ms = body.number("ttl_ms").max(1_000);
        let ttl = Duration::from_millis(ttl_ms);
        let mut state = self.lock();
        state.next_lease += 1;
        let id = state.next_lease;
        state.leases.insert(id, Lease { ttl, ends: Instant::now() + ttl });
        Reply::Answer(200, format!("{{\"lease_id\":{id},\"ttl_ms\":{ttl_ms}}}"))
    }

    fn renew_or_end(&self, id: u64, renews: bool) -> Reply {
        let mut state = self.lock();
        let Some(lease) = state.leases.get_mut(&id) else {
            return Reply::Answer(404, "{}".to_owned());
        };
        lease.ends = Instant::now() + lease.ttl;
        let ttl_ms = lease.ttl.as_millis();
        if !renews {
            state.end_lease(id);
        }
        drop(state);
        self.state.1.notify_all();
        Reply::Answer(200, format!("{{\"lease_id\":{id},\"ttl_ms\":{ttl_ms}}}"))
    }
}

impl State {
    fn write(&mut self, key: &str, value: &str, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created_at = self.items.get(key).map_or(revision, |item| item.created_at);
        let item = Item { value: value.to_owned(), revision, created_at, lease };
        self.history.push(Change { key: key.to_owned(), revision, item: Some(item.clone()) });
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            self.history.push(Change { key: key.to_owned(), revision, item: None });
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        keys.iter().for_each(|key| self.remove(key));
    }

    /// Carries out a transaction. Gives status and body.
    fn transact(&mut self, body: &Json) -> (u16, String) {
        let expected = body.list("expect");
        let revision_of = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        if expected.iter().any(|row| revision_of(&row.text("key")) != row.number("revision")) {
            let present = expected.iter().filter_map(|row| {
                let key = row.text("key");
                Some(format!("{{{}}}", item_fields(&key, self.items.get(&key)?)))
            });
            let present = present.collect::<Vec<_>>().join(",");
            return (412, format!("{{\"items\":[{present}]}}"));
        }
        let writes = body.list("write");
        let lacks_lease = |row: &Json| {
            let lease = row.number("lease_id");
            lease != 0 && !self.leases.contains_key(&lease)
        };
        if writes.iter().any(lacks_lease) {
            return (404, "{}".to_owned());
        }
        for row in &writes {
            self.write(&row.text("key"), &row.text("value"), row.number("lease_id"));
        }
        for key in body.list("remove") {
            self.remove(&key.as_text());
        }
        (200, format!("{{\"revision\":{}}}", self.revision_of_last(&writes)))
    }

    /// The revision that a transaction reports: that of its last write.
    fn revision_of_last(&self, writes: &[Json]) -> u64 {
        let last = writes.last().and_then(|row| self.items.get(&row.text("key")));
        last.map_or(self.revision, |item| item.revision)
    }
}

fn item_fields(key: &str, item: &Item) -> String {
    let Item { value, revision, created_at, lease } = item;
    format!(
        "\"key\":{},\"value\":\"{value}\",\"revision\":{revision},\"created_at\":{created_at},\
         \"lease_id\":{lease}",
        quote(key)
    )
}

fn event(change: &Change) -> String {
    match &change.item {
        Some(item) => format!("{{{}}}", item_fields(&change.key, item)),
        None => {
            let (key, revision) = (quote(&change.key), change.revision);
            format!("{{\"key\":{key},\"revision\":{revision},\"deleted\":true}}")
        }
    }
}

/// Standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let at = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for digit in 0..4 {
            if digit <= chunk.len() {
                let index = bits >> (18 - 6 * digit) & 63;
                text.push(char::from(DIGITS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
