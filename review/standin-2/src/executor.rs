//! An executor, as PROTOCOL.md describes it: it runs work units for the time that their `spec`
//! names in milliseconds, under a lease on its own clock.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Condvar, Mutex, OnceLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Reply, Request},
    json::{Json, num, obj, text},
    record::Record,
};

/// The longest lease that an executor takes: `hold_max_ms`.
const LONGEST_LEASE_MS: u64 = 10_000;
const ENDED_PER_ANSWER: usize = 500;

/// What the machines of a site are like.
pub struct Shape {
    /// The capacity of a machine, and what each work unit of the script takes, in thousandths of a
    /// core.
    pub cpu: u64,
    pub unit_cpu: u64,
    /// The kind of the first machine; all others are of kind `a`.
    pub first_kind: &'static str,
}

/// What a `spec` of these scripts says: `takes=MS`, `gang=COUNT`, `lasting` and `together`.
#[derive(Clone, Copy)]
struct Work {
    takes: u64,
    gang: Option<u64>,
    lasting: bool,
    /// All work units of the step end at one moment, `takes` after the first has started.
    together: bool,
}

impl Work {
    fn parse(spec: &str) -> Work {
        let number = |name: &str| {
            let value = spec.split(' ').find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
            value.and_then(|value| value.parse().ok())
        };
        let has = |name: &str| spec.split(' ').any(|word| word == name);
        Work {
            takes: number("takes").unwrap_or(1_000),
            gang: number("gang"),
            lasting: has("lasting"),
            together: has("together"),
        }
    }
}

/// The members of one run of a gang, on all executors.
#[derive(Default)]
pub struct Gang {
    present: u64,
    working_since: Option<Instant>,
    broken: bool,
}

/// All gangs, by their step and run.
pub type Gangs = Arc<Mutex<BTreeMap<(String, u64), Gang>>>;

struct Run {
    run: u64,
    began: u64,
    arrived: Instant,
    work: Work,
    fails: bool,
}

/// When a run fails on an executor that fails all that it starts.
const FAILS_AFTER_MS: u64 = 300;

/// `gang_timeout_ms`.
const GANG_TIMEOUT: Duration = Duration::from_secs(3);
/// The startup of a work unit that lasts.
const STARTUP_MS: u64 = 500;

struct Ended {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

#[derive(Default)]
struct State {
    fence: u64,
    until: u64,
    active: BTreeMap<String, Run>,
    /// The highest run of each work unit that was stopped or has ended here.
    over: BTreeMap<String, u64>,
    ended: Vec<Ended>,
    ends: u64,
    /// The process has crashed: it does and answers nothing any more.
    crashed: bool,
}

/// One life of an executor.
struct Boot {
    id: String,
    born: Instant,
    state: Mutex<State>,
    changed: Condvar,
}

impl Boot {
    fn clock(&self) -> u64 {
        self.born.elapsed().as_millis() as u64 + 1_000
    }
}

/// A machine and its executor.
pub struct Executor {
    pub machine: String,
    cpu: u64,
    unit_cpu: u64,
    labels: [&'static str; 2],
    address: OnceLock<SocketAddr>,
    boot: Mutex<Option<Arc<Boot>>>,
    boots: AtomicU64,
    /// It fails all that it starts.
    grey: AtomicBool,
    gangs: Gangs,
    /// The state of the machine while it has no executor.
    away: Mutex<&'static str>,
    record: Arc<Record>,
}

impl Executor {
    pub fn start(number: usize, shape: &Shape, gangs: Gangs, record: Arc<Record>) -> Arc<Executor> {
        let executor = Arc::new(Executor {
            machine: format!("m-{number}"),
            cpu: shape.cpu,
            unit_cpu: shape.unit_cpu,
            labels: [if number == 1 { shape.first_kind } else { "a" }, "r1-1"],
            address: OnceLock::new(),
            boot: Mutex::default(),
            boots: AtomicU64::new(0),
            grey: AtomicBool::new(false),
            gangs,
            away: Mutex::new("down"),
            record,
        });
        executor.boot();
        let own = executor.clone();
        let _ = executor.address.set(http::serve(Arc::new(move |req| own.serve(&req))));
        let own = executor.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                if let Some(boot) = own.current() {
                    own.end_runs(&boot);
                }
            }
        });
        executor
    }

    /// Starts the executor, under a new id.
    pub fn boot(&self) {
        let life = self.boots.fetch_add(1, Ordering::SeqCst);
        let id = format!("i-{}-{life}", self.machine);
        self.record.run(&format!("{} starts as {id}", self.machine));
        let (state, changed) = (Mutex::default(), Condvar::new());
        *self.boot.lock().unwrap() =
            Some(Arc::new(Boot { id, born: Instant::now(), state, changed }));
    }

    /// The executor crashes, with all that runs there.
    pub fn crash(&self) {
        self.leave("down");
    }

    /// The executor ends, with all that runs there; the machine is in `state` until the next boot.
    /// Gives whether it was up.
    pub fn leave(&self, state_then: &'static str) -> bool {
        let Some(boot) = self.boot.lock().unwrap().take() else { return false };
        *self.away.lock().unwrap() = state_then;
        let mut state = boot.state.lock().unwrap();
        state.crashed = true;
        let lost: Vec<String> =
            state.active.iter().map(|(task, run)| format!("{task} run {}", run.run)).collect();
        self.record.count("crashes");
        self.record.run(&format!("{} is {state_then}, it ends with {lost:?}", boot.id));
        boot.changed.notify_all();
        true
    }

    /// How many work units of a job run here.
    pub fn running(&self, job: &str) -> usize {
        let Some(boot) = self.current() else { return 0 };
        let state = boot.state.lock().unwrap();
        state.active.keys().filter(|task| task.starts_with(job)).count()
    }

    fn current(&self) -> Option<Arc<Boot>> {
        self.boot.lock().unwrap().clone()
    }

    /// The key and value of its registration; `None` while it is down.
    pub fn registration(&self, sequence: u64) -> Option<(String, Json)> {
        let boot = self.current()?;
        let address = self.address.get().map(SocketAddr::to_string).unwrap_or_default();
        let value = obj(vec![
            ("service", text("payroll")),
            ("address", text(&address)),
            ("zone", text("midrand")),
            ("version", text("v1")),
            ("slots", num(8)),
            ("state", text("ready")),
            ("cold_left_ms", num(0)),
            ("capacity", self.capacity()),
            ("labels", self.labels()),
            ("clock_ms", num(boot.clock())),
            ("sequence", num(sequence)),
        ]);
        Some((format!("servers/{}", boot.id), value))
    }

    pub fn listing(&self) -> Json {
        let boot = self.current();
        obj(vec![
            ("machine", text(&self.machine)),
            ("pool", text("payroll")),
            ("state", text(if boot.is_some() { "up" } else { *self.away.lock().unwrap() })),
            ("zone", text("midrand")),
            ("labels", self.labels()),
            ("capacity", self.capacity()),
            ("id", boot.map_or(Json::Null, |boot| text(&boot.id))),
        ])
    }

    fn labels(&self) -> Json {
        Json::Arr(self.labels.iter().map(|label| text(label)).collect())
    }

    fn capacity(&self) -> Json {
        obj(vec![("cpu", num(self.cpu)), ("mem_mb", num(262_144)), ("gpu", num(0))])
    }

    fn end_runs(&self, boot: &Boot) {
        let now = boot.clock();
        let mut state = boot.state.lock().unwrap();
        if state.crashed {
            return;
        }
        let lapsed = state.until < now;
        let mut over = Vec::new();
        for (task, run) in &state.active {
            let how = if lapsed { Some("lapsed") } else { self.end_of(task, run, now) };
            over.extend(how.map(|how| (task.clone(), how)));
        }
        for (task, how) in over {
            self.end(boot, &mut state, &task, how);
        }
    }

    /// From now on it fails all that it starts, or no longer.
    pub fn set_grey(&self, grey: bool) {
        self.grey.store(grey, Ordering::SeqCst);
    }

    /// How a run ends by now, if it does.
    fn end_of(&self, task: &str, run: &Run, now: u64) -> Option<&'static str> {
        if run.fails {
            return (run.began + FAILS_AFTER_MS <= now).then_some("failed");
        }
        if run.work.together {
            let firsts = self.gangs.lock().unwrap();
            let since = firsts.get(&(step_of(task), 0))?.working_since?;
            return (since.elapsed().as_millis() as u64 >= run.work.takes).then_some("done");
        }
        if run.work.gang.is_none() {
            return (run.began + run.work.takes <= now).then_some("done");
        }
        let gangs = self.gangs.lock().unwrap();
        let gang = gangs.get(&(step_of(task), run.run))?;
        match gang.working_since {
            _ if gang.broken => Some("broken"),
            Some(since) => (since.elapsed().as_millis() as u64 >= run.work.takes).then_some("done"),
            None => (run.arrived.elapsed() >= GANG_TIMEOUT).then_some("alone"),
        }
    }

    /// A member of a gang has arrived.
    fn join_gang(&self, task: &str, run: u64, members: u64) {
        let mut gangs = self.gangs.lock().unwrap();
        let gang = gangs.entry((step_of(task), run)).or_default();
        gang.present += 1;
        if gang.present == members {
            gang.working_since = Some(Instant::now());
        }
    }

    fn end(&self, boot: &Boot, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.active.remove(task) else { return };
        if run.work.gang.is_some() && how != "done" {
            let mut gangs = self.gangs.lock().unwrap();
            gangs.entry((step_of(task), run.run)).or_default().broken = true;
        }
        state.ends += 1;
        state.over.insert(task.to_owned(), run.run);
        let number = state.ends;
        state.ended.push(Ended { number, task: task.to_owned(), run: run.run, how });
        self.record.count(how);
        self.record.run(&format!("{} ends {task} run {}: {how}", boot.id, run.run));
        boot.changed.notify_all();
    }

    fn serve(&self, req: &Request) -> Reply {
        let Some(boot) = self.current() else { return Reply::Reset };
        if req.path == "/healthz" {
            return Reply::empty(200);
        }
        if req.headers.get("expect-instance").is_some_and(|id| *id != boot.id) {
            return Reply::empty(421);
        }
        let (now, body) = (boot.clock(), &req.body);
        let mut state = boot.state.lock().unwrap();
        if state.crashed {
            return Reply::Reset;
        }
        let refused = |status, reason| {
            Reply::json(status, &obj(vec![("clock_ms", num(now)), ("reason", text(reason))]))
        };
        let fence = body.get("fencing_token").u64();
        if fence < state.fence {
            return refused(409, "fence");
        }
        state.fence = fence;
        let until = body.get("until_ms").u64().min(now + LONGEST_LEASE_MS);
        let (task, run) = (body.get("task").str().to_owned(), body.get("run_id").u64());
        let fine = Reply::json(200, &obj(vec![("clock_ms", num(now))]));
        match &*req.path {
            "/-/run-start" => {
                if until <= now {
                    return refused(409, "late");
                }
                state.until = state.until.max(until);
                if state.active.get(&task).is_some_and(|known| known.run == run) {
                    return fine;
                }
                let over = state.over.get(&task).is_some_and(|over| run <= *over);
                if over || state.active.contains_key(&task) {
                    return refused(409, "old");
                }
                if (state.active.len() as u64 + 1) * self.unit_cpu > self.cpu {
                    return refused(409, "room");
                }
                let work = Work::parse(body.get("spec").str());
                if let Some(members) = work.gang {
                    self.join_gang(&task, run, members);
                }
                let arrived = Instant::now();
                if work.together {
                    let mut firsts = self.gangs.lock().unwrap();
                    let first = firsts.entry((step_of(&task), 0)).or_default();
                    first.working_since.get_or_insert(arrived);
                }
                let fails = self.grey.load(Ordering::SeqCst);
                state.active.insert(task.clone(), Run { run, began: now, arrived, work, fails });
                self.record.count("started");
                self.record.run(&format!("{} starts {task} run {run}", boot.id));
                fine
            }
            "/-/run-stop" => {
                let known = state.over.entry(task.clone()).or_default();
                *known = (*known).max(run);
                if state.active.get(&task).is_some_and(|known| known.run == run) {
                    self.end(&boot, &mut state, &task, "stopped");
                }
                fine
            }
            "/-/pace" => fine,
            "/-/hold" => {
                let seen = body.get("last_seen").u64();
                state.until = state.until.max(until);
                state.ended.retain(|ended| ended.number > seen);
                let waits = Duration::from_millis(body.get("wait_ms").u64().min(2_000));
                let due = Instant::now() + waits;
                loop {
                    let left = due.saturating_duration_since(Instant::now());
                    if state.crashed {
                        return Reply::Reset;
                    }
                    if !state.ended.is_empty() || left.is_zero() {
                        break;
                    }
                    state = boot.changed.wait_timeout(state, left).unwrap().0;
                }
                Reply::json(200, &self.report(boot.clock(), &state))
            }
            _ => Reply::empty(404),
        }
    }

    fn report(&self, now: u64, state: &State) -> Json {
        let active = state.active.iter().map(|(task, run)| {
            let age = now - run.began;
            let percent = match run.work.lasting {
                true => (age * 100 / STARTUP_MS).min(100),
                false => (age * 100 / run.work.takes.max(1)).min(99),
            };
            Json::Arr(vec![text(task), num(run.run), text(""), num(percent), num(self.unit_cpu)])
        });
        let ended = state.ended.iter().take(ENDED_PER_ANSWER).map(|ended| {
            let (number, run) = (num(ended.number), num(ended.run));
            Json::Arr(vec![number, text(&ended.task), run, text(ended.how), text("")])
        });
        obj(vec![
            ("clock_ms", num(now)),
            ("active", Json::Arr(active.collect())),
            ("ended", Json::Arr(ended.collect())),
        ])
    }
}

/// The step of a work unit's name, ID.K.STEP.INDEX.
fn step_of(task: &str) -> String {
    task.rsplit_once('.').map_or(task, |(step, _)| step).to_owned()
}
