//! Places jobs as tasks under leases on the hosts' agents.
//!
//! [`Placement`] is a reducer of its own: an [`Event`] goes in with the time, [`Effect`]s come out,
//! and its whole state is one value that can be stored. It knows no network, clock or store.
//!
//! - [`job`]: jobs and how they stand.
//! - [`learned`]: what jobs of a kind really take.
//! - [`leases`]: when the tasks of a silent host have stopped for certain.
//! - [`hosts`]: room and trust.
//! - [`messages`]: what goes in and what comes out.
//! - [`queue`]: whose turn it is.
//! - [`pass`]: where a job goes, and who gives way.
//! - [`events`]: what each event makes of a job.
//!
//! # At most once
//!
//! A job that is not idempotent, such as a payroll run, is started at most once. The intent, with
//! host and operation id, is recorded ([`Effect::Record`]) before the start leaves
//! ([`Effect::Start`]). From then on the job goes back to the queue only if the agent says that it
//! did not and will not start it ([`Event::NotStarted`]); if the host is gone before it has said
//! so, the job ends as [`Outcome::Unknown`](job::Outcome::Unknown) and people decide. A holder that
//! takes over cannot know whether the start of a recorded intent has left, so
//! [`Placement::recover`] asks the agent and starts nothing.
//!
//! # Urgent work
//!
//! Urgent work starts within [`URGENT_START`] because a share of each host is kept from all other
//! work, and where that is not enough, jobs that may run again give way, the least urgent first,
//! after a checkpoint that may take [`CHECKPOINT_LIMIT`] at the most.

pub mod events;
pub mod hosts;
pub mod job;
pub mod learned;
pub mod leases;
pub mod messages;
pub mod pass;
pub mod queue;

#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use borageswitch_types::{
    Time,
    names::{HostName, JobName, OperationId, PoolName, TeamName},
};

pub use self::messages::{Effect, Event, TeamQuota};

use crate::placement::{
    hosts::Hosts,
    job::{JobRecord, JobState, Size},
    learned::Learned,
    leases::Lease,
    queue::Queue,
};

/// Within this time urgent work has to start.
pub const URGENT_START: Duration = Duration::from_millis(2_400);
/// How long a job that gives way may write its checkpoint. What is left of [`URGENT_START`] is for
/// the stop, for recording the intent and for the start.
pub const CHECKPOINT_LIMIT: Duration = Duration::from_millis(1_000);

/// How often the queues of all pools are looked through.
const PASS_INTERVAL: Duration = Duration::from_secs(1);

/// Where an event may let a job start.
enum Scope {
    Nothing,
    Pool(PoolName),
    Everything,
}

/// Every job, host and quota of a region.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Placement {
    jobs: BTreeMap<JobName, JobRecord>,
    hosts: Hosts,
    quotas: BTreeMap<TeamName, TeamQuota>,
    learned: Learned,
    leases: BTreeMap<HostName, Lease>,
    queue: Queue,
    /// What is reserved on each host and by each team, kept beside the jobs so that a placement
    /// need not count them.
    held: Held,
    /// When the queues of all pools are next looked through: a quota that came free in one pool,
    /// or a failed job's wait that is over, may let a job start in any.
    next_pass: Time,
    sequence: u64,
    operations: u64,
}

/// What is reserved.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
struct Held {
    jobs: BTreeMap<HostName, BTreeMap<JobName, Size>>,
    hosts: BTreeMap<HostName, Size>,
    teams: BTreeMap<TeamName, Size>,
    /// Jobs for which room is kept.
    claims: BTreeSet<JobName>,
    /// Jobs that wait for an answer of an agent.
    unsettled: BTreeSet<JobName>,
}

impl Held {
    fn hold(&mut self, name: &JobName, record: &JobRecord) {
        let Some(host) = record.state.host() else { return };
        self.jobs.entry(host.clone()).or_default().insert(name.clone(), record.size);
        match record.state {
            JobState::Claiming { .. } => {
                self.claims.insert(name.clone());
            }
            JobState::Starting { .. } | JobState::Stopping { .. } => {
                self.unsettled.insert(name.clone());
            }
            _ => {}
        }
        let by_host = self.hosts.entry(host.clone()).or_default();
        *by_host = by_host.plus(&record.size);
        let by_team = self.teams.entry(record.job.team.clone()).or_default();
        *by_team = by_team.plus(&record.size);
    }

    fn let_go(&mut self, name: &JobName, record: &JobRecord) {
        let Some(host) = record.state.host() else { return };
        self.claims.remove(name);
        self.unsettled.remove(name);
        if let Some(by_host) = self.hosts.get_mut(host) {
            *by_host = by_host.minus(&record.size);
        }
        if let Some(by_team) = self.teams.get_mut(&record.job.team) {
            *by_team = by_team.minus(&record.size);
        }
        let Some(jobs) = self.jobs.get_mut(host) else { return };
        jobs.remove(name);
        if jobs.is_empty() {
            self.jobs.remove(host);
            self.hosts.remove(host);
        }
    }
}

impl Placement {
    /// A placement without jobs and hosts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Handles one event at `now` and gives what is to be done because of it.
    ///
    /// # Panics
    ///
    /// If a job that is not idempotent would be started twice.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        let scope = self.scope_of(now, &event);
        self.take_event(now, event, &mut effects);
        match scope {
            Scope::Nothing => {}
            Scope::Pool(pool) => self.place(now, &pool, &mut effects),
            Scope::Everything => {
                self.next_pass = now + PASS_INTERVAL;
                let pools: Vec<PoolName> = self.queue.pools().cloned().collect();
                for pool in pools {
                    self.place(now, &pool, &mut effects);
                }
            }
        }
        self.finish_claims(now, &mut effects);
        #[cfg(debug_assertions)]
        self.check();
        effects
    }

    /// Where an event may let a job start.
    fn scope_of(&self, now: Time, event: &Event) -> Scope {
        let of_job = |name: &JobName| {
            let record = self.jobs.get(name);
            record.map_or(Scope::Nothing, |record| Scope::Pool(record.job.pool.clone()))
        };
        match event {
            Event::Submit { job, .. } => Scope::Pool(job.pool.clone()),
            Event::HostSet { host, .. } => Scope::Pool(host.pool.clone()),
            Event::Cancel { name }
            | Event::NotRecorded { name, .. }
            | Event::NotStarted { name, .. }
            | Event::Stopped { name, .. }
            | Event::Finished { name, .. } => of_job(name),
            Event::HostGone { name } => {
                let host = self.hosts.get(name);
                host.map_or(Scope::Nothing, |host| Scope::Pool(host.pool.clone()))
            }
            Event::CancelTeam { .. } | Event::QuotaSet { .. } => Scope::Everything,
            Event::Tick if now >= self.next_pass => Scope::Everything,
            // What only follows a start frees no room, and a pass over the queue is not free.
            Event::Tick
            | Event::Recorded { .. }
            | Event::Started { .. }
            | Event::Usage { .. }
            | Event::Checkpointed { .. }
            | Event::KeptAlive { .. } => Scope::Nothing,
        }
    }

    /// What a holder that takes over does first: it knows only what was recorded.
    ///
    /// A start whose intent was recorded may have left or not. The agent is asked; nothing is
    /// started before it has answered.
    pub fn recover(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.next_pass = now;
        // The clock is another one, and the last holder may have renewed leases a moment ago.
        self.leases = self.held.jobs.keys().map(|host| (host.clone(), Lease::new(now))).collect();
        let names: Vec<JobName> = self.jobs.keys().cloned().collect();
        for name in names {
            let state = self.jobs.get(&name).map(|record| record.state.clone());
            if let Some(JobState::Intended { host, operation }) = state {
                self.set_state(&name, JobState::Starting { host, operation, since: now });
                // It counts as started: a second start must not leave before the agent has said
                // that the first has not happened.
                if let Some(record) = self.jobs.get_mut(&name) {
                    record.starts += 1;
                }
            }
            let Some(record) = self.jobs.get(&name) else { continue };
            let (Some(host), Some(operation)) = (record.state.host(), record.state.operation())
            else {
                continue;
            };
            let (host, operation) = (host.clone(), operation.clone());
            effects.push(Effect::Ask { name, host, operation });
        }
        effects
    }

    /// How a job stands.
    pub fn job(&self, name: &JobName) -> Option<&JobRecord> {
        self.jobs.get(name)
    }

    /// Forgets a job that has ended, once whoever submitted it knows.
    pub fn forget(&mut self, name: &JobName) {
        if self.jobs.get(name).is_some_and(|record| matches!(record.state, JobState::Ended(_))) {
            self.jobs.remove(name);
        }
    }

    /// How many jobs wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// What jobs hold of a host.
    pub fn held_on(&self, host: &HostName) -> Size {
        self.held.hosts.get(host).copied().unwrap_or_default()
    }

    fn held_by(&self, team: &TeamName) -> Size {
        self.held.teams.get(team).copied().unwrap_or_default()
    }

    fn jobs_on(&self, host: &HostName) -> impl Iterator<Item = &JobName> {
        self.held.jobs.get(host).into_iter().flat_map(BTreeMap::keys)
    }

    /// Brings a job to a new state, and what is reserved for it and its place in the queue along.
    fn set_state(&mut self, name: &JobName, state: JobState) {
        let Some(record) = self.jobs.get_mut(name) else { return };
        self.held.let_go(name, record);
        record.state = state;
        self.held.hold(name, record);
        self.queue.remove(&record.job, record.sequence);
        if matches!(record.state, JobState::Waiting { .. }) {
            record.peak = None;
            self.queue.insert(&record.job, record.sequence, name);
        }
    }

    /// Reserves another size for a job.
    fn set_size(&mut self, name: &JobName, size: Size) {
        let Some(record) = self.jobs.get_mut(name) else { return };
        self.held.let_go(name, record);
        record.size = size;
        self.held.hold(name, record);
    }

    fn new_operation(&mut self, name: &JobName) -> OperationId {
        self.operations += 1;
        OperationId::from(format!("{name}-{}", self.operations))
    }

    /// Checks the tallies against the jobs; a tally that drifts would overfill a host or starve a
    /// team without any error to show for it.
    #[cfg(debug_assertions)]
    fn check(&self) {
        let mut held = Held::default();
        for (name, record) in &self.jobs {
            held.hold(name, record);
        }
        let teams = &mut self.held.teams.clone();
        teams.retain(|_, size| *size != Size::default());
        held.teams.retain(|_, size| *size != Size::default());
        assert_eq!(held.jobs, self.held.jobs, "the jobs of hosts have drifted");
        assert_eq!(held.hosts, self.held.hosts, "what hosts hold has drifted");
        assert_eq!(held.claims, self.held.claims, "the claims have drifted");
        assert_eq!(held.unsettled, self.held.unsettled, "the unsettled jobs have drifted");
        assert_eq!(held.teams, *teams, "what teams hold has drifted");
        let waiting =
            self.jobs.values().filter(|r| matches!(r.state, JobState::Waiting { .. })).count();
        assert_eq!(waiting, self.queue.len(), "the queue has drifted");
    }
}
