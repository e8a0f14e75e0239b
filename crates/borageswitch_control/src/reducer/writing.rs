//! Writes changes to the fleet document by compare-and-swap.
//!
//! One write is in flight at a time, and combines several queued changes. A write whose response
//! was lost may have taken effect or may still do so: the document is read again, and its operation
//! ids show which changes it contains, before anything else is written.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use borageswitch_planner::changes;
use borageswitch_types::{
    Fleet, Time,
    fleet::{ChangeRequest, Duty},
};
use borageswitch_wire::operator::OperatorAnswer;

use crate::{
    event::OperatorCallId,
    reducer::{
        State,
        store_calls::{Backoff, Purpose},
    },
    store::{StoreError, StoreRequest, StoreResponse},
};

/// How long an operator's change is retried before it is reported as undecided, in multiples of the
/// store timeout.
const CHANGE_TIMEOUTS: u32 = 5;
/// Maximum number of changes in one write; with more, one rejected write would delay many
/// operators.
const MAX_BATCH: usize = 16;
/// Maximum number of queued changes; further ones are rejected at once without being tried.
const MAX_QUEUE: usize = 256;
const RETRY_BASE: Duration = Duration::from_millis(50);

/// The origin of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    Operator(OperatorCallId),
    Planner,
}

#[derive(Debug)]
struct Pending {
    origin: Origin,
    req: ChangeRequest,
    until: Time,
}

/// A write in flight: the resulting document, and the responses to the first changes in the queue
/// if it takes effect.
#[derive(Debug)]
struct Batch {
    next: Fleet,
    responses: Vec<OperatorAnswer>,
}

/// The queued changes and the write in flight.
#[derive(Debug, Default)]
pub(super) struct Writer {
    queue: VecDeque<Pending>,
    writing: Option<Batch>,
    /// If set, nothing is written until the document was read by a call made at this time or later.
    read_needed: Option<Time>,
    next_try: Time,
    backoff: Backoff,
}

impl Writer {
    pub(super) fn has_planner_change(&self) -> bool {
        self.queue.iter().any(|pending| pending.origin == Origin::Planner)
    }

    pub(super) fn waiting(&self) -> usize {
        self.queue.len()
    }
}

impl State {
    pub(super) fn queue_change(&mut self, origin: Origin, req: ChangeRequest) {
        if self.writer.queue.len() >= MAX_QUEUE {
            let detail = Arc::from("too many changes wait at this daemon; nothing was tried");
            self.resolve_change(origin, OperatorAnswer::Undecided { detail });
            return;
        }
        let until = self.now + self.cfg.store_timeout * CHANGE_TIMEOUTS;
        self.writer.queue.push_back(Pending { origin, req, until });
        self.write_next();
    }

    pub(super) fn writer_tick(&mut self) {
        if self.writer.writing.is_some() {
            return;
        }
        while let Some(pending) =
            self.writer.queue.pop_front_if(|pending| pending.until <= self.now)
        {
            let detail = Arc::from("the platform's store did not answer in time");
            self.resolve_change(pending.origin, OperatorAnswer::Undecided { detail });
        }
        if self.writer.read_needed.is_some() && !self.writer.queue.is_empty() {
            self.read_fleet_for_writer();
        }
        self.write_next();
    }

    fn read_fleet_for_writer(&mut self) {
        if !self.store_calls.is_open(|purpose| *purpose == Purpose::ReadFleet)
            && self.writer.next_try <= self.now
        {
            self.writer.next_try = self.now + RETRY_BASE * 4;
            self.read_fleet();
        }
    }

    /// Discards the planner's queued changes once this daemon no longer holds the planner duty.
    fn drop_planner_changes(&mut self) {
        if !self.may_act(&Duty::Planner) {
            self.writer.queue.retain(|pending| pending.origin != Origin::Planner);
        }
    }

    fn write_next(&mut self) {
        let blocked = self.writer.writing.is_some() || self.writer.read_needed.is_some();
        if blocked || self.writer.next_try > self.now {
            return;
        }
        self.drop_planner_changes();
        if self.writer.queue.is_empty() {
            return;
        }
        let Some(fleet) = self.sync.fleet().cloned() else { return };
        let mut next = Fleet::clone(&fleet);
        let pending = self.writer.queue.iter().take(MAX_BATCH);
        let responses = pending.map(|pending| match changes::apply(&mut next, &pending.req) {
            Ok(revision) => OperatorAnswer::Accepted { revision },
            Err(refusal) => OperatorAnswer::Refused(refusal),
        });
        let responses: Vec<OperatorAnswer> = responses.collect();
        if next.revision == fleet.revision {
            self.resolve_first(responses);
            return;
        }
        self.write(Batch { next, responses });
    }

    fn write(&mut self, batch: Batch) {
        let value: Arc<[u8]> = match serde_json::to_vec(&batch.next) {
            Ok(bytes) => bytes.into(),
            Err(err) => {
                log::error!("the fleet document cannot be written: {err}");
                return;
            }
        };
        let request = StoreRequest::CompareAndSwap {
            key: self.fleet_key(),
            expected: self.sync.version(),
            value,
            lease: None,
        };
        self.writer.writing = Some(batch);
        self.call_store(Purpose::WriteFleet, request, self.cfg.store_timeout);
    }

    pub(super) fn fleet_written(&mut self, outcome: Result<StoreResponse, StoreError>) {
        let Some(batch) = self.writer.writing.take() else { return };
        match outcome {
            Ok(StoreResponse::Written { version }) => {
                self.writer.backoff.reset();
                self.adopt(batch.next, version, None);
                self.resolve_first(batch.responses);
                self.write_next();
            }
            Err(StoreError::NotSent | StoreError::Refused) => {
                let wait = self.writer.backoff.next_delay(RETRY_BASE, &mut self.rng);
                self.writer.next_try = self.now + wait;
            }
            _ => {
                self.writer.read_needed = Some(self.now);
                self.read_fleet_for_writer();
            }
        }
    }

    /// Continues writing after the document was read by a call made at `sent_at`.
    pub(super) fn writer_read(&mut self, sent_at: Time) {
        if self.writer.read_needed.is_some_and(|needed| sent_at >= needed) {
            self.writer.read_needed = None;
            self.writer.next_try = self.now;
        }
        self.write_next();
    }

    fn resolve_first(&mut self, responses: Vec<OperatorAnswer>) {
        for response in responses {
            if let Some(pending) = self.writer.queue.pop_front() {
                self.resolve_change(pending.origin, response);
            }
        }
    }

    fn resolve_change(&mut self, origin: Origin, response: OperatorAnswer) {
        match origin {
            Origin::Operator(call) => self.respond(call, response),
            Origin::Planner => self.planner_change_resolved(&response),
        }
    }
}
