//! Jobs of a queue with an advisor come at once.
//!
//! A job comes every second, and for four seconds 2.6 times as many. The advisor takes 0.8 s for a call
//! that names twelve executors, handles one call after the other, and passes over those whose caller
//! has left.

use std::{
    collections::BTreeMap,
    io::{self, Error},
    thread,
    time::Duration,
};

use crate::{
    Verdict, advisor,
    record::Recorder,
    site::{Plan, Site},
};

/// Ordinary jobs come with this pause.
const PAUSE: Duration = Duration::from_millis(1_000);
/// How many jobs come.
const JOBS: u32 = 40;
/// The job with which the burst begins, how long it lasts, and how many times as many jobs come.
const BURST_BEGINS: u32 = 6;
const BURST: Duration = Duration::from_secs(4);
const BURST_FACTOR: f64 = 2.6;
/// `finish_s` of the small sites.
const FINISH: Duration = Duration::from_secs(14);
/// For how long a job must have nothing running.
const IDLE: Duration = Duration::from_secs(3);

pub fn play(recorder: Recorder, trouble: bool) -> io::Result<Verdict> {
    let times = advisor::Times {
        decision: Duration::from_millis(200),
        per_worker: Duration::from_millis(50),
        validity: Duration::from_millis(3_000),
    };
    let plan = Plan { daemons: 3, executors: 12, advisor: Some(times) };
    let site = Site::start(&plan, recorder)?;
    let mut accepted = BTreeMap::new();
    let mut burst_left = if trouble { BURST } else { Duration::ZERO };
    for number in 0..JOBS {
        let job = format!("5c0e7a21d94b{number:04x}");
        let body = "{\"spec\":\"ms=500\",\"steps\":[{\"count\":2,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":500}]}";
        if site.request(number as usize % 3, "POST", &job, body).is_some_and(|(s, _)| s == 200) {
            accepted.insert(job, site.recorder.now());
        }
        let in_burst = number >= BURST_BEGINS && !burst_left.is_zero();
        let pause = if in_burst { PAUSE.div_f64(BURST_FACTOR) } else { PAUSE };
        if in_burst {
            burst_left = burst_left.saturating_sub(pause);
        }
        thread::sleep(pause);
    }
    if accepted.len() < JOBS as usize / 2 {
        return Err(Error::other("hardly any job is accepted"));
    }
    site.recorder.line("the traffic ends");
    thread::sleep(FINISH + IDLE);
    let starts = site.runs.starts();
    let has_run = |job: &str| starts.iter().any(|start| start.task.starts_with(job));
    let lost: Vec<&String> = accepted.keys().filter(|job| !has_run(job)).collect();
    for job in &lost {
        site.request(0, "GET", job, "");
        site.recorder.line(&format!("LOST: {job} was accepted and has never begun"));
    }
    Ok(if lost.is_empty() { Verdict::Held } else { Verdict::Broken })
}
