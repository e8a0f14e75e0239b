//! Placement of jobs: how long urgent work waits, and what an event costs at growing sizes.
//!
//! Agents answer after fixed times in virtual time; processor times are of this machine.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use borageswitch_planner::placement::{
    Effect, Event, Placement, TeamQuota,
    hosts::HostRoom,
    job::{Job, Size, Urgency},
};
use borageswitch_types::{
    Time,
    names::{HostName, JobName, OperationId, PoolName, TeamName},
};
use hdrhistogram::Histogram;
use serde_json::{Value, json};

/// Hosts, pools and teams of the regions.
const SIZES: [(usize, usize, usize); 4] =
    [(50, 5, 10), (213, 38, 33), (850, 151, 130), (1_700, 301, 260)];
const ROOM: Size = Size { millicores: 64_000, memory_mb: 256_000, accelerators: 2 };
const CORES: std::ops::Range<u64> = 2..12;
const SECONDS: u64 = 60;
/// Urgent jobs a second for a hundred hosts.
const URGENT_RATE: f64 = 0.5;
const RECORD_MILLIS: u64 = 8;
const START_MILLIS: u64 = 250;
const CHECKPOINT_MILLIS: u64 = 600;
const STOP_MILLIS: u64 = 200;

/// Runs all of it and gives the figures.
pub(crate) fn run() -> Value {
    let mut rows = Vec::new();
    for (hosts, pools, teams) in SIZES {
        for urgent in [true, false] {
            rows.push(one(hosts, pools, teams, urgent));
        }
    }
    json!({ "placement": rows })
}

struct World {
    placement: Placement,
    now: Time,
    rng: fastrand::Rng,
    due: BTreeMap<(Time, u64), Event>,
    next: u64,
    submitted: BTreeMap<JobName, Time>,
    waits: Histogram<u64>,
    costs: Histogram<u64>,
    busy: Duration,
}

impl World {
    fn tell(&mut self, event: Event) {
        let start = Instant::now();
        let effects = self.placement.handle(self.now, event);
        let cost = start.elapsed();
        self.busy += cost;
        self.costs.saturating_record(cost.as_nanos() as u64 / 1_000);
        for effect in effects {
            self.carry_out(effect);
        }
    }

    fn later(&mut self, millis: u64, event: Event) {
        self.next += 1;
        self.due.insert((self.now + Duration::from_millis(millis), self.next), event);
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Record { name, operation, .. } => {
                self.later(RECORD_MILLIS, Event::Recorded { name, operation });
            }
            Effect::Start { name, operation, .. } => self.start(name, operation),
            Effect::Checkpoint { name, operation, .. } => {
                self.later(CHECKPOINT_MILLIS, Event::Checkpointed { name, operation });
            }
            Effect::Stop { name, operation, .. } => {
                self.later(STOP_MILLIS, Event::Stopped { name, operation });
            }
            Effect::KeepAlive { host, asked } => {
                self.later(5, Event::KeptAlive { name: host, asked });
            }
            Effect::Ask { .. } | Effect::Answer { .. } => {}
        }
    }

    fn start(&mut self, name: JobName, operation: OperationId) {
        if let Some(at) = self.submitted.remove(&name) {
            let waited = self.now.since(at).as_millis() as u64 + START_MILLIS;
            self.waits.saturating_record(waited);
        }
        let started = Event::Started { name: name.clone(), operation: operation.clone() };
        self.later(START_MILLIS, started);
        let runs = self.rng.u64(60_000..1_200_000);
        self.later(runs, Event::Finished { name, operation, failure: None });
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(100);
            while let Some(entry) = self.due.first_entry().filter(|e| e.key().0 <= self.now) {
                let event = entry.remove();
                self.tell(event);
            }
            self.tell(Event::Tick);
        }
    }
}

/// Fills the hosts beyond what they hold, then lets urgent jobs come in.
fn one(hosts: usize, pools: usize, teams: usize, urgent: bool) -> Value {
    let mut world = new_world(hosts, pools, teams);
    let backlog = hosts * 12;
    for n in 0..backlog {
        let name = JobName::from(format!("low-{n}"));
        let job = random_job(&mut world.rng, pools, teams, Urgency::Low);
        world.tell(Event::Submit { name, job });
    }
    world.run_for(Duration::from_secs(30));
    let mut arrivals = 0.0;
    for second in 0..SECONDS {
        arrivals += URGENT_RATE * hosts as f64 / 100.0;
        while arrivals >= 1.0 {
            arrivals -= 1.0;
            let urgency = if urgent { Urgency::Urgent } else { Urgency::Low };
            let name = JobName::from(format!("urgent-{second}-{}", world.next));
            world.next += 1;
            let job = random_job(&mut world.rng, pools, teams, urgency);
            world.submitted.insert(name.clone(), world.now);
            world.tell(Event::Submit { name, job });
        }
        world.run_for(Duration::from_secs(1));
    }
    let still_waiting: Vec<Time> = world.submitted.values().copied().collect();
    for at in still_waiting {
        let waited = world.now.since(at).as_millis() as u64;
        world.waits.saturating_record(waited);
    }
    json!({
        "1 hosts": hosts,
        "2 teams": teams,
        "3 urgent first": urgent,
        "4 wait p50, ms": world.waits.value_at_quantile(0.5),
        "5 wait p99, ms": world.waits.value_at_quantile(0.99),
        "6 not started": world.submitted.len(),
        "7 event mean, us": world.costs.mean(),
        "8 event p99, us": world.costs.value_at_quantile(0.99),
        "9 busy of run": world.busy.as_secs_f64() / (SECONDS + 30) as f64,
    })
}

fn new_world(hosts: usize, pools: usize, teams: usize) -> World {
    let histogram =
        || Histogram::new_with_bounds(1, 3_600_000, 3).expect("the bounds are in order");
    let mut world = World {
        placement: Placement::new(),
        now: Time::from_millis(1),
        rng: fastrand::Rng::with_seed(7),
        due: BTreeMap::new(),
        next: 0,
        submitted: BTreeMap::new(),
        waits: histogram(),
        costs: histogram(),
        busy: Duration::ZERO,
    };
    for at in 0..hosts {
        let pool = PoolName::from(format!("pool-{}", at % pools));
        let name = HostName::from(format!("h{at:04}"));
        world.tell(Event::HostSet { name, host: HostRoom { pool, room: ROOM, leaving: false } });
    }
    let limit = Size { millicores: u64::MAX / 4, memory_mb: u64::MAX / 4, accelerators: 10_000 };
    for at in 0..teams {
        let team = TeamName::from(format!("team-{at}"));
        world.tell(Event::QuotaSet { team, quota: TeamQuota { weight: 1, limit } });
    }
    world
}

fn random_job(rng: &mut fastrand::Rng, pools: usize, teams: usize, urgency: Urgency) -> Job {
    let cores = rng.u64(CORES);
    Job {
        team: TeamName::from(format!("team-{}", rng.usize(0..teams))),
        kind: "batch".into(),
        pool: PoolName::from(format!("pool-{}", rng.usize(0..pools))),
        declared: Size { millicores: cores * 1_000, memory_mb: cores * 2_000, accelerators: 0 },
        declared_run: Duration::from_secs(600),
        urgency,
        idempotent: true,
        checkpoints: true,
    }
}
