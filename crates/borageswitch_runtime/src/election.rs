//! Leader election.
//!
//! The daemon that creates the leader key under a lease is the leader. The revision of that write
//! is unique and rises with each leader: it is the fencing token of all orders. If the response to
//! the write is lost, the daemon reads the key back and compares the nonce.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_channel::Sender;
use borageswitch_types::Time;
use futures_lite::future;
use smol::Timer;

use crate::{
    clock, codec,
    control::Message,
    daemon::Shared,
    keys::{self, LeaderRecord},
    orders::with_timeout,
    peers::{PeerRequest, PeerResponse},
    ports::{
        Change, CommitOutcome, Item, LeaseId, Platform, Revision, StoreError, StoreResult,
        Transaction,
    },
    resend::with_resend,
    retry::Backoff,
    takeover, watching,
};

/// The duration of a leader's lease. A crashed leader is replaced after this time at the latest.
/// With a shorter lease, an ordinary pause of a loaded small host or a slow store would depose a
/// healthy leader.
const LEADER_TTL: Duration = Duration::from_millis(1_600);
/// The interval between renewals: two may be lost before the lease expires. Renewals cost little.
const RENEW_INTERVAL: Duration = Duration::from_millis(400);
/// A leader that the store has rejected for this long has another daemon revoke its lease, if the
/// store serves that one: two renewals have failed, and no decision can be stored.
const HAND_OVER_AFTER: Duration = Duration::from_millis(400);
/// The timeout of a request for the leader before a lease revocation. A slower response shows that
/// the leader's own network link or processor is slow. That also explains its late renewals, and
/// the next leader would do no better.
const MAX_PEER_LATENCY: Duration = Duration::from_millis(150);
/// How many daemons are contacted between two renewals, as the next renewal waits for their
/// responses.
const MAX_REVOKER_CANDIDATES: usize = 2;
/// How long a watch on the leader key waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_millis(4_000);
/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// The pause before stored state that cannot be used is read again: all of it is read each time, and
/// only an operator can mend it.
const UNREADABLE_PAUSE: Duration = Duration::from_millis(2_000);
/// How long a daemon on a host of one core waits before it campaigns. The delay is inversely
/// proportional to the square of the number of cores: 20 ms with half a core, 350 ms with an
/// eighth. A leader of a thousand executors needs a good part of a core at load peaks; with an
/// eighth of one it falls behind until nothing starts any more. When watches are cut, daemons learn
/// of a vacancy up to [`RETRY_PAUSE`] apart, so the advantage of a strong host has to be longer
/// than that.
const BASE_CAMPAIGN_DELAY: Duration = Duration::from_millis(5);
/// The maximum of that delay: where no stronger daemon is left, nothing starts while a weak one
/// waits.
const MAX_CAMPAIGN_DELAY: Duration = Duration::from_millis(400);

/// An additional delay of a daemon on a host of one core, as a fraction of the latency of its last
/// store call; it is inversely proportional to the number of cores. With a store latency of a
/// quarter of a second, more or less, a head start of some 60 ms is lost in the variation, and a
/// weak daemon could win.
const STORE_LATENCY_FACTOR: f64 = 0.2;
/// The maximum of the additional delay, so that the lease does not expire during it.
const MAX_STORE_LATENCY_DELAY: Duration = Duration::from_millis(450);

/// A term of a leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Term {
    /// The fencing token: the revision of the write that began the term.
    pub token: Revision,
    /// The lease of the leader key.
    pub lease: LeaseId,
}

/// Campaigns for leadership, and leads when elected, until the daemon stops.
pub async fn run<P>(shared: Arc<Shared<P>>)
where
    P: Platform,
{
    let mut backoff = Backoff::new(RETRY_PAUSE);
    while !shared.is_stopping() {
        let vacant_at = match wait_for_vacancy(&shared, &mut backoff).await {
            Ok(at) => at,
            Err(err) => {
                log::debug!("the leader key cannot be read: {err}");
                Timer::after(backoff.next_delay()).await;
                continue;
            }
        };
        if shared.is_stopping() || shared.config().is_none() {
            Timer::after(RETRY_PAUSE).await;
            continue;
        }
        if !stays_vacant(&shared, vacant_at, campaign_delay(shared.cfg.weight)).await {
            continue;
        }
        match campaign(&shared).await {
            Ok(Some(term)) => lead(&shared, term).await,
            Ok(None) => {}
            Err(err) => {
                log::info!(reason = err.to_string().as_str(); "campaign-failed");
                Timer::after(RETRY_PAUSE).await;
            }
        }
    }
}

/// The delay before a daemon campaigns: the stronger its host, the shorter, so that a host which
/// can carry the load becomes the leader.
fn campaign_delay(cores: f64) -> Duration {
    let wait = BASE_CAMPAIGN_DELAY.div_f64(cores.max(0.01).powi(2)).min(MAX_CAMPAIGN_DELAY);
    wait + Duration::from_micros(fastrand::u64(..5_000))
}

/// The additional delay when the last store call took `took`.
fn store_latency_delay(cores: f64, took: Duration) -> Duration {
    took.mul_f64(STORE_LATENCY_FACTOR / cores.max(0.01)).min(MAX_STORE_LATENCY_DELAY)
}

/// Waits for `delay`. Gives whether no leader was elected meanwhile, as far as this daemon can
/// tell. Otherwise each of a hundred weak daemons would load the store with a lease and a futile
/// campaign, right when the new leader reads the state that it takes over.
async fn stays_vacant<P>(shared: &Arc<Shared<P>>, at: Revision, delay: Duration) -> bool
where
    P: Platform,
{
    let due = clock::time() + delay;
    let seen = shared.platform.watch(keys::LEADER, at, delay).await;
    // Only the last change counts: earlier ones may be of former leaders.
    let elected = match seen.ok().and_then(|seen| seen.changes.into_iter().last()) {
        Some(Change::Written(item)) => {
            record_leader(shared, &item);
            true
        }
        Some(Change::Removed(_)) | None => false,
    };
    if !elected {
        Timer::after(due.since(clock::time())).await;
    }
    !elected
}

/// Waits until there is no leader, and records the leader until then. Gives the store's revision at
/// which the leader key was missing.
async fn wait_for_vacancy<P>(
    shared: &Arc<Shared<P>>,
    backoff: &mut Backoff,
) -> StoreResult<Revision>
where
    P: Platform,
{
    let current = shared.platform.read(keys::LEADER).await?;
    backoff.reset();
    let mut at = current.store_revision;
    let Some(item) = current.item else {
        shared.set_leader(None);
        return Ok(at);
    };
    record_leader(shared, &item);
    loop {
        if shared.is_stopping() {
            return Ok(at);
        }
        let seen = shared.platform.watch(keys::LEADER, at, WATCH_TIMEOUT).await?;
        at = seen.last_revision;
        match seen.changes.last() {
            Some(Change::Removed(_)) => {
                shared.set_leader(None);
                return Ok(at);
            }
            Some(Change::Written(item)) => record_leader(shared, item),
            None => {}
        }
    }
}

fn record_leader<P>(shared: &Arc<Shared<P>>, item: &Item)
where
    P: Platform,
{
    match codec::decode::<LeaderRecord>("leader", &item.value) {
        Ok(record) => shared.set_leader(Some((record, item.revision))),
        Err(err) => log::error!("{err}"),
    }
}

/// Reads the leader's record and its revision from the store.
///
/// # Errors
///
/// Any error of the store.
pub async fn read_leader<P>(
    shared: &Arc<Shared<P>>,
) -> StoreResult<Option<(LeaderRecord, Revision)>>
where
    P: Platform,
{
    let Some(item) = shared.platform.read(keys::LEADER).await?.item else { return Ok(None) };
    let record = codec::decode("leader", &item.value).map_err(|err| {
        log::error!("{err}");
        StoreError::Unreadable
    })?;
    Ok(Some((record, item.revision)))
}

/// Tries to create the leader key. Gives the term if this daemon was elected.
async fn campaign<P>(shared: &Arc<Shared<P>>) -> StoreResult<Option<Term>>
where
    P: Platform,
{
    let sent = clock::time();
    let (lease, ttl) = shared.platform.grant(LEADER_TTL).await?;
    let took = clock::time().since(sent);
    Timer::after(store_latency_delay(shared.cfg.weight, took)).await;
    let record = LeaderRecord {
        name: shared.cfg.name.clone(),
        address: shared.cfg.peer_address,
        nonce: fastrand::u64(..),
    };
    let tx = Transaction {
        expect: vec![(keys::LEADER.into(), 0)],
        write: vec![(keys::LEADER.into(), codec::encode(&record), Some(lease))],
        remove: Vec::new(),
    };
    let token = match shared.platform.commit(&tx).await {
        Ok(CommitOutcome::Done(revision)) => revision,
        Ok(CommitOutcome::Conflict(_) | CommitOutcome::NoLease) => {
            release_lease(shared, lease).await;
            return Ok(None);
        }
        Err(StoreError::Lost) => match read_back(shared, &record).await? {
            Some(revision) => revision,
            None => {
                release_lease(shared, lease).await;
                return Ok(None);
            }
        },
        Err(err) => return Err(err),
    };
    shared.authority.record_renewal(token, sent, ttl);
    shared.set_leader(Some((record, token)));
    Ok(Some(Term { token, lease }))
}

/// Reads the leader key back after the response to its write was lost. Gives the revision of the
/// write if it took effect.
async fn read_back<P>(
    shared: &Arc<Shared<P>>,
    record: &LeaderRecord,
) -> StoreResult<Option<Revision>>
where
    P: Platform,
{
    match read_leader(shared).await {
        Err(StoreError::Unreadable) => Ok(None),
        stored => Ok(stored?.filter(|(stored, _)| stored.nonce == record.nonce).map(|(_, at)| at)),
    }
}

async fn release_lease<P>(shared: &Arc<Shared<P>>, lease: LeaseId)
where
    P: Platform,
{
    if let Err(err) = shared.platform.revoke(lease).await {
        log::debug!("revoking a lease failed; it will expire: {err}");
    }
}

/// Why a term ends, and who revokes its lease.
struct TermEnd {
    why: &'static str,
    /// The daemon that is to revoke the lease, if the store rejects this one.
    revoker: Option<SocketAddr>,
}

impl TermEnd {
    fn because(why: &'static str) -> Self {
        Self { why, revoker: None }
    }
}

/// Leads until the lease is lost, a newer leader is found or the daemon stops.
async fn lead<P>(shared: &Arc<Shared<P>>, term: Term)
where
    P: Platform,
{
    log::info!(token = term.token, name = &*shared.cfg.name; "leader-begins");
    let (ended_tx, ended) = async_channel::bounded(1);
    let renewing = renew(shared, term);
    let running = async { TermEnd::because(run_term(shared, term, ended_tx).await) };
    let stepped_down = async {
        match ended.recv().await {
            Ok(why) => TermEnd::because(why),
            Err(_) => future::pending().await,
        }
    };
    let stopping = async {
        shared.wait_for_stop().await;
        TermEnd::because("the daemon stops")
    };
    let term_end =
        future::or(future::or(renewing, stepped_down), future::or(stopping, running)).await;
    shared.authority.end();
    shared.set_leader(None);
    let _ = shared.control.send(Message::EndTerm { token: term.token }).await;
    log::info!(token = term.token, why = term_end.why; "leader-ends");
    // Without this the others would learn of the vacancy only when the lease expires.
    match term_end.revoker {
        Some(peer) => {
            let response = shared.send_to_peer(peer, &PeerRequest::RevokeLease(term.lease)).await;
            let revoked = response == Some(PeerResponse::LeaseRevoked);
            log::info!(token = term.token, relieved = revoked; "leader-relieved");
        }
        None => release_lease(shared, term.lease).await,
    }
}

/// Finds a daemon that the store serves and that sees this term as the current one.
async fn find_revoker<P>(shared: &Arc<Shared<P>>, term: Term) -> Option<SocketAddr>
where
    P: Platform,
{
    let others = shared.known_peers.sample_except(Some(shared.cfg.peer_address));
    for other in others.into_iter().take(MAX_REVOKER_CANDIDATES) {
        let exchange = shared.send_to_peer(other, &PeerRequest::Leader);
        let response = with_timeout(MAX_PEER_LATENCY, exchange).await.flatten();
        if matches!(response, Some(PeerResponse::Leader(Some((_, token)))) if token == term.token) {
            return Some(other);
        }
    }
    None
}

/// Renews the lease until it has ended, or until another daemon can revoke it because the store
/// rejects this one.
async fn renew<P>(shared: &Arc<Shared<P>>, term: Term) -> TermEnd
where
    P: Platform,
{
    let mut failing: Option<Time> = None;
    loop {
        let pause = if failing.is_some() { RETRY_PAUSE } else { RENEW_INTERVAL };
        Timer::after(pause).await;
        let sent = clock::time();
        let renewal = || shared.platform.renew(term.lease);
        match with_resend(&shared.store_times, renewal).await {
            Ok(ttl) => {
                if let Some(since) = failing.take() {
                    let away = clock::time().since(since).as_millis() as u64;
                    log::info!(token = term.token, away_ms = away; "store-regained");
                }
                shared.authority.record_renewal(term.token, sent, ttl);
            }
            Err(StoreError::NotFound) => return TermEnd::because("the lease has ended"),
            Err(err) => {
                if failing.is_none() {
                    log::warn!(token = term.token, reason = err.to_string().as_str(); "store-lost");
                    failing = Some(sent);
                }
                let long =
                    failing.is_some_and(|since| clock::time().since(since) >= HAND_OVER_AFTER);
                if long && let Some(peer) = find_revoker(shared, term).await {
                    let why = "the store rejects this daemon and serves others";
                    return TermEnd { why, revoker: Some(peer) };
                }
            }
        }
    }
}

/// Rebuilds the ledger, hands it to the control thread and watches the store.
async fn run_term<P>(
    shared: &Arc<Shared<P>>,
    term: Term,
    ended: Sender<&'static str>,
) -> &'static str
where
    P: Platform,
{
    let began = clock::time();
    let mut progress = takeover::LoadProgress::default();
    let (mut recovered, executors) = loop {
        match load_state(shared, &mut progress).await {
            Ok(loaded) => break loaded,
            Err(err) => {
                log::warn!(reason = err.to_string().as_str(); "takeover-delayed");
                let unreadable = err == StoreError::Unreadable;
                Timer::after(if unreadable { UNREADABLE_PAUSE } else { RETRY_PAUSE }).await;
            }
        }
    };
    let appends = std::mem::take(&mut recovered.appends);
    shared.stored_snapshot.begin_term(term.token, recovered.snapshot_revision, appends).await;
    let intake_revision = recovered.intake_revision;
    let executors_revision = executors.1;
    let took = clock::time().since(began).as_millis() as u64;
    log::info!(
        token = term.token, first_append = recovered.next_append, took_ms = took, jobs = recovered.ledger.jobs.len(),
        ended = recovered.ledger.finished.len(), executors = executors.0.len();
        "leader-has-ledger"
    );
    let begin =
        Message::BeginTerm { term, recovered: Box::new(recovered), executors: executors.0, ended };
    if shared.control.send(begin).await.is_err() {
        return "the control thread has ended";
    }
    let intake = watching::intake(shared, term.token, intake_revision);
    let executors = watching::executors(shared, term.token, executors_revision);
    let waves = watching::waves(shared, term.token);
    future::or(future::or(intake, executors), waves).await;
    "the watches have ended"
}

type InitialState = (takeover::RecoveredState, watching::ExecutorList);

async fn load_state<P>(
    shared: &Arc<Shared<P>>,
    progress: &mut takeover::LoadProgress,
) -> StoreResult<InitialState>
where
    P: Platform,
{
    // The executors come first: they are listed again after an error, while progress on the ledger
    // is kept.
    let executors = watching::list_executors(&shared.platform).await?;
    let recovered = takeover::load(&shared.platform, progress).await?;
    Ok((recovered, executors))
}

#[cfg(test)]
mod tests;
