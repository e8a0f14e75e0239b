//! Lends slots to other entries and borrows from them.

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
        ledger::LoanKey,
        slot_requests::{self, SlotRequests},
    },
    short_reservation,
};

impl Dispatcher {
    /// Applies the members of a new view. When they have changed, a slot may have another owner, so
    /// every held share is given back; requests that run on it end normally.
    pub(super) fn update_members(
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
        self.slot_requests.set_peers(peers);
        self.ledger.shorten_waits(now);
        let ended = self.ledger.end_all();
        self.return_shares(now, ended, out);
    }

    /// Grants idle slots to pending slot requests, or requests slots if callers' requests wait.
    pub(super) fn exchange_slots(&mut self, now: Time, out: &mut Vec<DispatchOutput>) {
        if self.queue.is_empty() {
            if self.slot_requests.has_pending() {
                self.serve_pending(now, out);
            }
        } else {
            self.request_slots(now, out);
        }
    }

    pub(super) fn handle_slot_message(
        &mut self,
        now: Time,
        from: DaemonName,
        message: SlotMessage,
        out: &mut Vec<DispatchOutput>,
    ) {
        match message {
            SlotMessage::Ask { asker, ask, wanted, tried, .. } => {
                self.slot_requests.record_hint(now, &asker, 0);
                tried.iter().for_each(|peer| self.slot_requests.record_hint(now, peer, 0));
                self.handle_slot_request(
                    now,
                    SlotRequest { requester: asker, id: ask, wanted, tried },
                    out,
                );
            }
            SlotMessage::Grant { ask, shares, idle_left, .. } => {
                self.slot_requests.record_hint(now, &from, idle_left);
                self.accept_grant(now, ask, shares, out);
            }
            SlotMessage::Hold { loans, .. } => {
                loans.into_iter().for_each(|loan| self.ledger.extend(now, loan));
            }
            SlotMessage::Return { loans, .. } => {
                for host in loans.into_iter().filter_map(|loan| self.ledger.record_return(loan)) {
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
        self.return_shares(now, expired.held, out);
    }

    /// Returns overdue shares whose slots were freed by the end of an attempt on this host.
    pub(super) fn return_overdue(&mut self, host: &HostName, out: &mut Vec<DispatchOutput>) {
        let mut freed = Vec::new();
        while self.ledger.overdue_on(host) > self.targets.excess(host) {
            let Some(key) = self.ledger.take_overdue(host) else { break };
            freed.push(key);
        }
        self.send_by_owner(freed, out, |service, loans| SlotMessage::Return { service, loans });
    }

    pub(super) fn send_hold_notices(&mut self, now: Time, out: &mut Vec<DispatchOutput>) {
        for host in self.ledger.overdue_hosts() {
            self.return_overdue(&host, out);
        }
        let due = self.ledger.due_notices(now);
        self.send_by_owner(due, out, |service, loans| SlotMessage::Hold { service, loans });
    }

    /// Stops using held shares: those with a free slot are returned now, the others once it is
    /// free.
    fn return_shares(
        &mut self,
        now: Time,
        ended: Vec<(LoanKey, HostName)>,
        out: &mut Vec<DispatchOutput>,
    ) {
        let mut returned = Vec::new();
        for (key, host) in ended {
            let was_free = self.targets.has_free(&host);
            self.targets.release_borrowed(&host);
            if was_free {
                returned.push(key);
            } else {
                self.ledger.mark_overdue(now, key, host);
            }
        }
        self.send_by_owner(returned, out, |service, loans| SlotMessage::Return { service, loans });
        self.send_hold_notices(now, out);
    }

    fn request_slots(&mut self, now: Time, out: &mut Vec<DispatchOutput>) {
        let mean_run = self.run_times.mean();
        if self.targets.free() > 0 || !self.slot_requests.may_send(now, mean_run) {
            return;
        }
        if self.wait_estimate() < SlotRequests::drain_threshold(mean_run) {
            return;
        }
        let Some(view) = &self.view else { return };
        let Some((ask, peer)) = self.slot_requests.begin(now, &mut self.rng) else { return };
        let message = SlotMessage::Ask {
            service: self.service.clone(),
            asker: view.me.clone(),
            ask,
            wanted: u16::try_from(self.queue.len()).unwrap_or(u16::MAX),
            tried: Vec::new(),
        };
        out.push(DispatchOutput::SendSlots(peer, message));
    }

    /// Grants idle slots; or forwards the slot request and keeps it for the next idle slot.
    fn handle_slot_request(
        &mut self,
        now: Time,
        mut request: SlotRequest,
        out: &mut Vec<DispatchOutput>,
    ) {
        let Some(view) = self.view.clone() else { return };
        if request.requester == view.me {
            return;
        }
        let lendable = if self.queue.is_empty() { self.idle_to_lend() } else { 0 };
        if lendable > 0 {
            self.grant(now, request.requester, request.id, request.wanted.min(lendable), out);
            return;
        }
        self.slot_requests.add_pending(
            now,
            request.requester.clone(),
            request.id,
            self.run_times.mean(),
        );
        if request.tried.len() >= slot_requests::MAX_HOPS {
            return;
        }
        request.tried.push(view.me.clone());
        let mut excluded = request.tried.clone();
        excluded.push(request.requester.clone());
        let Some(peer) = self.slot_requests.best_peer(now, &excluded, &mut self.rng) else {
            return;
        };
        let message = SlotMessage::Ask {
            service: self.service.clone(),
            asker: request.requester,
            ask: request.id,
            wanted: request.wanted,
            tried: request.tried,
        };
        out.push(DispatchOutput::SendSlots(peer, message));
    }

    fn serve_pending(&mut self, now: Time, out: &mut Vec<DispatchOutput>) {
        while self.idle_to_lend() > 0 && self.targets.most_free().is_some() {
            let Some(pending) = self.slot_requests.next_pending(now) else { return };
            self.grant(now, pending.requester, pending.id, pending.slots, out);
        }
    }

    /// Returns the number of idle slots beyond those reserved for short requests.
    fn idle_to_lend(&self) -> u16 {
        let capacity = self.targets.capacity();
        let reserved =
            short_reservation::reserved_slots(capacity, self.run_times.short_load_share());
        u16::try_from(self.targets.free().saturating_sub(reserved)).unwrap_or(u16::MAX)
    }

    fn grant(
        &mut self,
        now: Time,
        to: DaemonName,
        ask: u64,
        count: u16,
        out: &mut Vec<DispatchOutput>,
    ) {
        let shares: Vec<SlotShare> = (0..count).map_while(|_| self.give_slot(now)).collect();
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

    /// Gives up one idle slot for another entry: transfers a held one, or lends an own one.
    fn give_slot(&mut self, now: Time) -> Option<SlotShare> {
        let host = self.targets.most_free()?;
        if let Some(share) = self.ledger.transfer(now, &host) {
            self.targets.release_borrowed(&host);
            return Some(share);
        }
        if !self.targets.has_unlent(&host) {
            return None;
        }
        let (me, epoch) = (self.view.as_ref()?.me.clone(), self.targets.epoch(&host)?);
        self.targets.lend(&host);
        Some(self.ledger.lend(now, &me, host, epoch))
    }

    fn accept_grant(
        &mut self,
        now: Time,
        ask: u64,
        shares: Vec<SlotShare>,
        out: &mut Vec<DispatchOutput>,
    ) {
        let requested = self.slot_requests.sent_at(ask);
        let me = self.view.as_ref().map(|view| view.me.clone());
        let mut unusable = Vec::new();
        for share in shares {
            if Some(&share.owner) == me.as_ref() {
                if let Some(host) = self.ledger.record_return(share.loan) {
                    self.targets.take_back(&host);
                }
                continue;
            }
            let (key, host) = ((share.owner.clone(), share.loan), share.host.clone());
            let is_current = self.targets.is_current(&host, share.epoch);
            match requested {
                Some(requested) if is_current && self.ledger.accept(now, requested, share) => {
                    self.targets.borrow(&host);
                }
                _ => unusable.push(key),
            }
        }
        self.send_by_owner(unusable, out, |service, loans| SlotMessage::Return { service, loans });
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

struct SlotRequest {
    requester: DaemonName,
    id: u64,
    wanted: u16,
    tried: Vec<DaemonName>,
}
