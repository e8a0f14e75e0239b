//! Stores the leader's snapshots of the ledger, and removes the appends that they include.
//!
//! A call without a response may be carried out seconds later, or after the call that was sent in
//! its place. No order of these calls loses a record:
//!
//! - A snapshot requires the revision of the one that it replaces, so that it replaces none that
//!   was stored later.
//! - An append is removed only after a response has confirmed a snapshot that includes it. As a
//!   snapshot is never replaced by an earlier one, the append is not needed any more, however late
//!   its removal is carried out.

use std::{collections::BTreeSet, ops::RangeInclusive, sync::Arc};

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
/// The maximum number of calls after a snapshot that remove appends. One is enough, unless earlier
/// ones have failed or an earlier leader has left appends.
const MAX_REMOVAL_CALLS: usize = 2;

/// The stored snapshot and the appends that it makes obsolete, as far as this daemon knows. Its lock
/// is held during a call, so that snapshots are stored in their order.
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
    /// The last append that a confirmed snapshot of this term includes.
    through: u64,
    /// Appends that may still be stored. They are removed up to `through`.
    appends: BTreeSet<u64>,
}

impl StoredSnapshot {
    /// Begins a term whose leader has read the snapshot at this revision, 0 if there is none, and
    /// these appends.
    pub async fn begin_term(&self, token: Revision, revision: Revision, appends: BTreeSet<u64>) {
        *self.known.lock().await = Known { token, revision, through: 0, appends };
    }
}

/// Stores a snapshot, then removes the appends that it includes.
///
/// A failure is not retried: the next snapshot includes the same appends, and they are removed after
/// it.
pub async fn store<P>(
    shared: &Arc<Shared<P>>,
    token: Revision,
    snapshot: &Snapshot,
    included: RangeInclusive<u64>,
) where
    P: Platform,
{
    let mut known = shared.stored_snapshot.known.lock().await;
    if known.token != token {
        return;
    }
    known.appends.extend(included);
    if known.through < snapshot.through && replace(shared, &mut known, snapshot).await {
        remove_appends(shared, &mut known).await;
    }
}

/// Replaces the stored snapshot. Gives whether a response confirms it.
async fn replace<P>(shared: &Arc<Shared<P>>, known: &mut Known, snapshot: &Snapshot) -> bool
where
    P: Platform,
{
    let (token, through) = (known.token, snapshot.through);
    let value = codec::encode(snapshot);
    if value.len() > MAX_SNAPSHOT_BYTES {
        log::error!(bytes = value.len(); "snapshot-too-large");
        return false;
    }
    let mut tx = Transaction {
        expect: Vec::new(),
        write: vec![(keys::SNAPSHOT.into(), value, None)],
        remove: Vec::new(),
    };
    for _ in 0..ATTEMPTS {
        tx.expect = vec![(keys::LEADER.into(), token), (keys::SNAPSHOT.into(), known.revision)];
        match shared.platform.commit(&tx).await {
            Ok(CommitOutcome::Done(revision)) => {
                known.revision = revision;
                known.through = through;
                return true;
            }
            Ok(CommitOutcome::Conflict(items)) if is_leader(&items, token) => {
                let stored = items.iter().find(|item| &*item.key == keys::SNAPSHOT);
                known.revision = stored.map_or(0, |item| item.revision);
                log::info!(through = through, revision = known.revision; "snapshot-stored-late");
            }
            other => {
                log::warn!(through = through; "snapshot-not-stored: {other:?}");
                return false;
            }
        }
    }
    false
}

/// Removes appends that the stored snapshot includes. Those whose removal fails are removed after
/// the next snapshot.
async fn remove_appends<P>(shared: &Arc<Shared<P>>, known: &mut Known)
where
    P: Platform,
{
    for _ in 0..MAX_REMOVAL_CALLS {
        let obsolete = known.appends.range(..=known.through).take(MAX_REMOVALS);
        let obsolete: Vec<u64> = obsolete.copied().collect();
        if obsolete.is_empty() {
            return;
        }
        let tx = Transaction {
            expect: vec![(keys::LEADER.into(), known.token)],
            write: Vec::new(),
            remove: obsolete.iter().copied().map(keys::append).collect(),
        };
        match shared.platform.commit(&tx).await {
            Ok(CommitOutcome::Done(_)) => {
                known.appends.retain(|append| obsolete.binary_search(append).is_err());
            }
            other => {
                let appends = obsolete.len();
                log::debug!(appends = appends; "removing appends failed; retrying later: {other:?}");
                return;
            }
        }
    }
}

/// Whether the leader key is still that of the term of `token`, in which only this daemon stores
/// snapshots.
fn is_leader(items: &[Item], token: Revision) -> bool {
    items.iter().any(|item| &*item.key == keys::LEADER && item.revision == token)
}
