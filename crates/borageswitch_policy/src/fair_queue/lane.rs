//! One lane: the waiting requests of one priority and run length.

use std::collections::BTreeMap;

use borageswitch_types::names::{CallerName, TeamName};

use super::{
    QueuedRequest,
    share::{FairShare, MEAN_COST},
};
use crate::dispatch::Ticket;

/// Callers without a team are served together like one team of this weight.
pub const NO_TEAM_WEIGHT: u32 = 1;

#[derive(Debug, Default)]
pub(super) struct Lane {
    schedule: FairShare<Option<TeamName>>,
    teams: BTreeMap<Option<TeamName>, Team>,
    cost: u64,
    mean_cost: f64,
}

/// The approximate number of requests over which the mean cost is taken.
const AVERAGING_REQUESTS: f64 = 64.0;

#[derive(Debug, Default)]
struct Team {
    schedule: FairShare<CallerName>,
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

    pub(super) fn insert(&mut self, request: &QueuedRequest, position: u64) {
        self.schedule.activate(&request.team, request.weight);
        let team = self.teams.entry(request.team.clone()).or_default();
        team.schedule.activate(&request.offer.caller, 1);
        let caller = team.callers.entry(request.offer.caller.clone()).or_default();
        caller.queue.insert(position, request.offer.ticket);
        caller.cost += request.cost();
        self.cost += request.cost();
    }

    pub(super) fn remove(&mut self, request: &QueuedRequest, position: u64) {
        let Some(team) = self.teams.get_mut(&request.team) else { return };
        let Some(caller) = team.callers.get_mut(&request.offer.caller) else { return };
        caller.queue.remove(&position);
        caller.cost -= request.cost();
        self.cost -= request.cost();
        if !caller.queue.is_empty() {
            return;
        }
        team.callers.remove(&request.offer.caller);
        team.schedule.deactivate(&request.offer.caller);
        if team.callers.is_empty() {
            self.teams.remove(&request.team);
            self.schedule.deactivate(&request.team);
        }
    }

    pub(super) fn charge(&mut self, request: &QueuedRequest) {
        let cost = self.relative_cost(request.cost() as f64);
        self.schedule.charge(&request.team, cost);
        if let Some(team) = self.teams.get_mut(&request.team) {
            team.schedule.charge(&request.offer.caller, cost);
        }
    }

    /// Returns the cost relative to the mean, so that the granularity of fairness is the same for
    /// every service.
    fn relative_cost(&mut self, cost: f64) -> u64 {
        if self.mean_cost == 0.0 {
            self.mean_cost = cost;
        }
        self.mean_cost += (cost - self.mean_cost) / AVERAGING_REQUESTS;
        (cost / self.mean_cost * MEAN_COST as f64) as u64
    }

    pub(super) fn next<F>(&self, is_at_quota: F) -> Option<Ticket>
    where
        F: Fn(&TeamName) -> bool,
    {
        let is_eligible = |team: &&Option<TeamName>| !team.as_ref().is_some_and(&is_at_quota);
        let team = self.teams.get(self.schedule.in_service_order().find(is_eligible)?)?;
        let caller = team.callers.get(team.schedule.in_service_order().next()?)?;
        caller.queue.values().next().copied()
    }

    /// Returns the slot time until a new request of the caller is served, given the caller's share
    /// of the service; never more than the whole lane.
    pub(super) fn own_backlog(
        &self,
        caller: &CallerName,
        team: &Option<TeamName>,
        weight: u32,
    ) -> f64 {
        let team_share = self.schedule.share_of(team, weight);
        let (part, cost) = match self.teams.get(team) {
            Some(team) => {
                let cost = team.callers.get(caller).map_or(0, |caller| caller.cost);
                (team_share * team.schedule.share_of(caller, 1), cost)
            }
            None => (team_share, 0),
        };
        (cost as f64 / part).min(self.cost as f64)
    }
}
