//! Estimates how long each kind of request runs, and which kinds are long.
//!
//! Load pattern: declared run times are far off, and there are a few long jobs among many short
//! ones. Without these estimates a queue cannot tell whether a request can still end before its
//! deadline, and a handful of long jobs take every slot while the short ones wait behind them.
//!
//! Reasons for the constants: a mean over the last [`AVERAGING_RUNS`] runs of a kind follows a change of
//! behaviour within tens of runs and varies by about a quarter for exponential run times. Kinds are
//! split by load, as in size-interval assignment: the best cut is the one whose short side carries
//! the share of the load nearest to one half, which keeps both sides busy. A cut is only used where
//! the long side runs at least [`LONG_FACTOR`] times as long on average.

use std::{collections::BTreeMap, time::Duration};

use borageswitch_types::Time;

/// The approximate number of runs over which a mean is taken.
const AVERAGING_RUNS: f64 = 32.0;
/// The smallest ratio between the mean run times of the long and the short kinds.
const LONG_FACTOR: f64 = 4.0;
/// Number of standard deviations between the mean and the upper estimate of a run time.
const DEVIATIONS: f64 = 2.0;
/// The largest number of kinds; beyond it the least recently seen kind is dropped.
const MAX_KINDS: usize = 512;
/// The estimate before any run has been recorded.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(10);
/// The interval at which the split into short and long kinds is recomputed.
const SPLIT_INTERVAL: Duration = Duration::from_millis(250);
/// Factor applied to each kind's load at every split, so that kinds that are no longer used lose
/// weight.
const LOAD_DECAY: f64 = 0.9;

/// The side of the split to which a kind belongs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunLength {
    /// Short, or not yet seen.
    #[default]
    Short,
    /// Runs many times as long as the short kinds.
    Long,
}

#[derive(Debug)]
struct KindStats {
    mean: f64,
    variance: f64,
    load: f64,
    length: RunLength,
    last_seen: Time,
}

/// Run time estimates of one service.
#[derive(Debug, Default)]
pub struct RunTimes {
    kinds: BTreeMap<u64, KindStats>,
    mean: Option<f64>,
    split_at: Time,
    short_load_share: Option<f64>,
}

impl RunTimes {
    /// Records that a request of `kind` ran for `ran`.
    pub fn record(&mut self, now: Time, kind: u64, ran: Duration) {
        let micros = ran.as_micros() as f64;
        let mean = self.mean.get_or_insert(micros);
        *mean += (micros - *mean) / AVERAGING_RUNS;
        let length = self.kinds.get(&kind).map_or(RunLength::Short, |stats| stats.length);
        let stats = self.kinds.entry(kind).or_insert(KindStats {
            mean: micros,
            variance: 0.0,
            load: 0.0,
            length,
            last_seen: now,
        });
        let error = micros - stats.mean;
        stats.mean += error / AVERAGING_RUNS;
        stats.variance += (error * error - stats.variance) / AVERAGING_RUNS;
        stats.load += micros;
        stats.last_seen = now;
        if self.kinds.len() > MAX_KINDS {
            self.remove_oldest();
        }
    }

    /// Returns the estimated run time of a request of `kind`; the service's mean for an unknown
    /// kind.
    pub fn expected(&self, kind: u64) -> Duration {
        let micros = self.kinds.get(&kind).map(|stats| stats.mean).or(self.mean);
        micros.map_or(DEFAULT_RUN_TIME, |micros| Duration::from_micros(micros as u64))
    }

    /// Returns whether runs of `kind` have been recorded; if not, [`Self::expected`] is a guess.
    pub fn is_known(&self, kind: u64) -> bool {
        self.kinds.contains_key(&kind)
    }

    /// Returns the run time that all but one in twenty requests of `kind` stay below: the mean and
    /// two standard deviations.
    pub fn upper_estimate(&self, kind: u64) -> Duration {
        let deviation = self.kinds.get(&kind).map_or(0.0, |stats| stats.variance.sqrt());
        self.expected(kind) + Duration::from_micros((DEVIATIONS * deviation) as u64)
    }

    /// Returns the estimated run time of any request of the service.
    pub fn mean(&self) -> Duration {
        self.mean.map_or(DEFAULT_RUN_TIME, |micros| Duration::from_micros(micros as u64))
    }

    /// Returns whether requests of `kind` are short or long. A kind never seen counts as short, so
    /// that a service whose kinds are all new is not held back.
    pub fn length(&self, kind: u64) -> RunLength {
        self.kinds.get(&kind).map_or(RunLength::Short, |stats| stats.length)
    }

    /// Returns the share of the load that the short kinds carry, or `None` while no kind is long.
    pub fn short_load_share(&self) -> Option<f64> {
        self.short_load_share
    }

    /// Recomputes the split when it is due; the cost is bounded by [`MAX_KINDS`].
    pub fn tick(&mut self, now: Time) {
        if now.since(self.split_at) < SPLIT_INTERVAL {
            return;
        }
        self.split_at = now;
        self.split();
        for stats in self.kinds.values_mut() {
            stats.load *= LOAD_DECAY;
        }
    }

    fn split(&mut self) {
        let mut by_mean: Vec<(f64, f64)> =
            self.kinds.values().map(|stats| (stats.mean, stats.load)).collect();
        by_mean.sort_by(|a, b| a.0.total_cmp(&b.0));
        let cut = best_cut(&by_mean);
        self.short_load_share = cut.map(|cut| cut.short_load_share);
        let longest_short = cut.map_or(f64::INFINITY, |cut| cut.longest_short);
        for stats in self.kinds.values_mut() {
            stats.length =
                if stats.mean > longest_short { RunLength::Long } else { RunLength::Short };
        }
    }

    fn remove_oldest(&mut self) {
        let oldest =
            self.kinds.iter().min_by_key(|(_, stats)| stats.last_seen).map(|(kind, _)| *kind);
        if let Some(kind) = oldest {
            self.kinds.remove(&kind);
        }
    }
}

#[derive(Clone, Copy)]
struct Cut {
    longest_short: f64,
    short_load_share: f64,
}

/// Finds the best cut between kinds ordered by mean run time: the one whose short side carries the
/// share of the load nearest to one half, among the cuts whose long side runs at least
/// [`LONG_FACTOR`] times as long.
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
        let is_distinct = long_mean >= LONG_FACTOR * (short_load / short_runs);
        let cut = Cut { longest_short: *mean, short_load_share: short_load / all_load };
        let is_better =
            |old: Cut| (cut.short_load_share - 0.5).abs() < (old.short_load_share - 0.5).abs();
        if is_distinct && best.is_none_or(is_better) {
            best = Some(cut);
        }
    }
    best
}

#[cfg(test)]
mod tests;
