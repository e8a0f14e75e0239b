//! Stores the leader's snapshots of the ledger.
//!
//! The call that stores a snapshot removes the appends that it includes. A call without a response
//! may be carried out seconds later. If it then replaced a newer snapshot, the appends between the
//! two would be in neither. Each call therefore requires the revision of the snapshot that it
//! replaces.

use std::{ops::RangeInclusive, sync::Arc};

use borageswitch_scheduler::ledger::snapshot::Snapshot;
use smol::lock::Mutex;

use crate::{
    codec,
    daemon::Shared,
    keys,
    ports::{CommitOutcome, Item, Platform, Revision, Transaction},
};

/// The largest snapshot that is stored; the store limits values to 1 MiB.
const MAX_SNAPSHOT_BYTES: usize = 1_000_000;
/// How often storing a snapshot is attempted: a second time if an earlier call has taken effect
/// whose response was lost.
const ATTEMPTS: usize = 2;

/// The maximum number of appends that one call removes: the store accepts 32 entries per call, of
/// which one is the leader key.
const MAX_REMOVALS: usize = 31;

/// The stored snapshot, as far as this daemon knows. Its lock is held during a call, so that
/// snapshots are stored in their order.
#[derive(Debug, Default)]
pub struct StoredSnapshot {
    known: Mutex<Known>,
}

#[derive(Debug, Default)]
struct Known {
    /// The term in which the revision was read or written.
    token: Revision,
    /// The revision of the snapshot; 0 if there is none.
    revision: Revision,
    /// The last append that a snapshot of this term includes.
    through: u64,
    /// Appends that the next snapshot includes and that may still be stored.
    leftover: Vec<Arc<str>>,
}

impl StoredSnapshot {
    /// Begins a term whose leader has read the snapshot at this revision, 0 if there is none, and
    /// these appends.
    pub async fn begin_term(&self, token: Revision, revision: Revision, appends: Vec<Arc<str>>) {
        *self.known.lock().await = Known { token, revision, through: 0, leftover: appends };
    }
}

/// Stores a snapshot and removes the appends that it includes.
///
/// A failure is not retried: the next snapshot includes the same appends, and they are removed after
/// it.
pub async fn store<P>(
    shared: &Arc<Shared<P>>,
    token: Revision,
    snapshot: &Snapshot,
    remove: RangeInclusive<u64>,
) where
    P: Platform,
{
    let value = codec::encode(snapshot);
    if value.len() > MAX_SNAPSHOT_BYTES {
        log::error!(bytes = value.len(); "snapshot-too-large");
        return;
    }
    let through = snapshot.through;
    let mut known = shared.stored_snapshot.known.lock().await;
    if known.token != token || known.through >= through {
        return;
    }
    let mut tx = Transaction {
        expect: vec![(keys::LEADER.into(), token), (keys::SNAPSHOT.into(), known.revision)],
        write: vec![(keys::SNAPSHOT.into(), value, None)],
        remove: remove.map(keys::append).collect(),
    };
    for _ in 0..ATTEMPTS {
        match shared.platform.commit(&tx).await {
            Ok(CommitOutcome::Done(revision)) => {
                known.revision = revision;
                known.through = through;
                known.leftover.retain(|append| !tx.remove.contains(append));
                remove_leftover(shared, &mut known).await;
                return;
            }
            Ok(CommitOutcome::Conflict(items)) if is_leader(&items, token) => {
                let stored = items.iter().find(|item| &*item.key == keys::SNAPSHOT);
                known.revision = stored.map_or(0, |item| item.revision);
                log::info!(through = through, revision = known.revision; "snapshot-stored-late");
                tx.expect =
                    vec![(keys::LEADER.into(), token), (keys::SNAPSHOT.into(), known.revision)];
            }
            other => {
                log::warn!(through = through; "snapshot-not-stored: {other:?}");
                known.leftover.append(&mut tx.remove);
                return;
            }
        }
    }
}

/// Removes appends that the stored snapshot includes and whose removal has failed.
async fn remove_leftover<P>(shared: &Arc<Shared<P>>, known: &mut Known)
where
    P: Platform,
{
    let count = known.leftover.len().min(MAX_REMOVALS);
    if count == 0 {
        return;
    }
    let tx = Transaction {
        expect: vec![(keys::LEADER.into(), known.token)],
        write: Vec::new(),
        remove: known.leftover[..count].to_vec(),
    };
    match shared.platform.commit(&tx).await {
        Ok(CommitOutcome::Done(_)) => {
            known.leftover.drain(..count);
        }
        other => log::debug!(appends = count; "removing appends failed; retrying later: {other:?}"),
    }
}

/// Whether the leader key is still that of the term of `token`, in which only this daemon stores
/// snapshots.
fn is_leader(items: &[Item], token: Revision) -> bool {
    items.iter().any(|item| &*item.key == keys::LEADER && item.revision == token)
}
