//! Hosts: the requests in flight on them, and the agents that reboot them.

use std::time::Duration;

use borageswitch_control::Event;
use borageswitch_types::{
    Time,
    agent::{AgentCommand, AgentError, AgentStatus},
    names::{DaemonName, HostName},
};

use super::{Action, World};

impl World {
    pub(super) fn report(&mut self, daemon: &DaemonName) {
        self.repeat(daemon, Duration::from_millis(50), Action::Report(daemon.clone()));
        let now = self.now;
        if self.is_paused(daemon) {
            return;
        }
        let Some(fake) = self.daemons.get_mut(daemon) else { return };
        fake.traffic.end_requests(now);
        let report = fake.traffic.report();
        self.deliver(daemon, Event::Traffic(report));
    }

    pub(super) fn request(&mut self, daemon: &DaemonName) {
        let wait = self.millis(5, 60);
        self.repeat(daemon, wait, Action::Request(daemon.clone()));
        let long = self.rng.u8(..10) == 0;
        let time = if long { self.millis(200, 2_000) } else { self.millis(5, 200) };
        let end = self.now + time;
        let paused = self.is_paused(daemon);
        let Some(fake) = self.daemons.get_mut(daemon).filter(|_| !paused) else { return };
        let Some((host, service)) = fake.traffic.choose(self.now, &mut self.rng) else { return };
        fake.traffic.in_flight.push((host.clone(), end));
        self.checker.request_started(daemon, &host, &service);
    }

    pub(super) fn agent_command(
        &mut self,
        daemon: DaemonName,
        host: HostName,
        command: AgentCommand,
    ) {
        let (now, wall) = (self.now, self.wall());
        let boot = self.millis(500, 1_500);
        let fake = self.hosts.entry(host.clone()).or_default();
        let mut refused = false;
        match &command {
            AgentCommand::Throttle { operation, .. } => fake.done = Some(operation.clone()),
            AgentCommand::PowerOff { operation } => {
                fake.done = Some(operation.clone());
                fake.up_at = Time::MAX;
            }
            AgentCommand::Status | AgentCommand::Reboot { .. } => {}
        }
        if let AgentCommand::Reboot { operation, not_after } = command
            && fake.done.as_ref() != Some(&operation)
        {
            refused = not_after < wall;
            if !refused {
                fake.done = Some(operation);
                fake.up_at = now + boot;
                let busy = self.daemons.iter().filter(|(_, d)| {
                    d.traffic.in_flight.iter().any(|(other, end)| *other == host && *end > now)
                });
                let busy: Vec<DaemonName> = busy.map(|(name, _)| name.clone()).collect();
                self.checker.reboot_started(&host, &busy);
            }
        }
        let fake = &self.hosts[&host];
        let status =
            AgentStatus { ready: now >= fake.up_at, done: fake.done.clone(), draw_watts: 80 };
        let outcome = if refused { Err(AgentError::Refused) } else { Ok(status) };
        let outcome = if self.chance(0.05) { Err(AgentError::Silent) } else { outcome };
        let delay = self.millis(1, 20);
        self.schedule(delay, Action::Deliver(daemon, Event::Agent { host, outcome }));
    }
}
