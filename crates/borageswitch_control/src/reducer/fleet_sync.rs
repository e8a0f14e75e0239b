//! Reads and watches the fleet document and adopts only higher revisions.

use std::{sync::Arc, time::Duration};

use borageswitch_types::{
    Fleet, Time,
    fleet::{FLEET_FORMAT, Revision},
};

use crate::{
    effect::Effect,
    reducer::{Purpose, State},
    store::{KeyValue, StoreAnswer, StoreError, StoreRequest, Version},
};

/// How long the store holds a watch: long enough to cost few calls, short enough that a watch that
/// went silent is noticed.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// How long to wait after a failed read.
const RETRY_WAIT: Duration = Duration::from_millis(500);

/// The document as this daemon knows it.
#[derive(Debug, Default)]
pub(super) struct FleetSync {
    fleet: Option<Arc<Fleet>>,
    version: Version,
    read_again: Option<Time>,
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
        let request = StoreRequest::Get { key: self.fleet_key() };
        self.call_store(Purpose::ReadFleet, request, self.cfg.store_timeout);
    }

    pub(super) fn sync_tick(&mut self) {
        if self.sync.read_again.is_some_and(|at| at <= self.now) {
            self.sync.read_again = None;
            self.read_fleet();
        }
    }

    pub(super) fn fleet_read(&mut self, outcome: Result<StoreAnswer, StoreError>) {
        match outcome {
            Ok(StoreAnswer::Value(Some(kv))) => self.take_value(&kv),
            Ok(StoreAnswer::Value(None)) => self.take_absent(),
            _ => {
                self.sync.read_again = Some(self.now + RETRY_WAIT);
                self.writer_read_failed();
                return;
            }
        }
        self.writer_read();
        self.watch_fleet();
    }

    pub(super) fn fleet_watched(&mut self, outcome: Result<StoreAnswer, StoreError>) {
        match outcome {
            Ok(StoreAnswer::Value(kv)) => {
                if let Some(kv) = kv {
                    self.take_value(&kv);
                }
                self.watch_fleet();
            }
            _ => self.sync.read_again = Some(self.now + RETRY_WAIT),
        }
    }

    fn watch_fleet(&mut self) {
        let watching = self.calls.values().any(|purpose| matches!(purpose, Purpose::WatchFleet));
        if watching {
            return;
        }
        let request = StoreRequest::Watch {
            key: self.fleet_key(),
            after: self.sync.version,
            wait: WATCH_WAIT,
        };
        self.call_store(Purpose::WatchFleet, request, WATCH_WAIT + self.cfg.store_timeout);
    }

    fn take_absent(&mut self) {
        if self.sync.fleet.is_none() {
            self.sync.fleet = Some(Arc::new(Fleet::empty(self.cfg.region.clone())));
        }
    }

    fn take_value(&mut self, kv: &KeyValue) {
        match serde_json::from_slice::<Fleet>(&kv.value) {
            Ok(fleet) if fleet.format == FLEET_FORMAT => self.adopt(fleet, kv.version),
            Ok(fleet) => log::error!("the fleet document has the unknown format {}", fleet.format),
            Err(err) => log::error!("the fleet document cannot be read: {err}"),
        }
    }

    /// Adopts a document unless a newer one is known.
    ///
    /// Reads, watches and answers to writes race each other. Without the check an answer that was
    /// read early and arrived late would bring an old document back, and a host that had left
    /// would get new work.
    pub(super) fn adopt(&mut self, fleet: Fleet, version: Version) {
        let known = self.known().0;
        if version > self.sync.version {
            self.sync.version = version;
        }
        if fleet.revision <= known && self.sync.fleet.is_some() && known != Revision::default() {
            return;
        }
        let fleet = Arc::new(fleet);
        self.sync.fleet = Some(fleet.clone());
        self.effects.push(Effect::PublishFleet(fleet));
        self.note_phases();
        self.publish_view();
        self.effects.push(Effect::SetReady(!self.stopping));
    }
}
