//! Tests single planning decisions: steps computed from a document and observations.

use std::{collections::BTreeSet, time::Duration};

use borageswitch_types::{
    Fleet, Time,
    agent::{AgentCommand, AgentStatus},
    fleet::{
        Author, ChangeRequest, FleetChange, HostPhase, HostPower, PLATFORM_LEAVES, Watts,
        WaveSettings, WaveStatus,
    },
    names::{HostName, OperationId, PoolName, WaveName},
    time::UnixMillis,
};

use crate::{
    changes, explain,
    model::{Region, RolloutStrategy, sites},
    steps::{
        Observed, Step,
        moves::{MAX_MOVES, loan_size},
        next_steps,
    },
};

fn host(index: usize) -> HostName {
    HostName::from(format!("h{index:04}"))
}

fn wave() -> WaveName {
    WaveName::from("spring")
}

/// Applies changes that must be accepted.
fn accept(fleet: &mut Fleet, changes: Vec<FleetChange>) {
    for change in changes {
        let req = ChangeRequest {
            operation: OperationId::from(format!("op-{}", fleet.revision.next())),
            expected: None,
            author: Author::Operator { name: "wei".into() },
            reason: "a test".into(),
            change,
        };
        changes::apply(fleet, &req).expect("the change is in order");
    }
}

/// Observations of a steady state: no change for an hour, and every agent is ready.
fn steady_state(fleet: &Fleet) -> Observed {
    let status = AgentStatus { ready: true, done: None, draw_watts: 100 };
    Observed {
        now: Time::from_millis(7_200_000),
        wall: UnixMillis(1_000_000),
        agents: fleet.hosts.keys().map(|name| (name.clone(), status.clone())).collect(),
        phase_since: fleet
            .hosts
            .keys()
            .map(|name| (name.clone(), Time::from_millis(3_600_000)))
            .collect(),
        ..Observed::default()
    }
}

fn ago(observed: &Observed, seconds: u64) -> Time {
    Time::from_micros(observed.now.as_micros() - seconds * 1_000_000)
}

fn changes_of(steps: Vec<Step>) -> Vec<FleetChange> {
    let change = |step| match step {
        Step::Change { change, .. } => Some(change),
        Step::Command { .. } => None,
    };
    steps.into_iter().filter_map(change).collect()
}

fn fleet_with_wave(settings: WaveSettings) -> Fleet {
    let mut fleet = sites::spotless_ridge(2, 2).fleet();
    let start = FleetChange::StartWave { wave: wave(), hosts: Vec::new(), settings };
    accept(&mut fleet, vec![start]);
    fleet
}

fn leaving_hosts(steps: Vec<Step>) -> Vec<HostName> {
    let leaving_host = |change| match change {
        FleetChange::BeginLeave { host, .. } => Some(host),
        _ => None,
    };
    changes_of(steps).into_iter().filter_map(leaving_host).collect()
}

/// Takes a host through a complete reboot of the wave.
fn reboot(fleet: &mut Fleet, name: &HostName) {
    accept(
        fleet,
        vec![
            FleetChange::BeginLeave { host: name.clone(), wave: wave() },
            FleetChange::FinishLeave { host: name.clone(), not_after: UnixMillis(9) },
        ],
    );
    let HostPhase::Rebooting { operation, .. } = fleet.hosts[name].phase.clone() else {
        panic!("{:?}", fleet.hosts[name]);
    };
    accept(
        fleet,
        vec![
            FleetChange::HostBack { host: name.clone(), operation },
            FleetChange::PassTrial { host: name.clone() },
        ],
    );
}

#[test]
fn a_steady_fleet_needs_no_step() {
    let fleet = sites::association(1, 3).fleet();

    assert_eq!(next_steps(&fleet, &steady_state(&fleet)), vec![]);
}

/// A bad image fails on every host of one type. Only one host of the type may be lost, not a batch.
#[test]
fn canaries_leave_first_one_of_each_type_and_spare_hosts_before_others() {
    let mut fleet = fleet_with_wave(WaveSettings::default());
    let other_type = host(7);
    let changed = fleet.hosts.get_mut(&other_type).expect("the site has it");
    changed.spec.draw.peak = Watts(1_700);

    let first = leaving_hosts(next_steps(&fleet, &steady_state(&fleet)));

    assert_eq!(first, vec![host(50), other_type]);
}

#[test]
fn batches_double_with_what_has_passed_and_halve_with_each_failure() {
    let mut fleet = fleet_with_wave(WaveSettings { max_batch: 6, ..WaveSettings::default() });
    let mut sizes = Vec::new();
    for index in [50, 51] {
        reboot(&mut fleet, &host(index));
        sizes.push(leaving_hosts(next_steps(&fleet, &steady_state(&fleet))).len());
    }
    reboot(&mut fleet, &host(0));
    reboot(&mut fleet, &host(1));
    sizes.push(leaving_hosts(next_steps(&fleet, &steady_state(&fleet))).len());
    accept(
        &mut fleet,
        vec![
            FleetChange::BeginLeave { host: host(2), wave: wave() },
            FleetChange::FailHost { host: host(2), reason: "it stayed away".into() },
        ],
    );
    sizes.push(leaving_hosts(next_steps(&fleet, &steady_state(&fleet))).len());

    assert_eq!(sizes, vec![2, 4, 6, 3]);
}

#[test]
fn too_many_failures_halt_the_wave_before_anything_else_reboots() {
    let settings = WaveSettings { max_failures: 0, canaries: 0, ..WaveSettings::default() };
    let mut fleet = fleet_with_wave(settings);
    let leave = |index| FleetChange::BeginLeave { host: host(index), wave: wave() };
    let fail = FleetChange::FailHost { host: host(50), reason: "it stayed away".into() };
    accept(&mut fleet, vec![leave(50), leave(51), fail]);
    let mut observed = steady_state(&fleet);
    observed.drained.insert(host(51));

    let planned = changes_of(next_steps(&fleet, &observed));
    let halts = |change: &FleetChange| matches!(change, FleetChange::HaltWave { .. });
    let reboots = |change: &FleetChange| matches!(change, FleetChange::FinishLeave { .. });

    assert!(planned.iter().any(halts) && !planned.iter().any(reboots), "{planned:?}");
}

/// A reboot command was lost and its validity has passed. Without a new command, a healthy host
/// would stand idle until its timeout and then count as failed.
#[test]
fn a_lost_reboot_command_is_renewed_only_after_it_has_expired() {
    let mut fleet = fleet_with_wave(WaveSettings::default());
    let until = UnixMillis(1_000_000);
    accept(
        &mut fleet,
        vec![
            FleetChange::BeginLeave { host: host(50), wave: wave() },
            FleetChange::FinishLeave { host: host(50), not_after: until },
        ],
    );
    let mut observed = steady_state(&fleet);
    observed.phase_since.insert(host(50), ago(&observed, 30));

    let in_time = next_steps(&fleet, &observed);
    observed.wall = UnixMillis(until.0 + 20_000);
    let late = changes_of(next_steps(&fleet, &observed));

    let Some(Step::Command { command: AgentCommand::Reboot { not_after, .. }, .. }) =
        in_time.first()
    else {
        panic!("{in_time:?}");
    };
    assert_eq!(*not_after, until);
    assert!(matches!(late[0], FleetChange::RenewReboot { not_after, .. } if not_after > until));
}

#[test]
fn a_host_that_does_not_return_fails() {
    let mut fleet = fleet_with_wave(WaveSettings::default());
    accept(
        &mut fleet,
        vec![
            FleetChange::BeginLeave { host: host(50), wave: wave() },
            FleetChange::FinishLeave { host: host(50), not_after: UnixMillis(1_000_000) },
        ],
    );
    let mut observed = steady_state(&fleet);
    observed.agents.remove(&host(50));

    let planned = changes_of(next_steps(&fleet, &observed));

    assert!(
        matches!(&planned[0], FleetChange::FailHost { host: failed, .. } if *failed == host(50))
    );
}

/// A switch fails, so all hosts of its rack go silent and return together. If they were failed one
/// by one, each would need a restart.
#[test]
fn a_single_silent_host_fails_and_a_whole_silent_rack_does_not() {
    let fleet = sites::association(1, 3).fleet();
    let silent = |hosts: &[usize]| {
        let mut observed = steady_state(&fleet);
        for index in hosts {
            observed.unreachable_since.insert(host(*index), ago(&observed, 130));
        }
        let planned = changes_of(next_steps(&fleet, &observed));
        planned.iter().filter(|change| matches!(change, FleetChange::FailHost { .. })).count()
    };

    assert_eq!(silent(&[0]), 1);
    assert_eq!(silent(&[0, 1, 2]), 3);
    assert_eq!(silent(&[0, 1, 2, 3]), 0);
}

/// A faulty release makes the payroll service respond to every request with an error. Its hosts are
/// healthy; failing them would leave payroll without hosts.
#[test]
fn hosts_do_not_fail_for_a_fault_of_their_service() {
    let fleet = sites::association(1, 3).fleet();
    let failing = |hosts: &[usize]| {
        let mut observed = steady_state(&fleet);
        observed.failing = hosts.iter().map(|index| (host(*index), "all fail".into())).collect();
        let planned = changes_of(next_steps(&fleet, &observed));
        planned.iter().filter(|change| matches!(change, FleetChange::FailHost { .. })).count()
    };

    assert_eq!(failing(&[2]), 1);
    assert_eq!(failing(&[2, 7, 12, 17, 22]), 0);
}

#[test]
fn a_failed_host_is_replaced_and_restarted_a_few_times() {
    let mut fleet = sites::association(0, 3).fleet();
    let fail = FleetChange::FailHost { host: host(0), reason: "smoke".into() };
    accept(&mut fleet, vec![fail.clone()]);

    let first = changes_of(next_steps(&fleet, &steady_state(&fleet)));
    fleet.hosts.get_mut(&host(0)).expect("it is there").failures = 3;
    let after_limit = changes_of(next_steps(&fleet, &steady_state(&fleet)));

    let restarts = |change: &FleetChange| matches!(change, FleetChange::StartHost { .. });
    let to = PoolName::from("pricing");
    let replaces = |change: &FleetChange| matches!(change, FleetChange::MoveHost { to: pool, .. } if *pool == to);
    assert!(first.iter().any(restarts) && first.iter().any(replaces), "{first:?}");
    assert!(
        !after_limit.iter().any(restarts) && after_limit.iter().any(replaces),
        "{after_limit:?}"
    );
}

/// A data centre is lost for a minute. Without a limit, a third of the fleet would be moving
/// between pools when it returns.
#[test]
fn a_lost_data_centre_causes_a_bounded_number_of_moves() {
    let fleet = sites::association(1, 20).fleet();
    let mut observed = steady_state(&fleet);
    let gone = fleet.hosts.iter().filter(|(_, h)| h.spec.data_centre.as_str() == "detroit");
    observed.unreachable_since = gone.map(|(n, _)| (n.clone(), ago(&observed, 40))).collect();

    let planned = changes_of(next_steps(&fleet, &observed));

    let moves = planned.iter().filter(|change| matches!(change, FleetChange::MoveHost { .. }));
    assert_eq!((moves.count(), planned.len()), (MAX_MOVES, MAX_MOVES));
}

#[test]
fn a_loan_is_made_while_rounds_weigh_more_than_moves() {
    let time = sites::weights(0, 1_000, 100);
    let moves = sites::weights(0, 100, 1_000);

    assert_eq!(loan_size(8, 0, 4, time), 4);
    assert_eq!(loan_size(8, 0, 4, moves), 1, "without any loan the wave would stand");
    assert_eq!(loan_size(8, 2, 4, moves), 0);
    assert_eq!(loan_size(8, 0, 0, time), 0);
    assert_eq!(loan_size(0, 0, 4, time), 0);
}

/// The cap is lowered further than throttling can reach. Hosts of the pools with the lowest
/// priority are stopped, each after a drain, but none while a throttle is pending.
#[test]
fn stops_come_after_throttles_and_by_priority() {
    let mut region = Region::new(sites::spotless_ridge(1, 3).fleet(), RolloutStrategy::Planner, 3);
    let low = Watts(region.fleet().power_cap.0 / 2);
    region
        .apply_operator_change(FleetChange::SetPowerCap { cap: low }, "the grid asks")
        .expect("accepted");

    region.run_for(Duration::from_secs(4));
    let throttling = region.decisions().iter().any(|line| line.contains("is throttled"));
    let stopped_early = region.decisions().iter().any(|line| line.contains("is stopped"));
    region.run_for(Duration::from_secs(400));
    let parked = |pool: &str| {
        let hosts = region.fleet().hosts.values();
        hosts.filter(|h| h.phase == HostPhase::Parked && h.pool.as_str() == pool).count()
    };

    assert!(throttling && !stopped_early);
    assert!(region.fleet().reserved_power() <= low);
    assert_eq!((parked("spare"), parked("rostering")), (3, 0));
    assert!(parked("back-office") > 0);
}

/// A throttled host reboots on its own and loses its throttle. Its power may be reserved for
/// another host, so it must be throttled again as soon as a reading shows the loss.
#[test]
fn a_lost_throttle_is_repeated() {
    let mut fleet = sites::spotless_ridge(1, 3).fleet();
    accept(&mut fleet, vec![FleetChange::BeginThrottle { host: host(0) }]);
    let HostPower::Throttling { operation } = fleet.hosts[&host(0)].power.clone() else {
        panic!("{:?}", fleet.hosts[&host(0)]);
    };
    let confirm = FleetChange::ConfirmThrottle { host: host(0), operation };
    let low = Watts(fleet.reserved_power().0 - 700);
    accept(&mut fleet, vec![confirm, FleetChange::SetPowerCap { cap: low }]);
    let mut observed = steady_state(&fleet);

    let unchanged = next_steps(&fleet, &observed);
    observed.agents.get_mut(&host(0)).expect("it answers").draw_watts = 1_500;
    let repeated = next_steps(&fleet, &observed);

    assert_eq!(unchanged, vec![]);
    assert!(matches!(
        &repeated[0],
        Step::Command { command: AgentCommand::Throttle { limit_watts: Some(1_100), .. }, .. }
    ));
}

#[test]
fn stopped_hosts_restart_when_the_cap_is_restored() {
    let mut region = Region::new(sites::spotless_ridge(1, 3).fleet(), RolloutStrategy::Planner, 3);
    let full = region.fleet().power_cap;
    let cap = |watts| FleetChange::SetPowerCap { cap: Watts(watts) };
    region.apply_operator_change(cap(full.0 / 2), "the grid asks").expect("accepted");
    region.run_for(Duration::from_secs(400));

    region.apply_operator_change(cap(full.0), "all clear").expect("accepted");
    region.run_for(Duration::from_secs(3_000));

    let serving = region.fleet().hosts.values().filter(|host| host.gives_capacity()).count();
    assert_eq!(serving, region.fleet().hosts.len());
    let limited = region.fleet().reserved_power();
    assert_eq!(limited, Watts(48 * 1_800));
}

/// Reboots fail. The wave must halt by itself and explain why.
#[test]
fn a_halted_wave_explains_itself() {
    let mut region = Region::new(sites::spotless_ridge(0, 5).fleet(), RolloutStrategy::Planner, 5);
    let broken: Vec<_> = (0..45).map(host).collect();
    region.break_reboots(&broken);
    let settings = sites::wave_settings(sites::weights(400, 400, 200));
    region.start_wave(&wave(), WaveSettings { max_failures: 0, ..settings });

    region.run_for(Duration::from_secs(1_200));

    let record = &region.fleet().waves[&wave()];
    assert!(matches!(record.status, WaveStatus::Halted { .. }));
    assert_eq!(record.failed.len(), 1, "the canary alone was lost");
    let lines = explain::wave(region.fleet(), &region.observed(), &wave());
    assert!(lines.iter().any(|line| line.contains("It stopped itself: 1 hosts failed")));
}

#[test]
fn explanations_of_unknown_objects_are_empty() {
    let fleet = sites::association(1, 3).fleet();
    let observed = steady_state(&fleet);

    assert!(explain::host(&fleet, &observed, &HostName::from("nobody")).is_empty());
    assert!(explain::pool(&fleet, &observed, &PoolName::from("nothing")).is_empty());
    assert!(explain::wave(&fleet, &observed, &wave()).is_empty());
}

/// The platform is about to take away more hosts of a pool than its budget allows. Hosts left in
/// service would have their requests cut; but trusting a wrong list without a limit would drain the
/// fleet.
#[test]
fn hosts_listed_as_leaving_are_held_within_limits() {
    let fleet = sites::association(1, 3).fleet();
    let mut observed = steady_state(&fleet);
    observed.listed_leaving = Some([host(0)].into());
    let one = held_hosts(next_steps(&fleet, &observed));
    observed.phase_since.insert(host(0), observed.now);
    let just_back = held_hosts(next_steps(&fleet, &observed));
    observed = steady_state(&fleet);
    observed.listed_leaving = Some(fleet.hosts.keys().cloned().collect());
    let wrong_list = held_hosts(next_steps(&fleet, &observed));

    assert_eq!((one, just_back), (vec![host(0)], vec![]));
    assert!(!wrong_list.is_empty() && wrong_list.len() < fleet.hosts.len(), "{wrong_list:?}");
}

/// A host that the list no longer shows as leaving serves again; one held by an operator stays
/// held.
#[test]
fn a_host_no_longer_listed_as_leaving_is_released() {
    let mut fleet = sites::association(1, 3).fleet();
    let observed = steady_state(&fleet);
    for (index, reason) in [(0, PLATFORM_LEAVES), (1, "a fan is loud")] {
        let held = HostPhase::Held { reason: reason.into() };
        fleet.hosts.get_mut(&host(index)).expect("it exists").phase = held;
    }
    let observed = Observed { listed_leaving: Some(BTreeSet::new()), ..observed };

    let released: Vec<HostName> = changes_of(next_steps(&fleet, &observed))
        .into_iter()
        .filter_map(|change| match change {
            FleetChange::ReleaseHost { host } => Some(host),
            _ => None,
        })
        .collect();

    assert_eq!(released, vec![host(0)]);
}

fn held_hosts(steps: Vec<Step>) -> Vec<HostName> {
    let hold = |change| match change {
        FleetChange::HoldHost { host, .. } => Some(host),
        _ => None,
    };
    changes_of(steps).into_iter().filter_map(hold).collect()
}
