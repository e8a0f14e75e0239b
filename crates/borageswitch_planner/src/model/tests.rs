//! Whole waves and long random runs in virtual time.

use std::time::Duration;

use borageswitch_types::{
    fleet::{FleetChange, Watts, WaveSettings},
    names::{HostName, PoolName, WaveName},
};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};

use crate::{
    baselines::Baseline,
    explain,
    model::{Measures, Region, Way, sites},
};

const DAY: Duration = Duration::from_secs(86_400);

fn settings() -> WaveSettings {
    sites::wave_settings(sites::weights(400, 400, 200))
}

fn one_wave(shape: &sites::SiteShape, way: Way, seed: u64) -> Measures {
    let wave = WaveName::from("spring");
    let mut region = Region::new(shape.fleet(), way, seed);
    region.start_wave(&wave, settings());
    assert!(region.run_wave(&wave, DAY), "the wave did not end within a day");
    region.run_until(DAY);
    region.measures()
}

#[test]
fn a_wave_reaches_every_host_and_breaks_no_promise_whichever_way_runs_it() {
    for seed in 0..3 {
        let planner = one_wave(&sites::spotless_ridge(0, 5), Way::Planner, seed);
        let single =
            one_wave(&sites::spotless_ridge(1, 0), Way::Baseline(Baseline::OneAtATime), seed);
        let share = one_wave(
            &sites::spotless_ridge(2, 0),
            Way::Baseline(Baseline::FixedShare { percent: 20 }),
            seed,
        );
        assert_eq!((planner.rebooted, single.rebooted, share.rebooted), (45, 45, 50));
        for run in [planner, single, share] {
            assert_eq!(run.broken_seconds, 0, "{run:?}");
        }
    }
}

#[test]
fn the_planner_needs_less_buffer_than_a_share_and_half_the_time_of_one_by_one() {
    for seed in 10..13 {
        let planner = one_wave(&sites::spotless_ridge(0, 4), Way::Planner, seed);
        let share = one_wave(
            &sites::spotless_ridge(2, 0),
            Way::Baseline(Baseline::FixedShare { percent: 20 }),
            seed,
        );
        let buffers = (planner.buffer_host_seconds, share.buffer_host_seconds);
        assert!(10 * buffers.0 <= 8 * buffers.1, "{planner:?} {share:?}");

        let fast = one_wave(&sites::association(0, 5), Way::Planner, seed);
        let single = one_wave(&sites::association(1, 0), Way::Baseline(Baseline::OneAtATime), seed);
        assert!(2 * fast.roll_out_seconds <= single.roll_out_seconds, "{fast:?} {single:?}");
        assert_eq!(planner.broken_seconds + fast.broken_seconds, 0);
    }
}

/// One event of a random run.
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
    Speak,
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
        3 => Just(Event::Speak),
        1 => any::<u8>().prop_map(Event::BreakReboot),
    ]
}

fn pick<T: Clone>(all: &[T], at: u8) -> Option<T> {
    (!all.is_empty()).then(|| all[usize::from(at) % all.len()].clone())
}

/// An operator's change may be refused; what matters is what the region asserts by itself.
fn play(region: &mut Region, event: &Event, full_cap: Watts) {
    let hosts: Vec<HostName> = region.fleet().hosts.keys().cloned().collect();
    let pools: Vec<PoolName> = region.fleet().pools.keys().cloned().collect();
    let wave = |n: u8| WaveName::from(format!("wave-{n}"));
    let host = |at: u8| pick(&hosts, at).expect("the region always has hosts");
    let change = match *event {
        Event::Tick(ticks) => return (0..ticks).for_each(|_| region.tick()),
        Event::Speak => return region.set_silent(&hosts, false),
        Event::Silence(at) => return region.set_silent(&[host(at)], true),
        Event::SilenceRack(at) => {
            let rack = region.fleet().hosts[&host(at)].spec.rack.clone();
            let in_rack = |name: &&HostName| region.fleet().hosts[*name].spec.rack == rack;
            let silent: Vec<_> = hosts.iter().filter(in_rack).cloned().collect();
            return region.set_silent(&silent, true);
        }
        Event::BreakReboot(at) => return region.break_reboots(&[host(at)]),
        Event::Hold(at) => FleetChange::HoldHost { host: host(at), reason: "a look".into() },
        Event::Release(at) => FleetChange::ReleaseHost { host: host(at) },
        Event::Move(at, to) => {
            FleetChange::MoveHost { host: host(at), to: pick(&pools, to).expect("pools") }
        }
        Event::Fail(at) => FleetChange::FailHost { host: host(at), reason: "smoke".into() },
        Event::Remove(at) => FleetChange::RemoveHost { host: host(at) },
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
    let _refused_or_not = region.operate(change, "at random");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, rng_seed: RngSeed::Fixed(4), ..ProptestConfig::default() })]

    /// Operators race the planner while hosts go silent, racks are lost, reboots fail and the cap
    /// goes up and down. A user would notice a broken promise, a host in two waves or a tripped
    /// breaker; the region and the document's invariants assert that there is none, and that
    /// each planned step is accepted.
    #[test]
    fn random_runs_keep_every_invariant(events in vec(event(), 1..60), seed in 0..1_000u64) {
        let fleet = sites::spotless_ridge(1, 3).fleet();
        let full_cap = fleet.power_cap;
        let mut region = Region::new(fleet, Way::Planner, seed);

        for event in &events {
            play(&mut region, event, full_cap);
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
