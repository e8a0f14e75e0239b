//! Plays the scripts of the second review: `review_standin_2 CASE RECORD`.

mod executor;
mod http;
mod json;
mod record;
mod site;
mod store;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use record::Record;
use site::Site;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record] = &args[..] else {
        eprintln!("review_standin_2 CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::new(record));
    match &**case {
        "large-job" => large_job(record, trouble),
        _ => std::process::exit(2),
    }
}

const PATIENCE: Duration = Duration::from_millis(3_000);

/// Hands a job in, at one daemon after the other until it is accepted.
fn submit(site: &Site, job: &str, body: &str) -> bool {
    for attempt in 0..5 {
        let callers = site.callers();
        let (name, address) = &callers[attempt % callers.len()];
        let path = format!("{}{job}", site::PREFIX);
        let answer = http::call(*address, "POST", &path, site::HOST, body, PATIENCE);
        let status = answer.as_ref().map_or(0, |(status, _)| *status);
        site.record.note(&format!("POST {path} at {name}: {status}"));
        if (200..300).contains(&status) {
            return true;
        }
        thread::sleep(Duration::from_millis(500));
    }
    false
}

/// Asks for a job's state. Gives the status and the state.
fn state(site: &Site, name: &str, address: SocketAddr, job: &str) -> (u16, String) {
    let path = format!("{}{job}", site::PREFIX);
    let answer = http::call(address, "GET", &path, site::HOST, "", PATIENCE);
    let (status, state) =
        answer.map_or((0, String::new()), |(status, body)| (status, body.get("state").str().to_owned()));
    site.record.note(&format!("GET {path} at {name}: {status} {state}"));
    (status, state)
}

/// A job of many short work units ends while the store is slow, and the leader, which is the daemon
/// that last wrote to the store under a condition, loses power meanwhile.
fn large_job(record: Arc<Record>, trouble: bool) {
    const UNITS: u64 = 7_200;
    const EXECUTORS: usize = 15;
    /// An answer of the slow store takes 60 times as long, for 4.5 s (`platform_slow` of sr-jhb).
    const SLOW_FACTOR: u32 = 60;
    const SLOW_FOR: Duration = Duration::from_millis(4_500);
    /// The power is lost this long after the store has confirmed a write of the leader.
    const LOST_AFTER: Duration = Duration::from_millis(200);
    /// The power is away for this long (`node_kill` of sr-jhb).
    const POWER_AWAY: Duration = Duration::from_millis(3_500);

    let site = Site::start(record.clone(), EXECUTORS, 48_000);
    if !site.wait_until_ready() {
        record.note("the daemons are not ready");
        site.finish(2);
    }
    // The bounds hold for machines that have been in touch for `contact_ms`.
    thread::sleep(Duration::from_secs(4));
    let job = "5c0e7a21d94b36f8";
    let key = format!("bs/in/j/{job}");
    let lost = Arc::new(AtomicBool::new(false));
    let (own, was_lost, watched) = (site.clone(), lost.clone(), key.clone());
    site.store.watch_commits(Box::new(move |done| {
        let written: Vec<String> = done
            .written
            .iter()
            .map(|(key, value)| format!("{key} ({} bytes)", value.len()))
            .collect();
        own.record.run(&format!("the store confirms a write of {written:?}, removal of {:?}", done.removed));
        if !trouble || !done.removed.contains(&watched) || was_lost.swap(true, Ordering::SeqCst) {
            return;
        }
        own.record.note(&format!("the store confirms a write of {written:?}, removal of {:?}", done.removed));
        let own = own.clone();
        thread::spawn(move || {
            thread::sleep(LOST_AFTER);
            let number = own.kill_leader();
            own.record.note(&format!("the leader loses power: daemon {number:?}"));
            thread::sleep(POWER_AWAY);
            number.into_iter().for_each(|number| own.start_daemon(number));
            own.record.note("its power is back");
        });
    }));
    let body = format!(
        r#"{{"spec":"4000","steps":[{{"count":{UNITS},"cpu":100,"mem_mb":16,"estimate_ms":4000}}]}}"#
    );
    if !submit(&site, job, &body) {
        record.note("the job is not accepted");
        site.finish(2);
    }
    let until = Instant::now() + Duration::from_secs(15);
    while record.counted("started") < UNITS {
        if Instant::now() > until {
            record.note(&format!("only {} work units have started", record.counted("started")));
            site.finish(2);
        }
        thread::sleep(Duration::from_millis(5));
    }
    record.note(&format!("all {UNITS} work units have started, {} are done", record.counted("done")));
    thread::sleep(Duration::from_millis(2_000));
    if trouble {
        site.store.slow_down(SLOW_FACTOR);
        record.note("the store is slow");
    }
    thread::sleep(SLOW_FOR);
    site.store.slow_down(1);
    record.note(&format!("the store is as usual; {} work units are done", record.counted("done")));
    // Longer than `contact_ms` and `visible_ms` together, from the return of the power.
    thread::sleep(Duration::from_secs(12));
    if trouble && !lost.load(Ordering::SeqCst) {
        record.note("the leader has not lost power: no write removed the job");
        site.finish(2);
    }
    record.note(&format!(
        "work units: {} starts, {} done, {} stopped, {} lapsed",
        record.counted("started"),
        record.counted("done"),
        record.counted("stopped"),
        record.counted("lapsed")
    ));
    let (mut unknown, mut shown) = (0, String::new());
    for _ in 0..4 {
        for (name, address) in site.callers() {
            let (status, state) = state(&site, &name, address, job);
            unknown += u64::from(status == 410);
            shown = state;
        }
        thread::sleep(Duration::from_secs(1));
    }
    if unknown > 0 {
        record.note(&format!("{unknown} answers 410 for an accepted job that nobody has cancelled"));
    }
    site.finish(i32::from(unknown > 0 || shown != "completed"));
}
