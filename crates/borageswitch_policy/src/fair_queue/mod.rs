//! The requests that wait, in fair order among teams and callers.
//!
//! The load pattern: one caller sends twenty times its usual load, or one team has forty callers
//! and another has one. With a single first-come queue everybody waits behind the hot caller.
//! Here teams share the turns by weight, the callers of a team share its turns evenly, and each
//! caller's requests keep their order; a turn is charged with the expected run time, so that long
//! requests don't buy more than short ones.
//!
//! Grounds for the figures: start-time fair queueing bounds how far a caller can fall behind its
//! share by one request of each other caller, whatever the others send. Every operation costs
//! O(log n): a wave of cancellations of ten thousand requests is ten thousand cheap removals, not
//! ten thousand walks along the queue.

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
    run_times::Length,
};

/// A request that waits.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// The request as it was offered.
    pub offer: Offer,
    /// The caller's team, if it has one.
    pub team: Option<TeamName>,
    /// The team's weight.
    pub weight: u32,
    /// When it was offered.
    pub arrived: Time,
    /// How long it is expected to run.
    pub expected: Duration,
    /// How long it may run, bar few; what it needs before its deadline.
    pub allowance: Duration,
    /// Whether it is expected to run long.
    pub length: Length,
    /// How often it was started before.
    pub tries: u8,
    /// Where it failed last, and until when another try goes only elsewhere.
    pub avoid: Option<(HostName, Time)>,
    /// The error of an earlier try that may have run. Whatever becomes of the request later, its
    /// caller must not be told that it did not run.
    pub may_have_run: Option<ErrorKind>,
}

impl Waiting {
    /// The latest time at which a start makes sense: later it would hardly end in time.
    ///
    /// A request that came with little time more than a run needs is given the benefit of the
    /// doubt: a start that may succeed is worth more than a sure refusal.
    pub fn latest_start(&self) -> Time {
        let had = self.offer.deadline.since(self.arrived);
        let needs = if had >= self.allowance * 2 { self.allowance } else { self.expected };
        let micros = self.offer.deadline.as_micros().saturating_sub(needs.as_micros() as u64);
        Time::from_micros(micros).max(self.arrived)
    }

    pub(crate) fn cost(&self) -> u64 {
        (self.expected.as_micros() as u64).max(1)
    }
}

/// Names one of the six queues: one for each priority and length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LaneKey {
    /// The priority of its requests.
    pub priority: Priority,
    /// Whether its requests run long.
    pub length: Length,
}

/// How much waits ahead of a request that would come now, as time of one slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Of everybody whom the request would not overtake by priority.
    pub all: Duration,
    /// The time until the caller's own requests are served, given its part of the turns.
    pub own: Duration,
}

/// The requests that wait at one entry for one service.
#[derive(Debug, Default)]
pub struct FairQueue {
    waiting: BTreeMap<Ticket, Entry>,
    lanes: BTreeMap<LaneKey, Lane>,
    by_latest_start: BTreeSet<(Time, Ticket)>,
    by_caller: BTreeMap<CallerName, u32>,
    next_place: u64,
}

#[derive(Debug)]
struct Entry {
    waiting: Waiting,
    place: u64,
}

/// New requests take places above this, and a second try the place that is as far below it.
const FIRST_PLACE: u64 = 1 << 62;

impl FairQueue {
    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// How many requests of `caller` wait.
    pub fn caller_len(&self, caller: &CallerName) -> usize {
        self.by_caller.get(caller).map_or(0, |count| *count as usize)
    }

    /// How many callers have waiting requests.
    pub fn callers(&self) -> usize {
        self.by_caller.len()
    }

    /// Puts a request in: a new one behind the caller's others, a second try before them.
    pub fn push(&mut self, waiting: Waiting) {
        let ticket = waiting.offer.ticket;
        let place = self.place_of(&waiting);
        *self.by_caller.entry(waiting.offer.caller.clone()).or_default() += 1;
        self.by_latest_start.insert((waiting.latest_start(), ticket));
        self.lanes.entry(lane_of(&waiting)).or_default().insert(&waiting, place);
        let old = self.waiting.insert(ticket, Entry { waiting, place });
        assert!(old.is_none(), "a ticket waits twice: {ticket}");
    }

    /// The request of a lane whose turn is next, passing over the teams that are held back.
    pub fn next<F>(&self, lane: LaneKey, is_held_back: F) -> Option<&Waiting>
    where
        F: Fn(&TeamName) -> bool,
    {
        let ticket = self.lanes.get(&lane)?.next(is_held_back)?;
        self.waiting.get(&ticket).map(|entry| &entry.waiting)
    }

    /// Takes a request out to start it, and charges the turn to its caller and team.
    pub fn take(&mut self, ticket: Ticket) -> Option<Waiting> {
        let waiting = &self.waiting.get(&ticket)?.waiting;
        if let Some(lane) = self.lanes.get_mut(&lane_of(waiting)) {
            lane.charge(waiting);
        }
        self.remove(ticket)
    }

    /// Takes a request out that will not start.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let Entry { waiting, place } = self.waiting.remove(&ticket)?;
        self.by_latest_start.remove(&(waiting.latest_start(), ticket));
        if let Some(lane) = self.lanes.get_mut(&lane_of(&waiting)) {
            lane.remove(&waiting, place);
        }
        if let Some(count) = self.by_caller.get_mut(&waiting.offer.caller) {
            *count -= 1;
            if *count == 0 {
                self.by_caller.remove(&waiting.offer.caller);
            }
        }
        Some(waiting)
    }

    /// A request that could no longer end in time if it started after `now`.
    pub fn first_too_late(&self, now: Time) -> Option<Ticket> {
        let (latest, ticket) = self.by_latest_start.first()?;
        (*latest < now).then_some(*ticket)
    }

    /// The expected run time of everything that waits.
    pub fn cost(&self) -> Duration {
        Duration::from_micros(self.lanes.values().map(Lane::cost).sum())
    }

    /// Whether a request of this priority waits.
    pub fn has(&self, priority: Priority) -> bool {
        let lanes = [Length::Short, Length::Long].map(|length| LaneKey { priority, length });
        lanes.iter().any(|key| self.lanes.get(key).is_some_and(|lane| lane.cost() > 0))
    }

    /// What a request would find ahead of it.
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

    fn place_of(&mut self, waiting: &Waiting) -> u64 {
        self.next_place += 1;
        if waiting.tries == 0 { FIRST_PLACE + self.next_place } else { self.next_place }
    }
}

fn lane_of(waiting: &Waiting) -> LaneKey {
    LaneKey { priority: waiting.offer.priority, length: waiting.length }
}

#[cfg(test)]
mod tests;
