//! What it costs to know a caller by its key.

use std::{hint::black_box, time::Instant};

use borageswitch_scheduler::config::access::KeyRing;
use borageswitch_types::names::CallerName;
use serde_json::{Value, json};

/// How many callers there are, with two keys each.
const CALLERS: [usize; 2] = [20, 5_000];
/// How often a key is looked up.
const LOOKUPS: usize = 1_000_000;

/// Runs all of it and gives the figures.
pub(crate) fn run() -> Value {
    json!({ "callers": CALLERS.map(figures) })
}

fn figures(callers: usize) -> Value {
    let keys: Vec<(CallerName, String)> = (0..callers * 2).map(key).collect();
    let began = Instant::now();
    let ring = KeyRing::new([7; 16], keys.iter().map(|(caller, key)| (caller, key.as_str())));
    let build = began.elapsed();
    let began = Instant::now();
    for number in 0..LOOKUPS {
        black_box(ring.owner(black_box(&keys[number % keys.len()].1)));
    }
    let known = began.elapsed();
    let began = Instant::now();
    for _ in 0..LOOKUPS {
        black_box(ring.owner(black_box("nobodys-key-of-20-ch")));
    }
    let unknown = began.elapsed();
    let each = |whole: std::time::Duration| whole.as_nanos() as u64 / LOOKUPS as u64;
    json!({
        "callers": callers,
        "build_ms": build.as_secs_f64() * 1_000.0,
        "known_key_ns": each(known),
        "unknown_key_ns": each(unknown),
    })
}

fn key(number: usize) -> (CallerName, String) {
    (CallerName::from(format!("caller-{}", number / 2)), format!("pqk8bdk9eevy{number:08}"))
}
