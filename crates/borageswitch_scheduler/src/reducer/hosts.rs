//! Hosts are emptied and then get their orders.
//!
//! An order ends everything that runs on its host, so a host is emptied first: nothing new is
//! placed on it, short runs end by themselves, lasting ones move one after the other.

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
    effect::{Effect, HostOrder},
    event::{HostAnswer, Now},
    fleet::{HostEntry, HostState},
    ledger::record::Record,
    reducer::{
        Scheduler,
        crashes::{Ending, HostFate},
    },
};

/// How often the hosts are listed while something is going on with them.
const LIST_INTERVAL: Duration = Duration::from_millis(700);
/// How often they are listed otherwise.
const QUIET_LIST_INTERVAL: Duration = Duration::from_millis(1_500);
/// A list that has not come after this time is asked for again.
const LIST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long after an order without an answer, or one that was refused for the moment, it is given
/// again.
const REPEAT_ORDER: Duration = Duration::from_millis(500);

/// An executor that the platform's list does not name has ended, if it was known for so long
/// before the list was asked for: a new one appears there a moment after it has registered.
const LIST_LAG: Duration = Duration::from_millis(1_500);

/// What a host is emptied for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Maintenance as part of a wave.
    Maintain(u64),
    /// A move into another pool.
    Move(PoolName),
}

/// How far it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Its runs end or move away. No order is given before this time.
    Emptying {
        /// The platform has called the host busy; until then it would say so again.
        not_before: Time,
    },
    /// The order was given, last at this time.
    Ordered {
        /// When.
        at: Time,
        /// Nothing is on its way: the answer said to try again, or there was none.
        answered: bool,
    },
    /// The platform has begun; the host is away.
    Away {
        /// When the answer came.
        since: Time,
    },
}

/// A host that is taken out of service for a while.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Withdrawal {
    /// What for.
    pub purpose: Purpose,
    /// How far it is.
    pub stage: Stage,
    /// The executor that was emptied for the order.
    pub emptied: Option<ExecutorName>,
}

impl Withdrawal {
    /// Whether an order for the host has left, answered or not.
    fn is_under_way(&self) -> bool {
        !matches!(self.stage, Stage::Emptying { .. })
    }
}

/// The executors of one list of hosts.
#[derive(Debug, Default)]
struct Listing {
    /// When the call that brought it left.
    at: Option<Time>,
    host_of: BTreeMap<ExecutorName, HostName>,
}

/// The hosts as they are known.
#[derive(Debug, Default)]
pub struct Fleet {
    /// The platform's list.
    pub hosts: BTreeMap<HostName, HostEntry>,
    /// When the call that brought it left.
    pub listed: Option<Time>,
    /// The hosts that are taken out of service.
    pub withdrawals: BTreeMap<HostName, Withdrawal>,
    listing: Listing,
    listing_before: Listing,
    asked: Option<Time>,
    /// Kinds of which there are few.
    scarce: BTreeSet<Arc<str>>,
}

impl Fleet {
    /// The host that has an executor by the platform's list, or had it by the one before.
    pub(super) fn host_of(&self, executor: &ExecutorName) -> Option<&HostName> {
        let Listing { host_of, .. } = self.listing_with(executor)?;
        host_of.get(executor)
    }

    /// When the platform listed an executor last.
    pub(super) fn seen_up(&self, executor: &ExecutorName) -> Option<Time> {
        self.listing_with(executor)?.at
    }

    fn listing_with(&self, executor: &ExecutorName) -> Option<&Listing> {
        let has = |listing: &&Listing| listing.host_of.contains_key(executor);
        [&self.listing, &self.listing_before].into_iter().find(has)
    }

    /// Takes in a list that was asked for at that time.
    fn take_list(&mut self, asked: Time, hosts: Vec<HostEntry>) {
        self.listed = Some(asked);
        self.hosts = hosts.into_iter().map(|entry| (entry.host.clone(), entry)).collect();
        let up = self.hosts.values().filter(|entry| entry.state == HostState::Up);
        let host_of =
            up.filter_map(|entry| Some((entry.executor.clone()?, entry.host.clone()))).collect();
        let fresh = Listing { at: Some(asked), host_of };
        self.listing_before = std::mem::replace(&mut self.listing, fresh);
        self.find_scarce();
    }

    /// What has become of the host of an executor that is listed no more.
    fn fate_of(&self, executor: &ExecutorName) -> HostFate {
        let Some(host) = self.host_of(executor).cloned() else { return HostFate::Unknown };
        if self.withdrawals.get(&host).is_some_and(Withdrawal::is_under_way) {
            return HostFate::Ordered(host);
        }
        match self.hosts.get(&host).map(|entry| entry.state) {
            Some(HostState::Moving | HostState::InMaintenance) => HostFate::Ordered(host),
            Some(state @ (HostState::Up | HostState::Down)) => HostFate::Stays(host, state),
            None => HostFate::Removed(host),
        }
    }

    /// Whether hosts with these labels are of a kind of which there are few.
    pub(super) fn is_scarce(&self, labels: &[Arc<str>]) -> bool {
        labels.first().is_some_and(|kind| self.scarce.contains(kind))
    }

    /// A kind is scarce with less than half of its even share of the hosts.
    fn find_scarce(&mut self) {
        let mut kinds: BTreeMap<&Arc<str>, usize> = BTreeMap::new();
        for kind in self.hosts.values().filter_map(|entry| entry.labels.first()) {
            *kinds.entry(kind).or_default() += 1;
        }
        let even = self.hosts.len() / kinds.len().max(1);
        let scarce = kinds.into_iter().filter(|(_, count)| count * 2 < even);
        self.scarce = scarce.map(|(kind, _)| kind.clone()).collect();
    }
}

impl Scheduler {
    pub(super) fn step_fleet(&mut self, now: Now) {
        self.list_hosts(now);
        self.note_away(now);
        self.step_waves(now);
        self.step_lending(now);
        let hosts: Vec<HostName> = self.fleet.withdrawals.keys().cloned().collect();
        for host in hosts {
            self.step_host(now, &host);
        }
    }

    fn list_hosts(&mut self, now: Now) {
        let busy = self.waves.is_open() || !self.fleet.withdrawals.is_empty();
        let interval = if busy { LIST_INTERVAL } else { QUIET_LIST_INTERVAL };
        let fresh = self.fleet.listed.is_some_and(|at| now.time.since(at) < interval);
        let asked = self.fleet.asked.is_some_and(|at| now.time.since(at) < LIST_TIMEOUT);
        if !fresh && !asked {
            self.fleet.asked = Some(now.time);
            self.effects.push(Effect::ListHosts);
        }
    }

    pub(super) fn listed(&mut self, now: Now, hosts: Option<Vec<HostEntry>>) {
        let Some(asked) = self.fleet.asked.take() else { return };
        let Some(hosts) = hosts else {
            self.fleet.asked = Some(now.time);
            return;
        };
        self.fleet.take_list(asked, hosts);
        self.end_unlisted(now, asked);
        self.take_back(asked);
    }

    /// Executors that no host has any more have ended: what they ran need not wait for their lease.
    fn end_unlisted(&mut self, now: Now, asked: Time) {
        let listed = &self.fleet.listing.host_of;
        let over: Vec<ExecutorName> = self
            .executors
            .iter()
            .filter(|(executor, known)| {
                asked.since(known.known_since) > LIST_LAG && !listed.contains_key(*executor)
            })
            .map(|(executor, _)| executor.clone())
            .collect();
        for executor in over {
            let fate = self.fleet.fate_of(&executor);
            self.life_over(now, &executor, Ending::Unlisted(fate));
        }
    }

    /// Hosts that were away and are listed as up again are in service.
    fn take_back(&mut self, listed: Time) {
        let hosts = &self.fleet.hosts;
        let back = |host: &HostName, withdrawal: &Withdrawal| {
            let entry = hosts.get(host);
            let up = entry.is_none_or(|entry| entry.state == HostState::Up);
            match withdrawal.stage {
                Stage::Emptying { .. } => false,
                Stage::Away { since } => up && listed > since,
                // The answer was lost, and the host is where it was to go.
                Stage::Ordered { at, answered } => {
                    let there =
                        |entry: &HostEntry| withdrawal.purpose == Purpose::Move(entry.pool.clone());
                    answered && up && listed > at && entry.is_some_and(there)
                }
            }
        };
        let back: Vec<HostName> = self
            .fleet
            .withdrawals
            .iter()
            .filter(|(h, d)| back(h, d))
            .map(|(h, _)| h.clone())
            .collect();
        for host in back {
            self.fleet.withdrawals.remove(&host);
            self.log("host-back", &host, String::new);
        }
    }

    /// Begins to empty a host.
    pub(super) fn withdraw(&mut self, now: Now, host: &HostName, purpose: Purpose) {
        let executor = self.fleet.hosts.get(host).and_then(|entry| entry.executor.clone());
        self.log("host-emptied", host, || {
            let executor = executor.as_ref().map_or("none", |executor| executor.as_str());
            format!("for={purpose:?} executor={executor}")
        });
        let stage = Stage::Emptying { not_before: now.time };
        let withdrawal = Withdrawal { purpose, stage, emptied: None };
        self.fleet.withdrawals.insert(host.clone(), withdrawal);
        self.step_host(now, host);
    }

    fn step_host(&mut self, now: Now, host: &HostName) {
        let Some(withdrawal) = self.fleet.withdrawals.get(host) else { return };
        let Some(entry) = self.fleet.hosts.get(host) else {
            self.fleet.withdrawals.remove(host);
            return;
        };
        match withdrawal.stage {
            Stage::Away { .. } => {}
            Stage::Ordered { at, answered } => {
                if answered && now.time.since(at) >= REPEAT_ORDER {
                    self.repeat_order(now, host);
                }
            }
            Stage::Emptying { not_before } => {
                if entry.state != HostState::Up {
                    return;
                }
                // A host that is off has nothing to be emptied of.
                let executor = entry.executor.clone();
                if let Some(executor) = &executor {
                    self.empty(now, executor);
                }
                let empty = executor.is_none_or(|executor| self.is_empty(&executor));
                if empty && now.time >= not_before {
                    self.give_order(now, host);
                }
            }
        }
    }

    /// Gives an order once more. Where another executor has come meanwhile, by the order itself or
    /// after a crash, that one is emptied first: it takes tasks as any other, and the order would
    /// end them.
    fn repeat_order(&mut self, now: Now, host: &HostName) {
        let current = self.fleet.hosts.get(host).and_then(|entry| entry.executor.as_ref());
        let Some(withdrawal) = self.fleet.withdrawals.get_mut(host) else { return };
        if current.is_some() && current != withdrawal.emptied.as_ref() {
            withdrawal.stage = Stage::Emptying { not_before: now.time };
        } else {
            self.give_order(now, host);
        }
    }

    /// Has an order stored as given; it leaves after that, so that whoever leads next knows of it.
    fn give_order(&mut self, now: Now, host: &HostName) {
        if self.is_paused(now.time, host) {
            return;
        }
        let Some(withdrawal) = self.fleet.withdrawals.get_mut(host) else { return };
        withdrawal.stage = Stage::Ordered { at: now.time, answered: false };
        withdrawal.emptied = self.fleet.hosts.get(host).and_then(|entry| entry.executor.clone());
        self.record(Record::HostOrdered { host: host.clone() });
        self.outbox.then_order_host(host.clone());
    }

    pub(super) fn send_host_order(&mut self, now: Now, host: &HostName) {
        let Some(withdrawal) = self.fleet.withdrawals.get_mut(host) else { return };
        let order = match &withdrawal.purpose {
            Purpose::Maintain(wave) => HostOrder::Maintain(*wave),
            Purpose::Move(pool) => HostOrder::Move(pool.clone()),
        };
        withdrawal.stage = Stage::Ordered { at: now.time, answered: false };
        self.effects.push(Effect::Host(host.clone(), order));
    }

    /// Whether an earlier leader has ordered a host about so lately that its orders may still be on
    /// their way. Where the platform does not check tokens, an order of ours would cross them.
    pub(super) fn is_paused(&self, now: Time, host: &HostName) -> bool {
        self.inherited_orders
            .get(host)
            .is_some_and(|age| *age + now.since(self.began) < self.limits.host_order_pause)
    }

    /// How long this leader has led, in milliseconds.
    pub(super) fn led_millis(&self, now: Time) -> u64 {
        now.since(self.began).as_millis() as u64
    }

    pub(super) fn host_answered(&mut self, now: Now, host: &HostName, answer: HostAnswer) {
        let millis = self.led_millis(now.time);
        let Some(withdrawal) = self.fleet.withdrawals.get_mut(host) else { return };
        let purpose = withdrawal.purpose.clone();
        let emptied = withdrawal.emptied.clone();
        if answer != HostAnswer::Lost {
            self.record(Record::HostOrderSettled { host: host.clone(), millis });
        }
        let Some(withdrawal) = self.fleet.withdrawals.get_mut(host) else { return };
        match answer {
            HostAnswer::Done => {
                withdrawal.stage = Stage::Away { since: now.time };
                if let Purpose::Maintain(wave) = purpose {
                    self.record(Record::Maintained { wave, host: host.clone() });
                }
                // Not whichever executor the host has now: after an answer that was lost, that is
                // the one that came with the order. Taken for ended, its tasks would run twice.
                if let Some(executor) = emptied {
                    self.life_over(now, &executor, Ending::HostTaken);
                }
            }
            HostAnswer::Lost | HostAnswer::TooMany => {
                withdrawal.stage = Stage::Ordered { at: now.time, answered: true };
            }
            HostAnswer::Busy => {
                withdrawal.stage = Stage::Emptying { not_before: now.time + REPEAT_ORDER };
            }
            HostAnswer::Impossible => {
                if let (Purpose::Move(pool), Some(entry)) = (&purpose, self.fleet.hosts.get(host)) {
                    self.lending.note_unfit(entry, pool);
                }
                self.give_back(host);
            }
            HostAnswer::NotOfWave | HostAnswer::Fenced => self.give_back(host),
        }
        self.log("host-order", host, || format!("purpose={purpose:?} answer={answer}"));
    }

    /// A host that was chosen stays in service after all.
    fn give_back(&mut self, host: &HostName) {
        self.fleet.withdrawals.remove(host);
        let executor = self.fleet.hosts.get(host).and_then(|entry| entry.executor.clone());
        let known = executor.and_then(|executor| self.executors.get_mut(&executor));
        if let Some(known) = known {
            known.emptying = false;
        }
    }
}
