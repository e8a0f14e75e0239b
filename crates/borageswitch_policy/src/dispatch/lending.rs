//! Passes slots between this entry and others.

use std::collections::BTreeMap;

use borageswitch_types::{
    Time,
    names::{DaemonName, HostName},
    slots::{SlotMessage, SlotShare},
    view::TrafficView,
};

use super::{DispatchOutput, Dispatcher};
use crate::{
    loans::{
        asking::{self, Asking},
        ledger::LoanKey,
    },
    short_reserve,
};

impl Dispatcher {
    /// Takes the members of a new view. When they have changed, each slot's owner may be another,
    /// so every held share is given up; what runs on it ends by itself.
    pub(super) fn take_members(
        &mut self,
        now: Time,
        view: &TrafficView,
        out: &mut Vec<DispatchOutput>,
    ) {
        let targets = &self.targets;
        self.ledger.retain(|host, epoch| targets.is_current(host, epoch));
        if self.view.as_ref().is_some_and(|old| old.entries == view.entries) {
            return;
        }
        let peers = view.entries.iter().filter(|entry| **entry != view.me).cloned().collect();
        self.asking.set_peers(peers);
        self.ledger.shorten(now);
        let ended = self.ledger.end_all();
        self.give_up(now, ended, out);
    }

    /// Lends idle slots to whoever asked, or asks for some.
    pub(super) fn lend_and_ask(&mut self, now: Time, out: &mut Vec<DispatchOutput>) {
        if self.queue.is_empty() {
            if self.asking.has_wants() {
                self.serve_wants(now, out);
            }
        } else {
            self.ask(now, out);
        }
    }

    pub(super) fn take_slots(
        &mut self,
        now: Time,
        from: DaemonName,
        message: SlotMessage,
        out: &mut Vec<DispatchOutput>,
    ) {
        match message {
            SlotMessage::Ask { asker, ask, wanted, tried, .. } => {
                self.asking.hint(now, &asker, 0);
                tried.iter().for_each(|peer| self.asking.hint(now, peer, 0));
                self.answer_ask(now, Ask { asker, ask, wanted, tried }, out);
            }
            SlotMessage::Grant { ask, shares, idle_left, .. } => {
                self.asking.hint(now, &from, idle_left);
                self.take_grant(now, ask, shares, out);
            }
            SlotMessage::Hold { loans, .. } => {
                loans.into_iter().for_each(|loan| self.ledger.prolong(now, loan));
            }
            SlotMessage::Return { loans, .. } => {
                for host in loans.into_iter().filter_map(|loan| self.ledger.returned(loan)) {
                    self.targets.take_back(&host);
                }
            }
        }
    }

    pub(super) fn expire_loans(&mut self, now: Time, out: &mut Vec<DispatchOutput>) {
        let expired = self.ledger.expire(now);
        for host in &expired.own {
            self.targets.take_back(host);
        }
        self.give_up(now, expired.held, out);
    }

    /// Gives ended shares back whose slots have become free by the end of a try on this host.
    pub(super) fn settle_overdue(&mut self, host: &HostName, out: &mut Vec<DispatchOutput>) {
        let mut settled = Vec::new();
        while self.ledger.overdue_on(host) > self.targets.excess(host) {
            let Some(key) = self.ledger.settle_overdue(host) else { break };
            settled.push(key);
        }
        self.send_by_owner(settled, out, |service, loans| SlotMessage::Return { service, loans });
    }

    pub(super) fn send_holds(&mut self, now: Time, out: &mut Vec<DispatchOutput>) {
        for host in self.ledger.overdue_hosts() {
            self.settle_overdue(&host, out);
        }
        let due = self.ledger.due_holds(now);
        self.send_by_owner(due, out, |service, loans| SlotMessage::Hold { service, loans });
    }

    /// Stops using held shares: those with a free slot go back now, the others when it is free.
    fn give_up(
        &mut self,
        now: Time,
        ended: Vec<(LoanKey, HostName)>,
        out: &mut Vec<DispatchOutput>,
    ) {
        let mut returned = Vec::new();
        for (key, host) in ended {
            let was_free = self.targets.has_free(&host);
            self.targets.give_up(&host);
            if was_free {
                returned.push(key);
            } else {
                self.ledger.keep_overdue(now, key, host);
            }
        }
        self.send_by_owner(returned, out, |service, loans| SlotMessage::Return { service, loans });
        self.send_holds(now, out);
    }

    fn ask(&mut self, now: Time, out: &mut Vec<DispatchOutput>) {
        let mean_run = self.run_times.mean();
        if self.targets.free() > 0 || !self.asking.may_ask(now, mean_run) {
            return;
        }
        if self.wait_estimate() < Asking::patience(mean_run) {
            return;
        }
        let Some(view) = &self.view else { return };
        let Some((ask, peer)) = self.asking.begin(now, &mut self.rng) else { return };
        let message = SlotMessage::Ask {
            service: self.service.clone(),
            asker: view.me.clone(),
            ask,
            wanted: u16::try_from(self.queue.len()).unwrap_or(u16::MAX),
            tried: Vec::new(),
        };
        out.push(DispatchOutput::SendSlots(peer, message));
    }

    /// Grants what is idle; or passes the ask on, and remembers it for the next idle slot.
    fn answer_ask(&mut self, now: Time, mut ask: Ask, out: &mut Vec<DispatchOutput>) {
        let Some(view) = self.view.clone() else { return };
        if ask.asker == view.me {
            return;
        }
        let can_lend = if self.queue.is_empty() { self.idle_to_lend() } else { 0 };
        if can_lend > 0 {
            self.grant(now, ask.asker, ask.ask, ask.wanted.min(can_lend), out);
            return;
        }
        self.asking.remember(now, ask.asker.clone(), ask.ask, self.run_times.mean());
        if ask.tried.len() >= asking::MAX_HOPS {
            return;
        }
        ask.tried.push(view.me.clone());
        let mut not = ask.tried.clone();
        not.push(ask.asker.clone());
        let Some(peer) = self.asking.likeliest(now, &not, &mut self.rng) else { return };
        let message = SlotMessage::Ask {
            service: self.service.clone(),
            asker: ask.asker,
            ask: ask.ask,
            wanted: ask.wanted,
            tried: ask.tried,
        };
        out.push(DispatchOutput::SendSlots(peer, message));
    }

    fn serve_wants(&mut self, now: Time, out: &mut Vec<DispatchOutput>) {
        while self.idle_to_lend() > 0 && self.targets.freest().is_some() {
            let Some(want) = self.asking.next_want(now) else { return };
            self.grant(now, want.asker, want.ask, want.slots, out);
        }
    }

    /// Idle slots beyond those kept for short requests.
    fn idle_to_lend(&self) -> u16 {
        let capacity = self.targets.capacity();
        let kept = short_reserve::kept_slots(capacity, self.run_times.short_share());
        u16::try_from(self.targets.free().saturating_sub(kept)).unwrap_or(u16::MAX)
    }

    fn grant(
        &mut self,
        now: Time,
        to: DaemonName,
        ask: u64,
        count: u16,
        out: &mut Vec<DispatchOutput>,
    ) {
        let shares: Vec<SlotShare> = (0..count).map_while(|_| self.part_with(now)).collect();
        if shares.is_empty() {
            return;
        }
        let message = SlotMessage::Grant {
            service: self.service.clone(),
            ask,
            shares,
            idle_left: self.idle_to_lend(),
        };
        out.push(DispatchOutput::SendSlots(to, message));
    }

    /// One idle slot for another entry: a held one handed on, or an own one lent.
    fn part_with(&mut self, now: Time) -> Option<SlotShare> {
        let host = self.targets.freest()?;
        if let Some(share) = self.ledger.hand_on(now, &host) {
            self.targets.give_up(&host);
            return Some(share);
        }
        if !self.targets.owns_unlent(&host) {
            return None;
        }
        let (me, epoch) = (self.view.as_ref()?.me.clone(), self.targets.epoch(&host)?);
        self.targets.lend(&host);
        Some(self.ledger.lend(now, &me, host, epoch))
    }

    fn take_grant(
        &mut self,
        now: Time,
        ask: u64,
        shares: Vec<SlotShare>,
        out: &mut Vec<DispatchOutput>,
    ) {
        let asked = self.asking.sent(ask);
        let me = self.view.as_ref().map(|view| view.me.clone());
        let mut useless = Vec::new();
        for share in shares {
            if Some(&share.owner) == me.as_ref() {
                if let Some(host) = self.ledger.returned(share.loan) {
                    self.targets.take_back(&host);
                }
                continue;
            }
            let (key, host) = ((share.owner.clone(), share.loan), share.host.clone());
            let is_current = self.targets.is_current(&host, share.epoch);
            match asked {
                Some(asked) if is_current && self.ledger.hold(now, asked, share) => {
                    self.targets.borrow(&host);
                }
                _ => useless.push(key),
            }
        }
        self.send_by_owner(useless, out, |service, loans| SlotMessage::Return { service, loans });
    }

    fn send_by_owner<F>(&self, keys: Vec<LoanKey>, out: &mut Vec<DispatchOutput>, to_message: F)
    where
        F: Fn(borageswitch_types::names::ServiceName, Vec<u64>) -> SlotMessage,
    {
        let mut by_owner: BTreeMap<DaemonName, Vec<u64>> = BTreeMap::new();
        for (owner, loan) in keys {
            by_owner.entry(owner).or_default().push(loan);
        }
        for (owner, loans) in by_owner {
            let message = to_message(self.service.clone(), loans);
            out.push(DispatchOutput::SendSlots(owner, message));
        }
    }
}

struct Ask {
    asker: DaemonName,
    ask: u64,
    wanted: u16,
    tried: Vec<DaemonName>,
}
