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
    ports::{Item, Platform, Revision, StoreError, StoreResult},
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

/// Reads all items whose keys begin with `prefix`, and the revision at which that began.
///
/// # Errors
///
/// Those of the store.
pub async fn read_all<P>(platform: &P, prefix: &str) -> StoreResult<(Vec<Item>, Revision)>
where
    P: Platform,
{
    let mut all: Vec<Item> = Vec::new();
    let mut at = None;
    loop {
        let after = all.last().map(|item| item.key.clone());
        let page = platform.list(prefix, after.as_deref()).await?;
        // Pages are not a snapshot: a watch from the first page's revision misses nothing.
        at.get_or_insert(page.at);
        let end = !page.more || page.items.is_empty();
        all.extend(page.items);
        if end {
            return Ok((all, at.unwrap_or_default()));
        }
    }
}

/// Rebuilds the ledger.
///
/// # Errors
///
/// Those of the store, and [`StoreError::Unreadable`] when something stored cannot be decoded.
pub async fn load<P>(platform: &P) -> StoreResult<Inheritance>
where
    P: Platform,
{
    let snapshot = match platform.read(keys::SNAPSHOT).await?.item {
        Some(item) => {
            let younger = codec::YOUNGER_IN_SNAPSHOT;
            let decoded = codec::decode_grown::<Snapshot>("snapshot", &item.value, younger);
            readable(&item, decoded)?
        }
        None => Snapshot::default(),
    };
    let (appends, _) = read_all(platform, keys::LOG).await?;
    let (intake, intake_at) = read_all(platform, keys::INTAKE).await?;
    let mut submissions = Vec::new();
    let mut cancelled = Vec::new();
    for item in &intake {
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
    for item in &appends {
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
