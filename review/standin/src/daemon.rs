//! The project's daemons as processes, started as the deploy file says.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use crate::{http, world::World};

/// A daemon of a small deployment. It is ended when it is dropped.
pub struct Daemon {
    pub name: String,
    pub callers: SocketAddr,
    probes: SocketAddr,
    words: Vec<String>,
    settings: PathBuf,
    log: PathBuf,
    pids: PathBuf,
    child: Option<Child>,
}

/// The ports that are tried for daemons.
const PORTS: std::ops::Range<u16> = 12_000..28_000;

/// The loopback address of this run's daemons. It is made of the process id, so that runs at the same
/// time do not compete for ports, and outgoing connections, which have another address, do not either.
fn own_ip() -> Ipv4Addr {
    let id = std::process::id();
    Ipv4Addr::new(127, 64 + (id >> 16 & 63) as u8, (id >> 8 & 255) as u8, (id & 255) as u8)
}

/// Addresses with free ports, none of which was given before.
fn free_addresses<const N: usize>(given: &mut Vec<SocketAddr>) -> [SocketAddr; N] {
    [(); N].map(|()| {
        let addresses = PORTS.map(|port| SocketAddr::from((own_ip(), port)));
        let free = addresses
            .filter(|address| !given.contains(address))
            .find(|address| TcpListener::bind(address).is_ok());
        let address = free.expect("a free port");
        given.push(address);
        address
    })
}

impl Daemon {
    /// A daemon that does not run yet, with settings from the project's template.
    ///
    /// `ports` has the addresses that other daemons have got.
    pub fn new(
        repository: &Path,
        folder: &Path,
        number: usize,
        world: &World,
        ports: &mut Vec<SocketAddr>,
    ) -> Self {
        let name = format!("edge-midrand-{}", number + 1);
        let [callers, probes, peers, metrics] = free_addresses::<4>(ports);
        let values = BTreeMap::from([
            ("node_name", name.clone()),
            ("zone", "midrand".to_owned()),
            ("ip", own_ip().to_string()),
            ("limits.cpu_fraction", "0.25".to_owned()),
            ("listen_addrs.frontend", callers.to_string()),
            ("listen_addrs.ready", probes.to_string()),
            ("internal_ports.0", peers.port().to_string()),
            ("platform.address", world.serve_store(number).to_string()),
            ("cloud_api.address", world.serve_machines(number).to_string()),
            ("cloud_api.duty_per_s", "64.0".to_owned()),
            ("bounds.hold_max_ms", "10000".to_owned()),
            ("bounds.lease_ms", "3000".to_owned()),
            ("bounds.migration_s", "1.5".to_owned()),
            ("bounds.config_apply_ms", "2000".to_owned()),
            ("bounds.grace_s", "6".to_owned()),
        ]);
        let template = fs::read_to_string(repository.join("deploy/settings.jsonc"))
            .expect("the template can be read");
        // All daemons share one address here, so each gets a port of its own for metrics.
        let text = filled_in(&template, &values).replace(":9464", &format!(":{}", metrics.port()));
        let settings = folder.join(format!("{name}.jsonc"));
        fs::write(&settings, text).expect("the settings can be written");
        let deploy = fs::read_to_string(repository.join("deploy/system.toml"))
            .expect("the deploy file can be read");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = ")).expect("a run line");
        let words = run.trim_matches('"').split(' ').map(str::to_owned).collect();
        let log = folder.join(format!("{name}.log"));
        let pids = folder.join("pids");
        Self { name, callers, probes, words, settings, log, pids, child: None }
    }

    /// Starts the process. Its id stands in the file `pids` while it runs, so that the script can end
    /// it in any case.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let child = Command::new(&self.words[0])
            .args(&self.words[1..])
            .env("BORAGESWITCH_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log"))
            .stdout(log)
            .spawn()
            .expect("the daemon can be started");
        let mut running = self.running();
        running.push(child.id());
        self.write_running(&running);
        self.child = Some(child);
    }

    /// The ids of the processes that run, from the file `pids`.
    fn running(&self) -> Vec<u32> {
        let text = fs::read_to_string(&self.pids).unwrap_or_default();
        text.lines().filter_map(|line| line.parse().ok()).collect()
    }

    fn write_running(&self, running: &[u32]) {
        let lines: String = running.iter().map(|id| format!("{id}\n")).collect();
        fs::write(&self.pids, lines).expect("the ids can be written");
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            let mut running = self.running();
            running.retain(|id| *id != child.id());
            self.write_running(&running);
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        let timeout = Duration::from_millis(500);
        let answer = http::call(self.probes, "GET", "/-/readyz", "probe", "", timeout);
        answer.is_some_and(|(status, _)| status == 200)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Fills in the template as DEPLOY.md says, as far as the project's template needs it.
fn filled_in(template: &str, values: &BTreeMap<&str, String>) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        out.push_str(before);
        let (name, after) = after.split_once("}}").expect("a placeholder ends");
        rest = after;
        if let Some(section) = name.strip_prefix('#') {
            let end = format!("{{{{/{section}}}}}");
            let (inner, after) = after.split_once(&end).expect("a section ends");
            if values.contains_key(section) {
                out.push_str(&filled_in(inner, values));
            }
            rest = after;
        } else {
            out.push_str(values.get(name).map_or("", String::as_str));
        }
    }
    out + rest
}
