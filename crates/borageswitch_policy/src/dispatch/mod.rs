//! One service's requests at one entry: what waits, what starts where, what is refused.
//!
//! The caller of this state machine hands in what happens as a [`DispatchInput`] and carries out
//! each [`DispatchOutput`]. A request is bound to a target only when a slot is free, so a slow
//! target holds few requests and every other request may still go elsewhere.

mod messages;

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
};

use borageswitch_types::{
    ErrorKind, Time,
    names::{HostName, ServiceName},
    view::{TargetState, TrafficView},
};

pub use self::messages::{DispatchInput, DispatchOutput, Offer, Outcome, Priority, Ticket};

#[derive(Debug)]
struct Running {
    offer: Offer,
    host: HostName,
}

/// The dispatcher of one service at one entry.
#[derive(Debug)]
pub struct Dispatcher {
    service: ServiceName,
    waiting: VecDeque<Offer>,
    running: BTreeMap<Ticket, Running>,
    in_flight: BTreeMap<HostName, u32>,
    view: Option<std::sync::Arc<TrafficView>>,
}

impl Dispatcher {
    /// A dispatcher without targets; it refuses all until it has a view.
    pub fn new(service: ServiceName, _seed: u64) -> Self {
        Self {
            service,
            waiting: VecDeque::new(),
            running: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            view: None,
        }
    }

    /// Takes a new view of the fleet; from now on nothing starts on a target that is leaving.
    pub fn set_view(
        &mut self,
        now: Time,
        view: std::sync::Arc<TrafficView>,
        out: &mut Vec<DispatchOutput>,
    ) {
        self.view = Some(view);
        self.start_waiting(now, out);
    }

    /// Handles what happens and appends what is to be done.
    pub fn handle(&mut self, now: Time, input: DispatchInput, out: &mut Vec<DispatchOutput>) {
        match input {
            DispatchInput::Offered(offer) => self.offer(offer, out),
            DispatchInput::Cancelled(ticket) => self.waiting.retain(|offer| offer.ticket != ticket),
            DispatchInput::Finished(ticket, outcome) => self.finish(ticket, outcome, out),
            DispatchInput::Slots(..) => {}
            DispatchInput::Tick => self.expire(now, out),
        }
        self.start_waiting(now, out);
    }

    /// Requests in flight on each host.
    pub fn in_flight(&self) -> &BTreeMap<HostName, u32> {
        &self.in_flight
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn offer(&mut self, offer: Offer, out: &mut Vec<DispatchOutput>) {
        let Some(service) = self.view.as_ref().and_then(|view| view.services.get(&self.service))
        else {
            out.push(refuse(offer.ticket, ErrorKind::UnknownService));
            return;
        };
        if self.waiting.len() >= service.limits.queue_len as usize {
            out.push(refuse(offer.ticket, ErrorKind::QueueFull));
            return;
        }
        self.waiting.push_back(offer);
    }

    fn finish(&mut self, ticket: Ticket, outcome: Outcome, out: &mut Vec<DispatchOutput>) {
        let Some(running) = self.running.remove(&ticket) else { return };
        if let Some(count) = self.in_flight.get_mut(&running.host) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(&running.host);
            }
        }
        if let Outcome::Failed { kind, .. } = outcome {
            out.push(refuse(running.offer.ticket, kind));
        }
    }

    fn expire(&mut self, now: Time, out: &mut Vec<DispatchOutput>) {
        self.waiting.retain(|offer| {
            let alive = offer.deadline > now;
            if !alive {
                out.push(refuse(offer.ticket, ErrorKind::DeadlineInQueue));
            }
            alive
        });
    }

    fn start_waiting(&mut self, now: Time, out: &mut Vec<DispatchOutput>) {
        while let Some((host, address)) = self.choose_target() {
            let Some(offer) = self.waiting.pop_front() else { return };
            if offer.deadline <= now {
                out.push(refuse(offer.ticket, ErrorKind::DeadlineInQueue));
                continue;
            }
            let ticket = offer.ticket;
            *self.in_flight.entry(host.clone()).or_default() += 1;
            self.running.insert(ticket, Running { offer, host: host.clone() });
            out.push(DispatchOutput::Start { ticket, host, address });
        }
    }

    fn choose_target(&self) -> Option<(HostName, SocketAddr)> {
        let service = self.view.as_ref()?.services.get(&self.service)?;
        let busy = |host: &HostName| self.in_flight.get(host).copied().unwrap_or(0);
        let open = service.targets.values().filter(|target| {
            target.state != TargetState::Leaving
                && busy(&target.host) < u32::from(target.dealt_slots)
        });
        let target = open.min_by_key(|target| busy(&target.host))?;
        Some((target.host.clone(), target.address))
    }
}

fn refuse(ticket: Ticket, kind: ErrorKind) -> DispatchOutput {
    DispatchOutput::Refuse { ticket, kind, retry_after: None }
}
