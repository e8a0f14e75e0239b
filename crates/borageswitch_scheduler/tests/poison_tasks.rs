//! Simulations with poison tasks, which crash the executors that run them. A failing test prints
//! its seed. `BORAGESWITCH_SEED=N` runs only that seed, `BORAGESWITCH_SEEDS=N` the first N seeds.

mod support;

use std::time::Duration;

use borageswitch_scheduler::{job::Step, ledger::record::Outcome};
use borageswitch_types::names::JobName;
use support::{
    fixtures::cores,
    simulation::{
        Faults, Simulation,
        poison_tasks::{CrashCosts, PoisonSpec},
    },
};

/// The default number of seeds, used in CI.
const SEEDS: u64 = 12;
/// The number of hosts.
const HOSTS: usize = 9;
/// The longest time from the start of a poison task to the crash of its executor, in milliseconds.
const MAX_CRASH_DELAY: u64 = 15;

fn seeds() -> Vec<u64> {
    let read = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    match read("BORAGESWITCH_SEED") {
        Some(seed) => vec![seed],
        None => (0..read("BORAGESWITCH_SEEDS").unwrap_or(SEEDS)).collect(),
    }
}

fn short(simulation: &mut Simulation) -> Step {
    Step {
        count: simulation.rng.u32(1..6),
        size: cores(simulation.rng.u64(1..4)),
        estimate: Duration::from_millis(simulation.rng.u64(200..1_500)),
        ..Step::default()
    }
}

fn submit_poison(simulation: &mut Simulation, step: Step, tasks: u32) -> JobName {
    let job = simulation.submit(vec![step]);
    simulation.make_poison(&job, PoisonSpec { tasks, within: MAX_CRASH_DELAY });
    job
}

/// Submits a job of a random kind with poison tasks: alone on a host, all tasks of a job, in a gang,
/// scheduled, lasting, speculative, or crashing late.
fn submit_random_poison(simulation: &mut Simulation) -> JobName {
    let step = short(simulation);
    let whole = step.count;
    match simulation.rng.u32(..8) {
        0 => submit_poison(simulation, Step { size: cores(16), count: 1, ..step }, 1),
        1 => submit_poison(simulation, step, whole),
        2 => submit_poison(simulation, Step { gang: true, ..step }, 1),
        3 => {
            let job = simulation.submit_timed(vec![step], 3);
            simulation.make_poison(&job, PoisonSpec { tasks: 1, within: MAX_CRASH_DELAY });
            job
        }
        4 => {
            let lasting = Step { lasting: true, max_per_host: Some(1), ..step };
            submit_poison(simulation, lasting, 1)
        }
        5 => submit_poison(simulation, Step { speculative: true, ..step }, 1),
        6 => {
            let estimate = step.estimate.max(Duration::from_millis(600));
            let job = simulation.submit(vec![Step { estimate, ..step }]);
            simulation.make_poison(&job, PoisonSpec { tasks: 1, within: 400 });
            job
        }
        _ => submit_poison(simulation, step, 1),
    }
}

fn submit_healthy(simulation: &mut Simulation) {
    let step = short(simulation);
    match simulation.rng.u32(..8) {
        0 => simulation.submit_timed(vec![step], 3),
        1 => simulation.submit(vec![Step { gang: true, ..step }]),
        2 => simulation.submit(vec![step.clone(), Step { after: vec![0], ..step }]),
        _ => simulation.submit(vec![step]),
    };
}

/// Simulates half a minute of jobs under faults, with about `poison_jobs` jobs that have poison
/// tasks, then enough time without faults for all jobs to end.
fn simulate(seed: u64, enforces_capacity: bool, faults: Faults, poison_jobs: usize) -> Simulation {
    let mut simulation = Simulation::with_hosts(seed, HOSTS, enforces_capacity, faults);
    simulation.run(2_000);
    let lasting = Step { lasting: true, max_per_host: Some(1), ..short(&mut simulation) };
    simulation.submit(vec![lasting]);
    for number in 0..60 {
        submit_healthy(&mut simulation);
        if number % 20 == 5 {
            (0..poison_jobs.div_ceil(3)).for_each(|_| {
                submit_random_poison(&mut simulation);
            });
        }
        simulation.run(500);
    }
    simulation.clear_faults();
    simulation.run(40_000);
    simulation
}

fn assert_invariants(seed: u64, simulation: &Simulation) {
    assert!(simulation.violations.is_empty(), "seed {seed}: {:?}", simulation.violations);
    for job in simulation.poison_tasks.jobs() {
        let reported = simulation.reported.get(job);
        let over = matches!(reported, Some(Outcome::Failed | Outcome::Cancelled));
        assert!(over, "seed {seed}: {job} is shown as {reported:?}");
    }
    let open = simulation.open_jobs();
    assert!(open.is_empty(), "seed {seed}: jobs that never ended: {open:?}");
    let orphan_runs = simulation.orphan_runs();
    assert!(orphan_runs.is_empty(), "seed {seed}: runs of jobs that are over: {orphan_runs:?}");
    let (wanted, running) = simulation.lasting();
    assert_eq!(running, wanted, "seed {seed}: lasting tasks that do not run");
}

fn assert_invariants_for_all_seeds(enforces_capacity: bool, faults: Faults, poison_jobs: usize) {
    for seed in seeds() {
        let simulation = simulate(seed, enforces_capacity, faults, poison_jobs);

        assert_invariants(seed, &simulation);
    }
}

#[test]
fn a_poison_task_is_given_up() {
    // Without a limit the task would be restarted forever and crash all hosts of its pool.
    for seed in seeds() {
        let mut simulation = Simulation::with_hosts(seed, HOSTS, true, Faults::default());
        simulation.run(2_000);
        let step = short(&mut simulation);
        submit_poison(&mut simulation, step, 1);
        for _ in 0..20 {
            let step = short(&mut simulation);
            simulation.submit(vec![step]);
            simulation.run(300);
        }
        simulation.run(30_000);

        assert_invariants(seed, &simulation);
    }
}

#[test]
fn poison_tasks_of_all_kinds_are_given_up_and_no_others() {
    // Poison tasks run alone on a host, beside other tasks, as several tasks of one job, in a gang,
    // on a schedule, as lasting tasks, and crash with a delay. Healthy jobs must not fail because
    // they shared a host with one of them.
    assert_invariants_for_all_seeds(true, Faults::default(), 3);
}

#[test]
fn many_poison_tasks_at_once_are_distinguished_from_healthy_ones() {
    assert_invariants_for_all_seeds(true, Faults::default(), 9);
}

#[test]
fn failures_of_hosts_are_not_attributed_to_tasks() {
    // Jobs must not fail because their hosts crash, are removed or are maintained.
    let faults = Faults {
        executor_crash: 1,
        rack_failure: 1,
        host_removal: 1,
        wave: 1,
        executor_partition: 1,
        host_list_outage: 1,
        ..Faults::default()
    };
    assert_invariants_for_all_seeds(true, faults, 0);
}

#[test]
fn poison_tasks_are_found_despite_host_crashes_and_lost_orders() {
    let faults = Faults {
        executor_crash: 1,
        rack_failure: 1,
        host_removal: 1,
        wave: 1,
        lost_response: 20,
        lost_order: 10,
        ..Faults::default()
    };
    assert_invariants_for_all_seeds(true, faults, 3);
}

#[test]
fn crash_counts_survive_a_change_of_leader() {
    // Otherwise the count of crashes would restart with each leader.
    let faults = Faults { leader_crash: 1, cancel: 1, store_outage: 1, ..Faults::default() };
    assert_invariants_for_all_seeds(true, faults, 3);
}

#[test]
fn executors_that_reuse_names_neither_lose_nor_repeat_tasks() {
    // Orders, ends and crash attributions must not be mixed up between incarnations.
    let faults = Faults {
        reuse_names: true,
        executor_crash: 1,
        leader_crash: 1,
        wave: 1,
        lost_response: 20,
        delayed_order: 10,
        ..Faults::default()
    };
    assert_invariants_for_all_seeds(true, faults, 1);
}

#[test]
fn hosts_that_lose_capacity_are_not_overcommitted() {
    // Starts must not rely on capacity that a host has lost.
    let faults =
        Faults { capacity_drop: 4, executor_crash: 1, delayed_order: 10, ..Faults::default() };
    assert_invariants_for_all_seeds(false, faults, 1);
}

#[test]
fn crashes_that_are_detected_late_count_for_the_restart_limit() {
    // Seeds in which a task was started once too often: a crash caused by its start was detected
    // more than a second later, and was not attributed to the start.
    let crashes_and_lost_orders = Faults {
        executor_crash: 1,
        rack_failure: 1,
        host_removal: 1,
        wave: 1,
        lost_response: 20,
        lost_order: 10,
        ..Faults::default()
    };
    let capacity_drop =
        Faults { capacity_drop: 4, executor_crash: 1, delayed_order: 10, ..Faults::default() };
    let cases = [
        (54, true, Faults::default(), 9),
        (63, false, capacity_drop, 1),
        (98, true, crashes_and_lost_orders, 3),
    ];
    for (seed, enforces_capacity, faults, poison_jobs) in cases {
        let simulation = simulate(seed, enforces_capacity, faults, poison_jobs);

        assert_invariants(seed, &simulation);
    }
}

/// Prints the costs of poison tasks. `BORAGESWITCH_REPORT` selects the kind of faults; without it
/// the test does nothing.
#[test]
fn report() {
    let Ok(kind) = std::env::var("BORAGESWITCH_REPORT") else { return };
    let crashes = Faults { executor_crash: 1, ..Faults::default() };
    let racks = Faults { rack_failure: 1, ..Faults::default() };
    let (faults, poison_jobs) = match kind.as_str() {
        "many" => (Faults::default(), 15),
        "crashes" => (crashes, 3),
        "racks" => (racks, 3),
        "leaders" => (Faults { leader_crash: 1, ..crashes }, 3),
        "incident" => {
            let incident = Faults { incident: 15, leaders_lose_power: 5, ..crashes };
            (Faults { late_lists: true, silent_watch: true, ..incident }, 3)
        }
        "sound" => (Faults { executor_crash: 1, ..racks }, 0),
        _ => (Faults::default(), 3),
    };
    let mut costs = CrashCosts::default();
    for seed in seeds() {
        let simulation = simulate(seed, true, faults, poison_jobs);
        costs.add(&simulation);
        if !simulation.violations.is_empty() {
            println!("seed {seed}: {:?}", simulation.violations);
        }
    }
    println!("{kind}: {costs}");
}
