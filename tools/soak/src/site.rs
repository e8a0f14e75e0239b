//! Platform, daemons and proxies of one run.

use std::{
    io,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use borageswitch_fakes::{
    platform::{HostSpec, MemoryPlatform, example},
    serve::Runner,
};
use borageswitch_platform_standin::{self as standin, operator};
use borageswitch_runtime::{
    codec,
    keys::{self, LeaderRecord},
};
use borageswitch_scheduler::{
    config::{Config, Pool, Queue},
    job::Size,
};
use borageswitch_types::names::{ExecutorName, HostName, PoolName};

use crate::{addresses::Reservation, plan::Who, process::Daemon, proxy::Proxy};

/// How long a task takes.
const TASK_TIME: Duration = Duration::from_millis(80);
/// The pools that serve, in turn those of hosts.
pub const POOLS: [&str; 2] = ["payroll", "roster"];
/// The pool of hosts that are off.
const STANDBY: &str = "spare";
/// Every so many hosts one begins in the standby pool.
const STANDBY_EVERY: usize = 5;
/// What a host has: room for eight of the usual tasks.
pub const HOST_SIZE: Size = Size { cpu_milli: 8_000, memory_mb: 16_000, accelerators: 0 };

/// Everything that one run needs.
pub struct Site {
    /// The platform.
    pub platform: MemoryPlatform,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    /// Between each daemon and the store.
    pub store_links: Vec<Proxy>,
    /// Before each host's executor.
    pub host_links: Vec<Proxy>,
    config: Mutex<Config>,
    /// The number of the last wave.
    pub waves: AtomicU64,
}

impl Site {
    /// Puts a site together on an address of its own; no daemon runs yet.
    ///
    /// # Errors
    ///
    /// When a port cannot be bound or a file cannot be written.
    pub fn new(
        ex: &Runner,
        program: &Path,
        dir: &Path,
        daemons: usize,
        hosts: usize,
    ) -> io::Result<Self> {
        let platform = standin::platform(TASK_TIME);
        let reservation = Reservation::new()?;
        let addresses = standin::start(&platform, reservation.ip(), ex)?;
        let mut host_links = Vec::new();
        for number in 0..hosts {
            let link = Proxy::start(ex, addresses.executors)?;
            platform.add_host(host(number, &link));
            host_links.push(link);
        }
        let (mut store_links, mut started) = (Vec::new(), Vec::new());
        for number in 0..daemons {
            let link = Proxy::start(ex, addresses.store)?;
            let name = format!("d{number}");
            let settings = settings(&name, reservation.any_port(), &link, &addresses);
            started.push(Daemon::new(&name, program, dir, &settings, &reservation)?);
            store_links.push(link);
        }
        let config = config();
        platform.put(&platform_config_key(), operator::encode_config(&config));
        Ok(Self {
            platform,
            daemons: started,
            store_links,
            host_links,
            config: Mutex::new(config),
            waves: AtomicU64::new(0),
        })
    }

    /// The number of the daemon that is meant; nothing if nobody leads.
    pub fn find(&self, who: Who) -> Option<usize> {
        let name = match who {
            Who::Number(number) => return Some(number),
            Who::Leader => {
                let item = self.platform.get(keys::LEADER)?;
                codec::decode::<LeaderRecord>("leader", &item.value).ok()?.name
            }
        };
        self.daemons.iter().position(|daemon| daemon.name == name)
    }

    /// The operator declares a queue more.
    pub fn add_queue(&self) {
        let mut config = self.config.lock().unwrap_or_else(PoisonError::into_inner);
        // Versions rise in uneven steps.
        config.version += 1 + config.version % 3;
        let added = queue(&format!("extra-{}", config.version), POOLS[0]);
        config.queues.insert(added.name.clone(), added);
        self.platform.put(&platform_config_key(), operator::encode_config(&config));
    }

    /// The configuration as the operator declared it last.
    pub fn config(&self) -> Config {
        self.config.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The number of a wave more.
    pub fn next_wave(&self) -> u64 {
        self.waves.fetch_add(1, Ordering::SeqCst) + 1
    }
}

fn platform_config_key() -> Arc<str> {
    borageswitch_platform_standin::config_key()
}

/// The name of a host.
pub fn host_name(number: usize) -> HostName {
    HostName::from(format!("h{number}"))
}

fn host(number: usize, link: &Proxy) -> HostSpec {
    let standby = number % STANDBY_EVERY == STANDBY_EVERY - 1;
    let pool = if standby { STANDBY } else { POOLS[number % POOLS.len()] };
    HostSpec {
        host: host_name(number),
        executor: ExecutorName::from(format!("e{number}")),
        pool: PoolName::from(pool),
        capacity: HOST_SIZE,
        rack: format!("r{}", number / 3).into(),
        address: link.address,
    }
}

/// A queue of a pool.
pub fn queue(name: &str, pool: &str) -> Queue {
    example::queue(name, &format!("/{name}/"), pool)
}

fn config() -> Config {
    let queues = POOLS.map(|pool| queue(&format!("{pool}-runs"), pool));
    // Executors that take whatever they are told show each time that they are told too much.
    let serving = POOLS.map(|pool| Pool { enforces_capacity: false, ..example::pool(pool) });
    let standby = Pool { standby: true, ..example::pool(STANDBY) };
    example::config(queues, serving.into_iter().chain([standby]))
}

fn settings(name: &str, any: SocketAddr, store: &Proxy, addresses: &standin::Addresses) -> String {
    serde_json::json!({
        "name": name,
        "data_centre": "memory",
        "cores": 0.5,
        "listen": { "callers": any, "probes": any, "peers": any, "metrics": any },
        "platform": { "store": store.address, "hosts": addresses.hosts },
        "promises": { "longest_lease_ms": 10_000, "host_order_pause_ms": 3_000, "stop_s": 6 },
    })
    .to_string()
}
