//! Where a job goes, and who gives way.
//!
//! Each pass places urgent work first, then a job of the team that holds least for its weight, and
//! so on. A job goes to the host that it fills best, so that large rooms stay for large jobs, and
//! one without accelerators keeps away from hosts that have some. A few jobs of a team may pass one
//! that finds no room; but once that one has waited [`STARVED_AFTER`], room is kept for it, or small
//! jobs would pass it for ever.

use std::{cmp::Reverse, collections::BTreeSet, time::Duration};

use borageswitch_types::{
    Time,
    fleet::Reason,
    names::{HostName, JobName, PoolName, TeamName},
};

use crate::placement::{
    Effect, Placement,
    hosts::HostRoom,
    job::{JobRecord, JobState, Outcome, Size, StopReason, Urgency},
};

/// All but urgent work leaves this part of a host free, in hundredths. Urgent work that comes in
/// one at a time then starts without anyone giving way.
const SHARED_PERCENT: u64 = 88;
/// How many jobs of a team are looked at in a pass.
const LOOK_AHEAD: usize = 4;
/// The most jobs that one pass starts: a pass has to stay short.
const MOST_STARTS: usize = 64;
/// After this time room is kept for a job.
const STARVED_AFTER: Duration = Duration::from_secs(120);

/// What has found no room in this pass: a larger job of the same pool need not be tried.
#[derive(Default)]
struct Tried {
    sizes: Vec<(PoolName, bool, Size)>,
}

impl Tried {
    fn is_hopeless(&self, record: &JobRecord) -> bool {
        let urgent = record.job.urgency == Urgency::Urgent;
        self.sizes.iter().any(|(pool, was_urgent, size)| {
            *pool == record.job.pool && *was_urgent == urgent && size.fits(&record.size)
        })
    }

    fn note(&mut self, record: &JobRecord) {
        // What kept a job that has failed somewhere away from a host keeps no other away.
        if record.failed_on.is_empty() {
            let urgent = record.job.urgency == Urgency::Urgent;
            self.sizes.push((record.job.pool.clone(), urgent, record.size));
        }
    }
}

/// What a job may use of a host: not the part that is kept for urgent work, unless it needs more
/// than the rest of an empty host, or it could never run.
fn room_for(record: &JobRecord, room: &Size) -> Size {
    let shared = room.percent(SHARED_PERCENT);
    let whole = record.job.urgency == Urgency::Urgent || !record.size.fits(&shared);
    if whole { *room } else { shared }
}

impl Placement {
    /// Says why a job can never run, if that is so.
    pub(super) fn never(&self, name: &JobName) -> Option<Reason> {
        let record = self.jobs.get(name)?;
        let (job, size) = (&record.job, self.learned.size_of(&record.job));
        let Some(quota) = self.quotas.get(&job.team) else {
            return Some(format!("team '{}' has no quota", job.team).into());
        };
        if let Some(lacking) = size.lacking(&quota.limit) {
            return Some(
                format!("it needs more {lacking} than team '{}' may hold", job.team).into(),
            );
        }
        let rooms = || self.hosts.of_pool(&job.pool).map(|(_, host)| host.room);
        if rooms().any(|room| size.fits(&room)) {
            return None;
        }
        let largest = rooms().fold(Size::default(), |all, room| all.largest(&room));
        Some(match (rooms().count(), size.lacking(&largest)) {
            (0, _) => format!("pool '{}' has no host", job.pool).into(),
            (_, Some(part)) => {
                format!("it needs more {part} than any host of pool '{}' has", job.pool).into()
            }
            (_, None) => format!("no host of pool '{}' has all that it needs", job.pool).into(),
        })
    }

    /// Starts what can be started in a pool.
    pub(super) fn place(&mut self, now: Time, pool: &PoolName, effects: &mut Vec<Effect>) {
        let mut tried = Tried::default();
        let urgent: Vec<JobName> = self.queue.urgent(pool).take(MOST_STARTS).cloned().collect();
        for name in &urgent {
            if self.is_due(now, name) && !self.place_one(now, name, &mut tried, effects) {
                self.make_way(now, name, effects);
            }
        }
        self.place_in_turn(
            now,
            pool,
            MOST_STARTS.saturating_sub(urgent.len()),
            &mut tried,
            effects,
        );
    }

    fn place_in_turn(
        &mut self,
        now: Time,
        pool: &PoolName,
        most: usize,
        tried: &mut Tried,
        effects: &mut Vec<Effect>,
    ) {
        let mut turns: BTreeSet<(u64, TeamName)> =
            self.queue.teams(pool).map(|team| (self.share_of(team), team.clone())).collect();
        let mut starts = 0;
        while let Some((_, team)) = turns.pop_first() {
            if starts == most {
                return;
            }
            if self.place_of_team(now, pool, &team, tried, effects) {
                starts += 1;
                turns.insert((self.share_of(&team), team));
            }
        }
    }

    /// Places one of the first jobs of a team.
    fn place_of_team(
        &mut self,
        now: Time,
        pool: &PoolName,
        team: &TeamName,
        tried: &mut Tried,
        effects: &mut Vec<Effect>,
    ) -> bool {
        for name in self.queue.of_team(pool, team, LOOK_AHEAD) {
            if !self.is_due(now, &name) {
                continue;
            }
            if self.place_one(now, &name, tried, effects) {
                return true;
            }
            self.claim_if_starved(now, &name);
        }
        false
    }

    /// What a team holds for its weight.
    fn share_of(&self, team: &TeamName) -> u64 {
        let weight = self.quotas.get(team).map_or(1, |quota| u64::from(quota.weight.max(1)));
        self.held_by(team).millicores / weight
    }

    fn is_due(&self, now: Time, name: &JobName) -> bool {
        let state = self.jobs.get(name).map(|record| &record.state);
        matches!(state, Some(JobState::Waiting { not_before, .. }) if *not_before <= now)
    }

    fn place_one(
        &mut self,
        now: Time,
        name: &JobName,
        tried: &mut Tried,
        effects: &mut Vec<Effect>,
    ) -> bool {
        if !self.refresh_size(name, effects) || !self.within_quota(name) {
            return false;
        }
        let Some(record) = self.jobs.get(name).filter(|record| !tried.is_hopeless(record)) else {
            return false;
        };
        let Some(host) = self.best_host(now, name) else {
            tried.note(record);
            return false;
        };
        self.intend(name, host, effects);
        true
    }

    /// Takes what was learned since into account; refuses a job that could run nowhere by now.
    fn refresh_size(&mut self, name: &JobName, effects: &mut Vec<Effect>) -> bool {
        let Some(record) = self.jobs.get(name) else { return false };
        let size = self.learned.size_of(&record.job);
        if size == record.size {
            return true;
        }
        if let Some(reason) = self.never(name) {
            self.end(name, Outcome::Refused { reason }, effects);
            return false;
        }
        self.set_size(name, size);
        true
    }

    fn within_quota(&self, name: &JobName) -> bool {
        let Some(record) = self.jobs.get(name) else { return false };
        let Some(quota) = self.quotas.get(&record.job.team) else { return false };
        self.held_by(&record.job.team).plus(&record.size).fits(&quota.limit)
    }

    /// The hosts on which a job may run, full or not.
    fn open_hosts<'a>(
        &'a self,
        now: Time,
        name: &'a JobName,
    ) -> impl Iterator<Item = (&'a HostName, &'a HostRoom)> {
        let record = self.jobs.get(name);
        record.into_iter().flat_map(move |record| {
            self.hosts.of_pool(&record.job.pool).filter(move |(host, room)| {
                !room.leaving && !record.failed_on.contains(*host) && self.is_trusted(now, host)
            })
        })
    }

    /// Whether a host takes further jobs: it was not silent for a whole lease, is not set aside,
    /// and has no other job if it is on trial.
    fn is_trusted(&self, now: Time, host: &HostName) -> bool {
        if self.leases.get(host).is_some_and(|lease| lease.is_silent(now)) {
            return false;
        }
        if self.hosts.is_on_trial(now, host) {
            return !self.held.jobs.contains_key(host);
        }
        !self.hosts.is_aside(now, host)
    }

    fn best_host(&self, now: Time, name: &JobName) -> Option<HostName> {
        let record = self.jobs.get(name)?;
        let fitting = self.open_hosts(now, name).filter_map(|(host, room)| {
            let free = room_for(record, &room.room).minus(&self.held_on(host));
            record.size.fits(&free).then_some((host, free))
        });
        let best = fitting.min_by_key(|(host, free)| {
            let wasted = free.accelerators - record.size.accelerators;
            (wasted, free.millicores, free.memory_mb, *host)
        });
        best.map(|(host, _)| host.clone())
    }

    fn intend(&mut self, name: &JobName, host: HostName, effects: &mut Vec<Effect>) {
        let operation = self.new_operation(name);
        let state = JobState::Intended { host: host.clone(), operation: operation.clone() };
        self.set_state(name, state);
        effects.push(Effect::Record { name: name.clone(), host, operation });
    }

    /// Has the fewest and least urgent jobs give way to an urgent one.
    fn make_way(&mut self, now: Time, name: &JobName, effects: &mut Vec<Effect>) {
        if !self.is_due(now, name) || !self.within_quota(name) {
            return;
        }
        let plans = self.open_hosts(now, name).filter_map(|(host, room)| {
            let victims = self.victims(name, host, &room.room)?;
            Some((victims.len(), host.clone(), victims))
        });
        let Some((_, host, victims)) = plans.min() else { return };
        for victim in victims {
            self.begin_stop(now, &victim, StopReason::GivesWay, effects);
        }
        self.set_state(name, JobState::Claiming { host, since: now });
    }

    /// The jobs of a host that would have to give way to `name`, if enough may.
    ///
    /// One that is not idempotent never does: it could not be started again.
    fn victims(&self, name: &JobName, host: &HostName, room: &Size) -> Option<Vec<JobName>> {
        let size = self.jobs.get(name)?.size;
        let mut able: Vec<_> = self
            .jobs_on(host)
            .filter_map(|other| {
                let record = self.jobs.get(other)?;
                let running = matches!(record.state, JobState::Running { .. });
                let gives_way = record.job.urgency != Urgency::Urgent && record.job.idempotent;
                (running && gives_way).then_some((record, other))
            })
            .collect();
        able.sort_by_key(|(record, _)| {
            (Reverse(record.job.urgency), Reverse(record.size.millicores), record.sequence)
        });
        let mut left = self.held_on(host);
        let mut victims = Vec::new();
        for (record, other) in able {
            if size.fits(&room.minus(&left)) {
                break;
            }
            left = left.minus(&record.size);
            victims.push(other.clone());
        }
        size.fits(&room.minus(&left)).then_some(victims)
    }

    /// Keeps room for a job that others have passed for too long, on the host that has most free.
    fn claim_if_starved(&mut self, now: Time, name: &JobName) {
        let Some(record) = self.jobs.get(name) else { return };
        let JobState::Waiting { since, .. } = record.state else { return };
        if now.since(since) < STARVED_AFTER || !self.within_quota(name) {
            return;
        }
        let size = record.size;
        let claimed = |host: &HostName| {
            self.jobs_on(host)
                .filter_map(|other| self.jobs.get(other))
                .any(|record| matches!(record.state, JobState::Claiming { .. }))
        };
        let host = self
            .open_hosts(now, name)
            .filter(|(host, room)| size.fits(&room.room) && !claimed(host))
            .max_by_key(|(host, room)| {
                (room.room.minus(&self.held_on(host)).millicores, Reverse(*host))
            })
            .map(|(host, _)| host.clone());
        if let Some(host) = host {
            self.set_state(name, JobState::Claiming { host, since });
        }
    }

    /// Starts jobs for which the room that was kept has come free.
    pub(super) fn finish_claims(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let claims: Vec<(JobName, HostName)> = self
            .held
            .claims
            .iter()
            .filter_map(|name| {
                let host = self.jobs.get(name)?.state.host()?;
                Some((name.clone(), host.clone()))
            })
            .collect();
        for (name, host) in claims {
            let open = self.open_hosts(now, &name).any(|(other, _)| *other == host)
                || self.hosts.is_on_trial(now, &host);
            let Some(room) = self.hosts.get(&host).filter(|_| open) else {
                self.wait(now, &name);
                continue;
            };
            if self.held_on(&host).fits(&room.room) {
                self.intend(&name, host, effects);
            }
        }
    }
}
