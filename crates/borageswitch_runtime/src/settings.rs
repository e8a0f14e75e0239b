//! What a daemon that schedules jobs on a platform is told of itself, in JSON with comments.
//!
//! A file is right in all of it or refused with every wrong field at once.

use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

use borageswitch_scheduler::reducer::Limits;
use borageswitch_settings::{
    problems::Problems,
    reader::{self, ObjectReader},
};
use borageswitch_types::names::DataCentreName;

use crate::authority::KEEP_ALIVE_GRACE;

/// The lease that executors are given: long enough that a slow store or a change of leader ends
/// nothing, short enough that the tasks of a host that is lost run elsewhere some 4 s later.
const EXECUTOR_LEASE: Duration = Duration::from_millis(4_000);
/// How long a watch for the configuration waits on the store at least.
const SHORTEST_CONFIG_WAIT: Duration = Duration::from_millis(1_500);
/// Of the time in which a configuration has to be in force, a watch waits for this share: a connection
/// that went silent is noticed when that is over, and the change has to be read after it.
const CONFIG_WAIT_SHARE: f64 = 0.6;
/// Of the time for which a strict site goes by keys that were not confirmed, a watch waits for this
/// share: a daemon in touch is up to two watches behind, and a slow answer more.
const KEYS_HOLD_SHARE: f64 = 0.3;
/// Of the time in which a process has to end, this share is used; the rest is for its last answers.
const STOP_SHARE: f64 = 0.8;

/// Where the daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's probes.
    pub probes: SocketAddr,
    /// For other daemons.
    pub peers: SocketAddr,
    /// For whoever collects metrics.
    pub metrics: SocketAddr,
}

/// Where the platform listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformAddresses {
    /// The store.
    pub store: SocketAddr,
    /// The list of hosts.
    pub hosts: SocketAddr,
    /// The advisor, if there is one.
    pub advisor: Option<SocketAddr>,
}

/// What the platform promises of times, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Promises {
    /// The longest lease that an executor takes.
    pub longest_lease: Duration,
    /// How long a new leader gives no order for hosts.
    pub host_order_pause: Duration,
    /// How many orders for hosts it takes in a second, from all daemons together.
    pub host_calls_per_s: f64,
    /// How long a host is away for a move.
    pub host_move: Duration,
    /// How long a change of the configuration may take until it is in force.
    pub config_apply: Duration,
    /// How long a process has to end after it was told to.
    pub stop: Duration,
    /// A daemon that has not heard for so long whether a key was taken away lets nobody in by it;
    /// if not set, it goes by what it heard last.
    pub keys_hold: Option<Duration>,
}

/// What one daemon is told of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Its name, the same at each start.
    pub name: Arc<str>,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// How much its host can do, in cores.
    pub cores: f64,
    /// Where it listens.
    pub listen: Listen,
    /// Where the platform listens.
    pub platform: PlatformAddresses,
    /// What the platform promises.
    pub promises: Promises,
    /// The least level that is logged.
    pub log_level: String,
}

impl Settings {
    /// What the scheduler is to keep to.
    pub fn limits(&self) -> Limits {
        let lease = EXECUTOR_LEASE.min(self.promises.longest_lease);
        // The predecessor may have prolonged leases until the end of its own and a while longer.
        let inherited_lease = KEEP_ALIVE_GRACE + lease + lease / 20;
        let Promises { host_order_pause, host_calls_per_s, host_move, .. } = self.promises;
        Limits {
            lease,
            inherited_lease,
            host_order_pause,
            host_calls_per_s,
            host_move,
            ..Limits::default()
        }
    }

    /// How long a watch for the configuration waits on the store. Each that returns is a call, and all
    /// daemons make them all the time.
    pub fn config_wait(&self) -> Duration {
        let wait = self.promises.config_apply.mul_f64(CONFIG_WAIT_SHARE).max(SHORTEST_CONFIG_WAIT);
        let hold = self.promises.keys_hold.map(|hold| hold.mul_f64(KEYS_HOLD_SHARE));
        hold.map_or(wait, |hold| wait.min(hold.max(SHORTEST_CONFIG_WAIT)))
    }

    /// How long callers are served on after the daemon was told to end.
    pub fn stop_time(&self) -> Duration {
        self.promises.stop.mul_f64(STOP_SHARE)
    }
}

/// Reads and checks a daemon's settings.
///
/// # Errors
///
/// Every problem of the file.
pub fn load(path: &Path) -> Result<Settings, Problems> {
    reader::read_file(path, read)
}

/// Reads and checks a daemon's settings from a text.
///
/// # Errors
///
/// Every problem of the text; `file` names it.
pub fn parse(file: &Path, text: &str) -> Result<Settings, Problems> {
    reader::read_text(file, text, read)
}

fn read(reader: &mut ObjectReader) -> Option<Settings> {
    let name = reader.text("name", |text| text.parse::<String>().map(Arc::from));
    let data_centre = reader.parsed("data_centre");
    let cores = reader.decimal_or("cores", 1.0, 0.0, 10_000.0);
    let listen = reader.object("listen", read_listen);
    let platform = reader.object("platform", read_platform);
    let promises = reader.object("promises", read_promises);
    let log_level = reader.text_or("log_level", "info".to_owned(), str::parse::<String>);
    Some(Settings {
        name: name?,
        data_centre: data_centre?,
        cores: cores?,
        listen: listen?,
        platform: platform?,
        promises: promises?,
        log_level: log_level?,
    })
}

fn read_listen(reader: &mut ObjectReader) -> Option<Listen> {
    let callers = reader.parsed("callers");
    let probes = reader.parsed("probes");
    let peers = reader.parsed("peers");
    let metrics = reader.parsed("metrics");
    Some(Listen { callers: callers?, probes: probes?, peers: peers?, metrics: metrics? })
}

fn read_platform(reader: &mut ObjectReader) -> Option<PlatformAddresses> {
    let store = reader.parsed("store");
    let hosts = reader.parsed("hosts");
    let advisor = reader.text_or("advisor", None, |text| text.parse().map(Some));
    Some(PlatformAddresses { store: store?, hosts: hosts?, advisor: advisor? })
}

fn read_promises(reader: &mut ObjectReader) -> Option<Promises> {
    let longest_lease = reader.decimal_or("longest_lease_ms", 10_000.0, 100.0, 1e7);
    let host_order_pause = reader.decimal_or("host_order_pause_ms", 3_000.0, 0.0, 1e7);
    let host_calls_per_s = reader.decimal_or("host_calls_per_s", 64.0, 0.1, 1e6);
    let host_move = reader.decimal_or("host_move_s", 1.5, 0.0, 1e5);
    let config_apply = reader.decimal_or("config_apply_ms", 2_000.0, 100.0, 1e7);
    let stop = reader.decimal_or("stop_s", 6.0, 0.0, 1e5);
    let keys_strict = reader.flag_or("keys_strict", false);
    let keys_hold = reader.decimal_or("keys_hold_ms", 5_000.0, 0.0, 1e7);
    Some(Promises {
        longest_lease: Duration::from_secs_f64(longest_lease? / 1_000.0),
        host_order_pause: Duration::from_secs_f64(host_order_pause? / 1_000.0),
        host_calls_per_s: host_calls_per_s?,
        host_move: Duration::from_secs_f64(host_move?),
        config_apply: Duration::from_secs_f64(config_apply? / 1_000.0),
        stop: Duration::from_secs_f64(stop?),
        keys_hold: keys_strict?.then_some(Duration::from_secs_f64(keys_hold? / 1_000.0)),
    })
}

#[cfg(test)]
mod tests;
