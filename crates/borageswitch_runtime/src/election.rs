//! Gains and loses the leadership.
//!
//! Whoever creates the leader's key under a lease leads. The revision of that write is unique and
//! rises with each leader: it is the fencing token of all orders. A write whose answer was lost is
//! settled by reading the key back and comparing the nonce.

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
    orders::within,
    peers::{Answer, Question},
    ports::{
        Change, Committed, Item, LeaseId, Platform, Revision, StoreError, StoreResult, Transaction,
    },
    retry::Pauses,
    takeover, watching,
};

/// The lease of a leader. A leader that dies silently is replaced after this time at the latest;
/// shorter, and an ordinary pause of a loaded small host or a slow store would end a sound one.
const LEADER_TTL: Duration = Duration::from_millis(1_600);
/// How often it is renewed: two renewals may be lost before it ends. Renewals cost little.
const RENEW_EVERY: Duration = Duration::from_millis(400);
/// After the store has turned a leader away for so long, it has another daemon end its lease, if the
/// store serves that one: two renewals have failed, and nothing that was decided can be stored.
const HAND_OVER_AFTER: Duration = Duration::from_millis(400);
/// Another daemon that takes longer to answer shows that this one's own link or processor is late:
/// then so are its renewals, and the next leader would do no better.
const PROMPT_PEER: Duration = Duration::from_millis(150);
/// How many daemons are asked between two renewals, which wait for their answers.
const ASKED_FOR_RELIEF: usize = 2;
/// How long a watch for the leader's end waits on the store.
const WATCH_WAIT: Duration = Duration::from_millis(4_000);
/// The pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// How long a daemon on a host of one core waits before it tries to lead. A weaker one waits longer
/// with the square of its weakness: 20 ms with half a core, 350 ms with an eighth. A leader of a
/// thousand executors needs a good part of a core in a rush; with an eighth of one it is late with
/// everything, until nothing starts any more. And daemons learn of a
/// vacancy up to a retry's pause apart when their watches are cut, so a head start has to be longer.
const HEAD_START: Duration = Duration::from_millis(5);
/// The longest that a daemon waits, however weak: where no stronger one is left, each moment of it
/// is one in which nothing starts.
const LONGEST_HEAD_START: Duration = Duration::from_millis(400);

/// How much of the time that the store has just taken for a call a daemon on a host of one core
/// waits besides; a weaker one longer in proportion. With a store that takes a quarter of a second,
/// more or less, head starts of some 60 ms decide nothing, and a weak daemon would come to lead.
const PER_STORE_CALL: f64 = 0.2;
/// The longest that a daemon waits for that, so that its lease outlives the wait.
const LONGEST_FOR_STORE: Duration = Duration::from_millis(450);

/// A time of leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Term {
    /// The fencing token: the revision of the write that began it.
    pub token: Revision,
    /// The lease under which the key is.
    pub lease: LeaseId,
}

/// Tries to lead for as long as the daemon runs.
pub async fn run<P>(shared: Arc<Shared<P>>)
where
    P: Platform,
{
    let mut pauses = Pauses::new(RETRY_PAUSE);
    while !shared.is_stopping() {
        let vacant_at = match wait_for_vacancy(&shared, &mut pauses).await {
            Ok(at) => at,
            Err(err) => {
                log::debug!("who leads cannot be read: {err}");
                Timer::after(pauses.failed()).await;
                continue;
            }
        };
        if shared.is_stopping() || shared.config().is_none() {
            Timer::after(RETRY_PAUSE).await;
            continue;
        }
        if !stays_vacant(&shared, vacant_at, head_start(shared.cfg.weight)).await {
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

/// How long a daemon waits before it tries to lead: the stronger its host, the shorter, so that the
/// work of the leader falls on a host that can bear it.
fn head_start(cores: f64) -> Duration {
    let wait = HEAD_START.div_f64(cores.max(0.01).powi(2)).min(LONGEST_HEAD_START);
    wait + Duration::from_micros(fastrand::u64(..5_000))
}

/// How much longer a daemon waits when the store has just taken so long for a call.
fn wait_for_store(cores: f64, took: Duration) -> Duration {
    took.mul_f64(PER_STORE_CALL / cores.max(0.01)).min(LONGEST_FOR_STORE)
}

/// Waits for this daemon's turn to try. Gives whether nobody has begun to lead meanwhile, as far as
/// this daemon hears: of a hundred weak daemons each would else burden the store with a lease and
/// an attempt that cannot succeed, right when the new leader reads all it has to take over.
async fn stays_vacant<P>(shared: &Arc<Shared<P>>, at: Revision, turn: Duration) -> bool
where
    P: Platform,
{
    let due = clock::time() + turn;
    let seen = shared.platform.watch(keys::LEADER, at, turn).await;
    // Only the last change tells how it is now: the first ones may be of leaders that have gone.
    let begun = match seen.ok().and_then(|seen| seen.changes.into_iter().last()) {
        Some(Change::Written(item)) => {
            note_leader(shared, &item);
            true
        }
        Some(Change::Removed(_)) | None => false,
    };
    if !begun {
        Timer::after(due.since(clock::time())).await;
    }
    !begun
}

/// Returns once nobody leads, and keeps in mind who does until then. Gives as of when that was so.
async fn wait_for_vacancy<P>(shared: &Arc<Shared<P>>, pauses: &mut Pauses) -> StoreResult<Revision>
where
    P: Platform,
{
    let reading = shared.platform.read(keys::LEADER).await?;
    pauses.answered();
    let mut at = reading.at;
    let Some(item) = reading.item else {
        shared.set_leader(None);
        return Ok(at);
    };
    note_leader(shared, &item);
    loop {
        if shared.is_stopping() {
            return Ok(at);
        }
        let seen = shared.platform.watch(keys::LEADER, at, WATCH_WAIT).await?;
        at = seen.at;
        match seen.changes.last() {
            Some(Change::Removed(_)) => {
                shared.set_leader(None);
                return Ok(at);
            }
            Some(Change::Written(item)) => note_leader(shared, item),
            None => {}
        }
    }
}

fn note_leader<P>(shared: &Arc<Shared<P>>, item: &Item)
where
    P: Platform,
{
    match codec::decode::<LeaderRecord>("leader", &item.value) {
        Ok(record) => shared.set_leader(Some((record, item.revision))),
        Err(err) => log::error!("{err}"),
    }
}

/// Who leads by the store, and since which revision.
///
/// # Errors
///
/// Those of the store.
pub async fn leader_by_store<P>(
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

/// Tries to create the leader's key.
async fn campaign<P>(shared: &Arc<Shared<P>>) -> StoreResult<Option<Term>>
where
    P: Platform,
{
    let sent = clock::time();
    let (lease, ttl) = shared.platform.grant(LEADER_TTL).await?;
    let took = clock::time().since(sent);
    Timer::after(wait_for_store(shared.cfg.weight, took)).await;
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
        Ok(Committed::Done(revision)) => revision,
        Ok(Committed::Conflict(_) | Committed::NoLease) => {
            give_back(shared, lease).await;
            return Ok(None);
        }
        Err(StoreError::Lost) => match read_back(shared, &record).await? {
            Some(revision) => revision,
            None => {
                give_back(shared, lease).await;
                return Ok(None);
            }
        },
        Err(err) => return Err(err),
    };
    shared.authority.renewed(token, sent, ttl);
    shared.set_leader(Some((record, token)));
    Ok(Some(Term { token, lease }))
}

async fn read_back<P>(
    shared: &Arc<Shared<P>>,
    record: &LeaderRecord,
) -> StoreResult<Option<Revision>>
where
    P: Platform,
{
    match leader_by_store(shared).await {
        Err(StoreError::Unreadable) => Ok(None),
        there => Ok(there?.filter(|(there, _)| there.nonce == record.nonce).map(|(_, at)| at)),
    }
}

async fn give_back<P>(shared: &Arc<Shared<P>>, lease: LeaseId)
where
    P: Platform,
{
    if let Err(err) = shared.platform.revoke(lease).await {
        log::debug!("a lease that is not needed ends by itself: {err}");
    }
}

/// How a term ends.
struct Ending {
    why: &'static str,
    /// A daemon that is to end the lease, as the store turns this one away.
    relief: Option<SocketAddr>,
}

impl Ending {
    fn because(why: &'static str) -> Self {
        Self { why, relief: None }
    }
}

/// Leads until the lease is lost, a newer leader is met or the daemon stops.
async fn lead<P>(shared: &Arc<Shared<P>>, term: Term)
where
    P: Platform,
{
    log::info!(token = term.token, name = &*shared.cfg.name; "leader-begins");
    let (ended_tx, ended) = async_channel::bounded(1);
    let renewing = renew(shared, term);
    let working = async { Ending::because(work(shared, term, ended_tx).await) };
    let stepped_down = async {
        match ended.recv().await {
            Ok(why) => Ending::because(why),
            Err(_) => future::pending().await,
        }
    };
    let stopping = async {
        shared.stopped().await;
        Ending::because("the daemon stops")
    };
    let ending =
        future::or(future::or(renewing, stepped_down), future::or(stopping, working)).await;
    shared.authority.end();
    shared.set_leader(None);
    let _ = shared.control.send(Message::EndTerm { token: term.token }).await;
    log::info!(token = term.token, why = ending.why; "leader-ends");
    // Everyone else hears at once that nobody leads, instead of after the rest of the lease.
    match ending.relief {
        Some(helper) => {
            let answer = shared.ask_at(helper, &Question::Relieve(term.lease)).await;
            let relieved = answer == Some(Answer::Relieved);
            log::info!(token = term.token, relieved = relieved; "leader-relieved");
        }
        None => give_back(shared, term.lease).await,
    }
}

/// A daemon that the store serves, to whom it shows this term as the one in force.
async fn find_relief<P>(shared: &Arc<Shared<P>>, term: Term) -> Option<SocketAddr>
where
    P: Platform,
{
    let others = shared.acquaintances.some_but(Some(shared.cfg.peer_address));
    for other in others.into_iter().take(ASKED_FOR_RELIEF) {
        let asking = shared.ask_at(other, &Question::Leader);
        let answer = within(PROMPT_PEER, asking).await.flatten();
        if matches!(answer, Some(Answer::Leader(Some((_, token)))) if token == term.token) {
            return Some(other);
        }
    }
    None
}

/// Renews the lease until it has ended, or another daemon is found to end it as the store turns this
/// one away.
async fn renew<P>(shared: &Arc<Shared<P>>, term: Term) -> Ending
where
    P: Platform,
{
    let mut failing: Option<Time> = None;
    loop {
        let pause = if failing.is_some() { RETRY_PAUSE } else { RENEW_EVERY };
        Timer::after(pause).await;
        let sent = clock::time();
        match shared.platform.renew(term.lease).await {
            Ok(ttl) => {
                if let Some(since) = failing.take() {
                    let away = clock::time().since(since).as_millis() as u64;
                    log::info!(token = term.token, away_ms = away; "store-regained");
                }
                shared.authority.renewed(term.token, sent, ttl);
            }
            Err(StoreError::NotFound) => return Ending::because("the lease has ended"),
            Err(err) => {
                if failing.is_none() {
                    log::warn!(token = term.token, reason = err.to_string().as_str(); "store-lost");
                    failing = Some(sent);
                }
                let long =
                    failing.is_some_and(|since| clock::time().since(since) >= HAND_OVER_AFTER);
                if long && let Some(helper) = find_relief(shared, term).await {
                    let why = "the store turns this daemon away and serves others";
                    return Ending { why, relief: Some(helper) };
                }
            }
        }
    }
}

/// Rebuilds the ledger, hands it to the control thread and follows what others write.
async fn work<P>(shared: &Arc<Shared<P>>, term: Term, ended: Sender<&'static str>) -> &'static str
where
    P: Platform,
{
    let began = clock::time();
    let mut reading = takeover::Reading::default();
    let (inheritance, executors) = loop {
        match begin(shared, &mut reading).await {
            Ok(begun) => break begun,
            Err(err) => {
                log::warn!(reason = err.to_string().as_str(); "takeover-delayed");
                Timer::after(RETRY_PAUSE).await;
            }
        }
    };
    let intake_at = inheritance.intake_at;
    let executors_at = executors.1;
    let took = clock::time().since(began).as_millis() as u64;
    log::info!(
        token = term.token, took_ms = took, jobs = inheritance.ledger.jobs.len(),
        ended = inheritance.ledger.finished.len(), executors = executors.0.len();
        "leader-has-ledger"
    );
    let begin = Message::BeginTerm {
        term,
        inheritance: Box::new(inheritance),
        executors: executors.0,
        ended,
    };
    if shared.control.send(begin).await.is_err() {
        return "the control thread has ended";
    }
    let intake = watching::intake(shared, term.token, intake_at);
    let executors = watching::executors(shared, term.token, executors_at);
    let waves = watching::waves(shared, term.token);
    future::or(future::or(intake, executors), waves).await;
    "nothing is watched any more"
}

type Begun = (takeover::Inheritance, watching::ExecutorList);

async fn begin<P>(shared: &Arc<Shared<P>>, reading: &mut takeover::Reading) -> StoreResult<Begun>
where
    P: Platform,
{
    // The executors first: a list of them that fails does not cost what was read of the ledger.
    let executors = watching::list_executors(&shared.platform).await?;
    let inheritance = takeover::load(&shared.platform, reading).await?;
    Ok((inheritance, executors))
}

#[cfg(test)]
mod tests;
