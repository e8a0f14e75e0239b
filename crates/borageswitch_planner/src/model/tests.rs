//! Simulates whole waves and long random event sequences.

use std::time::Duration;

use borageswitch_types::{
    fleet::{FleetChange, Watts, WaveSettings},
    names::{HostName, PoolName, WaveName},
};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};

use crate::{
    baselines::Baseline,
    explain,
    model::{Measures, Region, RolloutStrategy, sites},
};

const DAY: Duration = Duration::from_secs(86_400);

fn settings() -> WaveSettings {
    sites::wave_settings(sites::weights(400, 400, 200))
}

fn simulate_wave(shape: &sites::SiteShape, strategy: RolloutStrategy, seed: u64) -> Measures {
    let wave = WaveName::from("spring");
    let mut region = Region::new(shape.fleet(), strategy, seed);
    region.start_wave(&wave, settings());
    assert!(region.run_wave(&wave, DAY), "the wave did not end within a day");
    region.run_until(DAY);
    region.measures()
}

#[test]
fn a_wave_reaches_every_host_and_violates_no_budget_with_any_strategy() {
    for seed in 0..3 {
        let planner = simulate_wave(&sites::spotless_ridge(0, 5), RolloutStrategy::Planner, seed);
        let single = simulate_wave(
            &sites::spotless_ridge(1, 0),
            RolloutStrategy::Baseline(Baseline::OneAtATime),
            seed,
        );
        let share = simulate_wave(
            &sites::spotless_ridge(2, 0),
            RolloutStrategy::Baseline(Baseline::FixedShare { percent: 20 }),
            seed,
        );
        assert_eq!((planner.rebooted, single.rebooted, share.rebooted), (45, 45, 50));
        for run in [planner, single, share] {
            assert_eq!(run.broken_seconds, 0, "{run:?}");
        }
    }
}

#[test]
fn the_planner_needs_less_buffer_than_a_fixed_share_and_half_the_time_of_one_at_a_time() {
    for seed in 10..13 {
        let planner = simulate_wave(&sites::spotless_ridge(0, 4), RolloutStrategy::Planner, seed);
        let share = simulate_wave(
            &sites::spotless_ridge(2, 0),
            RolloutStrategy::Baseline(Baseline::FixedShare { percent: 20 }),
            seed,
        );
        let buffers = (planner.buffer_host_seconds, share.buffer_host_seconds);
        assert!(10 * buffers.0 <= 8 * buffers.1, "{planner:?} {share:?}");

        let fast = simulate_wave(&sites::association(0, 5), RolloutStrategy::Planner, seed);
        let single = simulate_wave(
            &sites::association(1, 0),
            RolloutStrategy::Baseline(Baseline::OneAtATime),
            seed,
        );
        assert!(2 * fast.roll_out_seconds <= single.roll_out_seconds, "{fast:?} {single:?}");
        assert_eq!(planner.broken_seconds + fast.broken_seconds, 0);
    }
}

/// One event of a random sequence.
#[derive(Clone, Debug)]
enum Event {
    Tick(u8),
    Hold(u8),
    Release(u8),
    Move(u8, u8),
    Fail(u8),
    Remove(u8),
    StartWave(u8),
    Pause(u8),
    Resume(u8),
    Abort(u8),
    RemoveWave(u8),
    SetCap(u8),
    Silence(u8),
    SilenceRack(u8),
    EndSilence,
    BreakReboot(u8),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        12 => (1..60u8).prop_map(Event::Tick),
        2 => any::<u8>().prop_map(Event::Hold),
        3 => any::<u8>().prop_map(Event::Release),
        2 => (any::<u8>(), any::<u8>()).prop_map(|(host, pool)| Event::Move(host, pool)),
        1 => any::<u8>().prop_map(Event::Fail),
        1 => any::<u8>().prop_map(Event::Remove),
        3 => (0..3u8).prop_map(Event::StartWave),
        1 => (0..3u8).prop_map(Event::Pause),
        2 => (0..3u8).prop_map(Event::Resume),
        1 => (0..3u8).prop_map(Event::Abort),
        1 => (0..3u8).prop_map(Event::RemoveWave),
        2 => (60..130u8).prop_map(Event::SetCap),
        1 => any::<u8>().prop_map(Event::Silence),
        1 => any::<u8>().prop_map(Event::SilenceRack),
        3 => Just(Event::EndSilence),
        1 => any::<u8>().prop_map(Event::BreakReboot),
    ]
}

fn pick<T: Clone>(all: &[T], index: u8) -> Option<T> {
    (!all.is_empty()).then(|| all[usize::from(index) % all.len()].clone())
}

/// Applies an event. An operator's change may be refused; the test relies on the assertions in
/// [`Region`].
fn apply_event(region: &mut Region, event: &Event, full_cap: Watts) {
    let hosts: Vec<HostName> = region.fleet().hosts.keys().cloned().collect();
    let pools: Vec<PoolName> = region.fleet().pools.keys().cloned().collect();
    let wave = |n: u8| WaveName::from(format!("wave-{n}"));
    let host = |index: u8| pick(&hosts, index).expect("the region always has hosts");
    let change = match *event {
        Event::Tick(ticks) => return (0..ticks).for_each(|_| region.tick()),
        Event::EndSilence => return region.set_silent(&hosts, false),
        Event::Silence(index) => return region.set_silent(&[host(index)], true),
        Event::SilenceRack(index) => {
            let rack = region.fleet().hosts[&host(index)].spec.rack.clone();
            let in_rack = |name: &&HostName| region.fleet().hosts[*name].spec.rack == rack;
            let silent: Vec<_> = hosts.iter().filter(in_rack).cloned().collect();
            return region.set_silent(&silent, true);
        }
        Event::BreakReboot(index) => return region.break_reboots(&[host(index)]),
        Event::Hold(index) => FleetChange::HoldHost { host: host(index), reason: "a look".into() },
        Event::Release(index) => FleetChange::ReleaseHost { host: host(index) },
        Event::Move(index, to) => {
            FleetChange::MoveHost { host: host(index), to: pick(&pools, to).expect("pools") }
        }
        Event::Fail(index) => FleetChange::FailHost { host: host(index), reason: "smoke".into() },
        Event::Remove(index) => FleetChange::RemoveHost { host: host(index) },
        Event::StartWave(n) => {
            FleetChange::StartWave { wave: wave(n), hosts: Vec::new(), settings: settings() }
        }
        Event::Pause(n) => FleetChange::PauseWave { wave: wave(n) },
        Event::Resume(n) => FleetChange::ResumeWave { wave: wave(n) },
        Event::Abort(n) => FleetChange::AbortWave { wave: wave(n) },
        Event::RemoveWave(n) => FleetChange::RemoveWave { wave: wave(n) },
        Event::SetCap(percent) => {
            FleetChange::SetPowerCap { cap: Watts(full_cap.0 * u64::from(percent) / 100) }
        }
    };
    let _refused_or_not = region.apply_operator_change(change, "at random");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, rng_seed: RngSeed::Fixed(4), ..ProptestConfig::default() })]

    /// Operators and the planner make concurrent changes while hosts go silent, racks are lost,
    /// reboots fail and the power cap changes. The region and the document's invariants assert that
    /// no availability budget is violated, no host is in two waves, the power cap holds, and each
    /// planned step is accepted.
    #[test]
    fn random_runs_keep_every_invariant(events in vec(event(), 1..60), seed in 0..1_000u64) {
        let fleet = sites::spotless_ridge(1, 3).fleet();
        let full_cap = fleet.power_cap;
        let mut region = Region::new(fleet, RolloutStrategy::Planner, seed);

        for event in &events {
            apply_event(&mut region, event, full_cap);
        }

        let observed = region.observed();
        for host in region.fleet().hosts.keys() {
            prop_assert!(!explain::host(region.fleet(), &observed, host).is_empty());
        }
        for pool in region.fleet().pools.keys() {
            prop_assert!(!explain::pool(region.fleet(), &observed, pool).is_empty());
        }
        for wave in region.fleet().waves.keys() {
            prop_assert!(!explain::wave(region.fleet(), &observed, wave).is_empty());
        }
    }
}
