//! One command for all benchmarks of borageswitch.
//!
//! `cargo run --release -p borageswitch_benches` runs every benchmark; names pick some of them.
//! Each gives its figures as a table and, with `--json FILE`, as JSON. Figures that are compared
//! come from one run, as ratios against our own baselines.

mod capacity;
mod keys;
mod latency;
mod load;
mod peers;
mod plots;
mod process;
mod reducer;
mod report;
mod scheduler;
mod sites;
mod slots;
mod waves;

use std::{collections::BTreeMap, fs, path::PathBuf, process::ExitCode};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

/// A benchmark: its name, what it measures, and what runs it and gives its figures.
struct Benchmark {
    name: &'static str,
    about: &'static str,
    run: fn() -> serde_json::Value,
}

/// Every benchmark, in the order of a full run.
const BENCHMARKS: &[Benchmark] = &[
    Benchmark {
        name: "capacity",
        about: "state, messages, time and memory of control by size of a region",
        run: capacity::run,
    },
    Benchmark {
        name: "keys",
        about: "knowing a caller by its key, among 20 and 5,000 callers",
        run: keys::run,
    },
    Benchmark {
        name: "latency",
        about: "what a daemon adds to a request, and how many pass through one",
        run: latency::run,
    },
    Benchmark {
        name: "load",
        about: "decisions under load beside a first-come baseline, in a model without network",
        run: load::run,
    },
    Benchmark {
        name: "peers",
        about: "connections between daemons: bytes at rest, and what one carries",
        run: peers::run,
    },
    Benchmark {
        name: "reducer",
        about: "events, memory, processor share and peer bytes of control at four sizes",
        run: reducer::run,
    },
    Benchmark {
        name: "scheduler",
        about: "what the leader of a site's jobs costs in a rush, at three sizes",
        run: scheduler::run,
    },
    Benchmark {
        name: "slots",
        about: "waiting time and messages of slots shared among entries, in a model",
        run: slots::run,
    },
    Benchmark {
        name: "waves",
        about: "waves against simpler ways, and the cost of a planning step",
        run: waves::run,
    },
];

fn main() -> ExitCode {
    let matches = command().get_matches();
    let picked: Vec<&String> = matches.get_many("names").map(Iterator::collect).unwrap_or_default();
    let mut figures = BTreeMap::new();
    for benchmark in BENCHMARKS {
        if !picked.is_empty() && !picked.iter().any(|name| *name == benchmark.name) {
            continue;
        }
        println!("## {}: {}", benchmark.name, benchmark.about);
        let result = (benchmark.run)();
        report::print(&result);
        figures.insert(benchmark.name, result);
    }
    let figures = serde_json::json!(figures);
    match write_out(&matches, &figures) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("borageswitch_benches: {err}");
            ExitCode::FAILURE
        }
    }
}

fn write_out(matches: &ArgMatches, figures: &serde_json::Value) -> Result<(), String> {
    if let Some(path) = matches.get_one::<PathBuf>("json") {
        fs::write(path, format!("{figures:#}\n")).map_err(|err| format!("--json: {err}"))?;
    }
    match matches.get_one::<PathBuf>("plots") {
        Some(dir) => plots::draw_all(dir, figures).map_err(|err| format!("--plots: {err}")),
        None => Ok(()),
    }
}

fn command() -> Command {
    let names =
        Arg::new("names").num_args(0..).action(ArgAction::Append).help("Run only these benchmarks");
    let json = Arg::new("json")
        .long("json")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("Also write the figures as JSON");
    let plots = Arg::new("plots")
        .long("plots")
        .value_name("DIR")
        .value_parser(value_parser!(PathBuf))
        .help("Also draw the figures as SVG files into a directory that exists");
    Command::new("borageswitch_benches")
        .about("Benchmarks of borageswitch")
        .args([names, json, plots])
}
