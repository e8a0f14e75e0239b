//! A daemon's operators' port with a small reducer behind it, and command lines run against it.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Mutex, MutexGuard},
    thread::JoinHandle,
};

use async_channel::{Receiver, Sender};
use borageswitch::{
    control::Event,
    ctl,
    edge::operators::Operators,
    planner::changes,
    types::{
        Fleet,
        fleet::{ChangeRequest, Revision},
        names::DaemonName,
    },
    wire::operator::{OperatorAnswer, OperatorRequest},
};
use clap::Command;

/// What a command line did.
#[derive(Debug)]
pub(crate) struct Ran {
    pub(crate) code: u8,
    pub(crate) out: String,
    pub(crate) err: String,
}

impl Ran {
    /// The command with all that it wrote.
    pub(crate) fn transcript(&self, line: &str) -> String {
        let Ran { code, out, err } = self;
        let exit = if *code == 0 { String::new() } else { format!("exit code {code}\n") };
        format!("$ borageswitchctl {line}\n{err}{out}{exit}\n")
    }
}

/// Runs a command line.
pub(crate) fn run(args: &[&str]) -> Ran {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let args = ["borageswitchctl"].iter().chain(args);
    let code = ctl::run(args, &mut out, &mut err);
    let [out, err] = [out, err].map(|text| String::from_utf8(text).unwrap());
    Ran { code, out, err }
}

/// Runs a command line against daemons.
pub(crate) fn run_at(daemons: &[SocketAddr], args: &[&str]) -> Ran {
    let daemons: Vec<String> = daemons.iter().map(ToString::to_string).collect();
    let endpoints = daemons.iter().flat_map(|daemon| ["--endpoint", daemon]);
    let common = ["--operator", "ana"];
    let is_change = args.contains(&"--operation-id") || matches!(args[1..], ["set" | "hold", ..]);
    let operator = if is_change { &common[..] } else { &[] };
    let args: Vec<&str> =
        endpoints.chain(args.iter().copied()).chain(operator.iter().copied()).collect();
    run(&args)
}

/// An address where nobody listens: a port reserved for a service long gone.
pub(crate) fn nobody() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

struct Reducer {
    fleet: Fleet,
    lagging: Vec<DaemonName>,
    answer: Option<OperatorAnswer>,
}

impl Reducer {
    fn answer(&mut self, request: OperatorRequest) -> OperatorAnswer {
        if let Some(answer) = &self.answer {
            return answer.clone();
        }
        match request {
            OperatorRequest::Change(req) => self.change(&req),
            OperatorRequest::WaitInForce { revision, .. } => {
                OperatorAnswer::InForce { revision, lagging: self.lagging.clone() }
            }
            OperatorRequest::GetFleet => {
                OperatorAnswer::Json(serde_json::to_string(&self.fleet).unwrap())
            }
            _ => OperatorAnswer::NotFound,
        }
    }

    fn change(&mut self, req: &ChangeRequest) -> OperatorAnswer {
        let mut next = self.fleet.clone();
        match changes::apply(&mut next, req) {
            Ok(revision) => {
                self.fleet = next;
                OperatorAnswer::Accepted { revision }
            }
            Err(refusal) => OperatorAnswer::Refused(refusal),
        }
    }
}

/// A daemon as operators see it.
pub(crate) struct Daemon {
    operators: Arc<Operators>,
    reducer: Arc<Mutex<Reducer>>,
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Daemon {
    pub(crate) fn start() -> Self {
        let ex = Arc::new(smol::Executor::new());
        let (tx, events) = async_channel::unbounded();
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let operators = Arc::new(Operators::start(listen, tx, ex.clone()).unwrap());
        let fleet = Fleet::empty("gauteng".into());
        let reducer = Arc::new(Mutex::new(Reducer { fleet, lagging: Vec::new(), answer: None }));
        ex.spawn(answer_all(events, operators.clone(), reducer.clone())).detach();
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let thread = std::thread::spawn(move || {
            let _ = smol::block_on(ex.run(stopped.recv()));
        });
        Self { operators, reducer, stop: Some(stop), thread: Some(thread) }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.operators.local_addr()
    }

    /// From now on these daemons confirm no revision.
    pub(crate) fn lag(&self, daemons: &[DaemonName]) {
        self.lock().lagging = daemons.to_vec();
    }

    /// From now on every request gets this answer.
    pub(crate) fn answer(&self, answer: OperatorAnswer) {
        self.lock().answer = Some(answer);
    }

    pub(crate) fn fleet(&self) -> Fleet {
        self.lock().fleet.clone()
    }

    pub(crate) fn revision(&self) -> Revision {
        self.lock().fleet.revision
    }

    pub(crate) fn run(&self, args: &[&str]) -> Ran {
        run_at(&[self.address()], args)
    }

    pub(crate) fn run_line(&self, line: &str) -> Ran {
        let args: Vec<&str> = line.split(' ').collect();
        self.run(&args)
    }

    fn lock(&self) -> MutexGuard<'_, Reducer> {
        self.reducer.lock().unwrap()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the daemon's thread does not panic");
        }
    }
}

async fn answer_all(
    events: Receiver<Event>,
    operators: Arc<Operators>,
    reducer: Arc<Mutex<Reducer>>,
) {
    while let Ok(event) = events.recv().await {
        let Event::Operator { call, request } = event else { continue };
        let answer = reducer.lock().unwrap().answer(request);
        operators.answer(call, answer);
    }
}

/// A site's settings in a file that ends with the test.
pub(crate) struct Site {
    path: PathBuf,
}

impl Site {
    pub(crate) fn write() -> Self {
        Self::write_text(include_str!("site.jsonc"))
    }

    pub(crate) fn write_text(text: &str) -> Self {
        let name = format!("ctl-{}-{:016x}.jsonc", std::process::id(), fastrand::u64(..));
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).unwrap();
        Self { path }
    }

    pub(crate) fn path(&self) -> &str {
        self.path.to_str().unwrap()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Every command with its arguments, as the page of commands shows them.
pub(crate) fn reference() -> String {
    let command = ctl::command();
    let mut text = "### Before or after every command\n\n".to_owned();
    arguments(&command, &mut text);
    text.push_str("\n### With every change\n\n");
    let apply =
        command.find_subcommand("config").and_then(|config| config.find_subcommand("apply"));
    let common = apply.unwrap().clone().mut_arg("file", |arg| arg.hide(true));
    arguments(&common, &mut text);
    describe("", &command, &common, &mut text);
    text
}

fn describe(path: &str, command: &Command, common: &Command, text: &mut String) {
    for sub in command.get_subcommands().filter(|sub| sub.get_name() != "help") {
        let path = format!("{path} {}", sub.get_name());
        if sub.has_subcommands() {
            describe(&path, sub, common, text);
            continue;
        }
        let names: String =
            sub.get_positionals().map(|arg| format!(" <{}>", arg.get_id())).collect();
        let about = sub.get_about().unwrap();
        text.push_str(&format!("\n### `borageswitchctl{path}{names}`\n\n{about}.\n"));
        let is_change = sub.get_arguments().any(|arg| arg.get_id() == "operation-id");
        let mut own = sub.clone();
        for arg in common.get_arguments().filter(|arg| is_change && arg.get_id() != "file") {
            own = own.mut_arg(arg.get_id(), |arg| arg.hide(true));
        }
        let mut list = String::new();
        arguments(&own, &mut list);
        if !list.is_empty() {
            text.push_str(&format!("\n{list}"));
        }
    }
}

fn arguments(command: &Command, text: &mut String) {
    let named = command.get_arguments().filter(|arg| !arg.is_hide_set());
    for arg in named.filter(|arg| !arg.is_positional() && arg.get_id() != "help") {
        let required = if arg.is_required_set() { " (required)" } else { "" };
        let defaults: Vec<_> =
            arg.get_default_values().iter().map(|value| value.to_string_lossy()).collect();
        let default = match &defaults[..] {
            [] => String::new(),
            defaults => format!(" (otherwise `{}`)", defaults.join(" ")),
        };
        let help = arg.get_help().unwrap();
        let value = arg.get_value_names().unwrap()[0].as_str();
        let long = arg.get_long().unwrap();
        text.push_str(&format!("- `--{long} {value}`{required}: {help}{default}\n"));
    }
}
