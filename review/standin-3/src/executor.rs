//! Executors: they run work units under a lease and a fence number.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Reply, Request},
    json::{Json, quote},
    record::Recorder,
    store::Store,
};

/// The capacity of an executor, in thousandths of a core.
pub const CAPACITY_CPU: u64 = 16_000;
/// What a work unit takes, in thousandths of a core.
pub const UNIT_CPU: u64 = 1_000;
/// How often an executor writes its registration.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// How often runs are checked for their end.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(5);
/// The longest lease that an executor takes.
const LONGEST_LEASE_MS: u64 = 10_000;
/// What the clock of an executor shows at its start.
const CLOCK_START_MS: u64 = 400_000;

struct Run {
    number: u64,
    ends: Instant,
    lasts: Duration,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

#[derive(Default)]
struct State {
    token: u64,
    lease_until_ms: u64,
    active: BTreeMap<String, Run>,
    ended: Vec<End>,
    last_end: u64,
    /// The highest run of each work unit that was stopped or has ended.
    finished: BTreeMap<String, u64>,
}

/// A start that an executor has carried out.
#[derive(Clone, Debug)]
pub struct Start {
    /// When, in milliseconds since the begin of the record.
    pub at: u64,
    pub task: String,
}

/// What all executors together have started.
#[derive(Clone, Default)]
pub struct RunLog {
    starts: Arc<Mutex<Vec<Start>>>,
}

impl RunLog {
    /// The starts so far.
    pub fn starts(&self) -> Vec<Start> {
        self.starts.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn started(&self, at: u64, task: &str) {
        let start = Start { at, task: task.to_owned() };
        self.starts.lock().unwrap_or_else(PoisonError::into_inner).push(start);
    }
}

/// One executor. Clones are the same one.
#[derive(Clone)]
pub struct Executor {
    pub id: String,
    began: Instant,
    state: Arc<(Mutex<State>, Condvar)>,
    recorder: Recorder,
    log: RunLog,
}

impl Executor {
    /// Starts an executor that registers itself in the store.
    pub fn start(
        number: usize,
        service: &str,
        store: &Store,
        recorder: &Recorder,
        log: &RunLog,
    ) -> std::io::Result<Self> {
        let executor = Self {
            id: format!("i-{:08x}", 0x7f3a_0000 + number),
            began: Instant::now(),
            state: Arc::default(),
            recorder: recorder.clone(),
            log: log.clone(),
        };
        let own = executor.clone();
        let address = http::serve(move |request| own.handle(&request))?;
        let own = executor.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(ADVANCE_INTERVAL);
                own.advance();
            }
        });
        let (own, store, service) = (executor.clone(), store.clone(), service.to_owned());
        thread::spawn(move || own.register(address, &service, number, &store));
        Ok(executor)
    }

    /// Registers the executor, and again with each heartbeat.
    fn register(&self, address: SocketAddr, service: &str, number: usize, store: &Store) {
        for sequence in 1_u64.. {
            let clock_ms = self.clock_ms();
            let rack = number / 4;
            let entry = format!(
                "{{\"service\":{},\"address\":\"{address}\",\"zone\":\"a\",\"version\":\"v1\",\
                 \"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\
                 \"capacity\":{{\"cpu\":{CAPACITY_CPU},\"mem_mb\":65536,\"gpu\":0}},\
                 \"labels\":[\"a\",\"r1-{rack}\"],\"clock_ms\":{clock_ms},\"sequence\":{sequence}}}",
                quote(service)
            );
            store.put(&format!("servers/{}", self.id), &entry);
            thread::sleep(HEARTBEAT);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn clock_ms(&self) -> u64 {
        CLOCK_START_MS + self.began.elapsed().as_millis() as u64
    }

    /// Ends runs that are complete, and all runs once the lease is over.
    fn advance(&self) {
        let now = Instant::now();
        let lapsed = |state: &State| state.lease_until_ms <= self.clock_ms();
        let mut state = self.lock();
        let is_lapsed = lapsed(&state);
        let over: Vec<(String, &'static str)> = state
            .active
            .iter()
            .filter(|(_, run)| run.ends <= now || is_lapsed)
            .map(|(task, run)| (task.clone(), if run.ends <= now { "done" } else { "lapsed" }))
            .collect();
        for (task, how) in &over {
            state.end(task, how);
            self.recorder.line(&format!("executor {}: {task} ends {how}", self.id));
        }
        drop(state);
        if !over.is_empty() {
            self.state.1.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Reply {
        let expected = request.headers.get("expect-instance");
        if expected.is_some_and(|id| *id != self.id) {
            return self.answer(421, "");
        }
        let Some(body) = Json::parse(&request.body) else { return self.answer(400, "") };
        let mut state = self.lock();
        if body.number("fencing_token") < state.token {
            drop(state);
            return self.answer(409, ",\"reason\":\"fence\"");
        }
        state.token = body.number("fencing_token");
        drop(state);
        match request.path.as_str() {
            "/-/run-start" => self.start_run(&body),
            "/-/run-stop" => self.stop_run(&body),
            "/-/hold" => self.hold(&body),
            "/-/pace" => self.answer(200, ""),
            _ => self.answer(400, ""),
        }
    }

    fn answer(&self, status: u16, more: &str) -> Reply {
        Reply::Answer(status, format!("{{\"clock_ms\":{}{more}}}", self.clock_ms()))
    }

    fn start_run(&self, body: &Json) -> Reply {
        let (task, number) = (body.text("task"), body.number("run_id"));
        let until_ms = body.number("until_ms");
        if until_ms <= self.clock_ms() {
            return self.answer(409, ",\"reason\":\"late\"");
        }
        let mut state = self.lock();
        state.extend_lease(until_ms, self.clock_ms());
        let reason = match state.active.get(&task) {
            Some(run) if run.number == number => return self.answer(200, ""),
            _ if state.finished.get(&task).is_some_and(|finished| number <= *finished) => "old",
            Some(_) => "old",
            None if (state.active.len() as u64 + 1) * UNIT_CPU > CAPACITY_CPU => "room",
            None => "",
        };
        if !reason.is_empty() {
            drop(state);
            return self.answer(409, &format!(",\"reason\":\"{reason}\""));
        }
        let lasts = run_time(&body.text("spec"));
        state.active.insert(task.clone(), Run { number, ends: Instant::now() + lasts, lasts });
        drop(state);
        self.log.started(self.recorder.now(), &task);
        self.recorder.line(&format!("executor {}: {task} run {number} starts", self.id));
        self.answer(200, "")
    }

    fn stop_run(&self, body: &Json) -> Reply {
        let (task, number) = (body.text("task"), body.number("run_id"));
        let mut state = self.lock();
        let finished = state.finished.entry(task.clone()).or_default();
        *finished = (*finished).max(number);
        if state.active.get(&task).is_some_and(|run| run.number <= number) {
            state.end(&task, "stopped");
            self.recorder.line(&format!("executor {}: {task} is stopped", self.id));
        }
        drop(state);
        self.state.1.notify_all();
        self.answer(200, "")
    }

    fn hold(&self, body: &Json) -> Reply {
        let last_seen = body.number("last_seen");
        let until = Instant::now() + Duration::from_millis(body.number("wait_ms").min(2_000));
        let mut state = self.lock();
        let now_ms = self.clock_ms();
        state.extend_lease(body.number("until_ms"), now_ms);
        state.ended.retain(|end| end.number > last_seen);
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if !state.ended.is_empty() || left.is_zero() {
                break;
            }
            let waited = self.state.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        let active = state.active.iter().map(|(task, run)| {
            let left = run.ends.saturating_duration_since(Instant::now());
            let percent = 100.0 - 100.0 * left.as_secs_f64() / run.lasts.as_secs_f64().max(0.001);
            format!("[{},{},\"\",{}]", quote(task), run.number, percent as u64)
        });
        let active = active.collect::<Vec<_>>().join(",");
        let ended = state.ended.iter().take(500).map(|end| {
            let End { number, task, run, how } = end;
            format!("[{number},{},{run},\"{how}\",\"\"]", quote(task))
        });
        let ended = ended.collect::<Vec<_>>().join(",");
        drop(state);
        self.answer(200, &format!(",\"active\":[{active}],\"ended\":[{ended}]"))
    }
}

impl State {
    fn extend_lease(&mut self, until_ms: u64, now_ms: u64) {
        self.lease_until_ms = self.lease_until_ms.max(until_ms.min(now_ms + LONGEST_LEASE_MS));
    }

    fn end(&mut self, task: &str, how: &'static str) {
        let Some(run) = self.active.remove(task) else { return };
        self.last_end += 1;
        let finished = self.finished.entry(task.to_owned()).or_default();
        *finished = (*finished).max(run.number);
        let (number, task) = (self.last_end, task.to_owned());
        self.ended.push(End { number, task, run: run.number, how });
    }
}

/// How long a work unit runs, by the text of its job: `ms=800`.
fn run_time(spec: &str) -> Duration {
    let text = spec.split_whitespace().find_map(|word| word.strip_prefix("ms="));
    Duration::from_millis(text.and_then(|text| text.parse().ok()).unwrap_or(500))
}
