//! When to ask another entry for slots, and whom.
//!
//! The naive way asks a random entry for every request that waits. At 90 % load most are full, so
//! nearly all asks are in vain: thousands of messages a second. And each slot that is under way
//! serves nobody, so moving slots too eagerly makes the waiting longer again. Here an entry
//! - leaves its idle slots where they are until somebody asks for them;
//! - asks only when its queue would take longer than [`Asking::patience`] to drain, and then for
//!   as many slots as requests wait, so that one exchange lasts for a while;
//! - asks no more often than once in `ASK_GAP_PART`, however long the queue: while everybody is full
//!   there is nothing to lend, and every ask is waste;
//! - asks the entry that most lately showed idle slots, by hints that ride on grants;
//! - passes an ask on when it has no idle slots itself, to whom it believes to have some, and
//!   remembers the ask for a moment: the next slot that falls idle there is granted without
//!   another ask.
//!
//! `docs/design/slots.md` has the figures of this and the other schemes that were weighed.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use borageswitch_types::{Time, names::DaemonName};
use fastrand::Rng;

/// An entry asks when its queue would take longer than this part of a mean run to drain.
const PATIENCE_PART: f64 = 0.55;
/// The bounds of that time.
const PATIENCE_BOUNDS: (Duration, Duration) = (Duration::from_millis(1), Duration::from_millis(50));
/// The shortest time between two asks, in mean runs.
const ASK_GAP_PART: f64 = 0.4;
/// The bounds of that time.
const ASK_GAP_BOUNDS: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(100));
/// How long a hint of idle slots is believed.
const HINT_AGE: Duration = Duration::from_millis(50);
/// How long an entry that had nothing to lend remembers who asked, in mean runs.
const WANT_AGE_PART: f64 = 0.5;
/// How many slots are granted to a remembered ask.
const WANT_SLOTS: u16 = 1;
/// The most asks that are remembered.
const MAX_WANTS: usize = 16;
/// The most asks of which a late grant is still of use.
const MAX_ASKS: usize = 64;
/// How often an ask is passed on.
pub const MAX_HOPS: usize = 4;

#[derive(Debug, Clone, Copy)]
struct Hint {
    idle: u32,
    at: Time,
}

/// An ask of another entry that could not be met at once.
#[derive(Clone, Debug)]
pub struct Want {
    /// Who asked.
    pub asker: DaemonName,
    /// Its number there.
    pub ask: u64,
    /// How many slots it is given.
    pub slots: u16,
    until: Time,
}

/// When to ask whom.
#[derive(Debug, Default)]
pub struct Asking {
    peers: Vec<DaemonName>,
    hints: BTreeMap<DaemonName, Hint>,
    /// The last asks and when they were sent: a grant counts its term from then.
    asks: VecDeque<(u64, Time)>,
    next_ask: u64,
    wants: VecDeque<Want>,
}

impl Asking {
    /// Takes the other entries; what is known of those that left is forgotten.
    pub fn set_peers(&mut self, peers: Vec<DaemonName>) {
        self.hints.retain(|peer, _| peers.contains(peer));
        self.wants.retain(|want| peers.contains(&want.asker));
        self.peers = peers;
    }

    /// How long a queue may take to drain before it is worth an ask.
    pub fn patience(mean_run: Duration) -> Duration {
        mean_run.mul_f64(PATIENCE_PART).clamp(PATIENCE_BOUNDS.0, PATIENCE_BOUNDS.1)
    }

    /// Whether an ask may be sent now.
    pub fn may_ask(&self, now: Time, mean_run: Duration) -> bool {
        let gap = mean_run.mul_f64(ASK_GAP_PART).clamp(ASK_GAP_BOUNDS.0, ASK_GAP_BOUNDS.1);
        !self.peers.is_empty() && self.asks.back().is_none_or(|(_, sent)| now.since(*sent) >= gap)
    }

    /// Begins an ask: its number and whom to send it to.
    pub fn begin(&mut self, now: Time, rng: &mut Rng) -> Option<(u64, DaemonName)> {
        let peer = self.likeliest(now, &[], rng)?;
        self.next_ask += 1;
        self.asks.push_back((self.next_ask, now));
        if self.asks.len() > MAX_ASKS {
            self.asks.pop_front();
        }
        Some((self.next_ask, peer))
    }

    /// When an ask was sent, if that is still known.
    pub fn sent(&self, ask: u64) -> Option<Time> {
        self.asks.iter().find(|(number, _)| *number == ask).map(|(_, sent)| *sent)
    }

    /// Takes note of how many idle slots a peer has shown.
    pub fn hint(&mut self, now: Time, peer: &DaemonName, idle: u16) {
        self.hints.insert(peer.clone(), Hint { idle: u32::from(idle), at: now });
    }

    /// The peer that most likely has idle slots, of those not `tried`.
    pub fn likeliest(&self, now: Time, tried: &[DaemonName], rng: &mut Rng) -> Option<DaemonName> {
        let mut best: Option<(f64, &DaemonName)> = None;
        for peer in self.peers.iter().filter(|peer| !tried.contains(peer)) {
            let score = self.likelihood(now, peer, rng);
            if best.is_none_or(|(other, _)| score > other) {
                best = Some((score, peer));
            }
        }
        best.map(|(_, peer)| peer.clone())
    }

    /// Remembers an ask that could not be met.
    pub fn remember(&mut self, now: Time, asker: DaemonName, ask: u64, mean_run: Duration) {
        self.wants.retain(|want| want.asker != asker);
        if self.wants.len() < MAX_WANTS {
            let until = now + mean_run.mul_f64(WANT_AGE_PART);
            self.wants.push_back(Want { asker, ask, slots: WANT_SLOTS, until });
        }
    }

    /// Whether an ask is remembered.
    pub fn has_wants(&self) -> bool {
        !self.wants.is_empty()
    }

    /// The ask remembered longest that is still of use.
    pub fn next_want(&mut self, now: Time) -> Option<Want> {
        while let Some(want) = self.wants.pop_front() {
            if want.until > now {
                return Some(want);
            }
        }
        None
    }

    /// Known idle slots count most, the fresher the more; a peer of which nothing is known comes
    /// next; one that was full a moment ago comes last. A random part keeps askers from all
    /// turning to the same peer.
    fn likelihood(&self, now: Time, peer: &DaemonName, rng: &mut Rng) -> f64 {
        let by_chance = rng.f64();
        let Some(hint) = self.hints.get(peer) else { return 1.0 + by_chance };
        let age = now.since(hint.at).as_secs_f64() / HINT_AGE.as_secs_f64();
        match hint.idle {
            _ if age >= 1.0 => 1.0 + by_chance,
            0 => age + 0.5 * by_chance,
            idle => 2.0 + 0.2 * f64::from(idle) - 0.5 * age + 0.5 * by_chance,
        }
    }
}
