//! The platform's metadata store, as PROTOCOL.md describes it.

use std::{
    collections::BTreeMap,
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Handler, Reply, Request},
    json::{self, Json, num, obj, text},
};

/// What an ordinary answer takes.
pub const LATENCY: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created_at: u64,
    lease: u64,
}

struct Lease {
    until: Instant,
    ttl: Duration,
}

struct Event {
    revision: u64,
    key: String,
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    history: Vec<Event>,
    /// How much longer than usual an answer takes.
    slower: Duration,
}

/// A transaction that was carried out.
pub struct Committed {
    pub revision: u64,
    pub written: Vec<(String, Vec<u8>)>,
    pub removed: Vec<String>,
}

type Watcher = Box<dyn Fn(&Committed) + Send + Sync>;

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    watcher: Mutex<Option<Watcher>>,
}

impl Store {
    pub fn new() -> Arc<Store> {
        let store = Arc::new(Store::default());
        let own = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                own.end_leases();
            }
        });
        store
    }

    /// Calls `watcher` right after each transaction, before it is answered.
    pub fn watch_commits(&self, watcher: Watcher) {
        *self.watcher.lock().unwrap() = Some(watcher);
    }

    pub fn handler(self: &Arc<Self>) -> Handler {
        let own = self.clone();
        Arc::new(move |req| own.serve(&req))
    }

    /// From now on an answer takes `factor` times as long as usual.
    pub fn slow_down(&self, factor: u32) {
        self.lock().slower = LATENCY * (factor - 1);
    }

    /// Writes as the operator or an executor does.
    pub fn put(&self, key: &str, value: &Json) {
        let value = json::base64(value.text().as_bytes());
        self.lock().write(key, Some(value), 0);
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        self.lock().write(key, None, 0);
        self.changed.notify_all();
    }

    pub fn has(&self, key: &str) -> bool {
        self.lock().items.contains_key(key)
    }

    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.lock().items.get(key).map(|item| json::unbase64(&item.value))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn end_leases(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let over: Vec<u64> =
            state.leases.iter().filter(|(_, l)| l.until <= now).map(|(id, _)| *id).collect();
        over.iter().for_each(|id| state.end_lease(*id));
        if !over.is_empty() {
            self.changed.notify_all();
        }
    }

    /// A slow store carries a call out when it arrives, and answers late.
    fn serve(&self, req: &Request) -> Reply {
        let reply = self.carry_out(req);
        let slower = self.lock().slower;
        thread::sleep(slower);
        reply
    }

    fn carry_out(&self, req: &Request) -> Reply {
        thread::sleep(LATENCY);
        let parameter = |name: &str| req.query.get(name).cloned().unwrap_or_default();
        match (&*req.method, &*req.path) {
            ("GET", "/-/kv-key") => {
                let state = self.lock();
                let key = parameter("key");
                match state.items.get(&key) {
                    Some(item) => {
                        let mut body = item_body(&key, item);
                        body.push(("at_rev", num(state.revision)));
                        Reply::json(200, &obj(body))
                    }
                    None => Reply::json(404, &obj(vec![("at_rev", num(state.revision))])),
                }
            }
            ("GET", "/-/kv-range") => {
                let state = self.lock();
                let (prefix, after) = (parameter("prefix"), parameter("after"));
                let mut found: Vec<_> = state
                    .items
                    .range(prefix.clone()..)
                    .take_while(|(key, _)| key.starts_with(&prefix))
                    .filter(|(key, _)| after.is_empty() || **key > after)
                    .take(501)
                    .collect();
                let more = found.len() > 500;
                found.truncate(500);
                let items = found.into_iter().map(|(key, item)| obj(item_body(key, item)));
                Reply::json(
                    200,
                    &obj(vec![
                        ("items", Json::Arr(items.collect())),
                        ("has_more", Json::Bool(more)),
                        ("at_rev", num(state.revision)),
                    ]),
                )
            }
            ("GET", "/-/kv-watch") => {
                let wait = parameter("wait_ms").parse().unwrap_or(0);
                let after = parameter("after").parse().unwrap_or(0);
                self.watch(&parameter("prefix"), after, Duration::from_millis(wait))
            }
            ("POST", "/-/kv-txn") => self.commit(&req.body),
            ("POST", "/-/kv-lease") => {
                let mut state = self.lock();
                state.next_lease += 1;
                let (id, ttl) = (state.next_lease, req.body.get("ttl_ms").u64().max(1_000));
                let ttl_taken = Duration::from_millis(ttl);
                state
                    .leases
                    .insert(id, Lease { until: Instant::now() + ttl_taken, ttl: ttl_taken });
                Reply::json(200, &obj(vec![("lease_id", num(id)), ("ttl_ms", num(ttl))]))
            }
            ("POST", path) if path.starts_with("/-/kv-keep/") => {
                let mut state = self.lock();
                match state.leases.get_mut(&id_of(path)) {
                    Some(lease) => {
                        lease.until = Instant::now() + lease.ttl;
                        let ttl = lease.ttl.as_millis() as u64;
                        Reply::json(200, &obj(vec![("ttl_ms", num(ttl))]))
                    }
                    None => Reply::empty(404),
                }
            }
            ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
                self.lock().end_lease(id_of(path));
                self.changed.notify_all();
                Reply::empty(200)
            }
            _ => Reply::empty(404),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Reply {
        let until = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let from = state.history.partition_point(|event| event.revision <= after);
            let news = state.history[from..].iter().filter(|event| event.key.starts_with(prefix));
            let events: Vec<Json> = news
                .map(|event| match &event.item {
                    Some(item) => obj(item_body(&event.key, item)),
                    None => obj(vec![
                        ("key", text(&event.key)),
                        ("revision", num(event.revision)),
                        ("deleted", Json::Bool(true)),
                    ]),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = num(state.revision);
                return Reply::json(200, &obj(vec![("events", Json::Arr(events)), ("at_rev", at)]));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn commit(&self, body: &Json) -> Reply {
        let mut state = self.lock();
        let expected = body.get("expect").arr();
        let holds = |row: &Json| {
            let known = state.items.get(row.get("key").str()).map_or(0, |item| item.revision);
            known == row.get("revision").u64()
        };
        if !expected.iter().all(holds) {
            let items = expected.iter().filter_map(|row| {
                let key = row.get("key").str();
                Some(obj(item_body(key, state.items.get(key)?)))
            });
            return Reply::json(412, &obj(vec![("items", Json::Arr(items.collect()))]));
        }
        let (writes, removes) = (body.get("write").arr(), body.get("remove").arr());
        if expected.len() + writes.len() + removes.len() > 32 {
            return Reply::empty(400);
        }
        let lease = |row: &Json| row.get("lease_id").u64();
        if writes.iter().any(|row| lease(row) > 0 && !state.leases.contains_key(&lease(row))) {
            return Reply::empty(404);
        }
        state.revision += 1;
        let mut done =
            Committed { revision: state.revision, written: Vec::new(), removed: Vec::new() };
        for row in writes {
            let (key, value) = (row.get("key").str(), row.get("value").str());
            state.apply(key, Some(value.to_owned()), lease(row));
            done.written.push((key.to_owned(), json::unbase64(value)));
        }
        for key in removes.iter().map(Json::str) {
            if state.items.contains_key(key) {
                state.apply(key, None, 0);
                done.removed.push(key.to_owned());
            }
        }
        drop(state);
        self.changed.notify_all();
        if let Some(watcher) = &*self.watcher.lock().unwrap() {
            watcher(&done);
        }
        Reply::json(200, &obj(vec![("revision", num(done.revision))]))
    }
}

impl State {
    fn write(&mut self, key: &str, value: Option<String>, lease: u64) {
        self.revision += 1;
        self.apply(key, value, lease);
    }

    /// Changes one key at the present revision.
    fn apply(&mut self, key: &str, value: Option<String>, lease: u64) {
        let revision = self.revision;
        let item = value.map(|value| {
            let created_at = self.items.get(key).map_or(revision, |item| item.created_at);
            Item { value, revision, created_at, lease }
        });
        match &item {
            Some(item) => {
                self.items.insert(key.to_owned(), item.clone());
            }
            None => {
                self.items.remove(key);
            }
        }
        self.history.push(Event { revision, key: key.to_owned(), item });
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let held = self.items.iter().filter(|(_, item)| item.lease == id);
        let held: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        held.iter().for_each(|key| self.write(key, None, 0));
    }
}

fn id_of(path: &str) -> u64 {
    path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0)
}

fn item_body<'a>(key: &str, item: &Item) -> Vec<(&'a str, Json)> {
    vec![
        ("key", text(key)),
        ("value", text(&item.value)),
        ("revision", num(item.revision)),
        ("created_at", num(item.created_at)),
        ("lease_id", num(item.lease)),
    ]
}
