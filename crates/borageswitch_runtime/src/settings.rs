//! The settings file of a daemon, in JSON with comments.
//!
//! A file with errors is rejected as a whole, with a list of all invalid fields.

use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

use borageswitch_scheduler::reducer::Limits;
use borageswitch_settings::{
    problems::Problems,
    reader::{self, ObjectReader},
};
use borageswitch_types::names::DataCentreName;

use crate::authority::KEEP_ALIVE_GRACE;

/// The duration of an executor's lease: long enough that a slow store or a change of leader ends no
/// run, short enough that the tasks of a lost host run elsewhere some 4 s later.
const EXECUTOR_LEASE: Duration = Duration::from_millis(4_000);
/// The minimum time that a watch on the configuration waits for a change.
const MIN_CONFIG_WATCH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The time that a watch waits, as a share of the time within which a configuration must be in
/// force. A connection that went silent is noticed only when the watch times out, and the change
/// must still be read after that.
const CONFIG_WATCH_SHARE: f64 = 0.6;
/// The time that a watch waits, as a share of the time for which a strict site accepts unconfirmed
/// keys. The last confirmation of a connected daemon is up to two watches and a slow response old.
const KEYS_HOLD_WATCH_SHARE: f64 = 0.3;
/// The share of the time for shutdown in which callers are still served; the rest is for the last
/// responses.
const DRAIN_SHARE: f64 = 0.8;

/// The addresses at which the daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for the load balancer's probes.
    pub probes: SocketAddr,
    /// The address for other daemons.
    pub peers: SocketAddr,
    /// The address from which metrics are scraped.
    pub metrics: SocketAddr,
}

/// The addresses of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformAddresses {
    /// The store.
    pub store: SocketAddr,
    /// The list of hosts.
    pub hosts: SocketAddr,
    /// The advisor, if there is one.
    pub advisor: Option<SocketAddr>,
}

/// The times and rates that the platform guarantees.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Promises {
    /// The longest lease that an executor takes.
    pub longest_lease: Duration,
    /// How long a new leader gives no order for hosts.
    pub host_order_pause: Duration,
    /// The rate limit of orders for hosts per second, for all daemons together.
    pub host_calls_per_s: f64,
    /// How long a host is unavailable during a move.
    pub host_move: Duration,
    /// How long a change of the configuration may take until it is in force.
    pub config_apply: Duration,
    /// How long the shutdown of a process may take.
    pub stop: Duration,
    /// How long a key is accepted without confirmation that it was not revoked; unlimited if not
    /// set.
    pub keys_hold: Option<Duration>,
}

/// The settings of a daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The daemon's name, which stays the same across restarts.
    pub name: Arc<str>,
    /// The data centre of its host.
    pub data_centre: DataCentreName,
    /// The processing power of its host, in cores.
    pub cores: f64,
    /// The addresses at which it listens.
    pub listen: Listen,
    /// The addresses of the platform.
    pub platform: PlatformAddresses,
    /// The platform's guarantees.
    pub promises: Promises,
    /// Whether jobs are refused that would end after they are of use. Off by default: where hosts
    /// move between pools, the wait is overestimated, and jobs that could be served are refused.
    pub refuse_on_overload: bool,
    /// The minimum level of logged messages.
    pub log_level: String,
}

impl Settings {
    /// The limits that the scheduler keeps.
    pub fn limits(&self) -> Limits {
        let lease = EXECUTOR_LEASE.min(self.promises.longest_lease);
        // The previous leader may have extended leases until `KEEP_ALIVE_GRACE` after its own
        // ended.
        let inherited_lease = KEEP_ALIVE_GRACE + lease + lease / 20;
        let Promises { host_order_pause, host_calls_per_s, host_move, .. } = self.promises;
        Limits {
            lease,
            inherited_lease,
            host_order_pause,
            host_calls_per_s,
            host_move,
            refuses_jobs: self.refuse_on_overload,
            ..Limits::default()
        }
    }

    /// How long a watch on the configuration waits for a change. Longer waits save calls to the
    /// store, as every daemon always has such a watch open.
    pub fn config_watch_timeout(&self) -> Duration {
        let wait =
            self.promises.config_apply.mul_f64(CONFIG_WATCH_SHARE).max(MIN_CONFIG_WATCH_TIMEOUT);
        let hold = self.promises.keys_hold.map(|hold| hold.mul_f64(KEYS_HOLD_WATCH_SHARE));
        hold.map_or(wait, |hold| wait.min(hold.max(MIN_CONFIG_WATCH_TIMEOUT)))
    }

    /// How long callers are still served after the shutdown has begun.
    pub fn drain_time(&self) -> Duration {
        self.promises.stop.mul_f64(DRAIN_SHARE)
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
/// Every problem of the text; `file` is its name in messages.
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
    let refuse_on_overload = reader.flag_or("refuse_on_overload", false);
    let log_level = reader.text_or("log_level", "info".to_owned(), str::parse::<String>);
    Some(Settings {
        name: name?,
        data_centre: data_centre?,
        cores: cores?,
        listen: listen?,
        platform: platform?,
        promises: promises?,
        refuse_on_overload: refuse_on_overload?,
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
