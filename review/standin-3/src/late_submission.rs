//! A job is cancelled whose submission the store carries out late.
//!
//! For two seconds the store loses the answers to writes of the job, and carries them out six
//! seconds later. The client gets 504, does not send the job again but cancels it, and is told that
//! there is no such job.

use std::{
    io::{self, Error},
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    Verdict,
    record::Recorder,
    site::{Plan, Site},
};

const JOB: &str = "5c0e7a21d94b36f8";
const EARLIER_JOB: &str = "00aa11bb22cc33dd";
/// How late a call without an answer is carried out: the most that the pages name.
const DELAY: Duration = Duration::from_secs(6);
/// For how long the store loses answers. A daemon that gets none has the leader write the job too.
const LOSS_TIME: Duration = Duration::from_secs(2);
/// When the first time of the job is due after its submission, and the pause between two.
const FIRST_DUE: Duration = Duration::from_secs(20);
const INTERVAL_MS: u64 = 3_000;
const TIMES: u64 = 3;
/// `cancel_ms` of the small sites.
const CANCEL_MS: u64 = 3_000;
/// Longer than `contact_ms`, in which nothing is impaired before the job is sent.
const CALM: Duration = Duration::from_secs(4);

pub fn play(recorder: Recorder, trouble: bool) -> io::Result<Verdict> {
    let site = Site::start(&Plan { daemons: 3, executors: 4, advisor: None }, recorder)?;
    let plain = "{\"spec\":\"ms=300\",\"steps\":[{\"count\":2,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":300}]}";
    if site.request(0, "POST", EARLIER_JOB, plain).map(|(status, _)| status) != Some(200) {
        return Err(Error::other("an earlier job is not accepted"));
    }
    thread::sleep(CALM);
    if !site.runs.starts().iter().any(|start| start.task.starts_with(EARLIER_JOB)) {
        return Err(Error::other("an earlier job does not run"));
    }
    if trouble {
        site.store.lose_writes(JOB, DELAY, LOSS_TIME);
    }
    let first = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default() + FIRST_DUE;
    let body = format!(
        "{{\"spec\":\"ms=500\",\"first_run_ms\":{},\"interval_ms\":{INTERVAL_MS},\
         \"repeat_count\":{TIMES},\"steps\":[{{\"count\":2,\"cpu\":1000,\"mem_mb\":256,\
         \"estimate_ms\":500}}]}}",
        first.as_millis()
    );
    site.request(0, "POST", JOB, &body);
    thread::sleep(Duration::from_millis(500));
    let Some((status, _)) = site.request(1, "DELETE", JOB, "") else {
        return Err(Error::other("the cancelling has no answer"));
    };
    if status != 410 && !(200..300).contains(&status) {
        return Err(Error::other("the cancelling is not acknowledged"));
    }
    let cancelled = site.recorder.now();
    thread::sleep(FIRST_DUE + Duration::from_millis((TIMES + 1) * INTERVAL_MS));
    site.request(2, "GET", JOB, "");
    let late = site.runs.starts().into_iter().filter(|start| start.task.starts_with(JOB));
    let late: Vec<_> = late.filter(|start| start.at > cancelled + CANCEL_MS).collect();
    for start in &late {
        let after = start.at - cancelled;
        site.recorder.line(&format!(
            "UNASKED: {} started {after} ms after the cancelling was acknowledged",
            start.task
        ));
    }
    Ok(if late.is_empty() { Verdict::Held } else { Verdict::Broken })
}
