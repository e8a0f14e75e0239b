//! The entry daemon.

use std::{path::PathBuf, process::ExitCode, thread};

use async_signal::{Signal, Signals};
use borageswitch::{daemon, logging, settings::daemon as daemon_settings};
use clap::{Arg, ArgAction, Command, value_parser};
use futures_lite::StreamExt;

/// The exit code for unusable settings.
const BAD_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let matches = command().get_matches();
    let Some(path) = matches.get_one::<PathBuf>("settings") else {
        return ExitCode::from(BAD_SETTINGS);
    };
    let settings = match daemon_settings::load(path) {
        Ok(settings) => settings,
        Err(problems) => {
            eprintln!("{problems}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if matches.get_flag("check") {
        println!("{}: the settings are right", path.display());
        return ExitCode::SUCCESS;
    }
    if let Err(err) = logging::start(&settings.log) {
        eprintln!("borageswitchd: {err}");
        return ExitCode::FAILURE;
    }
    run(&settings)
}

fn command() -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Settings in JSON with comments");
    let check = Arg::new("check")
        .long("check")
        .action(ArgAction::SetTrue)
        .help("Only check the settings, naming every mistake");
    Command::new("borageswitchd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Entry daemon of borageswitch")
        .args([settings, check])
}

fn run(settings: &daemon_settings::DaemonSettings) -> ExitCode {
    let mut signals = match Signals::new([Signal::Term, Signal::Int]) {
        Ok(signals) => signals,
        Err(err) => {
            eprintln!("borageswitchd: signals cannot be received: {err}");
            return ExitCode::FAILURE;
        }
    };
    let daemon = match daemon::start(settings) {
        Ok(daemon) => daemon,
        Err(err) => {
            eprintln!("borageswitchd: {err}");
            return ExitCode::FAILURE;
        }
    };
    let ready = serde_json::json!({ "ready": true, "name": daemon.name(), "addresses": daemon.addresses() });
    println!("{ready}");
    let stopper = daemon.stopper();
    let waited = thread::Builder::new().name("signals".to_owned()).spawn(move || {
        if let Some(Ok(signal)) = smol::block_on(signals.next()) {
            stopper.stop(format!("the process received {signal:?}"));
        }
    });
    if let Err(err) = waited {
        eprintln!("borageswitchd: {err}");
        return ExitCode::FAILURE;
    }
    daemon.wait();
    ExitCode::SUCCESS
}
