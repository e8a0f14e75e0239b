//! Waves on both users' sites against two simpler ways, and what a planning step costs.
//!
//! Waves run in the planner's model, in virtual time: their figures depend on the seeds alone. The
//! costs of a planning step are measured on this machine and are given at five sizes, so that the
//! slope shows.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use borageswitch_planner::{
    baselines::Baseline,
    capacity, changes, explain,
    model::{
        Measures, Region, RolloutStrategy,
        sites::{self, SiteShape},
    },
    steps,
};
use borageswitch_types::{
    Fleet,
    fleet::{Author, ChangeRequest, FleetChange, WaveSettings},
    names::{HostName, OperationId, WaveName},
};
use serde_json::{Value, json};

const SEEDS: u64 = 8;
const DAY: Duration = Duration::from_secs(86_400);
/// A wave that has not ended by then is given up and counted as unfinished.
const LONGEST_WAVE: Duration = Duration::from_secs(28_800);
/// Hosts and pools of the regions on which a planning step is timed.
const SIZES: [(usize, usize); 5] = [(106, 19), (213, 38), (425, 75), (850, 151), (1_700, 301)];
/// Steps timed at each size, from the start of a wave on.
const TIMED_STEPS: usize = 600;

/// One wave on one seed.
struct Run {
    ended: bool,
    measures: Measures,
}

/// Runs all of it and gives the figures.
pub(crate) fn run() -> Value {
    let spotless = sites::wave_settings(sites::weights(600, 200, 200));
    let association = sites::wave_settings(sites::weights(200, 600, 200));
    json!({
        "spotless_ridge": compare(sites::spotless_ridge, &spotless, 0),
        "association": compare(sites::association, &association, 0),
        "association_with_2_broken_hosts": compare(sites::association, &association, 2),
        "aims": aims(&spotless, &association),
        "weights": weights(),
        "planning": SIZES.iter().map(|(hosts, pools)| planning(*hosts, *pools)).collect::<Vec<_>>(),
    })
}

fn ways() -> Vec<(&'static str, RolloutStrategy, usize, usize)> {
    let share = |percent| RolloutStrategy::Baseline(Baseline::FixedShare { percent });
    vec![
        (
            "one at a time, 1 in reserve a pool",
            RolloutStrategy::Baseline(Baseline::OneAtATime),
            1,
            0,
        ),
        ("fixed share 12 %, 1 in reserve a pool", share(12), 1, 0),
        ("fixed share 20 %, 2 in reserve a pool", share(20), 2, 0),
        ("planner, 2 spare hosts", RolloutStrategy::Planner, 0, 2),
        ("planner, 3 spare hosts", RolloutStrategy::Planner, 0, 3),
        ("planner, 4 spare hosts", RolloutStrategy::Planner, 0, 4),
        ("planner, 5 spare hosts", RolloutStrategy::Planner, 0, 5),
        ("planner, 8 spare hosts", RolloutStrategy::Planner, 0, 8),
        ("planner, 2 in reserve a pool", RolloutStrategy::Planner, 2, 0),
    ]
}

fn compare<F>(site: F, settings: &WaveSettings, broken: usize) -> Value
where
    F: Fn(usize, usize) -> SiteShape,
{
    let row = |(name, way, reserve, spare)| {
        let shape: SiteShape = site(reserve, spare);
        let runs: Vec<_> =
            (0..SEEDS).map(|seed| one_wave(&shape, way, seed, settings, broken)).collect();
        row_of(name, &shape, &runs)
    };
    Value::from(ways().into_iter().map(row).collect::<Vec<_>>())
}

fn row_of(name: &str, shape: &SiteShape, runs: &[Run]) -> Value {
    let ended: Vec<&Measures> =
        runs.iter().filter(|run| run.ended).map(|run| &run.measures).collect();
    let mean_of = |runs: &[&Measures], of: fn(&Measures) -> u64| {
        runs.iter().map(|m| of(m)).sum::<u64>() as f64 / runs.len().max(1) as f64
    };
    let runs: Vec<&Measures> = runs.iter().map(|run| &run.measures).collect();
    let unfinished = runs.len() - ended.len();
    let mean = |of: fn(&Measures) -> u64| mean_of(&runs, of);
    let most = |of: fn(&Measures) -> u64| runs.iter().map(|m| of(m)).max().unwrap_or(0);
    json!({
        "1 way": name,
        "2 hosts": shape.fleet().hosts.len(),
        "3 buffer, host-hours a day": mean(|m| m.buffer_host_seconds) / 3_600.0,
        "4 roll-out, s": mean_of(&ended, |m| m.roll_out_seconds),
        "5 worst seed, s": most(|m| m.roll_out_seconds),
        "6 unfinished": unfinished,
        "7 moves": mean(|m| m.moves),
        "8 out at once": most(|m| m.most_out),
        "9 promise broken, worst seed, s": most(|m| m.broken_seconds),
    })
}

fn one_wave(
    shape: &SiteShape,
    way: RolloutStrategy,
    seed: u64,
    settings: &WaveSettings,
    broken: usize,
) -> Run {
    let wave = WaveName::from("spring");
    let mut region = Region::new(shape.fleet(), way, seed);
    // Spread over the fleet by a step that shares no factor with its size.
    let hosts: Vec<HostName> = region.fleet().hosts.keys().cloned().collect();
    let chosen = |n: usize| hosts[(seed as usize * 7 + n * 17) % hosts.len()].clone();
    region.break_reboots(&(0..broken).map(chosen).collect::<Vec<_>>());
    region.start_wave(&wave, settings.clone());
    let ended = region.run_wave(&wave, LONGEST_WAVE);
    region.run_until(DAY);
    Run { ended, measures: region.measures() }
}

/// The two aims, as ratios over the same seeds.
fn aims(spotless: &WaveSettings, association: &WaveSettings) -> Value {
    let total = |shape: SiteShape, way, settings: &WaveSettings, of: fn(&Measures) -> u64| {
        (0..SEEDS).map(|seed| of(&one_wave(&shape, way, seed, settings, 0).measures)).sum::<u64>()
            as f64
    };
    let buffer: fn(&Measures) -> u64 = |m| m.buffer_host_seconds;
    let time: fn(&Measures) -> u64 = |m| m.roll_out_seconds;
    let share = RolloutStrategy::Baseline(Baseline::FixedShare { percent: 20 });
    let single = RolloutStrategy::Baseline(Baseline::OneAtATime);
    let lean = total(sites::spotless_ridge(0, 4), RolloutStrategy::Planner, spotless, buffer);
    let reserve = total(sites::spotless_ridge(2, 0), share, spotless, buffer);
    let fast = total(sites::association(0, 5), RolloutStrategy::Planner, association, time);
    let slow = total(sites::association(1, 0), single, association, time);
    json!([
        {
            "1 aim": "Spotless Ridge: buffer, planner with 4 spare hosts against a share of 20 %",
            "2 ratio": lean / reserve,
            "3 wanted, at most": 0.8,
        },
        {
            "1 aim": "Association: roll-out, planner with 5 spare hosts against one at a time",
            "2 ratio": fast / slow,
            "3 wanted, at most": 0.5,
        },
    ])
}

/// What the weights of a wave change where each pool has a host in reserve and 4 more are spare.
fn weights() -> Value {
    let rows = [(0, 1_000, 0), (400, 400, 200), (100, 100, 800), (0, 50, 950)];
    let row = |(buffer_cost, roll_out_time, moves)| {
        let settings = sites::wave_settings(sites::weights(buffer_cost, roll_out_time, moves));
        let shape = sites::association(1, 4);
        let runs: Vec<_> = (0..SEEDS)
            .map(|seed| one_wave(&shape, RolloutStrategy::Planner, seed, &settings, 0))
            .collect();
        let name = format!("buffer {buffer_cost}, time {roll_out_time}, moves {moves}");
        row_of(&name, &shape, &runs)
    };
    Value::from(rows.into_iter().map(row).collect::<Vec<_>>())
}

/// Times the pure functions on a region of the given size while a wave runs.
fn planning(hosts: usize, pools: usize) -> Value {
    let wave = WaveName::from("spring");
    let shape = sites::region_of(hosts, pools);
    let mut region = Region::new(shape.fleet(), RolloutStrategy::Planner, 1);
    let settings = WaveSettings { max_batch: 64, ..sites::wave_settings(sites::weights(1, 1, 1)) };
    region.start_wave(&wave, settings);
    let mut plans = Vec::new();
    let mut applies = Vec::new();
    for _ in 0..TIMED_STEPS {
        let observed = region.observed();
        plans.push(time(|| steps::next_steps(region.fleet(), &observed)));
        applies.push(time_apply(region.fleet()));
        region.tick();
    }
    let observed = region.observed();
    let pool = region.fleet().hosts.values().next().map(|host| host.pool.clone());
    let explained = time(|| explain::wave(region.fleet(), &observed, &wave));
    let budgets = pool.map(|pool| time(|| capacity::check_budgets(region.fleet(), &pool, &[])));
    let document = serde_json::to_vec(region.fleet()).map_or(0, |bytes| bytes.len());
    json!({
        "1 hosts": region.fleet().hosts.len(),
        "2 pools": pools,
        "3 plan, mean ms": mean_ms(&plans),
        "4 plan, worst ms": worst_ms(&plans),
        "5 apply, mean ms": mean_ms(&applies),
        "6 explain a wave, ms": explained.as_secs_f64() * 1e3,
        "7 check a pool, ms": budgets.unwrap_or_default().as_secs_f64() * 1e3,
        "8 document, KB": document as f64 / 1e3,
        "9 out": region.fleet().waves[&wave].out.len(),
    })
}

fn time<R, F>(work: F) -> Duration
where
    F: FnOnce() -> R,
{
    let start = Instant::now();
    black_box(work());
    start.elapsed()
}

/// The time that one change takes, with the document's copy that it is made on.
fn time_apply(fleet: &Fleet) -> Duration {
    let req = ChangeRequest {
        operation: OperationId::from("timed"),
        expected: None,
        author: Author::Operator { name: "bench".into() },
        reason: "a change is timed".into(),
        change: FleetChange::SetPowerCap { cap: fleet.power_cap },
    };
    let mut next = fleet.clone();
    time(|| changes::apply(&mut next, &req))
}

fn mean_ms(times: &[Duration]) -> f64 {
    times.iter().sum::<Duration>().as_secs_f64() * 1e3 / times.len().max(1) as f64
}

fn worst_ms(times: &[Duration]) -> f64 {
    times.iter().max().copied().unwrap_or_default().as_secs_f64() * 1e3
}
