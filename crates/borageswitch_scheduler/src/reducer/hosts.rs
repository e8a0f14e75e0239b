//! Drains hosts, then sends the platform orders for them.
//!
//! An order ends everything that runs on its host, so the host is drained first: nothing new is
//! placed on it, short runs end by themselves, and lasting runs move one after the other.

use std::time::Duration;

use borageswitch_types::{
    Time,
    names::{ExecutorName, HostName, PoolName},
};

use crate::{
    effect::{Effect, HostOrder},
    event::{HostOrderResponse, Now},
    fleet::{HostEntry, HostState},
    ledger::record::Record,
    reducer::{Scheduler, crashes::EndDetection, host_list::Fleet},
};

/// The delay before an order that got no response, or was temporarily rejected, is repeated; it
/// doubles with each order after the second.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(500);
/// The maximum delay between two orders for a host, so that a platform that has recovered is used
/// soon.
const MAX_ORDER_RETRY_DELAY: Duration = Duration::from_millis(4_000);
/// The time after an order from which a host that is listed as up counts as back, although no list
/// has shown it as away or with a new executor: a host that stays off has none.
pub(super) const RETURN_TIMEOUT: Duration = Duration::from_secs(30);
/// The time after which a host that has not returned from a move is no longer expected; many times
/// the duration of a move.
const MOVE_TIMEOUT: Duration = Duration::from_secs(30);

/// How long after an order of an earlier leader the end of an executor may be its effect: the order
/// may be carried out late, and the host is away for some seconds.
const EARLIER_ORDER_TIME: Duration = Duration::from_secs(20);

/// Why a host is drained. Operators see the names of the variants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Maintenance as part of a wave.
    Maintain(u64),
    /// A move into another pool.
    Move(PoolName),
}

/// The progress of a withdrawal. Operators see the names of variants and fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Its runs end or move away. No order is sent before `not_before`.
    Emptying {
        /// When the next order may be sent: the platform has reported the host as busy, and would
        /// do so again before.
        not_before: Time,
    },
    /// An order was recorded or sent.
    Ordered {
        /// When the order was last recorded, sent, or answered with a request to retry.
        at: Time,
        /// No order is in flight: the response asked for a retry, or there was none.
        answered: bool,
    },
    /// The platform has begun; the host is away.
    Away {
        /// When the response arrived.
        since: Time,
        /// Whether a list has shown the host as away since then.
        seen: bool,
    },
}

/// A host that is taken out of service for a while.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Withdrawal {
    /// Why the host is withdrawn.
    pub purpose: Purpose,
    /// The progress of the withdrawal.
    pub stage: Stage,
    /// The executor that was drained for the order.
    pub drained: Option<ExecutorName>,
    /// The number of consecutive orders without effect.
    pub failed: u32,
}

impl Withdrawal {
    /// The delay before the next order.
    fn retry_delay(&self) -> Duration {
        (ORDER_RETRY_DELAY * (1 << self.failed.saturating_sub(2).min(3))).min(MAX_ORDER_RETRY_DELAY)
    }

    /// Whether an order for the host was recorded or sent, whether or not it was answered.
    pub(super) fn is_ordered(&self) -> bool {
        !matches!(self.stage, Stage::Emptying { .. })
    }
}

/// Whether a listed state shows that an order has taken the host away.
fn shows_away(state: HostState) -> bool {
    !matches!(state, HostState::Up | HostState::Unreadable)
}

impl Scheduler {
    pub(super) fn advance_fleet(&mut self, now: Now) {
        self.list_hosts(now);
        self.update_unavailable(now);
        self.advance_waves(now);
        self.lend_hosts(now);
        let hosts: Vec<HostName> = self.fleet.withdrawals.keys().cloned().collect();
        for host in hosts {
            self.advance_host(now, &host);
        }
    }

    /// Whether a list that was requested at `listed` shows a withdrawn host as back.
    ///
    /// A list may show the state before the order, even if it was requested after it. One that shows
    /// a new executor, or the host as up after another list has shown it as away, does not.
    fn is_back(&self, entry: &HostEntry, withdrawal: &Withdrawal, listed: Time) -> bool {
        let Stage::Away { since, seen } = withdrawal.stage else { return false };
        let has_new_executor =
            || entry.executor != withdrawal.drained && self.has_executor_since(entry, since);
        let is_overdue = listed.since(since) >= RETURN_TIMEOUT;
        entry.state == HostState::Up && (seen || is_overdue || has_new_executor())
    }

    /// Whether the listed executor of a host was running after `since`. One that was known before may
    /// have ended, and old lists still name it; it has to answer a poll that was sent later.
    fn has_executor_since(&self, entry: &HostEntry, since: Time) -> bool {
        let Some(executor) = &entry.executor else { return false };
        match self.executors.get(executor) {
            Some(known) => {
                let answered = known.polling.last_answered_sent;
                !known.ended && answered.is_some_and(|sent| sent > since)
            }
            None => !self.fleet.is_forgotten(executor),
        }
    }

    /// Ends the withdrawal of hosts that were away and are listed as up again.
    pub(super) fn return_to_service(&mut self, listed: Time) {
        let hosts = &self.fleet.hosts;
        let returned = |host: &HostName, withdrawal: &Withdrawal| {
            let entry = hosts.get(host);
            let up = entry.is_none_or(|entry| entry.state == HostState::Up);
            match withdrawal.stage {
                Stage::Emptying { .. } => false,
                Stage::Away { since, .. } => {
                    let is_back = entry.is_none_or(|entry| self.is_back(entry, withdrawal, listed));
                    is_back && listed > since
                }
                // The response was lost, and the host is in the pool that it was to move to.
                Stage::Ordered { at, answered } => {
                    let there =
                        |entry: &HostEntry| withdrawal.purpose == Purpose::Move(entry.pool.clone());
                    answered && up && listed > at && entry.is_some_and(there)
                }
            }
        };
        let returned: Vec<HostName> = self
            .fleet
            .withdrawals
            .iter()
            .filter(|(h, d)| returned(h, d))
            .map(|(h, _)| h.clone())
            .collect();
        for host in returned {
            self.fleet.withdrawals.remove(&host);
            self.log("host-back", &host, String::new);
        }
        self.note_hosts_away(listed);
        self.note_inherited_away();
    }

    /// Records which hosts with orders of earlier leaders a list shows as away.
    fn note_inherited_away(&mut self) {
        let is_away = |host: &&HostName| {
            self.fleet.hosts.get(*host).is_some_and(|entry| shows_away(entry.state))
        };
        let away: Vec<HostName> =
            self.inherited_host_orders.keys().filter(is_away).cloned().collect();
        self.fleet.seen_away.extend(away);
    }

    fn note_hosts_away(&mut self, listed: Time) {
        let Fleet { hosts, withdrawals, .. } = &mut self.fleet;
        for (host, withdrawal) in withdrawals {
            let is_away = hosts.get(host).is_some_and(|entry| shows_away(entry.state));
            if let Stage::Away { since, seen } = &mut withdrawal.stage
                && listed > *since
                && is_away
            {
                *seen = true;
            }
        }
    }

    /// Begins to drain a host.
    pub(super) fn withdraw(&mut self, now: Now, host: &HostName, purpose: Purpose) {
        let executor = self.fleet.hosts.get(host).and_then(|entry| entry.executor.clone());
        self.log("host-emptied", host, || {
            let executor = executor.as_ref().map_or("none", |executor| executor.as_str());
            format!("for={purpose:?} executor={executor}")
        });
        let stage = Stage::Emptying { not_before: now.time };
        let withdrawal = Withdrawal { purpose, stage, drained: None, failed: 0 };
        self.fleet.withdrawals.insert(host.clone(), withdrawal);
        self.advance_host(now, host);
    }

    fn advance_host(&mut self, now: Now, host: &HostName) {
        let Some(withdrawal) = self.fleet.withdrawals.get(host) else { return };
        let Some(entry) = self.fleet.hosts.get(host).cloned() else {
            self.fleet.withdrawals.remove(host);
            return;
        };
        match withdrawal.stage {
            Stage::Away { since, .. } => {
                let moves = matches!(withdrawal.purpose, Purpose::Move(_));
                if moves && now.time.since(since) >= MOVE_TIMEOUT {
                    self.fleet.withdrawals.remove(host);
                    self.log("host-overdue", host, || format!("state={}", entry.state));
                }
            }
            Stage::Ordered { at, answered } => {
                if answered && now.time.since(at) >= withdrawal.retry_delay() {
                    self.repeat_order(now, host);
                }
            }
            Stage::Emptying { not_before } => {
                if entry.state != HostState::Up {
                    return;
                }
                let ready = match entry.executor {
                    Some(executor) => {
                        self.drain_executor(now, &executor);
                        self.is_drained(&executor)
                    }
                    // A host that is off needs no drain; an executor that is not listed yet may be
                    // its own.
                    None => !self.has_unlisted_executor(&entry.pool),
                };
                if ready && now.time >= not_before {
                    self.record_host_order(now, host);
                }
            }
        }
    }

    /// Repeats an order. If the host has a new executor meanwhile, because of the order itself or
    /// after a crash, that executor is drained first: it takes tasks like any other, and the order
    /// would end them.
    fn repeat_order(&mut self, now: Now, host: &HostName) {
        let current = self.fleet.hosts.get(host).and_then(|entry| entry.executor.as_ref());
        let Some(withdrawal) = self.fleet.withdrawals.get_mut(host) else { return };
        if current.is_some() && current != withdrawal.drained.as_ref() {
            withdrawal.stage = Stage::Emptying { not_before: now.time };
        } else {
            self.record_host_order(now, host);
        }
    }

    /// Records an order for a host; it is sent once stored, so that the next leader knows of it.
    fn record_host_order(&mut self, now: Now, host: &HostName) {
        if self.is_order_paused(now.time, host) || !self.take_host_call(now.time) {
            return;
        }
        let Some(withdrawal) = self.fleet.withdrawals.get_mut(host) else { return };
        withdrawal.stage = Stage::Ordered { at: now.time, answered: false };
        withdrawal.drained = self.fleet.hosts.get(host).and_then(|entry| entry.executor.clone());
        self.record(Record::HostOrdered { host: host.clone() });
        self.outbox.defer_host_order(host.clone());
    }

    pub(super) fn send_host_order(&mut self, now: Now, host: &HostName) {
        let Some(withdrawal) = self.fleet.withdrawals.get_mut(host) else { return };
        let order = match &withdrawal.purpose {
            Purpose::Maintain(wave) => HostOrder::Maintain(*wave),
            Purpose::Move(pool) => HostOrder::Move(pool.clone()),
        };
        withdrawal.stage = Stage::Ordered { at: now.time, answered: false };
        self.effects.push(Effect::OrderHost(host.clone(), order));
    }

    /// Whether an earlier leader sent orders for a host so recently that they may still be in
    /// flight. Where the platform does not check fencing tokens, a new order could cross with them.
    pub(super) fn is_order_paused(&self, now: Time, host: &HostName) -> bool {
        self.inherited_host_orders
            .get(host)
            .is_some_and(|age| *age + now.since(self.took_over_at) < self.limits.host_order_pause)
    }

    /// Whether an order that an earlier leader sent for a host may still have an effect that is not
    /// explained otherwise.
    pub(super) fn may_be_ordered(&self, now: Time, host: &HostName) -> bool {
        self.inherited_host_orders
            .get(host)
            .is_some_and(|age| *age + now.since(self.took_over_at) < EARLIER_ORDER_TIME)
    }

    /// Whether a host may still be away by an order of an earlier leader. `begun` says whether that
    /// leader has stored that the platform carries the order out.
    ///
    /// As with the orders of this leader, a list that shows the host as up does not suffice: it may
    /// show the state before the order.
    pub(super) fn may_be_away(&self, now: Time, host: &HostName, begun: bool) -> bool {
        let Some(entry) = self.fleet.hosts.get(host).filter(|_| self.may_be_ordered(now, host))
        else {
            return false;
        };
        let age = self.inherited_host_orders.get(host).copied().unwrap_or_default();
        if !begun && age >= self.limits.host_order_pause {
            // It was answered long before the takeover, and nothing began.
            return false;
        }
        // An order that may still be in flight may take the host away until the pause is over.
        let pause = if begun { Duration::ZERO } else { self.limits.host_order_pause };
        let since = self.took_over_at + pause.saturating_sub(age);
        let is_back = entry.state == HostState::Up
            && (self.fleet.seen_away.contains(host) || self.has_executor_since(entry, since));
        !is_back
    }

    /// How long this leader has been leading, in milliseconds.
    pub(super) fn led_millis(&self, now: Time) -> u64 {
        now.since(self.took_over_at).as_millis() as u64
    }

    pub(super) fn host_answered(&mut self, now: Now, host: &HostName, answer: HostOrderResponse) {
        let millis = self.led_millis(now.time);
        let Some(withdrawal) = self.fleet.withdrawals.get_mut(host) else { return };
        let purpose = withdrawal.purpose.clone();
        let drained = withdrawal.drained.clone();
        if answer != HostOrderResponse::Lost {
            self.record(Record::HostOrderAnswered { host: host.clone(), millis });
        }
        let Some(withdrawal) = self.fleet.withdrawals.get_mut(host) else { return };
        match answer {
            HostOrderResponse::Done => {
                withdrawal.stage = Stage::Away { since: now.time, seen: false };
                if let Purpose::Maintain(wave) = purpose {
                    self.record(Record::Maintained { wave, host: host.clone() });
                }
                // This is not necessarily the host's current executor: after a lost response, that
                // is the one that came with the order. If it were taken for ended, its tasks would
                // run twice.
                if let Some(executor) = drained {
                    self.end_incarnation(now, &executor, EndDetection::HostOrderCompleted);
                }
            }
            HostOrderResponse::Lost | HostOrderResponse::TooMany => {
                withdrawal.failed += 1;
                withdrawal.stage = Stage::Ordered { at: now.time, answered: true };
            }
            HostOrderResponse::Busy => {
                withdrawal.failed += 1;
                let not_before = now.time + withdrawal.retry_delay();
                withdrawal.stage = Stage::Emptying { not_before };
            }
            HostOrderResponse::Impossible => {
                if let (Purpose::Move(pool), Some(entry)) = (&purpose, self.fleet.hosts.get(host)) {
                    self.lending.note_unfit(entry, pool);
                }
                self.cancel_withdrawal(host);
            }
            HostOrderResponse::NotOfWave | HostOrderResponse::Fenced => {
                self.cancel_withdrawal(host);
            }
        }
        self.log("host-order", host, || format!("purpose={purpose:?} answer={answer}"));
    }

    /// Cancels a withdrawal; the host stays in service.
    fn cancel_withdrawal(&mut self, host: &HostName) {
        self.fleet.withdrawals.remove(host);
        let executor = self.fleet.hosts.get(host).and_then(|entry| entry.executor.clone());
        let known = executor.and_then(|executor| self.executors.get_mut(&executor));
        if let Some(known) = known {
            known.host_draining = false;
        }
    }
}
