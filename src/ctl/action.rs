//! Reads the arguments into what is to be done.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use borageswitch_types::{
    fleet::{
        Draw, FailureDomain, FleetChange, HostAddresses, HostSpec, Revision, Watts, WaveSettings,
    },
    names::{OperationId, PoolName, ServiceName, TeamName},
};
use borageswitch_wire::operator::Subject;
use clap::ArgMatches;

use crate::ctl::{
    error::CtlError,
    merge::{PoolPatch, ServicePatch, TeamPatch},
};

/// How results are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Format {
    Table,
    Json,
}

/// What is listed of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Listing {
    Fleet,
    Pools,
    Services,
    Hosts(Option<PoolName>),
    Teams,
    Waves,
}

/// What a change is made of.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Wanted {
    /// The change as it stands.
    Whole(Box<FleetChange>),
    /// A site's settings file.
    File(PathBuf),
    /// A pool, completed from the present one.
    Pool(PoolName, PoolPatch),
    /// A service, completed from the present one.
    Service(ServiceName, Box<ServicePatch>),
    /// A team, completed from the present one.
    Team(TeamName, TeamPatch),
}

/// A change with what every change carries.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Change {
    pub(super) operation: OperationId,
    pub(super) expected: Option<Revision>,
    pub(super) reason: String,
    pub(super) operator: String,
    /// How long to wait until it is in force everywhere.
    pub(super) wait: Option<Duration>,
    pub(super) wanted: Wanted,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Action {
    Change(Change),
    Wait(Revision, Duration),
    List(Listing),
    Dump,
    Explain(Subject),
    Overload(SocketAddr),
    Watch,
}

/// A whole command line.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Invocation {
    pub(super) endpoints: Vec<SocketAddr>,
    pub(super) format: Format,
    pub(super) timeout: Duration,
    pub(super) action: Action,
}

impl Invocation {
    /// Reads the arguments.
    ///
    /// # Errors
    ///
    /// When no subcommand is given; `clap` has refused that before.
    pub(super) fn read(matches: &ArgMatches) -> Result<Self, CtlError> {
        let is_json = matches.get_one::<String>("output").is_some_and(|format| format == "json");
        let action = action(matches)
            .ok_or_else(|| CtlError::BadInput("the command is incomplete".to_owned()))?;
        Ok(Self {
            endpoints: matches.get_many("endpoint").into_iter().flatten().copied().collect(),
            format: if is_json { Format::Json } else { Format::Table },
            timeout: get(matches, "timeout").unwrap_or(Duration::from_secs(10)),
            action,
        })
    }
}

fn get<T>(matches: &ArgMatches, id: &str) -> Option<T>
where
    T: Clone + Send + Sync + 'static,
{
    matches.get_one::<T>(id).cloned()
}

fn action(matches: &ArgMatches) -> Option<Action> {
    let (group, matches) = matches.subcommand()?;
    match group {
        "wait" => {
            return Some(Action::Wait(Revision(get(matches, "revision")?), get(matches, "for")?));
        }
        "dump" => return Some(Action::Dump),
        "overload" => return Some(Action::Overload(get(matches, "daemon")?)),
        "watch" => return Some(Action::Watch),
        _ => {}
    }
    let (verb, matches) = matches.subcommand()?;
    let listing = match (group, verb) {
        ("explain", kind) => return Some(Action::Explain(subject(kind, matches)?)),
        ("fleet", "get") => Listing::Fleet,
        ("pool", "list") => Listing::Pools,
        ("service", "list") => Listing::Services,
        ("host", "list") => Listing::Hosts(get(matches, "pool")),
        ("team", "list") => Listing::Teams,
        ("wave", "list") => Listing::Waves,
        _ => return change(group, verb, matches),
    };
    Some(Action::List(listing))
}

fn subject(kind: &str, matches: &ArgMatches) -> Option<Subject> {
    Some(match kind {
        "host" => Subject::Host(get(matches, kind)?),
        "pool" => Subject::Pool(get(matches, kind)?),
        "wave" => Subject::Wave(get(matches, kind)?),
        _ => Subject::Request(get::<String>(matches, kind)?.into()),
    })
}

fn change(group: &str, verb: &str, matches: &ArgMatches) -> Option<Action> {
    let wanted = wanted(group, verb, matches)?;
    let operator = get(matches, "operator")
        .or_else(|| std::env::var("USER").ok())
        .filter(|name: &String| !name.is_empty())
        .unwrap_or_else(|| "unnamed".to_owned());
    Some(Action::Change(Change {
        operation: get(matches, "operation-id").unwrap_or_else(new_operation),
        expected: get(matches, "expected-revision").map(Revision),
        reason: get(matches, "reason").unwrap_or_else(|| format!("{group} {verb}")),
        operator,
        wait: get(matches, "wait"),
        wanted,
    }))
}

fn new_operation() -> OperationId {
    OperationId::from(format!("ctl-{:032x}", fastrand::u128(..)))
}

fn wanted(group: &str, verb: &str, matches: &ArgMatches) -> Option<Wanted> {
    let patch = match (group, verb) {
        ("config", "apply") => Wanted::File(get(matches, "file")?),
        ("pool", "set") => Wanted::Pool(get(matches, "pool")?, pool_patch(matches)),
        ("service", "set") => {
            Wanted::Service(get(matches, "service")?, Box::new(service_patch(matches)))
        }
        ("team", "set") => Wanted::Team(get(matches, "team")?, team_patch(matches)),
        _ => Wanted::Whole(Box::new(whole(group, verb, matches)?)),
    };
    Some(patch)
}

fn whole(group: &str, verb: &str, matches: &ArgMatches) -> Option<FleetChange> {
    Some(match (group, verb) {
        ("pool", "remove") => FleetChange::RemovePool { pool: get(matches, "pool")? },
        ("service", "remove") => FleetChange::RemoveService { service: get(matches, "service")? },
        ("team", "remove") => FleetChange::RemoveTeam { team: get(matches, "team")? },
        ("caller", "set") => {
            FleetChange::SetCaller { caller: get(matches, "caller")?, team: get(matches, "team")? }
        }
        ("power", "cap") => FleetChange::SetPowerCap { cap: get::<Watts>(matches, "watts")? },
        ("entries", "set") => FleetChange::SetEntriesExpected { entries: get(matches, "count")? },
        ("host", verb) => host_change(verb, matches)?,
        ("wave", verb) => wave_change(verb, matches)?,
        _ => return None,
    })
}

fn host_change(verb: &str, matches: &ArgMatches) -> Option<FleetChange> {
    let host = get(matches, "host")?;
    Some(match verb {
        "add" => {
            FleetChange::AddHost { host, spec: host_spec(matches)?, pool: get(matches, "pool")? }
        }
        "remove" => FleetChange::RemoveHost { host },
        "move" => FleetChange::MoveHost { host, to: get(matches, "to")? },
        "hold" => {
            let reason = get::<String>(matches, "reason").unwrap_or_default();
            FleetChange::HoldHost { host, reason: reason.into() }
        }
        "release" => FleetChange::ReleaseHost { host },
        _ => return None,
    })
}

fn host_spec(matches: &ArgMatches) -> Option<HostSpec> {
    let draw = Draw {
        peak: get(matches, "peak")?,
        throttled: get(matches, "throttled")?,
        boot: get(matches, "boot")?,
    };
    let addresses =
        HostAddresses { target: get(matches, "target")?, agent: get(matches, "agent")? };
    Some(HostSpec {
        data_centre: get(matches, "data-centre")?,
        rack: get(matches, "rack")?,
        addresses,
        slots: get(matches, "slots")?,
        connections: get(matches, "connections")?,
        draw,
    })
}

fn wave_change(verb: &str, matches: &ArgMatches) -> Option<FleetChange> {
    let wave = get(matches, "wave")?;
    Some(match verb {
        "start" => {
            let hosts = matches.get_many("host").into_iter().flatten().cloned().collect();
            FleetChange::StartWave { wave, hosts, settings: wave_settings(matches) }
        }
        "pause" => FleetChange::PauseWave { wave },
        "resume" => FleetChange::ResumeWave { wave },
        "abort" => FleetChange::AbortWave { wave },
        "remove" => FleetChange::RemoveWave { wave },
        _ => return None,
    })
}

fn wave_settings(matches: &ArgMatches) -> WaveSettings {
    let mut settings = WaveSettings::default();
    let put = |field: &mut u32, id| *field = get(matches, id).unwrap_or(*field);
    put(&mut settings.max_failures, "max-failures");
    put(&mut settings.canaries, "canaries");
    put(&mut settings.max_batch, "max-batch");
    put(&mut settings.weights.buffer_cost, "weight-buffer");
    put(&mut settings.weights.roll_out_time, "weight-time");
    put(&mut settings.weights.moves, "weight-moves");
    settings.trial = get(matches, "trial").unwrap_or(settings.trial);
    settings.reboot_timeout = get(matches, "reboot-timeout").unwrap_or(settings.reboot_timeout);
    settings
}

fn pool_patch(matches: &ArgMatches) -> PoolPatch {
    PoolPatch {
        wanted_hosts: get(matches, "hosts"),
        spare: get(matches, "spare"),
        priority: get(matches, "priority"),
    }
}

fn service_patch(matches: &ArgMatches) -> ServicePatch {
    let survives = get::<String>(matches, "survives").map(|domain| match domain.as_str() {
        "none" => FailureDomain::None,
        "host" => FailureDomain::Host,
        "data-centre" => FailureDomain::DataCentre,
        _ => FailureDomain::Rack,
    });
    ServicePatch {
        pool: get(matches, "pool"),
        promised_slots: get(matches, "slots"),
        survives,
        queue_len: get(matches, "queue-len"),
        default_deadline: get(matches, "default-deadline"),
        max_deadline: get(matches, "max-deadline"),
        max_body: get(matches, "max-body"),
        retry_permille: get(matches, "retry-permille"),
        claim_window: get(matches, "claim-window"),
        method_decides: get(matches, "method-decides"),
    }
}

fn team_patch(matches: &ArgMatches) -> TeamPatch {
    TeamPatch { weight: get(matches, "weight"), slot_quota: get(matches, "slot-quota") }
}
