//! Collects the planner's observations of hosts: agents' responses, silence and failing requests.
//!
//! Probing each of 1,700 hosts every few seconds would cost more than all other messages of the
//! daemons. Hosts with traffic are monitored through it instead: entries report which hosts fail
//! nearly all requests. The holder of the planner duty probes the agents of those hosts, and one of
//! all other hosts each second, in rotation.

use std::{collections::BTreeMap, time::Duration};

use borageswitch_types::{
    Time,
    agent::{AgentCommand, AgentError, AgentStatus},
    fleet::{Duty, HostPhase},
    names::HostName,
};

use crate::reducer::State;

/// The share of failed requests, in thousandths, from which a host is reported to the planner.
pub(super) const FAILING_PERMILLE: u16 = 800;
/// How often the next host in rotation and each suspected host are probed.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of suspected hosts probed at once, so that the loss of a data centre causes no
/// burst of probes.
const MAX_SUSPECTS: usize = 16;
/// Number of unanswered commands after which a host counts as silent; a single one may be a network
/// fault.
const SILENT_AFTER: u32 = 2;

/// The probe schedule and the hosts whose agents did not respond.
#[derive(Debug, Default)]
pub(super) struct Observing {
    next_probe: Time,
    last_host: Option<HostName>,
    unanswered: BTreeMap<HostName, u32>,
}

impl State {
    pub(super) fn agent_responded(
        &mut self,
        host: HostName,
        outcome: Result<AgentStatus, AgentError>,
    ) {
        match outcome {
            Ok(status) => self.record_status(host, status),
            Err(AgentError::Silent) => self.record_silence(host),
            Err(AgentError::Refused) => {
                self.observing.unanswered.remove(&host);
                self.observed.unreachable_since.remove(&host);
            }
        }
    }

    fn record_status(&mut self, host: HostName, status: AgentStatus) {
        self.observing.unanswered.remove(&host);
        let was_silent = self.observed.unreachable_since.remove(&host).is_some();
        if let Some(done) = &status.done {
            let known = self.observed.done_since.get(&host).is_some_and(|(known, _)| known == done);
            if !known {
                self.observed.done_since.insert(host.clone(), (done.clone(), self.now));
            }
        }
        // A changed state triggers planning at once. Power readings change constantly and can wait
        // for the next regular run.
        let known = self.observed.agents.get(&host);
        let has_changed = known.is_none_or(|k| k.ready != status.ready || k.done != status.done);
        self.observed.agents.insert(host, status);
        if was_silent || has_changed {
            self.schedule_planning();
        }
    }

    fn record_silence(&mut self, host: HostName) {
        // A host that serves requests successfully is reachable, whatever its agent does.
        let works = self.traffic.failing.get(&host).is_some_and(|share| *share < FAILING_PERMILLE);
        let unanswered = self.observing.unanswered.entry(host.clone()).or_default();
        *unanswered += 1;
        if *unanswered >= SILENT_AFTER && !works {
            self.observed.unreachable_since.entry(host).or_insert(self.now);
        }
    }

    /// The hosts that fail nearly all requests of this daemon.
    pub(super) fn own_failing(&self) -> BTreeMap<HostName, u16> {
        let failing = self.traffic.failing.iter();
        let failing = failing.filter(|(_, share)| **share >= FAILING_PERMILLE);
        failing.map(|(host, share)| (host.clone(), *share)).collect()
    }

    /// Recomputes which hosts are failing. With several entries at least two must report a host,
    /// since a single entry may itself be at fault.
    pub(super) fn refresh_failing(&mut self) {
        let mut reports: BTreeMap<HostName, usize> = BTreeMap::new();
        let silence = self.cfg.silence_timeout;
        let contacts =
            self.members.contacts.values().filter(|contact| contact.at + silence > self.now);
        let others = contacts.flat_map(|contact| contact.progress.failing.keys().cloned());
        for host in others.chain(self.own_failing().into_keys()) {
            *reports.entry(host).or_default() += 1;
        }
        let needed = if self.entries.len() > 1 { 2 } else { 1 };
        reports.retain(|_, count| *count >= needed);
        let texts = reports.into_iter().map(|(host, count)| {
            (host, format!("{count} entries see it fail nearly all requests").into())
        });
        self.observed.failing = texts.collect();
    }

    pub(super) fn observing_tick(&mut self) {
        if self.observing.next_probe > self.now || !self.may_act(&Duty::Planner) {
            return;
        }
        self.observing.next_probe = self.now + PROBE_INTERVAL;
        let suspects = self.observing.unanswered.keys().chain(self.observed.failing.keys());
        let mut hosts: Vec<HostName> = suspects.take(MAX_SUSPECTS).cloned().collect();
        hosts.extend(self.next_host());
        for host in hosts {
            self.command(host, AgentCommand::Status);
        }
    }

    fn next_host(&mut self) -> Option<HostName> {
        let fleet = self.sync.fleet()?.clone();
        let after = self.observing.last_host.take();
        let is_probed = |name: &HostName| {
            let host = &fleet.hosts[name];
            !matches!(host.phase, HostPhase::Held { .. })
        };
        let later = fleet.hosts.keys().filter(|name| after.as_ref().is_none_or(|a| *name > a));
        let next = later.chain(fleet.hosts.keys()).find(|name| is_probed(name)).cloned();
        self.observing.last_host.clone_from(&next);
        next
    }

    /// Removes the state of hosts that are no longer in the fleet document.
    pub(super) fn remove_unknown_hosts(&mut self) {
        let Some(fleet) = self.sync.fleet().cloned() else { return };
        let hosts = &fleet.hosts;
        self.epochs.retain(|host, _| hosts.contains_key(host));
        self.last_commands.retain(|host, _| hosts.contains_key(host));
        self.observing.unanswered.retain(|host, _| hosts.contains_key(host));
        let observed = &mut self.observed;
        observed.phase_since.retain(|host, _| hosts.contains_key(host));
        observed.agents.retain(|host, _| hosts.contains_key(host));
        observed.done_since.retain(|host, _| hosts.contains_key(host));
        observed.unreachable_since.retain(|host, _| hosts.contains_key(host));
    }
}
