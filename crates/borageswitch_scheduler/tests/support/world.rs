//! Carries effects out with delays and faults, and checks what must hold.
//!
//! - [`orders`]: what reaches executors, and when their answers come back.
//! - [`hosts`]: hosts that crash, shrink, leave and are maintained.
//! - [`culprits`]: tasks that crash whatever runs them.
//! - [`checks`]: what must hold.

mod checks;
pub mod culprits;
mod hosts;
mod orders;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use borageswitch_scheduler::{
    config::{Caller, Config},
    effect::Effect,
    event::{Event, Now},
    executor::Registration,
    incarnation,
    job::{JobSpec, Schedule, Size, Step, Submission},
    ledger::{
        Ledger,
        record::{Outcome, Record},
        snapshot::Snapshot,
    },
    reducer::{Limits, Scheduler},
};
use borageswitch_types::{
    Time,
    names::{CallerName, DataCentreName, ExecutorName, HostName, JobName},
    time::UnixMillis,
};
use fastrand::Rng;

use super::{
    executor::SimExecutor,
    fixtures::{config, cores, queue},
};
use culprits::Culprits;
use hosts::Hosts;

/// One step of the world, in milliseconds.
const STEP: u64 = 5;
/// The wall clock at the world's start.
const WALL: u64 = 1_700_000_000_000;
/// How long a call without an answer takes.
const CALL_TIMEOUT: u64 = 450;
/// How long a call takes whose connection is reset.
const RESET: u64 = 5;
/// The longest that an order is on its way.
const LONGEST_DELAY: u64 = 12_000;

/// Which faults happen, each with its chance a thousand calls or steps.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub lost_answer: u32,
    pub lost_order: u32,
    pub late_order: u32,
    pub leader_dies: u32,
    pub executor_dies: u32,
    pub executor_cut: u32,
    pub store_away: u32,
    pub cancel: u32,
    /// Hosts of one rack go at once; needs hosts, as all that follow.
    pub rack_lost: u32,
    /// A host shrinks, down to nothing at times, and grows again.
    pub shrinks: u32,
    /// A host is removed for good after a notice, and another one comes.
    pub leaves: u32,
    /// Some hosts are due for maintenance.
    pub wave: u32,
    /// The platform's list of hosts is away for some seconds.
    pub list_away: u32,
    /// Executors start again under the names that they had. Not a chance: all do, or none.
    pub same_names: bool,
}

enum Due {
    Order { token: u64, effect: Effect, answered: bool, kept_by: Option<ExecutorName> },
    Event { token: u64, event: Event },
    Departure { host: HostName, executor: Option<ExecutorName>, guards: bool },
}

/// The world: executors, a store and whoever leads.
pub struct World {
    pub rng: Rng,
    pub now: u64,
    pub faults: Faults,
    pub executors: BTreeMap<ExecutorName, SimExecutor>,
    cut: BTreeMap<ExecutorName, u64>,
    dead: BTreeSet<ExecutorName>,
    submissions: BTreeMap<JobName, Arc<Submission>>,
    stored_jobs: BTreeSet<JobName>,
    cancelled: BTreeMap<JobName, u64>,
    appends: BTreeMap<u64, Vec<Record>>,
    snapshot: Snapshot,
    store_away_until: u64,
    waiting_appends: Vec<(u64, u64, Vec<Record>, Vec<JobName>)>,
    leader: Option<Scheduler>,
    token: u64,
    leader_back_at: u64,
    leads_since: u64,
    due: Vec<(u64, Due)>,
    next_executor: u32,
    config: Arc<Config>,
    /// Quotas of earlier configurations, and until when a start may go by them.
    earlier_quotas: Vec<(u64, CallerName, Size)>,
    pub shown: BTreeMap<JobName, Outcome>,
    /// When that was shown first.
    pub shown_at: BTreeMap<JobName, u64>,
    pub broken: Vec<String>,
    hosts: Option<Hosts>,
    pub culprits: Culprits,
    /// Executors start again under the names that they had.
    same_names: bool,
}

impl World {
    pub fn new(seed: u64, hosts: usize, guards: bool, faults: Faults) -> Self {
        let mut world = Self {
            rng: Rng::with_seed(seed),
            now: 1_000,
            faults,
            executors: BTreeMap::new(),
            cut: BTreeMap::new(),
            dead: BTreeSet::new(),
            submissions: BTreeMap::new(),
            stored_jobs: BTreeSet::new(),
            cancelled: BTreeMap::new(),
            appends: BTreeMap::new(),
            snapshot: Snapshot::default(),
            store_away_until: 0,
            waiting_appends: Vec::new(),
            leader: None,
            token: 0,
            leader_back_at: 0,
            leads_since: 0,
            due: Vec::new(),
            next_executor: 0,
            config: config(guards),
            earlier_quotas: Vec::new(),
            shown: BTreeMap::new(),
            shown_at: BTreeMap::new(),
            broken: Vec::new(),
            hosts: None,
            culprits: Culprits::default(),
            same_names: faults.same_names,
        };
        for _ in 0..hosts {
            world.add_executor(guards);
        }
        world
    }

    /// A world whose executors run on hosts that the platform lists.
    pub fn with_hosts(seed: u64, hosts: usize, guards: bool, faults: Faults) -> Self {
        let mut world = Self::new(seed, 0, guards, faults);
        world.hosts = Some(Hosts::default());
        for _ in 0..hosts {
            world.add_host(guards);
        }
        world
    }

    fn add_executor(&mut self, guards: bool) -> ExecutorName {
        self.next_executor += 1;
        let name = ExecutorName::from(format!("e{}", self.next_executor));
        if self.same_names {
            return self.begin_life(&name, guards);
        }
        let ahead = self.rng.u64(..1_000_000);
        let slow = self.rng.bool();
        self.executors.insert(name.clone(), SimExecutor::new(cores(16), guards, ahead, slow));
        name
    }

    /// A life begins of the executor that is registered under a name; its clock starts anew.
    fn begin_life(&mut self, registered: &ExecutorName, guards: bool) -> ExecutorName {
        let life =
            incarnation::name(incarnation::registered_name(registered), Some(self.moment().wall));
        let slow = self.rng.bool();
        let executor = SimExecutor::new(cores(16), guards, 0, slow);
        self.executors.insert(life.clone(), SimExecutor { born: self.now, ..executor });
        life
    }

    /// The life that whatever is sent to an executor arrives at.
    fn addressee(&self, executor: &ExecutorName) -> ExecutorName {
        let same = |life: &&ExecutorName| {
            incarnation::registered_name(life) == incarnation::registered_name(executor)
        };
        let lives = self.executors.keys().filter(same);
        lives.filter(|life| !self.dead.contains(*life)).max().unwrap_or(executor).clone()
    }

    fn moment(&self) -> Now {
        Now { time: Time::from_millis(self.now), wall: UnixMillis(WALL + self.now) }
    }

    fn registrations(&self) -> Vec<Registration> {
        if let Some(hosts) = &self.hosts {
            return hosts.registrations(self.now);
        }
        let alive = self.executors.keys().filter(|name| !self.dead.contains(*name));
        alive
            .map(|name| Registration {
                executor: name.clone(),
                pool: queue().pool,
                address: SocketAddr::from(([127, 0, 0, 1], 1)),
                data_centre: DataCentreName::from("dc"),
                draining: false,
                remaining: None,
                capacity: cores(16),
                labels: vec!["a".into(), "r1".into()],
            })
            .collect()
    }

    /// The operator sets what a caller's tasks may use at once.
    pub fn set_quota(&mut self, caller: &str, quota: Size) {
        let name = CallerName::from(caller);
        if let Some(before) = self.config.callers.get(&name) {
            // An order that left under it may be carried out that much later.
            let until = self.now + LONGEST_DELAY;
            self.earlier_quotas.push((until, name.clone(), before.quota));
        }
        let mut config = Config::clone(&self.config);
        config.version += 1;
        config.callers.insert(name.clone(), Caller { name, weight: 1.0, quota });
        self.config = Arc::new(config);
        let moment = self.moment();
        let event = Event::Configured(self.config.clone());
        if let Some(leader) = &mut self.leader {
            leader.handle(moment, event);
        }
    }

    /// What was handed in.
    pub fn submissions(&self) -> impl Iterator<Item = (&JobName, &Arc<Submission>)> {
        self.submissions.iter()
    }

    /// Whether jobs have callers.
    pub fn has_callers(&self) -> bool {
        !self.config.callers.is_empty()
    }

    /// Some caller with a quota, if there are any.
    fn some_caller(&mut self) -> Option<CallerName> {
        let callers: Vec<&CallerName> = self.config.callers.keys().collect();
        if callers.is_empty() {
            return None;
        }
        let chosen = self.rng.usize(..callers.len());
        Some(callers[chosen].clone())
    }

    /// A caller hands in a job.
    pub fn submit(&mut self, steps: Vec<Step>) -> JobName {
        self.submit_at(steps, None)
    }

    /// A caller hands in a job that runs at set times.
    pub fn submit_timed(&mut self, steps: Vec<Step>, times: u32) -> JobName {
        let first = UnixMillis(WALL + self.now + self.rng.u64(500..3_000));
        let interval = Duration::from_millis(self.rng.u64(1_000..4_000));
        self.submit_at(steps, Some(Schedule { first, interval, times }))
    }

    fn submit_at(&mut self, steps: Vec<Step>, schedule: Option<Schedule>) -> JobName {
        let name = JobName::from(format!("{:016x}", self.rng.u64(..)));
        let caller = self.some_caller();
        let submission = Arc::new(Submission {
            job: name.clone(),
            queue: queue(),
            accepted: UnixMillis(WALL + self.now),
            spec: JobSpec { text: "text".into(), steps, schedule },
            caller,
        });
        self.submissions.insert(name.clone(), submission.clone());
        self.stored_jobs.insert(name.clone());
        let moment = self.moment();
        if let Some(leader) = &mut self.leader {
            leader.handle(moment, Event::Submitted(submission));
        }
        name
    }

    fn cancel_one(&mut self) {
        let open: Vec<JobName> = self
            .submissions
            .keys()
            .filter(|job| !self.cancelled.contains_key(*job) && !self.shown.contains_key(*job))
            .cloned()
            .collect();
        if open.is_empty() {
            return;
        }
        let job = open[self.rng.usize(..open.len())].clone();
        self.cancelled.insert(job.clone(), self.now);
        let moment = self.moment();
        if let Some(leader) = &mut self.leader {
            leader.handle(moment, Event::Cancelled(job));
        }
    }

    /// Lets the world go on for so many milliseconds.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += STEP;
            self.step();
        }
    }

    fn step(&mut self) {
        self.strike();
        self.lead();
        self.deliver();
        self.crash_culprits();
        self.advance_hosts();
        self.hold_gangs();
        for (name, executor) in &mut self.executors {
            if !self.dead.contains(name) {
                executor.advance(self.now);
            }
        }
        self.store();
        self.decide();
        self.check();
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        per_mille > 0 && self.rng.u32(..1_000) < per_mille
    }

    fn strike(&mut self) {
        if self.chance(self.faults.leader_dies) && self.leader.is_some() {
            self.leader = None;
            self.leader_back_at = self.now + self.rng.u64(50..3_000);
        }
        if self.chance(self.faults.executor_dies) {
            self.kill_executor();
        }
        if self.chance(self.faults.executor_cut) {
            let alive: Vec<_> = self.executors.keys().cloned().collect();
            let victim = alive[self.rng.usize(..alive.len())].clone();
            self.cut.insert(victim, self.now + self.rng.u64(500..9_000));
        }
        if self.chance(self.faults.store_away) {
            self.store_away_until = self.now + self.rng.u64(200..6_000);
        }
        if self.chance(self.faults.cancel) {
            self.cancel_one();
        }
        self.strike_hosts();
    }

    fn kill_executor(&mut self) {
        let alive: Vec<_> =
            self.executors.keys().filter(|name| !self.dead.contains(*name)).cloned().collect();
        if alive.is_empty() {
            return;
        }
        let victim = alive[self.rng.usize(..alive.len())].clone();
        if self.hosts.is_some() {
            self.crash(&victim);
            return;
        }
        let guards = self.executors[&victim].guards;
        self.executors.get_mut(&victim).unwrap().active.clear();
        self.dead.insert(victim);
        self.add_executor(guards);
        self.tell_registrations();
    }

    fn tell_registrations(&mut self) {
        let all = self.registrations();
        let moment = self.moment();
        if let Some(leader) = &mut self.leader {
            leader.handle(moment, Event::RegistrationsListed(all));
        }
    }

    /// Whoever leads next rebuilds the ledger from what is stored.
    fn lead(&mut self) {
        if self.leader.is_some() || self.now < self.leader_back_at {
            return;
        }
        if self.now < self.store_away_until {
            return;
        }
        self.token += 1;
        self.waiting_appends.clear();
        let jobs: Vec<Arc<Submission>> =
            self.stored_jobs.iter().map(|job| self.submissions[job].clone()).collect();
        let mut ledger: Ledger = self.snapshot.clone().restore(jobs.iter().cloned());
        let mut next = self.snapshot.through + 1;
        for (number, records) in &self.appends {
            if *number > self.snapshot.through {
                records.iter().for_each(|record| ledger.apply(record));
                next = number + 1;
            }
        }
        let limits = Limits { append_interval: Duration::from_millis(10), ..Limits::default() };
        let moment = self.moment();
        let mut leader = Scheduler::recover(
            limits,
            moment,
            ledger,
            next,
            self.config.clone(),
            self.registrations(),
        );
        for job in self.cancelled.keys() {
            leader.handle(moment, Event::Cancelled(job.clone()));
        }
        self.leader = Some(leader);
        self.leads_since = self.now;
    }

    fn store(&mut self) {
        if self.now < self.store_away_until {
            return;
        }
        for (token, append, records, forget) in std::mem::take(&mut self.waiting_appends) {
            if token != self.token || self.leader.is_none() {
                continue;
            }
            self.appends.insert(append, records);
            for job in forget {
                self.stored_jobs.remove(&job);
            }
            let moment = self.moment();
            let leader = self.leader.as_mut().unwrap();
            leader.handle(moment, Event::Appended { append });
        }
    }

    fn decide(&mut self) {
        let moment = self.moment();
        let token = self.token;
        let Some(leader) = &mut self.leader else { return };
        let effects = leader.settle(moment);
        for job in self.submissions.keys() {
            use borageswitch_scheduler::reducer::view::JobStatus;
            let outcome = match leader.status(&queue().name, job) {
                Some(JobStatus::Ended(outcome)) => Some(outcome),
                Some(JobStatus::GivenUp(_)) => Some(Outcome::Failed),
                _ => None,
            };
            if let Some(outcome) = outcome {
                self.shown.entry(job.clone()).or_insert(outcome);
                self.shown_at.entry(job.clone()).or_insert(self.now);
            }
        }
        for effect in effects {
            match effect {
                Effect::Append { append, records, forget } => {
                    self.waiting_appends.push((token, append, records, forget));
                }
                Effect::Start(..) | Effect::Stop(..) | Effect::Poll(..) => self.send(token, effect),
                Effect::ListHosts => {
                    let event = Event::HostsListed(self.list_hosts());
                    self.due.push((self.now + 10, Due::Event { token, event }));
                }
                Effect::OrderHost(host, order) => self.order_host(token, &host, &order),
                Effect::ReportWave { .. } | Effect::Count(_) => {}
                Effect::StoreSnapshot { snapshot, remove } => {
                    self.snapshot = *snapshot;
                    self.appends.retain(|number, _| !remove.contains(number));
                }
                Effect::StepDown => self.broken.push("stepped down without a rival".to_owned()),
                Effect::Log(line) => {
                    if std::env::var_os("BORAGESWITCH_LOG").is_some() {
                        println!("{} {} {} {}", self.now, line.kind, line.subject, line.detail);
                    }
                }
                other => panic!("unexpected effect {other:?}"),
            }
        }
    }
}
