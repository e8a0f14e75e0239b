//! One service's requests at one entry: what waits, what starts where, what is refused.
//!
//! The caller of this state machine hands in what happens as a [`DispatchInput`] and carries out
//! each [`DispatchOutput`]. A request is bound to a target only when a slot is free, so a slow
//! target holds few requests and every other request may still go elsewhere.
//!
//! The decisions themselves stand in the crate's other modules. Here they are put in order:
//! `admission` lets a request into the queue or refuses it, `starting` binds requests to
//! free slots, `ending` deals with answers, failures and cancellations, `lending` passes slots
//! between entries.
//!
//! [`DispatchInput::Tick`] should come about every ten milliseconds: deadlines of waiting requests
//! and terms of loans are noticed at any input, but without traffic only then.

mod admission;
mod ending;
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
    class_order::ClassOrder,
    dealing,
    fair_queue::{FairQueue, Waiting},
    loans::{asking::Asking, ledger::Ledger},
    retry_budget::RetryBudget,
    run_times::RunTimes,
    shedding::Shedder,
    targets::{Targets, Trouble, Try},
};

/// A request that was sent and has not ended.
#[derive(Debug)]
struct Running {
    request: Waiting,
    on: Try,
    cancelled: bool,
}

/// The dispatcher of one service at one entry.
#[derive(Debug)]
pub struct Dispatcher {
    service: ServiceName,
    rng: Rng,
    view: Option<Arc<TrafficView>>,
    queue: FairQueue,
    order: ClassOrder,
    run_times: RunTimes,
    shedder: Shedder,
    retry_budget: RetryBudget,
    targets: Targets,
    asking: Asking,
    ledger: Ledger,
    running: BTreeMap<Ticket, Running>,
    running_long: u32,
    running_by_team: BTreeMap<TeamName, u32>,
    team_limits: BTreeMap<TeamName, u32>,
    in_flight: BTreeMap<HostName, u32>,
}

impl Dispatcher {
    /// A dispatcher without targets; it refuses all until it has a view.
    pub fn new(service: ServiceName, seed: u64) -> Self {
        Self {
            service,
            rng: Rng::with_seed(seed),
            view: None,
            queue: FairQueue::default(),
            order: ClassOrder::default(),
            run_times: RunTimes::default(),
            shedder: Shedder::default(),
            retry_budget: RetryBudget::default(),
            targets: Targets::default(),
            asking: Asking::default(),
            ledger: Ledger::default(),
            running: BTreeMap::new(),
            running_long: 0,
            running_by_team: BTreeMap::new(),
            team_limits: BTreeMap::new(),
            in_flight: BTreeMap::new(),
        }
    }

    /// Takes a new view of the fleet; from now on nothing starts on a target that is leaving.
    pub fn set_view(&mut self, now: Time, view: Arc<TrafficView>, out: &mut Vec<DispatchOutput>) {
        let empty =
            ServiceView { limits: Default::default(), promised_slots: 0, targets: BTreeMap::new() };
        let service = view.services.get(&self.service).unwrap_or(&empty);
        self.targets.set_view(now, service, &view.me, &view.entries);
        self.team_limits = team_limits(&view);
        self.take_members(now, &view, out);
        self.view = Some(view);
        self.go_on(now, out);
    }

    /// Handles what happens and appends what is to be done.
    pub fn handle(&mut self, now: Time, input: DispatchInput, out: &mut Vec<DispatchOutput>) {
        if self.ledger.is_due(now) {
            self.expire_loans(now, out);
        }
        match input {
            DispatchInput::Offered(offer) => self.offer(now, offer, out),
            DispatchInput::Cancelled(ticket) => self.cancel(ticket),
            DispatchInput::Finished(ticket, outcome) => self.finish(now, ticket, outcome, out),
            DispatchInput::Slots(from, message) => self.take_slots(now, from, message, out),
            DispatchInput::Tick => self.tick(now, out),
        }
        self.go_on(now, out);
    }

    /// Requests in flight on each host.
    pub fn in_flight(&self) -> &BTreeMap<HostName, u32> {
        &self.in_flight
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Share of failed tries of each host that had any in the last five to ten seconds, in
    /// thousandths: what control is told of hosts.
    pub fn failure_permille(&mut self, now: Time) -> BTreeMap<HostName, u16> {
        self.targets.failure_permille(now)
    }

    /// Whether a host is used with care now, and why.
    pub fn trouble(&self, host: &HostName) -> Option<Trouble> {
        self.targets.trouble(host)
    }

    /// How many own slots are lent to other entries, and how many of theirs are held here.
    pub fn loans(&self) -> (usize, usize) {
        self.ledger.counts()
    }

    fn go_on(&mut self, now: Time, out: &mut Vec<DispatchOutput>) {
        self.refuse_late(now, out);
        self.start_waiting(now, out);
        self.lend_and_ask(now, out);
    }

    fn tick(&mut self, now: Time, out: &mut Vec<DispatchOutput>) {
        self.run_times.tick(now);
        self.shedder.tick(now);
        if let Some(view) = &self.view {
            self.targets.tick(now, &view.me, &view.entries);
        }
        self.send_holds(now, out);
    }

    fn service_view(&self) -> Option<&ServiceView> {
        self.view.as_ref()?.services.get(&self.service)
    }
}

/// Each team's quota as far as this entry may use it: dealt like slots, but never nothing, since a
/// caller does not choose its entry. The entries together exceed a quota smaller than their number
/// by at most one slot each.
fn team_limits(view: &TrafficView) -> BTreeMap<TeamName, u32> {
    let limit = |(name, share): (&TeamName, &borageswitch_types::view::TeamShare)| {
        let dealt = dealing::deal_by_key(share.slot_quota, name.as_str(), &view.me, &view.entries);
        (name.clone(), u32::from(dealt.max(1)))
    };
    view.teams.iter().map(limit).collect()
}

#[cfg(test)]
mod tests;
