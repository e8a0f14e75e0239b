//! Records on their way to the store, and what waits until they are stored.

use std::collections::VecDeque;

use crate::ledger::record::Record;

/// A position in the sequence of the records of a term: the number of records before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Position(u64);

/// Records that are not sent to the store yet, in the order in which the ledger applied them.
#[derive(Debug, Default)]
pub(super) struct RecordQueue {
    records: VecDeque<Record>,
    sent: u64,
}

impl RecordQueue {
    pub(super) fn push(&mut self, record: Record) {
        self.records.push_back(record);
    }

    /// Returns whether all records were sent.
    pub(super) fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The position after the records that were sent.
    pub(super) fn sent(&self) -> Position {
        Position(self.sent)
    }

    /// The position after all records.
    pub(super) fn end(&self) -> Position {
        Position(self.sent + self.records.len() as u64)
    }

    /// Takes the next records to send: at most `limit`, and none after `until`.
    pub(super) fn take(&mut self, limit: usize, until: Position) -> Vec<Record> {
        let before_end = until.0.saturating_sub(self.sent) as usize;
        let count = self.records.len().min(limit).min(before_end);
        self.sent += count as u64;
        self.records.drain(..count).collect()
    }
}

/// Items that wait until all records that were queued before them are stored.
#[derive(Debug)]
pub(super) struct AfterStored<T> {
    items: VecDeque<(Position, T)>,
}

impl<T> AfterStored<T> {
    /// Adds an item that depends on the records in `queue` and those sent before.
    pub(super) fn push(&mut self, queue: &RecordQueue, item: T) {
        self.items.push_back((queue.end(), item));
    }

    /// Takes at most `limit` items whose records are all before `stored`, oldest first.
    pub(super) fn take(&mut self, stored: Position, limit: usize) -> Vec<T> {
        let ready = self.items.partition_point(|(position, _)| *position <= stored);
        self.items.drain(..ready.min(limit)).map(|(_, item)| item).collect()
    }

    /// Returns whether no item waits.
    pub(super) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}

impl<T> Default for AfterStored<T> {
    fn default() -> Self {
        Self { items: VecDeque::new() }
    }
}
