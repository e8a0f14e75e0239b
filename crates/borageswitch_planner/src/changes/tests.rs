//! Tests the effect and the refusals of each change.

use std::time::Duration;

use borageswitch_types::{
    Fleet,
    fleet::{
        Author, ChangeRequest, Duty, Fence, FleetChange, HostPhase, HostPower, Pool, Refusal,
        Revision, SiteConfig, Team, Watts, WaveSettings, WaveStatus,
    },
    names::{CallerName, HostName, OperationId, PoolName, ServiceName, TeamName, WaveName},
    time::UnixMillis,
};

use crate::{
    changes::apply,
    model::sites::{self, SPARE_POOL},
};

const SOON: UnixMillis = UnixMillis(1_000);

fn site() -> Fleet {
    sites::spotless_ridge(1, 2).fleet()
}

fn declared() -> SiteConfig {
    sites::spotless_ridge(1, 2).config()
}

fn host(at: usize) -> HostName {
    HostName::from(format!("h{at:04}"))
}

fn wave() -> WaveName {
    WaveName::from("spring")
}

fn request(fleet: &Fleet, change: FleetChange) -> ChangeRequest {
    ChangeRequest {
        operation: OperationId::from(format!("op-{}", fleet.revision.next())),
        expected: None,
        author: Author::Operator { name: "ayesha".into() },
        reason: "a test".into(),
        change,
    }
}

fn change(fleet: &mut Fleet, change: FleetChange) -> Result<Revision, Refusal> {
    let req = request(fleet, change);
    apply(fleet, &req)
}

/// Applies changes that must be accepted.
fn accept(fleet: &mut Fleet, changes: Vec<FleetChange>) {
    for one in changes {
        let done = change(fleet, one.clone());
        assert!(done.is_ok(), "{one:?}: {done:?}");
    }
}

fn start_wave(hosts: &[usize]) -> FleetChange {
    let hosts = hosts.iter().map(|at| host(*at)).collect();
    FleetChange::StartWave { wave: wave(), hosts, settings: WaveSettings::default() }
}

fn hold(at: usize) -> FleetChange {
    FleetChange::HoldHost { host: host(at), reason: "a look".into() }
}

fn finish_leave(at: usize) -> FleetChange {
    FleetChange::FinishLeave { host: host(at), not_after: SOON }
}

fn field_of(refusal: Refusal) -> String {
    match refusal {
        Refusal::Invalid { field, .. }
        | Refusal::Unknown { field, .. }
        | Refusal::WrongState { field, .. } => field.to_string(),
        other => panic!("no field is named: {other}"),
    }
}

#[test]
fn a_repeated_operation_changes_nothing_more() {
    let mut fleet = site();
    let req = request(&fleet, hold(0));

    let first = apply(&mut fleet, &req);
    let after = fleet.clone();
    let second = apply(&mut fleet, &req);

    assert_eq!(first, second);
    assert_eq!(fleet, after);
}

/// Two operators make concurrent changes. The later one must be refused with the changes made
/// since, instead of overwriting them.
#[test]
fn a_revision_conflict_lists_the_changes_since() {
    let mut fleet = site();
    let seen = fleet.revision;
    accept(&mut fleet, vec![hold(0)]);
    let mut late = request(&fleet, hold(1));
    late.expected = Some(seen);

    let refusal = apply(&mut fleet, &late).unwrap_err();

    let Refusal::RevisionConflict { expected, found, since } = refusal else {
        panic!("{refusal}");
    };
    assert_eq!((expected, found), (seen, seen.next()));
    assert_eq!(&*since, "a test");
}

/// A planner is paused beyond the end of its lease and then writes. Its write must not undo changes
/// of its successor.
#[test]
fn a_holder_with_an_old_fencing_token_is_refused() {
    let mut fleet = site();
    let holder = |fence| Author::Holder { duty: Duty::Planner, fence: Fence(fence) };
    let mut new = request(&fleet, FleetChange::TakeDuty { duty: Duty::Planner });
    new.author = holder(5);
    apply(&mut fleet, &new).unwrap();
    let before = fleet.clone();
    let mut old = request(&fleet, hold(0));
    old.author = holder(4);

    let refusal = apply(&mut fleet, &old).unwrap_err();

    assert_eq!(refusal, Refusal::Fenced { duty: Duty::Planner });
    assert_eq!(fleet, before);
}

#[test]
fn an_invalid_site_is_refused_with_the_name_of_its_field() {
    type Modify = fn(&mut SiteConfig);
    let cases: [(&str, Modify); 9] = [
        ("entries_expected", |site| site.entries_expected = 0),
        ("services.payroll.pool", |site| {
            site.services.get_mut("payroll").unwrap().pool = PoolName::from("nowhere");
        }),
        ("services.payroll.limits.default_deadline", |site| {
            site.services.get_mut("payroll").unwrap().limits.default_deadline =
                Duration::from_secs(9_999);
        }),
        ("services.payroll.limits.retry_permille", |site| {
            site.services.get_mut("payroll").unwrap().limits.retry_permille = 1_001;
        }),
        ("hosts.h0003.slots", |site| site.hosts.get_mut("h0003").unwrap().0.slots = 0),
        ("hosts.h0003.pool", |site| {
            site.hosts.get_mut("h0003").unwrap().1 = PoolName::from("nowhere");
        }),
        ("hosts.h0004.addresses", |site| {
            let taken = site.hosts["h0003"].0.addresses;
            site.hosts.get_mut("h0004").unwrap().0.addresses = taken;
        }),
        ("callers.clerk", |site| {
            site.callers.insert(CallerName::from("clerk"), TeamName::from("nobody"));
        }),
        ("pools", |site| {
            site.pools.insert(PoolName::from("No Such"), Pool::default());
        }),
    ];
    for (field, modify) in cases {
        let mut fleet = site();
        let before = fleet.clone();
        let mut bad = declared();
        modify(&mut bad);

        let refusal = change(&mut fleet, FleetChange::ApplySite(Box::new(bad))).unwrap_err();

        assert_eq!(field_of(refusal), field);
        assert_eq!(fleet, before, "{field}: a refused change must lose nothing");
    }
}

#[test]
fn applying_a_site_keeps_the_phases_of_hosts() {
    let mut fleet = site();
    accept(&mut fleet, vec![hold(0)]);
    let before = fleet.hosts.clone();

    accept(&mut fleet, vec![FleetChange::ApplySite(Box::new(declared()))]);

    assert_eq!(fleet.hosts, before);
}

#[test]
fn a_host_must_be_held_before_it_is_no_longer_declared() {
    let mut fleet = site();
    let mut smaller = declared();
    smaller.hosts.remove("h0000");
    let apply_smaller = FleetChange::ApplySite(Box::new(smaller));

    let refused = change(&mut fleet, apply_smaller.clone()).unwrap_err();
    accept(&mut fleet, vec![hold(0), finish_leave(0), apply_smaller]);

    assert_eq!(field_of(refused), "hosts");
    assert!(!fleet.hosts.contains_key("h0000"));
}

#[test]
fn a_budget_that_the_pool_cannot_meet_is_refused() {
    let mut fleet = site();
    let mut greedy = fleet.services["payroll"].clone();
    greedy.promised_slots = 1_000;
    let spec = greedy.clone();

    let refusal =
        change(&mut fleet, FleetChange::SetService { service: ServiceName::from("payroll"), spec });

    let service = ServiceName::from("payroll");
    assert_eq!(refusal, Err(Refusal::BudgetBroken { service, left: 64, promised: 1_000 }));
}

#[test]
fn a_hold_or_move_that_violates_a_budget_is_refused_with_its_service() {
    let mut fleet = site();
    accept(&mut fleet, vec![hold(0)]);
    let service = ServiceName::from("rostering");
    let broken = Err(Refusal::BudgetBroken { service, left: 48, promised: 56 });

    let held = change(&mut fleet, hold(5));
    let to = PoolName::from(SPARE_POOL);
    let moved = change(&mut fleet, FleetChange::MoveHost { host: host(5), to });

    assert_eq!(held, broken);
    assert_eq!(moved, broken);
}

#[test]
fn a_move_changes_the_pool_only_after_the_drain() {
    let mut fleet = site();
    let to = PoolName::from(SPARE_POOL);
    let epoch = fleet.hosts["h0000"].epoch;

    accept(&mut fleet, vec![FleetChange::MoveHost { host: host(0), to: to.clone() }]);
    let during = fleet.hosts["h0000"].clone();
    accept(&mut fleet, vec![finish_leave(0)]);
    let after = &fleet.hosts["h0000"];

    assert_eq!(during.pool, PoolName::from("rostering"));
    assert!(!during.gives_capacity());
    assert_eq!((&after.pool, &after.phase), (&to, &HostPhase::Serving));
    assert!(epoch < during.epoch && during.epoch < after.epoch);
}

#[test]
fn a_pool_in_use_is_not_removed() {
    let mut fleet = site();
    let pool = PoolName::from("annex");
    let spec = Pool::default();
    accept(
        &mut fleet,
        vec![
            FleetChange::SetPool { pool: pool.clone(), spec },
            FleetChange::MoveHost { host: host(0), to: pool.clone() },
        ],
    );

    let refused = change(&mut fleet, FleetChange::RemovePool { pool: pool.clone() });
    accept(&mut fleet, vec![FleetChange::ReleaseHost { host: host(0) }]);
    accept(&mut fleet, vec![FleetChange::RemovePool { pool }]);

    assert_eq!(field_of(refused.unwrap_err()), "pool");
}

#[test]
fn removing_a_team_removes_its_callers() {
    let mut fleet = site();
    let team = TeamName::from("clerks");
    let caller = CallerName::from("thandi");
    let spec = Team { weight: 1, slot_quota: 4 };
    accept(
        &mut fleet,
        vec![
            FleetChange::SetTeam { team: team.clone(), spec },
            FleetChange::SetCaller { caller, team: team.clone() },
            FleetChange::RemoveTeam { team },
        ],
    );

    assert!(fleet.teams.is_empty() && fleet.callers.is_empty());
}

#[test]
fn a_host_goes_through_a_wave_and_serves_again() {
    let mut fleet = site();
    accept(
        &mut fleet,
        vec![
            start_wave(&[0]),
            FleetChange::BeginLeave { host: host(0), wave: wave() },
            finish_leave(0),
        ],
    );
    let HostPhase::Rebooting { operation, .. } = fleet.hosts["h0000"].phase.clone() else {
        panic!("{:?}", fleet.hosts["h0000"]);
    };
    let stale = FleetChange::HostBack { host: host(0), operation: OperationId::from("older") };

    let refused = change(&mut fleet, stale).unwrap_err();
    accept(
        &mut fleet,
        vec![
            FleetChange::HostBack { host: host(0), operation },
            FleetChange::PassTrial { host: host(0) },
            FleetChange::FinishWave { wave: wave() },
        ],
    );

    assert_eq!(field_of(refused), "operation");
    assert_eq!(fleet.waves[&wave()].status, WaveStatus::Finished);
    assert!(fleet.waves[&wave()].done.contains("h0000"));
    assert_eq!(fleet.hosts["h0000"].phase, HostPhase::Serving);
}

#[test]
fn a_host_is_in_one_wave_at_a_time() {
    let mut fleet = site();
    accept(&mut fleet, vec![start_wave(&[0])]);
    let second = FleetChange::StartWave {
        wave: WaveName::from("autumn"),
        hosts: vec![host(0)],
        settings: WaveSettings::default(),
    };

    let refusal = change(&mut fleet, second).unwrap_err();

    assert_eq!(field_of(refusal), "hosts");
}

/// When an operator pauses a wave, a host that has not rebooted yet must serve again at once and
/// stay pending; a host that is rebooting finishes first.
#[test]
fn a_paused_wave_returns_hosts_that_have_not_rebooted() {
    let mut fleet = site();
    let leave = |at| FleetChange::BeginLeave { host: host(at), wave: wave() };
    accept(&mut fleet, vec![start_wave(&[0, 1]), leave(0), finish_leave(0), leave(1)]);

    accept(&mut fleet, vec![FleetChange::PauseWave { wave: wave() }]);
    let refused = change(&mut fleet, leave(1)).unwrap_err();

    let record = &fleet.waves[&wave()];
    assert!(record.out.contains("h0000") && record.pending.contains("h0001"));
    assert_eq!(fleet.hosts["h0001"].phase, HostPhase::Serving);
    assert_eq!(field_of(refused), "wave");
    accept(&mut fleet, vec![FleetChange::ResumeWave { wave: wave() }, leave(1)]);
}

#[test]
fn an_aborted_wave_skips_its_remaining_hosts() {
    let mut fleet = site();
    let leave = |at| FleetChange::BeginLeave { host: host(at), wave: wave() };
    accept(&mut fleet, vec![start_wave(&[0, 1, 2]), leave(0), leave(1), finish_leave(1)]);

    accept(&mut fleet, vec![FleetChange::AbortWave { wave: wave() }]);

    let record = &fleet.waves[&wave()];
    assert_eq!(record.skipped.len(), 2);
    assert_eq!(record.out.len(), 1);
    let early = change(&mut fleet, FleetChange::FinishWave { wave: wave() });
    assert_eq!(field_of(early.unwrap_err()), "wave");
}

#[test]
fn resuming_a_halted_wave_accepts_the_failures_so_far() {
    let mut fleet = site();
    let settings = WaveSettings { max_failures: 0, ..WaveSettings::default() };
    let hosts = vec![host(0), host(1)];
    accept(
        &mut fleet,
        vec![
            FleetChange::StartWave { wave: wave(), hosts, settings },
            FleetChange::BeginLeave { host: host(0), wave: wave() },
            finish_leave(0),
            FleetChange::FailHost { host: host(0), reason: "it stayed away".into() },
            FleetChange::HaltWave { wave: wave(), reason: "1 host failed".into() },
            FleetChange::ResumeWave { wave: wave() },
        ],
    );

    let record = &fleet.waves[&wave()];
    assert_eq!((record.settings.max_failures, record.failed.len()), (1, 1));
    assert_eq!(record.status, WaveStatus::Running);
}

#[test]
fn a_throttle_counts_only_once_it_is_confirmed() {
    let mut fleet = site();
    let reserved = fleet.reserved_power();
    accept(&mut fleet, vec![FleetChange::BeginThrottle { host: host(0) }]);
    let asked = fleet.reserved_power();
    let HostPower::Throttling { operation } = fleet.hosts["h0000"].power.clone() else {
        panic!("{:?}", fleet.hosts["h0000"]);
    };
    let confirm = |operation| FleetChange::ConfirmThrottle { host: host(0), operation };

    let stale = change(&mut fleet, confirm(OperationId::from("older"))).unwrap_err();
    accept(&mut fleet, vec![confirm(operation)]);

    assert_eq!(field_of(stale), "operation");
    assert_eq!(asked, reserved);
    assert_eq!(fleet.reserved_power(), Watts(reserved.0 - 700));
}

/// The cap is lowered below the reserved power. The change must be accepted, or no cap could be
/// lowered in use; no later change may increase the reservation until it is below the cap.
#[test]
fn a_lowered_cap_is_accepted_and_no_reservation_grows_above_it() {
    let mut fleet = site();
    let low = Watts(fleet.reserved_power().0 - 500);
    let leave = FleetChange::BeginLeave { host: host(0), wave: wave() };
    accept(&mut fleet, vec![start_wave(&[0]), leave, FleetChange::SetPowerCap { cap: low }]);
    let needed = Watts(fleet.reserved_power().0 + 400);

    let reboot = change(&mut fleet, finish_leave(0));
    let throttle = change(&mut fleet, FleetChange::BeginThrottle { host: host(1) });

    assert_eq!(reboot, Err(Refusal::PowerExceeded { needed, cap: low }));
    assert!(throttle.is_ok());
}

#[test]
fn a_host_is_stopped_for_power_only_above_the_cap() {
    let mut fleet = site();
    let park = FleetChange::ParkHost { host: host(0) };

    let refused = change(&mut fleet, park.clone());
    let low = Watts(fleet.reserved_power().0 - 1);
    accept(&mut fleet, vec![FleetChange::SetPowerCap { cap: low }, park, finish_leave(0)]);
    let off = FleetChange::ConfirmOff { host: host(0) };
    accept(&mut fleet, vec![off]);

    assert_eq!(field_of(refused.unwrap_err()), "host");
    assert_eq!(fleet.hosts["h0000"].phase, HostPhase::Parked);
    assert_eq!(fleet.hosts["h0000"].reserved_power(), Watts(0));
}

/// A host fails while it boots and an operator releases it. It may still be booting: if only its
/// peak were reserved, the difference between peak and boot surge could be spent twice.
#[test]
fn a_host_that_failed_while_booting_is_switched_off_before_it_serves() {
    let mut fleet = site();
    accept(
        &mut fleet,
        vec![
            start_wave(&[0]),
            FleetChange::BeginLeave { host: host(0), wave: wave() },
            finish_leave(0),
            FleetChange::FailHost { host: host(0), reason: "it stayed away".into() },
        ],
    );
    let failed = fleet.hosts["h0000"].reserved_power();

    accept(&mut fleet, vec![FleetChange::ReleaseHost { host: host(0) }]);
    let released = fleet.hosts["h0000"].clone();
    accept(&mut fleet, vec![FleetChange::ConfirmOff { host: host(0) }]);
    accept(&mut fleet, vec![FleetChange::StartHost { host: host(0), not_after: SOON }]);

    assert_eq!((failed, released.reserved_power()), (Watts(2_200), Watts(2_200)));
    assert_eq!(released.phase, HostPhase::Parked);
    assert!(matches!(fleet.hosts["h0000"].phase, HostPhase::Starting { .. }));
}

#[test]
fn the_document_round_trips_through_json() {
    let mut fleet = site();
    accept(&mut fleet, vec![start_wave(&[]), hold(0)]);

    let text = serde_json::to_string(&fleet).unwrap();
    let read: Fleet = serde_json::from_str(&text).unwrap();

    assert_eq!(read, fleet);
}
