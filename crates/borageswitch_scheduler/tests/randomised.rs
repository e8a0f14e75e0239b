//! Simulations of the scheduler under random faults. A failing test prints its seed.
//! `BORAGESWITCH_SEED=N` runs only that seed, `BORAGESWITCH_SEEDS=N` the first N seeds.

mod support;

use std::time::Duration;

use borageswitch_scheduler::{job::Step, ledger::record::Outcome};
use support::{
    fixtures::cores,
    simulation::{Faults, Simulation},
};

/// The default number of seeds, used in CI.
const SEEDS: u64 = 40;

fn seeds() -> Vec<u64> {
    let read = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    match read("BORAGESWITCH_SEED") {
        Some(seed) => vec![seed],
        None => (0..read("BORAGESWITCH_SEEDS").unwrap_or(SEEDS)).collect(),
    }
}

fn random_steps(simulation: &mut Simulation) -> Vec<Step> {
    let steps = simulation.rng.u16(1..4);
    (0..steps)
        .map(|number| Step {
            count: simulation.rng.u32(1..6),
            size: cores(simulation.rng.u64(1..5)),
            estimate: Duration::from_millis(simulation.rng.u64(100..1_500)),
            after: if number == 0 { vec![] } else { vec![number - 1] },
            ..Step::default()
        })
        .collect()
}

fn lasting_steps(count: u32) -> Vec<Step> {
    vec![Step {
        count,
        size: cores(2),
        lasting: true,
        max_per_host: Some(1),
        estimate: Duration::from_millis(500),
        ..Step::default()
    }]
}

/// Simulates half a minute of jobs under faults, then enough time without faults for all jobs to
/// end.
fn simulate(seed: u64, enforces_capacity: bool, faults: Faults) -> Simulation {
    let mut simulation = Simulation::new(seed, 6, enforces_capacity, faults);
    simulation.submit(lasting_steps(3));
    run_simulation(simulation)
}

/// As [`simulate`], with two callers: one whose quota is never reached, and one whose quota limits
/// its tasks and changes during the simulation.
fn simulate_with_quotas(seed: u64, faults: Faults) -> Simulation {
    let mut simulation = Simulation::new(seed, 6, true, faults);
    simulation.set_quota("ample", cores(60));
    simulation.submit(lasting_steps(3));
    simulation.set_quota("tight", cores(8));
    run_simulation(simulation)
}

fn run_simulation(mut simulation: Simulation) -> Simulation {
    for _ in 0..60 {
        let steps = random_steps(&mut simulation);
        match simulation.rng.u32(..6) {
            0 => simulation.submit_timed(steps, 3),
            _ => simulation.submit(steps),
        };
        if simulation.rng.u32(..10) == 0 && simulation.has_callers() {
            let quota = simulation.rng.u64(3..12);
            simulation.set_quota("tight", cores(quota));
        }
        simulation.run(500);
    }
    simulation.clear_faults();
    if simulation.has_callers() {
        // Jobs that wait for the quota have to end as well.
        simulation.set_quota("tight", cores(40));
    }
    simulation.run(40_000);
    simulation
}

fn assert_invariants(seed: u64, simulation: &Simulation) {
    assert!(simulation.violations.is_empty(), "seed {seed}: {:?}", simulation.violations);
    let open = simulation.open_jobs();
    assert!(open.is_empty(), "seed {seed}: jobs that never ended: {open:?}");
    let orphan_runs = simulation.orphan_runs();
    assert!(orphan_runs.is_empty(), "seed {seed}: runs of jobs that are over: {orphan_runs:?}");
    let (wanted, running) = simulation.lasting();
    assert_eq!(running, wanted, "seed {seed}: lasting tasks that do not run");
}

#[test]
fn without_faults_all_jobs_end() {
    for seed in seeds() {
        let simulation = simulate(seed, true, Faults::default());

        assert_invariants(seed, &simulation);
        let failed = simulation.reported.values().filter(|o| **o == Outcome::Failed).count();
        assert!(failed < 15, "seed {seed}: {failed} jobs failed");
    }
}

#[test]
fn lost_and_delayed_orders_run_no_task_twice() {
    // Responses and orders are lost, and some orders arrive up to twelve seconds late. A task that
    // is restarted elsewhere too early runs twice, and its caller pays twice.
    let faults =
        Faults { lost_response: 60, lost_order: 30, delayed_order: 40, ..Faults::default() };
    for seed in seeds() {
        let simulation = simulate(seed, true, faults);

        assert_invariants(seed, &simulation);
    }
}

#[test]
fn a_change_of_leader_neither_loses_nor_repeats_tasks() {
    // Leaders crash repeatedly, for instance between an assignment and its start, or between the
    // end of a run and its acknowledgement. The next leader knows only the stored records.
    let faults = Faults { leader_crash: 4, delayed_order: 30, cancel: 1, ..Faults::default() };
    for seed in seeds() {
        let simulation = simulate(seed, true, faults);

        assert_invariants(seed, &simulation);
    }
}

#[test]
fn lasting_tasks_and_gangs_start_again_however_their_runs_end() {
    // Guards against lasting jobs that are taken for completed or failed, under changes of leader.
    let faults = Faults {
        leader_crash: 4,
        lost_response: 20,
        executor_crash: 1,
        truncated_reports: true,
        lasting_ends: true,
        ..Faults::default()
    };
    for seed in seeds() {
        let mut simulation = Simulation::new(seed, 6, true, faults);
        let gang = Step { gang: true, max_per_host: None, ..lasting_steps(3)[0].clone() };
        simulation.submit(vec![gang]);
        simulation.submit(lasting_steps(3));
        let simulation = run_simulation(simulation);

        assert_invariants(seed, &simulation);
    }
}

#[test]
fn crashed_and_partitioned_executors_run_no_task_twice() {
    // A partitioned executor continues its runs until its lease expires. A crashed one never
    // responds again, and its tasks have to be restarted elsewhere.
    let faults =
        Faults { executor_crash: 1, executor_partition: 3, cancel: 1, ..Faults::default() };
    for seed in seeds() {
        let simulation = simulate(seed, true, faults);

        assert_invariants(seed, &simulation);
    }
}

#[test]
fn a_store_outage_neither_loses_nor_repeats_tasks() {
    let faults =
        Faults { store_outage: 2, leader_crash: 1, executor_partition: 1, ..Faults::default() };
    for seed in seeds() {
        let simulation = simulate(seed, true, faults);

        assert_invariants(seed, &simulation);
    }
}

#[test]
fn tasks_whose_ends_are_not_listed_yet_run_once() {
    // Guards against taking a run for vanished whose end a full list of ended runs leaves out.
    let faults = [
        Faults::default(),
        Faults { lost_response: 60, lost_order: 30, delayed_order: 40, ..Faults::default() },
        Faults { leader_crash: 4, delayed_order: 30, cancel: 1, ..Faults::default() },
        Faults { store_outage: 2, leader_crash: 1, executor_partition: 1, ..Faults::default() },
    ];
    for seed in seeds() {
        let faults = faults[seed as usize % faults.len()];
        let simulation = simulate(seed, true, Faults { truncated_reports: true, ..faults });

        assert_invariants(seed, &simulation);
    }
}

#[test]
fn executors_without_capacity_checks_are_never_overcommitted() {
    // These executors start every run that they are ordered to, and overcommitted ones fail or slow
    // down all their tasks. Runs that are being stopped, and starts that may yet arrive, use
    // capacity as well.
    let faults = Faults {
        lost_response: 40,
        delayed_order: 30,
        leader_crash: 2,
        executor_partition: 2,
        cancel: 4,
        ..Faults::default()
    };
    for seed in seeds() {
        let simulation = simulate(seed, false, faults);

        assert_invariants(seed, &simulation);
    }
}

#[test]
fn all_faults_at_once() {
    let faults = Faults {
        lost_response: 30,
        lost_order: 20,
        delayed_order: 20,
        leader_crash: 1,
        executor_crash: 1,
        executor_partition: 1,
        store_outage: 1,
        cancel: 2,
        ..Faults::default()
    };
    for seed in seeds() {
        let simulation = simulate(seed, true, faults);

        assert_invariants(seed, &simulation);
    }
}

#[test]
fn quotas_hold_under_all_faults() {
    // Orders get no response or arrive late, the leader crashes between an order and its response,
    // jobs are cancelled while their tasks run, and the quota changes. If the runs of a caller are
    // undercounted, it takes capacity that belongs to the shares of others.
    let faults = [
        Faults::default(),
        Faults { lost_response: 60, lost_order: 30, delayed_order: 40, ..Faults::default() },
        Faults { leader_crash: 4, lost_order: 200, cancel: 12, ..Faults::default() },
        Faults {
            leader_crash: 2,
            executor_crash: 1,
            executor_partition: 3,
            cancel: 4,
            ..Faults::default()
        },
        Faults {
            store_outage: 2,
            leader_crash: 1,
            cancel: 4,
            lost_response: 30,
            ..Faults::default()
        },
    ];
    for seed in seeds() {
        let faults = faults[seed as usize % faults.len()];
        let simulation = simulate_with_quotas(seed, faults);

        assert_invariants(seed, &simulation);
    }
}

#[test]
fn lists_of_hosts_that_are_late_lead_to_no_wrong_conclusion() {
    // Guards against tasks that run twice and waves that leave hosts out, or take too many at once.
    let faults = [
        Faults { wave: 1, ..Faults::default() },
        Faults { wave: 1, executor_crash: 1, host_removal: 1, ..Faults::default() },
        Faults { wave: 1, host_removal: 1, host_list_outage: 1, ..Faults::default() },
        Faults { leader_crash: 1, executor_crash: 1, host_removal: 1, ..Faults::default() },
    ];
    for seed in seeds() {
        let faults = faults[seed as usize % faults.len()];
        let late_lists = Faults { late_lists: true, ..faults };
        let mut simulation = Simulation::with_hosts(seed, 9, true, late_lists);
        simulation.submit(lasting_steps(3));
        let simulation = run_simulation(simulation);

        assert_invariants(seed, &simulation);
    }
}
