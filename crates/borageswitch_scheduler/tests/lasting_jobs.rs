//! Simulations with many lasting jobs, none of which crashes executors. A failing test prints its
//! seed. `BORAGESWITCH_SEED=N` runs only that seed, `BORAGESWITCH_SEEDS=N` the first N seeds.

mod support;

use std::time::Duration;

use borageswitch_scheduler::{job::Step, ledger::record::Outcome};
use borageswitch_types::names::JobName;
use support::{
    fixtures::cores,
    simulation::{Faults, Simulation},
};

/// The default number of seeds, used in CI.
const SEEDS: u64 = 2;
/// The number of hosts.
const HOSTS: usize = 9;
/// The number of lasting jobs, and the tasks of each.
const LASTING_JOBS: u32 = 4;
const LASTING_TASKS: u32 = 8;
/// The number of ordinary jobs.
const ORDINARY_JOBS: u32 = 120;
/// The shortest and the longest time without faults at the end, in milliseconds.
const MIN_SETTLING_MS: u64 = 8_000;
const MAX_SETTLING_MS: u64 = 40_000;

/// A simulation and its lasting jobs.
struct Session {
    simulation: Simulation,
    lasting: Vec<JobName>,
}

impl Session {
    /// The lasting jobs that are shown as failed.
    fn failed(&self) -> Vec<&JobName> {
        let failed =
            |job: &&JobName| matches!(self.simulation.reported.get(*job), Some(Outcome::Failed));
        self.lasting.iter().filter(failed).collect()
    }

    /// Whether all ordinary jobs have ended and all lasting tasks run.
    fn is_settled(&self) -> bool {
        let (wanted, running) = self.simulation.lasting();
        wanted == running
            && self.simulation.open_jobs().is_empty()
            && self.simulation.orphan_runs().is_empty()
    }

    /// Ends all faults and runs on until the session has settled.
    fn settle(&mut self) {
        self.simulation.clear_faults();
        let begin = self.simulation.now;
        self.simulation.run(MIN_SETTLING_MS);
        while !self.is_settled() && self.simulation.now < begin + MAX_SETTLING_MS {
            self.simulation.run(1_000);
        }
    }
}

fn seeds() -> Vec<u64> {
    let read = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    match read("BORAGESWITCH_SEED") {
        Some(seed) => vec![seed],
        None => (0..read("BORAGESWITCH_SEEDS").unwrap_or(SEEDS)).collect(),
    }
}

/// Racks fail while leaders crash and the store is away.
fn rack_faults() -> Faults {
    Faults { rack_failure: 1, leader_crash: 1, store_outage: 1, ..Faults::default() }
}

/// All faults that end executors or hide why they ended.
fn all_faults() -> Faults {
    Faults {
        rack_failure: 1,
        executor_crash: 1,
        executor_partition: 1,
        host_removal: 1,
        wave: 1,
        late_lists: true,
        host_list_outage: 1,
        lost_response: 20,
        lost_order: 10,
        delayed_order: 10,
        store_outage: 1,
        leader_crash: 1,
        ..Faults::default()
    }
}

fn submit_lasting(simulation: &mut Simulation, number: u32) -> JobName {
    // Some jobs spread over the hosts, some are packed onto a few.
    let max_per_host = if number.is_multiple_of(2) { Some(1) } else { None };
    let step = Step {
        count: LASTING_TASKS,
        size: cores(1),
        lasting: true,
        max_per_host,
        estimate: Duration::from_millis(500),
        ..Step::default()
    };
    simulation.submit(vec![step])
}

fn submit_ordinary(simulation: &mut Simulation) {
    let step = Step {
        count: simulation.rng.u32(1..6),
        size: cores(simulation.rng.u64(1..4)),
        estimate: Duration::from_millis(simulation.rng.u64(200..1_500)),
        ..Step::default()
    };
    simulation.submit(vec![step]);
}

/// Simulates a minute of jobs under faults, then enough time without faults for all jobs to end.
fn simulate(seed: u64, faults: Faults) -> Session {
    let mut simulation = Simulation::with_hosts(seed, HOSTS, true, faults);
    let lasting = (0..LASTING_JOBS).map(|n| submit_lasting(&mut simulation, n)).collect();
    for _ in 0..ORDINARY_JOBS {
        submit_ordinary(&mut simulation);
        simulation.run(500);
    }
    let mut session = Session { simulation, lasting };
    session.settle();
    session
}

fn assert_invariants(seed: u64, session: &Session) {
    let simulation = &session.simulation;
    let failed = session.failed();
    assert!(failed.is_empty(), "seed {seed}: sound lasting jobs are shown as failed: {failed:?}");
    assert!(simulation.violations.is_empty(), "seed {seed}: {:?}", simulation.violations);
    let open = simulation.open_jobs();
    assert!(open.is_empty(), "seed {seed}: jobs that never ended: {open:?}");
    let orphan_runs = simulation.orphan_runs();
    assert!(orphan_runs.is_empty(), "seed {seed}: runs of jobs that are over: {orphan_runs:?}");
    let (wanted, running) = simulation.lasting();
    assert_eq!(running, wanted, "seed {seed}: lasting tasks that do not run");
}

#[test]
fn a_sound_lasting_job_is_never_shown_as_failed() {
    // Guards against lasting jobs that are given up because their executors kept ending by
    // failures of racks, maintenance, removals or expired leases.
    for seed in seeds() {
        let session = simulate(seed, all_faults());

        assert_invariants(seed, &session);
    }
}

#[test]
fn lasting_jobs_survive_rack_failures_before_changes_of_leader() {
    // Guards against taking long runs that an earlier leader started for runs that crashed their
    // executors at their start. In this seed five racks or executors end under one task.
    let session = simulate(116, rack_faults());

    assert_invariants(116, &session);
}

/// Prints violations by kind of faults. `BORAGESWITCH_REPORT` selects the kind; without it the test
/// does nothing.
#[test]
fn report() {
    let Ok(kind) = std::env::var("BORAGESWITCH_REPORT") else { return };
    let faults = match kind.as_str() {
        "racks" => rack_faults(),
        _ => all_faults(),
    };
    let (mut jobs, mut failed, mut given_up, mut other) = (0, 0, 0, 0);
    for seed in seeds() {
        let session = simulate(seed, faults);
        let simulation = &session.simulation;
        jobs += session.lasting.len();
        let wrong = session.failed();
        if !wrong.is_empty() {
            println!("seed {seed}: shown as failed: {wrong:?}");
        }
        failed += wrong.len();
        given_up += simulation.log_counts.get("task-given-up").copied().unwrap_or_default();
        let others = simulation.violations.iter().filter(|l| !l.contains("is reported as failed"));
        for line in others {
            println!("seed {seed}: {line}");
            other += 1;
        }
        let (wanted, running) = simulation.lasting();
        if running != wanted {
            println!("seed {seed}: {running} of {wanted} lasting tasks run");
        }
    }
    println!(
        "{kind}: {jobs} lasting jobs, {failed} shown as failed, {given_up} verdicts, {other} other \
         violations"
    );
}
