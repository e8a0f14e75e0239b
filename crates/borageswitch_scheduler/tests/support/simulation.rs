//! A simulation that carries out effects with delays and faults, and checks invariants.
//!
//! - [`orders`]: delivery of orders to executors and of their responses.
//! - [`hosts`]: hosts that crash, lose capacity, are removed and are maintained.
//! - [`late_lists`]: lists of hosts that are slow, old or incomplete.
//! - [`poison_tasks`]: tasks that crash the executors that run them.
//! - [`incidents`]: faults in a row, as an outage of the store with lost responses after it.
//! - [`site_faults`]: losses of power, and outages of the store with their consequences.
//! - [`store`]: what is stored, and what the next leader would know.
//! - [`processor`]: the time that calls and events take the leader.
//! - [`checks`]: the invariants.
//! - [`attempts`]: the failed runs behind jobs that are shown as failed.

mod attempts;
mod checks;
mod hosts;
mod incidents;
mod late_lists;
mod orders;
pub mod poison_tasks;
pub mod processor;
mod site_faults;
pub mod store;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use borageswitch_scheduler::{
    config::{Caller, Config, Pool, Queue},
    effect::Effect,
    event::{Event, Now},
    executor::Registration,
    incarnation,
    job::{JobSpec, Schedule, Size, Step, Submission},
    ledger::record::{Outcome, StoredAppend},
    reducer::{Limits, Scheduler},
    task::TaskKey,
};
use borageswitch_types::{
    Time,
    names::{CallerName, DataCentreName, ExecutorName, HostName, JobName, PoolName},
    time::UnixMillis,
};
use fastrand::Rng;

use super::{
    executor::SimExecutor,
    fixtures::{config, cores, queue},
};
use hosts::Hosts;
use incidents::Incidents;
use poison_tasks::PoisonTasks;
use processor::{Processor, Work};
use store::{Store, TermEnd};

/// One step of the simulation, in milliseconds.
const STEP: u64 = 5;
/// The wall clock at the start of the simulation.
const WALL_CLOCK_START: u64 = 1_700_000_000_000;
/// How long a call takes to time out.
const CALL_TIMEOUT: u64 = 450;
/// How long a call takes to fail if the connection is reset.
const RESET_TIME: u64 = 5;
/// The longest delay of an order.
const LONGEST_DELAY: u64 = 12_000;

/// The probability of each fault, per thousand calls or steps.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub lost_response: u32,
    pub lost_order: u32,
    pub delayed_order: u32,
    pub leader_crash: u32,
    pub executor_crash: u32,
    pub executor_partition: u32,
    pub store_outage: u32,
    pub cancel: u32,
    /// All hosts of one rack crash at once. This and the following faults need hosts.
    pub rack_failure: u32,
    /// A host loses capacity, sometimes all of it, and regains it later.
    pub capacity_drop: u32,
    /// A host is removed permanently after a notice, and replaced by another one.
    pub host_removal: u32,
    /// The store refuses to remove keys with an append.
    pub refused_removal: u32,
    /// A maintenance wave over half of the hosts is requested.
    pub wave: u32,
    /// The platform's list of hosts is unavailable for some seconds.
    pub host_list_outage: u32,
    /// Executors restart under the names that they had. This is a switch, not a probability.
    pub reuse_names: bool,
    /// Executors list two ended runs at a time. This is a switch, not a probability.
    pub truncated_reports: bool,
    /// Lists of hosts take seconds, are seconds old, and name new hosts seconds late. This is a
    /// switch, not a probability.
    pub late_lists: bool,
    /// Runs of lasting tasks end by themselves. This is a switch, not a probability.
    pub lasting_ends: bool,
    /// All hosts of a data centre, or of the site, lose power at once. This and the following three
    /// faults are rare: their probability is per hundred thousand steps.
    pub power_loss: u32,
    /// The store is away for seconds, the leader ends meanwhile, and the next one takes over when
    /// the store is back.
    pub outage_with_takeover: u32,
    /// An executor is cut off until its lease expires, and comes back soon after.
    pub lease_lapse: u32,
    /// The store is away, registrations expire meanwhile, and executors register again within two
    /// seconds.
    pub registration_gap: u32,
    /// The leader ends right after it has ordered a host to move or to be maintained, per thousand
    /// orders.
    pub end_after_host_order: u32,
    /// The leader learns of no registration while the store is away. This is a switch, not a
    /// probability.
    pub silent_watch: bool,
    /// The store is away, a new leader begins when it is back, responses are lost for seconds, and
    /// later the store is away again. Registrations expire, lists of hosts are older than the end of
    /// the outage, and the last appends may be stored without an answer. This and the following
    /// five faults are rare: their probability is per hundred thousand steps.
    pub incident: u32,
    /// The store and all leaders lose power for two to three seconds; executors go on.
    pub leaders_lose_power: u32,
    /// A removal is announced and may be over while the watch of the registrations has a gap.
    pub announcement_gap: u32,
    /// The executors that run one lasting job crash one after the other.
    pub crashes_in_turn: u32,
    /// Some executors fail all that they start for seconds, but no task that does not last so often
    /// that it uses up its attempts: all jobs stay sound.
    pub failing_executors: u32,
    /// The leader's calls and events take time for seconds, so that it runs behind.
    pub leader_behind: u32,
    /// The wall clock of each leader differs from the true time by up to some seconds. This is a
    /// switch, not a probability.
    pub leader_clocks: bool,
}

enum Due {
    Order { token: u64, effect: Effect, answered: bool, held_by: Option<ExecutorName> },
    Event { token: u64, event: Event },
    HostRemoval { host: HostName, executor: Option<ExecutorName>, enforces_capacity: bool },
}

/// A simulated site: executors, a store and the current leader.
pub struct Simulation {
    pub rng: Rng,
    pub now: u64,
    pub faults: Faults,
    pub executors: BTreeMap<ExecutorName, SimExecutor>,
    partitioned_until: BTreeMap<ExecutorName, u64>,
    dead: BTreeSet<ExecutorName>,
    submissions: BTreeMap<JobName, Arc<Submission>>,
    pub store: Store,
    cancelled: BTreeMap<JobName, u64>,
    store_outage_until: u64,
    pending_appends: Vec<(u64, u64, StoredAppend, Vec<JobName>)>,
    leader: Option<Scheduler>,
    token: u64,
    leader_back_at: u64,
    leader_since: u64,
    due: Vec<(u64, Due)>,
    next_executor: u32,
    config: Arc<Config>,
    pub limits: Limits,
    /// Ends terms at certain appends.
    pub term_end: Option<TermEnd>,
    /// Quotas of earlier configurations, each with the time until which starts may rely on it.
    earlier_quotas: Vec<(u64, CallerName, Size)>,
    pub reported: BTreeMap<JobName, Outcome>,
    /// When each outcome was first reported.
    pub reported_at: BTreeMap<JobName, u64>,
    pub violations: Vec<String>,
    /// The number of log lines of each kind.
    pub log_counts: BTreeMap<&'static str, usize>,
    hosts: Option<Hosts>,
    pub poison_tasks: PoisonTasks,
    /// The actual run times of the tasks of some jobs, in percent of the declared ones.
    pub run_time_percent: BTreeMap<JobName, u64>,
    /// Takes time for the leader's calls and events; without it they take none.
    pub processor: Option<Processor>,
    reuse_names: bool,
    ended_per_report: usize,
    /// Hosts belong to two data centres instead of one.
    has_data_centres: bool,
    /// Executors that are not registered until a time although they run.
    unregistered_until: BTreeMap<ExecutorName, u64>,
    /// The leader has not learned of all registrations.
    registrations_due: bool,
    incidents: Incidents,
    /// Why each job that is shown as failed has failed.
    pub failure_causes: BTreeMap<JobName, &'static str>,
}

impl Simulation {
    pub fn new(seed: u64, hosts: usize, enforces_capacity: bool, faults: Faults) -> Self {
        let mut simulation = Self {
            rng: Rng::with_seed(seed),
            now: 1_000,
            faults,
            executors: BTreeMap::new(),
            partitioned_until: BTreeMap::new(),
            dead: BTreeSet::new(),
            submissions: BTreeMap::new(),
            store: Store::default(),
            cancelled: BTreeMap::new(),
            store_outage_until: 0,
            pending_appends: Vec::new(),
            leader: None,
            token: 0,
            leader_back_at: 0,
            leader_since: 0,
            due: Vec::new(),
            next_executor: 0,
            config: config(enforces_capacity),
            limits: Limits { append_interval: Duration::from_millis(10), ..Limits::default() },
            term_end: None,
            earlier_quotas: Vec::new(),
            reported: BTreeMap::new(),
            reported_at: BTreeMap::new(),
            violations: Vec::new(),
            log_counts: BTreeMap::new(),
            hosts: None,
            poison_tasks: PoisonTasks::default(),
            run_time_percent: BTreeMap::new(),
            processor: None,
            reuse_names: faults.reuse_names,
            ended_per_report: if faults.truncated_reports { 2 } else { usize::MAX },
            has_data_centres: faults.power_loss > 0,
            unregistered_until: BTreeMap::new(),
            registrations_due: false,
            incidents: Incidents::default(),
            failure_causes: BTreeMap::new(),
        };
        for _ in 0..hosts {
            simulation.add_executor(enforces_capacity);
        }
        simulation
    }

    /// Creates a simulation whose executors run on hosts that the platform lists.
    pub fn with_hosts(seed: u64, hosts: usize, enforces_capacity: bool, faults: Faults) -> Self {
        let mut simulation = Self::new(seed, 0, enforces_capacity, faults);
        simulation.hosts = Some(Hosts::default());
        for _ in 0..hosts {
            simulation.add_host(enforces_capacity);
        }
        simulation
    }

    /// Creates a simulation with a pool and its number of hosts for each queue.
    pub fn with_queues(seed: u64, queues: &[(Queue, usize)], faults: Faults) -> Self {
        let mut simulation = Self::with_hosts(seed, 0, true, faults);
        let pools = queues.iter().map(|(queue, _)| Pool {
            name: queue.pool.clone(),
            enforces_capacity: true,
            standby: false,
        });
        let names = queues.iter().map(|(queue, _)| queue.clone());
        simulation.config = Arc::new(Config::new(1, names, pools));
        for (queue, hosts) in queues {
            (0..*hosts).for_each(|_| simulation.add_host_to(queue.pool.clone(), true));
        }
        simulation
    }

    /// Adds a pool of hosts that are off until they move to another pool.
    pub fn add_standby_pool(&mut self, name: &str, hosts: usize) {
        let pool = Pool { name: name.into(), enforces_capacity: true, standby: true };
        let mut config = Config::clone(&self.config);
        config.pools.insert(pool.name.clone(), pool.clone());
        self.config = Arc::new(config);
        (0..hosts).for_each(|_| self.add_standby_host(&pool.name));
    }

    /// Whether the hosts of a pool are off.
    fn is_standby(&self, pool: &PoolName) -> bool {
        self.config.pools.get(pool).is_some_and(|pool| pool.standby)
    }

    /// Ends the leader; another one takes over after a number of milliseconds.
    pub fn crash_leader(&mut self, pause: u64) {
        self.leader = None;
        self.leader_back_at = self.now + pause;
        if let Some(processor) = &mut self.processor {
            processor.clear();
        }
    }

    fn add_executor(&mut self, enforces_capacity: bool) -> ExecutorName {
        self.next_executor += 1;
        let name = ExecutorName::from(format!("e{}", self.next_executor));
        if self.reuse_names {
            return self.start_incarnation(&name, enforces_capacity);
        }
        let clock_offset = self.rng.u64(..1_000_000);
        let slow_clock = self.rng.bool();
        let executor = self.new_executor(enforces_capacity, clock_offset, slow_clock);
        self.executors.insert(name.clone(), executor);
        name
    }

    /// Starts a new incarnation of an executor under its registered name; its clock starts at 0.
    fn start_incarnation(
        &mut self,
        registered: &ExecutorName,
        enforces_capacity: bool,
    ) -> ExecutorName {
        let id =
            incarnation::name(incarnation::registered_name(registered), Some(self.true_time()));
        let slow_clock = self.rng.bool();
        let mut executor = self.new_executor(enforces_capacity, 0, slow_clock);
        executor.started_at = self.now;
        self.executors.insert(id.clone(), executor);
        id
    }

    fn new_executor(
        &self,
        enforces_capacity: bool,
        clock_offset: u64,
        slow_clock: bool,
    ) -> SimExecutor {
        let mut executor = SimExecutor::new(cores(16), enforces_capacity, clock_offset, slow_clock);
        executor.ended_per_report = self.ended_per_report;
        executor.ends_lasting = self.faults.lasting_ends;
        executor
    }

    /// The incarnation that receives orders for an executor.
    fn current_incarnation(&self, executor: &ExecutorName) -> ExecutorName {
        let same = |id: &&ExecutorName| {
            incarnation::registered_name(id) == incarnation::registered_name(executor)
        };
        let incarnations = self.executors.keys().filter(same);
        incarnations.filter(|id| !self.dead.contains(*id)).max().unwrap_or(executor).clone()
    }

    /// The leader, with its fencing token.
    pub fn leader(&mut self) -> Option<(Now, u64, &mut Scheduler)> {
        let (moment, token) = (self.moment(), self.token);
        self.leader.as_mut().map(|leader| (moment, token, leader))
    }

    /// How long a task runs, in milliseconds.
    fn run_time_of(&self, task: &TaskKey, declared: Duration) -> u64 {
        let percent = self.run_time_percent.get(&task.job).copied().unwrap_or(100);
        declared.as_millis() as u64 * percent / 100
    }

    fn true_time(&self) -> UnixMillis {
        UnixMillis(WALL_CLOCK_START + self.now)
    }

    /// The time by the leader's clocks.
    fn moment(&self) -> Now {
        let wall = self.true_time().0.saturating_add_signed(self.incidents.clock_ahead);
        Now { time: Time::from_millis(self.now), wall: UnixMillis(wall) }
    }

    fn registrations(&self) -> Vec<Registration> {
        if let Some(hosts) = &self.hosts {
            let mut registrations = hosts.registrations(self.now);
            registrations.retain(|r| !self.unregistered_until.contains_key(&r.executor));
            return registrations;
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

    /// Changes the quota of a caller.
    pub fn set_quota(&mut self, caller: &str, quota: Size) {
        let name = CallerName::from(caller);
        if let Some(before) = self.config.callers.get(&name) {
            // An order that was sent under the old quota may arrive this much later.
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

    /// All submitted jobs.
    pub fn submissions(&self) -> impl Iterator<Item = (&JobName, &Arc<Submission>)> {
        self.submissions.iter()
    }

    pub fn has_callers(&self) -> bool {
        !self.config.callers.is_empty()
    }

    /// A random caller with a quota, if there is one.
    fn random_caller(&mut self) -> Option<CallerName> {
        let callers: Vec<&CallerName> = self.config.callers.keys().collect();
        if callers.is_empty() {
            return None;
        }
        let chosen = self.rng.usize(..callers.len());
        Some(callers[chosen].clone())
    }

    /// Submits a job.
    pub fn submit(&mut self, steps: Vec<Step>) -> JobName {
        self.submit_at(queue(), steps, None)
    }

    /// Submits a job to a queue.
    pub fn submit_to(&mut self, queue: Queue, steps: Vec<Step>) -> JobName {
        self.submit_at(queue, steps, None)
    }

    /// Submits a job with a schedule.
    pub fn submit_timed(&mut self, steps: Vec<Step>, times: u32) -> JobName {
        let first = UnixMillis(WALL_CLOCK_START + self.now + self.rng.u64(500..3_000));
        let interval = Duration::from_millis(self.rng.u64(1_000..4_000));
        self.submit_at(queue(), steps, Some(Schedule { first, interval, times }))
    }

    fn submit_at(&mut self, queue: Queue, steps: Vec<Step>, schedule: Option<Schedule>) -> JobName {
        let name = JobName::from(format!("{:016x}", self.rng.u64(..)));
        let caller = self.random_caller();
        self.store(queue, &name, caller, steps, schedule);
        name
    }

    /// Submits a job of the given name and caller.
    pub fn submit_as(
        &mut self,
        name: &JobName,
        caller: Option<CallerName>,
        steps: Vec<Step>,
        schedule: Option<Schedule>,
    ) {
        self.store(queue(), name, caller, steps, schedule);
    }

    fn store(
        &mut self,
        queue: Queue,
        name: &JobName,
        caller: Option<CallerName>,
        steps: Vec<Step>,
        schedule: Option<Schedule>,
    ) {
        let submission = Arc::new(Submission {
            job: name.clone(),
            queue,
            accepted: UnixMillis(WALL_CLOCK_START + self.now),
            spec: JobSpec { payload: "text".into(), steps, schedule },
            caller,
        });
        self.submissions.insert(name.clone(), submission.clone());
        self.store_submission(submission);
    }

    /// Stores a submission, or stores it again: its caller's request may arrive twice.
    fn store_submission(&mut self, submission: Arc<Submission>) {
        self.store.submit(&submission);
        let moment = self.moment();
        if let Some(leader) = &mut self.leader {
            leader.handle(moment, Event::Submitted(submission));
        }
    }

    /// The request of a random job arrives once more.
    pub fn resubmit_one(&mut self) {
        let jobs: Vec<&Arc<Submission>> = self.submissions.values().collect();
        let again = jobs[self.rng.usize(..jobs.len())].clone();
        self.store_submission(again);
    }

    fn cancel_one(&mut self) {
        let open: Vec<JobName> = self
            .submissions
            .keys()
            .filter(|job| !self.cancelled.contains_key(*job) && !self.reported.contains_key(*job))
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

    /// Runs the simulation for a number of milliseconds.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += STEP;
            self.step();
        }
    }

    fn step(&mut self) {
        self.inject_faults();
        self.elect_leader();
        self.deliver();
        self.crash_poisoned_executors();
        self.advance_hosts();
        self.advance_registrations();
        self.record_hosts();
        self.stall_incomplete_gangs();
        for (name, executor) in &mut self.executors {
            if !self.dead.contains(name) {
                executor.advance(self.now);
            }
        }
        self.commit_appends();
        self.run_processor(STEP as i64 * 1_000);
        self.run_leader();
        self.end_term_after_effects();
        self.check();
    }

    /// Prints what really happens, beside the leader's log lines.
    fn trace<F>(&self, line: F)
    where
        F: FnOnce() -> String,
    {
        if std::env::var_os("BORAGESWITCH_LOG").is_some() {
            println!("{} sim {}", self.now, line());
        }
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        per_mille > 0 && self.rng.u32(..1_000) < per_mille
    }

    fn rare_chance(&mut self, per_100_000: u32) -> bool {
        per_100_000 > 0 && self.rng.u32(..100_000) < per_100_000
    }

    fn inject_faults(&mut self) {
        if self.chance(self.faults.leader_crash) && self.leader.is_some() {
            self.leader = None;
            self.leader_back_at = self.now + self.rng.u64(50..3_000);
            self.trace(|| format!("leader ends, the next one at {}", self.leader_back_at));
        }
        if self.chance(self.faults.executor_crash) {
            self.crash_random_executor();
        }
        if self.chance(self.faults.executor_partition) {
            let alive: Vec<_> = self.executors.keys().cloned().collect();
            let victim = alive[self.rng.usize(..alive.len())].clone();
            let until = self.now + self.rng.u64(500..9_000);
            self.trace(|| format!("{victim} is cut off until {until}"));
            self.partitioned_until.insert(victim, until);
        }
        if self.chance(self.faults.store_outage) {
            let until = self.now + self.rng.u64(200..6_000);
            self.store_outage_until = until.max(self.incidents.store_back_at);
            self.trace(|| format!("the store is away until {}", self.store_outage_until));
        }
        if self.chance(self.faults.cancel) {
            self.cancel_one();
        }
        self.inject_host_faults();
        self.inject_site_faults();
        self.inject_incidents();
    }

    fn crash_random_executor(&mut self) {
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
        let enforces_capacity = self.executors[&victim].enforces_capacity;
        self.executors.get_mut(&victim).unwrap().active.clear();
        self.dead.insert(victim);
        self.add_executor(enforces_capacity);
        self.send_registrations();
    }

    fn send_registrations(&mut self) {
        let is_silent = self.faults.silent_watch && self.now < self.store_outage_until;
        if is_silent || self.is_in_watch_gap() {
            self.registrations_due = true;
            return;
        }
        let all = self.registrations();
        let moment = self.moment();
        if let Some(leader) = &mut self.leader {
            leader.handle(moment, Event::RegistrationsListed(all));
        }
    }

    /// Starts a new leader, which rebuilds the ledger from the store.
    fn elect_leader(&mut self) {
        if self.leader.is_some() || self.now < self.leader_back_at {
            return;
        }
        if self.now < self.store_outage_until {
            return;
        }
        self.token += 1;
        self.pending_appends.clear();
        self.draw_leader_clock();
        let (ledger, next) = self.store.restore();
        let stale = self.store.stale_submissions(&ledger);
        let moment = self.moment();
        let mut leader = Scheduler::recover(
            self.limits.clone(),
            moment,
            ledger,
            next,
            self.config.clone(),
            self.registrations(),
        );
        for submission in stale {
            leader.handle(moment, Event::Submitted(submission));
        }
        for job in self.cancelled.keys() {
            leader.handle(moment, Event::Cancelled(job.clone()));
        }
        self.leader = Some(leader);
        self.leader_since = self.now;
        self.trace(|| format!("leader {} takes over", self.token));
    }

    fn commit_appends(&mut self) {
        if self.now < self.store_outage_until {
            return;
        }
        for (token, append, content, forget) in std::mem::take(&mut self.pending_appends) {
            if token != self.token || self.leader.is_none() {
                continue;
            }
            let refused = !forget.is_empty() && self.chance(self.faults.refused_removal);
            let removed = if refused { Vec::new() } else { forget };
            self.store.append(append, content, &removed);
            self.violations.extend(self.store.check());
            if self.ends_term_before_confirmation(append) {
                continue;
            }
            let moment = self.moment();
            let leader = self.leader.as_mut().unwrap();
            let event = match refused {
                true => Event::AppendedWithoutRemovals { append },
                false => Event::Appended { append },
            };
            leader.handle(moment, event);
        }
    }

    fn run_leader(&mut self) {
        let moment = self.moment();
        let token = self.token;
        let Some(leader) = &mut self.leader else { return };
        let effects = leader.settle(moment);
        for (job, submission) in &self.submissions {
            use borageswitch_scheduler::reducer::view::JobStatus;
            let status = leader.status(&submission.queue.name, job);
            let outcome = match status {
                Some(JobStatus::Ended(outcome)) => Some(outcome),
                Some(JobStatus::GivenUp(_)) => Some(Outcome::Failed),
                _ => None,
            };
            if outcome == Some(Outcome::Failed) {
                let is_given_up = matches!(status, Some(JobStatus::GivenUp(_)));
                let cause = if is_given_up { "crashes" } else { "attempts" };
                self.failure_causes.entry(job.clone()).or_insert(cause);
            }
            if let Some(outcome) = outcome {
                self.violations.extend(self.store.check_reported(job, outcome));
                self.reported.entry(job.clone()).or_insert(outcome);
                self.reported_at.entry(job.clone()).or_insert(self.now);
            }
        }
        for effect in effects {
            self.violations.extend(self.store.check_effect(&effect));
            match effect {
                Effect::Append { append, at, term, records, forget } => {
                    let content = StoredAppend { records, at, term };
                    self.pending_appends.push((token, append, content, forget));
                }
                Effect::Start(..) | Effect::Stop(..) | Effect::Poll(..) => {
                    match &mut self.processor {
                        Some(processor) => processor.enqueue(Work::Send { token, effect }),
                        None => self.send(token, effect),
                    }
                }
                Effect::ListHosts { requested } => {
                    let hosts = self.list_hosts();
                    let at = self.now + self.list_delay();
                    let event = Event::HostsListed { requested, hosts };
                    self.due.push((at, Due::Event { token, event }));
                }
                Effect::OrderHost(host, order) => {
                    self.order_host(token, &host, &order);
                    self.end_after_host_order(&host);
                }
                Effect::ReportWave { wave, completed } => self.check_wave_report(wave, completed),
                Effect::Count(_) => {}
                Effect::StoreSnapshot { snapshot, remove } => {
                    self.store.replace_snapshot(*snapshot, &remove);
                    self.violations.extend(self.store.check());
                }
                Effect::StepDown => {
                    self.violations.push("stepped down without another leader".to_owned());
                }
                Effect::Log(line) => {
                    *self.log_counts.entry(line.kind).or_default() += 1;
                    if std::env::var_os("BORAGESWITCH_LOG").is_some() {
                        println!("{} {} {} {}", self.now, line.kind, line.subject, line.detail);
                    }
                }
                other => panic!("unexpected effect {other:?}"),
            }
        }
    }
}
