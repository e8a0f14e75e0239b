//! Probes the store while it is unavailable, and reports outages to other daemons.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use borageswitch_types::Time;
use futures_lite::future;
use smol::Timer;

use super::{OutageReport, StoreCall, StoreHealth};
use crate::{
    clock,
    daemon::Shared,
    keys,
    orders::with_timeout,
    peers::{PeerRequest, PeerResponse},
    ports::{Platform, StoreError},
};

/// How often the store is read while it is unavailable. Forty daemons cause 160 reads a second, a
/// small part of what the store serves.
pub(super) const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// The timeout of a probe: longer than a slow store takes.
const PROBE_TIMEOUT: Duration = Duration::from_millis(450);
/// How much sooner than [`PROBE_INTERVAL`] the probe after a first one may follow.
const MAX_PHASE: Duration = Duration::from_millis(200);
/// A first failed call is followed by a probe after this time, before the store would count as
/// unavailable: a single failure must not reject callers, nor be reported.
const VERIFY_AFTER: Duration = Duration::from_millis(60);
/// The least pause of the monitor, so that it cannot spin.
const MIN_PAUSE: Duration = Duration::from_millis(2);
/// The least time between two probes, when several reports arrive together.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(20);

/// Probes and reports until the process ends. Does nothing while calls to the store succeed and
/// nothing else is reported.
pub async fn run<P>(shared: Arc<Shared<P>>)
where
    P: Platform,
{
    let health = shared.store_health.clone();
    let mut outage: Option<Time> = None;
    let mut last_probe = Time::ZERO;
    loop {
        let now = clock::time();
        let since = health.lock().outage_since(now);
        let mut due = health.take_due_check() || health.lock().verification_due(now, last_probe);
        match (outage, since) {
            (None, Some(began)) => {
                let since_ms = now.since(began).as_millis() as u64;
                log::warn!(since_ms = since_ms; "store-unavailable");
                due = true;
                if health.learn(false) {
                    report(&shared, OutageReport { available: false, since: began }, None);
                }
            }
            (Some(began), None) => {
                let away_ms = now.since(began).as_millis() as u64;
                log::info!(away_ms = away_ms; "store-available");
                if health.learn(true) {
                    report(&shared, OutageReport { available: true, since: now }, None);
                }
            }
            (None, None) => health.settle(now),
            (Some(_), Some(_)) => {}
        }
        // The beginning of an outage that lasts stays as it was first seen.
        outage = since.map(|since| outage.unwrap_or(since));
        let age = now.since(last_probe);
        due = due && age >= MIN_PROBE_INTERVAL;
        if due || (outage.is_some() && age >= PROBE_INTERVAL) {
            // Daemons that learn of an outage by the same report would go on to probe at the same
            // moments, and none of them just after the store has recovered.
            let first = due && outage.is_some();
            let phase = if first { fastrand::u64(..MAX_PHASE.as_micros() as u64) } else { 0 };
            last_probe = Time::from_micros(now.as_micros().saturating_sub(phase));
            shared.ex.spawn(probe(shared.clone())).detach();
        }
        health.wait_for_change(now, last_probe).await;
    }
}

/// Reads a small key of the store.
async fn probe<P>(shared: Arc<Shared<P>>)
where
    P: Platform,
{
    let call = StoreCall::begin(&shared.store_health, clock::time());
    match with_timeout(PROBE_TIMEOUT, shared.platform.read(keys::LEADER)).await {
        Some(Ok(_)) => call.succeed(clock::time()),
        Some(Err(StoreError::Refused)) => call.refuse(),
        Some(Err(_)) | None => call.lose(),
    }
}

/// Reports to the leader and to a few known peers; the leader reports to all that it knows. Each
/// forwards what is new to it, so that a report also gets around without a leader.
pub fn report<P>(shared: &Arc<Shared<P>>, report: OutageReport, received_from: Option<SocketAddr>)
where
    P: Platform,
{
    let now = clock::time();
    let leader = shared.remote_leader();
    let others = match shared.leader() {
        Some((record, _)) if record.address == shared.cfg.peer_address => shared.known_peers.all(),
        _ => shared.known_peers.sample_except(leader),
    };
    let since_ms = now.since(report.since).as_millis() as u64;
    let request = PeerRequest::StoreHealth { available: report.available, since_ms };
    for peer in leader.into_iter().chain(others) {
        let informed = peer == shared.cfg.peer_address || Some(peer) == received_from;
        if !informed && shared.store_health.may_tell(peer, now) {
            shared.ex.spawn(tell(shared.clone(), peer, request.clone())).detach();
        }
    }
}

async fn tell<P>(shared: Arc<Shared<P>>, peer: SocketAddr, request: PeerRequest)
where
    P: Platform,
{
    // A daemon of an earlier build does not respond.
    let response = shared.send_to_peer(peer, &request).await;
    // A receiver that has just been told may not have checked the store yet, so that only its
    // "unavailable" is evidence.
    let unavailable = response == Some(PeerResponse::StoreHealth { available: false });
    if unavailable && shared.remote_leader() == Some(peer) {
        shared.store_health.record_leader(peer, false, clock::time());
    }
}

impl StoreHealth {
    /// Waits until there is something to do for the monitor.
    async fn wait_for_change(&self, now: Time, last_probe: Time) {
        let changed = async {
            // The channel is never closed while this is in use.
            let _ = self.changes.1.recv().await;
        };
        let Some(due) = self.lock().next_check(now, last_probe) else { return changed.await };
        let timer = async {
            Timer::after(due.since(now).max(MIN_PAUSE)).await;
        };
        future::or(changed, timer).await;
    }
}

impl super::State {
    /// Whether the first failed call has to be verified by a probe.
    pub(super) fn verification_due(&self, now: Time, last_probe: Time) -> bool {
        let unverified = self.failing_since.filter(|since| last_probe < *since);
        unverified.is_some_and(|since| now.since(since) >= VERIFY_AFTER)
    }

    /// When the passage of time alone may give the monitor something to do.
    pub(super) fn next_check(&self, now: Time, last_probe: Time) -> Option<Time> {
        if self.is_unavailable(now) {
            return Some(last_probe + PROBE_INTERVAL);
        }
        if let Some(since) = self.failing_since {
            let verified = last_probe >= since;
            return Some(since + if verified { super::UNAVAILABLE_AFTER } else { VERIFY_AFTER });
        }
        let oldest = self.calls.values().next().filter(|_| self.reports.tell_of_outage(now));
        oldest.map(|sent| *sent + super::SLOW_DURING_OUTAGE)
    }
}
