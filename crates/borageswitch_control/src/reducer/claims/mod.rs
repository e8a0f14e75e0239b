//! Claims: a non-idempotent request is sent only after its id has been claimed in the store.
//!
//! Keys are hashed into shards. The claims of one shard are collected by its owner, a daemon chosen
//! by rendezvous hashing over the live members, and written in batches, so the rate of writes
//! depends on the number of shards and not on the rate of requests. Ownership is only a hint and
//! not needed for safety: see [`chain`] for what guarantees it, and [`segment`] for the stored
//! format.
//!
//! A claim under which nothing was sent is released; otherwise the caller, notified that its
//! request did not run, could not send it again under its id. Only the daemon that was granted the
//! claim releases it, once, and only when it can no longer send: when its traffic threads report
//! so, or when the grant arrived after they were notified that there is none.

mod chain;
mod requests;
mod segment;
#[cfg(test)]
mod tests;

use std::{
    collections::BTreeMap,
    hash::{Hash, Hasher},
    sync::Arc,
    time::Duration,
};

use borageswitch_types::{
    Time,
    claim::{ClaimKey, ClaimNonce, ClaimOutcome, ClaimRequest, ClaimTicket},
    names::DaemonName,
};
use borageswitch_wire::{
    PeerMessage,
    peer::{ClaimAsk, ClaimRelease},
};
use rustc_hash::FxHasher;
use sha2::Digest;

use self::{
    chain::Chain,
    requests::{ChainRequest, ClaimResolution, Release, Requester},
};
use crate::{
    effect::Effect,
    reducer::{State, store_calls::Purpose},
    store::{StoreError, StoreResponse},
};

pub(super) use self::chain::Step;

/// Number of shards, with one chain each. More would spread the load more evenly and cost more
/// writes.
const SHARDS: u8 = 8;
/// An entry without a response from the shard's owner after this time writes the claim itself.
const OWNER_TIMEOUT: Duration = Duration::from_millis(400);
/// Daemons other than the owner drop a chain that they have not used for this time.
const CHAIN_IDLE: Duration = Duration::from_secs(60);
/// Maximum number of claims that one entry waits for, and of grants that it remembers for release:
/// 22 a second for 600 s are 13,200. A grant that is no longer remembered cannot be released.
const MAX_PENDING: usize = 16_384;
/// How long after its deadline a claim that is granted late is still released.
const LATE_GRANT_WINDOW: Duration = Duration::from_secs(10);
/// How long the daemon that writes a shard's chain retries a release.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(60);

/// A claim requested by a traffic thread of this daemon.
#[derive(Debug)]
struct Pending {
    /// The ticket to resolve; `None` once it was reported as unavailable.
    ticket: Option<ClaimTicket>,
    key: ClaimKey,
    window: Duration,
    deadline: Time,
    /// When this daemon writes the claim itself if the shard's owner has not responded.
    fallback_at: Option<Time>,
}

/// A claim that was granted to a traffic thread of this daemon.
#[derive(Debug)]
struct Granted {
    key: ClaimKey,
    nonce: ClaimNonce,
    window: Duration,
    until: Time,
}

/// The pending and granted claims, and the chains in use.
#[derive(Debug, Default)]
pub(super) struct Claims {
    pending: BTreeMap<ClaimNonce, Pending>,
    granted: BTreeMap<ClaimTicket, Granted>,
    chains: BTreeMap<u8, Chain>,
}

impl Claims {
    /// For each shard in use, the number of known claims and of waiting requests.
    pub(super) fn summary(&self) -> BTreeMap<u8, (usize, usize)> {
        let chains = self.chains.iter();
        chains.map(|(shard, chain)| (*shard, (chain.claims(), chain.waiting()))).collect()
    }
}

fn key_of(claim: &ClaimRequest) -> ClaimKey {
    let mut hasher = sha2::Sha256::new();
    hasher.update(claim.service.as_str().as_bytes());
    hasher.update([0]);
    hasher.update(claim.request_id.as_bytes());
    let digest = hasher.finalize();
    let (first, _) = digest.as_slice().split_at(16);
    ClaimKey(first.iter().fold(0, |key, byte| key << 8 | u128::from(*byte)))
}

fn shard_of(key: ClaimKey) -> u8 {
    (key.0 % u128::from(SHARDS)) as u8
}

fn score(shard: u8, daemon: &DaemonName) -> u64 {
    let mut hasher = FxHasher::default();
    daemon.hash(&mut hasher);
    shard.hash(&mut hasher);
    hasher.finish()
}

impl State {
    pub(super) fn claim(&mut self, claim: &ClaimRequest) {
        let late = claim.deadline <= self.now;
        if late || self.claims.pending.len() >= MAX_PENDING || self.exited {
            self.resolve_claim(claim.ticket, ClaimOutcome::Unavailable);
            return;
        }
        let key = key_of(claim);
        let nonce = ClaimNonce(self.rng.u64(..));
        let ticket = claim.ticket;
        let window = self.claim_window(claim);
        let deadline = claim.deadline;
        let owner = self.shard_owner(shard_of(key));
        let is_owner = owner == *self.me();
        let fallback_at = (!is_owner).then(|| self.now + OWNER_TIMEOUT);
        let pending = Pending { ticket: Some(ticket), key, window, deadline, fallback_at };
        self.claims.pending.insert(nonce, pending);
        if is_owner {
            self.claim_locally(nonce);
            return;
        }
        let wait = deadline.since(self.now);
        let req = ClaimAsk { key, nonce, window, wait };
        self.send(&owner, PeerMessage::ClaimAsks(vec![req]));
    }

    fn claim_window(&self, claim: &ClaimRequest) -> Duration {
        let service = self.sync.fleet().and_then(|fleet| fleet.services.get(&claim.service));
        service.map_or(Duration::from_secs(600), |service| {
            // A claim must last at least as long as the request, whatever the operators configured.
            service.limits.claim_window.max(service.limits.max_deadline)
        })
    }

    /// The owner of a shard, which collects its claims, as known to this daemon.
    fn shard_owner(&self, shard: u8) -> DaemonName {
        let owner = self.entries.iter().max_by_key(|daemon| (score(shard, daemon), *daemon));
        owner.unwrap_or(self.me()).clone()
    }

    fn claim_locally(&mut self, nonce: ClaimNonce) {
        let Some(pending) = self.claims.pending.get_mut(&nonce) else { return };
        pending.fallback_at = None;
        let Pending { key, window, deadline, .. } = *pending;
        let received_at = self.now;
        self.enqueue_claim(ChainRequest {
            key,
            nonce,
            window,
            received_at,
            deadline,
            requester: Requester::Local,
        });
    }

    fn enqueue_claim(&mut self, req: ChainRequest) {
        let shard = shard_of(req.key);
        let now = self.now;
        self.chain(shard).enqueue(now, req);
        self.drive_chain(shard);
    }

    fn chain(&mut self, shard: u8) -> &mut Chain {
        let prefix: Arc<str> = format!("borageswitch/{}/claims/{shard}/", self.cfg.region).into();
        let reads_back = self.cfg.guards.claim_read_back;
        self.claims.chains.entry(shard).or_insert_with(|| Chain::new(prefix, reads_back))
    }

    fn drive_chain(&mut self, shard: u8) {
        let (now, wall) = (self.now, self.wall);
        let is_owner = self.shard_owner(shard) == *self.me();
        let chain = self.chain(shard);
        let call = chain.next_call(now, wall, is_owner);
        let resolutions = chain.take_resolutions();
        if let Some((step, request)) = call {
            let timeout = self.cfg.store_timeout;
            self.call_store(Purpose::Claims(shard, step), request, timeout);
        }
        self.deliver(resolutions);
    }

    pub(super) fn claims_store_response(
        &mut self,
        shard: u8,
        step: Step,
        sent_at: Time,
        outcome: Result<StoreResponse, StoreError>,
    ) {
        let now = self.now;
        let chain = self.chain(shard);
        chain.on_response(step, sent_at, now, outcome);
        let resolutions = chain.take_resolutions();
        self.deliver(resolutions);
        self.drive_chain(shard);
    }

    fn deliver(&mut self, resolutions: Vec<ClaimResolution>) {
        let mut responses: BTreeMap<DaemonName, Vec<(ClaimNonce, ClaimOutcome)>> = BTreeMap::new();
        for ClaimResolution { nonce, requester, outcome } in resolutions {
            match requester {
                Requester::Local => self.claim_resolved(nonce, outcome),
                Requester::Peer(daemon) => {
                    responses.entry(daemon).or_default().push((nonce, outcome));
                }
            }
        }
        for (daemon, responses) in responses {
            self.send(&daemon, PeerMessage::ClaimAnswers(responses));
        }
    }

    pub(super) fn claim_requests_received(&mut self, from: &DaemonName, requests: Vec<ClaimAsk>) {
        for ClaimAsk { key, nonce, window, wait } in requests {
            let deadline = self.now + wait;
            let requester = Requester::Peer(from.clone());
            let received_at = self.now;
            self.enqueue_claim(ChainRequest {
                key,
                nonce,
                window,
                received_at,
                deadline,
                requester,
            });
        }
    }

    /// Handles the outcome of a claim. Each ticket is resolved once: a second outcome finds it
    /// taken.
    pub(super) fn claim_resolved(&mut self, nonce: ClaimNonce, outcome: ClaimOutcome) {
        let now = self.now;
        let Some(pending) = self.claims.pending.get_mut(&nonce) else { return };
        let ticket = pending.ticket.take();
        let Pending { key, window, deadline, .. } = *pending;
        let in_time = now < deadline;
        pending.fallback_at = None;
        if outcome != ClaimOutcome::Unavailable {
            self.claims.pending.remove(&nonce);
        }
        if let Some(ticket) = ticket {
            self.resolve_claim(ticket, if in_time { outcome } else { ClaimOutcome::Unavailable });
        }
        match (outcome, ticket.filter(|_| in_time)) {
            (ClaimOutcome::Granted, Some(ticket)) => {
                let until = now + window;
                self.claims.granted.insert(ticket, Granted { key, nonce, window, until });
            }
            // The grant was not reported to any traffic thread, so nothing can be sent under it.
            (ClaimOutcome::Granted, None) => self.release_to_owner(key, nonce, window),
            _ => {}
        }
    }

    /// Releases a granted claim under which a traffic thread has sent nothing and will send
    /// nothing.
    pub(super) fn release_claim(&mut self, ticket: ClaimTicket) {
        // A ticket that was never granted or is already released is not in the map.
        let Some(granted) = self.claims.granted.remove(&ticket) else { return };
        self.release_to_owner(granted.key, granted.nonce, granted.window);
    }

    fn release_to_owner(&mut self, key: ClaimKey, nonce: ClaimNonce, window: Duration) {
        let owner = self.shard_owner(shard_of(key));
        let release = ClaimRelease { key, nonce, window };
        match owner == *self.me() {
            true => self.claim_releases_received(vec![release]),
            false => self.send(&owner, PeerMessage::ClaimReleases(vec![release])),
        }
    }

    pub(super) fn claim_releases_received(&mut self, releases: Vec<ClaimRelease>) {
        let now = self.now;
        let deadline = now + RELEASE_TIMEOUT;
        for ClaimRelease { key, nonce, window } in releases {
            let shard = shard_of(key);
            self.chain(shard).release(now, Release { key, nonce, window, deadline });
            self.drive_chain(shard);
        }
    }

    /// Drops the oldest grants, whose claims can no longer be released.
    fn expire_grants(&mut self) {
        let now = self.now;
        let granted = &mut self.claims.granted;
        while let Some(oldest) = granted.first_entry()
            && oldest.get().until <= now
        {
            oldest.remove();
        }
        while granted.len() > MAX_PENDING {
            granted.pop_first();
        }
    }

    fn resolve_claim(&mut self, ticket: ClaimTicket, outcome: ClaimOutcome) {
        self.effects.push(Effect::ResolveClaim { ticket, outcome });
    }

    pub(super) fn claims_tick(&mut self) {
        let now = self.now;
        self.expire_grants();
        self.claims
            .pending
            .retain(|_, p| p.ticket.is_some() || now < p.deadline + LATE_GRANT_WINDOW);
        let due = self.claims.pending.iter().filter(|(_, p)| p.ticket.is_some());
        let due = due.filter(|(_, p)| p.deadline <= now || p.fallback_at.is_some_and(|t| t <= now));
        let due: Vec<(ClaimNonce, bool)> = due.map(|(n, p)| (*n, p.deadline <= now)).collect();
        for (nonce, late) in due {
            match late {
                true => self.claim_resolved(nonce, ClaimOutcome::Unavailable),
                false => self.claim_locally(nonce),
            }
        }
        for shard in 0..SHARDS {
            let Some(chain) = self.claims.chains.get(&shard) else { continue };
            let unused = chain.is_idle() && chain.last_used + CHAIN_IDLE <= now;
            if unused && self.shard_owner(shard) != *self.me() {
                self.claims.chains.remove(&shard);
                continue;
            }
            self.drive_chain(shard);
        }
    }
}
