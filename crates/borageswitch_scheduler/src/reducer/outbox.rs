//! Records to store, and effects that wait until their records are stored.
//!
//! One append is in flight at a time and carries all records that accumulated meanwhile, so the
//! store gets some tens of calls per second regardless of load. An effect that depends on a record
//! is released only when the append with that record is confirmed: [`AfterStored`] keeps with each
//! effect the position of the last record queued before it.

mod after_stored;
mod removals;

use std::time::Duration;

use borageswitch_types::{
    Time,
    names::{ExecutorName, HostName, JobName},
};

use crate::{
    effect::Effect,
    event::Now,
    ledger::{record::Record, snapshot::Snapshot},
    reducer::{
        Scheduler,
        outbox::{
            after_stored::{AfterStored, Position, RecordQueue},
            removals::Removals,
        },
    },
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

/// An append that is on its way to the store.
#[derive(Debug)]
struct InFlight {
    append: u64,
    /// The position after its records.
    through: Position,
    /// The ledger after its records, if it is to be stored as a snapshot.
    snapshot: Option<Box<Snapshot>>,
}

/// Records on their way to the store, and the actions that wait for them.
#[derive(Debug)]
pub struct Outbox {
    /// The number of the first append, which identifies the term of the leader.
    first_append: u64,
    next_append: u64,
    in_flight: Option<InFlight>,
    sent_at: Time,
    records: RecordQueue,
    /// The position after the records that are stored.
    stored: Position,
    actions: AfterStored<Deferred>,
    removals: Removals,
    /// The first append that no snapshot covers.
    first_uncompacted: u64,
    /// The ledger at a position that is not sent yet, to be stored as a snapshot.
    snapshot: Option<(Position, Box<Snapshot>)>,
}

/// The number of appends after which a snapshot of the ledger is stored, so that a takeover reads
/// little. One call removes these appends, and the store accepts at most 32 entries per call.
const APPENDS_PER_SNAPSHOT: u64 = 28;

/// The time without a response to an append from which the store counts as silent.
const STORE_SILENCE: Duration = Duration::from_millis(1_000);

impl Outbox {
    /// Creates an outbox whose first append has the number `next_append`.
    pub fn new(next_append: u64) -> Self {
        Self {
            first_append: next_append,
            next_append,
            in_flight: None,
            sent_at: Time::ZERO,
            records: RecordQueue::default(),
            stored: Position::default(),
            actions: AfterStored::default(),
            removals: Removals::default(),
            first_uncompacted: next_append.saturating_sub(APPENDS_PER_SNAPSHOT),
            snapshot: None,
        }
    }

    /// The number of the first append.
    pub(super) fn first_append(&self) -> u64 {
        self.first_append
    }

    pub(super) fn add(&mut self, record: Record) {
        self.records.push(record);
    }

    /// Carries out an action once all records added so far are stored.
    fn defer(&mut self, action: Deferred) {
        self.actions.push(&self.records, action);
    }

    pub(super) fn defer_start(&mut self, executor: ExecutorName, task: TaskKey, run: u32) {
        self.defer(Deferred::Start(executor, task, run));
    }

    pub(super) fn defer_acknowledge(&mut self, executor: ExecutorName, number: u64) {
        self.defer(Deferred::Acknowledge(executor, number));
    }

    pub(super) fn defer_host_order(&mut self, host: HostName) {
        self.defer(Deferred::OrderHost(host));
    }

    pub(super) fn defer_show_end(&mut self, job: JobName) {
        self.forget(job.clone());
        self.defer(Deferred::ShowEnd(job));
    }

    pub(super) fn defer_wave_report(&mut self, wave: u64) {
        self.defer(Deferred::ReportWave(wave));
    }

    /// Removes the keys of a job that has ended, once its end is stored.
    pub(super) fn forget(&mut self, job: JobName) {
        self.removals.push(&self.records, job);
    }

    /// Sends the removals of an append again later, as the store has refused them.
    pub(super) fn retry_removals(&mut self, now: Now, append: u64) {
        if self.in_flight.as_ref().is_some_and(|sent| sent.append == append) {
            self.removals.retry(now.time, &self.records);
        }
    }

    /// Whether an append has had no response for a while: what others write to the store does not
    /// reach the leader either.
    pub(super) fn is_store_silent(&self, now: Time) -> bool {
        self.in_flight.is_some() && now.since(self.sent_at) >= STORE_SILENCE
    }

    /// The ended jobs whose submissions may still be stored.
    pub(super) fn stored_submissions(&self) -> impl Iterator<Item = &JobName> {
        self.removals.outstanding()
    }
}

impl Scheduler {
    /// Sends the next records, unless an append is in flight or was sent very recently.
    pub(super) fn flush(&mut self, now: Now) {
        self.release_actions(now);
        let outbox = &self.outbox;
        let idle = outbox.records.is_empty() && !outbox.removals.are_due(now.time);
        let paused = now.time.since(outbox.sent_at) < self.limits.append_interval;
        if idle || outbox.in_flight.is_some() || (paused && outbox.sent_at > Time::ZERO) {
            return;
        }
        if !self.ledger.host_orders.is_empty() {
            let millis = self.led_millis(now.time);
            self.record(Record::TermTime { millis });
        }
        self.take_snapshot();
        let outbox = &mut self.outbox;
        let append = outbox.next_append;
        let until = outbox.snapshot.as_ref().map_or(outbox.records.end(), |(end, _)| *end);
        let records = outbox.records.take(self.limits.records_per_append, until);
        let through = outbox.records.sent();
        // The keys of a job may go with its end, as an append takes effect as a whole.
        let forget = outbox.removals.take(now.time, through);
        self.ledger.note_sent(now.wall, &records);
        let snapshot = outbox.snapshot.take_if(|(end, _)| *end == through);
        let recent_starts = &self.ledger.recent_starts;
        let snapshot = snapshot.map(|(_, snapshot)| {
            let recent_starts = recent_starts.clone();
            Box::new(Snapshot { through: append, recent_starts, ..*snapshot })
        });
        outbox.next_append += 1;
        outbox.in_flight = Some(InFlight { append, through, snapshot });
        outbox.sent_at = now.time;
        let (at, term) = (now.wall, outbox.first_append);
        self.effects.push(Effect::Append { append, at, term, records, forget });
    }

    /// Takes a snapshot if one is due.
    ///
    /// It contains all records that are queued. A later append with one of these would apply it a
    /// second time, so the snapshot is stored after the append with the last of them.
    fn take_snapshot(&mut self) {
        let outbox = &mut self.outbox;
        let due = outbox.next_append >= outbox.first_uncompacted + APPENDS_PER_SNAPSHOT;
        if due && outbox.snapshot.is_none() {
            let snapshot = Box::new(Snapshot::of(&self.ledger, outbox.next_append));
            outbox.snapshot = Some((outbox.records.end(), snapshot));
        }
    }

    pub(super) fn appended(&mut self, now: Now, append: u64) {
        let outbox = &mut self.outbox;
        let Some(in_flight) = outbox.in_flight.take_if(|sent| sent.append == append) else {
            return;
        };
        outbox.stored = in_flight.through;
        outbox.removals.confirm();
        if let Some(snapshot) = in_flight.snapshot {
            let remove = outbox.first_uncompacted..=snapshot.through;
            outbox.first_uncompacted = snapshot.through + 1;
            self.effects.push(Effect::StoreSnapshot { snapshot, remove });
        }
        self.release_actions(now);
    }

    fn release_actions(&mut self, now: Now) {
        for action in self.outbox.actions.take(self.outbox.stored, usize::MAX) {
            self.run_deferred(now, action);
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
