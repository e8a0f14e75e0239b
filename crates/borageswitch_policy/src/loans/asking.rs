//! When to ask another entry for slots, and whom.
//!
//! The naive way asks a random entry for every request that waits. At 90 % load most are full, so
//! nearly all asks are in vain: thousands of messages a second. Here an entry
//! - asks only when its queue would take longer than [`Self::PATIENCE`] to drain, since below that
//!   its own slots come free before an answer is worth its messages;
//! - has one ask under way at a time, for as many slots as would drain the queue;
//! - asks the entry that most lately showed idle slots, by hints that ride on grants;
//! - lets an entry without idle slots pass the ask on, and remember it: the next slot that falls
//!   idle there is granted without another ask;
//! - backs off while everybody is full: then there is nothing to lend, and every ask is waste.
//!
//! [`Self::PATIENCE`]: Asking

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use borageswitch_types::{Time, names::DaemonName};
use fastrand::Rng;

/// An entry asks when its queue would take longer than this part of a mean run to drain.
const PATIENCE_PART: f64 = 0.2;
/// The bounds of that time.
const PATIENCE_BOUNDS: (Duration, Duration) = (Duration::from_millis(1), Duration::from_millis(50));
/// After this time an ask without an answer is given up.
const ASK_TIMEOUT: Duration = Duration::from_millis(50);
/// How long a hint of idle slots is believed.
const HINT_AGE: Duration = Duration::from_millis(200);
/// The first and longest pause after an ask in vain.
const BACKOFF_BOUNDS: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(160));
/// How long an entry that had nothing to lend remembers who asked.
const WANT_AGE: Duration = Duration::from_millis(60);
/// The most asks that are remembered.
const MAX_WANTS: usize = 16;
/// How often an ask is passed on.
pub const MAX_HOPS: u8 = 2;

#[derive(Debug, Clone, Copy)]
struct Hint {
    idle: u16,
    at: Time,
}

#[derive(Debug)]
struct OpenAsk {
    ask: u64,
    sent: Time,
    answered: bool,
}

/// An ask of another entry that could not be met at once.
#[derive(Clone, Debug)]
pub struct Want {
    /// Who asked.
    pub asker: DaemonName,
    /// Its number there.
    pub ask: u64,
    /// How many slots are still wanted.
    pub wanted: u16,
    until: Time,
}

/// When to ask whom.
#[derive(Debug, Default)]
pub struct Asking {
    peers: Vec<DaemonName>,
    hints: BTreeMap<DaemonName, Hint>,
    /// The last asks; a late grant still counts its term from the time of its ask.
    asks: VecDeque<OpenAsk>,
    next_ask: u64,
    silent_until: Time,
    backoff: Duration,
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
    pub fn may_ask(&self, now: Time) -> bool {
        let waits = |ask: &OpenAsk| !ask.answered && now.since(ask.sent) < ASK_TIMEOUT;
        !self.peers.is_empty() && now >= self.silent_until && !self.asks.back().is_some_and(waits)
    }

    /// Begins an ask: its number and whom to send it to; nothing when everybody is known to be
    /// full.
    pub fn begin(&mut self, now: Time, rng: &mut Rng) -> Option<(u64, DaemonName)> {
        let Some(peer) = self.likeliest(now, &[], rng) else {
            self.back_off(now, rng);
            return None;
        };
        self.next_ask += 1;
        self.asks.push_back(OpenAsk { ask: self.next_ask, sent: now, answered: false });
        if self.asks.len() > MAX_WANTS {
            self.asks.pop_front();
        }
        Some((self.next_ask, peer))
    }

    /// Takes note of a grant: when its ask was sent, if that is still known.
    pub fn answered(&mut self, now: Time, ask: u64, shares: usize, rng: &mut Rng) -> Option<Time> {
        if shares == 0 {
            self.back_off(now, rng);
        } else {
            self.backoff = Duration::ZERO;
            self.silent_until = now;
        }
        let open = self.asks.iter_mut().find(|open| open.ask == ask)?;
        open.answered = true;
        Some(open.sent)
    }

    /// Takes note of how many idle slots a peer has shown.
    pub fn hint(&mut self, now: Time, peer: &DaemonName, idle: u16) {
        self.hints.insert(peer.clone(), Hint { idle, at: now });
    }

    /// The peer that most likely has idle slots, other than `not`; nothing when each was known to
    /// be full a moment ago.
    pub fn likeliest(&self, now: Time, not: &[&DaemonName], rng: &mut Rng) -> Option<DaemonName> {
        let mut best: Option<(u64, &DaemonName)> = None;
        for peer in self.peers.iter().filter(|peer| !not.contains(peer)) {
            let score = match self.hints.get(peer) {
                Some(hint) if now.since(hint.at) < HINT_AGE => {
                    let age = now.since(hint.at).as_millis() as u64;
                    if hint.idle > 0 { 2_000 + 100 * u64::from(hint.idle) - age } else { age }
                }
                _ => 1_000,
            };
            // A random part breaks ties, so that askers don't all turn to the same peer.
            let score = score * 16 + rng.u64(..16 * 40);
            if best.is_none_or(|(other, _)| score > other) {
                best = Some((score, peer));
            }
        }
        best.map(|(_, peer)| peer.clone())
    }

    /// Remembers an ask that could not be met.
    pub fn remember(&mut self, now: Time, asker: DaemonName, ask: u64, wanted: u16) {
        self.wants.retain(|want| want.asker != asker);
        if self.wants.len() < MAX_WANTS {
            self.wants.push_back(Want { asker, ask, wanted, until: now + WANT_AGE });
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

    fn back_off(&mut self, now: Time, rng: &mut Rng) {
        self.backoff = (self.backoff * 2).clamp(BACKOFF_BOUNDS.0, BACKOFF_BOUNDS.1);
        let jitter = self.backoff.mul_f64(rng.f64());
        self.silent_until = now + self.backoff / 2 + jitter;
    }
}
