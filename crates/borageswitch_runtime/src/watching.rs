//! Follows what others write: the configuration, and for a leader executors, jobs and waves.
//!
//! Each watch goes on from where the last answer ended. Where the store has dropped the history in
//! between, everything is read anew, so nothing is missed for longer than that takes.

use std::{sync::Arc, time::Duration};

use borageswitch_scheduler::{
    event::{Event, RegistrationChange},
    executor::Registration,
};
use borageswitch_types::names::JobName;
use smol::Timer;

use crate::{
    clock, codec,
    control::Message,
    daemon::Shared,
    keys,
    ports::{Change, Item, Platform, Revision, StoreError, StoreResult},
    retry::Pauses,
    takeover::read_all,
};

/// How long other watches wait.
const WATCH_WAIT: Duration = Duration::from_millis(2_000);
/// How long the watch for waves waits: they are announced long before they are due.
const WAVES_WAIT: Duration = Duration::from_millis(4_000);
/// The pause after a watch has told of jobs. Each watch that returns is a call, and in a rush each job
/// and each removal made one, although whoever stores a job tells the leader of it at once. What is
/// told by the watch alone, as the other way failed, waits so much longer.
const INTAKE_PAUSE: Duration = Duration::from_millis(100);
/// The pause after a watch has told of executors: hosts that were sent for together come within
/// moments of each other.
const EXECUTORS_PAUSE: Duration = Duration::from_millis(15);
/// The pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The executors that are registered, and the revision from which to watch for more.
pub type ExecutorList = (Vec<Registration>, Revision);

/// Adopts each higher version of the configuration.
pub async fn config<P>(shared: Arc<Shared<P>>)
where
    P: Platform,
{
    let key = shared.platform.places().config.clone();
    let mut at: Option<Revision> = None;
    let mut lost = false;
    let mut pauses = Pauses::new(RETRY_PAUSE);
    loop {
        let sent = clock::time();
        let outcome = match at {
            None => read_config(&shared, &key).await,
            Some(after) => watch_config(&shared, &key, after).await,
        };
        match outcome {
            Ok(next) => {
                shared.store_health.answered();
                shared.confirm_config(sent);
                pauses.answered();
                if std::mem::take(&mut lost) {
                    log::info!("config-watch-regained");
                }
                at = Some(next);
            }
            Err(err) => {
                if err != StoreError::HistoryGone {
                    shared.store_health.failed(sent);
                }
                if !std::mem::replace(&mut lost, true) {
                    log::warn!(reason = err.to_string().as_str(); "config-watch-lost");
                }
                // Reading the key is as cheap as a watch and cannot miss a change.
                at = None;
                Timer::after(pauses.failed()).await;
            }
        }
    }
}

async fn read_config<P>(shared: &Arc<Shared<P>>, key: &str) -> StoreResult<Revision>
where
    P: Platform,
{
    let reading = shared.platform.read(key).await?;
    if let Some(item) = &reading.item {
        adopt(shared, item);
    }
    Ok(reading.at)
}

async fn watch_config<P>(
    shared: &Arc<Shared<P>>,
    key: &str,
    after: Revision,
) -> StoreResult<Revision>
where
    P: Platform,
{
    let seen = shared.platform.watch(key, after, shared.cfg.config_wait).await?;
    for change in &seen.changes {
        if let Change::Written(item) = change {
            adopt(shared, item);
        }
    }
    Ok(seen.at)
}

fn adopt<P>(shared: &Arc<Shared<P>>, item: &Item)
where
    P: Platform,
{
    match shared.platform.decode_config(item) {
        Some(config) => shared.adopt_config(Arc::new(config)),
        None => log::error!(key = &*item.key, revision = item.revision; "config-unreadable"),
    }
}

/// Reads the executors that are registered.
///
/// # Errors
///
/// Those of the store.
pub async fn list_executors<P>(platform: &P) -> StoreResult<ExecutorList>
where
    P: Platform,
{
    let (items, at) = read_all(platform, &platform.places().executors).await?;
    let mut registrations = Vec::new();
    for item in items {
        match platform.decode_executor(&Change::Written(item)) {
            Some(RegistrationChange::Present(registration)) => registrations.push(registration),
            Some(RegistrationChange::Unregistered(_) | RegistrationChange::Unreadable(_)) => {}
            None => log::error!("an executor's registration has a strange key"),
        }
    }
    Ok((registrations, at))
}

/// Tells the leader which executors come and go.
pub async fn executors<P>(shared: &Arc<Shared<P>>, token: u64, from: Revision)
where
    P: Platform,
{
    let prefix = shared.platform.places().executors.clone();
    let mut at = Some(from);
    loop {
        let Some(after) = at else {
            match list_executors(&shared.platform).await {
                Ok((all, from)) => {
                    tell(shared, token, Event::RegistrationsListed(all)).await;
                    at = Some(from);
                }
                Err(_) => {
                    Timer::after(RETRY_PAUSE).await;
                }
            }
            continue;
        };
        match shared.platform.watch(&prefix, after, WATCH_WAIT).await {
            Ok(seen) => {
                for change in &seen.changes {
                    let Some(seen) = shared.platform.decode_executor(change) else {
                        log::error!("an executor's registration has a strange key");
                        continue;
                    };
                    if matches!(seen, RegistrationChange::Unreadable(_)) {
                        shared.instruments.unreadable("registration");
                    }
                    tell(shared, token, Event::RegistrationChanged(seen)).await;
                }
                at = Some(seen.at);
                if !seen.changes.is_empty() {
                    Timer::after(EXECUTORS_PAUSE).await;
                }
            }
            Err(StoreError::HistoryGone) => at = None,
            Err(_) => {
                Timer::after(RETRY_PAUSE).await;
            }
        }
    }
}

/// Tells the leader which jobs were accepted or cancelled.
pub async fn intake<P>(shared: &Arc<Shared<P>>, token: u64, from: Revision)
where
    P: Platform,
{
    let mut at = Some(from);
    loop {
        let Some(after) = at else {
            match read_all(&shared.platform, keys::INTAKE).await {
                Ok((items, from)) => {
                    for item in &items {
                        take_in(shared, token, item).await;
                    }
                    at = Some(from);
                }
                Err(_) => {
                    Timer::after(RETRY_PAUSE).await;
                }
            }
            continue;
        };
        match shared.platform.watch(keys::INTAKE, after, WATCH_WAIT).await {
            Ok(seen) => {
                for change in &seen.changes {
                    if let Change::Written(item) = change {
                        take_in(shared, token, item).await;
                    }
                }
                at = Some(seen.at);
                if !seen.changes.is_empty() {
                    Timer::after(INTAKE_PAUSE).await;
                }
            }
            Err(StoreError::HistoryGone) => at = None,
            Err(_) => {
                Timer::after(RETRY_PAUSE).await;
            }
        }
    }
}

async fn take_in<P>(shared: &Arc<Shared<P>>, token: u64, item: &Item)
where
    P: Platform,
{
    if let Some(job) = item.key.strip_prefix(keys::CANCELS) {
        let job = JobName::from(job);
        let _ = shared.control.send(Message::CancelStored { token, job }).await;
        return;
    }
    match codec::decode_submission(&item.value) {
        Ok(submission) => tell(shared, token, Event::Submitted(Arc::new(submission))).await,
        Err(err) => log::error!(key = &*item.key; "{err}"),
    }
}

/// Tells the leader which waves are asked for.
pub async fn waves<P>(shared: &Arc<Shared<P>>, token: u64)
where
    P: Platform,
{
    let prefix = shared.platform.places().waves.clone();
    let mut at = None;
    loop {
        let outcome = match at {
            None => read_all(&shared.platform, &prefix).await,
            Some(after) => shared.platform.watch(&prefix, after, WAVES_WAIT).await.map(written),
        };
        match outcome {
            Ok((items, next)) => {
                for item in &items {
                    match shared.platform.decode_wave(item) {
                        Some(wave) => tell(shared, token, Event::WaveRequested(wave)).await,
                        None => log::error!(key = &*item.key; "wave-unreadable"),
                    }
                }
                at = Some(next);
            }
            Err(StoreError::HistoryGone) => at = None,
            Err(_) => {
                Timer::after(RETRY_PAUSE).await;
            }
        }
    }
}

fn written(seen: crate::ports::Changes) -> (Vec<Item>, Revision) {
    let items = seen.changes.into_iter().filter_map(|change| match change {
        Change::Written(item) => Some(item),
        Change::Removed(_) => None,
    });
    (items.collect(), seen.at)
}

async fn tell<P>(shared: &Arc<Shared<P>>, token: u64, event: Event)
where
    P: Platform,
{
    // The queue is closed once the control thread has ended; then nobody leads here.
    let _ = shared.control.send(Message::Event { token, event }).await;
}
