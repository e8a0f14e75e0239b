//! Serves a site's platform and targets on loopback ports, so that real daemons can be started by
//! hand in processes of their own.

use std::{io, path::PathBuf, process::ExitCode, sync::Arc, time::Duration};

use borageswitch_fakes::{control, site};
use borageswitch_settings::site as site_settings;
use clap::{Arg, Command, value_parser};

fn main() -> ExitCode {
    let matches = command().get_matches();
    match run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("platform_standin: {err}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    let site = Arg::new("site")
        .long("site")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Site settings; addresses of hosts are replaced by loopback ports");
    let write_site = Arg::new("write-site")
        .long("write-site")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("Where to write the site settings with the ports bound, for 'borageswitchctl config apply'");
    let boot_ms = Arg::new("boot-ms")
        .long("boot-ms")
        .default_value("2000")
        .value_parser(value_parser!(u64).range(1..=600_000))
        .help("How long a reboot takes, in milliseconds");
    Command::new("platform_standin")
        .about("Stand-ins of the platform's store, list of hosts, agents and targets")
        .args([site, write_site, boot_ms])
}

fn run(matches: &clap::ArgMatches) -> Result<(), String> {
    let path: &PathBuf = matches.get_one("site").ok_or("--site is missing")?;
    let boot_ms: u64 = *matches.get_one("boot-ms").ok_or("--boot-ms is missing")?;
    let mut config = site_settings::load(path).map_err(|problems| problems.to_string())?;
    let ex = Arc::new(smol::Executor::new());
    let bound = |err: io::Error| format!("a port cannot be bound: {err}");
    let standin = site::SiteStandin::start(&ex, &mut config, Duration::from_millis(boot_ms))
        .map_err(bound)?;
    let control = control::start(&ex, site::ANY_PORT, standin.clone()).map_err(bound)?;
    if let Some(path) = matches.get_one::<PathBuf>("write-site") {
        site_settings::write(path, &config).map_err(|err| format!("--write-site: {err}"))?;
    }
    let ready = serde_json::json!({
        "ready": true,
        "store": standin.store.address(),
        "host_list": standin.host_list.address(),
        "control": control,
    });
    println!("{ready}");
    smol::block_on(ex.run(std::future::pending()))
}
