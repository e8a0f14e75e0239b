//! Reads and watches the fleet document, adopting only higher revisions.
//!
//! Only the relay of a data centre watches the store, so the number of open watches grows with data
//! centres, not with daemons. All other daemons receive changes through the tree. They read the
//! store only after registering, when there is no contact with a relay, and when they stay behind a
//! revision known to a peer.

use std::{sync::Arc, time::Duration};

use borageswitch_types::{
    Fleet, Time,
    fleet::{FLEET_FORMAT, Revision},
    names::DaemonName,
};

use crate::{
    effect::Effect,
    reducer::{
        State,
        store_calls::{Backoff, Purpose},
    },
    store::{KeyValue, StoreError, StoreRequest, StoreResponse, Version},
};

/// How long the store holds a watch: long enough to need few calls, short enough to notice a watch
/// that is no longer served.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Base delay of the backoff after a failed read.
const RETRY_BASE: Duration = Duration::from_millis(250);
/// How often a daemon without a relay reads the store.
const READ_WITHOUT_RELAY: Duration = Duration::from_secs(2);
/// How long a daemon may stay behind a known revision before it reads the store.
const READ_WHEN_BEHIND: Duration = Duration::from_secs(2);

/// The fleet document known to this daemon, and the state of its synchronisation.
#[derive(Debug, Default)]
pub(super) struct FleetSync {
    fleet: Option<Arc<Fleet>>,
    version: Version,
    pub(super) digest: Option<u64>,
    read_again: Option<Time>,
    last_read: Time,
    backoff: Backoff,
    /// Since when a revision higher than the document's has been known.
    behind_since: Option<Time>,
    pub(super) next_fleet_request: Time,
}

impl FleetSync {
    pub(super) fn fleet(&self) -> Option<&Arc<Fleet>> {
        self.fleet.as_ref()
    }

    pub(super) fn version(&self) -> Version {
        self.version
    }
}

impl State {
    pub(super) fn read_fleet(&mut self) {
        if self.store_calls.is_open(|purpose| *purpose == Purpose::ReadFleet) {
            self.sync.read_again = Some(self.now + RETRY_BASE);
            return;
        }
        self.sync.last_read = self.now;
        let request = StoreRequest::Get { key: self.fleet_key() };
        self.call_store(Purpose::ReadFleet, request, self.cfg.store_timeout);
    }

    pub(super) fn sync_tick(&mut self) {
        if self.exited {
            return;
        }
        if self.sync.read_again.is_some_and(|at| at <= self.now) || self.should_read() {
            self.sync.read_again = None;
            self.read_fleet();
        }
        if self.may_act(&self.relay_duty()) {
            self.watch_fleet();
        }
    }

    fn should_read(&mut self) -> bool {
        let idle = self.now.since(self.sync.last_read);
        let behind = self.sync.behind_since.is_some_and(|s| s + READ_WHEN_BEHIND <= self.now);
        if behind && idle >= READ_WHEN_BEHIND {
            return true;
        }
        let relay = self.relay_duty();
        let is_notified = self.may_act(&relay) || self.recent_holder(&relay).is_some();
        !is_notified && idle >= READ_WITHOUT_RELAY && self.sync.read_again.is_none()
    }

    /// Records that a peer knows a revision; the store is read if this daemon stays behind it.
    pub(super) fn revision_seen(&mut self, revision: Revision) {
        let (known, _) = self.known_document();
        if revision <= known {
            return;
        }
        self.sync.behind_since.get_or_insert(self.now);
    }

    pub(super) fn fleet_read(&mut self, sent_at: Time, outcome: Result<StoreResponse, StoreError>) {
        match outcome {
            Ok(StoreResponse::Value(Some(kv))) => self.apply_value(&kv),
            Ok(StoreResponse::Value(None)) => self.document_absent(),
            _ => {
                let wait = self.sync.backoff.next_delay(RETRY_BASE, &mut self.rng);
                self.sync.read_again = Some(self.now + wait);
                return;
            }
        }
        self.sync.backoff.reset();
        self.session.document_read(sent_at);
        self.writer_read(sent_at);
    }

    pub(super) fn fleet_watched(&mut self, outcome: Result<StoreResponse, StoreError>) {
        match outcome {
            Ok(StoreResponse::Value(Some(kv))) => self.apply_value(&kv),
            Ok(_) => {}
            Err(_) => {
                let wait = self.sync.backoff.next_delay(RETRY_BASE, &mut self.rng);
                self.sync.read_again = Some(self.now + wait);
                return;
            }
        }
        if self.may_act(&self.relay_duty()) {
            self.watch_fleet();
        }
    }

    fn watch_fleet(&mut self) {
        let watching = self.store_calls.is_open(|purpose| *purpose == Purpose::WatchFleet);
        if watching || self.sync.read_again.is_some() {
            return;
        }
        let request = StoreRequest::Watch {
            key: self.fleet_key(),
            after: self.sync.version,
            wait: WATCH_WAIT,
        };
        self.call_store(Purpose::WatchFleet, request, WATCH_WAIT + self.cfg.store_timeout);
    }

    fn document_absent(&mut self) {
        match &self.sync.fleet {
            None => self.sync.fleet = Some(Arc::new(Fleet::empty(self.cfg.region.clone()))),
            // The store has lost the document; the next change writes it in full.
            Some(_) => self.sync.version = Version::ABSENT,
        }
    }

    fn apply_value(&mut self, kv: &KeyValue) {
        if kv.version == self.sync.version && self.sync.fleet.is_some() {
            return;
        }
        match serde_json::from_slice::<Fleet>(&kv.value) {
            Ok(fleet) if fleet.format == FLEET_FORMAT => self.adopt(fleet, kv.version, None),
            Ok(fleet) => log::error!("the fleet document has the unknown format {}", fleet.format),
            Err(err) => log::error!("the fleet document cannot be read: {err}"),
        }
    }

    /// Adopts a document unless a newer one is known, and forwards it to all neighbours except its
    /// sender.
    ///
    /// Reads, watches, peer messages and write responses may arrive in any order. Without the check
    /// a delayed response would restore an old document, and a host that has left would get new
    /// work.
    pub(super) fn adopt(&mut self, fleet: Fleet, version: Version, from: Option<&DaemonName>) {
        let before = self.sync.fleet.clone();
        if version > self.sync.version {
            self.sync.version = version;
        }
        let known = before.as_ref().map(|known| known.revision);
        let is_newer =
            known.is_none_or(|known| fleet.revision > known || known == Revision::default());
        if !is_newer && self.cfg.guards.adopt_only_higher {
            return;
        }
        if let Some(before) = &before {
            check_successor(before, &fleet);
        }
        let fleet = Arc::new(fleet);
        self.sync.fleet = Some(fleet.clone());
        self.sync.digest = None;
        self.sync.behind_since = None;
        self.effects.push(Effect::PublishFleet(fleet));
        self.refresh_phases();
        self.publish_view();
        if is_newer {
            self.propagate(known.unwrap_or_default(), from);
        }
        self.schedule_heartbeat();
        self.schedule_planning();
    }
}

/// Asserts the invariants between two successive documents, regardless of their source.
///
/// # Panics
///
/// If the revision or a fencing token decreases, or a host changes its pool within one epoch.
fn check_successor(before: &Fleet, after: &Fleet) {
    assert!(
        after.revision >= before.revision,
        "the document would go back from revision {} to {}",
        before.revision,
        after.revision
    );
    for (duty, fence) in &before.fences {
        let kept = after.fences.get(duty).is_some_and(|after| after >= fence);
        assert!(kept, "the fencing token of {duty} would decrease below {fence}");
    }
    for (name, host) in &after.hosts {
        let Some(known) = before.hosts.get(name) else { continue };
        assert!(
            known.pool == host.pool || known.epoch != host.epoch,
            "{name} would be in the pools {} and {} in epoch {}",
            known.pool,
            host.pool,
            host.epoch
        );
    }
}
