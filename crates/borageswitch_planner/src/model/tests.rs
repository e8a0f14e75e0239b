//! Whole waves in virtual time.

use std::time::Duration;

use borageswitch_types::names::WaveName;

use crate::{
    baselines::Baseline,
    model::{Measures, Region, Way, sites},
};

const DAY: Duration = Duration::from_secs(86_400);

fn one_wave(shape: &sites::SiteShape, way: Way, seed: u64) -> Measures {
    let wave = WaveName::from("spring");
    let mut region = Region::new(shape.fleet(), way, seed);
    region.start_wave(&wave, sites::wave_settings(sites::weights(400, 400, 200)));
    assert!(region.run_wave(&wave, DAY), "the wave did not end within a day");
    region.measures()
}

#[test]
fn a_wave_reaches_every_host_whichever_way_runs_it() {
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
    }
}
