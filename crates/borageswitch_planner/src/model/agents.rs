//! Simulated host agents, which execute each command after a delay.

use std::{
    collections::{BTreeMap, BTreeSet},
    hash::{Hash, Hasher},
    time::Duration,
};

use borageswitch_types::{
    Fleet, Time,
    agent::{AgentCommand, AgentStatus},
    fleet::{Draw, HostPhase, Watts},
    names::{HostName, OperationId},
    time::UnixMillis,
};

/// Mean drain time of a host that accepts no new work.
const MEAN_DRAIN_SECONDS: f64 = 20.0;
/// Upper bound of a drain: no request takes longer.
const LONGEST_DRAIN_SECONDS: f64 = 120.0;
/// Range of the duration of a reboot.
const REBOOT_SECONDS: std::ops::Range<u64> = 240..480;
/// Delay until an agent has applied or lifted a throttle.
const THROTTLE_TIME: Duration = Duration::from_secs(4);
/// Delay until a host that was commanded to switch off draws no power.
const OFF_TIME: Duration = Duration::from_secs(30);
/// Age of the power readings that an agent reports.
const READING_AGE: Duration = Duration::from_secs(8);

#[derive(Clone, Debug, PartialEq)]
enum Power {
    Up,
    Booting { until: Time, operation: OperationId },
    SwitchingOff { at: Time, operation: OperationId },
    Off,
}

#[derive(Clone, Debug)]
struct Agent {
    drain: Duration,
    reboot: Duration,
    reboots_broken: bool,
    draw: Draw,
    power: Power,
    is_throttled: bool,
    throttle_change: Option<(Time, bool, OperationId)>,
    executed: BTreeSet<OperationId>,
    done: Option<OperationId>,
    leaving_since: Option<(u64, Time)>,
    silent_since: Option<Time>,
    readings: Vec<(Time, u64)>,
}

impl Agent {
    fn current_draw(&self) -> u64 {
        match self.power {
            Power::Booting { .. } => self.draw.boot.0.max(self.draw.peak.0),
            Power::Off => 0,
            Power::Up | Power::SwitchingOff { .. } if self.is_throttled => self.draw.throttled.0,
            Power::Up | Power::SwitchingOff { .. } => self.draw.peak.0,
        }
    }

    fn advance(&mut self, now: Time) {
        match self.power.clone() {
            Power::Booting { until, operation } if now >= until && !self.reboots_broken => {
                self.power = Power::Up;
                self.done = Some(operation);
            }
            Power::SwitchingOff { at, operation } if now >= at => {
                self.power = Power::Off;
                self.done = Some(operation);
            }
            _ => {}
        }
        if let Some((_, is_throttled, operation)) =
            self.throttle_change.take_if(|(at, ..)| now >= *at)
        {
            self.is_throttled = is_throttled;
            self.done = Some(operation);
        }
        let reading = self.current_draw();
        self.readings.push((now, reading));
        self.readings.retain(|(at, _)| now.since(*at) <= READING_AGE);
    }

    fn command(&mut self, now: Time, wall: UnixMillis, command: &AgentCommand) {
        match command {
            AgentCommand::Status => {}
            AgentCommand::Reboot { operation, not_after } => {
                if wall <= *not_after && self.executed.insert(operation.clone()) {
                    let until = now + self.reboot;
                    self.power = Power::Booting { until, operation: operation.clone() };
                    self.is_throttled = false;
                    self.throttle_change = None;
                }
            }
            AgentCommand::Throttle { operation, limit_watts } => {
                if self.executed.insert(operation.clone()) {
                    let change = (now + THROTTLE_TIME, limit_watts.is_some(), operation.clone());
                    self.throttle_change = Some(change);
                }
            }
            AgentCommand::PowerOff { operation } => {
                if self.executed.insert(operation.clone()) {
                    let at = now + OFF_TIME;
                    self.power = Power::SwitchingOff { at, operation: operation.clone() };
                }
            }
        }
    }
}

#[derive(Debug)]
pub(super) struct Agents {
    agents: BTreeMap<HostName, Agent>,
}

impl Agents {
    pub(super) fn new(fleet: &Fleet, seed: u64) -> Self {
        let agents = fleet
            .hosts
            .iter()
            .map(|(name, host)| (name.clone(), make_agent(name, host.spec.draw, seed)))
            .collect();
        Self { agents }
    }

    pub(super) fn advance(&mut self, now: Time, fleet: &Fleet) {
        for (name, agent) in &mut self.agents {
            agent.advance(now);
            let host = fleet.hosts.get(name);
            let leaving = host.filter(|host| matches!(host.phase, HostPhase::Leaving { .. }));
            agent.leaving_since = match (leaving, agent.leaving_since) {
                (None, _) => None,
                (Some(host), Some((epoch, since))) if epoch == host.epoch => Some((epoch, since)),
                (Some(host), _) => Some((host.epoch, now)),
            };
        }
    }

    pub(super) fn command(
        &mut self,
        now: Time,
        wall: UnixMillis,
        host: &HostName,
        command: &AgentCommand,
    ) {
        if let Some(agent) = self.agents.get_mut(host).filter(|a| a.silent_since.is_none()) {
            agent.command(now, wall, command);
        }
    }

    /// Leaving hosts with no request in flight. Hosts of a pool without services never have any.
    pub(super) fn drained(&self, now: Time, fleet: &Fleet) -> BTreeSet<HostName> {
        let idle = |name: &HostName| {
            let pool = fleet.hosts.get(name).map(|host| &host.pool);
            !fleet.services.values().any(|service| Some(&service.pool) == pool)
        };
        self.agents
            .iter()
            .filter(|(name, agent)| {
                agent.leaving_since.is_some_and(|(_, since)| {
                    agent.silent_since.is_none() && (idle(name) || now.since(since) >= agent.drain)
                })
            })
            .map(|(name, _)| name.clone())
            .collect()
    }

    pub(super) fn statuses(&self) -> BTreeMap<HostName, AgentStatus> {
        let reachable = self.agents.iter().filter(|(_, agent)| agent.silent_since.is_none());
        reachable
            .map(|(name, agent)| {
                let status = AgentStatus {
                    ready: agent.power == Power::Up,
                    done: agent.done.clone(),
                    draw_watts: agent.readings.first().map_or(0, |(_, watts)| *watts),
                };
                (name.clone(), status)
            })
            .collect()
    }

    pub(super) fn silent_since(&self) -> BTreeMap<HostName, Time> {
        let since = |(name, agent): (&HostName, &Agent)| Some((name.clone(), agent.silent_since?));
        self.agents.iter().filter_map(since).collect()
    }

    pub(super) fn is_silent(&self, host: &HostName) -> bool {
        self.agents.get(host).is_some_and(|agent| agent.silent_since.is_some())
    }

    pub(super) fn set_silent(&mut self, hosts: &[HostName], since: Option<Time>) {
        for host in hosts {
            if let Some(agent) = self.agents.get_mut(host) {
                agent.silent_since = since;
            }
        }
    }

    pub(super) fn break_reboots(&mut self, hosts: &[HostName]) {
        for host in hosts {
            if let Some(agent) = self.agents.get_mut(host) {
                agent.reboots_broken = true;
            }
        }
    }

    /// The actual power draw of all hosts of the document.
    pub(super) fn power_draw(&self, fleet: &Fleet) -> Watts {
        let known = self.agents.iter().filter(|(name, _)| fleet.hosts.contains_key(*name));
        known.map(|(_, agent)| Watts(agent.current_draw())).sum()
    }
}

/// Derives the drain and reboot times of a host from the seed and its name alone, so that runs with
/// the same seed are comparable, whatever commands the host gets and when.
fn make_agent(name: &HostName, draw: Draw, seed: u64) -> Agent {
    let mut hasher = rustc_hash::FxHasher::default();
    (seed, name.as_str()).hash(&mut hasher);
    let mut rng = fastrand::Rng::with_seed(hasher.finish());
    let drain = (-MEAN_DRAIN_SECONDS * (1.0 - rng.f64()).ln()).min(LONGEST_DRAIN_SECONDS);
    Agent {
        drain: Duration::from_secs_f64(drain),
        reboot: Duration::from_secs(rng.u64(REBOOT_SECONDS)),
        reboots_broken: false,
        draw,
        power: Power::Up,
        is_throttled: false,
        throttle_change: None,
        executed: BTreeSet::new(),
        done: None,
        leaving_since: None,
        silent_since: None,
        readings: Vec::new(),
    }
}
