//! Dispatches the requests of one service at one entry: queues, starts and refuses them.
//!
//! The owner of this state machine passes each event in as a [`DispatchInput`] and carries out each
//! [`DispatchOutput`]. A request is bound to a target only when a slot is free, so a slow target
//! holds few requests and every other request may still go elsewhere.
//!
//! The decisions themselves are in the crate's other modules; this module combines them.
//! `admission` admits requests to the queue or refuses them, `starting` binds requests to free
//! slots, `completion` handles responses, failures and cancellations, `lending` exchanges slots
//! with other entries.
//!
//! [`DispatchInput::Tick`] should come about every ten milliseconds: expired deadlines of waiting
//! requests and terms of loans are handled at any input, but without traffic only at a tick.

mod admission;
mod completion;
mod lending;
mod messages;
mod starting;

use std::{collections::BTreeMap, sync::Arc};

use borageswitch_types::{
    Time,
    names::{HostName, ServiceName, TeamName},
    view::{ServiceView, TrafficView},
};
use fastrand::Rng;

pub use self::messages::{DispatchInput, DispatchOutput, Offer, Outcome, Priority, Ticket};
use crate::{
    fair_queue::{FairQueue, QueuedRequest},
    loans::{ledger::Ledger, slot_requests::SlotRequests},
    priority_order::PriorityOrder,
    retry_budget::RetryBudget,
    run_times::RunTimes,
    shedding::Shedder,
    slot_allocation,
    targets::{Attempt, EjectionReason, Targets},
};

/// A request that was sent and has not ended.
#[derive(Debug)]
struct Running {
    request: QueuedRequest,
    attempt: Attempt,
    cancelled: bool,
}

/// The dispatcher of one service at one entry.
#[derive(Debug)]
pub struct Dispatcher {
    service: ServiceName,
    rng: Rng,
    view: Option<Arc<TrafficView>>,
    queue: FairQueue,
    priority_order: PriorityOrder,
    run_times: RunTimes,
    shedder: Shedder,
    retry_budget: RetryBudget,
    targets: Targets,
    slot_requests: SlotRequests,
    ledger: Ledger,
    running: BTreeMap<Ticket, Running>,
    running_long: u32,
    running_by_team: BTreeMap<TeamName, u32>,
    team_limits: BTreeMap<TeamName, u32>,
    in_flight: BTreeMap<HostName, u32>,
}

impl Dispatcher {
    /// Creates a dispatcher without targets; it refuses every request until it has a view.
    pub fn new(service: ServiceName, seed: u64) -> Self {
        Self {
            service,
            rng: Rng::with_seed(seed),
            view: None,
            queue: FairQueue::default(),
            priority_order: PriorityOrder::default(),
            run_times: RunTimes::default(),
            shedder: Shedder::default(),
            retry_budget: RetryBudget::default(),
            targets: Targets::default(),
            slot_requests: SlotRequests::default(),
            ledger: Ledger::default(),
            running: BTreeMap::new(),
            running_long: 0,
            running_by_team: BTreeMap::new(),
            team_limits: BTreeMap::new(),
            in_flight: BTreeMap::new(),
        }
    }

    /// Applies a new view of the fleet; from now on nothing starts on a target that is leaving.
    pub fn set_view(&mut self, now: Time, view: Arc<TrafficView>, out: &mut Vec<DispatchOutput>) {
        let empty =
            ServiceView { limits: Default::default(), promised_slots: 0, targets: BTreeMap::new() };
        let service = view.services.get(&self.service).unwrap_or(&empty);
        self.targets.set_view(now, service, &view.me, &view.entries);
        self.team_limits = team_limits(&view);
        self.update_members(now, &view, out);
        self.view = Some(view);
        self.advance(now, out);
    }

    /// Handles an event and appends the actions to carry out.
    pub fn handle(&mut self, now: Time, input: DispatchInput, out: &mut Vec<DispatchOutput>) {
        if self.ledger.may_have_expired(now) {
            self.expire_loans(now, out);
        }
        match input {
            DispatchInput::Offered(offer) => self.offer(now, offer, out),
            DispatchInput::Cancelled(ticket) => self.cancel(ticket),
            DispatchInput::Finished(ticket, outcome) => self.finish(now, ticket, outcome, out),
            DispatchInput::Slots(from, message) => {
                self.handle_slot_message(now, from, message, out);
            }
            DispatchInput::Tick => self.tick(now, out),
        }
        self.advance(now, out);
    }

    /// Returns the number of requests in flight on each host.
    pub fn in_flight(&self) -> &BTreeMap<HostName, u32> {
        &self.in_flight
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the share of failed attempts, in thousandths, for each host with attempts in the
    /// last five to ten seconds; this is reported to control.
    pub fn failure_permille(&mut self, now: Time) -> BTreeMap<HostName, u16> {
        self.targets.failure_permille(now)
    }

    /// Returns why a host is ejected, if it is.
    pub fn ejection_reason(&self, host: &HostName) -> Option<EjectionReason> {
        self.targets.ejection_reason(host)
    }

    /// Returns how many own slots are lent to other entries, and how many of theirs are held here.
    pub fn loan_counts(&self) -> (usize, usize) {
        self.ledger.counts()
    }

    fn advance(&mut self, now: Time, out: &mut Vec<DispatchOutput>) {
        self.refuse_late(now, out);
        self.start_waiting(now, out);
        self.exchange_slots(now, out);
    }

    fn tick(&mut self, now: Time, out: &mut Vec<DispatchOutput>) {
        self.run_times.tick(now);
        self.shedder.tick(now);
        if let Some(view) = &self.view {
            self.targets.tick(now, &view.me, &view.entries);
        }
        self.send_hold_notices(now, out);
    }

    fn service_view(&self) -> Option<&ServiceView> {
        self.view.as_ref()?.services.get(&self.service)
    }
}

/// Returns the part of each team's quota that this entry may use. It is allocated like slots, but
/// never zero, since a caller does not choose its entry. The entries together exceed a quota
/// smaller than their number by at most one slot each.
fn team_limits(view: &TrafficView) -> BTreeMap<TeamName, u32> {
    let limit = |(name, share): (&TeamName, &borageswitch_types::view::TeamShare)| {
        let allocated = slot_allocation::allocate_by_key(
            share.slot_quota,
            name.as_str(),
            &view.me,
            &view.entries,
        );
        (name.clone(), u32::from(allocated.max(1)))
    };
    view.teams.iter().map(limit).collect()
}

#[cfg(test)]
mod tests;
