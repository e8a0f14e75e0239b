//! The requests of a plan, drawn once so that every engine gets the same ones.

use std::time::Duration;

use borageswitch_types::{Time, names::CallerName};
use fastrand::Rng;

use super::plan::{Plan, RunTime};

/// One request of a plan.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) stream: usize,
    pub(super) caller: CallerName,
    pub(super) entry: usize,
    pub(super) at: Time,
    pub(super) run_time: Duration,
}

/// Draws all requests, in the order of their arrival.
pub(super) fn draw(plan: &Plan) -> Vec<Request> {
    let mut rng = Rng::with_seed(plan.seed);
    let mut requests = Vec::new();
    for stream in 0..plan.streams.len() {
        draw_stream(plan, stream, &mut rng, &mut requests);
    }
    requests.sort_by_key(|request| (request.at, request.stream));
    requests
}

fn draw_stream(plan: &Plan, index: usize, rng: &mut Rng, requests: &mut Vec<Request>) {
    let stream = &plan.streams[index];
    let callers: Vec<CallerName> = (0..stream.callers.max(1))
        .map(|n| CallerName::from(format!("{}-{n}", stream.group)))
        .collect();
    let end = stream.until.min(plan.length).as_secs_f64();
    let mut at = stream.from.as_secs_f64();
    loop {
        at += exponential(rng, 1.0 / stream.rate);
        if at >= end {
            return;
        }
        let run_time = match stream.run {
            RunTime::Constant(time) => time,
            RunTime::Exponential(mean) => mean.mul_f64(exponential(rng, 1.0)),
        };
        requests.push(Request {
            stream: index,
            caller: callers[rng.usize(..callers.len())].clone(),
            entry: pick_entry(plan, rng),
            at: Time::ZERO + Duration::from_secs_f64(at),
            run_time,
        });
    }
}

fn exponential(rng: &mut Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.f64()).ln()
}

fn pick_entry(plan: &Plan, rng: &mut Rng) -> usize {
    let weight = |n: usize| 1.0 / ((n + 1) as f64).powf(plan.skew);
    let all: f64 = (0..plan.entries).map(weight).sum();
    let mut left = rng.f64() * all;
    for entry in 0..plan.entries {
        left -= weight(entry);
        if left < 0.0 {
            return entry;
        }
    }
    plan.entries - 1
}
