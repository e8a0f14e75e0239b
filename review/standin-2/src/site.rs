//! A small site: the platform, executors, and the project's daemons as processes.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    executor::Executor,
    http::{self, Reply},
    json::{Json, num, obj, text},
    record::Record,
    store::Store,
};

/// The deploy file's program.
const DAEMON: &str = "target/release/borageswitch_platformd";
pub const HOST: &str = "payroll.example";
pub const PREFIX: &str = "/pay/";
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// After this time the script ends its processes, whatever it is doing.
const TIME_LIMIT: Duration = Duration::from_secs(110);

struct Daemon {
    name: String,
    settings: PathBuf,
    callers: SocketAddr,
    probes: SocketAddr,
    process: Option<Child>,
}

pub struct Site {
    pub store: Arc<Store>,
    pub executors: Vec<Arc<Executor>>,
    pub record: Arc<Record>,
    daemons: Mutex<Vec<Daemon>>,
    folder: PathBuf,
}

impl Site {
    /// Starts the platform, `executors` executors of `cpu` thousandths of a core and three daemons.
    pub fn start(record: Arc<Record>, executors: usize, cpu: u64) -> Arc<Site> {
        let store = Store::new();
        let executors: Vec<_> =
            (1..=executors).map(|number| Executor::start(number, cpu, record.clone())).collect();
        let store_address = http::serve(store.handler());
        let listed = executors.clone();
        let hosts = http::serve(Arc::new(move |req| {
            if req.method != "GET" {
                return Reply::json(409, &obj(vec![("reason", text("busy"))]));
            }
            let machines = listed.iter().map(|executor| executor.listing()).collect();
            let body = vec![("machines", Json::Arr(machines)), ("next_token", Json::Null)];
            Reply::json(200, &obj(body))
        }));
        store.put("op/config", &config());
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let site = Arc::new(Site { store, executors, record, daemons: Mutex::default(), folder });
        site.clone().beat();
        let own = site.clone();
        thread::spawn(move || {
            thread::sleep(TIME_LIMIT);
            own.record.note("the time limit of the script is over");
            own.finish(2);
        });
        for number in 1..=3 {
            let daemon = site.settings(number, store_address, hosts);
            site.daemons.lock().unwrap().push(daemon);
            site.start_daemon(number - 1);
        }
        site
    }

    /// Executors write their registrations.
    fn beat(self: Arc<Self>) {
        thread::spawn(move || {
            for sequence in 1.. {
                for executor in &self.executors {
                    let key = format!("servers/{}", executor.id);
                    self.store.put(&key, &executor.registration(sequence));
                }
                thread::sleep(HEARTBEAT);
            }
        });
    }

    fn settings(&self, number: usize, store: SocketAddr, hosts: SocketAddr) -> Daemon {
        let name = format!("edge-midrand-{number}");
        let free: Vec<TcpListener> =
            (0..4).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
        let ports: Vec<SocketAddr> = free.iter().map(|l| l.local_addr().expect("bound")).collect();
        let [callers, probes, peers, metrics] = ports[..] else { unreachable!() };
        // The template of the deploy file, filled in for a site like sr-jhb.
        let settings = format!(
            r#"{{"name":"{name}","data_centre":"midrand","cores":0.25,
"listen":{{"callers":"{callers}","probes":"{probes}","peers":"{peers}","metrics":"{metrics}"}},
"platform":{{"store":"{store}","hosts":"{hosts}"}},
"promises":{{"longest_lease_ms":10000,"host_order_pause_ms":3000,"host_calls_per_s":64,
"host_move_s":1.5,"config_apply_ms":2000,"stop_s":6}}}}"#
        );
        let path = self.folder.join(format!("{name}.jsonc"));
        fs::write(&path, settings).expect("settings can be written");
        Daemon { name, settings: path, callers, probes, process: None }
    }

    pub fn start_daemon(&self, number: usize) {
        let mut daemons = self.daemons.lock().unwrap();
        let daemon = &mut daemons[number];
        let log = self.folder.join(format!("{}.log", daemon.name));
        let log = File::options().create(true).append(true).open(log).expect("a log");
        let process = Command::new(DAEMON)
            .env_clear()
            .env("BORAGESWITCH_CONFIG", &daemon.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        match process {
            Ok(process) => daemon.process = Some(process),
            Err(err) => {
                eprintln!("{DAEMON} cannot be started: {err}");
                std::process::exit(2);
            }
        }
    }

    /// Ends the daemon that leads at once, as a loss of power does. Gives its number.
    pub fn kill_leader(&self) -> Option<usize> {
        let record = self.store.value("bs/leader")?;
        let record = String::from_utf8_lossy(&record).into_owned();
        let mut daemons = self.daemons.lock().unwrap();
        let number = daemons.iter().position(|daemon| record.contains(&daemon.name))?;
        let mut process = daemons[number].process.take()?;
        let _ = process.kill();
        let _ = process.wait();
        Some(number)
    }

    /// The addresses for callers of the daemons that run, with their names.
    pub fn callers(&self) -> Vec<(String, SocketAddr)> {
        let daemons = self.daemons.lock().unwrap();
        let running = daemons.iter().filter(|daemon| daemon.process.is_some());
        running.map(|daemon| (daemon.name.clone(), daemon.callers)).collect()
    }

    /// Waits until all daemons are ready and one leads.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        let probes: Vec<SocketAddr> =
            self.daemons.lock().unwrap().iter().map(|daemon| daemon.probes).collect();
        while Instant::now() < until {
            let ready = |probe: &SocketAddr| {
                let answer =
                    http::call(*probe, "GET", "/-/readyz", "x", "", Duration::from_millis(500));
                answer.is_some_and(|(status, _)| status == 200)
            };
            if probes.iter().all(ready) && self.store.has("bs/leader") {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Ends all processes and the script.
    pub fn finish(&self, code: i32) -> ! {
        if code != 0 && std::env::var("KEEP_LOGS").is_ok() {
            println!("logs: {}", self.folder.display());
        } else {
            let _ = fs::remove_dir_all(&self.folder);
        }
        for daemon in self.daemons.lock().unwrap().iter_mut() {
            if let Some(mut process) = daemon.process.take() {
                let _ = process.kill();
                let _ = process.wait();
            }
        }
        self.record.note(match code {
            0 => "the rule held",
            1 => "the rule was broken",
            _ => "the case could not run",
        });
        std::process::exit(code);
    }
}

fn config() -> Json {
    let route = obj(vec![
        ("name", text("r-payslips")),
        ("host", text(HOST)),
        ("prefix", text(PREFIX)),
        ("kind", text("non_idempotent")),
        ("timeout_ms", num(3_000)),
        ("target_runtime_ms", num(600)),
        ("priority", num(0)),
        ("service", text("payroll")),
        ("max_attempts", num(2)),
        ("stretch_factor", Json::Num(1.6)),
    ]);
    let service = obj(vec![("name", text("payroll")), ("rejects_overload", Json::Bool(true))]);
    obj(vec![
        ("version", num(1)),
        ("routes", Json::Arr(vec![route])),
        ("services", Json::Arr(vec![service])),
    ])
}
