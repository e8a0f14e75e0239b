//! Stand-ins for the scripts of the review: the platform, its executors, clients and the operator,
//! around real daemons.
//!
//! `review_standin SCENARIO --repository DIR --folder DIR --record FILE [--calm]` exits with 1 if the
//! rule was broken, with 0 if it held, and with 2 if the scenario could not run.

mod daemon;
mod executor;
mod http;
mod json;
mod scenarios;
mod store;
mod world;

use std::{fs::File, path::PathBuf, process::ExitCode};

use scenarios::Outcome;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let after = |name: &str| {
        let at = arguments.iter().position(|argument| argument == name)?;
        arguments.get(at + 1).map(PathBuf::from)
    };
    let (Some(scenario), Some(repository), Some(folder), Some(record)) =
        (arguments.get(1), after("--repository"), after("--folder"), after("--record"))
    else {
        eprintln!("SCENARIO --repository DIR --folder DIR --record FILE [--calm]");
        return ExitCode::from(2);
    };
    let trouble = !arguments.iter().any(|argument| argument == "--calm");
    let record = match File::create(&record) {
        Ok(record) => record,
        Err(err) => {
            eprintln!("{}: {err}", record.display());
            return ExitCode::from(2);
        }
    };
    match scenarios::play(scenario, &repository, &folder, record, trouble) {
        Outcome::Held => ExitCode::SUCCESS,
        Outcome::Broken => ExitCode::from(1),
        Outcome::NotRun(why) => {
            eprintln!("{scenario}: {why}");
            ExitCode::from(2)
        }
    }
}
