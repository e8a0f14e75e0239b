//! Stores the leader's records and snapshots.
//!
//! Each append has a key of its own and expects two things: that its author still leads, and that
//! the key is not there yet. A call without an answer is simply made again: if it had been carried
//! out, the key is there, and only this leader can have written it.

use std::{ops::RangeInclusive, sync::Arc, time::Duration};

use borageswitch_scheduler::ledger::{record::Record, snapshot::Snapshot};
use borageswitch_types::names::JobName;
use smol::Timer;

use crate::{
    clock, codec,
    daemon::Shared,
    keys,
    ports::{Committed, Platform, StoreError, Transaction},
};

/// The pause before a call that failed is made again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// An append that took so long is logged: starts and ends wait for it, and callers see their jobs
/// late. An ordinary one takes some 10 ms.
const SLOW_APPEND: Duration = Duration::from_millis(100);
/// The largest snapshot that is stored, in bytes; the store's limit for a value is 1 MiB.
const MAX_SNAPSHOT: usize = 1_000_000;

/// How an attempt to store something ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stored {
    /// It is stored.
    Yes,
    /// Another leader is there, or this one has lost its lease.
    Deposed,
}

/// Stores an append, for as long as this daemon leads.
pub async fn store<P>(
    shared: &Arc<Shared<P>>,
    token: u64,
    append: u64,
    records: &[Record],
    forget: &[JobName],
    cancels: &[JobName],
) -> Stored
where
    P: Platform,
{
    let key = keys::append(append);
    let mut tx = Transaction {
        expect: vec![(keys::LEADER.into(), token), (key.clone(), 0)],
        write: vec![(key.clone(), codec::encode(&records), None)],
        remove: forget.iter().map(keys::job).chain(cancels.iter().map(keys::cancel)).collect(),
    };
    let sent = clock::time();
    loop {
        match shared.platform.commit(&tx).await {
            Ok(Committed::Done(_)) => {
                note_slow(append, records.len(), clock::time().since(sent));
                return Stored::Yes;
            }
            Ok(Committed::Conflict(items)) => {
                let leads = items.iter().any(|i| &*i.key == keys::LEADER && i.revision == token);
                let there = items.iter().any(|item| item.key == key);
                if leads && there {
                    return Stored::Yes;
                }
                if !leads {
                    return Stored::Deposed;
                }
                log::error!(append = append; "a conflict without a cause; the append is repeated");
            }
            Ok(Committed::NoLease) => return Stored::Deposed,
            // The records must be stored whatever happens; keys that stay are removed by the next
            // leader.
            Err(StoreError::Malformed) if !tx.remove.is_empty() => {
                log::error!(append = append, keys = tx.remove.len(); "removal-refused");
                tx.remove.clear();
                continue;
            }
            Err(err) => log::debug!(append = append; "an append is repeated: {err}"),
        }
        Timer::after(RETRY_PAUSE).await;
        if !shared.leads(token) {
            return Stored::Deposed;
        }
    }
}

fn note_slow(append: u64, records: usize, took: Duration) {
    if took >= SLOW_APPEND {
        let took_ms = took.as_millis() as u64;
        log::warn!(append = append, records = records, took_ms = took_ms; "append-slow");
    }
}

/// Stores a snapshot and removes the appends that are part of it.
///
/// A snapshot that cannot be stored is let go: the appends are still there, and the next snapshot
/// removes them.
pub async fn store_snapshot<P>(
    shared: &Arc<Shared<P>>,
    token: u64,
    snapshot: &Snapshot,
    remove: RangeInclusive<u64>,
) where
    P: Platform,
{
    let value = codec::encode(snapshot);
    if value.len() > MAX_SNAPSHOT {
        log::error!(bytes = value.len(); "snapshot-too-large");
        return;
    }
    let tx = Transaction {
        expect: vec![(keys::LEADER.into(), token)],
        write: vec![(keys::SNAPSHOT.into(), value, None)],
        remove: remove.map(keys::append).collect(),
    };
    match shared.platform.commit(&tx).await {
        Ok(Committed::Done(_)) => {}
        other => log::warn!(through = snapshot.through; "snapshot-not-stored: {other:?}"),
    }
}
