//! Simulations of crash storms: at a load peak, a tenth of the jobs of one queue crash each executor
//! that starts one of their tasks, beside a sound queue in another pool.
//! `BORAGESWITCH_SEED=N` runs only that seed, `BORAGESWITCH_SEEDS=N` the first N seeds.

mod support;

use std::{collections::BTreeSet, time::Duration};

use borageswitch_scheduler::{config::Queue, job::Step};
use borageswitch_types::names::{JobName, PoolName, QueueName};
use support::{
    fixtures::{cores, queue},
    simulation::{Faults, Simulation, poison_tasks::PoisonSpec},
};

/// The default number of seeds, used in CI.
const SEEDS: u64 = 3;
/// The number of seeds that are simulated at once.
const THREADS: usize = 3;
/// The longest time from the start of a crashing task to the crash of its executor, in milliseconds.
const MAX_CRASH_DELAY: u64 = 15;
/// When crashing jobs begin to arrive, and for how long, in milliseconds after the load begins.
const STORM_START: u64 = 4_000;
const STORM: u64 = 10_000;
/// The mean interval between two jobs of a queue, in milliseconds.
const MEAN_INTERVAL: u64 = 100;
/// The part of each pool that the load keeps busy.
const LOAD_FACTOR: f64 = 0.6;
/// How long the load lasts, in milliseconds.
const LOAD: u64 = 26_000;
/// The value of a late job, compared with one on time.
const LATE_VALUE: f64 = 1.0 / 14.0;
/// A job is of use until this multiple of its objective has passed.
const USEFUL_FACTOR: u64 = 3;

/// The kind of storm.
#[derive(Clone, Copy, Debug)]
struct Storm {
    /// The number of hosts in the pool of the queue with crashing jobs.
    hosts: usize,
    /// One job in this many crashes executors; `None` for sound jobs only.
    crashing: Option<u64>,
    /// The leader dies in the middle of the storm.
    leader_crash: bool,
}

/// How the sound jobs of a queue fared.
#[derive(Clone, Debug, Default)]
struct Service {
    jobs: usize,
    on_time: usize,
    late: usize,
    useless: usize,
    /// The arrival of the last job that was not on time, in milliseconds after the load began.
    last_late_arrival: u64,
}

impl Service {
    fn value(&self) -> f64 {
        (self.on_time as f64 + LATE_VALUE * self.late as f64) / (self.jobs as f64).max(1.0)
    }
}

#[derive(Clone, Debug)]
struct Outcome {
    crashes: usize,
    /// The most crashes under one job.
    worst_job: usize,
    crashing_jobs: usize,
    never_ended: usize,
    /// How often containment began.
    containments: usize,
    wrongly_failed: usize,
    stormy: Service,
    /// The jobs of the stormy queue that arrived from 5 s after the last crashing one.
    after: Service,
    steady: Service,
}

fn seeds() -> Vec<u64> {
    let read = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    match read("BORAGESWITCH_SEED") {
        Some(seed) => vec![seed],
        None => (0..read("BORAGESWITCH_SEEDS").unwrap_or(SEEDS)).collect(),
    }
}

fn steady_queue() -> Queue {
    Queue { name: QueueName::from("steady"), pool: PoolName::from("steady"), ..queue() }
}

/// A step that takes its share of the pool's capacity.
fn work(simulation: &mut Simulation, hosts: usize) -> Step {
    Step {
        count: simulation.rng.u32(1..=widest_step(hosts)),
        size: cores(simulation.rng.u64(1..=2)),
        estimate: Duration::from_millis(simulation.rng.u64(200..1_500)),
        ..Step::default()
    }
}

/// The number of tasks of the widest step, so that the load keeps six tenths of a pool busy.
fn widest_step(hosts: usize) -> u32 {
    let cores = 16.0 * hosts as f64 * LOAD_FACTOR;
    let cores_per_task = MEAN_INTERVAL as f64 / 1_000.0 / (1.5 * 0.85);
    (2.0 * cores * cores_per_task - 1.0).round() as u32
}

fn simulate(seed: u64, storm: Storm) -> Outcome {
    let queues = [(queue(), storm.hosts), (steady_queue(), storm.hosts / 2)];
    let mut simulation = Simulation::with_queues(seed, &queues, Faults::default());
    simulation.run(2_000);
    let began = simulation.now;
    let mut arrivals: Vec<(u64, JobName, usize)> = Vec::new();
    let mut next = [began; 2];
    let mut leader_crash = storm.leader_crash;
    while simulation.now < began + LOAD {
        for (number, (queue, hosts)) in queues.iter().enumerate() {
            while next[number] <= simulation.now {
                next[number] += simulation.rng.u64(0..=2 * MEAN_INTERVAL);
                let step = work(&mut simulation, *hosts);
                let job = simulation.submit_to(queue.clone(), vec![step]);
                let at = simulation.now - began;
                let stormy = number == 0 && (STORM_START..STORM_START + STORM).contains(&at);
                let crashes =
                    storm.crashing.is_some_and(|one_in| simulation.rng.u64(..one_in) == 0);
                if stormy && crashes {
                    let poison = PoisonSpec { tasks: u32::MAX, within: MAX_CRASH_DELAY };
                    simulation.make_poison(&job, poison);
                }
                arrivals.push((at, job, number));
            }
        }
        if leader_crash && simulation.now >= began + STORM_START + STORM / 2 {
            simulation.crash_leader(1_200);
            leader_crash = false;
        }
        simulation.run(5);
    }
    simulation.run(60_000);
    summarise(&simulation, began, &arrivals)
}

/// Simulates all seeds, a few at a time.
fn simulate_all(storm: Storm) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    for chunk in seeds().chunks(THREADS) {
        std::thread::scope(|scope| {
            let started: Vec<_> =
                chunk.iter().map(|&seed| scope.spawn(move || simulate(seed, storm))).collect();
            outcomes.extend(started.into_iter().map(|thread| thread.join().unwrap()));
        });
    }
    outcomes
}

fn summarise(simulation: &Simulation, began: u64, arrivals: &[(u64, JobName, usize)]) -> Outcome {
    let history = &simulation.poison_tasks.history;
    let jobs: BTreeSet<&JobName> = simulation.poison_tasks.jobs().collect();
    let crashes_of = |job: &JobName| -> usize {
        history.iter().filter(|(task, _)| task.job == *job).map(|(_, d)| d.crashes.len()).sum()
    };
    let mut outcome = Outcome {
        crashes: jobs.iter().map(|job| crashes_of(job)).sum(),
        worst_job: jobs.iter().map(|job| crashes_of(job)).max().unwrap_or(0),
        crashing_jobs: jobs.len(),
        never_ended: simulation.open_jobs().len(),
        containments: simulation.log_counts.get("containment-began").copied().unwrap_or(0),
        wrongly_failed: simulation
            .violations
            .iter()
            .filter(|line| line.contains("though it could be done"))
            .count(),
        stormy: Service::default(),
        after: Service::default(),
        steady: Service::default(),
    };
    let calm_from = STORM_START + STORM + 5_000;
    for (at, job, number) in arrivals {
        // Jobs whose names end with 0 always fail.
        if job.as_str().ends_with('0') || jobs.contains(job) {
            continue;
        }
        let submission = simulation.submissions().find(|(name, _)| *name == job).map(|(_, s)| s);
        let estimate = submission.map_or(0, |s| s.spec.steps[0].estimate.as_millis() as u64);
        let objective = estimate * 8 / 5 + 600;
        let took = simulation.reported_at.get(job).map(|at_| at_ - began - at);
        let mut into = vec![if *number == 0 { &mut outcome.stormy } else { &mut outcome.steady }];
        if *number == 0 && *at >= calm_from {
            into.push(&mut outcome.after);
        }
        for service in into {
            service.jobs += 1;
            match took {
                Some(took) if took <= objective => service.on_time += 1,
                Some(took) if took <= USEFUL_FACTOR * objective => service.late += 1,
                _ => service.useless += 1,
            }
            if took.is_none_or(|took| took > objective) {
                service.last_late_arrival = service.last_late_arrival.max(*at);
            }
        }
    }
    outcome
}

/// Prints how storms of all sizes go. `BORAGESWITCH_REPORT` enables it; without it the test does
/// nothing.
#[test]
fn report() {
    if std::env::var_os("BORAGESWITCH_REPORT").is_none() {
        return;
    }
    for (hosts, leader_crash) in [(9, false), (16, false), (30, false), (16, true)] {
        let storm = Storm { hosts, crashing: Some(10), leader_crash };
        let outcomes = simulate_all(storm);
        let sum = |of: fn(&Outcome) -> usize| outcomes.iter().map(of).sum::<usize>();
        let mut values: Vec<f64> = outcomes.iter().map(|o| o.stormy.value()).collect();
        values.sort_by(f64::total_cmp);
        let mean = values.iter().sum::<f64>() / values.len() as f64;
        let late: Vec<u64> = outcomes.iter().map(|o| o.stormy.last_late_arrival).collect();
        println!(
            "hosts {hosts} leader_crash {leader_crash}: crashing {} crashes {} most {} wrong {} \
             never {} | {} jobs late {} useless {} value least {:.2} mean {mean:.2} | after late {} \
             of {}, last late {late:?} | steady value {:.3}",
            sum(|o| o.crashing_jobs),
            sum(|o| o.crashes),
            outcomes.iter().map(|o| o.worst_job).max().unwrap_or(0),
            sum(|o| o.wrongly_failed),
            sum(|o| o.never_ended),
            sum(|o| o.stormy.jobs),
            sum(|o| o.stormy.late),
            sum(|o| o.stormy.useless),
            values[0],
            sum(|o| o.after.jobs - o.after.on_time),
            sum(|o| o.after.jobs),
            outcomes.iter().map(|o| o.steady.value()).fold(1.0, f64::min),
        );
    }
}

/// The most crashes for each crashing job: without containment there are some twenty.
const MAX_CRASHES_PER_JOB: usize = 6;

fn assert_contained(seed: u64, outcome: &Outcome) {
    let Outcome { crashes, crashing_jobs, .. } = outcome;
    assert!(*crashes <= MAX_CRASHES_PER_JOB * crashing_jobs, "seed {seed}: {outcome:?}");
    assert_eq!(outcome.never_ended, 0, "seed {seed}: {outcome:?}");
    assert_eq!(outcome.wrongly_failed, 0, "seed {seed}: {outcome:?}");
}

#[test]
fn crashing_jobs_take_down_few_executors_and_no_sound_job_with_them() {
    // Guards against jobs that take down a pool again and again: their tasks started on many
    // executors at once, and sound tasks that ran beside them failed or never ended.
    let storm = Storm { hosts: 16, crashing: Some(10), leader_crash: false };
    for (seed, outcome) in seeds().into_iter().zip(simulate_all(storm)) {
        assert_contained(seed, &outcome);
    }
}

#[test]
fn containment_survives_a_change_of_leader() {
    // Guards against a new leader that starts all tasks of a crashing job at once again.
    let storm = Storm { hosts: 16, crashing: Some(10), leader_crash: true };
    for (seed, outcome) in seeds().into_iter().zip(simulate_all(storm)) {
        assert_contained(seed, &outcome);
        assert!(outcome.containments >= 2, "seed {seed}: {outcome:?}");
    }
}

#[test]
fn sound_jobs_are_never_contained() {
    let storm = Storm { hosts: 9, crashing: None, leader_crash: true };
    for (seed, outcome) in seeds().into_iter().zip(simulate_all(storm)) {
        assert_eq!(outcome.containments, 0, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.never_ended, 0, "seed {seed}: {outcome:?}");
    }
}
