//! The waiting requests, in fair order among teams and callers.
//!
//! Load pattern: one caller sends twenty times its usual load, or one team has forty callers and
//! another has one. With a single first-come queue everybody waits behind the hot caller. Here
//! teams are served in proportion to their weights, the callers of a team are served evenly, and
//! each caller's requests keep their order. A start is charged with the expected run time, so that
//! long requests don't get more slot time than short ones.
//!
//! Why start-time fair queueing: it bounds how far a caller can fall behind its share by one
//! request of each other caller, whatever the others send. Every operation costs O(log n): ten
//! thousand simultaneous cancellations are ten thousand cheap removals, not ten thousand scans of
//! the queue.

mod lane;
mod share;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use borageswitch_types::{
    ErrorKind, Time,
    names::{CallerName, HostName, TeamName},
};

use self::lane::Lane;
pub use self::lane::NO_TEAM_WEIGHT;
use crate::{
    dispatch::{Offer, Priority, Ticket},
    run_times::RunLength,
};

/// A waiting request.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// The request as it was received.
    pub offer: Offer,
    /// The caller's team, if it has one.
    pub team: Option<TeamName>,
    /// The team's weight.
    pub weight: u32,
    /// When the request was received.
    pub arrived: Time,
    /// The expected run time.
    pub expected: Duration,
    /// The upper estimate of the run time; the time that the request needs before its deadline.
    pub upper_estimate: Duration,
    /// Whether the request is expected to run long.
    pub length: RunLength,
    /// The number of attempts so far.
    pub attempts: u8,
    /// The host on which the last attempt failed, and until when a retry must avoid it.
    pub avoid: Option<(HostName, Time)>,
    /// The error of an earlier attempt that may have run. However the request ends, its caller must
    /// not be sent an error that says that it did not run.
    pub may_have_run: Option<ErrorKind>,
}

impl QueuedRequest {
    /// Returns the latest useful start; after it the request would hardly end in time.
    ///
    /// A request that arrived with little more time than a run needs is judged by its expected run
    /// time instead of the upper estimate: a start that may succeed is worth more than a certain
    /// refusal.
    pub fn latest_start(&self) -> Time {
        let time_limit = self.offer.deadline.since(self.arrived);
        let required =
            if time_limit >= self.upper_estimate * 2 { self.upper_estimate } else { self.expected };
        let micros = self.offer.deadline.as_micros().saturating_sub(required.as_micros() as u64);
        Time::from_micros(micros).max(self.arrived)
    }

    pub(crate) fn cost(&self) -> u64 {
        (self.expected.as_micros() as u64).max(1)
    }
}

/// Identifies one of the six lanes: one for each priority and run length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LaneKey {
    /// The priority of its requests.
    pub priority: Priority,
    /// Whether its requests run long.
    pub length: RunLength,
}

/// The work ahead of a request that would arrive now, as slot time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backlog {
    /// The run time of all requests of the same and of higher priorities.
    pub all: Duration,
    /// The time until the caller's own requests are served, given its share of the service.
    pub own: Duration,
}

/// The waiting requests of one service at one entry.
#[derive(Debug, Default)]
pub struct FairQueue {
    waiting: BTreeMap<Ticket, Entry>,
    lanes: BTreeMap<LaneKey, Lane>,
    by_latest_start: BTreeSet<(Time, Ticket)>,
    by_caller: BTreeMap<CallerName, u32>,
    position_counter: u64,
}

#[derive(Debug)]
struct Entry {
    request: QueuedRequest,
    position: u64,
}

/// New requests get positions above this and retries positions below it, so retries come first.
const FIRST_NEW_POSITION: u64 = 1 << 62;

impl FairQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of waiting requests of `caller`.
    pub fn caller_len(&self, caller: &CallerName) -> usize {
        self.by_caller.get(caller).map_or(0, |count| *count as usize)
    }

    /// Returns the number of callers that have waiting requests.
    pub fn caller_count(&self) -> usize {
        self.by_caller.len()
    }

    /// Adds a request: a new one behind the caller's other requests, a retry before them.
    pub fn push(&mut self, request: QueuedRequest) {
        let ticket = request.offer.ticket;
        let position = self.next_position(&request);
        *self.by_caller.entry(request.offer.caller.clone()).or_default() += 1;
        self.by_latest_start.insert((request.latest_start(), ticket));
        self.lanes.entry(lane_key(&request)).or_default().insert(&request, position);
        let old = self.waiting.insert(ticket, Entry { request, position });
        assert!(old.is_none(), "ticket {ticket} was queued twice");
    }

    /// Returns the next request of a lane, skipping teams for which `is_at_quota` returns true.
    pub fn next<F>(&self, lane: LaneKey, is_at_quota: F) -> Option<&QueuedRequest>
    where
        F: Fn(&TeamName) -> bool,
    {
        let ticket = self.lanes.get(&lane)?.next(is_at_quota)?;
        self.waiting.get(&ticket).map(|entry| &entry.request)
    }

    /// Removes a request to start it, and charges its cost to its caller and team.
    pub fn take(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        let request = &self.waiting.get(&ticket)?.request;
        if let Some(lane) = self.lanes.get_mut(&lane_key(request)) {
            lane.charge(request);
        }
        self.remove(ticket)
    }

    /// Removes a request that will not start.
    pub fn remove(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        let Entry { request, position } = self.waiting.remove(&ticket)?;
        self.by_latest_start.remove(&(request.latest_start(), ticket));
        if let Some(lane) = self.lanes.get_mut(&lane_key(&request)) {
            lane.remove(&request, position);
        }
        if let Some(count) = self.by_caller.get_mut(&request.offer.caller) {
            *count -= 1;
            if *count == 0 {
                self.by_caller.remove(&request.offer.caller);
            }
        }
        Some(request)
    }

    /// Returns a request whose latest useful start lies before `now`.
    pub fn first_too_late(&self, now: Time) -> Option<Ticket> {
        let (latest, ticket) = self.by_latest_start.first()?;
        (*latest < now).then_some(*ticket)
    }

    /// Returns the expected run time of all waiting requests together.
    pub fn cost(&self) -> Duration {
        Duration::from_micros(self.lanes.values().map(Lane::cost).sum())
    }

    /// Returns whether a request of this priority is waiting.
    pub fn has_waiting(&self, priority: Priority) -> bool {
        let lanes = [RunLength::Short, RunLength::Long].map(|length| LaneKey { priority, length });
        lanes.iter().any(|key| self.lanes.get(key).is_some_and(|lane| lane.cost() > 0))
    }

    /// Returns the work ahead of a request that would arrive now.
    pub fn backlog(
        &self,
        priority: Priority,
        caller: &CallerName,
        team: &Option<TeamName>,
        weight: u32,
    ) -> Backlog {
        let mut all = 0;
        let mut own = 0.0;
        for (key, lane) in self.lanes.range(..) {
            if key.priority > priority {
                break;
            }
            all += lane.cost();
            if key.priority == priority {
                own += lane.own_backlog(caller, team, weight);
            } else {
                own += lane.cost() as f64;
            }
        }
        Backlog {
            all: Duration::from_micros(all),
            own: Duration::from_micros(own.min(all as f64) as u64),
        }
    }

    fn next_position(&mut self, request: &QueuedRequest) -> u64 {
        self.position_counter += 1;
        if request.attempts == 0 {
            FIRST_NEW_POSITION + self.position_counter
        } else {
            self.position_counter
        }
    }
}

fn lane_key(request: &QueuedRequest) -> LaneKey {
    LaneKey { priority: request.offer.priority, length: request.length }
}

#[cfg(test)]
mod tests;
