//! The platform, its machines and their executors, with everything that they have seen.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs::File,
    io::Write,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{
    executor::{Executor, RunRecord, Unit},
    http::{self, Link, Reply, Request},
    json::{Json, object},
    store::{Store, Transaction},
};

/// How long an upkeep takes (`maintenance_s`).
const UPKEEP: Duration = Duration::from_millis(2_000);
/// How long a move takes (`migration_s`).
const MOVE: Duration = Duration::from_millis(1_500);
/// How often the world lets happen what is due.
const TICK: Duration = Duration::from_millis(5);
/// The room of a machine.
const CPU: u64 = 64_000;
const MEM_MB: u64 = 262_144;

/// A machine of the fleet.
#[derive(Debug)]
pub struct Machine {
    pub pool: String,
    pub state: &'static str,
    /// When it is back, if it is away.
    back_at: Option<Instant>,
    address: SocketAddr,
    pub executor: Option<Executor>,
    pub maintained: BTreeSet<u64>,
}

/// An order for a machine, as the platform has seen it.
#[derive(Clone, Debug)]
pub struct MachineOrder {
    pub at: u64,
    pub holder: String,
    pub token: u64,
    pub machine: String,
}

#[derive(Default)]
pub struct State {
    pub store: Store,
    pub machines: BTreeMap<String, Machine>,
    pub runs: Vec<RunRecord>,
    pub orders: Vec<MachineOrder>,
    /// The work units of jobs that clients have sent, by job and step.
    pub units: BTreeMap<(String, usize), Unit>,
    /// How long the store takes to answer.
    pub store_delay: Duration,
    /// The next transaction that removes this many keys at least gets no response, and is carried
    /// out late.
    pub lose_next_with_removals: Option<(usize, Duration)>,
    /// Whether such a transaction was carried out.
    pub late_done: bool,
    /// The daemon whose lease was renewed last.
    pub renewed: Option<usize>,
    /// When a list of machines was last asked for.
    pub listed_at: Option<Instant>,
    /// The next order for a machine begins a cut of the daemon that sends it.
    pub cut_at_order: bool,
    /// The daemon that was cut off so.
    pub cut: Option<usize>,
    lives: u64,
}

/// The world. Copies share it.
#[derive(Clone)]
pub struct World {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
    began: Instant,
    record: Arc<Mutex<File>>,
    /// The links of the daemons to the platform.
    pub links: Vec<Arc<Link>>,
}

impl World {
    pub fn new(record: File, daemons: usize) -> Self {
        let world = Self {
            state: Arc::default(),
            changed: Arc::default(),
            began: Instant::now(),
            record: Arc::new(Mutex::new(record)),
            links: (0..daemons).map(|_| Arc::default()).collect(),
        };
        let own = world.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(TICK);
                own.advance();
            }
        });
        world
    }

    /// Milliseconds since the world began.
    pub fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Writes a line to the record.
    pub fn note(&self, text: &str) {
        let mut record = self.record.lock().unwrap();
        let _ = writeln!(record, "{:>9.3} s  {text}", self.now() as f64 / 1_000.0);
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    pub fn wake(&self) {
        self.changed.notify_all();
    }

    fn advance(&self) {
        let now = self.now();
        let mut guard = self.lock();
        let state = &mut *guard;
        let mut changed = state.store.expire(Instant::now());
        let mut back = Vec::new();
        for (name, machine) in &mut state.machines {
            if let Some(executor) = &mut machine.executor {
                executor.advance(now, &mut state.runs);
            }
            if machine.back_at.is_some_and(|at| at <= Instant::now()) {
                machine.back_at = None;
                back.push(name.clone());
            }
        }
        for name in back {
            self.begin_life(state, &name);
            changed = true;
        }
        drop(guard);
        if changed {
            self.wake();
        }
    }

    /// Adds a machine to a pool; its executor is there at once.
    pub fn add_machine(&self, name: &str, pool: &str) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let machine = Machine {
            pool: pool.to_owned(),
            state: "up",
            back_at: None,
            address,
            executor: None,
            maintained: BTreeSet::new(),
        };
        let (own, own_name) = (self.clone(), name.to_owned());
        http::serve(listener, Arc::default(), move |req| own.serve_executor(&own_name, req));
        let mut state = self.lock();
        state.machines.insert(name.to_owned(), machine);
        self.begin_life(&mut state, name);
        drop(state);
        self.wake();
    }

    fn begin_life(&self, state: &mut State, name: &str) {
        state.lives += 1;
        let id = format!("i-{:06x}", 0x4a1000 + state.lives);
        let Some(machine) = state.machines.get_mut(name) else { return };
        machine.state = "up";
        machine.executor = Some(Executor::new(id.clone(), state.lives * 100_000, CPU, MEM_MB));
        let entry = object([
            ("service", machine.pool.as_str().into()),
            ("address", machine.address.to_string().into()),
            ("zone", "midrand".into()),
            ("version", "v1".into()),
            ("slots", 8u64.into()),
            ("state", "ready".into()),
            ("cold_left_ms", 0u64.into()),
            ("sequence", 1u64.into()),
            ("capacity", capacity()),
            ("labels", labels()),
        ]);
        state.store.write(&format!("servers/{id}"), &entry.encode());
        self.note(&format!("{name}: executor {id} joins {}", machine.pool));
    }

    /// The operator writes a key.
    pub fn operator_writes(&self, key: &str, text: &str) {
        self.note(&format!("operator writes {key}: {text}"));
        self.lock().store.write(key, text);
        self.wake();
    }

    /// The text of a key.
    pub fn text(&self, key: &str) -> Option<String> {
        let (status, body) = self.lock().store.read(key);
        let value = crate::json::from_base64(Json::parse(&body)?.get("value").text())?;
        (status == 200).then(|| String::from_utf8_lossy(&value).into_owned())
    }

    /// Sets how long the store takes to answer.
    pub fn set_store_delay(&self, delay: Duration) {
        self.note(&format!("the store takes {} ms to answer", delay.as_millis()));
        self.lock().store_delay = delay;
    }

    /// Serves the store to a daemon at a port of its own. Gives the address.
    pub fn serve_store(&self, daemon: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let own = self.clone();
        let link = self.links[daemon].clone();
        http::serve(listener, link, move |req| own.serve_store_call(daemon, req));
        address
    }

    /// Serves the list of machines and their orders to a daemon at a port of its own.
    pub fn serve_machines(&self, daemon: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let own = self.clone();
        let link = self.links[daemon].clone();
        http::serve(listener, link, move |req| own.serve_machine_call(daemon, req));
        address
    }

    fn serve_store_call(&self, daemon: usize, req: &Request) -> Reply {
        let of = |name: &str| req.query.get(name).map_or("", String::as_str);
        let lease = || req.path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        let (status, body) = match req.path.as_str() {
            "/-/kv-key" => self.lock().store.read(of("key")),
            "/-/kv-range" => self.lock().store.list(of("prefix"), of("after")),
            "/-/kv-watch" => {
                let wait = Duration::from_millis(of("wait_ms").parse().unwrap_or(0));
                return self.watch(of("prefix"), of("after").parse().unwrap_or(0), wait);
            }
            "/-/kv-txn" => return self.commit(daemon, req),
            "/-/kv-lease" => {
                let ttl = Json::parse(&req.body).and_then(|body| body.get("ttl_ms").number());
                self.lock().store.grant(ttl.unwrap_or(1_000))
            }
            path if path.starts_with("/-/kv-keep/") => {
                let mut state = self.lock();
                let answer = state.store.keep(lease());
                if answer.0 == 200 {
                    state.renewed = Some(daemon);
                }
                answer
            }
            path if path.starts_with("/-/kv-lease-end/") => {
                let answer = self.lock().store.revoke(lease());
                self.wake();
                answer
            }
            _ => (404, "{}".to_owned()),
        };
        self.delay_answer();
        Reply::Answer(status, body)
    }

    /// Waits for as long as the store takes to answer.
    fn delay_answer(&self) {
        let delay = self.lock().store_delay;
        thread::sleep(delay);
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Reply {
        let until = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            if let Some(body) = state.store.changes(prefix, after) {
                return Reply::Answer(200, body);
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Reply::Answer(200, state.store.no_changes());
            }
            let look = left.min(Duration::from_millis(50));
            state = self.changed.wait_timeout(state, look).unwrap().0;
        }
    }

    fn commit(&self, daemon: usize, req: &Request) -> Reply {
        let Some(tx) = Transaction::parse(&req.body) else {
            return Reply::Answer(400, "{}".to_owned());
        };
        let mut state = self.lock();
        let late = state.lose_next_with_removals;
        if let Some((_, delay)) = late.filter(|(least, _)| tx.remove.len() >= *least) {
            state.lose_next_with_removals = None;
            drop(state);
            let keys = tx.keys();
            let removed = tx.remove.len();
            self.note(&format!(
                "daemon {daemon} writes {keys} and removes {removed} keys: no response"
            ));
            let own = self.clone();
            thread::spawn(move || {
                thread::sleep(delay);
                let mut state = own.lock();
                let (status, _) = state.store.commit(&tx);
                state.late_done = status == 200;
                drop(state);
                own.wake();
                own.note(&format!("the call that writes {keys} is carried out late: {status}"));
            });
            return Reply::Lost;
        }
        let (status, body) = state.store.commit(&tx);
        drop(state);
        if status == 200 {
            self.wake();
        }
        self.delay_answer();
        Reply::Answer(status, body)
    }

    fn serve_machine_call(&self, daemon: usize, req: &Request) -> Reply {
        match req.path.as_str() {
            "/-/machines" => {
                let list = self.list_machines();
                self.lock().listed_at = Some(Instant::now());
                Reply::Answer(200, list)
            }
            "/-/machine-move" | "/-/machine-upkeep" => {
                let mut state = self.lock();
                if std::mem::take(&mut state.cut_at_order) {
                    state.cut = Some(daemon);
                    drop(state);
                    let order = &req.body;
                    self.note(&format!(
                        "daemon {daemon} is cut off from the platform; its order {order} is on the way"
                    ));
                    self.links[daemon].set_cut(true);
                    return Reply::HeldBack;
                }
                drop(state);
                self.order_machine(req)
            }
            _ => Reply::Answer(404, "{}".to_owned()),
        }
    }

    fn list_machines(&self) -> String {
        let state = self.lock();
        let machines = state.machines.iter().map(|(name, machine)| {
            let id = machine.executor.as_ref().map_or(Json::Null, |e| e.id.as_str().into());
            object([
                ("machine", name.as_str().into()),
                ("pool", machine.pool.as_str().into()),
                ("state", machine.state.into()),
                ("zone", "midrand".into()),
                ("labels", labels()),
                ("capacity", capacity()),
                ("id", id),
            ])
        });
        let machines: Vec<Json> = machines.collect();
        object([("machines", machines.into()), ("next_token", Json::Null)]).encode()
    }

    fn order_machine(&self, req: &Request) -> Reply {
        let Some(body) = Json::parse(&req.body) else {
            return Reply::Answer(400, "{}".to_owned());
        };
        let header = |name: &str| req.headers.get(name).cloned().unwrap_or_default();
        let name = body.get("machine").text().to_owned();
        let (holder, token) = (header("duty-holder"), header("fencing-token"));
        let now = self.now();
        let mut guard = self.lock();
        let state = &mut *guard;
        state.orders.push(MachineOrder {
            at: now,
            holder: holder.clone(),
            token: token.parse().unwrap_or(0),
            machine: name.clone(),
        });
        let reply = match state.machines.get_mut(&name) {
            None => (400, "{}".to_owned()),
            Some(machine) => {
                let wave = body.get("wave").number();
                let pool = body.get("pool").text().to_owned();
                let done = match wave {
                    Some(wave) => machine.maintained.contains(&wave),
                    None => machine.pool == pool,
                };
                if done {
                    (200, "{}".to_owned())
                } else if machine.state != "up" {
                    (409, object([("reason", "busy".into())]).encode())
                } else {
                    if let Some(mut executor) = machine.executor.take() {
                        executor.vanish(now, &mut state.runs);
                        state.store.remove(&format!("servers/{}", executor.id));
                    }
                    match wave {
                        Some(wave) => {
                            machine.maintained.insert(wave);
                            machine.state = "upkeep";
                            machine.back_at = Some(Instant::now() + UPKEEP);
                        }
                        None => {
                            machine.pool = pool;
                            machine.state = "moving";
                            machine.back_at = Some(Instant::now() + MOVE);
                        }
                    }
                    (200, "{}".to_owned())
                }
            }
        };
        drop(guard);
        self.wake();
        let what = req.path.trim_start_matches("/-/");
        self.note(&format!("{what} {} by {holder}, token {token}: {}", req.body, reply.0));
        Reply::Answer(reply.0, reply.1)
    }

    fn serve_executor(&self, machine: &str, req: &Request) -> Reply {
        if !req.path.starts_with("/-/") {
            let up = self.lock().machines.get(machine).is_some_and(|m| m.executor.is_some());
            return Reply::Answer(if up { 200 } else { 503 }, "{}".to_owned());
        }
        let Some(body) = Json::parse(&req.body) else {
            return Reply::Answer(400, "{}".to_owned());
        };
        let expected = req.headers.get("expect-instance").cloned();
        let wait = Duration::from_millis(body.get("wait_ms").number().unwrap_or(0).min(2_000));
        let until = Instant::now() + wait;
        let mut first = true;
        loop {
            let now = self.now();
            let mut guard = self.lock();
            let state = &mut *guard;
            let known = state.machines.get_mut(machine).and_then(|m| m.executor.as_mut());
            let Some(executor) = known else { return Reply::Closed };
            if expected.as_ref().is_some_and(|expected| *expected != executor.id) {
                return Reply::Answer(421, "{}".to_owned());
            }
            let (status, text) = match req.path.as_str() {
                "/-/run-start" => {
                    let unit = unit_of(body.get("task").text(), &state.units);
                    let answer = executor.start(now, &body, unit, &mut state.runs);
                    let (task, run) = (body.get("task").text(), body.get("run_id").number());
                    let id = executor.id.clone();
                    drop(guard);
                    let run = run.unwrap_or(0);
                    self.note(&format!("{id}: start {task} run {run}: {} {}", answer.0, answer.1));
                    answer
                }
                "/-/run-stop" => executor.stop(now, &body, &mut state.runs),
                "/-/hold" => {
                    if std::mem::take(&mut first)
                        && let Err((status, text)) = executor.take_hold(now, &body, &mut state.runs)
                    {
                        return Reply::Answer(status, text);
                    }
                    executor.advance(now, &mut state.runs);
                    if !executor.has_ends() && Instant::now() < until {
                        drop(guard);
                        thread::sleep(TICK);
                        continue;
                    }
                    executor.lists(now)
                }
                _ => executor.plain(now),
            };
            return Reply::Answer(status, text);
        }
    }
}

fn unit_of(task: &str, units: &BTreeMap<(String, usize), Unit>) -> Option<Unit> {
    let mut parts = task.split('.');
    let job = parts.next()?.to_owned();
    let step = parts.nth(1)?.parse().ok()?;
    units.get(&(job, step)).copied()
}

fn capacity() -> Json {
    object([("cpu", CPU.into()), ("mem_mb", MEM_MB.into()), ("gpu", 0u64.into())])
}

fn labels() -> Json {
    Json::List(vec!["a".into(), "r1-1".into()])
}
