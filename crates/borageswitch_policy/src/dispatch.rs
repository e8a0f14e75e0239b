//! One service's requests at one entry: what waits, what starts where, what is refused.
//!
//! The caller of this state machine hands in what happens as a [`DispatchInput`] and carries out
//! each [`DispatchOutput`]. A request is bound to a target only when a slot is free, so a slow
//! target holds few requests and every other request may still go elsewhere.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use borageswitch_types::{
    ErrorKind, Time,
    error::Ran,
    names::{CallerName, DaemonName, HostName, ServiceName},
    slots::SlotMessage,
    view::{TargetState, TrafficView},
};

/// Names one request at one entry.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    derive_more::Display,
)]
pub struct Ticket(pub u64);

/// How urgent a request is.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    derive_more::Display,
)]
#[display(rename_all = "lowercase")]
pub enum Priority {
    /// Starts before all others.
    Urgent,
    /// Somebody waits for the answer.
    #[default]
    Normal,
    /// Nobody waits for the answer.
    Batch,
}

/// A request that asks to be sent.
#[derive(Clone, Debug)]
pub struct Offer {
    /// Names the request from now on.
    pub ticket: Ticket,
    /// Who sent it.
    pub caller: CallerName,
    /// How urgent it is.
    pub priority: Priority,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// What the request does, for run times learned: the method and the path's first parts.
    pub kind: u64,
    /// Whether a second try is harmless and possible: it is idempotent and its body is at hand.
    pub retryable: bool,
}

/// How a try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered.
    Answered {
        /// The HTTP status.
        status: u16,
    },
    /// The target did not answer, or not in full.
    Failed {
        /// Why.
        kind: ErrorKind,
        /// Whether the target may have run the request.
        ran: Ran,
        /// False once a part of the answer has gone to the caller.
        retryable: bool,
    },
    /// The caller went away, and the try was given up.
    Abandoned,
}

/// What happens to a dispatcher.
#[derive(Clone, Debug)]
pub enum DispatchInput {
    /// A request asks to be sent.
    Offered(Offer),
    /// The caller of a waiting or started request has gone away.
    Cancelled(Ticket),
    /// A try has ended; its slot is free.
    Finished(Ticket, Outcome),
    /// Another entry sends a message about slots.
    Slots(DaemonName, SlotMessage),
    /// Time has passed.
    Tick,
}

/// What a dispatcher asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatchOutput {
    /// Send the request to this target now.
    Start {
        /// The request.
        ticket: Ticket,
        /// The target's host.
        host: HostName,
        /// Where the target listens.
        address: SocketAddr,
    },
    /// Answer the request with this error now.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// Why.
        kind: ErrorKind,
        /// When the caller may come back, where the dispatcher knows better than the table.
        retry_after: Option<Duration>,
    },
    /// Send a message about slots to another entry.
    SendSlots(DaemonName, SlotMessage),
}

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
