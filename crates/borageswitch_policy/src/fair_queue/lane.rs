//! One lane: the waiting requests of one priority and length.

use std::collections::BTreeMap;

use borageswitch_types::names::{CallerName, TeamName};

use super::{
    Waiting,
    share::{FairShare, MEAN_COST},
};
use crate::dispatch::Ticket;

/// Callers without a team share the turns of one team of this weight.
pub const NO_TEAM_WEIGHT: u32 = 1;

#[derive(Debug, Default)]
pub(super) struct Lane {
    turns: FairShare<Option<TeamName>>,
    teams: BTreeMap<Option<TeamName>, Team>,
    cost: u64,
    mean_cost: f64,
}

/// Over how many requests the mean cost is taken, about.
const MEMORY: f64 = 64.0;

#[derive(Debug, Default)]
struct Team {
    turns: FairShare<CallerName>,
    callers: BTreeMap<CallerName, Caller>,
}

#[derive(Debug, Default)]
struct Caller {
    queue: BTreeMap<u64, Ticket>,
    cost: u64,
}

impl Lane {
    pub(super) fn cost(&self) -> u64 {
        self.cost
    }

    pub(super) fn insert(&mut self, waiting: &Waiting, place: u64) {
        self.turns.activate(&waiting.team, waiting.weight);
        let team = self.teams.entry(waiting.team.clone()).or_default();
        team.turns.activate(&waiting.offer.caller, 1);
        let caller = team.callers.entry(waiting.offer.caller.clone()).or_default();
        caller.queue.insert(place, waiting.offer.ticket);
        caller.cost += waiting.cost();
        self.cost += waiting.cost();
    }

    pub(super) fn remove(&mut self, waiting: &Waiting, place: u64) {
        let Some(team) = self.teams.get_mut(&waiting.team) else { return };
        let Some(caller) = team.callers.get_mut(&waiting.offer.caller) else { return };
        caller.queue.remove(&place);
        caller.cost -= waiting.cost();
        self.cost -= waiting.cost();
        if !caller.queue.is_empty() {
            return;
        }
        team.callers.remove(&waiting.offer.caller);
        team.turns.deactivate(&waiting.offer.caller);
        if team.callers.is_empty() {
            self.teams.remove(&waiting.team);
            self.turns.deactivate(&waiting.team);
        }
    }

    pub(super) fn charge(&mut self, waiting: &Waiting) {
        let cost = self.relative_cost(waiting.cost() as f64);
        self.turns.charge(&waiting.team, cost);
        if let Some(team) = self.teams.get_mut(&waiting.team) {
            team.turns.charge(&waiting.offer.caller, cost);
        }
    }

    /// The cost relative to the mean, so that fairness has the same grain for every service.
    fn relative_cost(&mut self, cost: f64) -> u64 {
        if self.mean_cost == 0.0 {
            self.mean_cost = cost;
        }
        self.mean_cost += (cost - self.mean_cost) / MEMORY;
        (cost / self.mean_cost * MEAN_COST as f64) as u64
    }

    pub(super) fn next<F>(&self, is_held_back: F) -> Option<Ticket>
    where
        F: Fn(&TeamName) -> bool,
    {
        let free = |team: &&Option<TeamName>| !team.as_ref().is_some_and(&is_held_back);
        let team = self.teams.get(self.turns.in_turn().find(free)?)?;
        let caller = team.callers.get(team.turns.in_turn().next()?)?;
        caller.queue.values().next().copied()
    }

    /// The time of one slot until a new request of the caller is served, given its part of the
    /// turns; never more than the whole lane.
    pub(super) fn own_backlog(
        &self,
        caller: &CallerName,
        team: &Option<TeamName>,
        weight: u32,
    ) -> f64 {
        let team_part = self.turns.part_of(team, weight);
        let (part, cost) = match self.teams.get(team) {
            Some(team) => {
                let cost = team.callers.get(caller).map_or(0, |caller| caller.cost);
                (team_part * team.turns.part_of(caller, 1), cost)
            }
            None => (team_part, 0),
        };
        (cost as f64 / part).min(self.cost as f64)
    }
}
