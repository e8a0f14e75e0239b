//! Learns how long each kind of request runs, and which kinds are long.
//!
//! The load pattern: declared run times are far off, and a few long jobs stand among many short
//! ones. Without this module a queue cannot tell whether a request can still end before its
//! deadline, and a handful of long jobs take every slot while the short ones wait behind them.
//!
//! Grounds for the figures: a mean over the last [`MEMORY`] runs of a kind follows a change of
//! behaviour within tens of runs and varies by about a quarter for exponential run times. Kinds
//! are split by load, as in size-interval assignment: the cut whose short side carries the share
//! of the load nearest to one half keeps both sides busy, and a cut is only worth having where the
//! long side runs [`LONG_FACTOR`] times as long on average.

use std::{collections::BTreeMap, time::Duration};

use borageswitch_types::Time;

/// Over how many runs a mean is taken, about.
const MEMORY: f64 = 32.0;
/// How many times as long the long kinds run on average, at least.
const LONG_FACTOR: f64 = 4.0;
/// How many standard deviations a run is allowed beyond its mean.
const DEVIATIONS: f64 = 2.0;
/// How many kinds are remembered; the one not seen longest is forgotten first.
const MAX_KINDS: usize = 512;
/// What a request is expected to run when nothing has ever been learned.
const FIRST_GUESS: Duration = Duration::from_millis(10);
/// How often the split into short and long is computed anew.
const SPLIT_EVERY: Duration = Duration::from_millis(250);
/// By what a kind's load shrinks at each split, so that a kind out of use loses its weight.
const LOAD_DECAY: f64 = 0.9;

/// On which side of the split a kind falls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Length {
    /// It runs briefly, or nothing is known of it.
    #[default]
    Short,
    /// It runs many times as long as the short kinds.
    Long,
}

#[derive(Debug)]
struct Kind {
    mean: f64,
    variance: f64,
    load: f64,
    length: Length,
    seen: Time,
}

/// The run times learned of one service.
#[derive(Debug, Default)]
pub struct RunTimes {
    kinds: BTreeMap<u64, Kind>,
    mean: Option<f64>,
    split_at: Time,
    short_share: Option<f64>,
}

impl RunTimes {
    /// Takes note that a request of `kind` ran for `ran`.
    pub fn learn(&mut self, now: Time, kind: u64, ran: Duration) {
        let micros = ran.as_micros() as f64;
        let mean = self.mean.get_or_insert(micros);
        *mean += (micros - *mean) / MEMORY;
        let length = self.kinds.get(&kind).map_or(Length::Short, |known| known.length);
        let known = self.kinds.entry(kind).or_insert(Kind {
            mean: micros,
            variance: 0.0,
            load: 0.0,
            length,
            seen: now,
        });
        let off = micros - known.mean;
        known.mean += off / MEMORY;
        known.variance += (off * off - known.variance) / MEMORY;
        known.load += micros;
        known.seen = now;
        if self.kinds.len() > MAX_KINDS {
            self.forget_oldest();
        }
    }

    /// How long a request of `kind` is expected to run; the service's mean for an unknown kind.
    pub fn expected(&self, kind: u64) -> Duration {
        let micros = self.kinds.get(&kind).map(|known| known.mean).or(self.mean);
        micros.map_or(FIRST_GUESS, |micros| Duration::from_micros(micros as u64))
    }

    /// Whether runs of `kind` have been seen, so that [`Self::expected`] is no guess.
    pub fn is_known(&self, kind: u64) -> bool {
        self.kinds.contains_key(&kind)
    }

    /// How long a request of `kind` runs at most, but for one in twenty: its mean and two standard
    /// deviations.
    pub fn allowance(&self, kind: u64) -> Duration {
        let deviation = self.kinds.get(&kind).map_or(0.0, |known| known.variance.sqrt());
        self.expected(kind) + Duration::from_micros((DEVIATIONS * deviation) as u64)
    }

    /// How long a request of the service is expected to run.
    pub fn mean(&self) -> Duration {
        self.mean.map_or(FIRST_GUESS, |micros| Duration::from_micros(micros as u64))
    }

    /// Whether requests of `kind` are long. A kind never seen counts as short, so that a service
    /// whose kinds are all new is not held back.
    pub fn length(&self, kind: u64) -> Length {
        self.kinds.get(&kind).map_or(Length::Short, |known| known.length)
    }

    /// The share of the load that the short kinds carry; nothing while no kind is long.
    pub fn short_share(&self) -> Option<f64> {
        self.short_share
    }

    /// Computes the split anew when it is due; the cost is bounded by [`MAX_KINDS`].
    pub fn tick(&mut self, now: Time) {
        if now.since(self.split_at) < SPLIT_EVERY {
            return;
        }
        self.split_at = now;
        self.split();
        for known in self.kinds.values_mut() {
            known.load *= LOAD_DECAY;
        }
    }

    fn split(&mut self) {
        let mut by_mean: Vec<(f64, f64)> =
            self.kinds.values().map(|known| (known.mean, known.load)).collect();
        by_mean.sort_by(|a, b| a.0.total_cmp(&b.0));
        let cut = best_cut(&by_mean);
        self.short_share = cut.map(|cut| cut.short_share);
        let longest_short = cut.map_or(f64::INFINITY, |cut| cut.longest_short);
        for known in self.kinds.values_mut() {
            known.length = if known.mean > longest_short { Length::Long } else { Length::Short };
        }
    }

    fn forget_oldest(&mut self) {
        let oldest = self.kinds.iter().min_by_key(|(_, known)| known.seen).map(|(kind, _)| *kind);
        if let Some(kind) = oldest {
            self.kinds.remove(&kind);
        }
    }
}

#[derive(Clone, Copy)]
struct Cut {
    longest_short: f64,
    short_share: f64,
}

/// The cut between kinds, ordered by mean run time, whose short side carries the share of the load
/// nearest to one half, among those whose long side runs [`LONG_FACTOR`] times as long.
fn best_cut(by_mean: &[(f64, f64)]) -> Option<Cut> {
    let runs = |kinds: &[(f64, f64)]| kinds.iter().map(|(mean, load)| load / mean.max(1.0)).sum();
    let (all_load, all_runs): (f64, f64) =
        (by_mean.iter().map(|(_, load)| load).sum(), runs(by_mean));
    if all_load <= 0.0 {
        return None;
    }
    let (mut short_load, mut short_runs) = (0.0, 0.0);
    let mut best: Option<Cut> = None;
    for (index, (mean, load)) in by_mean.iter().enumerate() {
        short_load += load;
        short_runs += load / mean.max(1.0);
        let next = by_mean.get(index + 1).map_or(*mean, |(next, _)| *next);
        if next <= *mean || short_runs <= 0.0 {
            continue;
        }
        let long_mean = (all_load - short_load) / (all_runs - short_runs).max(f64::MIN_POSITIVE);
        let apart = long_mean >= LONG_FACTOR * (short_load / short_runs);
        let cut = Cut { longest_short: *mean, short_share: short_load / all_load };
        let nearer = |old: Cut| (cut.short_share - 0.5).abs() < (old.short_share - 0.5).abs();
        if apart && best.is_none_or(nearer) {
            best = Some(cut);
        }
    }
    best
}

#[cfg(test)]
mod tests;
