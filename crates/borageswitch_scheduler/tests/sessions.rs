//! Short sessions with the scheduler, event by event.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use borageswitch_scheduler::{
    config::{Config, Pool, Queue, RequestLimits},
    effect::{Effect, HostOrder, LookOrder},
    event::{Event, LookAnswer, Now, OrderAnswer, StartAnswer},
    executor::{ActiveRun, EndKind, EndedRun, Registration, Report},
    fleet::{HostEntry, HostState, WaveRequest},
    job::{JobSpec, Size, Step, Submission},
    ledger::{Ledger, record::Record},
    reducer::{Limits, Scheduler},
    task::TaskKey,
};
use borageswitch_types::{
    Time,
    names::{DataCentreName, ExecutorName, HostName, JobName, PoolName, QueueName},
    time::UnixMillis,
};

/// A leader with executors that do what the test says.
struct Session {
    scheduler: Scheduler,
    now: u64,
}

fn queue() -> Queue {
    Queue {
        name: QueueName::from("runs"),
        authority: "site.example".into(),
        prefix: "/runs/".into(),
        pool: PoolName::from("payroll"),
        priority: 0,
        max_attempts: 2,
        stretch: 1.6,
        allowance: Duration::from_millis(600),
        timeout: Duration::from_secs(3),
        advisor: None,
    }
}

fn config() -> Arc<Config> {
    let pool = Pool { name: queue().pool, guards_capacity: true, standby: false };
    Arc::new(Config {
        version: 1,
        queues: BTreeMap::from([(queue().name, queue())]),
        pools: BTreeMap::from([(pool.name.clone(), pool)]),
        limits: RequestLimits {
            head_bytes: 1 << 14,
            body_bytes: 1 << 18,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    })
}

fn cores(cores: u64) -> Size {
    Size { cpu_milli: cores * 1_000, memory_mb: cores * 1_000, accelerators: 0 }
}

fn registration(name: &str) -> Registration {
    Registration {
        executor: ExecutorName::from(name),
        pool: queue().pool,
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: DataCentreName::from("dc"),
        draining: false,
        remaining: None,
        capacity: cores(8),
        labels: vec!["a".into(), "r1".into()],
    }
}

fn step(count: u32) -> Step {
    let estimate = Duration::from_millis(500);
    Step { count, size: cores(1), estimate, ..Step::default() }
}

fn key(job: &str, index: u32) -> TaskKey {
    TaskKey { job: JobName::from(job), occurrence: 0, step: 0, index }
}

fn active(task: &TaskKey) -> ActiveRun {
    ActiveRun { task: task.clone(), run: 1, checkpoint: None, percent: 100, recent: 0 }
}

fn done(number: u64, task: &TaskKey) -> EndedRun {
    EndedRun { number, task: task.clone(), run: 1, how: EndKind::Done, checkpoint: None }
}

impl Session {
    fn new(executors: &[&str]) -> Self {
        Self::with_ledger(executors, Ledger::default())
    }

    fn with_ledger(executors: &[&str], ledger: Ledger) -> Self {
        let now = Now { time: Time::from_millis(10_000), wall: UnixMillis(1_000_000) };
        let registrations = executors.iter().map(|name| registration(name)).collect();
        let scheduler =
            Scheduler::recover(Limits::default(), now, ledger, 1, config(), registrations);
        let mut session = Self { scheduler, now: 10_000 };
        session.settle();
        for name in executors {
            session.report(name, &[], &[], 0);
        }
        session
    }

    fn moment(&self) -> Now {
        Now { time: Time::from_millis(self.now), wall: UnixMillis(990_000 + self.now) }
    }

    fn handle(&mut self, event: Event) {
        let moment = self.moment();
        self.scheduler.handle(moment, event);
    }

    fn settle(&mut self) -> Vec<Effect> {
        let moment = self.moment();
        let effects = self.scheduler.settle(moment);
        effects.into_iter().filter(|effect| !matches!(effect, Effect::Log(_))).collect()
    }

    fn pass(&mut self, millis: u64) -> Vec<Effect> {
        self.now += millis;
        self.settle()
    }

    fn submit(&mut self, job: &str, steps: Vec<Step>) {
        let submission = Submission {
            job: JobName::from(job),
            queue: queue(),
            accepted: UnixMillis(990_000 + self.now),
            spec: JobSpec { text: "text".into(), steps, schedule: None },
        };
        self.handle(Event::Submitted(Arc::new(submission)));
    }

    /// An executor answers a look that carried this acknowledgement.
    fn report(&mut self, executor: &str, active: &[ActiveRun], ended: &[EndedRun], ack: u64) {
        let report = Report { clock_ms: self.now, active: active.to_vec(), ended: ended.to_vec() };
        self.look_answered(executor, LookAnswer::Report(report), ack);
    }

    /// Answers whatever look may be on its way, one that waits and one that does not.
    fn look_answered(&mut self, executor: &str, answer: LookAnswer, ack: u64) {
        let sent = Time::from_millis(self.now - 2);
        let executor = ExecutorName::from(executor);
        for wait in [Duration::ZERO, Duration::from_secs(1)] {
            let order = LookOrder { until_ms: None, acknowledged: ack, wait };
            let (executor, answer) = (executor.clone(), answer.clone());
            self.handle(Event::Looked { executor, sent, order, answer });
        }
    }

    /// Stores the append on its way and starts whatever is then ordered.
    fn store_and_start(&mut self) -> Vec<(ExecutorName, TaskKey)> {
        let mut started = Vec::new();
        for effect in self.pass(50) {
            if let Effect::Append { append, .. } = effect {
                self.handle(Event::Appended { append });
            }
        }
        for effect in self.settle() {
            if let Effect::Start(to, order) = effect {
                started.push((to.executor.clone(), order.task.clone()));
                self.handle(Event::StartAnswered {
                    executor: to.executor,
                    task: order.task,
                    run: order.run,
                    sent: Time::from_millis(self.now),
                    clock_ms: Some(self.now),
                    answer: StartAnswer::Started,
                });
            }
        }
        started
    }
}

fn acknowledgements(effects: &[Effect]) -> Vec<u64> {
    let looks = effects.iter().filter_map(|effect| match effect {
        Effect::Look(_, order) => Some(order.acknowledged),
        _ => None,
    });
    looks.collect()
}

#[test]
fn an_end_is_acknowledged_only_after_it_is_stored() {
    // The store is slow. An executor lists an end, and lists it once more before it is stored. Once
    // acknowledged it forgets the end; if the leader then dies, the task is run a second time.
    let mut session = Session::new(&["e1"]);
    session.submit("j", vec![step(1), Step { after: vec![0], ..step(1) }]);
    assert_eq!(session.store_and_start().len(), 1);
    let end = done(1, &key("j", 0));
    session.report("e1", &[], std::slice::from_ref(&end), 0);
    session.pass(1_500);
    session.report("e1", &[], &[end], 0);

    let before = session.pass(1_500);

    assert!(acknowledgements(&before).iter().all(|ack| *ack == 0), "{before:?}");
}

#[test]
fn a_wave_of_cancellings_fits_the_stores_limit() {
    // Forty callers cancel in the same moment. One call to the store takes 32 entries; a larger one
    // is refused for ever, and with it everything that waits behind it.
    let mut session = Session::new(&["e1"]);
    for number in 0..40 {
        session.submit(&format!("{number:016x}"), vec![step(1)]);
    }
    session.store_and_start();
    for number in 0..40 {
        session.handle(Event::Cancelled(JobName::from(format!("{number:016x}"))));
    }

    let mut forgotten = 0;
    for _ in 0..10 {
        for effect in session.pass(50) {
            if let Effect::Append { append, forget, .. } = effect {
                assert!(forget.len() * 2 + 3 <= 32, "{} jobs in one append", forget.len());
                forgotten += forget.len();
                session.handle(Event::Appended { append });
            }
        }
    }

    assert_eq!(forgotten, 40);
}

fn lasting(count: u32) -> Step {
    Step { lasting: true, max_per_host: Some(1), max_unavailable: Some(1), ..step(count) }
}

fn host(name: &str, executor: &str) -> HostEntry {
    HostEntry {
        host: HostName::from(name),
        pool: queue().pool,
        state: HostState::Up,
        labels: vec!["a".into(), "r1".into()],
        capacity: cores(8),
        executor: Some(ExecutorName::from(executor)),
    }
}

fn stops(effects: &[Effect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, Effect::Stop(..))).count()
}

#[test]
fn a_task_on_a_silent_executor_does_not_count_as_at_work() {
    // Two tasks serve the same users and one may be away. The host of one has fallen silent a
    // second ago; the other's is due for maintenance. Counting on the silent one would leave the
    // users with neither.
    let mut session = Session::new(&["e1", "e2", "e3"]);
    session.submit("l", vec![lasting(2)]);
    let started = session.store_and_start();
    assert_eq!(started.len(), 2);
    let (silent, due) = (started[0].0.clone(), started[1].0.clone());
    session.now += 500;
    session.report(due.as_str(), &[active(&started[1].1)], &[], 0);
    session.report(silent.as_str(), &[active(&started[0].1)], &[], 0);
    session.look_answered(silent.as_str(), LookAnswer::Lost, 0);
    let wave = WaveRequest {
        wave: 1,
        hosts: vec![HostName::from("h")],
        allowed: Duration::from_secs(20),
        max_down: 1,
    };
    session.handle(Event::Wave(wave));
    session.pass(60);
    session.handle(Event::Hosts(Some(vec![host("h", due.as_str())])));

    let effects = session.pass(60);

    assert_eq!(stops(&effects), 0, "{effects:?}");
}

#[test]
fn a_host_that_is_off_is_maintained_at_once() {
    // A host without an executor has nothing to be emptied of. Waited for, it made its wave late.
    let mut session = Session::new(&["e1"]);
    let off = HostEntry { executor: None, ..host("h", "none") };
    let wave = WaveRequest {
        wave: 7,
        hosts: vec![HostName::from("h")],
        allowed: Duration::from_secs(20),
        max_down: 1,
    };
    session.handle(Event::Wave(wave));
    session.pass(60);
    session.handle(Event::Hosts(Some(vec![off])));

    let mut orders = Vec::new();
    for _ in 0..3 {
        for effect in session.pass(60) {
            match effect {
                Effect::Append { append, .. } => session.handle(Event::Appended { append }),
                Effect::Host(host, order) => orders.push((host, order)),
                _ => {}
            }
        }
    }

    assert_eq!(orders, [(HostName::from("h"), HostOrder::Maintain(7))]);
}

#[test]
fn a_host_that_may_not_be_ordered_yet_goes_on_working() {
    // A new leader finds that its predecessor has just ordered a host about, so it may not order it
    // for some seconds. Emptied already, the host would stand idle all that time, in the middle of
    // its pool's rush.
    let mut ledger = Ledger::default();
    let at = UnixMillis(999_000);
    ledger.apply(&Record::HostOrdered { host: HostName::from("h"), at });
    let mut session = Session::with_ledger(&["e1"], ledger);
    let wave = WaveRequest {
        wave: 1,
        hosts: vec![HostName::from("h")],
        allowed: Duration::from_secs(20),
        max_down: 1,
    };
    session.handle(Event::Wave(wave));
    session.pass(60);
    session.handle(Event::Hosts(Some(vec![host("h", "e1")])));
    session.pass(60);

    session.submit("j", vec![step(1)]);

    assert_eq!(session.store_and_start().len(), 1);
}

#[test]
fn nothing_is_placed_beside_a_run_that_nobody_wants() {
    // After a change of leader an executor that guards nothing still runs a task of a job that has
    // ended. Its room is not known; filled up all the same, the executor would be over its capacity.
    let mut session = Session::new(&["e1"]);
    session.report("e1", &[active(&key("gone", 0))], &[], 0);

    session.submit("j", vec![step(1)]);
    let started = session.store_and_start();

    assert!(started.is_empty(), "{started:?}");
}

#[test]
fn a_start_without_an_answer_is_barred_before_the_task_runs_elsewhere() {
    // The order may be carried out seconds later. Started elsewhere at once, the task would run
    // twice.
    let mut session = Session::new(&["e1", "e2"]);
    session.submit("j", vec![step(1)]);
    for effect in session.pass(50) {
        if let Effect::Append { append, .. } = effect {
            session.handle(Event::Appended { append });
        }
    }
    let task = key("j", 0);
    let sent_to = session.settle().into_iter().find_map(|effect| match effect {
        Effect::Start(to, _) => Some(to.executor),
        _ => None,
    });
    let executor = sent_to.unwrap();
    session.handle(Event::StartAnswered {
        executor: executor.clone(),
        task: task.clone(),
        run: 1,
        sent: Time::from_millis(session.now),
        clock_ms: None,
        answer: StartAnswer::Lost,
    });
    session.now += 10;
    session.report(executor.as_str(), &[], &[], 0);

    let effects = session.pass(60);

    assert_eq!(stops(&effects), 1, "{effects:?}");
    assert!(session.store_and_start().is_empty());
    let answer = OrderAnswer::Done;
    session.handle(Event::StopAnswered { executor: executor.clone(), task, run: 1, answer });
    session.now += 10;
    session.report(executor.as_str(), &[], &[], 0);
    assert_eq!(session.store_and_start().len(), 1);
}
