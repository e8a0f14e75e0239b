//! The claims of one shard: a chain of small values in the store, appended to by compare-and-swap.
//!
//! Any daemon may append to any chain. Safety depends on the store alone: a claim is granted only
//! when the compare-and-swap that adds it to the open segment has taken effect, made by a writer
//! that has read all earlier claims. If two daemons both consider themselves the shard's owner,
//! their compare-and-swaps conflict, and the loser reads what the other has written.
//!
//! A full segment is sealed by the write that fills it, and the next one is created only by a
//! writer that has read the sealed one, so the chain has a single open end. An open segment is
//! never deleted.
//!
//! A claim under which nothing was sent can be released by a further line. A released nonce is
//! never granted again: otherwise a delayed request with that nonce would restore a claim that is
//! never released.

mod reading;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use borageswitch_types::{
    Time,
    claim::{ClaimKey, ClaimNonce, ClaimOutcome},
    time::UnixMillis,
};

use crate::{
    reducer::{
        claims::{
            requests::{ChainRequest, ClaimResolution, Release},
            segment::{Claim, Kind, Segment},
        },
        store_calls::Backoff,
    },
    store::{StoreError, StoreRequest, StoreResponse, Version},
};

/// A segment is sealed at this length, 20 KB of text, so that an append stays a small write.
const SEGMENT_CLAIMS: usize = 256;
/// Minimum time between writes of one shard. Eight shards make at most 100 writes a second at any
/// rate of requests; a claim waits 40 ms longer on average while its shard is busy.
const WRITE_INTERVAL: Duration = Duration::from_millis(80);
/// Maximum number of claims in one write.
const MAX_BATCH_CLAIMS: usize = 64;
/// Maximum number of releases in one write, which leaves capacity for claims.
const MAX_BATCH_RELEASES: usize = MAX_BATCH_CLAIMS / 2;
/// Maximum number of waiting claims, and of waiting releases, of one shard. Further claims are
/// rejected at once.
const MAX_WAITING: usize = 4_096;
/// Upper bound on the difference between daemons' wall clocks.
const CLOCK_SKEW: Duration = Duration::from_secs(60);
/// How long a read that found no segment stays valid. It is far shorter than any window: otherwise
/// a writer that was paused for longer could create a segment that was created, sealed and deleted
/// in the meantime, and grant a claim that no other daemon would ever read.
const ABSENCE_TTL: Duration = Duration::from_secs(20);
const RETRY_BASE: Duration = Duration::from_millis(60);

/// A store call of a chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::reducer) enum Step {
    /// Reads the whole chain.
    Load,
    /// Reads the segment that is assumed to be the last.
    ReadHead,
    /// Appends claims to the last segment, or creates it.
    Append,
    /// Deletes a segment whose claims have all expired.
    DeleteSegment(u64),
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stage {
    #[default]
    Unloaded,
    HeadUnknown,
    Ready,
}

#[derive(Debug)]
struct Sealed {
    version: Version,
    newest_until: UnixMillis,
    claims: Vec<Claim>,
}

/// This daemon's view of one shard's chain.
#[derive(Debug)]
pub(super) struct Chain {
    prefix: Arc<str>,
    stage: Stage,
    is_calling: bool,
    claimed: BTreeMap<ClaimKey, Claim>,
    released: BTreeSet<ClaimNonce>,
    sealed: BTreeMap<u64, Sealed>,
    head: u64,
    head_version: Version,
    head_segment: Segment,
    absent_at: Time,
    /// Send time of the last call that showed the end of the chain.
    end_seen_at: Time,
    waiting: VecDeque<ChainRequest>,
    /// Releases not yet seen in the chain.
    releases: BTreeMap<ClaimNonce, Release>,
    batch: Vec<ChainRequest>,
    written: Segment,
    resolutions: Vec<ClaimResolution>,
    next_write: Time,
    backoff: Backoff,
    pub(super) last_used: Time,
    reads_back: bool,
}

impl Chain {
    /// Creates a chain that is not loaded yet and whose keys begin with `prefix`.
    pub(super) fn new(prefix: Arc<str>, reads_back: bool) -> Self {
        Self {
            prefix,
            stage: Stage::Unloaded,
            is_calling: false,
            claimed: BTreeMap::new(),
            released: BTreeSet::new(),
            sealed: BTreeMap::new(),
            head: 1,
            head_version: Version::ABSENT,
            head_segment: Segment::default(),
            absent_at: Time::ZERO,
            end_seen_at: Time::ZERO,
            waiting: VecDeque::new(),
            releases: BTreeMap::new(),
            batch: Vec::new(),
            written: Segment::default(),
            resolutions: Vec::new(),
            next_write: Time::ZERO,
            backoff: Backoff::default(),
            last_used: Time::ZERO,
            reads_back,
        }
    }

    pub(super) fn enqueue(&mut self, now: Time, req: ChainRequest) {
        self.last_used = now;
        if self.waiting.len() >= MAX_WAITING {
            self.resolve(req, ClaimOutcome::Unavailable);
            return;
        }
        self.waiting.push_back(req);
    }

    /// Queues the release of a granted claim under which nothing can be sent any more.
    pub(super) fn release(&mut self, now: Time, release: Release) {
        self.last_used = now;
        if self.releases.len() < MAX_WAITING {
            self.releases.insert(release.nonce, release);
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        !self.has_work() && self.batch.is_empty() && !self.is_calling
    }

    pub(super) fn claims(&self) -> usize {
        self.claimed.len()
    }

    pub(super) fn waiting(&self) -> usize {
        self.waiting.len() + self.batch.len()
    }

    pub(super) fn take_resolutions(&mut self) -> Vec<ClaimResolution> {
        std::mem::take(&mut self.resolutions)
    }

    /// The store call to make now, if any. [`Self::on_response`] must be called before the next
    /// one.
    pub(super) fn next_call(
        &mut self,
        now: Time,
        wall: UnixMillis,
        is_owner: bool,
    ) -> Option<(Step, StoreRequest)> {
        if self.is_calling || now < self.next_write {
            return None;
        }
        self.resolve_known(now);
        let call = match self.stage {
            _ if !self.has_work() => self.delete_call(wall, is_owner)?,
            Stage::Unloaded => (Step::Load, StoreRequest::List { prefix: self.prefix.clone() }),
            Stage::Ready if self.is_head_known(now) && self.can_append() => {
                self.append_call(now, wall)
            }
            Stage::HeadUnknown | Stage::Ready => self.read_call(now),
        };
        self.is_calling = true;
        Some(call)
    }

    fn read_call(&mut self, now: Time) -> (Step, StoreRequest) {
        if self.stage == Stage::Ready {
            // Limits the reads caused by callers that repeat claimed ids to the rate of writes.
            self.next_write = now + WRITE_INTERVAL;
        }
        (Step::ReadHead, StoreRequest::Get { key: self.key(self.head) })
    }

    fn has_work(&self) -> bool {
        !self.waiting.is_empty() || !self.releases.is_empty()
    }

    /// Whether a write would add anything. Requests whose key is claimed wait for a read of the
    /// chain.
    fn can_append(&self) -> bool {
        !self.releases.is_empty()
            || self.waiting.iter().any(|req| !self.claimed.contains_key(&req.key))
    }

    fn key(&self, number: u64) -> Arc<str> {
        format!("{}{number:012}", self.prefix).into()
    }

    fn is_head_known(&self, now: Time) -> bool {
        self.head_version != Version::ABSENT || now.since(self.absent_at) < ABSENCE_TTL
    }

    /// Resolves the requests that are late, and those whose key is claimed. A claim that was known
    /// before the request arrived may have been released through another daemon, so the end of the
    /// chain must have been read since; and a request waits for a release of its key that is in
    /// progress. Removes the releases that are late or already in the chain.
    fn resolve_known(&mut self, now: Time) {
        let released = &self.released;
        self.releases.retain(|nonce, release| release.deadline > now && !released.contains(nonce));
        for req in std::mem::take(&mut self.waiting) {
            let known = self.claimed.get(&req.key).map(|claim| claim.nonce);
            match known {
                // Granted even if late: the requester releases a grant that arrives too late.
                Some(nonce) if nonce == req.nonce => self.resolve(req, ClaimOutcome::Granted),
                _ if req.deadline <= now || self.released.contains(&req.nonce) => {
                    self.resolve(req, ClaimOutcome::Unavailable);
                }
                Some(nonce)
                    if self.end_seen_at < req.received_at || self.releases.contains_key(&nonce) =>
                {
                    self.waiting.push_back(req);
                }
                Some(_) => self.resolve(req, ClaimOutcome::AlreadyClaimed),
                None => self.waiting.push_back(req),
            }
        }
    }

    fn resolve(&mut self, req: ChainRequest, outcome: ClaimOutcome) {
        let ChainRequest { nonce, requester, .. } = req;
        self.resolutions.push(ClaimResolution { nonce, requester, outcome });
    }

    fn append_call(&mut self, now: Time, wall: UnixMillis) -> (Step, StoreRequest) {
        self.next_write = now + WRITE_INTERVAL;
        let mut next = self.head_segment.clone();
        for release in self.releases.values().take(MAX_BATCH_RELEASES) {
            let Release { key, nonce, window, .. } = *release;
            next.claims.push(entry(key, nonce, wall, window, Kind::Released));
        }
        let capacity = MAX_BATCH_CLAIMS - self.releases.len().min(MAX_BATCH_RELEASES);
        for req in std::mem::take(&mut self.waiting) {
            let taken = self.batch.iter().any(|other| other.key == req.key);
            // A request for a claimed key waits until the release is in the chain.
            let claimed = self.claimed.contains_key(&req.key);
            if taken || claimed || self.batch.len() >= capacity {
                self.waiting.push_back(req);
                continue;
            }
            next.claims.push(entry(req.key, req.nonce, wall, req.window, Kind::Claimed));
            self.batch.push(req);
        }
        next.sealed = next.claims.len() >= SEGMENT_CLAIMS;
        let request = StoreRequest::CompareAndSwap {
            key: self.key(self.head),
            expected: self.head_version,
            value: next.to_text().into_bytes().into(),
            lease: None,
        };
        self.written = next;
        (Step::Append, request)
    }

    fn delete_call(&mut self, wall: UnixMillis, is_owner: bool) -> Option<(Step, StoreRequest)> {
        let (number, oldest) = self.sealed.first_key_value().filter(|_| is_owner)?;
        let skew = CLOCK_SKEW.as_millis() as u64;
        let is_past = oldest.newest_until.0 + skew < wall.0;
        let request = StoreRequest::Delete { key: self.key(*number), expected: oldest.version };
        is_past.then_some((Step::DeleteSegment(*number), request))
    }

    /// Handles the response to the open call.
    pub(super) fn on_response(
        &mut self,
        step: Step,
        sent_at: Time,
        now: Time,
        outcome: Result<StoreResponse, StoreError>,
    ) {
        self.is_calling = false;
        let failed = matches!(outcome, Err(_) | Ok(StoreResponse::Conflict));
        match (step, outcome) {
            (Step::Load, Ok(StoreResponse::Values(values))) => {
                let is_whole = self.load(sent_at, &values);
                self.next_write = if is_whole { now } else { now + RETRY_BASE };
            }
            (Step::ReadHead, Ok(StoreResponse::Value(kv))) => self.read_head(sent_at, kv),
            (Step::Append, Ok(StoreResponse::Written { version })) => {
                self.appended(sent_at, version);
            }
            (Step::Append, Err(StoreError::AnswerLost)) if !self.reads_back => {
                // The guard is off: treats a lost response as success.
                for req in std::mem::take(&mut self.batch) {
                    self.resolve(req, ClaimOutcome::Granted);
                }
                self.stage = Stage::HeadUnknown;
            }
            (Step::Append, outcome) => self.append_failed(&outcome),
            (Step::DeleteSegment(number), Ok(StoreResponse::Done | StoreResponse::Conflict)) => {
                self.forget_segment(number);
            }
            _ => {}
        }
        match failed {
            true => {
                let mut rng = fastrand::Rng::with_seed(now.as_micros() ^ self.head);
                self.next_write = now + self.backoff.next_delay(RETRY_BASE, &mut rng);
            }
            false => self.backoff.reset(),
        }
    }

    fn appended(&mut self, sent_at: Time, version: Version) {
        let written = std::mem::take(&mut self.written);
        self.end_seen_at = sent_at;
        let sealed = written.sealed;
        self.take_segment(self.head, version, written);
        if sealed {
            // No daemon could create the next segment before this write sealed the last one.
            self.absent_at = sent_at;
        }
        for req in std::mem::take(&mut self.batch) {
            // Granted even if late: the requester releases a grant that arrives too late.
            self.resolve(req, ClaimOutcome::Granted);
        }
    }

    /// Requeues the batch of a write that may or may not have taken effect. The segment is read
    /// first unless the write certainly had no effect; the nonces show whose claims it contains.
    fn append_failed(&mut self, outcome: &Result<StoreResponse, StoreError>) {
        for req in std::mem::take(&mut self.batch).into_iter().rev() {
            self.waiting.push_front(req);
        }
        let no_effect = matches!(outcome, Err(StoreError::NotSent | StoreError::Refused));
        if !no_effect {
            self.stage = Stage::HeadUnknown;
        }
    }
}

fn entry(
    key: ClaimKey,
    nonce: ClaimNonce,
    claimed_at: UnixMillis,
    window: Duration,
    kind: Kind,
) -> Claim {
    let until = UnixMillis(claimed_at.0 + window.as_millis() as u64);
    Claim { key, nonce, claimed_at, until, kind }
}
