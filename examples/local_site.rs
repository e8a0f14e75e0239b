//! The newcomer's first minute: a whole site in one process, through a maintenance wave.
//!
//! `cargo run --release --example local_site` starts the stand-ins of the Association's site and
//! three real daemons, lets callers send requests to all of them, reboots hosts in a wave, and
//! says what came of it. It exits with 1 if a promise broke.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use borageswitch::settings::site as site_settings;
use borageswitch_local_site::{
    faults::Fault,
    session::{self, SessionOptions},
};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

const DEFAULT_SITE: &str =
    concat!(env!("CARGO_MANIFEST_DIR"), "/examples/sites/terminal_market.jsonc");

fn main() -> ExitCode {
    let matches = command().get_matches();
    match run(&matches) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(err) => {
            eprintln!("local_site: {err}");
            ExitCode::from(2)
        }
    }
}

fn command() -> Command {
    let site = Arg::new("site")
        .long("site")
        .value_name("FILE")
        .default_value(DEFAULT_SITE)
        .value_parser(value_parser!(PathBuf))
        .help("Site settings");
    let seconds = Arg::new("seconds")
        .long("seconds")
        .default_value("10")
        .value_parser(value_parser!(u64).range(1..=3_600))
        .help("How long callers send requests at the least; the wave may take longer");
    let daemons = Arg::new("daemons")
        .long("daemons")
        .default_value("3")
        .value_parser(value_parser!(u64).range(1..=9))
        .help("How many daemons begin");
    let faults = Arg::new("faults")
        .long("faults")
        .value_name("NAME,…")
        .value_delimiter(',')
        .value_parser(|text: &str| text.parse::<Fault>())
        .help("What goes wrong, one after the other");
    let json =
        Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print the report as JSON");
    let verbose = Arg::new("verbose")
        .long("verbose")
        .action(ArgAction::SetTrue)
        .help("Show the daemons' log");
    Command::new("local_site")
        .about("A whole site in one process, through a maintenance wave")
        .args([site, seconds, daemons, faults, json, verbose])
}

fn run(matches: &ArgMatches) -> Result<bool, String> {
    let path: &PathBuf = matches.get_one("site").ok_or("--site is missing")?;
    let seconds: u64 = *matches.get_one("seconds").ok_or("--seconds is missing")?;
    let daemons: u64 = *matches.get_one("daemons").ok_or("--daemons is missing")?;
    let json = matches.get_flag("json");
    if matches.get_flag("verbose") {
        borageswitch::logging::start(&Default::default()).map_err(|err| err.to_string())?;
    }
    let options = SessionOptions {
        name: path.file_stem().map_or_else(String::new, |name| name.to_string_lossy().into_owned()),
        site: site_settings::load(path).map_err(|problems| problems.to_string())?,
        daemons: daemons as usize,
        duration: Duration::from_secs(seconds),
        callers: 6,
        wave_hosts: Vec::new(),
        boot_time: Duration::from_millis(500),
        faults: matches
            .get_many("faults")
            .map(|faults| faults.copied().collect())
            .unwrap_or_default(),
        seed: 1,
    };
    let progress = |line: &str| {
        if !json {
            println!("{line}");
        }
    };
    let report = session::run(&options, progress).map_err(|err| err.to_string())?;
    if json {
        println!("{}", serde_json::json!(report));
    } else {
        println!("\n{report}");
    }
    Ok(report.broken().is_empty())
}
