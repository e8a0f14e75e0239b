//! The platform's store: keys, watches, transactions and leases, as PROTOCOL.md has them.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::json::{self, Json, object};

/// The largest number of items in one page.
const PAGE: usize = 500;

#[derive(Clone, Debug)]
struct Item {
    /// The value in base64.
    value: String,
    revision: u64,
    created_at: u64,
    lease_id: u64,
}

#[derive(Clone, Debug)]
struct Lease {
    ttl: Duration,
    ends: Instant,
}

/// A change of a key; without a value the key was removed.
struct Change {
    key: String,
    item: Option<Item>,
    revision: u64,
}

/// A transaction.
#[derive(Clone, Debug)]
pub struct Transaction {
    expect: Vec<(String, u64)>,
    write: Vec<(String, String, u64)>,
    pub remove: Vec<String>,
}

impl Transaction {
    pub fn parse(body: &str) -> Option<Self> {
        let body = Json::parse(body)?;
        let expect = body.get("expect").list().iter();
        let write = body.get("write").list().iter();
        let remove = body.get("remove").list().iter();
        Some(Self {
            expect: expect
                .map(|row| {
                    (row.get("key").text().to_owned(), row.get("revision").number().unwrap_or(0))
                })
                .collect(),
            write: write
                .map(|row| {
                    let value = row.get("value").text().to_owned();
                    (
                        row.get("key").text().to_owned(),
                        value,
                        row.get("lease_id").number().unwrap_or(0),
                    )
                })
                .collect(),
            remove: remove.map(|key| key.text().to_owned()).collect(),
        })
    }

    /// The keys that it writes, for the record.
    pub fn keys(&self) -> String {
        self.write.iter().map(|(key, ..)| key.as_str()).collect::<Vec<_>>().join(",")
    }
}

#[derive(Default)]
pub struct Store {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
}

impl Store {
    fn put(&mut self, key: &str, value: String, lease_id: u64, revision: u64) {
        let created_at = self.items.get(key).map_or(revision, |item| item.created_at);
        let item = Item { value, revision, created_at, lease_id };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push(Change { key: key.to_owned(), item: Some(item), revision });
    }

    fn delete(&mut self, key: &str, revision: u64) {
        if self.items.remove(key).is_some() {
            self.history.push(Change { key: key.to_owned(), item: None, revision });
        }
    }

    /// The operator, or an executor, writes a key.
    pub fn write(&mut self, key: &str, text: &str) {
        self.revision += 1;
        self.put(key, json::base64(text.as_bytes()), 0, self.revision);
    }

    /// The platform removes a key.
    pub fn remove(&mut self, key: &str) {
        self.revision += 1;
        self.delete(key, self.revision);
    }

    /// Ends the leases that have run out, and gives whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, lease)| lease.ends <= now).map(|(id, _)| *id).collect();
        ended.iter().for_each(|lease| self.end_lease(*lease));
        !ended.is_empty()
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease_id == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.delete(&key, self.revision);
        }
    }

    pub fn read(&self, key: &str) -> (u16, String) {
        match self.items.get(key) {
            Some(item) => {
                let Json::Object(mut fields) = encoded(key, item) else { unreachable!() };
                fields.insert("at_rev".to_owned(), self.revision.into());
                (200, Json::Object(fields).encode())
            }
            None => (404, object([("at_rev", self.revision.into())]).encode()),
        }
    }

    pub fn list(&self, prefix: &str, after: &str) -> (u16, String) {
        let mut found = self.items.iter().filter(|(key, _)| {
            key.starts_with(prefix) && (after.is_empty() || key.as_str() > after)
        });
        let items: Vec<Json> =
            found.by_ref().take(PAGE).map(|(key, item)| encoded(key, item)).collect();
        let more = found.next().is_some();
        let body = object([
            ("items", items.into()),
            ("has_more", more.into()),
            ("at_rev", self.revision.into()),
        ]);
        (200, body.encode())
    }

    /// The changes after a revision; `None` if there are none.
    pub fn changes(&self, prefix: &str, after: u64) -> Option<String> {
        let from = self.history.partition_point(|change| change.revision <= after);
        let changes = self.history[from..].iter().filter(|change| change.key.starts_with(prefix));
        let events: Vec<Json> = changes
            .map(|change| match &change.item {
                Some(item) => encoded(&change.key, item),
                None => object([
                    ("key", change.key.as_str().into()),
                    ("revision", change.revision.into()),
                    ("deleted", true.into()),
                ]),
            })
            .collect();
        (!events.is_empty()).then(|| self.changes_body(events))
    }

    /// The response to a watch that has seen no change.
    pub fn no_changes(&self) -> String {
        self.changes_body(Vec::new())
    }

    fn changes_body(&self, events: Vec<Json>) -> String {
        object([("events", events.into()), ("at_rev", self.revision.into())]).encode()
    }

    /// Carries a transaction out.
    pub fn commit(&mut self, tx: &Transaction) -> (u16, String) {
        let at = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        if tx.expect.iter().any(|(key, revision)| at(key) != *revision) {
            let keys = tx.expect.iter().map(|(key, _)| key);
            let items: Vec<Json> =
                keys.filter_map(|key| Some(encoded(key, self.items.get(key)?))).collect();
            return (412, object([("items", items.into())]).encode());
        }
        if tx.write.iter().any(|(.., lease)| *lease != 0 && !self.leases.contains_key(lease)) {
            return (404, "{}".to_owned());
        }
        if tx.expect.len() + tx.write.len() + tx.remove.len() > 32 {
            return (400, "{}".to_owned());
        }
        self.revision += 1;
        let revision = self.revision;
        for (key, value, lease) in &tx.write {
            self.put(key, value.clone(), *lease, revision);
        }
        for key in &tx.remove {
            self.delete(key, revision);
        }
        (200, object([("revision", revision.into())]).encode())
    }

    pub fn grant(&mut self, ttl_ms: u64) -> (u16, String) {
        let ttl_ms = ttl_ms.max(1_000);
        let ttl = Duration::from_millis(ttl_ms);
        self.next_lease += 1;
        self.leases.insert(self.next_lease, Lease { ttl, ends: Instant::now() + ttl });
        let body = object([("lease_id", self.next_lease.into()), ("ttl_ms", ttl_ms.into())]);
        (200, body.encode())
    }

    pub fn keep(&mut self, lease: u64) -> (u16, String) {
        let Some(known) = self.leases.get_mut(&lease) else { return (404, "{}".to_owned()) };
        known.ends = Instant::now() + known.ttl;
        (200, object([("ttl_ms", (known.ttl.as_millis() as u64).into())]).encode())
    }

    pub fn revoke(&mut self, lease: u64) -> (u16, String) {
        if !self.leases.contains_key(&lease) {
            return (404, "{}".to_owned());
        }
        self.end_lease(lease);
        (200, "{}".to_owned())
    }
}

fn encoded(key: &str, item: &Item) -> Json {
    object([
        ("key", key.into()),
        ("value", item.value.as_str().into()),
        ("revision", item.revision.into()),
        ("created_at", item.created_at.into()),
        ("lease_id", item.lease_id.into()),
    ])
}
