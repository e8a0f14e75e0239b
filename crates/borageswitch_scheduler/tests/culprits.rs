//! Long runs with tasks that crash whatever runs them. Each prints the seed that broke a promise;
//! `BORAGESWITCH_SEED=N` runs that seed alone, `BORAGESWITCH_SEEDS=N` runs so many.

mod support;

use std::time::Duration;

use borageswitch_scheduler::{job::Step, ledger::record::Outcome};
use borageswitch_types::names::JobName;
use support::{
    fixtures::cores,
    world::{Faults, World, culprits::Culprit},
};

/// How many seeds each run in CI takes.
const SEEDS: u64 = 20;
/// How many hosts there are.
const HOSTS: usize = 8;
/// How long after its start a task crashes its executor, at most, in milliseconds.
const AT_ONCE: u64 = 15;

fn seeds() -> Vec<u64> {
    let read = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    match read("BORAGESWITCH_SEED") {
        Some(seed) => vec![seed],
        None => (0..read("BORAGESWITCH_SEEDS").unwrap_or(SEEDS)).collect(),
    }
}

fn short(world: &mut World) -> Step {
    Step {
        count: world.rng.u32(1..6),
        size: cores(world.rng.u64(1..4)),
        estimate: Duration::from_millis(world.rng.u64(200..1_500)),
        ..Step::default()
    }
}

fn submit_culprit(world: &mut World, step: Step, tasks: u32) -> JobName {
    let job = world.submit(vec![step]);
    world.make_culprit(&job, Culprit { tasks, within: AT_ONCE });
    job
}

fn assert_given_up(seed: u64, world: &World, jobs: &[JobName]) {
    assert!(world.broken.is_empty(), "seed {seed}: {:?}", world.broken);
    for job in jobs {
        assert_eq!(world.shown.get(job), Some(&Outcome::Failed), "seed {seed}: {job}");
    }
    let open = world.open_jobs();
    assert!(open.is_empty(), "seed {seed}: jobs that never ended: {open:?}");
}

#[test]
fn a_task_that_crashes_every_executor_is_given_up() {
    // Guards against a task that is restarted without end and takes all hosts of its pool down.
    for seed in seeds() {
        let mut world = World::with_hosts(seed, HOSTS, true, Faults::default());
        world.run(2_000);
        let step = short(&mut world);
        let culprit = submit_culprit(&mut world, step, 1);
        for _ in 0..20 {
            let step = short(&mut world);
            world.submit(vec![step]);
            world.run(300);
        }
        world.run(30_000);

        assert_given_up(seed, &world, &[culprit]);
    }
}
