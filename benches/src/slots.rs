//! Waiting time and messages of slots shared among entries, beside one ideal queue.

use std::time::Duration;

use borageswitch_policy::model::{self, Engine, Plan, SiteReport, Stream};
use serde_json::{Value, json};

const MEAN_RUN: Duration = Duration::from_millis(50);
const SEEDS: [u64; 3] = [1, 2, 3];

/// Plays nine entries before ten targets of eight slots, even and uneven, at several loads.
pub(crate) fn run() -> Value {
    let mut rows = Vec::new();
    for (load, skew) in [(0.7, 0.0), (0.7, 0.7), (0.9, 0.0), (0.9, 0.7), (0.95, 0.0)] {
        let ideal = play(load, skew, 1, Engine::FirstCome);
        for (name, engine) in [("dealt", Engine::PolicyWithoutLoans), ("loans", Engine::Policy)] {
            rows.push(row(load, skew, name, &play(load, skew, 9, engine), &ideal));
        }
        rows.push(row(load, skew, "ideal", &ideal, &ideal));
    }
    json!({ "nine entries, eighty slots": rows })
}

struct Played {
    wait_p50: f64,
    wait_p99: f64,
    messages: f64,
    refused: u64,
    most: u32,
    overcommitted: u64,
}

fn play(load: f64, skew: f64, entries: usize, engine: Engine) -> Played {
    let reports = SEEDS.map(|seed| model::run(&plan(seed, load, skew, entries), engine));
    let seconds = plan(0, load, skew, entries).length.as_secs_f64() * SEEDS.len() as f64;
    let mean = |of: fn(&SiteReport) -> f64| reports.iter().map(of).sum::<f64>() / 3.0;
    Played {
        wait_p50: mean(|report| report.group("all").wait(50.0).as_secs_f64() * 1e3),
        wait_p99: mean(|report| report.group("all").wait(99.0).as_secs_f64() * 1e3),
        messages: reports.iter().map(|report| report.messages).sum::<u64>() as f64 / seconds,
        refused: reports.iter().map(|report| report.group("all").refusals()).sum(),
        most: reports.iter().map(|report| report.max_in_flight).max().unwrap_or(0),
        overcommitted: reports.iter().map(|report| report.overcommitted).sum(),
    }
}

fn plan(seed: u64, load: f64, skew: f64, entries: usize) -> Plan {
    let mut plan = Plan::new(seed, Vec::new());
    let rate = load * plan.all_slots() / MEAN_RUN.as_secs_f64();
    plan.streams = vec![Stream::new("all", rate, MEAN_RUN)];
    plan.entries = entries;
    plan.skew = skew;
    plan.length = Duration::from_secs(60);
    plan
}

fn row(load: f64, skew: f64, scheme: &str, played: &Played, ideal: &Played) -> Value {
    let ratio = played.wait_p99 / ideal.wait_p99;
    json!({
        "load": load,
        "skew": skew,
        "scheme": scheme,
        "wait_p50_ms": played.wait_p50,
        "wait_p99_ms": played.wait_p99,
        "p99_over_ideal": ratio,
        "messages_per_second": played.messages,
        "refused": played.refused,
        "most_in_flight_on_a_target": played.most,
        "overcommitted": played.overcommitted,
    })
}
