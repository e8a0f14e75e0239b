//! The soak as a program: seeds on the command line, a line for each, exit code 1 if a promise
//! broke.

use std::{
    collections::VecDeque,
    path::PathBuf,
    process::ExitCode,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use borageswitch_soak::{
    plan::{Shape, Size},
    run::{self, Options},
};
use clap::{
    Arg, ArgMatches, Command,
    builder::{PossibleValuesParser, TypedValueParser},
    value_parser,
};

fn main() -> ExitCode {
    let matches = command().get_matches();
    let options = Options {
        program: value(&matches, "daemon"),
        dir: value(&matches, "dir"),
        size: Size {
            daemons: value(&matches, "daemons"),
            hosts: value(&matches, "hosts"),
            faults_for: Duration::from_secs(value(&matches, "seconds")),
        },
        shape: value(&matches, "shape"),
    };
    let first: u64 = match matches.get_one::<u64>("seed") {
        Some(seed) => *seed,
        // Short enough to be typed again.
        None => fastrand::u64(..100_000_000),
    };
    let seeds: VecDeque<u64> = (first..first + value::<u64>(&matches, "seeds")).collect();
    let count = seeds.len();
    let kept = run_all(&options, seeds, value(&matches, "jobs"));
    println!("{count} seeds, {} with a broken promise or not run", count - kept);
    if kept == count { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Gives how many seeds kept every promise.
fn run_all(options: &Options, seeds: VecDeque<u64>, jobs: usize) -> usize {
    let seeds = Mutex::new(seeds);
    let kept = AtomicUsize::new(0);
    let next = || seeds.lock().unwrap_or_else(PoisonError::into_inner).pop_front();
    thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(|| {
                while let Some(seed) = next() {
                    match run::run(options, seed) {
                        Ok(verdict) => {
                            println!("{verdict}");
                            verdict.broken.iter().for_each(|broken| println!("  {broken}"));
                            let is_kept = verdict.broken.is_empty();
                            kept.fetch_add(usize::from(is_kept), Ordering::SeqCst);
                        }
                        Err(err) => println!("seed {seed} could not be run: {err}"),
                    }
                }
            });
        }
    });
    kept.into_inner()
}

fn value<T>(matches: &ArgMatches, name: &str) -> T
where
    T: Clone + Send + Sync + 'static,
{
    matches.get_one::<T>(name).cloned().expect("the argument has a default")
}

fn shape_of(name: String) -> Shape {
    match name.as_str() {
        "incident" => Shape::Incident,
        _ => Shape::Usual,
    }
}

fn command() -> Command {
    let daemon = Arg::new("daemon")
        .long("daemon")
        .value_parser(value_parser!(PathBuf))
        .default_value("target/release/borageswitch_platformd")
        .help("The program of a daemon");
    let dir = Arg::new("dir")
        .long("dir")
        .value_parser(value_parser!(PathBuf))
        .default_value("target/soak")
        .help("Where settings, plans and logs go, a folder for each seed");
    let seed = Arg::new("seed")
        .long("seed")
        .value_parser(value_parser!(u64))
        .help("The first seed; a random one if left out");
    let shape = Arg::new("shape")
        .long("shape")
        .value_parser(PossibleValuesParser::new(["usual", "incident"]).map(shape_of))
        .default_value("usual")
        .help("Which faults come: `usual`, or `incident` for outages of the store in a row");
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).default_value(default).help(help)
    };
    Command::new("soak")
        .about("Runs daemons as processes, breaks what is around them, and checks the promises")
        .args([daemon, dir, seed, shape])
        .arg(number("seeds", "1", "How many seeds").value_parser(value_parser!(u64)))
        .arg(number("jobs", "1", "How many at once").value_parser(value_parser!(usize)))
        .arg(number("daemons", "5", "How many daemons").value_parser(value_parser!(usize)))
        .arg(number("hosts", "10", "How many hosts").value_parser(value_parser!(usize)))
        .arg(number("seconds", "20", "How long faults come").value_parser(value_parser!(u64)))
}
