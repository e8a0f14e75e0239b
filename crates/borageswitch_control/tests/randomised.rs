//! Randomised runs of three to nine daemons in virtual time.
//!
//! `BORAGESWITCH_SEEDS=100000` runs that many seeds; `BORAGESWITCH_SEED=7` runs one again.

mod support;

use std::time::Duration;

use borageswitch_control::config::Guards;
use borageswitch_types::Time;

use crate::support::{faults::Faults, run, run_with_releases, world::World};

const SEEDS: u64 = 150;
const RELEASE_SEEDS: u64 = 40;
/// Seeds are shared among so many threads; each run is one thread's work.
const THREADS: usize = 3;
/// Seeds that have shown a fault: 210, a daemon that the planner had forgotten while it was paused
/// registered again and was not asked for its confirmation.
const REGRESSION_SEEDS: [u64; 1] = [210];
const RECOVERY_STEP: Duration = Duration::from_millis(100);
const RECOVERY_STEPS: usize = 50;

/// What is not as it should be long after the last fault, if anything.
fn unrecovered(world: &World) -> Option<String> {
    let truth = world.checker.stored_fleet.as_ref()?;
    for (daemon, fake) in &world.daemons {
        let revision = fake.state.fleet().map(|fleet| fleet.revision);
        if fake.state.fleet().is_none_or(|fleet| **fleet != *truth) {
            return Some(format!("{daemon} has revision {revision:?}, not {}", truth.revision));
        }
        if fake.traffic.admit_until <= world.now {
            return Some(format!("{daemon} takes no work"));
        }
        let lagging = fake.state.lagging_daemons(truth.revision);
        if !lagging.is_empty() {
            return Some(format!("seen from {daemon}, {lagging:?} lag behind {}", truth.revision));
        }
    }
    None
}

fn seeds(usual: u64) -> Vec<u64> {
    let read = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    match read("BORAGESWITCH_SEED") {
        Some(seed) => vec![seed],
        None => {
            let count = read("BORAGESWITCH_SEEDS").unwrap_or(usual);
            (0..count).chain(REGRESSION_SEEDS).collect()
        }
    }
}

/// Daemons are paused, cut off, split, crashed and replaced while operators race each other and
/// the store loses answers. A user would notice a broken promise as a request cut by a reboot, a
/// doubled payroll run or a configuration that comes back. Once the faults end, every daemon has
/// the store's document again and takes work.
#[test]
fn no_promise_breaks_and_all_recovers() {
    let seeds = seeds(SEEDS);
    let chunk_len = seeds.len().div_ceil(THREADS).max(1);
    let totals = std::thread::scope(|scope| {
        let handles: Vec<_> =
            seeds.chunks(chunk_len).map(|seeds| scope.spawn(|| run_seeds(seeds))).collect();
        let totals =
            handles.into_iter().map(|handle| handle.join().expect("no seed breaks a promise"));
        totals.fold([0; 3], |sum, part| std::array::from_fn(|i| sum[i] + part[i]))
    });

    println!("{} seeds; reboots, granted claims, requests: {totals:?}", seeds.len());
    assert!(totals.iter().all(|total| *total > 0), "the runs must exercise what they check");
}

/// Runs seeds one after the other, and counts reboots, granted claims and requests.
fn run_seeds(seeds: &[u64]) -> [u64; 3] {
    let mut totals = [0; 3];
    for seed in seeds {
        let mut world = run(*seed, Guards::default());
        let recovered = (0..RECOVERY_STEPS).any(|_| {
            world.run_until(world.now.since(Time::ZERO) + RECOVERY_STEP);
            unrecovered(&world).is_none()
        });
        assert!(recovered, "seed {seed}: {:?}", unrecovered(&world));
        let checker = &world.checker;
        totals[0] += checker.reboots;
        totals[1] += checker.grants;
        totals[2] += checker.requests;
    }
    totals
}

/// Granted requests are not sent, their claims are given back, some twice and some never, and their
/// callers send them again through any daemon, under every kind of fault. A clerk would notice a
/// broken promise as a payroll that runs twice, or as one that can not run at all.
#[test]
fn a_claim_that_is_given_back_is_granted_once_more() {
    let seeds = seeds(RELEASE_SEEDS);
    let chunk_len = seeds.len().div_ceil(THREADS).max(1);
    let totals = std::thread::scope(|scope| {
        let count = |seeds: &[u64]| {
            let counts = seeds.iter().map(|seed| {
                let checker = run_with_releases(*seed, Guards::default()).checker;
                [checker.grants, checker.releases, checker.grants_after_release]
            });
            counts.fold([0; 3], |sum, one| std::array::from_fn(|i| sum[i] + one[i]))
        };
        let handles: Vec<_> =
            seeds.chunks(chunk_len).map(|part| scope.spawn(move || count(part))).collect();
        let totals =
            handles.into_iter().map(|handle| handle.join().expect("no seed breaks a promise"));
        totals.fold([0; 3], |sum, part| std::array::from_fn(|i| sum[i] + part[i]))
    });

    println!("{} seeds; grants, releases, grants after a release: {totals:?}", seeds.len());
    let [_, releases, again] = totals;
    assert!(again * 2 > releases, "{again} of {releases} released requests were granted again");
}

/// Two hundred payrolls are refused at seven daemons on a quiet site, and each clerk comes back after
/// the shortest time that callers are told, through another daemon. All are granted once more.
#[test]
fn who_comes_back_when_told_finds_the_id_free() {
    let mut world = World::new(11, 7, Faults::none(), Guards::default());
    world.run_until(Duration::from_secs(3));
    let names = world.names();
    for id in 0..200 {
        world.claim(&names[id as usize % names.len()], id);
    }
    world.run_until(Duration::from_secs(5));

    (0..200).for_each(|id| world.release_granted(id));
    world.run_until(Duration::from_millis(5_200));
    for id in 0..200 {
        world.claim(&names[(id as usize + 1) % names.len()], id);
    }
    world.run_until(Duration::from_secs(8));

    let checker = &world.checker;
    assert_eq!([checker.grants, checker.releases, checker.grants_after_release], [400, 200, 200]);
}
