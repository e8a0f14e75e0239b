//! Passes changes on along the tree, and checks what comes in.
//!
//! A delta says from which revision it starts and what digest the document has in the end. The
//! receiver applies the same function to the same changes; should the two daemons differ, by a
//! fault or by versions of the program, the digest tells and the whole document is asked for.

use std::time::Duration;

use borageswitch_planner::changes;
use borageswitch_types::{Fleet, fleet::Revision, names::DaemonName};
use borageswitch_wire::{
    PeerMessage,
    peer::{self, Delta},
};

use crate::{reducer::State, store::Version};

/// A daemon that is behind asks a neighbour this often.
const REQUEST_INTERVAL: Duration = Duration::from_millis(300);

/// Why a delta cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DeltaError {
    /// It starts after the revision that is known.
    Gap,
    /// It does not lead where its sender says.
    Mismatch,
}

impl State {
    /// Sends what has changed since `base` to every neighbour but the one from which it came.
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

    /// Asks a neighbour that knows more.
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
