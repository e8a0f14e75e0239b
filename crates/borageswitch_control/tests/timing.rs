//! Measures how fast nine daemons agree, with the default timeouts, in virtual time.

mod support;

use std::time::Duration;

use borageswitch_control::config::Guards;
use borageswitch_types::{
    Time,
    fleet::{Duty, FleetChange, Revision, Team},
    names::DaemonName,
};

use crate::support::{faults::Faults, world::World};

const STEP: Duration = Duration::from_millis(5);
const CHANGES: u64 = 200;

fn nine_daemons(seed: u64) -> World {
    let mut world = World::with_timing(seed, 9, Faults::none(), Guards::default(), false);
    world.run_until(Duration::from_secs(5));
    world
}

fn step(world: &mut World) {
    let now = world.now.since(Time::ZERO);
    world.run_until(now + STEP);
}

/// Runs until a condition holds and returns the time that it took.
fn time_until<F>(world: &mut World, limit: Duration, holds: F) -> Duration
where
    F: Fn(&World) -> bool,
{
    let began = world.now;
    while !holds(world) {
        assert!(world.now.since(began) < limit, "the limit of {limit:?} has passed");
        step(world);
    }
    world.now.since(began)
}

fn stored_revision(world: &World) -> Revision {
    world.checker.stored_fleet.as_ref().map(|fleet| fleet.revision).unwrap_or_default()
}

fn all_apply(world: &World, revision: Revision) -> bool {
    let views = world.daemons.values().map(|daemon| daemon.traffic.view.as_ref());
    views.into_iter().all(|view| view.is_some_and(|view| view.revision >= revision))
}

/// A quota change at any daemon must be applied by nine daemons within a second, in 99 of 100
/// cases, and be confirmed at that daemon soon after.
#[test]
fn a_change_is_in_force_on_nine_daemons_within_a_second() {
    let mut world = nine_daemons(1);
    let names = world.names();
    let (mut in_force, mut reported) = (Vec::new(), Vec::new());
    for number in 0..CHANGES {
        let daemon = names[number as usize % names.len()].clone();
        let spec = Team { weight: 1, slot_quota: number as u16 + 1 };
        let change = FleetChange::SetTeam { team: "payroll".into(), spec };
        let before = stored_revision(&world);

        world.change(&daemon, 10 + number, &format!("change-{number}"), change);
        let limit = Duration::from_secs(20);
        let is_sent_by = |world: &World| {
            stored_revision(world) > before && all_apply(world, stored_revision(world))
        };
        in_force.push(time_until(&mut world, limit, is_sent_by));
        let is_known = |world: &World| {
            world.daemons[&daemon].state.lagging_daemons(stored_revision(world)).is_empty()
        };
        reported.push(in_force[number as usize] + time_until(&mut world, limit, is_known));
        let pause = world.now.since(Time::ZERO) + Duration::from_millis(number % 7 * 130);
        world.run_until(pause);
    }

    let (in_force, reported) = (percentiles(in_force), percentiles(reported));
    println!("in force: {in_force:?}; known to be: {reported:?} (50th, 99th)");
    assert!(in_force.1 <= Duration::from_secs(1));
    assert!(reported.1 <= Duration::from_secs(2));
}

fn percentiles(mut times: Vec<Duration>) -> (Duration, Duration) {
    times.sort_unstable();
    (times[times.len() / 2], times[times.len() * 99 / 100])
}

fn planner(world: &World) -> Option<DaemonName> {
    let holds =
        |daemon: &&DaemonName| world.daemons[*daemon].state.duties_held().contains(&Duty::Planner);
    world.daemons.keys().find(holds).cloned()
}

/// When the planner's host crashes, another daemon must take over within ten seconds.
#[test]
fn a_crashed_planner_is_replaced_within_ten_seconds() {
    let mut times = Vec::new();
    for seed in 0..20 {
        let mut world = nine_daemons(seed);
        let holder = planner(&world).expect("a daemon plans");
        let wait = world.now.since(Time::ZERO) + Duration::from_millis(seed * 97);
        world.run_until(wait);

        world.crash(&holder);
        let limit = Duration::from_secs(10);
        times.push(time_until(&mut world, limit, |world| planner(world).is_some()));
    }
    println!("takeover: {:?} (50th, 99th of {})", percentiles(times.clone()), times.len());
}
