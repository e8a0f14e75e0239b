//! What one daemon is told of itself.

use std::{
    collections::BTreeMap, net::SocketAddr, path::Path, str::FromStr, sync::Arc, time::Duration,
};

use borageswitch_types::names::{DaemonName, DataCentreName, RegionName};

use crate::{
    problems::Problems,
    reader::{self, ObjectReader},
    units,
};

/// The shortest site key, in bytes: shorter ones can be guessed.
pub const MIN_SITE_KEY: usize = 16;

/// Where the daemon listens. A port of 0 takes any.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other daemons.
    pub peers: SocketAddr,
    /// For the balancer's probes, metrics and dumps.
    pub observe: SocketAddr,
}

/// Where the platform listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// The key-value service, tried in turn.
    pub store: Vec<SocketAddr>,
    /// The list of hosts.
    pub host_list: SocketAddr,
    /// After this time a call counts as lost.
    pub call_timeout: Duration,
}

/// How the log is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// A line of text a record.
    #[default]
    Text,
    /// A JSON object a record.
    Json,
}

impl FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            _ => Err(format!("'{text}' is neither \"text\" nor \"json\"")),
        }
    }
}

/// The log's format and the least level that is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// How a record is written.
    pub format: LogFormat,
    /// One of `error`, `warn`, `info`, `debug` and `trace`.
    pub level: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { format: LogFormat::Text, level: "info".to_owned() }
    }
}

/// What one daemon is told of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonSettings {
    /// Its name; without one it makes one up from its address and the time of its start.
    pub name: Option<DaemonName>,
    /// The region whose fleet it serves.
    pub region: RegionName,
    /// The data centre in which it runs.
    pub data_centre: DataCentreName,
    /// Where it listens.
    pub listen: Listen,
    /// Where the platform listens.
    pub platform: Platform,
    /// The key that daemons of one site share, to prove to each other that they belong to it.
    pub site_key: Arc<str>,
    /// Peers' addresses to try when the store cannot be asked for them.
    pub peers: Vec<SocketAddr>,
    /// How many threads serve callers.
    pub traffic_threads: usize,
    /// How long a duty lasts without being kept alive.
    pub duty_ttl: Duration,
    /// How long requests may take to end after the daemon was asked to stop.
    pub stop_timeout: Duration,
    /// How the log is written.
    pub log: LogSettings,
}

/// Reads and checks a daemon's settings.
///
/// # Errors
///
/// Every problem of the file.
pub fn load(path: &Path) -> Result<DaemonSettings, Problems> {
    reader::read_file(path, read_daemon)
}

/// Reads and checks a daemon's settings from a text.
///
/// # Errors
///
/// Every problem of the text; `file` names it.
pub fn parse(file: &Path, text: &str) -> Result<DaemonSettings, Problems> {
    reader::read_text(file, text, read_daemon)
}

fn read_daemon(reader: &mut ObjectReader) -> Option<DaemonSettings> {
    let name = reader.text_or("name", None, |text| text.parse().map(Some));
    let region = reader.parsed("region");
    let data_centre = reader.parsed("data_centre");
    let listen = reader.object("listen", read_listen);
    let platform = reader.object("platform", read_platform);
    let site_key = reader.text("site_key", parse_site_key);
    let peers = reader.list("peers");
    let traffic_threads = reader.number_or("traffic_threads", 2, 1, 64);
    let duty_ttl = reader.text_or("duty_ttl", Duration::from_secs(6), units::parse_duration);
    let stop_timeout =
        reader.text_or("stop_timeout", Duration::from_secs(300), units::parse_duration);
    let log = reader.object_or("log", LogSettings::default(), read_log);
    if duty_ttl.is_some_and(|ttl| !(MIN_DUTY_TTL..=MAX_DUTY_TTL).contains(&ttl)) {
        reader.report(
            "duty_ttl",
            "from 1 s to 8 s is expected, so that another daemon takes over within 10 s",
        );
    }
    if let Some(listen) = &listen {
        check_clashes(reader, listen);
    }
    Some(DaemonSettings {
        name: name?,
        region: region?,
        data_centre: data_centre?,
        listen: listen?,
        platform: platform?,
        site_key: site_key?,
        peers: peers?,
        traffic_threads: traffic_threads?,
        duty_ttl: duty_ttl?,
        stop_timeout: stop_timeout?,
        log: log?,
    })
}

const MIN_DUTY_TTL: Duration = Duration::from_secs(1);
const MAX_DUTY_TTL: Duration = Duration::from_secs(8);

fn read_listen(reader: &mut ObjectReader) -> Option<Listen> {
    let callers = reader.parsed("callers");
    let operators = reader.parsed("operators");
    let peers = reader.parsed("peers");
    let observe = reader.parsed("observe");
    Some(Listen { callers: callers?, operators: operators?, peers: peers?, observe: observe? })
}

fn read_platform(reader: &mut ObjectReader) -> Option<Platform> {
    let store: Option<Vec<SocketAddr>> = reader.list("store");
    let host_list = reader.parsed("host_list");
    let call_timeout =
        reader.text_or("call_timeout", Duration::from_secs(1), units::parse_duration);
    if store.as_ref().is_some_and(Vec::is_empty) {
        reader.report("store", "at least one address is expected");
    }
    Some(Platform { store: store?, host_list: host_list?, call_timeout: call_timeout? })
}

fn read_log(reader: &mut ObjectReader) -> Option<LogSettings> {
    let format = reader.text_or("format", LogFormat::Text, str::parse);
    let level = reader.text_or("level", "info".to_owned(), parse_level);
    Some(LogSettings { format: format?, level: level? })
}

fn parse_level(text: &str) -> Result<String, String> {
    match text {
        "error" | "warn" | "info" | "debug" | "trace" => Ok(text.to_owned()),
        _ => Err(format!("'{text}' is none of error, warn, info, debug and trace")),
    }
}

fn parse_site_key(text: &str) -> Result<Arc<str>, String> {
    if text.len() < MIN_SITE_KEY {
        return Err(format!("at least {MIN_SITE_KEY} bytes are expected"));
    }
    Ok(Arc::from(text))
}

/// Two listeners on one address would let the second fail at start, after the first took traffic.
fn check_clashes(reader: &ObjectReader, listen: &Listen) {
    let fields = [
        ("listen.callers", listen.callers),
        ("listen.operators", listen.operators),
        ("listen.peers", listen.peers),
        ("listen.observe", listen.observe),
    ];
    let mut seen: BTreeMap<SocketAddr, &str> = BTreeMap::new();
    for (field, address) in fields.into_iter().filter(|(_, address)| address.port() != 0) {
        if let Some(first) = seen.insert(address, field) {
            reader.report(field, format!("{address} is used by {first} already"));
        }
    }
}
