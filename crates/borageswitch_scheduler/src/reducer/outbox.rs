//! What waits until its records are stored.
//!
//! One append is on its way at a time and carries everything that came up meanwhile, so the calls
//! to the store stay at some tens a second whatever the load. An effect that depends on a record
//! leaves only when the append with that record is confirmed.

use borageswitch_types::{
    Time,
    names::{ExecutorName, HostName, JobName},
};

use crate::{
    effect::Effect,
    event::Now,
    ledger::{record::Record, snapshot::Snapshot},
    reducer::Scheduler,
    task::TaskKey,
};

/// What is done once records are stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Deferred {
    /// Start a run whose assignment is stored.
    Start(ExecutorName, TaskKey, u32),
    /// Give an order for a host that is stored as ordered.
    OrderHost(HostName),
    /// Acknowledge an executor's ends up to a number.
    Acknowledge(ExecutorName, u64),
    /// Show a job as ended.
    ShowEnd(JobName),
    /// Tell the operator that a wave is completed.
    ReportWave(u64),
}

/// Records on their way to the store, and what waits for them.
#[derive(Debug)]
pub struct Outbox {
    next_append: u64,
    in_flight: Option<u64>,
    sent_at: Time,
    pending: Vec<Record>,
    forget: Vec<JobName>,
    deferred_actions: Vec<Deferred>,
    in_flight_actions: Vec<Deferred>,
    /// The first append that no snapshot has taken in.
    first_uncompacted: u64,
    /// The ledger as the append on its way leaves it.
    snapshot: Option<Box<Snapshot>>,
}

/// After so many appends the ledger is stored whole, so that a takeover reads little. The call that
/// stores it removes them, and takes 32 entries in all.
const APPENDS_PER_SNAPSHOT: u64 = 28;
/// The most records of one append: at some hundred bytes each, well under the store's largest value.
const MAX_RECORDS: usize = 2_000;
/// The most jobs whose keys one append removes. The store takes 32 entries a call and refuses more
/// whole, for ever: nothing would be stored any more. Three entries are taken, and a job has up to
/// two keys.
const MAX_FORGOTTEN_JOBS: usize = 14;

impl Outbox {
    /// An outbox whose first append has number `next_append`.
    pub fn new(next_append: u64) -> Self {
        Self {
            next_append,
            in_flight: None,
            sent_at: Time::ZERO,
            pending: Vec::new(),
            forget: Vec::new(),
            deferred_actions: Vec::new(),
            in_flight_actions: Vec::new(),
            first_uncompacted: next_append.saturating_sub(APPENDS_PER_SNAPSHOT),
            snapshot: None,
        }
    }

    pub(super) fn add(&mut self, record: Record) {
        self.pending.push(record);
    }

    pub(super) fn defer_start(&mut self, executor: ExecutorName, task: TaskKey, run: u32) {
        self.deferred_actions.push(Deferred::Start(executor, task, run));
    }

    pub(super) fn defer_acknowledge(&mut self, executor: ExecutorName, number: u64) {
        self.deferred_actions.push(Deferred::Acknowledge(executor, number));
    }

    pub(super) fn defer_host_order(&mut self, host: HostName) {
        self.deferred_actions.push(Deferred::OrderHost(host));
    }

    pub(super) fn defer_show_end(&mut self, job: JobName) {
        self.forget(job.clone());
        self.deferred_actions.push(Deferred::ShowEnd(job));
    }

    pub(super) fn defer_wave_report(&mut self, wave: u64) {
        self.deferred_actions.push(Deferred::ReportWave(wave));
    }

    /// A submission that is stored although its job has ended.
    pub(super) fn forget(&mut self, job: JobName) {
        if !self.forget.contains(&job) {
            self.forget.push(job);
        }
    }

    /// The number of the append that will carry what is added now.
    pub(super) fn next_append(&self) -> u64 {
        self.next_append
    }
}

impl Scheduler {
    /// Sends what is pending, unless an append is on its way or just was.
    pub(super) fn flush(&mut self, now: Now) {
        let outbox = &self.outbox;
        let idle = outbox.pending.is_empty() && outbox.forget.is_empty();
        let paused = now.time.since(outbox.sent_at) < self.limits.append_interval;
        if idle || outbox.in_flight.is_some() || (paused && outbox.sent_at > Time::ZERO) {
            return;
        }
        if !self.ledger.host_orders.is_empty() {
            let millis = self.led_millis(now.time);
            self.record(Record::Led { millis });
        }
        let outbox = &mut self.outbox;
        let append = outbox.next_append;
        let complete = outbox.pending.len() <= MAX_RECORDS;
        let rest = outbox.pending.split_off(outbox.pending.len().min(MAX_RECORDS));
        let records = std::mem::replace(&mut outbox.pending, rest);
        let postponed = outbox.forget.split_off(outbox.forget.len().min(MAX_FORGOTTEN_JOBS));
        let forget = std::mem::replace(&mut outbox.forget, postponed);
        if complete {
            outbox.in_flight_actions.append(&mut outbox.deferred_actions);
        }
        outbox.next_append += 1;
        outbox.in_flight = Some(append);
        outbox.sent_at = now.time;
        // Only a ledger without records that are still to be stored may be a snapshot: of a later
        // one some would be applied once more when the appends after it are read.
        if complete && append >= outbox.first_uncompacted + APPENDS_PER_SNAPSHOT {
            outbox.snapshot = Some(Box::new(Snapshot::of(&self.ledger, append)));
        }
        self.effects.push(Effect::Append { append, records, forget });
    }

    pub(super) fn appended(&mut self, now: Now, append: u64) {
        if self.outbox.in_flight != Some(append) {
            return;
        }
        self.outbox.in_flight = None;
        if let Some(snapshot) = self.outbox.snapshot.take() {
            let first_uncompacted = self.outbox.first_uncompacted;
            // A long queue of appends is removed in parts.
            let through = snapshot.through.min(first_uncompacted + APPENDS_PER_SNAPSHOT);
            self.outbox.first_uncompacted = through + 1;
            self.effects
                .push(Effect::StoreSnapshot { snapshot, remove: first_uncompacted..=through });
        }
        for deferred in std::mem::take(&mut self.outbox.in_flight_actions) {
            self.run_deferred(now, deferred);
        }
    }

    fn run_deferred(&mut self, now: Now, deferred: Deferred) {
        match deferred {
            Deferred::Start(executor, task, run) => self.send_start(now, &executor, &task, run),
            Deferred::OrderHost(host) => self.send_host_order(now, &host),
            Deferred::Acknowledge(executor, number) => {
                if let Some(known) = self.executors.get_mut(&executor) {
                    known.stored_end = known.stored_end.max(number);
                }
            }
            Deferred::ShowEnd(job) => {
                self.ending_jobs.remove(&job);
            }
            Deferred::ReportWave(wave) => {
                self.effects.push(Effect::ReportWave { wave, completed: true });
            }
        }
    }
}
