//! Claims: a non-idempotent request is sent only after its id was claimed in the store, once.
//!
//! Keys are hashed into shards. Claims of one shard are gathered by one daemon, which rendezvous
//! hashing over the live members names, and written together; so the rate of writes follows the
//! number of shards and not the rate of requests. Who gathers is a hint alone: see [`chain`] for
//! what safety rests on, and [`segment`] for what the store keeps.
//!
//! A claim under which nothing was sent is given back, or the caller, told that its request did not
//! run, could not send it again under its id. Only the daemon that was granted the claim gives it
//! back, once, and only when it can no longer send: when its traffic threads say so, or when the
//! grant came too late for them and they were told that there is none.

mod ask;
mod chain;
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
    ask::{Ask, Asker, Release, Verdict},
    chain::Chain,
};
use crate::{
    effect::Effect,
    reducer::{State, store_calls::Purpose},
    store::{StoreAnswer, StoreError},
};

pub(super) use self::chain::Step;

/// How many chains there are. More would spread the load finer and cost more writes.
const SHARDS: u8 = 8;
/// An entry that has no answer from the shard's owner in this time writes the claim itself.
const OWNER_PATIENCE: Duration = Duration::from_millis(400);
/// A chain that was not used for this time is forgotten by everyone but its owner.
const CHAIN_IDLE: Duration = Duration::from_secs(60);
/// The most claims that one entry waits for, and the most grants that it remembers in order to
/// give them back: 22 a second for 600 s are 13,200. What is forgotten can not be given back.
const MOST_PENDING: usize = 16_384;
/// For how long after its deadline a claim that is granted after all is given back.
const LATE_GRANTS: Duration = Duration::from_secs(10);
/// For how long the shard's writer tries to write a release.
const RELEASE_PATIENCE: Duration = Duration::from_secs(60);

/// A claim that a traffic thread of this daemon waits for.
#[derive(Debug)]
struct Pending {
    /// Whom to answer; nothing once it was told that there is no claim.
    ticket: Option<ClaimTicket>,
    key: ClaimKey,
    window: Duration,
    deadline: Time,
    /// When the claim is written here, should the shard's owner not answer.
    take_over_at: Option<Time>,
}

/// A claim that was granted to a traffic thread of this daemon.
#[derive(Debug)]
struct Granted {
    key: ClaimKey,
    nonce: ClaimNonce,
    window: Duration,
    until: Time,
}

/// The claims in hand.
#[derive(Debug, Default)]
pub(super) struct Claims {
    pending: BTreeMap<ClaimNonce, Pending>,
    granted: BTreeMap<ClaimTicket, Granted>,
    chains: BTreeMap<u8, Chain>,
}

impl Claims {
    /// For each shard in use: how many claims are known and how many wait.
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
        if late || self.claims.pending.len() >= MOST_PENDING || self.exited {
            self.answer_claim(claim.ticket, ClaimOutcome::Unavailable);
            return;
        }
        let key = key_of(claim);
        let nonce = ClaimNonce(self.rng.u64(..));
        let ticket = claim.ticket;
        let window = self.claim_window(claim);
        let deadline = claim.deadline;
        let owner = self.shard_owner(shard_of(key));
        let here = owner == *self.me();
        let take_over_at = (!here).then(|| self.now + OWNER_PATIENCE);
        let pending = Pending { ticket: Some(ticket), key, window, deadline, take_over_at };
        self.claims.pending.insert(nonce, pending);
        if here {
            self.claim_here(nonce);
            return;
        }
        let wait = deadline.since(self.now);
        let ask = ClaimAsk { key, nonce, window, wait };
        self.send(&owner, PeerMessage::ClaimAsks(vec![ask]));
    }

    fn claim_window(&self, claim: &ClaimRequest) -> Duration {
        let service = self.sync.fleet().and_then(|fleet| fleet.services.get(&claim.service));
        service.map_or(Duration::from_secs(600), |service| {
            // A claim must outlast the request itself, whatever the operators declared.
            service.limits.claim_window.max(service.limits.max_deadline)
        })
    }

    /// The daemon that gathers the claims of a shard, as far as this one knows.
    fn shard_owner(&self, shard: u8) -> DaemonName {
        let owner = self.entries.iter().max_by_key(|daemon| (score(shard, daemon), *daemon));
        owner.unwrap_or(self.me()).clone()
    }

    fn claim_here(&mut self, nonce: ClaimNonce) {
        let Some(pending) = self.claims.pending.get_mut(&nonce) else { return };
        pending.take_over_at = None;
        let Pending { key, window, deadline, .. } = *pending;
        let since = self.now;
        self.gather(Ask { key, nonce, window, since, deadline, asker: Asker::Here });
    }

    fn gather(&mut self, ask: Ask) {
        let shard = shard_of(ask.key);
        let now = self.now;
        self.chain(shard).ask(now, ask);
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
        let verdicts = chain.take_verdicts();
        if let Some((step, request)) = call {
            let timeout = self.cfg.store_timeout;
            self.call_store(Purpose::Claims(shard, step), request, timeout);
        }
        self.deliver(verdicts);
    }

    pub(super) fn claims_answered(
        &mut self,
        shard: u8,
        step: Step,
        asked_at: Time,
        outcome: Result<StoreAnswer, StoreError>,
    ) {
        let now = self.now;
        let chain = self.chain(shard);
        chain.answered(step, asked_at, now, outcome);
        let verdicts = chain.take_verdicts();
        self.deliver(verdicts);
        self.drive_chain(shard);
    }

    fn deliver(&mut self, verdicts: Vec<Verdict>) {
        let mut answers: BTreeMap<DaemonName, Vec<(ClaimNonce, ClaimOutcome)>> = BTreeMap::new();
        for Verdict { nonce, asker, outcome } in verdicts {
            match asker {
                Asker::Here => self.claim_concluded(nonce, outcome),
                Asker::Peer(daemon) => answers.entry(daemon).or_default().push((nonce, outcome)),
            }
        }
        for (daemon, answers) in answers {
            self.send(&daemon, PeerMessage::ClaimAnswers(answers));
        }
    }

    pub(super) fn claims_asked(&mut self, from: &DaemonName, asks: Vec<ClaimAsk>) {
        for ClaimAsk { key, nonce, window, wait } in asks {
            let deadline = self.now + wait;
            let asker = Asker::Peer(from.clone());
            let since = self.now;
            self.gather(Ask { key, nonce, window, since, deadline, asker });
        }
    }

    /// Each ticket is answered once: whoever comes second finds it gone.
    pub(super) fn claim_concluded(&mut self, nonce: ClaimNonce, outcome: ClaimOutcome) {
        let now = self.now;
        let Some(pending) = self.claims.pending.get_mut(&nonce) else { return };
        let ticket = pending.ticket.take();
        let Pending { key, window, deadline, .. } = *pending;
        let in_time = now < deadline;
        pending.take_over_at = None;
        if outcome != ClaimOutcome::Unavailable {
            self.claims.pending.remove(&nonce);
        }
        if let Some(ticket) = ticket {
            self.answer_claim(ticket, if in_time { outcome } else { ClaimOutcome::Unavailable });
        }
        match (outcome, ticket.filter(|_| in_time)) {
            (ClaimOutcome::Granted, Some(ticket)) => {
                let until = now + window;
                self.claims.granted.insert(ticket, Granted { key, nonce, window, until });
            }
            // Nobody was told of this claim, so nothing can be sent under it.
            (ClaimOutcome::Granted, None) => self.give_back(key, nonce, window),
            _ => {}
        }
    }

    /// A traffic thread was granted a claim, has sent nothing under it and never will.
    pub(super) fn release_claim(&mut self, ticket: ClaimTicket) {
        // A ticket that was never granted, or is given back already, is not among them.
        let Some(granted) = self.claims.granted.remove(&ticket) else { return };
        self.give_back(granted.key, granted.nonce, granted.window);
    }

    fn give_back(&mut self, key: ClaimKey, nonce: ClaimNonce, window: Duration) {
        let owner = self.shard_owner(shard_of(key));
        let release = ClaimRelease { key, nonce, window };
        match owner == *self.me() {
            true => self.claims_released(vec![release]),
            false => self.send(&owner, PeerMessage::ClaimReleases(vec![release])),
        }
    }

    pub(super) fn claims_released(&mut self, releases: Vec<ClaimRelease>) {
        let now = self.now;
        let deadline = now + RELEASE_PATIENCE;
        for ClaimRelease { key, nonce, window } in releases {
            let shard = shard_of(key);
            self.chain(shard).release(now, Release { key, nonce, window, deadline });
            self.drive_chain(shard);
        }
    }

    /// Forgets the oldest grants, which are no longer given back: their claims stand.
    fn forget_grants(&mut self) {
        let now = self.now;
        let granted = &mut self.claims.granted;
        while let Some(oldest) = granted.first_entry()
            && oldest.get().until <= now
        {
            oldest.remove();
        }
        while granted.len() > MOST_PENDING {
            granted.pop_first();
        }
    }

    fn answer_claim(&mut self, ticket: ClaimTicket, outcome: ClaimOutcome) {
        self.effects.push(Effect::AnswerClaim { ticket, outcome });
    }

    pub(super) fn claims_tick(&mut self) {
        let now = self.now;
        self.forget_grants();
        self.claims.pending.retain(|_, p| p.ticket.is_some() || now < p.deadline + LATE_GRANTS);
        let due = self.claims.pending.iter().filter(|(_, p)| p.ticket.is_some());
        let due =
            due.filter(|(_, p)| p.deadline <= now || p.take_over_at.is_some_and(|t| t <= now));
        let due: Vec<(ClaimNonce, bool)> = due.map(|(n, p)| (*n, p.deadline <= now)).collect();
        for (nonce, late) in due {
            match late {
                true => self.claim_concluded(nonce, ClaimOutcome::Unavailable),
                false => self.claim_here(nonce),
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
