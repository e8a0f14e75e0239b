//! Rebuilds the ledger from the state that earlier leaders stored.
//!
//! The state is read only after this daemon has become the leader. As every append requires its
//! author to be the leader, nothing is added while it is read.

use std::{collections::BTreeSet, sync::Arc};

use borageswitch_scheduler::{
    job::Submission,
    ledger::{Ledger, snapshot::Snapshot},
    policy::manual_limits::LimitSubject,
};
use borageswitch_types::names::JobName;

use crate::{
    cancel_marks::CancelMark,
    codec, keys, manual_limits,
    ports::{Item, Page, Platform, Revision, StoreError, StoreResult},
};

/// The state with which a new leader begins.
#[derive(Debug)]
pub struct RecoveredState {
    /// The ledger.
    pub ledger: Ledger,
    /// The number of the next append.
    pub next_append: u64,
    /// The revision of the snapshot; 0 if there is none.
    pub snapshot_revision: Revision,
    /// The numbers of the stored appends, also of those that the snapshot includes.
    pub appends: BTreeSet<u64>,
    /// Jobs whose cancellation is stored; they may be known or not.
    pub cancelled: Vec<(JobName, CancelMark)>,
    /// Stored submissions of jobs that have ended, which can be removed.
    pub stale: Vec<Arc<Submission>>,
    /// The limits that operators have set.
    pub manual_limits: Vec<(LimitSubject, f64)>,
    /// The revision from which to watch the intake.
    pub intake_revision: Revision,
}

/// The pages read so far of the items under one prefix.
#[derive(Debug, Default)]
struct Listing {
    items: Vec<Item>,
    /// The revision of the first page.
    first_revision: Option<Revision>,
    complete: bool,
}

impl Listing {
    /// Reads the missing pages. After an error the next call resumes after the last page.
    async fn read<P>(&mut self, platform: &P, prefix: &str) -> StoreResult<()>
    where
        P: Platform,
    {
        while !self.complete {
            let page = platform.list(prefix, self.last_key().as_deref()).await?;
            self.add_page(page).inspect_err(|_| log::error!(prefix = prefix; "list-page-empty"))?;
        }
        Ok(())
    }

    /// The key after which the next page begins.
    fn last_key(&self) -> Option<Arc<str>> {
        self.items.last().map(|item| item.key.clone())
    }

    /// Adds a page.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unreadable`] if the page is empty and others follow: there is no key after
    /// which to continue, and a part of the items must not be taken for all.
    fn add_page(&mut self, page: Page) -> StoreResult<()> {
        if page.more && page.items.is_empty() {
            return Err(StoreError::Unreadable);
        }
        // Pages differ in revision; a watch from the first page's revision misses no change.
        self.first_revision.get_or_insert(page.store_revision);
        self.complete = !page.more;
        self.items.extend(page.items);
        Ok(())
    }
}

/// Reads all items whose keys begin with `prefix`, and the revision of the first page.
///
/// # Errors
///
/// Any error of the store.
pub async fn read_all<P>(platform: &P, prefix: &str) -> StoreResult<(Vec<Item>, Revision)>
where
    P: Platform,
{
    let mut listing = Listing::default();
    listing.read(platform, prefix).await?;
    Ok((listing.items, listing.first_revision.unwrap_or_default()))
}

/// The progress of a takeover, kept across errors.
///
/// Only this leader writes the snapshot and the log, so what was read stays valid. A takeover that
/// restarted after each failed call might never end over a slow link, or with a store that fails
/// one call in three, while jobs keep being accepted.
#[derive(Debug, Default)]
pub struct LoadProgress {
    snapshot: Option<(Snapshot, Revision)>,
    appends: Listing,
    intake: Listing,
}

/// Rebuilds the ledger. After an error the next call resumes from `progress`.
///
/// # Errors
///
/// Any error of the store, and [`StoreError::Unreadable`] if a stored value cannot be decoded or an
/// append after the snapshot is missing: its records are lost, and without them tasks that are done
/// would run again.
pub async fn load<P>(platform: &P, progress: &mut LoadProgress) -> StoreResult<RecoveredState>
where
    P: Platform,
{
    if progress.snapshot.is_none() {
        progress.snapshot = Some(read_snapshot(platform).await?);
    }
    progress.appends.read(platform, keys::LOG).await?;
    progress.intake.read(platform, keys::INTAKE).await?;
    let LoadProgress { snapshot, appends, intake } = std::mem::take(progress);
    let (snapshot, snapshot_revision) = snapshot.unwrap_or_default();
    rebuild(snapshot, snapshot_revision, &appends.items, &intake)
}

/// Reads the snapshot and its revision.
async fn read_snapshot<P>(platform: &P) -> StoreResult<(Snapshot, Revision)>
where
    P: Platform,
{
    let Some(item) = platform.read(keys::SNAPSHOT).await?.item else {
        return Ok(Default::default());
    };
    let added_fields = codec::FIELDS_ADDED_TO_SNAPSHOT;
    let decoded = codec::decode_with_added_fields("snapshot", &item.value, added_fields);
    Ok((require_decoded(&item, decoded)?, item.revision))
}

fn rebuild(
    snapshot: Snapshot,
    snapshot_revision: Revision,
    appends: &[Item],
    intake: &Listing,
) -> StoreResult<RecoveredState> {
    let intake_revision = intake.first_revision.unwrap_or_default();
    let mut submissions = Vec::new();
    let mut cancelled = Vec::new();
    for item in &intake.items {
        if item.key.starts_with(keys::JOBS) {
            // A submission that cannot be decoded never runs. If it failed the takeover, no daemon
            // could ever lead.
            match codec::decode_submission(&item.value) {
                Ok(submission) => submissions.push(Arc::new(submission)),
                Err(err) => log::error!(key = &*item.key; "{err}"),
            }
        } else if let Some(job) = item.key.strip_prefix(keys::CANCELS) {
            cancelled.push((JobName::from(job), CancelMark::decode(&item.value)));
        }
    }
    let through = snapshot.through;
    let mut ledger = snapshot.restore(submissions.iter().cloned());
    let mut last = through;
    for item in appends {
        let Some(number) = keys::append_number(&item.key) else { continue };
        if number <= through {
            continue;
        }
        if number != last + 1 {
            log::error!(through = through, missing = last + 1, found = number; "log-gap");
            return Err(StoreError::Unreadable);
        }
        ledger.apply_append(&require_decoded(item, codec::decode_append(&item.value))?);
        last = number;
    }
    log::info!(through = through, last = last, read = appends.len(); "log-read");
    let ended = |submission: &Arc<Submission>| ledger.finished.contains_key(&submission.job);
    let stale = submissions.into_iter().filter(ended).collect();
    Ok(RecoveredState {
        ledger,
        next_append: last + 1,
        snapshot_revision,
        appends: appends.iter().filter_map(|item| keys::append_number(&item.key)).collect(),
        cancelled,
        stale,
        manual_limits: manual_limits::decode_all(&intake.items),
        intake_revision,
    })
}

fn require_decoded<T>(item: &Item, decoded: Result<T, codec::DecodeError>) -> StoreResult<T> {
    decoded.map_err(|err| {
        log::error!(key = &*item.key; "{err}");
        StoreError::Unreadable
    })
}

#[cfg(test)]
mod tests;
