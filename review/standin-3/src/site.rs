//! A small deployment: store, list of machines, executors, an advisor and the project's daemons.

use std::{
    fs,
    io::{self, Error},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::{
    advisor,
    executor::{CAPACITY_CPU, Executor, RunLog},
    http::{self, Reply},
    record::Recorder,
    store::Store,
};

/// The program of the deploy file.
const PROGRAM: &str = "target/release/borageswitch_platformd";
/// The key of the daemon that leads.
const LEADER_KEY: &str = "bs/leader";
/// How long the daemons may take to start.
const START_TIME: Duration = Duration::from_secs(20);
/// `memory_mb` of the small sites' machines.
const MEMORY_LIMIT_MB: u64 = 260;
/// How often the daemons are looked at.
const SUPERVISION_INTERVAL: Duration = Duration::from_millis(10);
/// The delay before a daemon that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// The ports among which those of the daemons are chosen.
const FIRST_PORT: u16 = 12_000;
const PORTS: u32 = 16_000;
static NEXT_PORT: AtomicU32 = AtomicU32::new(0);
const SERVICE: &str = "dele69a";
const HOST: &str = "pule25.example";
const PREFIX: &str = "/puxa400/";

/// A daemon as a process.
struct Daemon {
    child: Child,
    callers: SocketAddr,
    probes: SocketAddr,
    settings: PathBuf,
    output: PathBuf,
    /// How often it has ended by itself, or was killed for its memory.
    ends: u32,
    /// When it is started again, if it has ended.
    restart_at: Option<Instant>,
}

/// A running deployment. Dropping it ends its daemons.
pub struct Site {
    pub store: Store,
    pub runs: RunLog,
    pub recorder: Recorder,
    daemons: Vec<Daemon>,
    folder: PathBuf,
}

/// What a site consists of.
pub struct Plan {
    pub daemons: usize,
    pub executors: usize,
    pub advisor: Option<advisor::Times>,
}

impl Site {
    /// Starts a site and waits until its daemons are ready and one of them leads.
    pub fn start(plan: &Plan, recorder: Recorder) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("standin-3-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let runs = RunLog::default();
        let (store, store_address) = Store::start(recorder.clone())?;
        let mut machines = Vec::new();
        for number in 0..plan.executors {
            let executor = Executor::start(number, SERVICE, &store, &recorder, &runs)?;
            machines.push(machine(number, &executor.id));
        }
        let list = format!("{{\"machines\":[{}],\"next_token\":null}}", machines.join(","));
        let hosts = http::serve(move |request| match request.path.as_str() {
            "/-/machines" => Reply::Answer(200, list.clone()),
            _ => Reply::Answer(409, "{\"reason\":\"busy\"}".to_owned()),
        })?;
        let advisor = match plan.advisor {
            Some(times) => Some(advisor::start(times, recorder.clone())?),
            None => None,
        };
        store.put("op/config", &config(plan.advisor));
        let mut site = Self { store, runs, recorder, daemons: Vec::new(), folder };
        for number in 0..plan.daemons {
            let daemon = site.start_daemon(number, store_address, hosts, advisor)?;
            site.daemons.push(daemon);
        }
        site.wait_until_ready()?;
        Ok(site)
    }

    fn start_daemon(
        &self,
        number: usize,
        store: SocketAddr,
        hosts: SocketAddr,
        advisor: Option<SocketAddr>,
    ) -> io::Result<Daemon> {
        let ports = free_ports(4)?;
        let [callers, probes, peers, metrics] = ports[..] else {
            return Err(Error::other("four ports are needed"));
        };
        let advisor = advisor.map(|address| format!("\"advisor\": \"{address}\", "));
        // The template `deploy/settings.jsonc`, filled in with the bounds of a small site.
        let settings = format!(
            "{{\"name\": \"edge-a-{number}\", \"data_centre\": \"a\", \"cores\": 0.25,\n\
             \"listen\": {{\"callers\": \"{callers}\", \"probes\": \"{probes}\", \
             \"peers\": \"{peers}\", \"metrics\": \"{metrics}\"}},\n\
             \"platform\": {{{}\"store\": \"{store}\", \"hosts\": \"{hosts}\"}},\n\
             \"promises\": {{\"longest_lease_ms\": 10000, \"host_order_pause_ms\": 3000, \
             \"host_calls_per_s\": 64.0, \"host_move_s\": 1.5, \"config_apply_ms\": 2000, \
             \"stop_s\": 6}}}}\n",
            advisor.unwrap_or_default()
        );
        let path = self.folder.join(format!("settings-{number}.jsonc"));
        fs::write(&path, settings)?;
        let output = self.folder.join(format!("daemon-{number}.log"));
        let child = spawn(&path, &output)?;
        self.recorder.line(&format!("daemon {number} starts, callers at {callers}"));
        let (ends, restart_at) = (0, None);
        Ok(Daemon { child, callers, probes, settings: path, output, ends, restart_at })
    }

    fn wait_until_ready(&self) -> io::Result<()> {
        let until = Instant::now() + START_TIME;
        let patience = Duration::from_millis(500);
        let is_ready = |daemon: &Daemon| {
            let answer = http::call(daemon.probes, "GET", "/-/readyz", "a", "", patience);
            answer.is_some_and(|(status, _)| status == 200)
        };
        while !self.daemons.iter().all(is_ready) || !self.store.has(LEADER_KEY) {
            if Instant::now() > until {
                return Err(Error::other("the daemons are not ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.recorder.line("all daemons are ready, one leads");
        Ok(())
    }

    /// Lets time pass as on the platform: a daemon that exceeds its memory is killed, and one that
    /// has ended is started again after a short delay.
    pub fn pass(&mut self, time: Duration) -> io::Result<()> {
        let until = Instant::now() + time;
        while Instant::now() < until {
            for number in 0..self.daemons.len() {
                self.supervise(number)?;
            }
            thread::sleep(SUPERVISION_INTERVAL);
        }
        Ok(())
    }

    fn supervise(&mut self, number: usize) -> io::Result<()> {
        let recorder = &self.recorder;
        let daemon = &mut self.daemons[number];
        if let Some(at) = daemon.restart_at {
            if Instant::now() >= at {
                daemon.child = spawn(&daemon.settings, &daemon.output)?;
                daemon.restart_at = None;
                recorder.line(&format!("daemon {number} is started again"));
            }
            return Ok(());
        }
        let used = memory_mb(daemon.child.id());
        let reason = match daemon.child.try_wait()? {
            Some(status) => format!("ends by itself: {status}"),
            None if used > MEMORY_LIMIT_MB => {
                daemon.child.kill()?;
                daemon.child.wait()?;
                format!("uses {used} MB of {MEMORY_LIMIT_MB} MB and is killed for it")
            }
            None => return Ok(()),
        };
        daemon.ends += 1;
        daemon.restart_at = Some(Instant::now() + RESTART_DELAY);
        recorder.line(&format!("daemon {number} {reason}"));
        Ok(())
    }

    /// How often each daemon has ended by itself, or was killed for its memory.
    pub fn ends(&self) -> Vec<u32> {
        self.daemons.iter().map(|daemon| daemon.ends).collect()
    }

    /// Sends a client's request about a job to a daemon, and records it with its answer.
    pub fn request(
        &self,
        daemon: usize,
        method: &str,
        job: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let sent = self.recorder.now();
        let path = format!("{PREFIX}{job}");
        let address = self.daemons[daemon].callers;
        let answer = http::call(address, method, &path, HOST, body, Duration::from_secs(3));
        let took = self.recorder.now() - sent;
        let shown = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".to_owned(),
        };
        self.recorder.line(&format!(
            "client: {method} {job} to daemon {daemon}, answered after {took} ms: {shown}"
        ));
        answer
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            // A daemon that has ended by itself cannot be killed.
            let _ = daemon.child.kill();
            let _ = daemon.child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Ports below the range from which the system gives ports to outgoing channels, so that none of
/// these takes one before its daemon has bound it.
fn free_ports(count: usize) -> io::Result<Vec<SocketAddr>> {
    let mut addresses = Vec::new();
    while addresses.len() < count {
        let number = NEXT_PORT.fetch_add(1, Ordering::SeqCst) % PORTS;
        let start = std::process::id().wrapping_mul(997) % PORTS;
        let port = FIRST_PORT + ((start + number) % PORTS) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            addresses.push(address);
        } else if number == PORTS - 1 {
            return Err(Error::other("no port is free"));
        }
    }
    Ok(addresses)
}

fn spawn(settings: &Path, output: &Path) -> io::Result<Child> {
    let output = fs::File::options().create(true).append(true).open(output)?;
    Command::new(Path::new(PROGRAM))
        .env_clear()
        .env("BORAGESWITCH_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(output.try_clone()?)
        .stderr(output)
        .spawn()
}

/// The memory that a process uses, in megabytes; 0 if it has ended.
fn memory_mb(process: u32) -> u64 {
    let read = || {
        let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
        Some(kilobytes / 1_024)
    };
    read().unwrap_or(0)
}

fn machine(number: usize, id: &str) -> String {
    let rack = number / 4;
    format!(
        "{{\"machine\":\"m-{number:05x}\",\"pool\":\"{SERVICE}\",\"state\":\"up\",\"zone\":\"a\",\
         \"labels\":[\"a\",\"r1-{rack}\"],\
         \"capacity\":{{\"cpu\":{CAPACITY_CPU},\"mem_mb\":65536,\"gpu\":0}},\"id\":\"{id}\"}}"
    )
}

fn config(advisor: Option<advisor::Times>) -> String {
    let advisor = advisor.map(|times| {
        format!(
            ",\"advisor\":{{\"decision_ms\":{},\"per_worker_ms\":{},\"validity_ms\":{}}}",
            times.decision.as_millis(),
            times.per_worker.as_millis(),
            times.validity.as_millis()
        )
    });
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-anu6wsj\",\"host\":\"{HOST}\",\
         \"prefix\":\"{PREFIX}\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\
         \"target_runtime_ms\":600,\"priority\":0,\"service\":\"{SERVICE}\",\"max_attempts\":3,\
         \"stretch_factor\":1.6{}}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"rejects_overload\":true}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":5000,\"idle_timeout_ms\":15000}}}}",
        advisor.unwrap_or_default()
    )
}
