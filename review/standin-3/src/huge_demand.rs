//! A job comes whose work units fit on no machine: its memory is given in bytes.

use std::{
    collections::BTreeMap,
    io::{self, Error},
    time::Duration,
};

use crate::{
    Verdict,
    record::Recorder,
    site::{Plan, Site},
};

/// Ordinary jobs come with this pause.
const PAUSE: Duration = Duration::from_millis(500);
/// How many ordinary jobs come.
const JOBS: u32 = 40;
/// After this many ordinary jobs the one comes that can never be done.
const BEFORE: u32 = 8;
const HUGE_JOB: &str = "7f00000000000001";
/// The work units of the job that can never be done: as many as the largest jobs of the site have.
const HUGE_UNITS: u32 = 32;
/// The memory of each, as much as the largest work units of the site have: 21,000 MB in bytes.
const HUGE_MEMORY: u64 = 21_000 << 20;
/// How long the daemons are watched after the last job.
const WATCHED: Duration = Duration::from_secs(30);
/// A day has a fault if the processes of so many machines have ended by themselves so often.
const FAULTY_MACHINES: usize = 2;
const FAULTY_ENDS: u32 = 3;

pub fn play(recorder: Recorder, trouble: bool) -> io::Result<Verdict> {
    let plan = Plan { daemons: 3, executors: 8, advisor: None };
    let mut site = Site::start(&plan, recorder)?;
    let mut accepted = BTreeMap::new();
    for number in 0..JOBS {
        if trouble && number == BEFORE {
            let huge = format!(
                "{{\"spec\":\"ms=500\",\"steps\":[{{\"count\":{HUGE_UNITS},\"cpu\":1000,\
                 \"mem_mb\":{HUGE_MEMORY},\"estimate_ms\":500}}]}}"
            );
            site.request(0, "POST", HUGE_JOB, &huge);
        }
        let job = format!("5c0e7a21d94b{number:04x}");
        let body = "{\"spec\":\"ms=500\",\"steps\":[{\"count\":2,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":500}]}";
        // Without an answer the same request goes to the next daemon.
        let answers =
            (0..3).map(|attempt| site.request((number + attempt) as usize % 3, "POST", &job, body));
        let first = answers.flatten().next();
        if first.is_some_and(|(status, _)| status == 200) {
            accepted.insert(job, site.recorder.now());
        }
        site.pass(PAUSE)?;
    }
    if accepted.len() < BEFORE as usize {
        return Err(Error::other("hardly any job is accepted"));
    }
    site.recorder.line("the traffic ends");
    site.pass(WATCHED)?;
    let starts = site.runs.starts();
    let has_run = |job: &str| starts.iter().any(|start| start.task.starts_with(job));
    let lost: Vec<&String> = accepted.keys().filter(|job| !has_run(job)).collect();
    for job in &lost {
        site.recorder.line(&format!("{job} was accepted and has never begun"));
    }
    let ends = site.ends();
    for (number, ends) in ends.iter().enumerate() {
        site.recorder.line(&format!("daemon {number} has ended by itself {ends} times"));
    }
    let faulty = ends.iter().filter(|ends| **ends >= FAULTY_ENDS).count();
    Ok(if faulty >= FAULTY_MACHINES { Verdict::Broken } else { Verdict::Held })
}
