//! A simulation of a region in virtual time, used to compare rollout strategies.
//!
//! Drain and reboot times depend only on the seed and the host's name, so that two strategies see
//! the same region. No real clock is read. The model is deliberately small: one daemon, a store
//! that always responds, and agents that execute every command. At every step it asserts that each
//! planned step is accepted and violates no availability budget, and that hosts never draw more
//! power than is reserved.

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

/// Virtual time between two ticks.
const TICK: Duration = Duration::from_secs(2);
/// A region without any change for this long is considered idle: it will not change any more.
const IDLE_AFTER: Duration = Duration::from_secs(1_800);
/// Wall clock at the start of a run, so that `not_after` times have realistic values.
const WALL_START: u64 = 1_800_000_000_000;

/// A rollout strategy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutStrategy {
    /// The planner of this crate.
    Planner,
    /// A baseline strategy.
    Baseline(Baseline),
}

/// The costs of one run.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct Measures {
    /// Serving hosts that the availability budgets do not need, times the seconds that they serve.
    pub buffer_host_seconds: u64,
    /// Seconds from the start to the end of the wave.
    pub roll_out_seconds: u64,
    /// Hosts that changed pool.
    pub moves: u64,
    /// Hosts that the wave rebooted.
    pub rebooted: u64,
    /// Hosts that failed in the wave.
    pub failed: u64,
    /// Maximum number of hosts out at once.
    pub most_out: u64,
    /// Seconds in which some pool would have missed its availability budget after the loss of one
    /// more failure domain, for whatever cause. Silent hosts provide no capacity.
    pub broken_seconds: u64,
}

/// A simulated region in virtual time.
#[derive(Debug)]
pub struct Region {
    fleet: Fleet,
    agents: Agents,
    strategy: RolloutStrategy,
    now: Time,
    operations: u64,
    phase_since: BTreeMap<HostName, (u64, Time)>,
    done_since: BTreeMap<HostName, (OperationId, Time)>,
    decisions: Vec<String>,
    last_change: Time,
    measures: Measures,
}

impl Region {
    /// Creates a region from `fleet`; drain and reboot times of its hosts follow from `seed`.
    pub fn new(fleet: Fleet, strategy: RolloutStrategy, seed: u64) -> Self {
        let agents = Agents::new(&fleet, seed);
        Self {
            fleet,
            agents,
            strategy,
            now: Time::from_millis(1),
            operations: 0,
            phase_since: BTreeMap::new(),
            done_since: BTreeMap::new(),
            decisions: Vec::new(),
            last_change: Time::ZERO,
            measures: Measures::default(),
        }
    }

    /// The current fleet document.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The log of applied changes, one line each: seconds since the start, then the reason.
    pub fn decisions(&self) -> &[String] {
        &self.decisions
    }

    /// The costs of the run so far.
    pub fn measures(&self) -> Measures {
        self.measures
    }

    /// Applies a change in the name of an operator.
    ///
    /// # Errors
    ///
    /// Returns the refusal of [`changes::apply`].
    pub fn apply_operator_change(&mut self, change: FleetChange, why: &str) -> Result<(), Refusal> {
        let author = Author::Operator { name: "operator".into() };
        self.apply(change, why, author)
    }

    /// Makes hosts silent from now on, or reachable again.
    pub fn set_silent(&mut self, hosts: &[HostName], silent: bool) {
        self.agents.set_silent(hosts, silent.then_some(self.now));
    }

    /// Makes every later reboot of the hosts fail.
    pub fn break_reboots(&mut self, hosts: &[HostName]) {
        self.agents.break_reboots(hosts);
    }

    /// The current observations of the holder of the planner's duty.
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

    /// Advances the region by one tick: first the hosts, then the planner's steps.
    pub fn tick(&mut self) {
        self.now += TICK;
        self.agents.advance(self.now, &self.fleet);
        self.record_timestamps();
        let observed = self.observed();
        let next = match self.strategy {
            RolloutStrategy::Planner => steps::next_steps(&self.fleet, &observed),
            RolloutStrategy::Baseline(strategy) => {
                baselines::next_steps(&self.fleet, &observed, strategy)
            }
        };
        for step in next {
            match step {
                Step::Change { change, reason } => {
                    let author = Author::Holder { duty: Duty::Planner, fence: Fence(1) };
                    self.apply_step(change, &reason, author);
                }
                Step::Command { host, command } => {
                    let wall = UnixMillis(WALL_START + self.now.as_micros() / 1_000);
                    self.agents.command(self.now, wall, &host, &command);
                }
            }
        }
        self.check_power();
        self.accumulate_measures(TICK);
    }

    /// Runs until the wave has ended or `limit` has passed. Returns whether the wave ended.
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

    /// Runs until `horizon` after the start of the region, so that strategies that need different
    /// times for a wave are charged for their buffer over the same period.
    ///
    /// An idle region is not simulated tick by tick, since its buffer no longer changes.
    pub fn run_until(&mut self, horizon: Duration) {
        let end = Time::from_millis(1) + horizon;
        while self.now < end && self.changed_within(IDLE_AFTER) {
            self.tick();
        }
        self.accumulate_measures(end.since(self.now));
        self.now = self.now.max(end);
    }

    fn changed_within(&self, time: Duration) -> bool {
        self.now.since(self.last_change) < time
    }

    /// Runs the region for `time`.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
        }
    }

    /// Starts a wave over all hosts.
    pub fn start_wave(&mut self, wave: &WaveName, settings: WaveSettings) {
        let start = FleetChange::StartWave { wave: wave.clone(), hosts: Vec::new(), settings };
        let started = self.apply_operator_change(start, "maintenance of all hosts");
        assert_eq!(started, Ok(()), "the wave is refused");
    }

    /// Applies a change of the planner and asserts that it is accepted and violates no availability
    /// budget.
    fn apply_step(&mut self, change: FleetChange, why: &str, author: Author) {
        let forced = matches!(change, FleetChange::FailHost { .. } | FleetChange::ParkHost { .. });
        let host = explain::changed_host(&change).and_then(|host| self.fleet.hosts.get(host));
        let pool = host.map(|host| host.pool.clone());
        let meets_budgets = |fleet: &Fleet| {
            pool.as_ref().is_none_or(|pool| capacity::check_budgets(fleet, pool, &[]).is_ok())
        };
        let before = meets_budgets(&self.fleet);
        if let Err(refusal) = self.apply(change.clone(), why, author) {
            panic!("{change:?} was planned but refused: {refusal}");
        }
        let broken = before && !meets_budgets(&self.fleet);
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

    fn record_timestamps(&mut self) {
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

    /// Asserts that hosts draw no more power than is reserved.
    fn check_power(&self) {
        let reserved = self.fleet.reserved_power();
        let power_draw = self.power_draw();
        assert!(
            power_draw <= reserved,
            "hosts draw {power_draw}, but only {reserved} are reserved"
        );
    }

    fn accumulate_measures(&mut self, time: Duration) {
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

    /// The actual power draw of all hosts.
    pub fn power_draw(&self) -> Watts {
        self.agents.power_draw(&self.fleet)
    }
}
