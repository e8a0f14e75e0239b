//! Long runs of the scheduler under random faults. Each prints the seed that broke a promise;
//! `BORAGESWITCH_SEED=N` runs that seed alone, `BORAGESWITCH_SEEDS=N` runs so many.

mod support;

use std::time::Duration;

use borageswitch_scheduler::{job::Step, ledger::record::Outcome};
use support::{
    fixtures::cores,
    world::{Faults, World},
};

/// How many seeds each run in CI takes.
const SEEDS: u64 = 40;

fn seeds() -> Vec<u64> {
    let read = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    match read("BORAGESWITCH_SEED") {
        Some(seed) => vec![seed],
        None => (0..read("BORAGESWITCH_SEEDS").unwrap_or(SEEDS)).collect(),
    }
}

fn random_job(world: &mut World) -> Vec<Step> {
    let steps = world.rng.u16(1..4);
    (0..steps)
        .map(|number| Step {
            count: world.rng.u32(1..6),
            size: cores(world.rng.u64(1..5)),
            estimate: Duration::from_millis(world.rng.u64(100..1_500)),
            after: if number == 0 { vec![] } else { vec![number - 1] },
            ..Step::default()
        })
        .collect()
}

fn lasting_job(count: u32) -> Vec<Step> {
    vec![Step {
        count,
        size: cores(2),
        lasting: true,
        max_per_host: Some(1),
        estimate: Duration::from_millis(500),
        ..Step::default()
    }]
}

/// Half a minute of jobs under faults, then calm until everything must have ended.
fn play(seed: u64, guards: bool, faults: Faults) -> World {
    let mut world = World::new(seed, 6, guards, faults);
    world.submit(lasting_job(3));
    play_in(world)
}

/// As [`play`], with two callers: one with room for all it sends, one whose quota binds, and is
/// lowered and raised meanwhile.
fn play_with_quotas(seed: u64, faults: Faults) -> World {
    let mut world = World::new(seed, 6, true, faults);
    world.set_quota("ample", cores(60));
    world.submit(lasting_job(3));
    world.set_quota("tight", cores(8));
    play_in(world)
}

fn play_in(mut world: World) -> World {
    for _ in 0..60 {
        let steps = random_job(&mut world);
        match world.rng.u32(..6) {
            0 => world.submit_timed(steps, 3),
            _ => world.submit(steps),
        };
        if world.rng.u32(..10) == 0 && world.has_callers() {
            let quota = world.rng.u64(3..12);
            world.set_quota("tight", cores(quota));
        }
        world.run(500);
    }
    world.calm_down();
    if world.has_callers() {
        // What has waited for its quota has to come to its end as well.
        world.set_quota("tight", cores(40));
    }
    world.run(40_000);
    world
}

fn must_hold(seed: u64, world: &World) {
    assert!(world.broken.is_empty(), "seed {seed}: {:?}", world.broken);
    let open = world.open_jobs();
    assert!(open.is_empty(), "seed {seed}: jobs that never ended: {open:?}");
    let leftovers = world.leftovers();
    assert!(leftovers.is_empty(), "seed {seed}: runs of jobs that are over: {leftovers:?}");
    let (wanted, running) = world.lasting();
    assert_eq!(running, wanted, "seed {seed}: lasting tasks that do not run");
}

#[test]
fn calm_runs_complete_everything() {
    for seed in seeds() {
        let world = play(seed, true, Faults::default());

        must_hold(seed, &world);
        let failed = world.shown.values().filter(|o| **o == Outcome::Failed).count();
        assert!(failed < 15, "seed {seed}: {failed} jobs failed");
    }
}

#[test]
fn lost_and_late_orders_double_nothing() {
    // Answers are lost, orders are lost, and some are carried out up to twelve seconds later. A
    // task started elsewhere too early runs twice, and its caller pays twice.
    let faults = Faults { lost_answer: 60, lost_order: 30, late_order: 40, ..Faults::default() };
    for seed in seeds() {
        let world = play(seed, true, faults);

        must_hold(seed, &world);
    }
}

#[test]
fn a_change_of_leader_doubles_and_loses_nothing() {
    // The leader dies again and again, between an assignment and its start, or between an end and
    // its acknowledgement. Its successor knows only what was stored.
    let faults = Faults { leader_dies: 4, late_order: 30, cancel: 1, ..Faults::default() };
    for seed in seeds() {
        let world = play(seed, true, faults);

        must_hold(seed, &world);
    }
}

#[test]
fn executors_that_die_or_are_cut_off_double_nothing() {
    // A host that is cut off works on until its lease ends; one that dies never answers again, and
    // its caller waits until the tasks run elsewhere.
    let faults = Faults { executor_dies: 1, executor_cut: 3, cancel: 1, ..Faults::default() };
    for seed in seeds() {
        let world = play(seed, true, faults);

        must_hold(seed, &world);
    }
}

#[test]
fn the_store_away_doubles_and_loses_nothing() {
    let faults = Faults { store_away: 2, leader_dies: 1, executor_cut: 1, ..Faults::default() };
    for seed in seeds() {
        let world = play(seed, true, faults);

        must_hold(seed, &world);
    }
}

#[test]
fn executors_that_guard_nothing_are_never_overfilled() {
    // These executors start whatever they are told to, also what does not fit. Overfilled, all
    // their tasks fail or crawl. What is being stopped, or may yet arrive, takes room as well.
    let faults = Faults {
        lost_answer: 40,
        late_order: 30,
        leader_dies: 2,
        executor_cut: 2,
        cancel: 4,
        ..Faults::default()
    };
    for seed in seeds() {
        let world = play(seed, false, faults);

        must_hold(seed, &world);
    }
}

#[test]
fn all_faults_at_once() {
    let faults = Faults {
        lost_answer: 30,
        lost_order: 20,
        late_order: 20,
        leader_dies: 1,
        executor_dies: 1,
        executor_cut: 1,
        store_away: 1,
        cancel: 2,
        ..Faults::default()
    };
    for seed in seeds() {
        let world = play(seed, true, faults);

        must_hold(seed, &world);
    }
}

#[test]
fn a_quota_is_kept_whatever_fails() {
    // Orders get no answer or arrive late, the leader dies between an order and its answer, jobs are
    // cancelled while their tasks run, and the quota changes. A caller whose tasks are counted too
    // low takes hosts for which others have been promised their share.
    let faults = [
        Faults::default(),
        Faults { lost_answer: 60, lost_order: 30, late_order: 40, ..Faults::default() },
        Faults { leader_dies: 4, lost_order: 200, cancel: 12, ..Faults::default() },
        Faults {
            leader_dies: 2,
            executor_dies: 1,
            executor_cut: 3,
            cancel: 4,
            ..Faults::default()
        },
        Faults { store_away: 2, leader_dies: 1, cancel: 4, lost_answer: 30, ..Faults::default() },
    ];
    for seed in seeds() {
        let faults = faults[seed as usize % faults.len()];
        let world = play_with_quotas(seed, faults);

        must_hold(seed, &world);
    }
}
