//! Processor time of the scheduler during load peaks, by the number of hosts and callers.
//!
//! Each queue has one load peak while the others are idle. Tasks take one second, and hosts move to
//! the pool with the load. Executors and the store respond in virtual time; only the time that the
//! scheduler takes on this machine is measured.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use borageswitch_scheduler::{
    config::{Caller, Config, Pool, Queue},
    effect::{Effect, HostOrder, PollOrder, Recipient},
    event::{
        Event, HostOrderResponse, Now, OrderResponse, PollResponse, RegistrationChange,
        StartResponse,
    },
    executor::{ActiveRun, EndKind, EndedRun, Registration, Report},
    fleet::{HostEntry, HostState},
    job::{JobSpec, Size, Step, Submission},
    ledger::Ledger,
    reducer::{Limits, Scheduler},
    task::TaskKey,
};
use borageswitch_types::{
    Time,
    names::{CallerName, DataCentreName, ExecutorName, HostName, JobName, PoolName, QueueName},
    time::UnixMillis,
};
use fastrand::Rng;
use serde_json::{Value, json};

/// The numbers of hosts that are measured; the second is that of the larger current site.
const SIZES: [u64; 3] = [49, 349, 698];
/// The numbers of callers that are measured, at the size of the larger current site. Their quotas
/// are never reached.
const CALLERS: [u64; 2] = [20, 5_000];
const HOSTS_WITH_CALLERS: u64 = 349;
const POOLS: u64 = 4;
/// The duration of the load peak of one queue. The whole simulation has one for each queue.
const PEAK_MS: u64 = 8_000;
const TOTAL_MS: u64 = PEAK_MS * POOLS;
/// The duration of one step of the simulation.
const STEP_MS: u64 = 5;
/// The durations of an append, of a call to an executor or the platform, and of a move of a host.
const APPEND_MS: u64 = 10;
const CALL_MS: u64 = 5;
const HOST_MOVE_MS: u64 = 1_500;
/// The number of tasks per job, and the duration of each.
const TASKS_PER_JOB: u32 = 10;
const TASK_MS: u64 = 1_000;
/// The load of a queue at its peak, as a fraction of the capacity of all hosts.
const PEAK_LOAD: f64 = 0.4;
const HOST_CORES: u64 = 32;
const TASK_CORES: u64 = 2;

/// Runs all measurements and returns their results.
pub(crate) fn run() -> Value {
    let sizes = SIZES.map(|hosts| measure(hosts, 0));
    let callers = CALLERS.map(|callers| measure(HOSTS_WITH_CALLERS, callers));
    json!({ "sizes": sizes, "callers": callers })
}

fn measure(hosts: u64, callers: u64) -> Value {
    let site = simulate(hosts, callers);
    let rounded = |figure: f64| (figure * 100.0).round() / 100.0;
    json!({
        "hosts": hosts,
        "callers": callers,
        "jobs": site.submitted,
        "jobs_ended": site.ended,
        "decisions": site.decisions,
        "core_percent": rounded(site.core_percent()),
        "longest_decision_ms": rounded(site.longest_decision.as_secs_f64() * 1_000.0),
    })
}

fn simulate(hosts: u64, callers: u64) -> Site {
    let mut site = Site::new(hosts, callers);
    while site.now < TOTAL_MS {
        site.step();
    }
    site
}

/// A simulated executor.
struct SimExecutor {
    active: BTreeMap<TaskKey, (u32, u64)>,
    ended: VecDeque<EndedRun>,
    last_end_number: u64,
    /// A poll that waits for a run to end, and when its wait is over.
    waiting_poll: Option<(PollOrder, u64)>,
}

struct Site {
    callers: u64,
    rng: Rng,
    now: u64,
    scheduler: Scheduler,
    executors: BTreeMap<ExecutorName, SimExecutor>,
    hosts: BTreeMap<HostName, HostEntry>,
    moving: Vec<(u64, HostName)>,
    due: VecDeque<(u64, Event)>,
    executors_started: u64,
    due_jobs: f64,
    submitted: u64,
    ended: usize,
    decisions: u64,
    scheduler_time: Duration,
    longest_decision: Duration,
}

impl Site {
    fn new(hosts: u64, callers: u64) -> Self {
        let now = Now { time: Time::from_millis(1), wall: UnixMillis(1) };
        let config = config(callers);
        let scheduler =
            Scheduler::recover(Limits::default(), now, Ledger::default(), 1, config, Vec::new());
        let mut site = Self {
            callers,
            rng: Rng::with_seed(1),
            now: 1,
            scheduler,
            executors: BTreeMap::new(),
            hosts: BTreeMap::new(),
            moving: Vec::new(),
            due: VecDeque::new(),
            executors_started: 0,
            due_jobs: 0.0,
            submitted: 0,
            ended: 0,
            decisions: 0,
            scheduler_time: Duration::ZERO,
            longest_decision: Duration::ZERO,
        };
        for number in 0..hosts {
            let host = HostName::from(format!("h{number:05}"));
            let pool = pool(number % POOLS);
            let entry = HostEntry {
                host: host.clone(),
                pool,
                state: HostState::Up,
                labels: labels(number),
                capacity: cores(HOST_CORES),
                executor: None,
            };
            site.hosts.insert(host.clone(), entry);
            site.start_executor(&host);
        }
        site
    }

    /// The load that the scheduler causes, in percent of a core.
    fn core_percent(&self) -> f64 {
        self.scheduler_time.as_secs_f64() * 100.0 / (TOTAL_MS as f64 / 1_000.0)
    }

    fn moment(&self) -> Now {
        Now { time: Time::from_millis(self.now), wall: UnixMillis(self.now) }
    }

    fn start_executor(&mut self, host: &HostName) {
        self.executors_started += 1;
        let executor = ExecutorName::from(format!("i{:07}", self.executors_started));
        let entry = self.hosts.get_mut(host).expect("the host is listed");
        entry.executor = Some(executor.clone());
        entry.state = HostState::Up;
        let registration = Registration {
            executor: executor.clone(),
            pool: entry.pool.clone(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            data_centre: DataCentreName::from("dc"),
            draining: false,
            remaining: None,
            capacity: entry.capacity,
            labels: entry.labels.clone(),
        };
        let sim = SimExecutor {
            active: BTreeMap::new(),
            ended: VecDeque::new(),
            last_end_number: 0,
            waiting_poll: None,
        };
        self.executors.insert(executor, sim);
        self.due.push_back((
            self.now,
            Event::RegistrationChanged(RegistrationChange::Present(registration)),
        ));
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        self.restart_moved_hosts();
        self.submit_jobs();
        self.run_tasks();
        let mut events = vec![Event::Tick];
        let due = std::mem::take(&mut self.due);
        for (at, event) in due {
            match at <= self.now {
                true => events.push(event),
                false => self.due.push_back((at, event)),
            }
        }
        let moment = self.moment();
        let began = Instant::now();
        for event in events {
            self.scheduler.handle(moment, event);
        }
        let effects = self.scheduler.settle(moment);
        let took = began.elapsed();
        self.scheduler_time += took;
        self.longest_decision = self.longest_decision.max(took);
        self.decisions += 1;
        for effect in effects {
            self.carry_out(effect);
        }
    }

    fn submit_jobs(&mut self) {
        let active_queue = (self.now / PEAK_MS) % POOLS;
        let cores = self.hosts.len() as f64 * HOST_CORES as f64 * PEAK_LOAD;
        let job = f64::from(TASKS_PER_JOB) * TASK_CORES as f64 * TASK_MS as f64 / 1_000.0;
        self.due_jobs += cores / job * STEP_MS as f64 / 1_000.0;
        while self.due_jobs >= 1.0 {
            self.due_jobs -= 1.0;
            self.submitted += 1;
            let step = Step {
                count: TASKS_PER_JOB,
                size: task_size(),
                estimate: Duration::from_millis(TASK_MS),
                ..Step::default()
            };
            let submission = Submission {
                job: JobName::from(format!("{:016x}", self.rng.u64(..))),
                queue: queue(active_queue),
                accepted: UnixMillis(self.now),
                spec: JobSpec { payload: "text".into(), steps: vec![step], schedule: None },
                caller: (self.callers > 0).then(|| caller(self.rng.u64(..self.callers)).name),
            };
            self.due.push_back((self.now, Event::Submitted(Arc::new(submission))));
        }
    }

    /// Ends tasks that are complete and responds to waiting polls.
    fn run_tasks(&mut self) {
        let now = self.now;
        let mut answers = Vec::new();
        for (name, sim) in &mut self.executors {
            let over: Vec<TaskKey> = sim
                .active
                .iter()
                .filter(|(_, (_, until))| *until <= now)
                .map(|(task, _)| task.clone())
                .collect();
            for task in over {
                let (run, _) = sim.active.remove(&task).expect("it was active");
                sim.last_end_number += 1;
                let number = sim.last_end_number;
                sim.ended.push_back(EndedRun {
                    number,
                    task,
                    run,
                    how: EndKind::Done,
                    checkpoint: None,
                });
            }
            let due = |(_, until): &(PollOrder, u64)| *until <= now || !sim.ended.is_empty();
            if let Some((order, _)) = sim.waiting_poll.filter(due) {
                sim.waiting_poll = None;
                answers.push((name.clone(), order));
            }
        }
        for (name, order) in answers {
            self.respond_to_poll(&name, order);
        }
    }

    fn respond_to_poll(&mut self, executor: &ExecutorName, order: PollOrder) {
        let response = match self.executors.get_mut(executor) {
            None => PollResponse::OtherIncarnation,
            Some(sim) => {
                sim.ended.retain(|ended| ended.number > order.acknowledged);
                let active = sim.active.iter().map(|(task, (run, until))| ActiveRun {
                    task: task.clone(),
                    run: *run,
                    checkpoint: None,
                    percent: (100 - until.saturating_sub(self.now) * 100 / TASK_MS.max(1)).min(99)
                        as u8,
                    recent: 0,
                });
                PollResponse::Report(Report {
                    clock_ms: self.now,
                    active: active.collect(),
                    ended: sim.ended.iter().cloned().collect(),
                    more_ended: false,
                })
            }
        };
        let sent = Time::from_millis(self.now);
        let event = Event::Polled { executor: executor.clone(), sent, order, response };
        self.due.push_back((self.now + CALL_MS, event));
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Append { append, .. } => {
                self.due.push_back((self.now + APPEND_MS, Event::Appended { append }));
            }
            Effect::Start(to, order) => {
                let until = self.now + CALL_MS + TASK_MS;
                let response = match self.executors.get_mut(&to.executor) {
                    Some(sim) => {
                        sim.active.insert(order.task.clone(), (order.run, until));
                        StartResponse::Started
                    }
                    None => StartResponse::OtherIncarnation,
                };
                let event = Event::StartAnswered {
                    executor: to.executor,
                    task: order.task,
                    run: order.run,
                    sent: Time::from_millis(self.now),
                    clock_ms: Some(self.now),
                    response,
                };
                self.due.push_back((self.now + CALL_MS, event));
            }
            Effect::Stop(to, task, run) => self.stop(to, task, run),
            Effect::Poll(to, order) if order.wait.is_zero() => {
                self.respond_to_poll(&to.executor, order);
            }
            Effect::Poll(to, order) => {
                let until = self.now + order.wait.as_millis() as u64;
                match self.executors.get_mut(&to.executor) {
                    Some(sim) => sim.waiting_poll = Some((order, until)),
                    None => self.respond_to_poll(&to.executor, order),
                }
            }
            Effect::ListHosts { requested } => {
                let hosts = self.hosts.values().cloned().collect();
                self.due.push_back((
                    self.now + CALL_MS,
                    Event::HostsListed { requested, hosts: Some(hosts) },
                ));
            }
            Effect::OrderHost(host, order) => self.order_host(host, order),
            Effect::Log(line) => self.ended += usize::from(line.kind == "job-ended"),
            Effect::Count(_) => {}
            Effect::StoreSnapshot { .. }
            | Effect::LimitSpeed(..)
            | Effect::RequestAdvice { .. }
            | Effect::ReportWave { .. }
            | Effect::StepDown => {}
        }
    }

    fn stop(&mut self, to: Recipient, task: TaskKey, run: u32) {
        if let Some(sim) = self.executors.get_mut(&to.executor)
            && sim.active.remove(&task).is_some()
        {
            sim.last_end_number += 1;
            let number = sim.last_end_number;
            let how = EndKind::Stopped;
            sim.ended.push_back(EndedRun {
                number,
                task: task.clone(),
                run,
                how,
                checkpoint: None,
            });
        }
        let response = OrderResponse::Done;
        let event = Event::StopAnswered { executor: to.executor, task, run, response };
        self.due.push_back((self.now + CALL_MS, event));
    }

    fn order_host(&mut self, host: HostName, order: HostOrder) {
        let entry = self.hosts.get_mut(&host).expect("only listed hosts are ordered");
        if let HostOrder::Move(pool) = order {
            entry.pool = pool;
        }
        entry.state = HostState::Moving;
        if let Some(executor) = entry.executor.take() {
            self.executors.remove(&executor);
            self.due.push_back((
                self.now + CALL_MS,
                Event::RegistrationChanged(RegistrationChange::Unregistered(executor)),
            ));
        }
        self.moving.push((self.now + HOST_MOVE_MS, host.clone()));
        let response = HostOrderResponse::Done;
        self.due.push_back((self.now + CALL_MS, Event::HostOrderAnswered { host, response }));
    }

    fn restart_moved_hosts(&mut self) {
        let now = self.now;
        let back: Vec<HostName> =
            self.moving.extract_if(.., |(at, _)| *at <= now).map(|(_, host)| host).collect();
        for host in back {
            match self.hosts[&host].pool.as_str() {
                "off" => self.hosts.get_mut(&host).expect("listed").state = HostState::Up,
                _ => self.start_executor(&host),
            }
        }
    }
}

fn cores(cores: u64) -> Size {
    Size { cpu_milli: cores * 1_000, memory_mb: cores * 2_000, accelerators: 0 }
}

fn task_size() -> Size {
    cores(TASK_CORES)
}

fn labels(number: u64) -> Vec<Arc<str>> {
    vec!["a".into(), format!("r{}", number / 4).into()]
}

fn pool(number: u64) -> PoolName {
    PoolName::from(format!("pool-{number}"))
}

fn queue(number: u64) -> Queue {
    Queue {
        name: QueueName::from(format!("queue-{number}")),
        authority: "site.example".into(),
        prefix: format!("/{number}/").into(),
        pool: pool(number),
        priority: 0,
        max_attempts: 3,
        stretch: 1.6,
        allowance: Duration::from_millis(600),
        timeout: Duration::from_secs(3),
        advisor: None,
    }
}

/// A caller whose quota and share are far above its load.
fn caller(number: u64) -> Caller {
    let name = CallerName::from(format!("caller-{number}"));
    Caller { name, weight: 1_000.0, quota: cores(1_000_000) }
}

fn config(callers: u64) -> Arc<Config> {
    let own = (0..POOLS).map(|number| Pool {
        name: pool(number),
        enforces_capacity: true,
        standby: false,
    });
    let off = Pool { name: PoolName::from("off"), enforces_capacity: true, standby: true };
    let mut config = Config::new(1, (0..POOLS).map(queue), own.chain([off]));
    config.callers = (0..callers).map(caller).map(|c| (c.name.clone(), c)).collect();
    Arc::new(config)
}
