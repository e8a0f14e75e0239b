//! Hosts as jobs see them: their room, and whether they are to be trusted.
//!
//! Load pattern: a broken host fails each job within a second, is free again at once and so draws
//! all the work there is. Without a guard it empties the queue into failures. A host on which jobs
//! of several kinds fail in a row is set aside, longer each time, and takes one job at a time as a
//! trial afterwards. If many hosts of a pool fail, the fault lies with the jobs or with something
//! that they share; then no more than a share of the hosts is set aside.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use borageswitch_types::{
    Time,
    fleet::Reason,
    names::{HostName, PoolName, TeamName},
};

use crate::placement::job::Size;

/// So many kinds must have failed in a row.
const FAILED_KINDS: usize = 3;
/// How long a host is set aside the first time; each further time doubles it.
const FIRST_ASIDE: Duration = Duration::from_secs(60);
/// The most doublings: 32 minutes.
const MAX_DOUBLINGS: u32 = 5;
/// At most one in so many hosts of a pool is set aside.
const ASIDE_SHARE: usize = 4;

/// A host and what it has to give.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HostRoom {
    /// The pool in which it serves.
    pub pool: PoolName,
    /// All that it has for jobs.
    pub room: Size,
    /// Whether it is to stop: it takes no further job.
    pub leaving: bool,
}

/// What jobs have shown of a host.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
struct Health {
    failed: BTreeSet<(TeamName, Reason)>,
    aside_until: Option<Time>,
    times: u32,
}

/// Every host.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Hosts {
    hosts: BTreeMap<HostName, HostRoom>,
    /// The names of each pool's hosts: a placement looks at one pool, not at the region.
    pools: BTreeMap<PoolName, BTreeSet<HostName>>,
    health: BTreeMap<HostName, Health>,
}

impl Hosts {
    /// Adds a host or changes one.
    pub fn set(&mut self, name: HostName, host: HostRoom) {
        self.leave_pool(&name);
        self.pools.entry(host.pool.clone()).or_default().insert(name.clone());
        self.hosts.insert(name, host);
    }

    fn leave_pool(&mut self, name: &HostName) {
        let Some(host) = self.hosts.remove(name) else { return };
        let Some(pool) = self.pools.get_mut(&host.pool) else { return };
        pool.remove(name);
        if pool.is_empty() {
            self.pools.remove(&host.pool);
        }
    }

    /// Forgets a host.
    pub fn remove(&mut self, name: &HostName) {
        self.leave_pool(name);
        self.health.remove(name);
    }

    /// A host by name.
    pub fn get(&self, name: &HostName) -> Option<&HostRoom> {
        self.hosts.get(name)
    }

    /// The hosts of a pool.
    pub fn of_pool<'a>(
        &'a self,
        pool: &'a PoolName,
    ) -> impl Iterator<Item = (&'a HostName, &'a HostRoom)> {
        let names = self.pools.get(pool).into_iter().flatten();
        names.filter_map(|name| self.hosts.get_key_value(name))
    }

    /// Notes that a job has failed on a host, and sets the host aside if it fails everything.
    pub fn note_failure(&mut self, now: Time, name: &HostName, team: &TeamName, kind: &Reason) {
        let may_set_aside = self.may_set_aside(now, name);
        let health = self.health.entry(name.clone()).or_default();
        health.failed.insert((team.clone(), kind.clone()));
        let on_trial = health.aside_until.is_some();
        if may_set_aside && (on_trial || health.failed.len() >= FAILED_KINDS) {
            let doublings = health.times.min(MAX_DOUBLINGS);
            health.aside_until = Some(now + FIRST_ASIDE * 2_u32.pow(doublings));
            health.times += 1;
        }
    }

    /// Notes that a job has done its work on a host.
    pub fn note_success(&mut self, name: &HostName) {
        self.health.remove(name);
    }

    fn may_set_aside(&self, now: Time, name: &HostName) -> bool {
        let Some(host) = self.hosts.get(name) else { return false };
        let all = self.of_pool(&host.pool).count();
        let aside = self.of_pool(&host.pool).filter(|(other, _)| self.is_aside(now, other)).count();
        self.is_aside(now, name) || (aside + 1) * ASIDE_SHARE <= all
    }

    /// Whether a host is set aside.
    pub fn is_aside(&self, now: Time, name: &HostName) -> bool {
        let until = self.health.get(name).and_then(|health| health.aside_until);
        until.is_some_and(|until| now < until)
    }

    /// Whether a host was set aside and has not done a job since: it takes one at a time.
    pub fn is_on_trial(&self, now: Time, name: &HostName) -> bool {
        let until = self.health.get(name).and_then(|health| health.aside_until);
        until.is_some_and(|until| now >= until)
    }
}
