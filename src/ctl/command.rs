//! The arguments of `borageswitchctl`.

use std::{net::SocketAddr, str::FromStr};

use borageswitch_settings::units;
use borageswitch_types::{
    fleet::Watts,
    names::{
        CallerName, DataCentreName, HostName, NameError, OperationId, PoolName, RackName,
        ServiceName, TeamName, WaveName,
    },
};
use clap::{Arg, ArgAction, Command, builder::ValueParser, value_parser};

/// Where a daemon serves operators when nothing else is said.
const DEFAULT_ENDPOINT: &str = "127.0.0.1:7800";
/// How long `--wait` waits when it names no time.
const DEFAULT_WAIT: &str = "30s";

/// The whole command line, for help and for pages about it.
pub fn command() -> Command {
    Command::new("borageswitchctl")
        .about("Manages the fleet of a site")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(common_args())
        .subcommand(config())
        .subcommand(fleet())
        .subcommand(pool())
        .subcommand(service())
        .subcommand(host())
        .subcommand(team())
        .subcommand(caller())
        .subcommand(power())
        .subcommand(entries())
        .subcommand(wave())
        .subcommand(wait())
        .subcommand(Command::new("dump").about("Shows the whole state of one daemon as JSON"))
        .subcommand(explain())
        .subcommand(overload())
        .subcommand(Command::new("watch").about("Shows decisions and revisions as they come"))
}

fn common_args() -> [Arg; 3] {
    [
        value("endpoint", "ADDRESS", "A daemon to ask; repeated ones are tried in turn")
            .value_parser(value_parser!(SocketAddr))
            .action(ArgAction::Append)
            .default_value(DEFAULT_ENDPOINT)
            .global(true),
        value("output", "FORMAT", "How results are written")
            .value_parser(["table", "json"])
            .default_value("table")
            .global(true),
        value("timeout", "TIME", "How long one daemon may take for an answer")
            .value_parser(time())
            .default_value("10s")
            .global(true),
    ]
}

fn change_args() -> [Arg; 5] {
    [
        value("expected-revision", "N", "Refuse the change unless the fleet is at this revision")
            .value_parser(value_parser!(u64)),
        value("operation-id", "ID", "The same id is carried out once; a new one when not given")
            .value_parser(checked::<OperationId>()),
        value("reason", "TEXT", "Why, for whoever asks later; the command when not given"),
        value("operator", "NAME", "Who asks; the environment's USER when not given"),
        value("wait", "TIME", "Return when the change is in force everywhere, or name who lags")
            .value_parser(time())
            .num_args(0..=1)
            .require_equals(true)
            .default_missing_value(DEFAULT_WAIT),
    ]
}

fn change(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).args(change_args())
}

fn group(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).subcommand_required(true).arg_required_else_help(true)
}

fn name<P>(id: &'static str, parser: P) -> Arg
where
    P: Into<ValueParser>,
{
    Arg::new(id).value_name(id).required(true).value_parser(parser.into())
}

fn value(id: &'static str, value_name: &'static str, help: &'static str) -> Arg {
    Arg::new(id).long(id).value_name(value_name).help(help)
}

/// A name by its rules. `value_parser!` would take the conversion that checks nothing.
fn checked<T>() -> ValueParser
where
    T: FromStr<Err = NameError> + Clone + Send + Sync + 'static,
{
    ValueParser::new(|text: &str| text.parse::<T>())
}

fn time() -> ValueParser {
    ValueParser::new(units::parse_duration)
}

fn watts() -> ValueParser {
    ValueParser::new(|text: &str| -> Result<Watts, String> { units::parse_watts(text) })
}

fn config() -> Command {
    let file = Arg::new("file").value_name("file").required(true);
    let file = file.value_parser(value_parser!(std::path::PathBuf));
    group("config", "The declared site")
        .subcommand(change("apply", "Brings the fleet to a site's settings file").arg(file))
}

fn fleet() -> Command {
    group("fleet", "The fleet document")
        .subcommand(Command::new("get").about("Shows the fleet; as JSON, the whole document"))
}

fn pool() -> Command {
    let set = change("set", "Creates or changes a pool; what is not given stays")
        .arg(name("pool", checked::<PoolName>()))
        .arg(value("hosts", "N", "How many hosts are wanted").value_parser(value_parser!(u32)))
        .arg(
            value("spare", "BOOL", "Whether its hosts replace failed ones of other pools")
                .value_parser(value_parser!(bool)),
        )
        .arg(
            value("priority", "N", "The highest keep their hosts longest when power is short")
                .value_parser(value_parser!(u8)),
        );
    let remove = change("remove", "Deletes a pool without hosts and services");
    group("pool", "Pools of hosts")
        .subcommand(set)
        .subcommand(remove.arg(name("pool", checked::<PoolName>())))
        .subcommand(Command::new("list").about("Shows the pools"))
}

fn service() -> Command {
    let number = || value_parser!(u32);
    let set = change("set", "Creates or changes a service; what is not given stays")
        .arg(name("service", checked::<ServiceName>()))
        .arg(value("pool", "NAME", "Its place").value_parser(checked::<PoolName>()))
        .arg(value("slots", "N", "The slots that its budget promises").value_parser(number()))
        .arg(
            value("survives", "DOMAIN", "The failure that leaves the promised slots standing")
                .value_parser(["none", "host", "rack", "data-centre"]),
        )
        .arg(value("queue-len", "N", "Requests that wait at one entry").value_parser(number()))
        .arg(value("default-deadline", "TIME", "When a request names none").value_parser(time()))
        .arg(value("max-deadline", "TIME", "The longest that may be asked").value_parser(time()))
        .arg(
            value("max-body", "SIZE", "The largest body, such as 16MiB")
                .value_parser(ValueParser::new(units::parse_bytes)),
        )
        .arg(
            value("retry-permille", "N", "Further tries in thousandths of successes")
                .value_parser(value_parser!(u16)),
        )
        .arg(value("claim-window", "TIME", "How long a request id counts").value_parser(time()))
        .arg(
            value("method-decides", "BOOL", "Whether the HTTP method says what is idempotent")
                .value_parser(value_parser!(bool)),
        );
    let remove = change("remove", "Deletes a service");
    group("service", "Services, their places and budgets")
        .subcommand(set)
        .subcommand(remove.arg(name("service", checked::<ServiceName>())))
        .subcommand(Command::new("list").about("Shows the services"))
}

fn host() -> Command {
    let named = |command: Command| command.arg(name("host", checked::<HostName>()));
    let pool = || value("pool", "NAME", "The pool").value_parser(checked::<PoolName>());
    let watt = |id, help| value(id, "POWER", help).value_parser(watts()).required(true);
    let count = |id, help| value(id, "N", help).value_parser(value_parser!(u16)).required(true);
    let address = |id, help| {
        value(id, "ADDRESS", help).value_parser(value_parser!(SocketAddr)).required(true)
    };
    let add = named(change("add", "Adds a host, which serves at once"))
        .arg(pool().required(true))
        .arg(
            value("data-centre", "NAME", "Where it stands")
                .value_parser(checked::<DataCentreName>())
                .required(true),
        )
        .arg(
            value("rack", "NAME", "Where it stands")
                .value_parser(checked::<RackName>())
                .required(true),
        )
        .arg(address("target", "Where its target listens"))
        .arg(address("agent", "Where its agent listens"))
        .arg(count("slots", "Requests that it runs at once"))
        .arg(count("connections", "Connections that it takes"))
        .arg(watt("peak", "Its draw at full load, such as \"900 W\""))
        .arg(watt("throttled", "Its draw when throttled"))
        .arg(watt("boot", "Its draw while it boots"));
    let to = value("to", "POOL", "Where it goes").value_parser(checked::<PoolName>());
    group("host", "Hosts")
        .subcommand(add)
        .subcommand(named(change("remove", "Removes a host that is held or failed")))
        .subcommand(named(change("move", "Moves a host to another pool")).arg(to.required(true)))
        .subcommand(named(change("hold", "Takes a host out of use")))
        .subcommand(named(change("release", "Lets a held or failed host serve again")))
        .subcommand(Command::new("list").about("Shows the hosts").arg(pool()))
}

fn team() -> Command {
    let set = change("set", "Creates or changes a team; what is not given stays")
        .arg(name("team", checked::<TeamName>()))
        .arg(value("weight", "N", "Against other teams").value_parser(value_parser!(u32)))
        .arg(value("slot-quota", "N", "Slots of one service").value_parser(value_parser!(u16)));
    let remove = change("remove", "Deletes a team and the callers assigned to it");
    group("team", "Teams and their quotas")
        .subcommand(set)
        .subcommand(remove.arg(name("team", checked::<TeamName>())))
        .subcommand(Command::new("list").about("Shows the teams"))
}

fn caller() -> Command {
    let team = value("team", "NAME", "Its team").value_parser(checked::<TeamName>());
    let set = change("set", "Assigns a caller to a team").arg(team.required(true));
    group("caller", "Callers").subcommand(set.arg(name("caller", checked::<CallerName>())))
}

fn power() -> Command {
    let cap = Arg::new("watts").value_name("watts").required(true).value_parser(watts());
    group("power", "Power").subcommand(change("cap", "Changes the power cap").arg(cap))
}

fn entries() -> Command {
    let count = Arg::new("count").value_name("count").required(true);
    let count = count.value_parser(value_parser!(u16).range(1..));
    let set = change("set", "Changes how many entry daemons the region is meant to run");
    group("entries", "Entry daemons").subcommand(set.arg(count))
}

fn wave() -> Command {
    let named = |command: Command| command.arg(name("wave", checked::<WaveName>()));
    let number = || value_parser!(u32);
    let start = named(change("start", "Starts a maintenance wave"))
        .arg(
            value("host", "NAME", "A host; repeated. All that can be when not given")
                .value_parser(checked::<HostName>())
                .action(ArgAction::Append),
        )
        .arg(value("max-failures", "N", "Before the wave halts").value_parser(number()))
        .arg(value("canaries", "N", "Hosts that go alone first").value_parser(number()))
        .arg(value("max-batch", "N", "Hosts out at once").value_parser(number()))
        .arg(value("trial", "TIME", "How long a host is watched").value_parser(time()))
        .arg(value("reboot-timeout", "TIME", "Before it counts as failed").value_parser(time()))
        .arg(value("weight-buffer", "N", "In thousandths").value_parser(number()))
        .arg(value("weight-time", "N", "In thousandths").value_parser(number()))
        .arg(value("weight-moves", "N", "In thousandths").value_parser(number()));
    group("wave", "Maintenance waves")
        .subcommand(start)
        .subcommand(named(change("pause", "Stops a wave until it is resumed")))
        .subcommand(named(change("resume", "Lets a paused or halted wave go on")))
        .subcommand(named(change("abort", "Takes no further host out")))
        .subcommand(named(change("remove", "Forgets a finished wave")))
        .subcommand(Command::new("list").about("Shows the waves"))
}

fn wait() -> Command {
    let revision = Arg::new("revision").value_name("revision").required(true);
    Command::new("wait")
        .about("Waits until a revision is in force everywhere, or names who lags")
        .arg(revision.value_parser(value_parser!(u64)))
        .arg(
            value("for", "TIME", "How long to wait")
                .value_parser(time())
                .default_value(DEFAULT_WAIT),
        )
}

fn explain() -> Command {
    let subject = |kind: &'static str, about: &'static str, parser: ValueParser| {
        Command::new(kind).about(about).arg(name(kind, parser))
    };
    group("explain", "Tells why something is as it is")
        .subcommand(subject("host", "Tells why a host waits", checked::<HostName>()))
        .subcommand(subject("pool", "Tells why a pool is as it is", checked::<PoolName>()))
        .subcommand(subject("wave", "Tells why a wave waits", checked::<WaveName>()))
        .subcommand(subject("request", "Tells what became of a request id", value_parser!(String)))
}

fn overload() -> Command {
    let daemon = Arg::new("daemon").value_name("daemon").required(true);
    Command::new("overload")
        .about(
            "Shows who waits and is refused on the users' platform, by a daemon's metrics address",
        )
        .arg(daemon.value_parser(value_parser!(SocketAddr)))
}
