//! Rebuilds the ledger from what earlier leaders stored.
//!
//! Read only after this daemon has become the leader: every append expects its author to lead, so
//! nothing is added any more.

use std::sync::Arc;

use borageswitch_scheduler::{
    job::Submission,
    ledger::{Ledger, record::Record, snapshot::Snapshot},
};
use borageswitch_types::names::JobName;

use crate::{
    codec, keys,
    ports::{Item, Page, Platform, Revision, StoreError, StoreResult},
};

/// What a new leader begins with.
#[derive(Debug)]
pub struct Inheritance {
    /// Jobs, runs and ends.
    pub ledger: Ledger,
    /// The number of the next append.
    pub next_append: u64,
    /// The jobs that were cancelled past the last leader.
    pub cancelled: Vec<JobName>,
    /// Submissions of jobs that have ended; they can be removed.
    pub stale: Vec<Arc<Submission>>,
    /// From where to watch for jobs.
    pub intake_at: Revision,
}

/// Items whose keys begin alike, as far as they have been read.
#[derive(Debug, Default)]
struct Listing {
    items: Vec<Item>,
    /// The revision at which that began.
    at: Option<Revision>,
    whole: bool,
}

impl Listing {
    /// Reads what is missing. After an error the next call goes on from the page that was reached.
    async fn read<P>(&mut self, platform: &P, prefix: &str) -> StoreResult<()>
    where
        P: Platform,
    {
        while !self.whole {
            let page = platform.list(prefix, self.reached().as_deref()).await?;
            self.take(page);
        }
        Ok(())
    }

    /// The key that the next page begins after.
    fn reached(&self) -> Option<Arc<str>> {
        self.items.last().map(|item| item.key.clone())
    }

    fn take(&mut self, page: Page) {
        // Pages are not a snapshot: a watch from the first page's revision misses nothing.
        self.at.get_or_insert(page.at);
        self.whole = !page.more || page.items.is_empty();
        self.items.extend(page.items);
    }
}

/// Reads all items whose keys begin with `prefix`, and the revision at which that began.
///
/// # Errors
///
/// Those of the store.
pub async fn read_all<P>(platform: &P, prefix: &str) -> StoreResult<(Vec<Item>, Revision)>
where
    P: Platform,
{
    let mut listing = Listing::default();
    listing.read(platform, prefix).await?;
    Ok((listing.items, listing.at.unwrap_or_default()))
}

/// What a new leader has read so far of what earlier ones stored.
///
/// Nothing but this leader adds to snapshot and log, so what was read stays right. Begun anew after
/// each call that fails, a takeover over a slow link, or from a store that fails one call in three,
/// might never end, while jobs go on being accepted.
#[derive(Debug, Default)]
pub struct Reading {
    snapshot: Option<Snapshot>,
    appends: Listing,
    intake: Listing,
}

/// Rebuilds the ledger. After an error the next call goes on with what was read into `reading`.
///
/// # Errors
///
/// Those of the store, and [`StoreError::Unreadable`] when something stored cannot be decoded.
pub async fn load<P>(platform: &P, reading: &mut Reading) -> StoreResult<Inheritance>
where
    P: Platform,
{
    if reading.snapshot.is_none() {
        reading.snapshot = Some(read_snapshot(platform).await?);
    }
    reading.appends.read(platform, keys::LOG).await?;
    reading.intake.read(platform, keys::INTAKE).await?;
    let Reading { snapshot, appends, intake } = std::mem::take(reading);
    rebuild(snapshot.unwrap_or_default(), &appends.items, &intake)
}

async fn read_snapshot<P>(platform: &P) -> StoreResult<Snapshot>
where
    P: Platform,
{
    let Some(item) = platform.read(keys::SNAPSHOT).await?.item else {
        return Ok(Snapshot::default());
    };
    let younger = codec::YOUNGER_IN_SNAPSHOT;
    readable(&item, codec::decode_grown::<Snapshot>("snapshot", &item.value, younger))
}

fn rebuild(snapshot: Snapshot, appends: &[Item], intake: &Listing) -> StoreResult<Inheritance> {
    let intake_at = intake.at.unwrap_or_default();
    let mut submissions = Vec::new();
    let mut cancelled = Vec::new();
    for item in &intake.items {
        if item.key.starts_with(keys::JOBS) {
            // One that cannot be read can never run. Given up for it, nobody would ever lead.
            match codec::decode_submission(&item.value) {
                Ok(submission) => submissions.push(Arc::new(submission)),
                Err(err) => log::error!(key = &*item.key; "{err}"),
            }
        } else if let Some(job) = item.key.strip_prefix(keys::CANCELS) {
            cancelled.push(JobName::from(job));
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
        for record in readable(item, codec::decode::<Vec<Record>>("append", &item.value))? {
            ledger.apply(&record);
        }
        last = last.max(number);
    }
    let ended = |submission: &Arc<Submission>| ledger.finished.contains_key(&submission.job);
    let stale = submissions.into_iter().filter(ended).collect();
    Ok(Inheritance { ledger, next_append: last + 1, cancelled, stale, intake_at })
}

fn readable<T>(item: &Item, decoded: Result<T, codec::DecodeError>) -> StoreResult<T> {
    decoded.map_err(|err| {
        log::error!(key = &*item.key; "{err}");
        StoreError::Unreadable
    })
}

#[cfg(test)]
mod tests;
