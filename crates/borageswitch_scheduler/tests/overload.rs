//! Overload of a pool: which jobs are accepted, and how many of them are on time.

mod support;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use borageswitch_scheduler::{
    job::Step,
    policy::admission::{self, AdmissionLimits, AdmissionQuery, Decision},
};
use borageswitch_types::names::JobName;
use support::{
    fixtures::{cores, queue},
    simulation::{Faults, Simulation},
};

const EXECUTORS: usize = 8;
const POOL_CORES: f64 = 128.0;
const OVERLOAD_MS: u64 = 10_000;
const DAEMONS: usize = 4;
const STEP_MS: u64 = 5;
const TASKS: u32 = 10;
const TASK_MS: u64 = 500;
/// How long after the overload the last accepted jobs are of no use any more.
const TAIL_MS: u64 = 9_000;

#[derive(Clone, Copy, Debug)]
struct Load {
    /// The requested work, in multiples of the capacity.
    factor: f64,
    /// Whether jobs are refused.
    admission: bool,
    /// Whether refused jobs return when they are told to.
    returns: bool,
    /// The percentages of the declared run times that jobs take in turn.
    run_time_percent: &'static [u64],
}

/// How many jobs were accepted and refused, and when they ended.
#[derive(Debug, Default)]
struct Outcome {
    accepted: usize,
    refused: usize,
    on_time: usize,
    late: usize,
    no_use: usize,
    /// The core-seconds of jobs that ended during the overload, except for its first two seconds,
    /// and the part of them that was on time.
    done: f64,
    done_on_time: f64,
}

/// The limits that a daemon knows.
struct Held {
    limits: Arc<AdmissionLimits>,
    received: u64,
}

/// Plays an overload of 10 s, with daemons that decide on each job like the runtime does.
fn play(seed: u64, load: Load) -> Outcome {
    let mut site = Simulation::new(seed, EXECUTORS, true, Faults::default());
    site.run(2_000);
    let begin = site.now;
    let core_s = f64::from(TASKS) * TASK_MS as f64 / 1_000.0;
    let jobs_per_ms = load.factor * POOL_CORES / core_s / 1_000.0;
    let mut daemons: Vec<Option<Held>> = (0..DAEMONS).map(|_| None).collect();
    let mut accepted: BTreeMap<JobName, (u64, u64)> = BTreeMap::new();
    let mut returning: Vec<(u64, JobName)> = Vec::new();
    let mut outcome = Outcome::default();
    let mut due = 0.0;
    let mut number = 0u64;
    while site.now < begin + OVERLOAD_MS + TAIL_MS {
        let mut arrivals: Vec<JobName> = Vec::new();
        if site.now < begin + OVERLOAD_MS {
            due += jobs_per_ms * STEP_MS as f64;
        }
        while due >= 1.0 {
            due -= 1.0;
            number += 1;
            arrivals.push(JobName::from(format!("{number:015x}1")));
        }
        let now = site.now;
        returning.retain(|(at, job)| {
            if *at <= now {
                arrivals.push(job.clone());
            }
            *at > now
        });
        for job in arrivals {
            let steps = vec![Step {
                count: TASKS,
                size: cores(1),
                estimate: Duration::from_millis(TASK_MS),
                ..Step::default()
            }];
            let percent = load.run_time_percent[accepted.len() % load.run_time_percent.len()];
            let query = AdmissionQuery {
                job: job.clone(),
                queue: queue().name,
                caller: None,
                chain: Duration::from_millis(TASK_MS),
                core_seconds: core_s,
                patience: None,
            };
            let daemon = site.rng.usize(..DAEMONS);
            let decision = decide(&mut site, daemons[daemon].as_ref(), &query);
            if let Decision::Refuse { retry_after, .. } = decision
                && load.admission
            {
                match retry_after {
                    Some(after) if load.returns => {
                        returning.push((now + after.as_millis() as u64, job));
                    }
                    _ => outcome.refused += 1,
                }
                continue;
            }
            site.run_time_percent.insert(job.clone(), percent);
            site.submit_as(&job, None, steps, None);
            accepted.insert(job, (site.now, percent));
            let (moment, token, leader) = site.leader().unwrap();
            let limits = leader.admission_limits(moment, token);
            daemons[daemon] = limits.map(|limits| Held { limits, received: now });
        }
        site.run(STEP_MS);
    }
    outcome.accepted = accepted.len();
    for (job, (at, percent)) in accepted {
        let length = TASK_MS * percent / 100;
        let objective = (length as f64 * 1.6) as u64 + 600;
        let ended = site.reported_at.get(&job).copied().unwrap_or(u64::MAX);
        let work = core_s * percent as f64 / 100.0;
        let measured = (begin + 2_000..begin + OVERLOAD_MS).contains(&ended);
        outcome.done += if measured { work } else { 0.0 };
        if ended - at <= objective {
            outcome.on_time += 1;
            outcome.done_on_time += if measured { work } else { 0.0 };
        } else if ended - at <= 3 * objective {
            outcome.late += 1;
        } else {
            outcome.no_use += 1;
        }
    }
    outcome
}

/// Decides by the limits that a daemon holds, and by the leader if these would refuse the job.
fn decide(site: &mut Simulation, held: Option<&Held>, query: &AdmissionQuery) -> Decision {
    let now = site.now;
    let Some(held) = held.filter(|held| now < held.received + 1_000) else {
        return Decision::Admit;
    };
    let Some(limit) = held.limits.queues.get(&query.queue) else { return Decision::Admit };
    let objective = limit.expected_chain(query).mul_f64(1.6) + Duration::from_millis(600);
    let age = Duration::from_millis(now - held.received);
    if admission::decide(limit, age, query, objective) == Decision::Admit {
        return Decision::Admit;
    }
    let (moment, _, leader) = site.leader().unwrap();
    leader.decide_admission(moment, query)
}

const LOAD: Load = Load { factor: 2.0, admission: true, returns: false, run_time_percent: &[100] };

#[test]
fn a_pool_that_accepts_everything_is_busy_with_jobs_that_end_on_time() {
    // Served by the earliest deadline, each job starts at the last moment at which it can be on
    // time, and nearly all of them end just late: a pool of 32 cores completed 0.14 of its capacity
    // on time at twice its load, and 0.09 at five times.
    for factor in [2.0, 5.0] {
        let outcome = play(1, Load { factor, admission: false, ..LOAD });

        assert!(outcome.done_on_time >= 0.9 * outcome.done, "{factor}: {outcome:?}");
    }
}

#[test]
fn refusals_leave_the_pool_busy_and_no_accepted_job_of_no_use() {
    // Without refusals, two thirds of the jobs at twice the capacity end after they are of use.
    let capacity = play(1, Load { admission: false, ..LOAD }).done;
    for factor in [2.0, 5.0] {
        let outcome = play(1, Load { factor, ..LOAD });

        assert_eq!(outcome.no_use, 0, "{factor}: {outcome:?}");
        assert!(outcome.done_on_time >= 0.9 * capacity, "{factor}: {outcome:?} of {capacity}");
    }
}

#[test]
fn a_rush_of_returning_jobs_is_spread_over_the_capacity() {
    // All refused jobs return when they are told to. Admitted together they would be late together.
    let outcome = play(1, Load { factor: 5.0, returns: true, ..LOAD });

    assert_eq!(outcome.no_use, 0, "{outcome:?}");
    assert!(outcome.done_on_time >= 0.9 * outcome.done, "{outcome:?}");
}

#[test]
fn run_times_wrong_by_half_make_few_jobs_useless() {
    let outcome = play(1, Load { run_time_percent: &[50, 150], ..LOAD });

    assert!(outcome.no_use * 100 <= outcome.accepted, "{outcome:?}");
    assert!(outcome.done_on_time >= 0.9 * outcome.done, "{outcome:?}");
}

#[test]
fn below_its_capacity_a_pool_refuses_nothing() {
    let outcome = play(1, Load { factor: 0.8, ..LOAD });

    assert_eq!((outcome.refused, outcome.late, outcome.no_use), (0, 0, 0), "{outcome:?}");
}
