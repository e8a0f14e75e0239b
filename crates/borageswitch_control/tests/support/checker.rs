//! Invariants of every simulation, checked from outside the daemons.

use std::collections::{BTreeMap, BTreeSet};

use borageswitch_types::{
    Fleet, Time,
    claim::{ClaimOutcome, ClaimTicket},
    fleet::{Author, Fence, HostPhase, Revision},
    names::{DaemonName, HostName, OperationId, ServiceName},
};

/// The stored document and the history that the invariants are checked against.
#[derive(Debug, Default)]
pub struct Checker {
    pub stored_fleet: Option<Fleet>,
    published: BTreeMap<DaemonName, Revision>,
    operations: BTreeSet<OperationId>,
    granted: BTreeMap<u64, (DaemonName, ClaimTicket)>,
    released: BTreeSet<u64>,
    highest_fence: Fence,
    pub outcomes: Vec<(u64, DaemonName, ClaimOutcome)>,
    pub grants: u64,
    pub releases: u64,
    /// Grants of an id whose claim was released before.
    pub grants_after_release: u64,
    pub reboots: u64,
    pub requests: u64,
}

impl Checker {
    /// Checks a new value of the fleet document that was written to the store.
    pub fn committed(&mut self, bytes: &[u8]) {
        let fleet: Fleet = serde_json::from_slice(bytes).expect("the document can be read");
        let before =
            self.stored_fleet.as_ref().map_or(Revision(0), |stored_fleet| stored_fleet.revision);
        assert!(fleet.revision > before, "the store's document went back to {}", fleet.revision);
        for change in fleet.recent.iter().filter(|change| change.revision > before) {
            let operation = &change.request.operation;
            assert!(self.operations.insert(operation.clone()), "{operation} took effect twice");
            if let Author::Holder { fence, .. } = change.request.author {
                assert!(fence >= self.highest_fence, "a holder with an old fence has written");
                self.highest_fence = fence;
            }
        }
        let reserved = fleet.reserved_power();
        assert!(reserved <= fleet.power_cap, "{reserved} reserved under {}", fleet.power_cap);
        self.stored_fleet = Some(fleet);
    }

    pub fn published(&mut self, daemon: &DaemonName, revision: Revision) {
        let before = self.published.insert(daemon.clone(), revision).unwrap_or_default();
        assert!(revision >= before, "{daemon} went back from {before} to {revision}");
    }

    /// Checks a request that is sent to a host for a service.
    pub fn request_started(&mut self, daemon: &DaemonName, host: &HostName, service: &ServiceName) {
        self.requests += 1;
        let stored_fleet = self.stored_fleet.as_ref().expect("requests follow the first document");
        let Some(record) = stored_fleet.hosts.get(host) else { return };
        let pool = &stored_fleet.services[service].pool;
        assert!(record.pool == *pool, "{daemon} sends work of {pool} to {host} of {}", record.pool);
        let is_out = matches!(record.phase, HostPhase::Rebooting { .. } | HostPhase::Held { .. });
        assert!(!is_out, "{daemon} sends new work to {host}, which is {:?}", record.phase);
    }

    pub fn reboot_started(&mut self, host: &HostName, in_flight: &[DaemonName]) {
        self.reboots += 1;
        assert!(in_flight.is_empty(), "{host} reboots with requests of {in_flight:?} in flight");
    }

    /// Checks that a daemon that sends a command is the planner according to the store.
    pub fn commanded(&mut self, now: Time, daemon: &DaemonName, holder: Option<&str>) {
        let is_holder = holder == Some(daemon.as_str());
        assert!(is_holder, "{daemon} commands at {now:?} while the duty is with {holder:?}");
    }

    pub fn claim_answered(
        &mut self,
        id: u64,
        daemon: &DaemonName,
        ticket: ClaimTicket,
        outcome: ClaimOutcome,
    ) {
        self.outcomes.push((id, daemon.clone(), outcome));
        if outcome != ClaimOutcome::Granted {
            return;
        }
        self.grants += 1;
        self.grants_after_release += u64::from(self.released.contains(&id));
        let before = self.granted.insert(id, (daemon.clone(), ticket));
        assert!(before.is_none(), "request {id} is granted to {before:?} and {daemon}");
    }

    /// The daemon and ticket that a request was granted to, unless the claim was released since.
    pub fn holder(&self, id: u64) -> Option<(DaemonName, ClaimTicket)> {
        self.granted.get(&id).cloned()
    }

    /// Records that a daemon releases a claim under which it has sent nothing: from now on, and not
    /// before, the request may be granted again.
    ///
    /// A release of a claim that is not granted or is already released permits nothing.
    pub fn claim_released(&mut self, id: u64, daemon: &DaemonName, ticket: ClaimTicket) {
        if self.granted.get(&id) == Some(&(daemon.clone(), ticket)) {
            self.releases += 1;
            self.released.insert(id);
            self.granted.remove(&id);
        }
    }
}
