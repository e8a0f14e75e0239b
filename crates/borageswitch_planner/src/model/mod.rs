//! A region in virtual time, on which ways to run a wave are compared.
//!
//! Hosts drain, reboot and come back after times that depend on the seed and the host's name
//! alone, so that two ways see the same region. Nothing is measured against a clock. The model is
//! small on purpose: one daemon, a store that always answers, agents that do what they are told.
//! What it asserts at every step is what must hold: every planned step is accepted and breaks no
//! promise, and hosts never draw more than is reserved.

mod agents;
pub mod sites;

#[cfg(test)]
mod tests;

use std::{collections::BTreeMap, time::Duration};

use borageswitch_types::{
    Fleet, Time,
    fleet::{
        Author, ChangeRequest, Duty, Fence, FleetChange, Refusal, Watts, WaveSettings, WaveStatus,
    },
    names::{HostName, OperationId, PoolName, WaveName},
    time::UnixMillis,
};

use crate::{
    baselines::{self, Baseline},
    capacity::{self, Ledger},
    changes, explain,
    model::agents::Agents,
    steps::{self, Observed, Step},
};

/// How far virtual time goes at once.
const TICK: Duration = Duration::from_secs(2);
/// A region in which nothing was decided for so long, with no host on its way, stays as it is.
const CALM_AFTER: Duration = Duration::from_secs(1_800);
/// The wall clock at the start of a run, so that not-after times are ordinary ones.
const WALL_START: u64 = 1_800_000_000_000;

/// A way to run waves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// The planner of this crate.
    Planner,
    /// A simpler way.
    Baseline(Baseline),
}

/// What one run has cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct Measures {
    /// Hosts that serve beyond what promises need, times the seconds that they do.
    pub buffer_host_seconds: u64,
    /// Seconds from the start of the wave to its end.
    pub roll_out_seconds: u64,
    /// Hosts that changed pool.
    pub moves: u64,
    /// Hosts that the wave rebooted.
    pub rebooted: u64,
    /// Hosts that failed in the wave.
    pub failed: u64,
    /// The most hosts that were out at once.
    pub most_out: u64,
    /// Seconds in which some pool could not have kept its promises after the loss of one more
    /// failure domain, by whatever cause; silent hosts do not count.
    pub broken_seconds: u64,
}

/// A region in virtual time.
#[derive(Debug)]
pub struct Region {
    fleet: Fleet,
    agents: Agents,
    way: Way,
    now: Time,
    operations: u64,
    phase_since: BTreeMap<HostName, (u64, Time)>,
    done_since: BTreeMap<HostName, (OperationId, Time)>,
    decisions: Vec<String>,
    last_change: Time,
    measures: Measures,
}

impl Region {
    /// A region as `fleet` describes it, with hosts whose times follow from `seed`.
    pub fn new(fleet: Fleet, way: Way, seed: u64) -> Self {
        let agents = Agents::new(&fleet, seed);
        Self {
            fleet,
            agents,
            way,
            now: Time::from_millis(1),
            operations: 0,
            phase_since: BTreeMap::new(),
            done_since: BTreeMap::new(),
            decisions: Vec::new(),
            last_change: Time::ZERO,
            measures: Measures::default(),
        }
    }

    /// The document as it stands.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// What was decided so far, one line a change: seconds since the start, then the reason.
    pub fn decisions(&self) -> &[String] {
        &self.decisions
    }

    /// What the run has cost so far.
    pub fn measures(&self) -> Measures {
        self.measures
    }

    /// Makes a change as an operator.
    ///
    /// # Errors
    ///
    /// As [`changes::apply`] refuses it.
    pub fn operate(&mut self, change: FleetChange, why: &str) -> Result<(), Refusal> {
        let author = Author::Operator { name: "operator".into() };
        self.apply(change, why, author)
    }

    /// Makes a host, or all hosts of a rack, silent from now on, or reachable again.
    pub fn set_silent(&mut self, hosts: &[HostName], silent: bool) {
        self.agents.set_silent(hosts, silent.then_some(self.now));
    }

    /// Lets every reboot of the hosts fail.
    pub fn break_reboots(&mut self, hosts: &[HostName]) {
        self.agents.break_reboots(hosts);
    }

    /// What the holder of the planner's duty sees now.
    pub fn observed(&self) -> Observed {
        Observed {
            listed_leaving: None,
            now: self.now,
            wall: UnixMillis(WALL_START + self.now.as_micros() / 1_000),
            drained: self.agents.drained(self.now, &self.fleet),
            agents: self.agents.statuses(),
            phase_since: self
                .phase_since
                .iter()
                .map(|(host, (_, since))| (host.clone(), *since))
                .collect(),
            done_since: self.done_since.clone(),
            unreachable_since: self.agents.silent_since(),
            failing: BTreeMap::new(),
        }
    }

    /// Lets one tick pass: hosts go on, then the planner takes its steps.
    pub fn tick(&mut self) {
        self.now += TICK;
        self.agents.go_on(self.now, &self.fleet);
        self.note();
        let observed = self.observed();
        let next = match self.way {
            Way::Planner => steps::next_steps(&self.fleet, &observed),
            Way::Baseline(way) => baselines::next_steps(&self.fleet, &observed, way),
        };
        for step in next {
            match step {
                Step::Change { change, reason } => {
                    let author = Author::Holder { duty: Duty::Planner, fence: Fence(1) };
                    self.take_step(change, &reason, author);
                }
                Step::Command { host, command } => {
                    let wall = UnixMillis(WALL_START + self.now.as_micros() / 1_000);
                    self.agents.command(self.now, wall, &host, &command);
                }
            }
        }
        self.check();
        self.count(TICK);
    }

    /// Runs until the wave has ended or `limit` has passed; says whether it ended.
    pub fn run_wave(&mut self, wave: &WaveName, limit: Duration) -> bool {
        let start = self.now;
        while self.now.since(start) < limit {
            self.tick();
            let ended = self
                .fleet
                .waves
                .get(wave)
                .is_none_or(|wave| matches!(wave.status, WaveStatus::Finished));
            if ended {
                self.measures.roll_out_seconds = self.now.since(start).as_secs();
                return true;
            }
        }
        false
    }

    /// Runs on until `horizon` after the start of the region, so that two ways that take a
    /// different time for a wave are charged for their buffer over the same time.
    ///
    /// A calm region is not run tick by tick: its buffer is as large at the end as now.
    pub fn run_until(&mut self, horizon: Duration) {
        let end = Time::from_millis(1) + horizon;
        while self.now < end && self.changed_since(CALM_AFTER) {
            self.tick();
        }
        self.count(end.since(self.now));
        self.now = self.now.max(end);
    }

    fn changed_since(&self, time: Duration) -> bool {
        self.now.since(self.last_change) < time
    }

    /// Lets time pass.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
        }
    }

    /// Starts a wave over every host.
    pub fn start_wave(&mut self, wave: &WaveName, settings: WaveSettings) {
        let start = FleetChange::StartWave { wave: wave.clone(), hosts: Vec::new(), settings };
        let started = self.operate(start, "maintenance of all hosts");
        assert_eq!(started, Ok(()), "the wave is refused");
    }

    /// Applies a change of the planner, which must be accepted and break no promise.
    fn take_step(&mut self, change: FleetChange, why: &str, author: Author) {
        let forced = matches!(change, FleetChange::FailHost { .. } | FleetChange::ParkHost { .. });
        let host = explain::subject(&change).and_then(|host| self.fleet.hosts.get(host));
        let pool = host.map(|host| host.pool.clone());
        let kept = |fleet: &Fleet| {
            pool.as_ref().is_none_or(|pool| capacity::check_budgets(fleet, pool, &[]).is_ok())
        };
        let before = kept(&self.fleet);
        if let Err(refusal) = self.apply(change.clone(), why, author) {
            panic!("{change:?} was planned but refused: {refusal}");
        }
        let broken = before && !kept(&self.fleet);
        assert!(forced || !broken, "{change:?} broke a promise in {pool:?}");
    }

    fn apply(&mut self, change: FleetChange, why: &str, author: Author) -> Result<(), Refusal> {
        self.operations += 1;
        let pools = self.pools();
        let req = ChangeRequest {
            operation: OperationId::from(format!("op-{}", self.operations)),
            expected: None,
            author,
            reason: why.into(),
            change,
        };
        changes::apply(&mut self.fleet, &req)?;
        self.measures.moves += u64::from(pools != self.pools());
        self.last_change = self.now;
        let seconds = self.now.as_micros() / 1_000_000;
        self.decisions.push(format!("{seconds:>5} s  {why}"));
        Ok(())
    }

    fn pools(&self) -> Vec<PoolName> {
        self.fleet.hosts.values().map(|host| host.pool.clone()).collect()
    }

    fn note(&mut self) {
        for (name, host) in &self.fleet.hosts {
            let since = self.phase_since.entry(name.clone()).or_insert((host.epoch, self.now));
            if since.0 != host.epoch {
                *since = (host.epoch, self.now);
            }
        }
        for (name, status) in self.agents.statuses() {
            let Some(done) = status.done else { continue };
            let known = self.done_since.get(&name).is_some_and(|(known, _)| *known == done);
            if !known {
                self.done_since.insert(name, (done, self.now));
            }
        }
    }

    /// Asserts that no host draws what was not reserved for it.
    fn check(&self) {
        let reserved = self.fleet.reserved_power();
        let drawn = self.drawn();
        assert!(drawn <= reserved, "hosts draw {drawn}, but only {reserved} are reserved");
    }

    fn count(&mut self, time: Duration) {
        let mut ledger = Ledger::new(&self.fleet, |name| !self.agents.is_silent(name));
        let idle: usize = self
            .fleet
            .pools
            .keys()
            .map(|pool| ledger.removable(&self.fleet.hosts_in(pool).collect::<Vec<_>>()).len())
            .sum();
        self.measures.buffer_host_seconds += idle as u64 * time.as_secs();
        if self.fleet.pools.keys().any(|pool| ledger.check_pool(pool).is_err()) {
            self.measures.broken_seconds += time.as_secs();
        }
        let waves = self.fleet.waves.values();
        let out: usize = waves.clone().map(|wave| wave.out.len()).sum();
        self.measures.most_out = self.measures.most_out.max(out as u64);
        self.measures.rebooted = waves.clone().map(|wave| wave.done.len() as u64).sum();
        self.measures.failed = waves.map(|wave| wave.failed.len() as u64).sum();
    }

    /// What hosts draw in truth.
    pub fn drawn(&self) -> Watts {
        self.agents.drawn(&self.fleet)
    }
}
