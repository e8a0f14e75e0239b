//! Decides when to request slots from another entry, and from which.
//!
//! A simple scheme sends a request to a random entry whenever a caller's request has to wait. At a
//! load of 90 % most entries are full, so nearly all of these requests fail: thousands of messages
//! a second. A slot that is being transferred serves nobody, so moving slots too eagerly lengthens
//! the waiting again. Therefore an entry
//! - leaves its idle slots where they are until another entry requests them;
//! - sends a slot request only when its queue would take longer than
//!   [`SlotRequests::drain_threshold`] to drain, and then for as many slots as requests wait, so
//!   that one exchange lasts for a while;
//! - sends at most one slot request per `REQUEST_GAP_FACTOR` mean runs, however long its queue is:
//!   while all entries are full there is nothing to lend, and every slot request is wasted;
//! - sends it to the entry that most recently showed idle slots, according to hints that are part
//!   of the grants;
//! - forwards a slot request that it cannot serve to the entry that most likely can, and keeps it
//!   for a moment: the next slot that becomes idle is granted without another slot request.
//!
//! `docs/design/slots.md` has the figures of this scheme and of the alternatives.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use borageswitch_types::{Time, names::DaemonName};
use fastrand::Rng;

/// An entry requests slots when its queue would take longer than this part of a mean run to drain.
const DRAIN_THRESHOLD_FACTOR: f64 = 0.55;
/// The bounds of [`SlotRequests::drain_threshold`].
const DRAIN_THRESHOLD_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(1), Duration::from_millis(50));
/// The shortest time between two slot requests, in mean runs.
const REQUEST_GAP_FACTOR: f64 = 0.4;
/// The bounds of the shortest time between two slot requests.
const REQUEST_GAP_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(5), Duration::from_millis(100));
/// How long a hint about idle slots is used.
const MAX_HINT_AGE: Duration = Duration::from_millis(50);
/// How long a slot request that could not be served is kept, in mean runs.
const PENDING_AGE_FACTOR: f64 = 0.5;
/// How many slots are granted to a pending slot request.
const PENDING_SLOTS: u16 = 1;
/// The largest number of pending slot requests.
const MAX_PENDING: usize = 16;
/// The largest number of sent slot requests for which a late grant is still accepted.
const MAX_SENT: usize = 64;
/// How many entries may forward one slot request.
pub const MAX_HOPS: usize = 4;

#[derive(Debug, Clone, Copy)]
struct Hint {
    idle: u32,
    at: Time,
}

/// A slot request of another entry that could not be served at once.
#[derive(Clone, Debug)]
pub struct PendingRequest {
    /// The entry that needs the slots.
    pub requester: DaemonName,
    /// The number of the slot request at that entry.
    pub id: u64,
    /// How many slots to grant.
    pub slots: u16,
    until: Time,
}

/// The slot requests sent to and received from other entries.
#[derive(Debug, Default)]
pub struct SlotRequests {
    peers: Vec<DaemonName>,
    hints: BTreeMap<DaemonName, Hint>,
    /// The last slot requests and when they were sent; the term of a granted loan begins at that
    /// time.
    sent_requests: VecDeque<(u64, Time)>,
    last_id: u64,
    pending_requests: VecDeque<PendingRequest>,
}

impl SlotRequests {
    /// Replaces the list of other entries and drops the state of those that left.
    pub fn set_peers(&mut self, peers: Vec<DaemonName>) {
        self.hints.retain(|peer, _| peers.contains(peer));
        self.pending_requests.retain(|pending| peers.contains(&pending.requester));
        self.peers = peers;
    }

    /// Returns the drain time of a queue from which slots are requested.
    pub fn drain_threshold(mean_run: Duration) -> Duration {
        mean_run
            .mul_f64(DRAIN_THRESHOLD_FACTOR)
            .clamp(DRAIN_THRESHOLD_BOUNDS.0, DRAIN_THRESHOLD_BOUNDS.1)
    }

    /// Returns whether a slot request may be sent now.
    pub fn may_send(&self, now: Time, mean_run: Duration) -> bool {
        let gap =
            mean_run.mul_f64(REQUEST_GAP_FACTOR).clamp(REQUEST_GAP_BOUNDS.0, REQUEST_GAP_BOUNDS.1);
        !self.peers.is_empty()
            && self.sent_requests.back().is_none_or(|(_, sent)| now.since(*sent) >= gap)
    }

    /// Begins a slot request; returns its number and the entry to send it to.
    pub fn begin(&mut self, now: Time, rng: &mut Rng) -> Option<(u64, DaemonName)> {
        let peer = self.best_peer(now, &[], rng)?;
        self.last_id += 1;
        self.sent_requests.push_back((self.last_id, now));
        if self.sent_requests.len() > MAX_SENT {
            self.sent_requests.pop_front();
        }
        Some((self.last_id, peer))
    }

    /// Returns when a slot request was sent, if that is still recorded.
    pub fn sent_at(&self, id: u64) -> Option<Time> {
        self.sent_requests.iter().find(|(number, _)| *number == id).map(|(_, sent)| *sent)
    }

    /// Records how many idle slots a peer has reported.
    pub fn record_hint(&mut self, now: Time, peer: &DaemonName, idle: u16) {
        self.hints.insert(peer.clone(), Hint { idle: u32::from(idle), at: now });
    }

    /// Returns the peer that most likely has idle slots, except those in `tried`.
    pub fn best_peer(&self, now: Time, tried: &[DaemonName], rng: &mut Rng) -> Option<DaemonName> {
        let mut best: Option<(f64, &DaemonName)> = None;
        for peer in self.peers.iter().filter(|peer| !tried.contains(peer)) {
            let score = self.peer_score(now, peer, rng);
            if best.is_none_or(|(other, _)| score > other) {
                best = Some((score, peer));
            }
        }
        best.map(|(_, peer)| peer.clone())
    }

    /// Keeps a slot request that could not be served.
    pub fn add_pending(&mut self, now: Time, requester: DaemonName, id: u64, mean_run: Duration) {
        self.pending_requests.retain(|pending| pending.requester != requester);
        if self.pending_requests.len() < MAX_PENDING {
            let until = now + mean_run.mul_f64(PENDING_AGE_FACTOR);
            self.pending_requests.push_back(PendingRequest {
                requester,
                id,
                slots: PENDING_SLOTS,
                until,
            });
        }
    }

    /// Returns whether any slot request is pending.
    pub fn has_pending(&self) -> bool {
        !self.pending_requests.is_empty()
    }

    /// Removes and returns the oldest pending slot request that is not outdated.
    pub fn next_pending(&mut self, now: Time) -> Option<PendingRequest> {
        while let Some(pending) = self.pending_requests.pop_front() {
            if pending.until > now {
                return Some(pending);
            }
        }
        None
    }

    /// Scores a peer: known idle slots score highest, more so the fresher the hint; a peer without
    /// a recent hint comes next, and one that was full a moment ago comes last. The random part
    /// prevents all requesters from choosing the same peer.
    fn peer_score(&self, now: Time, peer: &DaemonName, rng: &mut Rng) -> f64 {
        let jitter = rng.f64();
        let Some(hint) = self.hints.get(peer) else { return 1.0 + jitter };
        let age = now.since(hint.at).as_secs_f64() / MAX_HINT_AGE.as_secs_f64();
        match hint.idle {
            _ if age >= 1.0 => 1.0 + jitter,
            0 => age + 0.5 * jitter,
            idle => 2.0 + 0.2 * f64::from(idle) - 0.5 * age + 0.5 * jitter,
        }
    }
}
