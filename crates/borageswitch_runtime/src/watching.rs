//! Watches on the store: the configuration, and on the leader executors, jobs and waves.
//!
//! Each watch resumes from the revision of the last response. If the store has dropped the history
//! since then, everything is read again, so no change is missed for longer than that takes.

use std::{sync::Arc, time::Duration};

use borageswitch_scheduler::{
    event::{Event, RegistrationChange},
    executor::Registration,
};
use borageswitch_types::names::JobName;
use smol::Timer;

use crate::{
    cancel_marks::CancelMark,
    clock, codec,
    control::Message,
    daemon::Shared,
    keys,
    manual_limits::{self, LimitChange},
    ports::{Change, Item, Platform, Revision, StoreError, StoreResult},
    retry::Backoff,
    takeover::read_all,
};

/// How long a watch on executors or jobs waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long a watch on waves waits for a change: waves are announced long before they are due.
const WAVES_WATCH_TIMEOUT: Duration = Duration::from_millis(4_000);
/// The pause after a watch has returned changes of jobs. Without it, each job and each removal at a
/// load peak causes a watch call, although the daemon that stores a job notifies the leader at
/// once. A job whose notification failed is delayed by up to this pause.
const INTAKE_PAUSE: Duration = Duration::from_millis(100);
/// The pause after a watch has returned changes of executors: hosts that were requested together
/// register within moments of each other.
const EXECUTORS_PAUSE: Duration = Duration::from_millis(15);
/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The registered executors, and the revision from which to watch for changes.
pub type ExecutorList = (Vec<Registration>, Revision);

/// Watches the configuration and puts each higher version in force.
pub async fn config<P>(shared: Arc<Shared<P>>)
where
    P: Platform,
{
    let key = shared.platform.external_keys().config.clone();
    let mut at: Option<Revision> = None;
    let mut lost = false;
    let mut backoff = Backoff::new(RETRY_PAUSE);
    loop {
        let sent = clock::time();
        let outcome = match at {
            None => read_config(&shared, &key).await,
            Some(after) => watch_config(&shared, &key, after).await,
        };
        match outcome {
            Ok(next) => {
                shared.store_health.record_watch(sent, clock::time());
                shared.confirm_config(sent);
                backoff.reset();
                if std::mem::take(&mut lost) {
                    log::info!("config-watch-regained");
                }
                at = Some(next);
            }
            Err(err) => {
                match err {
                    StoreError::HistoryGone => {}
                    StoreError::Refused => shared.store_health.record_failure(sent),
                    _ => shared.store_health.record_no_response(sent),
                }
                if !std::mem::replace(&mut lost, true) {
                    log::warn!(reason = err.to_string().as_str(); "config-watch-lost");
                }
                // Reading the key costs no more than a watch and cannot miss a change.
                at = None;
                Timer::after(backoff.next_delay()).await;
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
    Ok(reading.store_revision)
}

async fn watch_config<P>(
    shared: &Arc<Shared<P>>,
    key: &str,
    after: Revision,
) -> StoreResult<Revision>
where
    P: Platform,
{
    let seen = shared.platform.watch(key, after, shared.cfg.config_watch_timeout).await?;
    for change in &seen.changes {
        if let Change::Written(item) = change {
            adopt(shared, item);
        }
    }
    Ok(seen.last_revision)
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

/// Reads the registered executors.
///
/// # Errors
///
/// Any error of the store.
pub async fn list_executors<P>(platform: &P) -> StoreResult<ExecutorList>
where
    P: Platform,
{
    let (items, at) = read_all(platform, &platform.external_keys().executors).await?;
    let mut registrations = Vec::new();
    for item in items {
        match platform.decode_executor(&Change::Written(item)) {
            Some(RegistrationChange::Present(registration)) => registrations.push(registration),
            Some(RegistrationChange::Unregistered(_) | RegistrationChange::Unreadable(_)) => {}
            None => log::error!("an executor's registration has an invalid key"),
        }
    }
    Ok((registrations, at))
}

/// Watches the executors and sends their changes to the scheduler.
pub async fn executors<P>(shared: &Arc<Shared<P>>, token: u64, from: Revision)
where
    P: Platform,
{
    let prefix = shared.platform.external_keys().executors.clone();
    let mut at = Some(from);
    loop {
        let Some(after) = at else {
            match list_executors(&shared.platform).await {
                Ok((all, from)) => {
                    send_event(shared, token, Event::RegistrationsListed(all)).await;
                    at = Some(from);
                }
                Err(_) => {
                    Timer::after(RETRY_PAUSE).await;
                }
            }
            continue;
        };
        match shared.platform.watch(&prefix, after, WATCH_TIMEOUT).await {
            Ok(seen) => {
                for change in &seen.changes {
                    let Some(seen) = shared.platform.decode_executor(change) else {
                        log::error!("an executor's registration has an invalid key");
                        continue;
                    };
                    if matches!(seen, RegistrationChange::Unreadable(_)) {
                        shared.instruments.count_unreadable("registration");
                    }
                    send_event(shared, token, Event::RegistrationChanged(seen)).await;
                }
                at = Some(seen.last_revision);
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

/// Watches for accepted and cancelled jobs and sends them to the scheduler.
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
                        handle_intake_item(shared, token, item).await;
                    }
                    let limits = LimitChange::Listed(manual_limits::decode_all(&items));
                    change_limits(shared, token, limits).await;
                    at = Some(from);
                }
                Err(_) => {
                    Timer::after(RETRY_PAUSE).await;
                }
            }
            continue;
        };
        match shared.platform.watch(keys::INTAKE, after, WATCH_TIMEOUT).await {
            Ok(seen) => {
                for change in &seen.changes {
                    match change {
                        Change::Written(item) => handle_intake_item(shared, token, item).await,
                        Change::Removed(key) => {
                            if let Some(subject) = manual_limits::subject(key) {
                                change_limits(shared, token, LimitChange::Lifted(subject)).await;
                            }
                        }
                    }
                }
                at = Some(seen.last_revision);
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

async fn handle_intake_item<P>(shared: &Arc<Shared<P>>, token: u64, item: &Item)
where
    P: Platform,
{
    if let Some(job) = item.key.strip_prefix(keys::CANCELS) {
        let (job, mark) = (JobName::from(job), CancelMark::decode(&item.value));
        let _ = shared.control.send(Message::CancelStored { token, job, mark }).await;
        return;
    }
    if item.key.starts_with(keys::MANUAL_LIMITS) {
        match manual_limits::decode(item) {
            Some((subject, per_second)) => {
                change_limits(shared, token, LimitChange::Set(subject, per_second)).await;
            }
            None => {
                manual_limits::log_unreadable(item);
                shared.instruments.count_unreadable("manual-limit");
            }
        }
        return;
    }
    match codec::decode_submission(&item.value) {
        Ok(submission) => send_event(shared, token, Event::Submitted(Arc::new(submission))).await,
        Err(err) => log::error!(key = &*item.key; "{err}"),
    }
}

async fn change_limits<P>(shared: &Arc<Shared<P>>, token: u64, change: LimitChange)
where
    P: Platform,
{
    // Fails only if the control thread has ended; then this daemon does not lead.
    let _ = shared.control.send(Message::ManualLimits { token, change }).await;
}

/// Watches for requested waves and sends them to the scheduler.
pub async fn waves<P>(shared: &Arc<Shared<P>>, token: u64)
where
    P: Platform,
{
    let prefix = shared.platform.external_keys().waves.clone();
    let mut at = None;
    loop {
        let outcome = match at {
            None => read_all(&shared.platform, &prefix).await,
            Some(after) => {
                shared.platform.watch(&prefix, after, WAVES_WATCH_TIMEOUT).await.map(written_items)
            }
        };
        match outcome {
            Ok((items, next)) => {
                for item in &items {
                    match shared.platform.decode_wave(item) {
                        Some(wave) => send_event(shared, token, Event::WaveRequested(wave)).await,
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

fn written_items(seen: crate::ports::Changes) -> (Vec<Item>, Revision) {
    let items = seen.changes.into_iter().filter_map(|change| match change {
        Change::Written(item) => Some(item),
        Change::Removed(_) => None,
    });
    (items.collect(), seen.last_revision)
}

async fn send_event<P>(shared: &Arc<Shared<P>>, token: u64, event: Event)
where
    P: Platform,
{
    // Fails only if the control thread has ended; then this daemon does not lead.
    let _ = shared.control.send(Message::Event { token, event }).await;
}
