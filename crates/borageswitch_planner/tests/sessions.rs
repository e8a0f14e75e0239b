//! Snapshot tests of the planner's decisions over time, on both users' sites.

use std::time::Duration;

use borageswitch_planner::{
    explain,
    model::{
        Region, RolloutStrategy,
        sites::{self, SiteShape},
    },
};
use borageswitch_types::{
    fleet::{FleetChange, HostPhase, Watts, WaveSettings},
    names::{HostName, PoolName, WaveName},
};

const SEED: u64 = 7;
const DAY: Duration = Duration::from_secs(86_400);
const MINUTE: Duration = Duration::from_secs(60);

fn both_sites() -> [(SiteShape, WaveSettings); 2] {
    [
        (sites::spotless_ridge(0, 4), sites::wave_settings(sites::weights(600, 200, 200))),
        (sites::association(0, 5), sites::wave_settings(sites::weights(200, 600, 200))),
    ]
}

fn wave() -> WaveName {
    WaveName::from("spring")
}

fn session(region: &Region) -> String {
    region.decisions().join("\n")
}

fn explained(region: &Region, lines: Vec<borageswitch_types::fleet::Reason>, of: &str) -> String {
    let seconds = region.observed().now.as_micros() / 1_000_000;
    let text: Vec<_> = lines.iter().map(|line| format!("         {line}")).collect();
    format!("explain {of} at {seconds} s:\n{}", text.join("\n"))
}

fn out_for_wave(region: &Region) -> Vec<HostName> {
    region.fleet().waves[&wave()].out.iter().cloned().collect()
}

#[test]
fn a_wave_without_faults() {
    for (shape, settings) in both_sites() {
        let mut region = Region::new(shape.fleet(), RolloutStrategy::Planner, SEED);
        region.start_wave(&wave(), settings);

        region.run_for(MINUTE * 20);
        let observed = region.observed();
        let why = explained(&region, explain::wave(region.fleet(), &observed, &wave()), "spring");
        let ended = region.run_wave(&wave(), DAY);
        region.run_until(DAY);

        assert!(ended);
        assert_eq!(region.measures().broken_seconds, 0);
        let golden = format!("{}\n\n{why}\n\n{:#?}", session(&region), region.measures());
        insta::assert_snapshot!(format!("quiet_day_{}", shape.region), golden);
    }
}

/// An operator moves a spare host of another data centre into a pool and then one of the pool's
/// hosts out of it. The pool must meet its budget throughout, and the departing host must accept no
/// work of its old pool once it is in the new one.
#[test]
fn a_move_between_data_centres() {
    for (shape, _) in both_sites() {
        let mut region = Region::new(shape.fleet(), RolloutStrategy::Planner, SEED);
        let pool = PoolName::from(shape.pools[2].as_str());
        let spares = PoolName::from(sites::SPARE_POOL);
        let (leaver, home) = first_in(&region, &pool, None);
        let (joiner, _) = first_in(&region, &spares, Some(&home));

        let too_early = FleetChange::MoveHost { host: leaver.clone(), to: spares.clone() };
        let refusal = region
            .apply_operator_change(too_early, "too early")
            .expect_err("the promise would break");
        let join = FleetChange::MoveHost { host: joiner.clone(), to: pool.clone() };
        region.apply_operator_change(join, "the joiner goes first").expect("a spare host may go");
        region.run_for(MINUTE);
        let leave = FleetChange::MoveHost { host: leaver.clone(), to: spares };
        region
            .apply_operator_change(leave, "the leaver follows")
            .expect("the pool has one more now");
        let observed = region.observed();
        let lines = explain::host(region.fleet(), &observed, &leaver);
        let why = explained(&region, lines, leaver.as_str());
        region.run_for(MINUTE * 5);

        assert_eq!(region.measures().broken_seconds, 0);
        assert_eq!(region.fleet().hosts[&joiner].pool, pool);
        let golden = format!("refused at first: {refusal}\n{}\n\n{why}", session(&region));
        insta::assert_snapshot!(format!("move_{}", shape.region), golden);
    }
}

fn first_in(region: &Region, pool: &PoolName, not_in: Option<&str>) -> (HostName, String) {
    let fleet = region.fleet();
    let mut hosts = fleet.hosts_in(pool);
    let found = hosts.find(|(_, host)| Some(host.spec.data_centre.as_str()) != not_in);
    let (name, host) = found.expect("the site has such a host");
    (name.clone(), host.spec.data_centre.to_string())
}

/// The power cap is lowered by a fifth while hosts reboot for a wave. Users may only notice slower
/// responses: hosts are throttled, no further host boots, and the wave continues when the cap is
/// restored.
#[test]
fn a_cap_lowered_in_the_middle_of_a_wave() {
    for (shape, settings) in both_sites() {
        let mut region = Region::new(shape.fleet(), RolloutStrategy::Planner, SEED);
        let full = region.fleet().power_cap;
        let low = Watts(full.0 * 80 / 100);
        region.start_wave(&wave(), settings);
        region.run_for(MINUTE * 20);

        region
            .apply_operator_change(FleetChange::SetPowerCap { cap: low }, "the grid asks")
            .expect("accepted");
        region.run_for(MINUTE);
        let observed = region.observed();
        let why = explained(&region, explain::wave(region.fleet(), &observed, &wave()), "spring");
        region.run_for(MINUTE * 9);
        let (reserved, power_draw) = (region.fleet().reserved_power(), region.power_draw());
        region
            .apply_operator_change(FleetChange::SetPowerCap { cap: full }, "all clear")
            .expect("accepted");
        let ended = region.run_wave(&wave(), DAY);

        assert!(reserved <= low && power_draw <= low, "{reserved} and {power_draw} under {low}");
        assert!(ended);
        assert_eq!(region.measures().broken_seconds, 0);
        let golden = format!("{}\n\n{why}\n\n{:#?}", session(&region), region.measures());
        insta::assert_snapshot!(format!("lowered_cap_{}", shape.region), golden);
    }
}

/// A switch fails while a host in the previous rack reboots, so four hosts of four pools go silent
/// at once. Budgets are designed to survive that, but until spare hosts have replaced them a second
/// failure would be noticed. The rack returns after ten minutes.
#[test]
fn a_rack_lost_during_a_reboot_in_the_previous_rack() {
    for (shape, settings) in both_sites() {
        let mut region = Region::new(shape.fleet(), RolloutStrategy::Planner, SEED);
        region.start_wave(&wave(), settings);
        region.run_for(MINUTE * 20);
        let rebooting = out_for_wave(&region)
            .into_iter()
            .find(|name| matches!(region.fleet().hosts[name].phase, HostPhase::Rebooting { .. }))
            .expect("a host reboots by now");
        let rack = next_rack(&region, &rebooting);

        region.set_silent(&rack, true);
        region.run_for(MINUTE);
        let observed = region.observed();
        let lost = explain::host(region.fleet(), &observed, &rack[0]);
        let why = explained(&region, lost, rack[0].as_str());
        region.run_for(MINUTE * 9);
        let any_failed = region.fleet().hosts.values().any(|host| host.failures > 0);
        region.set_silent(&rack, false);
        let ended = region.run_wave(&wave(), DAY);
        region.run_for(MINUTE * 10);

        assert!(!any_failed, "a rack that comes back is not written off");
        assert!(ended);
        let golden = format!("{}\n\n{why}\n\n{:#?}", session(&region), region.measures());
        insta::assert_snapshot!(format!("lost_rack_{}", shape.region), golden);
    }
}

/// The hosts of the rack after that of `host`.
fn next_rack(region: &Region, host: &HostName) -> Vec<HostName> {
    let fleet = region.fleet();
    let racks: std::collections::BTreeSet<_> =
        fleet.hosts.values().map(|host| host.spec.rack.clone()).collect();
    let mine = &fleet.hosts[host].spec.rack;
    let next = racks.iter().find(|rack| *rack > mine).or(racks.first()).expect("racks");
    let in_rack = fleet.hosts.iter().filter(|(_, host)| host.spec.rack == *next);
    in_rack.map(|(name, _)| name.clone()).collect()
}
