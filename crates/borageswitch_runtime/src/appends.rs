//! Stores the leader's log records.
//!
//! Each append has a key of its own. Its transaction requires that the author still leads and that
//! the key does not exist. A call without a response is repeated: if it had taken effect, the key
//! exists, and only this leader can have written it.

use std::{sync::Arc, time::Duration};

use borageswitch_scheduler::ledger::record::StoredAppend;
use borageswitch_types::names::JobName;
use smol::Timer;

use crate::{
    clock, codec,
    daemon::Shared,
    keys,
    ports::{CommitOutcome, Platform, StoreError, Transaction},
    resend::with_resend,
};

/// The pause before a failed call is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// An append that takes this long is logged: starts and ends of runs wait for it, and callers see
/// their jobs late. An ordinary one takes some 10 ms.
const SLOW_APPEND: Duration = Duration::from_millis(100);

/// The outcome of storing an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The append is stored, and the keys are removed.
    Stored,
    /// The append is stored, but the store has refused to remove the keys.
    StoredWithoutRemovals,
    /// Another daemon leads, or this one has lost its lease.
    Deposed,
}

/// Stores an append and removes the keys that it makes obsolete. Retries for as long as this daemon
/// leads.
pub async fn store<P>(
    shared: &Arc<Shared<P>>,
    token: u64,
    append: u64,
    content: &StoredAppend,
    forget: &[JobName],
    cancels: &[JobName],
) -> AppendOutcome
where
    P: Platform,
{
    let key = keys::append(append);
    let mut tx = Transaction {
        expect: vec![(keys::LEADER.into(), token), (key.clone(), 0)],
        write: vec![(key.clone(), codec::encode(content), None)],
        remove: forget.iter().map(keys::job).chain(cancels.iter().map(keys::cancel)).collect(),
    };
    let sent = clock::time();
    let mut stored = AppendOutcome::Stored;
    loop {
        match with_resend(&shared.store_times, || shared.platform.commit(&tx)).await {
            Ok(CommitOutcome::Done(_)) => {
                warn_if_slow(append, content.records.len(), clock::time().since(sent));
                return stored;
            }
            Ok(CommitOutcome::Conflict(items)) => {
                let leads = items.iter().any(|i| &*i.key == keys::LEADER && i.revision == token);
                let exists = items.iter().any(|item| item.key == key);
                if leads && exists {
                    return stored;
                }
                if !leads {
                    return AppendOutcome::Deposed;
                }
                log::error!(append = append; "conflict without a conflicting key; retrying the append");
            }
            Ok(CommitOutcome::NoLease) => return AppendOutcome::Deposed,
            // The records must be stored in any case.
            Err(StoreError::Malformed) if !tx.remove.is_empty() => {
                log::error!(append = append, keys = tx.remove.len(); "removal-refused");
                tx.remove.clear();
                stored = AppendOutcome::StoredWithoutRemovals;
                continue;
            }
            Err(err) => log::debug!(append = append; "append failed; retrying: {err}"),
        }
        Timer::after(RETRY_PAUSE).await;
        if !shared.leads(token) {
            return AppendOutcome::Deposed;
        }
    }
}

fn warn_if_slow(append: u64, records: usize, took: Duration) {
    if took >= SLOW_APPEND {
        let took_ms = took.as_millis() as u64;
        log::warn!(append = append, records = records, took_ms = took_ms; "append-slow");
    }
}
