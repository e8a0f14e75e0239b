//! Records to store, and effects that wait until their records are stored.
//!
//! One append is in flight at a time and carries all records that accumulated meanwhile, so the
//! store gets some tens of calls per second regardless of load. An effect that depends on a record
//! is released only when the append with that record is confirmed.

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

/// An action that is carried out once its records are stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Deferred {
    /// Send the start of a run whose assignment is stored.
    Start(ExecutorName, TaskKey, u32),
    /// Send an order for a host once it is recorded as ordered.
    OrderHost(HostName),
    /// Acknowledge an executor's ends up to a number.
    Acknowledge(ExecutorName, u64),
    /// Report a job as ended.
    ShowEnd(JobName),
    /// Report to the operator that a wave is completed.
    ReportWave(u64),
}

/// Records on their way to the store, and the actions that wait for them.
#[derive(Debug)]
pub struct Outbox {
    next_append: u64,
    in_flight: Option<u64>,
    sent_at: Time,
    pending: Vec<Record>,
    forget: Vec<JobName>,
    deferred_actions: Vec<Deferred>,
    in_flight_actions: Vec<Deferred>,
    /// The first append that no snapshot covers.
    first_uncompacted: u64,
    /// The ledger including the append in flight, to be stored as a snapshot.
    snapshot: Option<Box<Snapshot>>,
}

/// The number of appends after which a snapshot of the ledger is stored, so that a takeover reads
/// little. One call removes these appends, and the store accepts at most 32 entries per call.
const APPENDS_PER_SNAPSHOT: u64 = 28;
/// The maximum number of records in one append: at some hundred bytes each, well below the largest
/// value that the store accepts.
const MAX_RECORDS: usize = 2_000;
/// The maximum number of jobs whose keys one append removes. The store accepts 32 entries per call
/// and rejects a larger call as a whole each time, so nothing would be stored any more. Three
/// entries of a call are already taken, and a job has up to two keys.
const MAX_FORGOTTEN_JOBS: usize = 14;

impl Outbox {
    /// Creates an outbox whose first append has the number `next_append`.
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

    /// Removes the stored submission of a job that has ended.
    pub(super) fn forget(&mut self, job: JobName) {
        if !self.forget.contains(&job) {
            self.forget.push(job);
        }
    }

    /// The number of the append that will carry the records added now.
    pub(super) fn next_append(&self) -> u64 {
        self.next_append
    }
}

impl Scheduler {
    /// Sends the pending records, unless an append is in flight or was sent very recently.
    pub(super) fn flush(&mut self, now: Now) {
        let outbox = &self.outbox;
        let idle = outbox.pending.is_empty() && outbox.forget.is_empty();
        let paused = now.time.since(outbox.sent_at) < self.limits.append_interval;
        if idle || outbox.in_flight.is_some() || (paused && outbox.sent_at > Time::ZERO) {
            return;
        }
        if !self.ledger.host_orders.is_empty() {
            let millis = self.led_millis(now.time);
            self.record(Record::TermTime { millis });
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
        // A snapshot must not contain records that are still to be stored: a later append would
        // apply them a second time when it is read after the snapshot.
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
            let remove = self.outbox.first_uncompacted..=snapshot.through;
            self.outbox.first_uncompacted = snapshot.through + 1;
            self.effects.push(Effect::StoreSnapshot { snapshot, remove });
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
