//! The platform's list of hosts, and the end of executors that it no longer names.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use borageswitch_types::{
    Time,
    names::{ExecutorName, HostName, PoolName},
};

use crate::{
    effect::Effect,
    event::Now,
    fleet::{HostEntry, HostState},
    incarnation,
    reducer::{
        Scheduler,
        crashes::{EndDetection, HostOutcome},
        executors::Executor,
        hosts::{RETURN_TIMEOUT, Withdrawal},
    },
};

/// How often the hosts are listed while waves or withdrawals are in progress, or while jobs that
/// crash executors are contained: the list confirms crashes.
const LIST_INTERVAL: Duration = Duration::from_millis(700);
/// How often the hosts are listed otherwise.
const IDLE_LIST_INTERVAL: Duration = Duration::from_millis(1_500);
/// A list that has not arrived after this time is requested again, in case a connection has gone
/// silent. The responses count by the times of their requests.
const LIST_OVERDUE: Duration = Duration::from_millis(2_500);
/// How long before the request of a list an executor must have been known for its absence from the
/// list to count: one that restarts under its name appears there again a moment after it has
/// registered. One that may not have been listed yet must also have been silent for as long.
const LIST_LAG: Duration = Duration::from_millis(1_500);

/// How long the names of dropped executors are kept; from then on a host that is listed as up counts
/// as back whatever executor it has.
const FORGOTTEN_RETENTION: Duration = RETURN_TIMEOUT;

/// The executors in one list of hosts, by their registered names.
#[derive(Debug, Default)]
struct Listing {
    /// When the request for the list was sent.
    at: Option<Time>,
    host_of: BTreeMap<ExecutorName, HostName>,
    /// Whether the executor of a host could not be decoded. Any executor may be meant that was not
    /// listed before.
    lacks_executor: bool,
}

impl Listing {
    fn host_of(&self, executor: &ExecutorName) -> Option<&HostName> {
        self.host_of.get(incarnation::registered_name(executor))
    }
}

/// The hosts as the leader knows them.
#[derive(Debug, Default)]
pub struct Fleet {
    /// The platform's list.
    pub hosts: BTreeMap<HostName, HostEntry>,
    /// When the request for the list was sent.
    pub listed: Option<Time>,
    /// The hosts that are taken out of service.
    pub withdrawals: BTreeMap<HostName, Withdrawal>,
    listing: Listing,
    previous_listing: Listing,
    /// Hosts with orders of earlier leaders that a list in this term has shown as away.
    pub(super) seen_away: BTreeSet<HostName>,
    /// The registered names of executors that were dropped from the table, and when. Old lists may
    /// name them still.
    forgotten: BTreeMap<ExecutorName, Time>,
    /// When the last list was requested that has not arrived, or when its call failed.
    requested_at: Option<Time>,
    /// Kinds of hosts of which there are few.
    scarce: BTreeSet<Arc<str>>,
}

impl Fleet {
    /// The host of an executor according to the last list, or else to the one before.
    pub(super) fn host_of(&self, executor: &ExecutorName) -> Option<&HostName> {
        self.listing_with(executor)?.host_of(executor)
    }

    /// When the platform last listed an executor.
    pub(super) fn last_listed(&self, executor: &ExecutorName) -> Option<Time> {
        self.listing_with(executor)?.at
    }

    fn listing_with(&self, executor: &ExecutorName) -> Option<&Listing> {
        let has = |listing: &&Listing| listing.host_of(executor).is_some();
        [&self.listing, &self.previous_listing].into_iter().find(has)
    }

    /// Applies a list that was requested at `asked`.
    fn apply_list(&mut self, asked: Time, hosts: Vec<HostEntry>) {
        self.listed = Some(asked);
        let is_unreadable = |entry: &HostEntry| entry.state == HostState::Unreadable;
        let lacks_executor =
            hosts.iter().any(|entry| is_unreadable(entry) && entry.executor.is_none());
        let hosts = hosts.into_iter().map(|entry| match self.hosts.get(&entry.host) {
            Some(before) if is_unreadable(&entry) => unreadable_entry(before, entry),
            _ => entry,
        });
        self.hosts = hosts.map(|entry| (entry.host.clone(), entry)).collect();
        let may_run = |entry: &&HostEntry| {
            matches!(entry.state, HostState::Up | HostState::Unknown | HostState::Unreadable)
        };
        let running = self.hosts.values().filter(may_run);
        let host_of = running
            .filter_map(|entry| Some((entry.executor.clone()?, entry.host.clone())))
            .collect();
        let fresh = Listing { at: Some(asked), host_of, lacks_executor };
        self.previous_listing = std::mem::replace(&mut self.listing, fresh);
        self.update_scarce();
    }

    /// Records a new incarnation of an executor; the platform lists hosts with registered names.
    pub(super) fn note_incarnation(&mut self, executor: &ExecutorName) {
        let Some(host) = self.listing.host_of(executor) else { return };
        let Some(entry) = self.hosts.get_mut(host) else { return };
        let listed = entry.executor.as_ref().map(incarnation::registered_name);
        if listed == Some(incarnation::registered_name(executor)) {
            entry.executor = Some(executor.clone());
        }
    }

    /// Records that an executor is dropped from the table.
    pub(super) fn note_forgotten(&mut self, now: Time, executor: &ExecutorName) {
        let registered = ExecutorName::from(incarnation::registered_name(executor));
        self.forgotten.insert(registered, now);
        self.forgotten.retain(|_, at| now.since(*at) < FORGOTTEN_RETENTION);
    }

    /// Whether an executor was dropped from the table, so that lists that name it are old.
    pub(super) fn is_forgotten(&self, executor: &ExecutorName) -> bool {
        self.forgotten.contains_key(incarnation::registered_name(executor))
    }

    /// What happened to the host of an executor that is no longer listed or has restarted.
    pub(super) fn host_outcome(&self, executor: &ExecutorName) -> HostOutcome {
        let Some(host) = self.host_of(executor).cloned() else { return HostOutcome::Unknown };
        if self.withdrawals.get(&host).is_some_and(Withdrawal::is_ordered) {
            return HostOutcome::Ordered(host);
        }
        match self.hosts.get(&host).map(|entry| entry.state) {
            Some(HostState::Moving | HostState::InMaintenance) => HostOutcome::Ordered(host),
            Some(
                state @ (HostState::Up
                | HostState::Down
                | HostState::Unknown
                | HostState::Unreadable),
            ) => HostOutcome::Listed(host, state),
            None => HostOutcome::Removed(host),
        }
    }

    /// Whether hosts with these labels are of a scarce kind.
    pub(super) fn is_scarce(&self, labels: &[Arc<str>]) -> bool {
        labels.first().is_some_and(|kind| self.scarce.contains(kind))
    }

    /// A kind is scarce if it has less than half of its even share of the hosts.
    fn update_scarce(&mut self) {
        let mut kinds: BTreeMap<&Arc<str>, usize> = BTreeMap::new();
        for kind in self.hosts.values().filter_map(|entry| entry.labels.first()) {
            *kinds.entry(kind).or_default() += 1;
        }
        let even = self.hosts.len() / kinds.len().max(1);
        let scarce = kinds.into_iter().filter(|(_, count)| count * 2 < even);
        self.scarce = scarce.map(|(kind, _)| kind.clone()).collect();
    }
}

/// What is known of a host whose entry cannot be decoded: what the list before has shown.
fn unreadable_entry(before: &HostEntry, entry: HostEntry) -> HostEntry {
    let registered =
        |executor: &ExecutorName| ExecutorName::from(incarnation::registered_name(executor));
    let executor = entry.executor.or_else(|| before.executor.as_ref().map(registered));
    HostEntry { state: entry.state, executor, ..before.clone() }
}

impl Scheduler {
    pub(super) fn list_hosts(&mut self, now: Now) {
        let busy = self.containment.is_active()
            || self.waves.is_open()
            || !self.fleet.withdrawals.is_empty();
        let interval = if busy { LIST_INTERVAL } else { IDLE_LIST_INTERVAL };
        let fresh = self.fleet.listed.is_some_and(|at| now.time.since(at) < interval);
        let asked = self.fleet.requested_at.is_some_and(|at| now.time.since(at) < LIST_OVERDUE);
        if !fresh && !asked {
            self.fleet.requested_at = Some(now.time);
            self.effects.push(Effect::ListHosts { requested: now.time });
        }
    }

    pub(super) fn listed(&mut self, now: Now, asked: Time, hosts: Option<Vec<HostEntry>>) {
        let is_latest = self.fleet.requested_at == Some(asked);
        if is_latest {
            // A failed call is repeated as late as an overdue one.
            self.fleet.requested_at = hosts.is_none().then_some(now.time);
        }
        let is_newer = self.fleet.listed.is_none_or(|listed| listed < asked);
        let Some(hosts) = hosts.filter(|_| is_newer) else { return };
        self.fleet.apply_list(asked, hosts);
        for entry in self.fleet.hosts.values_mut() {
            let latest =
                entry.executor.as_ref().and_then(|name| self.executors.latest_incarnation(name));
            if let Some(latest) = latest {
                entry.executor = Some(latest.clone());
            }
        }
        self.waves.note_listed(&self.fleet.hosts);
        self.note_listed_executors();
        self.end_unlisted(now, asked);
        self.return_to_service(asked);
    }

    fn note_listed_executors(&mut self) {
        let listing = &self.fleet.listing;
        let new = self
            .executors
            .iter()
            .filter(|(executor, known)| !known.was_listed && listing.host_of(executor).is_some());
        let new: Vec<ExecutorName> = new.map(|(executor, _)| executor.clone()).collect();
        for executor in new {
            if let Some(known) = self.executors.get_mut(&executor) {
                known.was_listed = true;
            }
        }
    }

    /// Whether an executor of a pool is registered that no list in this term has named.
    pub(super) fn has_unlisted_executor(&self, pool: &PoolName) -> bool {
        let mut of_pool = self.executors.of_pool(pool);
        of_pool.any(|(_, known)| known.is_registered && !known.ended && !known.was_listed)
    }

    /// Ends executors that no host has any more, so that their runs need not wait for their leases.
    fn end_unlisted(&mut self, now: Now, asked: Time) {
        let listed = &self.fleet.listing;
        let over: Vec<ExecutorName> = self
            .executors
            .iter()
            .filter(|(executor, known)| {
                listed.host_of(executor).is_none() && self.absence_proves_end(known, asked)
            })
            .map(|(executor, _)| executor.clone())
            .collect();
        for executor in over {
            self.end_incarnation(now, &executor, EndDetection::Unlisted { listed_at: asked });
        }
    }

    /// Whether the absence of an executor from a list that was requested at `asked` shows that it has
    /// ended: the list must not be older than what the leader has heard from it.
    ///
    /// One that no list has named may be listed late, and one that has restarted under its name may
    /// owe its listing to the incarnation before. Either is listed late while it still answers.
    fn absence_proves_end(&self, known: &Executor, asked: Time) -> bool {
        let is_before_list = |moment: Time| asked.since(moment) > LIST_LAG;
        if !is_before_list(known.known_since) {
            return false;
        }
        let executor = &known.registration.executor;
        let has_restarted = self.fleet.is_forgotten(executor)
            || !self.executors.other_incarnations(executor).is_empty();
        if known.was_listed && !has_restarted {
            return known.polling.last_answered_sent.is_none_or(|sent| sent < asked);
        }
        let is_silent = known.clock.is_none_or(|clock| is_before_list(clock.received));
        // A host whose entry cannot be decoded may have it.
        let may_be_listed = known.is_registered || self.fleet.listing.lacks_executor;
        is_silent && (known.was_listed || !may_be_listed)
    }
}
