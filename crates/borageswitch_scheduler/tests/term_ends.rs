//! What the next leader knows if a term ends between two appends, with any number of records queued.

mod support;

use std::{collections::BTreeMap, time::Duration};

use borageswitch_scheduler::job::Step;
use support::{
    fixtures::cores,
    simulation::{Faults, Simulation, store::TermEnd},
};

/// The number of seeds of simulations with many ends of terms.
const SEEDS: u64 = 40;
/// The number of seeds of simulations with waves.
const WAVE_SEEDS: u64 = 8;
/// The number of seeds of the simulations that are repeated for each of their appends.
const REPEATED_SEEDS: u64 = 2;

fn random_steps(simulation: &mut Simulation) -> Vec<Step> {
    let steps = simulation.rng.u16(1..3);
    let step = |number| Step {
        count: simulation.rng.u32(1..12),
        size: cores(1),
        estimate: Duration::from_millis(simulation.rng.u64(50..800)),
        after: if number == 0 { vec![] } else { vec![number - 1] },
        ..Step::default()
    };
    (0..steps).map(step).collect()
}

/// Simulates jobs whose records are queued faster than they are stored, and requests that arrive
/// twice, then enough time for all jobs to end.
fn simulate(seed: u64, jobs: u32, term_end: Option<TermEnd>) -> Simulation {
    let faults = Faults {
        lost_response: 10,
        delayed_order: 10,
        cancel: 2,
        refused_removal: 100,
        ..Faults::default()
    };
    let mut simulation = Simulation::new(seed, 4, true, faults);
    simulation.limits.records_per_append = simulation.rng.usize(1..8);
    simulation.term_end = term_end;
    for number in 0..jobs {
        let steps = random_steps(&mut simulation);
        match number % 4 {
            3 => simulation.submit_timed(steps, 2),
            _ => simulation.submit(steps),
        };
        simulation.run(150);
        simulation.resubmit_one();
        simulation.run(150);
    }
    simulation.clear_faults();
    simulation
}

fn assert_invariants(what: &str, simulation: &Simulation) {
    assert!(simulation.violations.is_empty(), "{what}: {:?}", simulation.violations);
    let open = simulation.open_jobs();
    assert!(open.is_empty(), "{what}: jobs that never ended: {open:?}");
    let orphan_runs = simulation.orphan_runs();
    assert!(orphan_runs.is_empty(), "{what}: runs of jobs that are over: {orphan_runs:?}");
}

/// Simulates jobs and maintenance waves on hosts while each term ends after a few appends.
fn simulate_waves(seed: u64) -> Simulation {
    let faults = Faults { lost_response: 10, wave: 3, ..Faults::default() };
    let mut simulation = Simulation::with_hosts(seed, 8, true, faults);
    simulation.limits.records_per_append = simulation.rng.usize(1..4);
    // A leader waits for some seconds before it sends orders for hosts.
    simulation.term_end = Some(TermEnd::EachAppendInTurn);
    for _ in 0..40 {
        let steps = random_steps(&mut simulation);
        simulation.submit(steps);
        simulation.run(500);
    }
    simulation.clear_faults();
    simulation
}

#[test]
fn the_next_leader_knows_all_that_was_released_whichever_append_is_the_last() {
    // Guards against effects and removals of keys that go before the record that they depend on.
    let mut checked = BTreeMap::new();
    let jobs = (0..SEEDS).map(|seed| simulate(seed, 24, Some(TermEnd::EachAppendInTurn)));
    for (number, mut simulation) in jobs.chain((0..WAVE_SEEDS).map(simulate_waves)).enumerate() {
        simulation.term_end = None;
        simulation.run(30_000);

        assert_invariants(&format!("simulation {number}"), &simulation);
        for (kind, count) in &simulation.store.checked {
            *checked.entry(*kind).or_insert(0) += count;
        }
    }
    let kinds: Vec<&str> = checked.keys().copied().collect();
    let all = ["acknowledgement", "host order", "outcome", "removal", "start", "wave report"];
    assert_eq!(kinds, all, "{checked:?}");
}

#[test]
fn jobs_end_once_whichever_append_is_the_last_of_a_term() {
    // Guards against jobs that are lost, or run again, by the end of a term between two appends.
    for seed in 0..REPEATED_SEEDS {
        let appends = simulate(seed, 4, None).store.last_append();
        for append in 1..=appends {
            for term_end in [TermEnd::BeforeConfirmation(append), TermEnd::AfterEffects(append)] {
                let mut simulation = simulate(seed, 4, Some(term_end));
                simulation.run(14_000);

                assert_invariants(&format!("seed {seed}, {term_end:?}"), &simulation);
            }
        }
    }
}

#[test]
fn submissions_whose_removal_is_refused_are_not_taken_for_new_jobs() {
    // Guards against dropping the outcome of a job whose submission is still stored.
    let faults = Faults { refused_removal: 900, ..Faults::default() };
    let mut simulation = Simulation::new(7, 4, true, faults);
    for _ in 0..100 {
        let steps = random_steps(&mut simulation);
        simulation.submit(steps);
        simulation.run(2_000);
    }
    simulation.crash_leader(50);
    simulation.clear_faults();
    simulation.run(40_000);

    assert_invariants("a store that refuses removals", &simulation);
}
