//! Snapshot tests of whole sessions of a region: every decision with its time and reason.

mod support;

use std::time::Duration;

use borageswitch_control::config::Guards;
use borageswitch_types::{
    fleet::{Duty, FleetChange, WaveSettings},
    names::DaemonName,
};
use borageswitch_wire::operator::{OperatorAnswer, OperatorRequest};

use crate::support::{faults::Faults, host_name, world::World};

const SEED: u64 = 7;

fn region() -> World {
    let mut world = World::new(SEED, 3, Faults::none(), Guards::default());
    world.run_until(Duration::from_secs(3));
    world
}

fn start_wave(world: &mut World, hosts: std::ops::Range<usize>) {
    let settings = WaveSettings { trial: Duration::from_millis(300), ..Default::default() };
    let hosts = hosts.map(host_name).collect();
    let change = FleetChange::StartWave { wave: "wave".into(), hosts, settings };
    let daemon = world.names()[0].clone();
    world.change(&daemon, 2, "start", change);
}

fn planner(world: &World) -> DaemonName {
    let holds =
        |daemon: &&DaemonName| world.daemons[*daemon].state.duties_held().contains(&Duty::Planner);
    world.daemons.keys().find(holds).expect("a daemon plans").clone()
}

/// The decisions, with times in tenths of a second, and the responses to operators.
fn session(world: &World) -> String {
    let decisions = world.decisions.iter();
    let decisions =
        decisions.map(|(at, text)| format!("{:5.1} {text}", at.as_micros() as f64 / 1e6));
    let responses = world.responses.iter();
    let responses =
        responses.map(|(daemon, call, response)| format!("{daemon} answers {call}: {response:?}"));
    decisions.chain(responses).collect::<Vec<_>>().join("\n")
}

/// The store becomes unavailable to all daemons during a wave. They must keep serving by majority,
/// and the wave must continue once the store is back.
#[test]
fn a_store_outage_in_the_middle_of_a_wave() {
    let mut world = region();
    start_wave(&mut world, 0..4);
    world.run_until(Duration::from_millis(3_600));

    for daemon in world.names() {
        world.cut_from_store(&daemon, Duration::from_secs(8));
    }
    world.run_until(Duration::from_secs(30));

    assert_eq!(world.checker.reboots, 4);
    insta::assert_snapshot!(session(&world));
}

/// The planner's process is paused for longer than its lease. Another daemon must take over within
/// ten seconds, and the first one's effects after it resumes must be ignored.
#[test]
fn a_paused_holder_is_replaced() {
    let mut world = region();
    let holder = planner(&world);
    start_wave(&mut world, 0..4);
    world.run_until(Duration::from_millis(3_300));

    world.pause(&holder, Duration::from_secs(12));
    world.run_until(Duration::from_secs(13));
    let next = planner_other_than(&world, &holder);
    world.run_until(Duration::from_secs(40));

    assert_ne!(next, holder);
    assert_eq!(world.checker.reboots, 4);
    insta::assert_snapshot!(session(&world));
}

fn planner_other_than(world: &World, holder: &DaemonName) -> DaemonName {
    let others = world.daemons.iter().filter(|(daemon, _)| *daemon != holder);
    let mut holders = others.filter(|(_, d)| d.state.duties_held().contains(&Duty::Planner));
    holders.next().expect("another daemon plans by now").0.clone()
}

/// Two operators change the same host through two daemons at the same time. One change must be
/// accepted and the other refused with a reason; repeating the accepted operation must return the
/// same revision.
#[test]
fn racing_operators() {
    let mut world = region();
    let names = world.names();
    let hold = FleetChange::HoldHost { host: host_name(3), reason: "a broken fan".into() };
    let moved = FleetChange::MoveHost { host: host_name(3), to: "office".into() };

    world.change(&names[1], 2, "hold", hold.clone());
    world.change(&names[2], 3, "move", moved);
    world.run_until(Duration::from_millis(3_500));
    world.change(&names[2], 4, "hold", hold);
    let wait =
        |revision| OperatorRequest::WaitInForce { revision, timeout: Duration::from_secs(2) };
    let truth = world.checker.stored_fleet.as_ref().map(|fleet| fleet.revision).unwrap_or_default();
    world.operator_request(&names[1], 5, wait(truth));
    world.run_until(Duration::from_secs(5));

    let in_force = |response: &OperatorAnswer| matches!(response, OperatorAnswer::InForce { lagging, .. } if lagging.is_empty());
    assert!(world.responses.iter().any(|(_, _, response)| in_force(response)));
    insta::assert_snapshot!(session(&world));
}

/// The store writes a claim but its response is lost. The entry must read the claim back and
/// recognise its own nonce, and a retry through another entry must be refused, so that the request
/// runs once.
#[test]
fn a_lost_answer_after_a_claim() {
    let mut world = region();
    let names = world.names();

    world.lose_next_append = true;
    world.claim(&names[0], 1);
    world.run_until(Duration::from_millis(4_600));
    world.claim(&names[1], 1);
    world.run_until(Duration::from_secs(7));

    assert_eq!(world.checker.grants, 1);
    insta::assert_snapshot!(session(&world) + &format!("\nclaims: {:?}", world.checker.outcomes));
}
