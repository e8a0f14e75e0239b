//! An executor, as PROTOCOL.md describes it: it runs work units for the time that their `spec`
//! names in milliseconds, under a lease on its own clock.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, OnceLock},
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
/// What the `cpu` of each work unit in these scripts is, in thousandths of a core.
pub const UNIT_CPU: u64 = 100;
const ENDED_PER_ANSWER: usize = 500;

struct Run {
    run: u64,
    began: u64,
    takes: u64,
}

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
}

pub struct Executor {
    pub id: String,
    pub machine: String,
    pub cpu: u64,
    pub address: OnceLock<SocketAddr>,
    born: Instant,
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
}

impl Executor {
    pub fn start(number: usize, cpu: u64, record: Arc<Record>) -> Arc<Executor> {
        let executor = Arc::new(Executor {
            id: format!("i-{number:08x}"),
            machine: format!("m-{number}"),
            cpu,
            address: OnceLock::new(),
            born: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
            record,
        });
        let own = executor.clone();
        let _ = executor.address.set(http::serve(Arc::new(move |req| own.serve(&req))));
        let own = executor.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                own.end_runs();
            }
        });
        executor
    }

    pub fn registration(&self, sequence: u64) -> Json {
        let address = self.address.get().map(SocketAddr::to_string).unwrap_or_default();
        obj(vec![
            ("service", text("payroll")),
            ("address", text(&address)),
            ("zone", text("midrand")),
            ("version", text("v1")),
            ("slots", num(8)),
            ("state", text("ready")),
            ("cold_left_ms", num(0)),
            ("capacity", self.capacity()),
            ("labels", Json::Arr(vec![text("a"), text("r1-1")])),
            ("clock_ms", num(self.clock())),
            ("sequence", num(sequence)),
        ])
    }

    pub fn listing(&self) -> Json {
        obj(vec![
            ("machine", text(&self.machine)),
            ("pool", text("payroll")),
            ("state", text("up")),
            ("zone", text("midrand")),
            ("labels", Json::Arr(vec![text("a"), text("r1-1")])),
            ("capacity", self.capacity()),
            ("id", text(&self.id)),
        ])
    }

    fn capacity(&self) -> Json {
        obj(vec![("cpu", num(self.cpu)), ("mem_mb", num(262_144)), ("gpu", num(0))])
    }

    fn clock(&self) -> u64 {
        self.born.elapsed().as_millis() as u64 + 1_000
    }

    fn end_runs(&self) {
        let now = self.clock();
        let mut state = self.state.lock().unwrap();
        let lapsed = state.until < now;
        let over: Vec<(String, &'static str)> = state
            .active
            .iter()
            .filter(|(_, run)| lapsed || run.began + run.takes <= now)
            .map(|(task, run)| {
                (task.clone(), if run.began + run.takes <= now { "done" } else { "lapsed" })
            })
            .collect();
        for (task, how) in over {
            self.end(&mut state, &task, how);
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.active.remove(task) else { return };
        state.ends += 1;
        state.over.insert(task.to_owned(), run.run);
        let number = state.ends;
        state.ended.push(Ended { number, task: task.to_owned(), run: run.run, how });
        self.record.count(how);
        self.record.run(&format!("{} ends {task} run {}: {how}", self.id, run.run));
        self.changed.notify_all();
    }

    fn serve(&self, req: &Request) -> Reply {
        if req.path == "/healthz" {
            return Reply::empty(200);
        }
        if req.headers.get("expect-instance").is_some_and(|id| *id != self.id) {
            return Reply::empty(421);
        }
        let (now, body) = (self.clock(), &req.body);
        let mut state = self.state.lock().unwrap();
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
                if (state.active.len() as u64 + 1) * UNIT_CPU > self.cpu {
                    return refused(409, "room");
                }
                let takes = body.get("spec").str().parse().unwrap_or(1_000);
                state.active.insert(task.clone(), Run { run, began: now, takes });
                self.record.count("started");
                self.record.run(&format!("{} starts {task} run {run}", self.id));
                fine
            }
            "/-/run-stop" => {
                let known = state.over.entry(task.clone()).or_default();
                *known = (*known).max(run);
                if state.active.get(&task).is_some_and(|known| known.run == run) {
                    self.end(&mut state, &task, "stopped");
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
                    if !state.ended.is_empty() || left.is_zero() {
                        break;
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
                Reply::json(200, &self.report(&state))
            }
            _ => Reply::empty(404),
        }
    }

    fn report(&self, state: &State) -> Json {
        let now = self.clock();
        let active = state.active.iter().map(|(task, run)| {
            let percent = ((now - run.began) * 100 / run.takes.max(1)).min(99);
            Json::Arr(vec![text(task), num(run.run), text(""), num(percent), num(UNIT_CPU)])
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
