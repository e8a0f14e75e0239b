//! Propagates fleet changes along the tree, and verifies received ones.
//!
//! A delta contains its base revision and the digest of the resulting document. The receiver
//! applies the same function to the same changes; if its result differs, through a fault or a
//! different program version, the digest does not match and the receiver requests the whole
//! document.

use std::time::Duration;

use borageswitch_planner::changes;
use borageswitch_types::{Fleet, fleet::Revision, names::DaemonName};
use borageswitch_wire::{
    PeerMessage,
    peer::{self, Delta},
};

use crate::{reducer::State, store::Version};

/// Minimum time between two requests to a neighbour while this daemon is behind.
const REQUEST_INTERVAL: Duration = Duration::from_millis(300);

/// Why a delta cannot be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DeltaError {
    /// Its base is higher than the known revision.
    Gap,
    /// Its result does not match the sender's revision or digest.
    Mismatch,
}

impl State {
    /// Sends the changes since `base` to every neighbour except the one that they came from.
    pub(super) fn propagate(&mut self, base: Revision, from: Option<&DaemonName>) {
        let neighbours = self.neighbours();
        if neighbours.is_empty() {
            return;
        }
        let Some(delta) = self.make_delta(base) else { return };
        for daemon in neighbours.iter().filter(|daemon| Some(*daemon) != from) {
            self.send(daemon, PeerMessage::Changes(delta.clone()));
        }
    }

    fn make_delta(&mut self, base: Revision) -> Option<Delta> {
        let fleet = self.sync.fleet()?.clone();
        if base == Revision::default() {
            return None;
        }
        let changes = fleet.changes_since(base)?;
        let digest = self.digest(&fleet)?;
        Some(Delta { base, changes, store_version: self.sync.version().0, digest })
    }

    fn digest(&mut self, fleet: &Fleet) -> Option<u64> {
        if self.sync.digest.is_none() {
            self.sync.digest = peer::fleet_digest(fleet).ok();
        }
        self.sync.digest
    }

    /// Requests the fleet from a neighbour that knows a higher revision.
    pub(super) fn compare_revision(&mut self, from: &DaemonName, revision: Revision) {
        self.revision_seen(revision);
        let (known, _) = self.known_document();
        if revision > known && self.sync.next_fleet_request <= self.now {
            self.request_fleet(from, known);
        }
    }

    fn request_fleet(&mut self, from: &DaemonName, have: Revision) {
        self.sync.next_fleet_request = self.now + REQUEST_INTERVAL;
        self.send(from, PeerMessage::AskFleet { have });
    }

    pub(super) fn fleet_requested(&mut self, from: &DaemonName, have: Revision) {
        let (known, version) = self.known_document();
        if have >= known {
            return;
        }
        let message = match self.make_delta(have) {
            Some(delta) => PeerMessage::Changes(delta),
            None => {
                let Some(fleet) = self.sync.fleet() else { return };
                let fleet = Box::new(Fleet::clone(fleet));
                PeerMessage::Snapshot { fleet, store_version: version.0 }
            }
        };
        self.send(from, message);
    }

    pub(super) fn changes_received(&mut self, from: &DaemonName, delta: &Delta) {
        let (known, _) = self.known_document();
        let newest = delta.changes.last().map_or(delta.base, |change| change.revision);
        if newest <= known {
            return;
        }
        match self.sync.fleet().map(|fleet| apply_delta(fleet, delta)) {
            Some(Ok(fleet)) => self.adopt(fleet, Version(delta.store_version), Some(from)),
            Some(Err(DeltaError::Mismatch)) => {
                self.record_decision(format!(
                    "the changes from {from} lead elsewhere; it is asked for all"
                ));
                self.request_fleet(from, Revision::default());
            }
            Some(Err(DeltaError::Gap)) | None => self.request_fleet(from, known),
        }
    }

    pub(super) fn snapshot_received(&mut self, from: &DaemonName, fleet: Fleet, version: u64) {
        if fleet.region != self.cfg.region {
            log::error!("{from} sent the document of the region {}", fleet.region);
            return;
        }
        self.adopt(fleet, Version(version), Some(from));
    }
}

/// Applies a delta to a copy of the document.
fn apply_delta(fleet: &Fleet, delta: &Delta) -> Result<Fleet, DeltaError> {
    if delta.base > fleet.revision {
        return Err(DeltaError::Gap);
    }
    let mut next = fleet.clone();
    for change in delta.changes.iter().filter(|change| change.revision > fleet.revision) {
        match changes::apply(&mut next, &change.request) {
            Ok(revision) if revision == change.revision => {}
            _ => return Err(DeltaError::Mismatch),
        }
    }
    match peer::fleet_digest(&next) {
        Ok(digest) if digest == delta.digest => Ok(next),
        _ => Err(DeltaError::Mismatch),
    }
}
