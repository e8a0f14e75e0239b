//! Shares: what each caller gets of a pool that cannot serve all of their work.

mod support;

use std::{collections::BTreeMap, sync::Arc};

use borageswitch_scheduler::{
    config::{Caller, Config},
    effect::Effect,
    event::{Event, StartResponse},
    job::{JobSpec, Size, Step, Submission},
    ledger::Ledger,
    reducer::explain::Subject,
    task::TaskKey,
};
use borageswitch_types::{
    Time,
    names::{CallerName, JobName},
};
use fastrand::Rng;
use support::{
    fixtures::{config, cores, queue},
    session::{Session, active, done, registration, step},
};

const EXECUTORS: [&str; 4] = ["e1", "e2", "e3", "e4"];
const TASK_MS: u64 = 500;
/// The time objective of a job with one step of such tasks.
const OBJECTIVE_MS: u64 = 1_400;
const STEP_MS: u64 = 10;

/// A configuration with callers of the given weights.
fn config_of(version: u64, callers: &[(&str, f64)]) -> Arc<Config> {
    let mut config = Config::clone(&config(true));
    config.version = version;
    let callers = callers.iter().map(|&(name, weight)| {
        let name = CallerName::from(name);
        (name.clone(), Caller { name, weight, quota: Size::default() })
    });
    config.callers = callers.collect();
    Arc::new(config)
}

/// A pool of 32 cores, whose tasks take [`TASK_MS`] each.
struct Load {
    session: Session,
    rng: Rng,
    /// Active runs by executor, with the time of their end.
    active: BTreeMap<&'static str, BTreeMap<TaskKey, u64>>,
    ended: BTreeMap<&'static str, u64>,
    submitted: BTreeMap<JobName, (String, u64, u32)>,
    /// Run time by caller, in milliseconds.
    served: BTreeMap<String, u64>,
    /// By caller, the jobs that were on time and all that have been due.
    results: BTreeMap<String, (u32, u32)>,
    /// What the leader has stored.
    ledger: Ledger,
}

impl Load {
    fn new(config: Arc<Config>) -> Self {
        Self {
            session: Session::with_config(&EXECUTORS, Ledger::default(), config),
            rng: Rng::with_seed(3),
            active: BTreeMap::new(),
            ended: BTreeMap::new(),
            submitted: BTreeMap::new(),
            served: BTreeMap::new(),
            results: BTreeMap::new(),
            ledger: Ledger::default(),
        }
    }

    /// A pool without load whose next decision divides it.
    fn idle(config: Arc<Config>) -> Self {
        let mut load = Self::new(config);
        load.session.now += 40;
        load
    }

    fn submit(&mut self, caller: &str, step: Step) {
        let job = format!("{caller}-{}", self.submitted.len());
        let name = JobName::from(job);
        self.submitted.insert(name.clone(), (caller.into(), self.session.now, step.count));
        let submission = Arc::new(Submission {
            job: name,
            queue: queue(),
            accepted: self.session.moment().wall,
            spec: JobSpec { payload: "text".into(), steps: vec![step], schedule: None },
            caller: (caller != "none").then(|| CallerName::from(caller)),
        });
        self.ledger.submit(submission.clone());
        self.session.handle(Event::Submitted(submission));
    }

    /// Submits jobs at random for a time: by caller the jobs per second, and the tasks of each.
    fn run(&mut self, millis: u64, loads: &[(&str, f64, u32)]) {
        let until = self.session.now + millis;
        while self.session.now < until {
            for &(caller, per_s, tasks) in loads {
                if self.rng.f64() < per_s * STEP_MS as f64 / 1_000.0 {
                    self.submit(caller, step(tasks));
                }
            }
            self.advance();
        }
    }

    fn advance(&mut self) {
        self.session.now += STEP_MS;
        for executor in EXECUTORS {
            self.report(executor);
        }
        let effects = self.session.settle();
        self.store(effects);
        let effects = self.session.settle();
        self.store(effects);
    }

    fn report(&mut self, executor: &'static str) {
        let now = self.session.now;
        let runs = self.active.entry(executor).or_default();
        let ending = runs.extract_if(.., |_, end| *end <= now);
        let ending: Vec<TaskKey> = ending.map(|(task, _)| task).collect();
        let active: Vec<_> = runs.keys().map(active).collect();
        let acknowledged = self.ended.get(executor).copied().unwrap_or(0);
        let ended: Vec<_> = (acknowledged + 1..).zip(&ending).map(|(n, t)| done(n, t)).collect();
        self.ended.insert(executor, acknowledged + ended.len() as u64);
        for task in ending {
            let Some(job) = self.submitted.get_mut(&task.job) else { continue };
            *self.served.entry(job.0.clone()).or_default() += TASK_MS;
            job.2 -= 1;
            if job.2 == 0 {
                let result = self.results.entry(job.0.clone()).or_default();
                result.0 += u32::from(now - job.1 <= OBJECTIVE_MS);
                result.1 += 1;
            }
        }
        self.session.report(executor, &active, &ended, acknowledged);
    }

    fn store(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Append { append, records, .. } => {
                    records.iter().for_each(|record| self.ledger.apply(record));
                    self.session.handle(Event::Appended { append });
                }
                Effect::Start(to, order) => {
                    let known = EXECUTORS.iter().find(|name| **name == to.executor.as_str());
                    let runs = self.active.entry(known.unwrap()).or_default();
                    runs.insert(order.task.clone(), self.session.now + TASK_MS);
                    self.session.handle(Event::StartAnswered {
                        executor: to.executor,
                        task: order.task,
                        run: order.run,
                        sent: Time::from_millis(self.session.now),
                        clock_ms: Some(self.session.now),
                        response: StartResponse::Started,
                    });
                }
                _ => {}
            }
        }
    }

    /// The part of a caller's jobs that were on time, of those that have ended or are late.
    fn on_time(&self, caller: &str) -> f64 {
        let late = self.submitted.values().filter(|(name, accepted, tasks)| {
            name == caller && *tasks > 0 && self.session.now - accepted > OBJECTIVE_MS
        });
        let (on_time, ended) = self.results.get(caller).copied().unwrap_or_default();
        f64::from(on_time) / (f64::from(ended) + late.count() as f64).max(1.0)
    }

    /// The cores that the runs of a caller occupy.
    fn in_use(&self, caller: &str) -> usize {
        let runs = self.active.values().flat_map(BTreeMap::keys);
        runs.filter(|task| self.submitted[&task.job].0 == caller).count()
    }
}

const OTHERS: [&str; 9] = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];

/// Runs nine callers at their usual load beside one that submits `hot` jobs of `tasks` tasks per
/// second, and returns the mean part of the jobs of the nine that are on time.
fn others_on_time(hot: f64, tasks: u32) -> f64 {
    let callers: Vec<_> = OTHERS.iter().map(|name| (*name, 6.0)).chain([("hot", 6.0)]).collect();
    let usual = OTHERS.iter().map(|name| (*name, 6.0, 1));
    let loads: Vec<_> = usual.chain([("hot", hot, tasks)]).collect();
    let mut load = Load::new(config_of(1, &callers));
    load.run(15_000, &loads);
    OTHERS.iter().map(|name| load.on_time(name)).sum::<f64>() / OTHERS.len() as f64
}

#[test]
fn a_hot_caller_does_not_make_the_others_late() {
    // One of ten callers submits seven times its usual load, as more jobs or as larger ones. By the
    // number of jobs per second alone, half of the others' jobs were late beside larger ones.
    let without = others_on_time(6.0, 1);

    let more_jobs = others_on_time(42.0, 1);
    let larger_jobs = others_on_time(6.0, 7);

    assert!(more_jobs > without - 0.05, "{more_jobs} {without}");
    assert!(larger_jobs > without - 0.05, "{larger_jobs} {without}");
}

#[test]
fn changed_weights_take_effect_at_once() {
    // Two callers of the same weight overload the pool. The operator gives one of them three times
    // the weight of the other and expects relief now, not after the peak.
    let mut load = Load::new(config_of(1, &[("a", 1.0), ("b", 1.0)]));
    let loads = [("a", 80.0, 1), ("b", 80.0, 1)];
    load.run(5_000, &loads);
    let before = std::mem::take(&mut load.served);

    load.session.handle(Event::Configured(config_of(2, &[("a", 3.0), ("b", 1.0)])));
    load.run(TASK_MS, &loads);
    load.served.clear();
    load.run(2_000, &loads);
    let at_once = std::mem::take(&mut load.served);
    load.run(10_000, &loads);

    let ratio = |served: &BTreeMap<String, u64>| served["a"] as f64 / served["b"] as f64;
    assert!((0.9..1.1).contains(&ratio(&before)), "{}", ratio(&before));
    assert!(ratio(&at_once) > 2.5, "{}", ratio(&at_once));
    assert!((2.6..3.4).contains(&ratio(&load.served)), "{}", ratio(&load.served));
}

#[test]
fn unused_shares_are_lent_at_once_and_returned_within_a_run_time() {
    // One of two callers pauses. The other uses the whole pool meanwhile; when the first one
    // returns, its tasks start as those of the other end.
    let mut load = Load::new(config_of(1, &[("a", 1.0), ("b", 1.0)]));
    load.run(3_000, &[("a", 80.0, 1), ("b", 10.0, 1)]);
    load.run(2_000, &[("a", 80.0, 1)]);
    let lent = load.in_use("a");

    load.run(TASK_MS + 150, &[("a", 80.0, 1), ("b", 80.0, 1)]);

    assert_eq!(lent, 32);
    assert!(load.in_use("b") >= 16, "{}", load.in_use("b"));
}

#[test]
fn two_resources_are_shared_by_the_dominant_one() {
    // The tasks of one caller need four times as much memory as those of the other, and as many
    // cores. Counted by cores, both would run the same number, and the first would occupy four
    // fifths of the memory.
    let mut load = Load::idle(config_of(1, &[("large", 1.0), ("small", 1.0)]));
    let gigabytes = |memory: u64| Size { memory_mb: memory * 1_000, ..cores(1) };
    load.submit("large", Step { size: gigabytes(4), ..step(80) });
    load.submit("small", Step { size: gigabytes(1), ..step(80) });

    (0..100).for_each(|_| load.advance());

    assert_eq!((load.in_use("large"), load.in_use("small")), (4, 16));
}

#[test]
fn a_new_leader_knows_the_use_of_the_runs_that_it_inherits() {
    // One caller uses the whole pool when the leader crashes. If its use were forgotten, it would
    // get half of what is freed although the other caller has nothing.
    let config = config_of(1, &[("a", 1.0), ("b", 1.0)]);
    let mut load = Load::new(config.clone());
    load.submit("a", step(80));
    (0..10).for_each(|_| load.advance());
    let ledger = load.ledger.clone();
    let mut next = Load { session: Session::with_config(&[], ledger, config), ..load };
    next.session.now = 11_000;
    let registered = EXECUTORS.map(registration).to_vec();
    next.session.handle(Event::RegistrationsListed(registered));
    next.advance();
    next.submit("b", step(80));

    (0..70).for_each(|_| next.advance());

    assert_eq!((next.in_use("a"), next.in_use("b")), (0, 32));
}

#[test]
fn weight_0_is_served_after_all_others() {
    // The jobs of a caller of weight 0 were submitted first and have the earliest deadlines.
    let mut load = Load::new(config_of(1, &[("a", 1.0), ("b", 1.0), ("zero", 0.0)]));
    load.submit("zero", step(100));
    load.submit("a", step(80));
    load.submit("b", step(2));

    (0..160).for_each(|_| load.advance());

    assert_eq!(load.served["a"] + load.served["b"], 82 * TASK_MS);
    assert_eq!(load.in_use("zero"), 32);
}

#[test]
fn work_without_callers_is_unchanged() {
    // Declared callers that submit nothing must not affect a queue that needs no key.
    let starts = |callers: &[(&str, f64)]| {
        let mut load = Load::new(config_of(1, callers));
        load.run(4_000, &[("none", 100.0, 1)]);
        (load.active, load.results)
    };

    assert_eq!(starts(&[]), starts(&[("a", 1.0), ("b", 0.0)]));
}

#[test]
fn operators_see_the_share_the_use_and_the_wait_of_a_caller() {
    let mut load = Load::idle(config_of(1, &[("a", 1.0), ("b", 3.0)]));
    load.submit("a", step(80));
    load.submit("b", step(80));
    (0..30).for_each(|_| load.advance());

    let moment = load.session.moment();
    let dump = load.session.scheduler.dump(moment).callers["a"].clone();
    let explained = load.session.scheduler.explain(moment, &Subject::Job(JobName::from("a-0")));

    let share = &dump.shares[&queue().pool];
    assert_eq!((share.due_percent, share.used, share.beyond), (25.0, cores(8), true));
    assert_eq!((dump.waiting, dump.waits_for_ms), (cores(72), 300));
    let line = "step 0: 72 tasks are beyond the share of their caller a: weight 1, due 25 %";
    assert!(explained.iter().any(|told| told.starts_with(line)), "{explained:?}");
    let beyond = load.session.scheduler.callers_beyond(&queue().pool);
    assert_eq!(beyond, [CallerName::from("a"), CallerName::from("b")]);
}
