//! Decisions under load, judged by what callers receive, beside the first-come baseline.

use borageswitch_policy::model::{
    Engine, Fault, SiteReport,
    scenarios::{
        burst_good, cancelled_wave_ratio, failing_host_permille, hot_caller_ratio,
        long_among_short_ratio, outage_tries, overload_goodput, slow_target_ratio, urgent_wait,
    },
};
use serde_json::{Value, json};

const SEEDS: [u64; 3] = [1, 2, 3];

/// Plays every load pattern with the product and with the baseline, on the same requests.
pub(crate) fn run() -> Value {
    let rows = vec![
        row("burst: good answers", burst_good),
        row("overload 3x, one entry: goodput", |seed, engine| overload_goodput(seed, 1, engine)),
        row("overload 3x, nine entries: goodput", |seed, engine| overload_goodput(seed, 9, engine)),
        row("hot caller 20x: others' p99, x", hot_caller_ratio),
        row("slow target, one entry: p99, x", |seed, engine| slow_target_ratio(seed, 1, engine)),
        row("slow target, nine entries: p99, x", |seed, engine| slow_target_ratio(seed, 9, engine)),
        row("long among short: short p99, x", long_among_short_ratio),
        row("host answers 500, one entry: failed, permille", |seed, engine| {
            failing_host_permille(seed, 1, Fault::FailsFast, engine)
        }),
        row("host answers 500, nine entries: failed, permille", |seed, engine| {
            failing_host_permille(seed, 9, Fault::FailsFast, engine)
        }),
        row("host refuses, nine entries: failed, permille", |seed, engine| {
            failing_host_permille(seed, 9, Fault::Refuses, engine)
        }),
        row("outage of 5 s in 30: tries a request", outage_tries),
        row("cancelled wave: others' p99, x", cancelled_wave_ratio),
        row("urgent under 3x: 99.9 % wait, s", urgent_wait),
    ];
    json!({ "scenarios": rows })
}

fn row<F>(name: &str, play: F) -> Value
where
    F: Fn(u64, Engine) -> (f64, SiteReport),
{
    let worst_and_mean = |engine| {
        let played = SEEDS.map(|seed| play(seed, engine));
        let mean = played.iter().map(|(figure, _)| figure).sum::<f64>() / SEEDS.len() as f64;
        let untrue: u64 = played
            .iter()
            .flat_map(|(_, report)| report.groups.values())
            .map(|group| group.untrue)
            .sum();
        let least = played.iter().map(|(figure, _)| *figure).fold(f64::MAX, f64::min);
        let most = played.iter().map(|(figure, _)| *figure).fold(f64::MIN, f64::max);
        (mean, least, most, untrue)
    };
    let product = worst_and_mean(Engine::Policy);
    let baseline = worst_and_mean(Engine::FirstCome);
    json!({
        "scenario": name,
        "product": product.0,
        "product_least": product.1,
        "product_most": product.2,
        "untrue_refusals": product.3,
        "first_come": baseline.0,
    })
}
