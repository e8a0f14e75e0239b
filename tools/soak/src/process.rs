//! A daemon as a process, and signals to it.
//!
//! The product starts no processes; here they are what is tested.
//!
//! Signals go only to processes that were started here and have not been waited for, so that an id
//! that the system has given to somebody else is never meant.

#![expect(clippy::disallowed_types, reason = "daemons are tested as processes of their own")]

use std::{
    fs::{self, File},
    io::{self, BufRead, BufReader, Write},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
};

use rustix::process::{Pid, Signal, kill_process};

use crate::addresses::Reservation;

/// Where a daemon listens, as it says in its log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listens {
    /// For callers.
    pub callers: SocketAddr,
}

#[derive(Debug, Default)]
struct State {
    child: Option<Child>,
    listens: Option<Listens>,
    /// The process is to end: an end is no fault of its own.
    ending: bool,
    /// How processes ended that nobody asked to end, and ends that were not orderly.
    unexpected: Vec<String>,
    starts: u32,
}

/// A daemon that is started and ended again and again under one name. Copies share it.
#[derive(Clone, Debug)]
pub struct Daemon {
    /// Its name.
    pub name: Arc<str>,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    reservation: Reservation,
    state: Arc<Mutex<State>>,
}

impl Daemon {
    /// A daemon that does not run yet; `dir` gets its settings and its log. The address that it
    /// listens on stays reserved while its process runs.
    ///
    /// # Errors
    ///
    /// When the settings cannot be written.
    pub fn new(
        name: &str,
        program: &Path,
        dir: &Path,
        settings: &str,
        reservation: &Reservation,
    ) -> io::Result<Self> {
        let settings_path = dir.join(format!("{name}.jsonc"));
        fs::write(&settings_path, settings)?;
        Ok(Self {
            name: name.into(),
            program: program.to_owned(),
            settings: settings_path,
            log: dir.join(format!("{name}.log")),
            reservation: reservation.clone(),
            state: Arc::default(),
        })
    }

    /// Starts the process unless it runs.
    ///
    /// # Errors
    ///
    /// When the program cannot be started.
    pub fn start(&self) -> io::Result<()> {
        let mut state = self.lock();
        self.note_end(&mut state);
        if state.child.is_some() {
            return Ok(());
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut child = Command::new(&self.program)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(self.reservation.to_fd()?)
            .stdout(Stdio::piped())
            .stderr(log.try_clone()?)
            .spawn()?;
        let out = child.stdout.take();
        state.child = Some(child);
        state.ending = false;
        state.listens = None;
        state.starts += 1;
        let (own, number) = (self.clone(), state.starts);
        if let Some(out) = out {
            thread::spawn(move || own.keep_log(out, log, number));
        }
        Ok(())
    }

    /// Copies the output of one process into the log, and learns where it listens.
    fn keep_log(&self, out: impl io::Read, mut log: File, number: u32) {
        for line in BufReader::new(out).lines().map_while(Result::ok) {
            if let Some(listens) = started(&line) {
                let mut state = self.lock();
                if state.starts == number {
                    state.listens = Some(listens);
                }
            }
            // A full disk must not end the run: the promises are checked without logs.
            let _ = writeln!(log, "{line}");
        }
    }

    /// Where it listens, if it runs and has said so.
    pub fn listens(&self) -> Option<Listens> {
        let mut state = self.lock();
        self.note_end(&mut state);
        state.listens.filter(|_| state.child.is_some())
    }

    /// Kills the process at once.
    pub fn kill(&self) {
        let mut state = self.lock();
        self.note_end(&mut state);
        state.ending = true;
        if let Some(mut child) = state.child.take() {
            // It has ended already where this fails.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks the process to end. Gives the number of its start, to ask for its end by.
    pub fn terminate(&self) -> u32 {
        let number = {
            let mut state = self.lock();
            self.note_end(&mut state);
            state.ending = true;
            state.starts
        };
        self.signal(Signal::TERM);
        number
    }

    /// Whether the process with this number has ended; one that was asked to has to say that all
    /// went well.
    pub fn has_ended(&self, number: u32) -> bool {
        let mut state = self.lock();
        self.note_end(&mut state);
        state.child.is_none() || state.starts != number
    }

    /// Sends a signal, if the process runs.
    pub fn signal(&self, signal: Signal) {
        let mut state = self.lock();
        self.note_end(&mut state);
        let Some(child) = &state.child else { return };
        let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
        if let Some(Err(err)) = pid.map(|pid| kill_process(pid, signal)) {
            log::warn!("{}: the signal could not be sent: {err}", self.name);
        }
    }

    /// Ends that nobody asked for, or that were not orderly.
    pub fn unexpected(&self) -> Vec<String> {
        self.lock().unexpected.clone()
    }

    fn note_end(&self, state: &mut State) {
        let ended = state.child.as_mut().and_then(|child| child.try_wait().ok().flatten());
        let Some(status) = ended else { return };
        state.child = None;
        if !state.ending || !is_orderly(status) {
            state.unexpected.push(format!("{} ended by itself: {status}", self.name));
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_orderly(status: ExitStatus) -> bool {
    status.success()
}

/// The addresses in the line that a daemon writes when it has started.
fn started(line: &str) -> Option<Listens> {
    let line: serde_json::Value = serde_json::from_str(line).ok()?;
    if line["kind"] != "started" {
        return None;
    }
    let address = |field: &str| line[field].as_str()?.parse().ok();
    Some(Listens { callers: address("callers")? })
}
