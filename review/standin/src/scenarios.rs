//! What happens in each case, and the judgement by what clients, executors and the platform saw.

use std::{
    fs::File,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    daemon::Daemon,
    executor::{RunRecord, Unit},
    http,
    json::{Json, object},
    world::World,
};

/// How a scenario ended.
pub enum Outcome {
    Held,
    Broken,
    NotRun(String),
}

/// How many daemons a site has.
const DAEMONS: usize = 3;
/// How long clients wait for a response.
const PATIENCE: Duration = Duration::from_millis(3_000);
/// How long a slow store takes to answer: 60 times the usual 4 ms.
const SLOW_STORE: Duration = Duration::from_millis(240);
/// How long a daemon is cut off.
const CUT: Duration = Duration::from_millis(7_000);
/// The host name and the prefix of the route.
const HOST: &str = "pay.example";
const PREFIX: &str = "/pay/";

/// A site of one service with its daemons.
struct Site {
    world: World,
    daemons: Vec<Daemon>,
}

/// Plays a scenario; without trouble it leaves the disruption out.
pub fn play(
    scenario: &str,
    repository: &Path,
    folder: &Path,
    record: File,
    trouble: bool,
) -> Outcome {
    let world = World::new(record, DAEMONS);
    let result = match scenario {
        "late" => late_snapshot(world, repository, folder, trouble),
        "ends" => many_ends(world, repository, folder, trouble),
        "order" => stale_order(world, repository, folder, trouble),
        "wave" => wave_of_new_machine(world, repository, folder, trouble),
        other => Err(format!("there is no scenario {other}")),
    };
    match result {
        Ok(true) => Outcome::Broken,
        Ok(false) => Outcome::Held,
        Err(why) => Outcome::NotRun(why),
    }
}

/// Waits until a condition holds. Gives whether it did in time.
fn wait_for<F>(limit: Duration, mut holds: F) -> bool
where
    F: FnMut() -> bool,
{
    let until = Instant::now() + limit;
    loop {
        if holds() {
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
        thread::sleep(Duration::from_millis(5));
    }
}

impl Site {
    /// Starts daemons and waits until all are ready and one leads.
    fn start(
        world: World,
        repository: &Path,
        folder: &Path,
        machines: usize,
    ) -> Result<Self, String> {
        let route = object([
            ("name", "pay".into()),
            ("host", HOST.into()),
            ("prefix", PREFIX.into()),
            ("kind", "non_idempotent".into()),
            ("timeout_ms", 3_000u64.into()),
            ("target_runtime_ms", 600u64.into()),
            ("priority", 0u64.into()),
            ("service", "payroll".into()),
            ("max_attempts", 4u64.into()),
            ("stretch_factor", Json::Number(1.6)),
        ]);
        let service = object([
            ("name", "payroll".into()),
            ("health_path", "/healthz".into()),
            ("max_conns", 64u64.into()),
            ("protocol", "h1".into()),
            ("tls", false.into()),
            ("rejects_overload", true.into()),
            ("standby", false.into()),
        ]);
        let limits = object([
            ("max_header_bytes", 16_384u64.into()),
            ("max_body_bytes", 262_144u64.into()),
            ("header_timeout_ms", 3_000u64.into()),
            ("idle_timeout_ms", 15_000u64.into()),
        ]);
        let config = object([
            ("version", 1u64.into()),
            ("routes", Json::List(vec![route])),
            ("services", Json::List(vec![service])),
            ("limits", limits),
        ]);
        world.operator_writes("op/config", &config.encode());
        for number in 1..=machines {
            world.add_machine(&format!("m-{number}"), "payroll");
        }
        let mut ports = Vec::new();
        let mut daemons: Vec<Daemon> = (0..DAEMONS)
            .map(|number| Daemon::new(repository, folder, number, &world, &mut ports))
            .collect();
        daemons.iter_mut().for_each(Daemon::start);
        let ready = || daemons.iter().all(Daemon::is_ready) && world.lock().renewed.is_some();
        if !wait_for(Duration::from_secs(15), ready) {
            let ended = daemons.iter_mut().map(Daemon::has_ended).filter(|ended| *ended).count();
            return Err(format!("the daemons are not ready in time; {ended} have ended"));
        }
        world.note("all daemons are ready, one leads");
        thread::sleep(Duration::from_secs(2));
        Ok(Self { world, daemons })
    }

    /// Sends a request to a daemon and notes it.
    fn call(&self, daemon: usize, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        let daemon = &self.daemons[daemon % DAEMONS];
        let path = format!("{PREFIX}{id}");
        let sent = self.world.now();
        let answer = http::call(daemon.callers, method, &path, HOST, body, PATIENCE);
        let shown = answer.as_ref().map_or("no answer".to_owned(), |(s, b)| format!("{s} {b}"));
        let sent = sent as f64 / 1_000.0;
        self.world
            .note(&format!("{method} {path} sent at {sent:.3} s to {}: {shown}", daemon.name));
        answer
    }

    /// Submits a job at any daemon, as often as the pages allow. Each step has a number of work units
    /// and waits for the step before it. Gives whether the job was accepted.
    fn submit(&self, first: usize, id: &str, steps: &[(u64, Unit)]) -> bool {
        let mut encoded = Vec::new();
        for (number, (count, unit)) in steps.iter().enumerate() {
            self.world.lock().units.insert((id.to_owned(), number), *unit);
            let before = number.checked_sub(1).map(|before| Json::from(before as u64));
            encoded.push(object([
                ("count", (*count).into()),
                ("cpu", unit.cpu.into()),
                ("mem_mb", unit.mem_mb.into()),
                ("estimate_ms", unit.work_ms.into()),
                ("after", Json::List(before.into_iter().collect())),
            ]));
        }
        let job = object([("spec", "payslips".into()), ("steps", Json::List(encoded))]);
        let body = job.encode();
        for attempt in 0..5 {
            match self.call(first + attempt, "POST", id, &body) {
                Some((200..=299, _)) => return true,
                Some((404, _)) => return false,
                _ => thread::sleep(Duration::from_millis(300)),
            }
        }
        false
    }

    /// The daemon that leads.
    fn leader(&self) -> Option<usize> {
        self.world.lock().renewed
    }

    fn check_daemons(&mut self) -> Result<(), String> {
        match self.daemons.iter_mut().find_map(|d| d.has_ended().then(|| d.name.clone())) {
            Some(name) => Err(format!("{name} has ended by itself")),
            None => Ok(()),
        }
    }
}

/// The id of a job.
fn job_id(number: u64) -> String {
    format!("{:016x}", 0x5c0e_7a21_0000_0000 + number)
}

/// TWICE: starts after a run that has ended as done, with the end taken note of while the
/// executor's lease had not lapsed.
fn started_again(runs: &[RunRecord]) -> Vec<(RunRecord, RunRecord)> {
    let mut found = Vec::new();
    for first in runs {
        let Some((at, "done")) = first.ended else { continue };
        if first.noted.is_none() || first.lapsed_between {
            continue;
        }
        let again = runs.iter().find(|run| run.task == first.task && run.began > at);
        if let Some(again) = again {
            found.push((first.clone(), again.clone()));
        }
    }
    found
}

/// TWICE: two runs of a work unit at the same time.
fn run_together(runs: &[RunRecord]) -> Vec<(RunRecord, RunRecord)> {
    let mut found = Vec::new();
    for (index, one) in runs.iter().enumerate() {
        let ended = one.ended.map_or(u64::MAX, |(at, _)| at);
        let other = runs[index + 1..]
            .iter()
            .find(|other| other.task == one.task && other.began < ended && other.run != one.run);
        if let Some(other) = other {
            found.push((one.clone(), other.clone()));
        }
    }
    found
}

fn seconds(ms: u64) -> f64 {
    ms as f64 / 1_000.0
}

/// Notes the broken rule TWICE, if it was broken.
fn judge_twice(world: &World) -> bool {
    let runs = world.lock().runs.clone();
    for run in &runs {
        let ended = run.ended.map_or("still running".to_owned(), |(at, how)| {
            format!("{how} at {:.3} s", seconds(at))
        });
        let noted = run.noted.map_or("never".to_owned(), |at| format!("at {:.3} s", seconds(at)));
        world.note(&format!(
            "run: {} run {} on {} from {:.3} s, {ended}, taken note of {noted}{}",
            run.task,
            run.run,
            run.executor,
            seconds(run.began),
            if run.lapsed_between { ", the lease lapsed between" } else { "" },
        ));
    }
    let (again, together) = (started_again(&runs), run_together(&runs));
    for (first, second) in &again {
        world.note(&format!(
            "BROKEN: TWICE: {} run {} ended as done at {:.3} s, taken note of; run {} began at {:.3} s",
            first.task,
            first.run,
            seconds(first.ended.map_or(0, |(at, _)| at)),
            second.run,
            seconds(second.began),
        ));
    }
    for (first, second) in &together {
        world.note(&format!(
            "BROKEN: TWICE: {} runs {} and {} at the same time",
            first.task, first.run, second.run
        ));
    }
    world.note(&format!(
        "{} runs; {} started again after done, {} at the same time",
        runs.len(),
        again.len(),
        together.len()
    ));
    !again.is_empty() || !together.is_empty()
}

/// More than 500 runs of one executor end while the store is slow.
fn many_ends(
    world: World,
    repository: &Path,
    folder: &Path,
    trouble: bool,
) -> Result<bool, String> {
    const JOBS: u64 = 9;
    const TASKS: u64 = 84;
    const WORK_MS: u64 = 6_000;
    let mut site = Site::start(world, repository, folder, 1)?;
    // One long work unit, so that the executor's lease is kept all the time.
    let long = Unit { cpu: 1_000, mem_mb: 1_000, work_ms: 16_000 };
    let mut accepted = site.submit(0, &job_id(1), &[(1, long)]);
    for number in 0..JOBS {
        let unit = Unit { cpu: 80, mem_mb: 100, work_ms: WORK_MS + 20 * number };
        accepted &= site.submit(number as usize, &job_id(10 + number), &[(TASKS, unit)]);
    }
    if !accepted {
        return Err("a job was not accepted".to_owned());
    }
    let begun = || site.world.lock().runs.len() as u64 == 1 + JOBS * TASKS;
    if !wait_for(Duration::from_secs(15), begun) {
        return Err(format!("only {} runs have begun", site.world.lock().runs.len()));
    }
    let first_begun = site.world.lock().runs.iter().skip(1).map(|run| run.began).min();
    let first_end = first_begun.unwrap_or(0) + WORK_MS;
    let slow_from = first_end - 1_000;
    let now = site.world.now();
    if now > slow_from {
        return Err("the runs have begun too slowly".to_owned());
    }
    site.world.note(&format!("all runs have begun; the first ends at {:.3} s", seconds(first_end)));
    thread::sleep(Duration::from_millis(slow_from - now));
    if trouble {
        site.world.set_store_delay(SLOW_STORE);
    }
    for _ in 0..45 {
        thread::sleep(Duration::from_millis(100));
        let state = site.world.lock();
        let executors = state.machines.values().filter_map(|machine| machine.executor.as_ref());
        let open: usize = executors.map(|executor| executor.open_ends()).sum();
        drop(state);
        if open > 0 {
            site.world.note(&format!("{open} ends are not taken note of"));
        }
    }
    if trouble {
        site.world.set_store_delay(Duration::ZERO);
    }
    thread::sleep(Duration::from_secs(10));
    for number in 0..JOBS {
        site.call(number as usize, "GET", &job_id(10 + number), "");
    }
    site.check_daemons()?;
    Ok(judge_twice(&site.world))
}

/// A call that writes a snapshot gets no response and is carried out late, and the leader is killed.
fn late_snapshot(
    world: World,
    repository: &Path,
    folder: &Path,
    trouble: bool,
) -> Result<bool, String> {
    let site = Site::start(world, repository, folder, 2)?;
    let site = Arc::new(std::sync::Mutex::new(site));
    let world = site.lock().unwrap().world.clone();
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..4u64)
        .map(|client| {
            let (site, stop) = (site.clone(), stop.clone());
            thread::spawn(move || clients_jobs(&site, &stop, client))
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    let mut killed = None;
    if trouble {
        world.lock().lose_next_with_removals = Some((16, Duration::from_millis(3_000)));
        let late = wait_for(Duration::from_secs(20), || world.lock().late_done);
        if !late {
            stop.store(true, Ordering::SeqCst);
            return Err("no such call was sent, or its condition no longer held".to_owned());
        }
        let mut site = site.lock().unwrap();
        killed = site.leader();
        if let Some(leader) = killed {
            site.daemons[leader].kill();
            world.note(&format!("{} is killed", site.daemons[leader].name));
        }
    } else {
        thread::sleep(Duration::from_secs(6));
    }
    thread::sleep(Duration::from_millis(500));
    if let Some(daemon) = killed {
        let mut site = site.lock().unwrap();
        site.daemons[daemon].start();
        world.note(&format!("{} is started again", site.daemons[daemon].name));
    }
    thread::sleep(Duration::from_secs(6));
    stop.store(true, Ordering::SeqCst);
    let accepted: Vec<String> =
        clients.into_iter().flat_map(|client| client.join().unwrap_or_default()).collect();
    thread::sleep(Duration::from_secs(6));
    let mut site = site.lock().unwrap();
    let mut unknown = 0;
    for (index, id) in accepted.iter().enumerate() {
        if matches!(site.call(index, "GET", id, ""), Some((410, _))) {
            unknown += 1;
            world.note(&format!("BROKEN: LOST: job {id} was accepted and isn't known"));
        }
    }
    world.note(&format!("{} jobs accepted, {unknown} of them not known", accepted.len()));
    site.check_daemons()?;
    Ok(judge_twice(&world) || unknown > 0)
}

/// Submits jobs one after the other until told to stop. Gives those that were accepted.
fn clients_jobs(
    site: &Arc<std::sync::Mutex<Site>>,
    stop: &Arc<AtomicBool>,
    client: u64,
) -> Vec<String> {
    let mut accepted = Vec::new();
    let mut number = client * 100_000;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let id = job_id(number);
        let short = Unit { cpu: 500, mem_mb: 500, work_ms: 150 + number % 7 * 30 };
        let long = Unit { work_ms: 2_500, ..short };
        // Every other job ends soon; the others are at work on their second step for a while.
        let steps = [(2, short), (1, if number % 2 == 0 { short } else { long })];
        if site.lock().unwrap().submit(number as usize, &id, &steps) {
            accepted.push(id);
        }
        thread::sleep(Duration::from_millis(120));
    }
    accepted
}

/// A wave names a machine that joined a moment ago.
fn wave_of_new_machine(
    world: World,
    repository: &Path,
    folder: &Path,
    trouble: bool,
) -> Result<bool, String> {
    let mut site = Site::start(world, repository, folder, 4)?;
    let world = site.world.clone();
    let before = world.lock().listed_at;
    let listed = || world.lock().listed_at != before;
    if !wait_for(Duration::from_secs(5), listed) {
        return Err("the machines are not listed".to_owned());
    }
    world.add_machine("m-new", "payroll");
    let wait = if trouble { 200 } else { 5_000 };
    thread::sleep(Duration::from_millis(wait));
    let wave = object([
        ("wave", 1u64.into()),
        ("machines", Json::List(vec!["m-new".into()])),
        ("deadline_s", 20u64.into()),
        ("max_count", 1u64.into()),
    ]);
    world.operator_writes("op/wave/1", &wave.encode());
    let said = |state: &str| {
        let text = world.text("status/wave/1")?;
        (Json::parse(&text)?.get("state").text() == state).then_some(())
    };
    let begun = || world.lock().machines["m-new"].maintained.contains(&1);
    let mut broken = false;
    let until = Instant::now() + Duration::from_secs(25);
    while Instant::now() < until && !broken {
        thread::sleep(Duration::from_millis(20));
        // The order of these two matters: the upkeep may begin between them.
        if said("completed").is_some() {
            broken = !begun();
            if !broken {
                world.note("the wave is said to be completed, its upkeep has begun");
                break;
            }
            world.note(
                "BROKEN: MIXED: wave 1 is said to be completed; m-new hasn't begun its upkeep",
            );
        }
    }
    if broken {
        thread::sleep(Duration::from_secs(10));
        world.note(&format!("10 s later the upkeep of m-new has begun: {}", begun()));
    } else if said("completed").is_none() {
        return Err("the wave was never completed".to_owned());
    }
    site.check_daemons()?;
    Ok(broken)
}

/// The leader is cut off from the platform with an order for a machine on its way.
fn stale_order(
    world: World,
    repository: &Path,
    folder: &Path,
    trouble: bool,
) -> Result<bool, String> {
    let mut site = Site::start(world, repository, folder, 4)?;
    let world = site.world.clone();
    world.lock().cut_at_order = trouble;
    let wave = object([
        ("wave", 1u64.into()),
        ("machines", Json::List(vec!["m-1".into(), "m-2".into()])),
        ("deadline_s", 30u64.into()),
        ("max_count", 1u64.into()),
    ]);
    world.operator_writes("op/wave/1", &wave.encode());
    if trouble {
        if !wait_for(Duration::from_secs(10), || world.lock().cut.is_some()) {
            return Err("no order was sent".to_owned());
        }
        thread::sleep(CUT);
        let cut = world.lock().cut.unwrap_or_default();
        world.note(&format!("daemon {cut} reaches the platform again"));
        world.links[cut].set_cut(false);
    }
    thread::sleep(Duration::from_secs(12));
    let orders = world.lock().orders.clone();
    let mut broken = false;
    for (index, order) in orders.iter().enumerate() {
        let newer = orders[..index]
            .iter()
            .find(|other| other.machine == order.machine && other.token > order.token);
        if let Some(newer) = newer {
            broken = true;
            world.note(&format!(
                "BROKEN: ONE: {}: order of {} with token {} at {:.3} s after that of {} with token {} at {:.3} s",
                order.machine,
                order.holder,
                order.token,
                seconds(order.at),
                newer.holder,
                newer.token,
                seconds(newer.at),
            ));
        }
    }
    site.check_daemons()?;
    Ok(broken)
}
