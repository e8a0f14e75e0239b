//! Lists of hosts that take seconds, are seconds old or name new hosts seconds late, and the checks
//! of what the leader concludes from them.

use std::collections::VecDeque;

use borageswitch_scheduler::fleet::{HostEntry, HostState};
use borageswitch_types::names::HostName;

use super::Simulation;

/// How long an ordinary list takes, in milliseconds.
const LIST_TIME: u64 = 10;
/// The longest time that a late list takes, in milliseconds.
const MAX_LIST_TIME: u64 = 4_000;
/// The greatest age of a late list, in milliseconds.
const MAX_LIST_AGE: u64 = 3_000;
/// The longest time after which a new host or executor is listed, in milliseconds.
const MAX_LISTING_LAG: u64 = 6_000;
/// How often the hosts are recorded for later lists, in milliseconds.
const RECORD_INTERVAL: u64 = 100;

/// The recent states of the hosts.
#[derive(Clone, Debug, Default)]
pub(super) struct LateLists {
    recorded: VecDeque<(u64, Vec<HostEntry>)>,
    /// The time of the last list that was returned: no later one is older.
    returned: u64,
}

impl Simulation {
    /// Whether this list is as prompt as that of a healthy platform.
    fn is_prompt(&mut self) -> bool {
        !self.faults.late_lists || self.rng.bool()
    }

    /// How long a list takes.
    pub(super) fn list_delay(&mut self) -> u64 {
        if self.is_prompt() { LIST_TIME } else { self.rng.u64(LIST_TIME..MAX_LIST_TIME) }
    }

    /// How much later than it joins a new host or executor is listed.
    pub(super) fn listing_lag(&mut self) -> u64 {
        if self.is_prompt() { 0 } else { self.rng.u64(..MAX_LISTING_LAG) }
    }

    /// Records the hosts for later lists.
    pub(super) fn record_hosts(&mut self) {
        let now = self.now;
        if !self.faults.late_lists || !now.is_multiple_of(RECORD_INTERVAL) {
            return;
        }
        let Some(hosts) = &mut self.hosts else { return };
        let current = hosts.entries(now);
        hosts.lists.recorded.push_back((now, current));
        if hosts.lists.recorded.len() as u64 > MAX_LIST_AGE / RECORD_INTERVAL {
            hosts.lists.recorded.pop_front();
        }
    }

    /// The list to return in place of the current one.
    pub(super) fn late_list(&mut self, current: Vec<HostEntry>) -> Vec<HostEntry> {
        let age = match self.age_before_return() {
            Some(age) => age,
            None if self.is_prompt() => 0,
            None => self.rng.u64(..MAX_LIST_AGE),
        };
        let now = self.now;
        let Some(hosts) = &mut self.hosts else { return current };
        let at = (now - age.min(now)).max(hosts.lists.returned);
        let known = hosts.lists.recorded.iter().find(|(recorded, _)| *recorded >= at);
        let (at, list) = match known {
            Some((recorded, list)) if age > 0 => (*recorded, list.clone()),
            _ => (now, current),
        };
        hosts.lists.returned = at;
        list
    }

    /// A wave that is completed before its time is over has maintained all hosts that stay.
    pub(super) fn check_wave_report(&mut self, wave: u64, completed: bool) {
        let Some(hosts) = &self.hosts else { return };
        let Some(known) = hosts.waves.get(&wave).filter(|_| completed) else { return };
        if self.now - known.requested_at >= known.request.allowed.as_millis() as u64 {
            return;
        }
        let forgotten = |host: &&HostName| {
            hosts.all.get(*host).is_some_and(|host| !host.maintained.contains(&wave))
        };
        let forgotten: Vec<&HostName> = known.request.hosts.iter().filter(forgotten).collect();
        if !forgotten.is_empty() {
            self.violations.push(format!("{}: wave {wave} has left out {forgotten:?}", self.now));
        }
    }

    /// No more hosts are in maintenance for a wave at once than it permits.
    pub(super) fn check_wave_order(&mut self, wave: u64, name: &HostName) {
        let Some(hosts) = &mut self.hosts else { return };
        let is_down = |host: &HostName| {
            let host = hosts.all.get(host);
            host.is_some_and(|host| {
                host.state == HostState::InMaintenance && host.maintained.last() == Some(&wave)
            })
        };
        let Some(known) = hosts.waves.get(&wave) else { return };
        let down = known.request.hosts.iter().filter(|host| is_down(host)).count();
        let exceeds = down as u32 >= known.request.max_down;
        if let Some(host) = hosts.all.get_mut(name) {
            host.maintained.push(wave);
        }
        if exceeds {
            self.violations.push(format!("{}: wave {wave} takes {name} beside {down}", self.now));
        }
    }
}
