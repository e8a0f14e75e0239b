//! A region in virtual time, on which ways to run a wave are compared.
//!
//! Hosts drain, reboot and come back after times that depend on the seed and the host's name
//! alone, so that two ways see the same region. Nothing is measured against a clock. The model is
//! small on purpose: one daemon, a store that always answers, agents that do what they are told.
//! What it asserts at every step is what must hold: no promise is broken by a planned step, and
//! neither the reservation nor the true draw is above the cap.

mod agents;
pub mod sites;

#[cfg(test)]
mod tests;

use std::{collections::BTreeMap, time::Duration};

use borageswitch_types::{
    Fleet, Time,
    fleet::{
        Author, ChangeRequest, Duty, Fence, FleetChange, HostPhase, Revision, Watts, WaveSettings,
        WaveStatus,
    },
    names::{HostName, OperationId, PoolName, WaveName},
    time::UnixMillis,
};

use crate::{
    baselines::{self, Baseline},
    capacity::{self, Ledger},
    changes,
    model::agents::Agents,
    steps::{self, Observed, Step},
};

/// How far virtual time goes at once.
const TICK: Duration = Duration::from_secs(2);
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
    measures: Measures,
    capped_since: Option<Time>,
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
            measures: Measures::default(),
            capped_since: None,
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
    /// # Panics
    ///
    /// If the change is refused: a scenario asks for nothing that cannot be.
    pub fn operate(&mut self, change: FleetChange, why: &str) {
        if matches!(change, FleetChange::SetPowerCap { .. }) {
            self.capped_since = Some(self.now);
        }
        let author = Author::Operator { name: "operator".into() };
        self.apply(change, why, author);
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
                    self.apply(change, &reason, author);
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
        self.operate(start, "maintenance of all hosts");
    }

    fn apply(&mut self, change: FleetChange, why: &str, author: Author) {
        self.operations += 1;
        let moved = matches!(change, FleetChange::FinishLeave { .. });
        let pools = moved.then(|| self.pools());
        let req = ChangeRequest {
            operation: OperationId::from(format!("op-{}", self.operations)),
            expected: None,
            author,
            reason: why.into(),
            change,
        };
        match changes::apply(&mut self.fleet, &req) {
            Ok(Revision(_)) => {}
            Err(refusal) => panic!("{:?} was refused: {refusal}", req.change),
        }
        if pools.is_some_and(|before| before != self.pools()) {
            self.measures.moves += 1;
        }
        let seconds = self.now.as_micros() / 1_000_000;
        self.decisions.push(format!("{seconds:>5} s  {why}"));
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

    /// Asserts what must hold at every step, whichever way runs the wave.
    fn check(&self) {
        let reserved = self.fleet.reserved_power();
        let drawn = self.agents.drawn(self.now, &self.fleet);
        assert!(drawn <= reserved, "hosts draw {drawn}, but only {reserved} are reserved");
        if self.capped_since.is_none() {
            let cap = self.fleet.power_cap;
            assert!(reserved <= cap, "{reserved} are reserved under a cap of {cap}");
        }
        let faulty = |pool: &PoolName| {
            self.fleet.hosts_in(pool).any(|(name, host)| {
                matches!(host.phase, HostPhase::Failed { .. } | HostPhase::Parked)
                    || self.agents.is_silent(name)
            })
        };
        for pool in self.fleet.pools.keys().filter(|pool| !faulty(pool)) {
            if let Err(refusal) = capacity::check_budgets(&self.fleet, pool, &[]) {
                assert!(self.is_short(pool), "a planned step broke a promise: {refusal}");
            }
        }
    }

    /// Whether a pool has fewer hosts than it wants, which only faults and the cap bring about.
    fn is_short(&self, pool: &PoolName) -> bool {
        let wanted = self.fleet.pools.get(pool).map_or(0, |spec| spec.wanted_hosts as usize);
        self.fleet.hosts_in(pool).count() < wanted
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
        let waves = self.fleet.waves.values();
        let out: usize = waves.clone().map(|wave| wave.out.len()).sum();
        self.measures.most_out = self.measures.most_out.max(out as u64);
        self.measures.rebooted = waves.clone().map(|wave| wave.done.len() as u64).sum();
        self.measures.failed = waves.map(|wave| wave.failed.len() as u64).sum();
    }

    /// What hosts draw in truth.
    pub fn drawn(&self) -> Watts {
        self.agents.drawn(self.now, &self.fleet)
    }
}
