//! The baseline: one first-come queue at each entry over its allocated slots.
//!
//! It binds a request to the target with the fewest requests in flight, drops a request that is
//! past its deadline when it reaches the front, refuses when the queue is full, and does nothing
//! else.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use borageswitch_types::{
    ErrorKind, Time,
    names::HostName,
    view::{TargetView, TrafficView},
};

use super::views;
use crate::dispatch::{DispatchInput, DispatchOutput, Offer, Outcome, Ticket};

#[derive(Debug)]
pub(super) struct FirstCome {
    view: Arc<TrafficView>,
    waiting: VecDeque<Offer>,
    running: BTreeMap<Ticket, HostName>,
    in_flight: BTreeMap<HostName, u32>,
}

impl FirstCome {
    pub(super) fn new(view: Arc<TrafficView>) -> Self {
        Self {
            view,
            waiting: VecDeque::new(),
            running: BTreeMap::new(),
            in_flight: BTreeMap::new(),
        }
    }

    pub(super) fn handle(
        &mut self,
        now: Time,
        input: DispatchInput,
        out: &mut Vec<DispatchOutput>,
    ) {
        match input {
            DispatchInput::Offered(offer) => self.offer(offer, out),
            DispatchInput::Cancelled(ticket) => self.waiting.retain(|offer| offer.ticket != ticket),
            DispatchInput::Finished(ticket, outcome) => self.finish(ticket, outcome, out),
            DispatchInput::Slots(..) | DispatchInput::Tick => {}
        }
        self.start(now, out);
    }

    fn offer(&mut self, offer: Offer, out: &mut Vec<DispatchOutput>) {
        let limits = &self.view.services[&views::service()].limits;
        if self.waiting.len() >= limits.queue_len as usize {
            out.push(refuse(offer.ticket, ErrorKind::QueueFull));
        } else {
            self.waiting.push_back(offer);
        }
    }

    fn finish(&mut self, ticket: Ticket, outcome: Outcome, out: &mut Vec<DispatchOutput>) {
        let Some(host) = self.running.remove(&ticket) else { return };
        if let Some(in_flight) = self.in_flight.get_mut(&host) {
            *in_flight -= 1;
        }
        if let Outcome::Failed { kind, .. } = outcome {
            out.push(refuse(ticket, kind));
        }
    }

    fn start(&mut self, now: Time, out: &mut Vec<DispatchOutput>) {
        while let Some(target) = self.free_target() {
            let (host, address) = (target.host.clone(), target.address);
            let Some(offer) = self.waiting.pop_front() else { return };
            let ticket = offer.ticket;
            if offer.deadline <= now {
                out.push(refuse(ticket, ErrorKind::DeadlineInQueue));
                continue;
            }
            *self.in_flight.entry(host.clone()).or_default() += 1;
            self.running.insert(ticket, host.clone());
            out.push(DispatchOutput::Start { ticket, host, address });
        }
    }

    fn free_target(&self) -> Option<&TargetView> {
        let busy = |host: &HostName| self.in_flight.get(host).copied().unwrap_or(0);
        let targets = self.view.services[&views::service()].targets.values();
        targets
            .filter(|target| busy(&target.host) < u32::from(target.dealt_slots))
            .min_by_key(|target| busy(&target.host))
    }
}

fn refuse(ticket: Ticket, kind: ErrorKind) -> DispatchOutput {
    DispatchOutput::Refuse { ticket, kind, retry_after: None }
}
