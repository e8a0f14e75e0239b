//! What the leader of a site's jobs costs in a rush, by hosts.
//!
//! One queue after the other has its turn while the others rest, tasks last a second and hosts move
//! to where the work is. Executors and store answer in virtual time; what is timed on this machine
//! is the scheduler alone.

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

/// Hosts of the sites that are timed; the second is the larger of today's.
const SIZES: [u64; 3] = [49, 349, 698];
/// How many callers there are, with quotas that never bind, at the size of today's larger site.
const CALLERS: [u64; 2] = [20, 5_000];
const HOSTS_WITH_CALLERS: u64 = 349;
const POOLS: u64 = 4;
/// One turn of a queue, and the time that is simulated: each queue has one.
const TURN: u64 = 8_000;
const WHOLE: u64 = TURN * POOLS;
/// One step of the simulation, in milliseconds.
const STEP: u64 = 5;
/// How long an append, a call to an executor and a move of a host take.
const APPEND: u64 = 10;
const CALL: u64 = 5;
const MOVE: u64 = 1_500;
/// Tasks a job, and how long each takes.
const TASKS: u32 = 10;
const TASK: u64 = 1_000;
/// In its turn a queue asks for this part of all hosts, as its jobs come.
const PART_OF_HOSTS: f64 = 0.4;
const HOST_CORES: u64 = 32;
const TASK_CORES: u64 = 2;

/// Runs all of it and gives the figures.
pub(crate) fn run() -> Value {
    let sizes = SIZES.map(|hosts| figures(hosts, 0));
    let callers = CALLERS.map(|callers| figures(HOSTS_WITH_CALLERS, callers));
    json!({ "sizes": sizes, "callers": callers })
}

fn figures(hosts: u64, callers: u64) -> Value {
    let site = play(hosts, callers);
    let rounded = |figure: f64| (figure * 100.0).round() / 100.0;
    json!({
        "hosts": hosts,
        "callers": callers,
        "jobs": site.submitted,
        "jobs_ended": site.ended,
        "decisions": site.decisions,
        "core_percent": rounded(site.share()),
        "longest_decision_ms": rounded(site.longest.as_secs_f64() * 1_000.0),
    })
}

fn play(hosts: u64, callers: u64) -> Site {
    let mut site = Site::new(hosts, callers);
    while site.now < WHOLE {
        site.step();
    }
    site
}

/// An executor.
struct Sim {
    active: BTreeMap<TaskKey, (u32, u64)>,
    ended: VecDeque<EndedRun>,
    count: u64,
    /// A look that waits, and until when.
    look: Option<(PollOrder, u64)>,
}

struct Site {
    callers: u64,
    rng: Rng,
    now: u64,
    scheduler: Scheduler,
    executors: BTreeMap<ExecutorName, Sim>,
    hosts: BTreeMap<HostName, HostEntry>,
    returning: Vec<(u64, HostName)>,
    due: VecDeque<(u64, Event)>,
    lives: u64,
    owed: f64,
    submitted: u64,
    ended: usize,
    decisions: u64,
    spent: Duration,
    longest: Duration,
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
            returning: Vec::new(),
            due: VecDeque::new(),
            lives: 0,
            owed: 0.0,
            submitted: 0,
            ended: 0,
            decisions: 0,
            spent: Duration::ZERO,
            longest: Duration::ZERO,
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

    /// How much of a core the scheduler took, in percent.
    fn share(&self) -> f64 {
        self.spent.as_secs_f64() * 100.0 / (WHOLE as f64 / 1_000.0)
    }

    fn moment(&self) -> Now {
        Now { time: Time::from_millis(self.now), wall: UnixMillis(self.now) }
    }

    fn start_executor(&mut self, host: &HostName) {
        self.lives += 1;
        let executor = ExecutorName::from(format!("i{:07}", self.lives));
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
        let sim = Sim { active: BTreeMap::new(), ended: VecDeque::new(), count: 0, look: None };
        self.executors.insert(executor, sim);
        self.due.push_back((
            self.now,
            Event::RegistrationChanged(RegistrationChange::Present(registration)),
        ));
    }

    fn step(&mut self) {
        self.now += STEP;
        self.bring_hosts_back();
        self.hand_in();
        self.work();
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
        self.spent += took;
        self.longest = self.longest.max(took);
        self.decisions += 1;
        for effect in effects {
            self.carry_out(effect);
        }
    }

    fn hand_in(&mut self) {
        let turn = (self.now / TURN) % POOLS;
        let cores = self.hosts.len() as f64 * HOST_CORES as f64 * PART_OF_HOSTS;
        let job = f64::from(TASKS) * TASK_CORES as f64 * TASK as f64 / 1_000.0;
        self.owed += cores / job * STEP as f64 / 1_000.0;
        while self.owed >= 1.0 {
            self.owed -= 1.0;
            self.submitted += 1;
            let step = Step {
                count: TASKS,
                size: cores_of_task(),
                estimate: Duration::from_millis(TASK),
                ..Step::default()
            };
            let submission = Submission {
                job: JobName::from(format!("{:016x}", self.rng.u64(..))),
                queue: queue(turn),
                accepted: UnixMillis(self.now),
                spec: JobSpec { text: "text".into(), steps: vec![step], schedule: None },
                caller: (self.callers > 0).then(|| caller(self.rng.u64(..self.callers)).name),
            };
            self.due.push_back((self.now, Event::Submitted(Arc::new(submission))));
        }
    }

    /// Tasks end, and looks that wait are answered.
    fn work(&mut self) {
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
                sim.count += 1;
                let number = sim.count;
                sim.ended.push_back(EndedRun {
                    number,
                    task,
                    run,
                    how: EndKind::Done,
                    checkpoint: None,
                });
            }
            let due = |(_, until): &(PollOrder, u64)| *until <= now || !sim.ended.is_empty();
            if let Some((order, _)) = sim.look.filter(due) {
                sim.look = None;
                answers.push((name.clone(), order));
            }
        }
        for (name, order) in answers {
            self.answer_look(&name, order);
        }
    }

    fn answer_look(&mut self, executor: &ExecutorName, order: PollOrder) {
        let response = match self.executors.get_mut(executor) {
            None => PollResponse::OtherIncarnation,
            Some(sim) => {
                sim.ended.retain(|ended| ended.number > order.acknowledged);
                let active = sim.active.iter().map(|(task, (run, until))| ActiveRun {
                    task: task.clone(),
                    run: *run,
                    checkpoint: None,
                    percent: (100 - until.saturating_sub(self.now) * 100 / TASK.max(1)).min(99)
                        as u8,
                    recent: 0,
                });
                PollResponse::Report(Report {
                    clock_ms: self.now,
                    active: active.collect(),
                    ended: sim.ended.iter().cloned().collect(),
                })
            }
        };
        let sent = Time::from_millis(self.now);
        let event = Event::Polled { executor: executor.clone(), sent, order, response };
        self.due.push_back((self.now + CALL, event));
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Append { append, .. } => {
                self.due.push_back((self.now + APPEND, Event::Appended { append }));
            }
            Effect::Start(to, order) => {
                let until = self.now + CALL + TASK;
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
                self.due.push_back((self.now + CALL, event));
            }
            Effect::Stop(to, task, run) => self.stop(to, task, run),
            Effect::Poll(to, order) if order.wait.is_zero() => {
                self.answer_look(&to.executor, order);
            }
            Effect::Poll(to, order) => {
                let until = self.now + order.wait.as_millis() as u64;
                match self.executors.get_mut(&to.executor) {
                    Some(sim) => sim.look = Some((order, until)),
                    None => self.answer_look(&to.executor, order),
                }
            }
            Effect::ListHosts => {
                let hosts = self.hosts.values().cloned().collect();
                self.due.push_back((self.now + CALL, Event::HostsListed(Some(hosts))));
            }
            Effect::OrderHost(host, order) => self.order_host(host, order),
            Effect::Log(line) => self.ended += usize::from(line.kind == "job-ended"),
            Effect::Count(_) => {}
            Effect::StoreSnapshot { .. }
            | Effect::LimitSpeed(..)
            | Effect::RequestAdvice(..)
            | Effect::ReportWave { .. }
            | Effect::StepDown => {}
        }
    }

    fn stop(&mut self, to: Recipient, task: TaskKey, run: u32) {
        if let Some(sim) = self.executors.get_mut(&to.executor)
            && sim.active.remove(&task).is_some()
        {
            sim.count += 1;
            let number = sim.count;
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
        self.due.push_back((self.now + CALL, event));
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
                self.now + CALL,
                Event::RegistrationChanged(RegistrationChange::Unregistered(executor)),
            ));
        }
        self.returning.push((self.now + MOVE, host.clone()));
        let response = HostOrderResponse::Done;
        self.due.push_back((self.now + CALL, Event::HostOrderAnswered { host, response }));
    }

    fn bring_hosts_back(&mut self) {
        let now = self.now;
        let back: Vec<HostName> =
            self.returning.extract_if(.., |(at, _)| *at <= now).map(|(_, host)| host).collect();
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

fn cores_of_task() -> Size {
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

/// A caller whose quota and share are far above what it sends.
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
