//! Determines which leaving hosts are drained, that is, have no requests of any daemon in flight.
//!
//! Every daemon must confirm the drain. Otherwise a host would be rebooted while another entry,
//! which does not know of the leave yet, still sends it work, and callers would see their responses
//! cut off. A silent daemon counts as live until it has certainly stopped taking work and the
//! requests that it had in flight have certainly ended.

use std::{collections::BTreeMap, time::Duration};

use borageswitch_types::{
    Time,
    fleet::{Host, HostPhase, Revision},
    names::{DaemonName, HostName, PoolName},
};
use borageswitch_wire::peer::Progress;

use crate::reducer::{State, members::KnownMember};

/// A host's epoch and the revision at which this daemon first saw it.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownEpoch {
    pub(super) epoch: u64,
    pub(super) revision: Revision,
}

/// Why a leaving host is not drained yet.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub(super) enum DrainBlocker {
    #[display("this daemon's traffic threads do not send by the new revision yet")]
    NotApplied,
    #[display("this daemon has {_0} requests in flight there")]
    InFlight(u32),
    #[display("the store's list of members is not read since the leave")]
    NoList,
    #[display("{daemon} has not confirmed that nothing is in flight{detail}")]
    Waits { daemon: DaemonName, detail: &'static str },
    #[display("{confirmed} daemons have confirmed and {needed} are a majority")]
    NoMajority { confirmed: usize, needed: usize },
    #[display("daemons that are not seen may serve for some more seconds")]
    Unseen,
}

impl State {
    /// This daemon's own progress, as reported in heartbeats.
    pub(super) fn own_progress(&self) -> Progress {
        let applied = self.traffic.applied;
        let draining = self.leaving.iter().filter_map(|host| {
            let seen = self.epochs.get(host).filter(|seen| applied >= seen.revision)?;
            let in_flight = self.traffic.draining.get(host).copied().unwrap_or(0);
            Some((host.clone(), (seen.epoch, in_flight)))
        });
        let draining: BTreeMap<HostName, (u64, u32)> = draining.collect();
        Progress { applied, draining, failing: self.own_failing(), serving: self.is_admitting() }
    }

    /// Updates the epochs and the leaving hosts from the fleet document.
    pub(super) fn refresh_phases(&mut self) {
        let Some(fleet) = self.sync.fleet().cloned() else { return };
        self.remove_unknown_hosts();
        let before = std::mem::take(&mut self.leaving);
        for (name, host) in &fleet.hosts {
            self.refresh_epoch(name, host, fleet.revision);
            if matches!(host.phase, HostPhase::Leaving { .. }) {
                self.leaving.insert(name.clone());
            }
        }
        if !self.leaving.is_subset(&before) {
            self.schedule_member_list();
        }
    }

    fn refresh_epoch(&mut self, name: &HostName, host: &Host, revision: Revision) {
        if self.epochs.get(name).is_some_and(|seen| seen.epoch == host.epoch) {
            return;
        }
        let seen = KnownEpoch { epoch: host.epoch, revision };
        self.epochs.insert(name.clone(), seen);
        self.observed.phase_since.insert(name.clone(), self.now);
    }

    /// Recomputes the set of drained hosts.
    pub(super) fn refresh_drained(&mut self) {
        let drained = self.leaving.iter().filter(|host| self.undrained(host).is_none());
        self.observed.drained = drained.cloned().collect();
    }

    /// Why a leaving host is not drained, or `None` if it is and the planner may proceed.
    fn undrained(&self, host: &HostName) -> Option<DrainBlocker> {
        let seen = self.epochs.get(host)?;
        let covered = self.members.list_covers.is_some_and(|covered| covered >= seen.revision);
        match self.local_drain_blocker(host) {
            None if !covered && self.cfg.guards.acknowledgements => Some(DrainBlocker::NoList),
            undrained => undrained,
        }
    }

    /// Why a leaving host is not drained, disregarding the list of members, which only the planner
    /// reads often.
    pub(super) fn local_drain_blocker(&self, host: &HostName) -> Option<DrainBlocker> {
        let seen = self.epochs.get(host)?;
        if self.traffic.applied < seen.revision {
            return Some(DrainBlocker::NotApplied);
        }
        match self.traffic.draining.get(host).copied().unwrap_or(0) {
            0 => {}
            in_flight => return Some(DrainBlocker::InFlight(in_flight)),
        }
        if !self.cfg.guards.acknowledgements {
            return None;
        }
        self.missing_confirmation(host, seen.epoch)
    }

    fn missing_confirmation(&self, host: &HostName, epoch: u64) -> Option<DrainBlocker> {
        let drain_timeout = self.drain_timeout(host);
        let mut confirmed_at = Vec::new();
        for (daemon, known) in &self.members.known {
            match self.confirmation(daemon, host, epoch) {
                Some(at) => confirmed_at.push(at),
                None if self.has_surely_stopped(daemon, known, drain_timeout) => {}
                None => {
                    let detail = if self.may_be_alive(daemon) { "" } else { " and is silent" };
                    return Some(DrainBlocker::Waits { daemon: daemon.clone(), detail });
                }
            }
        }
        self.unknown_daemons(&confirmed_at)
    }

    /// Whether daemons unknown to this one may still serve by an old document.
    fn unknown_daemons(&self, confirmed_at: &[Time]) -> Option<DrainBlocker> {
        let expected = self.sync.fleet().map_or(0, |fleet| fleet.entries_expected);
        let needed = usize::from(expected / 2) + 1;
        let confirmed = confirmed_at.len() + 1;
        if confirmed < needed {
            return Some(DrainBlocker::NoMajority { confirmed, needed });
        }
        let last = confirmed_at.iter().max().copied().unwrap_or_default();
        let settled = last + self.cfg.silence_timeout <= self.now;
        let all_seen = confirmed >= usize::from(expected);
        (!all_seen && !settled).then_some(DrainBlocker::Unseen)
    }

    fn confirmation(&self, daemon: &DaemonName, host: &HostName, epoch: u64) -> Option<Time> {
        let contact = self.members.contacts.get(daemon)?;
        let (acked, at) = contact.acks.get(host)?;
        (*acked == epoch).then_some(*at)
    }

    /// Whether a daemon has been silent and without a lease for so long that it has stopped taking
    /// work and all its requests have ended.
    fn has_surely_stopped(
        &self,
        daemon: &DaemonName,
        known: &KnownMember,
        drain_timeout: Duration,
    ) -> bool {
        let lease_ended = match &known.listed {
            Some(listed) => listed.gone_since,
            // Never listed: it has never held a lease while this daemon has known it.
            None => Some(known.first_known),
        };
        let Some(lease_ended) = lease_ended else { return false };
        let last_contact =
            self.members.contacts.get(daemon).map_or(Time::ZERO, |contact| contact.at);
        let last = lease_ended.max(last_contact).max(known.first_known);
        last + self.cfg.silence_timeout + drain_timeout <= self.now
    }

    /// The longest time for which a request may be in flight on a host.
    fn drain_timeout(&self, host: &HostName) -> Duration {
        let Some(fleet) = self.sync.fleet() else { return Duration::ZERO };
        let Some(record) = fleet.hosts.get(host) else { return Duration::ZERO };
        self.longest_deadline(|pool| *pool == record.pool)
    }

    /// The longest time for which a crashed daemon may have requests in flight on any host.
    pub(super) fn longest_drain_timeout(&self) -> Duration {
        self.longest_deadline(|_| true) + self.cfg.silence_timeout
    }

    fn longest_deadline<F>(&self, in_pool: F) -> Duration
    where
        F: Fn(&PoolName) -> bool,
    {
        let Some(fleet) = self.sync.fleet() else { return Duration::ZERO };
        let services = fleet.services.values().filter(|service| in_pool(&service.pool));
        services.map(|service| service.limits.max_deadline).max().unwrap_or_default()
    }
}
