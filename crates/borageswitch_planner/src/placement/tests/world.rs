//! Hosts in virtual time, with agents that are slow, lose answers and go silent, and the jobs and
//! sizes that tests place on them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use borageswitch_types::{
    Time,
    names::{HostName, JobName, OperationId, PoolName, TeamName},
};

use crate::placement::{
    Effect, Event, Placement, TeamQuota,
    hosts::HostRoom,
    job::{Job, Outcome, Size, Urgency},
};

pub(super) const HOST: Size = Size { millicores: 16_000, memory_mb: 64_000, accelerators: 2 };

pub(super) fn size(cores: u64) -> Size {
    Size { millicores: cores * 1_000, memory_mb: cores * 1_000, accelerators: 0 }
}

pub(super) fn job(team: &str, cores: u64, urgency: Urgency) -> Job {
    Job {
        team: TeamName::from(team),
        kind: "report".into(),
        pool: PoolName::from("batch"),
        declared: size(cores),
        declared_run: Duration::from_secs(60),
        urgency,
        idempotent: true,
        checkpoints: true,
    }
}

pub(super) fn payroll(cores: u64) -> Job {
    let once = Job { idempotent: false, checkpoints: false, ..job("pay", cores, Urgency::Normal) };
    Job { kind: "payroll".into(), ..once }
}

pub(super) fn host_name(at: usize) -> HostName {
    HostName::from(format!("h{at}"))
}

/// A job as its host sees it.
#[derive(Clone, Debug)]
pub(super) struct Task {
    pub(super) host: HostName,
    operation: OperationId,
    ends: Time,
}

/// Hosts whose agents do what they are told, after a while.
pub(super) struct World {
    pub(super) placement: Placement,
    pub(super) now: Time,
    rng: fastrand::Rng,
    due: BTreeMap<(Time, u64), Event>,
    next: u64,
    pub(super) tasks: BTreeMap<JobName, Task>,
    /// How often each job was started by an agent.
    pub(super) started: BTreeMap<JobName, u32>,
    pub(super) first_start: BTreeMap<JobName, Time>,
    pub(super) answers: BTreeMap<JobName, Outcome>,
    pub(super) silent: BTreeSet<HostName>,
    pub(super) run: Duration,
    /// Hosts that fail everything at once.
    pub(super) broken: BTreeSet<HostName>,
    /// Of a hundred answers of agents so many are lost.
    pub(super) lost_percent: u32,
}

impl World {
    pub(super) fn new(hosts: usize, seed: u64) -> Self {
        let mut world = Self {
            placement: Placement::new(),
            now: Time::from_millis(1),
            rng: fastrand::Rng::with_seed(seed),
            due: BTreeMap::new(),
            next: 0,
            tasks: BTreeMap::new(),
            started: BTreeMap::new(),
            first_start: BTreeMap::new(),
            answers: BTreeMap::new(),
            silent: BTreeSet::new(),
            run: Duration::from_secs(30),
            broken: BTreeSet::new(),
            lost_percent: 0,
        };
        for at in 0..hosts {
            let host = HostRoom { pool: PoolName::from("batch"), room: HOST, leaving: false };
            world.tell(Event::HostSet { name: host_name(at), host });
        }
        for team in ["pay", "sales", "grades"] {
            let limit = Size { millicores: 1_000_000, memory_mb: 4_000_000, accelerators: 100 };
            let quota = TeamQuota { weight: 1, limit };
            world.tell(Event::QuotaSet { team: TeamName::from(team), quota });
        }
        world
    }

    pub(super) fn tell(&mut self, event: Event) {
        for effect in self.placement.handle(self.now, event) {
            self.carry_out(effect);
        }
    }

    pub(super) fn submit(&mut self, name: &str, job: Job) {
        self.tell(Event::Submit { name: JobName::from(name), job });
    }

    fn later(&mut self, millis: u64, event: Event) {
        self.next += 1;
        self.due.insert((self.now + Duration::from_millis(millis), self.next), event);
    }

    /// Sends an agent's answer on its way, unless it is lost.
    fn answer(&mut self, host: &HostName, millis: u64, event: Event) {
        if self.silent.contains(host) || self.rng.u32(0..100) < self.lost_percent {
            return;
        }
        let delay = millis + self.rng.u64(0..50);
        self.later(delay, event);
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Record { name, operation, .. } => {
                self.later(8, Event::Recorded { name, operation });
            }
            Effect::Start { name, host, operation, .. } => self.start(name, host, operation),
            Effect::KeepAlive { host, asked } => {
                let name = host.clone();
                self.answer(&host, 5, Event::KeptAlive { name, asked });
            }
            Effect::Ask { name, host, operation } => {
                let runs = self.tasks.get(&name).is_some_and(|task| task.operation == operation);
                let answer = match runs {
                    true => Event::Started { name, operation },
                    false => Event::NotStarted { name, operation },
                };
                self.answer(&host, 5, answer);
            }
            Effect::Checkpoint { name, host, operation } => {
                self.answer(&host, 600, Event::Checkpointed { name, operation });
            }
            Effect::Stop { name, host, operation } => {
                if !self.silent.contains(&host) {
                    let stopped = self.tasks.remove(&name).is_some();
                    let answer = match stopped {
                        true => Event::Stopped { name, operation },
                        false => Event::NotStarted { name, operation },
                    };
                    self.later(200, answer);
                }
            }
            Effect::Answer { name, outcome } => {
                assert!(self.answers.insert(name.clone(), outcome).is_none(), "{name} twice");
            }
        }
    }

    fn start(&mut self, name: JobName, host: HostName, operation: OperationId) {
        if self.silent.contains(&host) {
            return;
        }
        *self.started.entry(name.clone()).or_default() += 1;
        self.first_start.entry(name.clone()).or_insert(self.now);
        let ends = self.now + self.run.mul_f64(0.5 + self.rng.f64());
        let task = Task { host: host.clone(), operation: operation.clone(), ends };
        self.tasks.insert(name.clone(), task);
        self.answer(
            &host,
            250,
            Event::Started { name: name.clone(), operation: operation.clone() },
        );
        if self.broken.contains(&host) {
            self.tasks.remove(&name);
            let failure = Some("it fell over".into());
            self.later(400, Event::Finished { name, operation, failure });
        }
    }

    pub(super) fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(100);
            while let Some(entry) = self.due.first_entry().filter(|e| e.key().0 <= self.now) {
                let event = entry.remove();
                self.tell(event);
            }
            self.end_tasks();
            self.tell(Event::Tick);
        }
    }

    fn end_tasks(&mut self) {
        let ended: Vec<JobName> = self
            .tasks
            .iter()
            .filter(|(_, task)| task.ends <= self.now && !self.silent.contains(&task.host))
            .map(|(name, _)| name.clone())
            .collect();
        for name in ended {
            let Some(task) = self.tasks.remove(&name) else { continue };
            let operation = task.operation;
            let started = Event::Started { name: name.clone(), operation: operation.clone() };
            self.tell(started);
            let peak = size(1);
            self.tell(Event::Usage { name: name.clone(), operation: operation.clone(), peak });
            self.tell(Event::Finished { name, operation, failure: None });
        }
    }

    pub(super) fn outcome(&self, name: &str) -> Option<&Outcome> {
        self.answers.get(name)
    }

    /// Another daemon takes over with what was stored, its clock at another point.
    pub(super) fn take_over(&mut self) {
        let text = serde_json::to_string(&self.placement).expect("the state is plain data");
        self.placement = serde_json::from_str(&text).expect("it reads back");
        self.due.retain(|_, event| !matches!(event, Event::Recorded { .. }));
        for effect in self.placement.recover(self.now) {
            self.carry_out(effect);
        }
    }
}
