//! Jobs on a few hosts in virtual time, with agents that are slow, lose answers and go silent.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use borageswitch_types::{
    Time,
    names::{HostName, JobName, OperationId, PoolName, TeamName},
};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};

use crate::placement::{
    Effect, Event, Placement, TeamQuota, URGENT_START,
    hosts::HostRoom,
    job::{Job, JobState, Outcome, Size, Urgency},
};

const HOST: Size = Size { millicores: 16_000, memory_mb: 64_000, accelerators: 2 };

fn size(cores: u64) -> Size {
    Size { millicores: cores * 1_000, memory_mb: cores * 1_000, accelerators: 0 }
}

fn job(team: &str, cores: u64, urgency: Urgency) -> Job {
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

fn payroll(cores: u64) -> Job {
    let once = Job { idempotent: false, checkpoints: false, ..job("pay", cores, Urgency::Normal) };
    Job { kind: "payroll".into(), ..once }
}

fn host_name(at: usize) -> HostName {
    HostName::from(format!("h{at}"))
}

/// A job as its host sees it.
#[derive(Clone, Debug)]
struct Task {
    host: HostName,
    operation: OperationId,
    ends: Time,
}

/// Hosts whose agents do what they are told, after a while.
struct World {
    placement: Placement,
    now: Time,
    rng: fastrand::Rng,
    due: BTreeMap<(Time, u64), Event>,
    next: u64,
    tasks: BTreeMap<JobName, Task>,
    /// How often each job was started by an agent.
    started: BTreeMap<JobName, u32>,
    first_start: BTreeMap<JobName, Time>,
    answers: BTreeMap<JobName, Outcome>,
    silent: BTreeSet<HostName>,
    run: Duration,
    /// Hosts that fail everything at once.
    broken: BTreeSet<HostName>,
    /// Of a hundred answers of agents so many are lost.
    lost_percent: u32,
}

impl World {
    fn new(hosts: usize, seed: u64) -> Self {
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

    fn tell(&mut self, event: Event) {
        for effect in self.placement.handle(self.now, event) {
            self.carry_out(effect);
        }
    }

    fn submit(&mut self, name: &str, job: Job) {
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

    fn run_for(&mut self, time: Duration) {
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

    fn outcome(&self, name: &str) -> Option<&Outcome> {
        self.answers.get(name)
    }

    /// Another daemon takes over with what was stored, its clock at another point.
    fn take_over(&mut self) {
        let text = serde_json::to_string(&self.placement).expect("the state is plain data");
        self.placement = serde_json::from_str(&text).expect("it reads back");
        self.due.retain(|_, event| !matches!(event, Event::Recorded { .. }));
        for effect in self.placement.recover(self.now) {
            self.carry_out(effect);
        }
    }
}

#[test]
fn jobs_run_to_their_end() {
    let mut world = World::new(2, 1);
    for n in 0..20 {
        world.submit(&format!("j{n}"), job("sales", 4, Urgency::Normal));
    }

    world.run_for(Duration::from_secs(300));

    assert_eq!(world.answers.len(), 20);
    assert!(world.answers.values().all(|outcome| *outcome == Outcome::Done));
}

/// All hosts are full of work that can wait when urgent work comes in. Callers must see it start
/// within 2.4 s, and the work that gave way must still be done.
#[test]
fn urgent_work_starts_in_time_on_full_hosts() {
    let mut world = World::new(4, 2);
    world.run = Duration::from_secs(600);
    for n in 0..40 {
        world.submit(&format!("low{n}"), job("sales", 4, Urgency::Low));
    }
    world.run_for(Duration::from_secs(10));
    let submitted = world.now;

    for n in 0..8 {
        world.submit(&format!("urgent{n}"), job("pay", 4, Urgency::Urgent));
    }
    world.run_for(Duration::from_secs(5));

    for n in 0..8 {
        let started = world.first_start.get(format!("urgent{n}").as_str()).copied();
        let waited = started.expect("it has started").since(submitted);
        // The agent takes up to 300 ms more to have it run.
        assert!(waited + Duration::from_millis(300) <= URGENT_START, "urgent{n}: {waited:?}");
    }
}

/// The same load in one line, first come first served: what the urgent work would wait.
#[test]
fn without_urgency_the_same_work_would_wait_for_minutes() {
    let mut world = World::new(4, 2);
    world.run = Duration::from_secs(600);
    for n in 0..40 {
        world.submit(&format!("low{n}"), job("sales", 4, Urgency::Low));
    }
    world.run_for(Duration::from_secs(10));

    world.submit("plain", job("sales", 4, Urgency::Low));
    world.run_for(Duration::from_secs(120));

    assert!(!world.first_start.contains_key("plain"));
}

#[test]
fn a_job_that_can_never_run_is_refused_with_what_it_lacks() {
    let mut world = World::new(2, 3);
    let small = TeamQuota { weight: 1, limit: size(8) };
    world.tell(Event::QuotaSet { team: TeamName::from("grades"), quota: small });
    let accelerators = Size { accelerators: 3, ..size(1) };

    world.submit("wide", job("sales", 64, Urgency::Normal));
    world.submit("fast", Job { declared: accelerators, ..job("sales", 1, Urgency::Normal) });
    world.submit("over", job("grades", 9, Urgency::Normal));
    world.submit("lost", job("nobody", 1, Urgency::Normal));
    let elsewhere = Job { pool: PoolName::from("moon"), ..job("sales", 1, Urgency::Normal) };
    world.submit("moon", elsewhere);

    let reasons: Vec<String> = ["wide", "fast", "over", "lost", "moon"]
        .map(|name| world.outcome(name).expect("answered at once").to_string())
        .to_vec();
    insta::assert_snapshot!(reasons.join("\n"), @r"
    refused: it needs more processors than any host of pool 'batch' has
    refused: it needs more accelerators than any host of pool 'batch' has
    refused: it needs more processors than team 'grades' may hold
    refused: team 'nobody' has no quota
    refused: pool 'moon' has no host
    ");
}

/// A part of each host is kept for urgent work. A job that needs a whole host must run all the same.
#[test]
fn a_job_as_large_as_a_host_runs_on_an_empty_one() {
    let mut world = World::new(1, 12);
    world.submit("small", job("sales", 2, Urgency::Normal));
    world.submit("whole", Job { kind: "whole".into(), ..job("grades", 16, Urgency::Normal) });

    world.run_for(Duration::from_secs(200));

    assert_eq!(world.outcome("whole"), Some(&Outcome::Done));
}

/// One host fails each job within a second and is always free. Without a guard it would draw and
/// fail all the work there is.
#[test]
fn a_host_that_fails_everything_is_set_aside() {
    let mut world = World::new(8, 4);
    world.broken.insert(host_name(0));
    world.run = Duration::from_secs(20);
    for n in 0..200 {
        let kind = format!("kind{}", n % 5);
        let one = Job { kind: kind.as_str().into(), ..job("sales", 4, Urgency::Normal) };
        world.submit(&format!("j{n}"), one);
    }

    world.run_for(Duration::from_secs(400));

    let done = world.answers.values().filter(|outcome| **outcome == Outcome::Done).count();
    assert_eq!(done, 200, "{:?}", world.answers.values().find(|o| **o != Outcome::Done));
    let wasted: u32 = world.started.values().map(|starts| starts - 1).sum();
    assert!(wasted < 20, "{wasted} starts were wasted");
}

/// Sales submits a thousand jobs. Grades must not wait behind them.
#[test]
fn a_team_with_many_jobs_holds_up_no_other() {
    let mut world = World::new(4, 5);
    for n in 0..1_000 {
        world.submit(&format!("s{n:04}"), job("sales", 4, Urgency::Normal));
    }
    for n in 0..10 {
        world.submit(&format!("g{n}"), job("grades", 4, Urgency::Normal));
    }

    world.run_for(Duration::from_secs(180));

    let grades = world.answers.keys().filter(|name| name.as_str().starts_with('g')).count();
    assert_eq!(grades, 10);
}

/// A team cancels all it has submitted. Each waiting job is answered at once, each running one
/// once it has stopped, and the room goes to others.
#[test]
fn cancellations_in_bulk_are_answered_and_free_their_room() {
    let mut world = World::new(4, 6);
    world.run = Duration::from_secs(3_600);
    for n in 0..2_000 {
        world.submit(&format!("s{n:04}"), job("sales", 4, Urgency::Normal));
    }
    world.run_for(Duration::from_secs(5));
    let running = world.started.len();

    world.tell(Event::CancelTeam { team: TeamName::from("sales") });
    let at_once = world.answers.len();
    world.run_for(Duration::from_secs(5));

    assert!(running > 0);
    assert_eq!((at_once, world.answers.len()), (2_000 - running, 2_000));
    assert!((0..4).all(|at| world.placement.held_on(&host_name(at)) == Size::default()));
}

/// What teams declare is eight times what their jobs use. After a few runs more jobs fit.
#[test]
fn sizes_are_learned_from_what_runs_have_used() {
    let mut world = World::new(1, 7);
    for n in 0..4 {
        world.submit(&format!("first{n}"), job("sales", 8, Urgency::Normal));
    }
    world.run_for(Duration::from_secs(240));

    for n in 0..12 {
        world.submit(&format!("then{n}"), job("sales", 8, Urgency::Normal));
    }
    world.run_for(Duration::from_secs(2));

    let together = world.tasks.len();
    assert!(together > 8, "{together} run together, where one did");
}

/// A host has to stop for a wave. Its jobs go on elsewhere from a checkpoint; one that must not
/// run twice is left to its end.
#[test]
fn a_leaving_host_checkpoints_its_jobs_and_leaves_payroll_alone() {
    let mut world = World::new(1, 8);
    world.run = Duration::from_secs(300);
    let long = Duration::from_secs(600);
    world.submit("pay", Job { declared_run: long, ..payroll(4) });
    world.submit("report", Job { declared_run: long, ..job("sales", 4, Urgency::Normal) });
    world.run_for(Duration::from_secs(2));
    let room = HostRoom { pool: PoolName::from("batch"), room: HOST, leaving: false };
    world.tell(Event::HostSet { name: host_name(1), host: room.clone() });

    let leaving = HostRoom { leaving: true, ..room };
    world.tell(Event::HostSet { name: host_name(0), host: leaving });
    world.run_for(Duration::from_secs(3));

    assert_eq!(world.tasks["pay"].host, host_name(0));
    assert_eq!(world.tasks["report"].host, host_name(1));
    world.run_for(Duration::from_secs(600));
    assert_eq!((world.outcome("pay"), world.started["pay"]), (Some(&Outcome::Done), 1));
}

/// The host of a payroll run goes silent after the start. Whether people are paid cannot be told,
/// so the run must not start again; a report simply starts elsewhere, but only after the lease of
/// the first one has lapsed.
#[test]
fn a_silent_host_makes_payroll_unknown_and_moves_reports() {
    let mut world = World::new(1, 9);
    world.run = Duration::from_secs(600);
    world.submit("pay", payroll(4));
    world.submit("report", job("sales", 4, Urgency::Normal));
    world.run_for(Duration::from_secs(2));
    let room = HostRoom { pool: PoolName::from("batch"), room: HOST, leaving: false };
    world.tell(Event::HostSet { name: host_name(1), host: room });

    world.silent.insert(host_name(0));
    world.run_for(Duration::from_secs(20));
    let early = world.started["report"];
    world.run_for(Duration::from_secs(100));

    assert!(matches!(world.outcome("pay"), Some(Outcome::Unknown { .. })));
    assert_eq!((early, world.started["report"], world.started["pay"]), (1, 2, 1));
}

/// A large job waits for room while small ones keep passing it. After two minutes room is kept.
#[test]
fn a_large_job_is_not_passed_for_ever() {
    let mut world = World::new(1, 10);
    world.run = Duration::from_secs(20);
    for n in 0..200 {
        let small =
            Job { kind: format!("k{n}").as_str().into(), ..job("sales", 3, Urgency::Normal) };
        world.submit(&format!("s{n:03}"), small);
    }
    let large = Job { kind: "large".into(), ..job("grades", 14, Urgency::Normal) };
    world.submit("large", large);

    world.run_for(Duration::from_secs(240));

    assert!(world.started.contains_key("large"));
    assert!(world.placement.waiting() > 0, "others still waited");
}

#[test]
fn a_repeated_submit_starts_nothing_more() {
    let mut world = World::new(1, 11);
    world.submit("pay", payroll(1));
    world.submit("pay", payroll(1));
    world.run_for(Duration::from_secs(120));
    world.submit("pay", payroll(1));
    world.run_for(Duration::from_secs(120));

    assert_eq!((world.outcome("pay"), world.started["pay"]), (Some(&Outcome::Done), 1));
}

/// One event of a random run.
#[derive(Clone, Debug)]
enum Chance {
    Run(u8),
    Submit { payroll: bool, cores: u8, urgent: bool },
    Cancel(u8),
    Silence(u8),
    Speak,
    Leave(u8),
    TakeOver,
}

fn chance() -> impl Strategy<Value = Chance> {
    prop_oneof![
        5 => (1..40u8).prop_map(Chance::Run),
        8 => (any::<bool>(), 1..9u8, any::<bool>())
            .prop_map(|(payroll, cores, urgent)| Chance::Submit { payroll, cores, urgent }),
        2 => any::<u8>().prop_map(Chance::Cancel),
        1 => (0..4u8).prop_map(Chance::Silence),
        1 => Just(Chance::Speak),
        1 => (0..4u8).prop_map(Chance::Leave),
        2 => Just(Chance::TakeOver),
    ]
}

fn play(world: &mut World, chance: &Chance, submitted: &mut usize) {
    match *chance {
        Chance::Run(seconds) => world.run_for(Duration::from_secs(u64::from(seconds))),
        Chance::Submit { payroll: once, cores, urgent } => {
            let urgency = if urgent { Urgency::Urgent } else { Urgency::Normal };
            let cores = u64::from(cores);
            let one = if once { payroll(cores) } else { job("sales", cores, urgency) };
            let kind = if once { "pay" } else { "job" };
            world.submit(&format!("{kind}{submitted}"), one);
            *submitted += 1;
        }
        Chance::Cancel(at) => {
            let n = usize::from(at) % (*submitted).max(1);
            for kind in ["pay", "job"] {
                world.tell(Event::Cancel { name: JobName::from(format!("{kind}{n}")) });
            }
        }
        Chance::Silence(at) => {
            world.silent.insert(host_name(usize::from(at)));
        }
        Chance::Speak => {
            for host in std::mem::take(&mut world.silent) {
                // A host that was silent for longer than its lease has stopped its tasks.
                world.tasks.retain(|_, task| task.host != host);
                let room = HostRoom { pool: PoolName::from("batch"), room: HOST, leaving: false };
                world.tell(Event::HostGone { name: host.clone() });
                world.tell(Event::HostSet { name: host, host: room });
            }
        }
        Chance::Leave(at) => {
            let host = HostRoom { pool: PoolName::from("batch"), room: HOST, leaving: true };
            world.tell(Event::HostSet { name: host_name(usize::from(at)), host });
        }
        Chance::TakeOver => world.take_over(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(17),
        ..ProptestConfig::default()
    })]

    /// Holders are replaced, answers of agents are lost, hosts go silent and leave, jobs are
    /// cancelled. A clerk would notice a payroll that ran twice or a job that never gets an
    /// answer.
    #[test]
    fn payroll_starts_at_most_once_and_every_job_is_answered(
        chances in vec(chance(), 1..50),
        seed in 0..1_000u64,
    ) {
        let mut world = World::new(4, seed);
        world.lost_percent = 10;
        let mut submitted = 0;

        for chance in &chances {
            play(&mut world, chance, &mut submitted);
        }
        play(&mut world, &Chance::Speak, &mut submitted);
        for at in 0..4 {
            let host = HostRoom { pool: PoolName::from("batch"), room: HOST, leaving: false };
            world.tell(Event::HostSet { name: host_name(at), host });
        }
        world.run_for(Duration::from_secs(600));

        for (name, starts) in &world.started {
            prop_assert!(!name.as_str().starts_with("pay") || *starts == 1, "{name}: {starts}");
        }
        prop_assert_eq!(world.answers.len(), submitted);
        let ended = |name: &JobName| {
            matches!(world.placement.job(name).map(|r| &r.state), Some(JobState::Ended(_)))
        };
        prop_assert!(world.answers.keys().all(ended));
    }
}
