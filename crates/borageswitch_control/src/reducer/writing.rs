//! Turns changes into compare-and-swaps of the fleet document.
//!
//! One write is in flight at a time. A write whose answer was lost may have taken effect, now or
//! later: the document is read again and asked for the operation id before anything else is done.

use std::{collections::VecDeque, sync::Arc};

use borageswitch_planner::changes;
use borageswitch_types::{Fleet, Time, fleet::ChangeRequest};
use borageswitch_wire::operator::OperatorAnswer;

use crate::{
    event::OperatorCall,
    reducer::{Purpose, State},
    store::{StoreAnswer, StoreError, StoreRequest},
};

/// How long an operator's change is tried before the answer is that it is undecided, in
/// multiples of the store's timeout.
const PATIENCE: u32 = 5;

/// Who waits for a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    Operator(OperatorCall),
    Planner,
}

#[derive(Debug)]
struct Pending {
    origin: Origin,
    req: ChangeRequest,
    until: Time,
}

/// The changes that wait and the write in flight.
#[derive(Debug, Default)]
pub(super) struct Writer {
    queue: VecDeque<Pending>,
    writing: Option<Fleet>,
    reading: bool,
}

impl Writer {
    pub(super) fn holds_planner_change(&self) -> bool {
        self.queue.iter().any(|pending| pending.origin == Origin::Planner)
    }
}

impl State {
    pub(super) fn queue_change(&mut self, origin: Origin, req: ChangeRequest) {
        let until = self.now + self.cfg.store_timeout * PATIENCE;
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
            self.conclude(pending.origin, OperatorAnswer::Undecided { detail });
        }
        self.write_next();
    }

    fn write_next(&mut self) {
        while self.writer.writing.is_none() && !self.writer.reading {
            let (Some(pending), Some(fleet)) = (self.writer.queue.front(), self.sync.fleet())
            else {
                return;
            };
            let mut next = Fleet::clone(fleet);
            match changes::apply(&mut next, &pending.req) {
                Ok(revision) if next.revision == fleet.revision => {
                    self.conclude_front(OperatorAnswer::Accepted { revision });
                }
                Ok(_) => self.write(next),
                Err(refusal) => self.conclude_front(OperatorAnswer::Refused(refusal)),
            }
        }
    }

    fn write(&mut self, next: Fleet) {
        let value: Arc<[u8]> = match serde_json::to_vec(&next) {
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
        self.writer.writing = Some(next);
        self.call_store(Purpose::WriteFleet, request, self.cfg.store_timeout);
    }

    pub(super) fn fleet_written(&mut self, outcome: Result<StoreAnswer, StoreError>) {
        let Some(written) = self.writer.writing.take() else { return };
        match outcome {
            Ok(StoreAnswer::Written { version }) => {
                let revision = written.revision;
                self.adopt(written, version);
                self.conclude_front(OperatorAnswer::Accepted { revision });
                self.write_next();
            }
            Err(StoreError::NotSent | StoreError::Refused) => {}
            _ => {
                self.writer.reading = true;
                self.read_fleet();
            }
        }
    }

    pub(super) fn writer_read(&mut self) {
        self.writer.reading = false;
        self.write_next();
    }

    pub(super) fn writer_read_failed(&mut self) {
        self.writer.reading = self.writer.reading && !self.writer.queue.is_empty();
    }

    fn conclude_front(&mut self, answer: OperatorAnswer) {
        if let Some(pending) = self.writer.queue.pop_front() {
            self.conclude(pending.origin, answer);
        }
    }

    fn conclude(&mut self, origin: Origin, answer: OperatorAnswer) {
        match origin {
            Origin::Operator(call) => self.answer(call, answer),
            Origin::Planner => self.planner_step_concluded(&answer),
        }
    }
}
