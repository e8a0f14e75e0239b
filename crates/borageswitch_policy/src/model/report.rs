//! What the callers received.

use std::{collections::BTreeMap, time::Duration};

use borageswitch_types::{ErrorKind, Time, error::Ran};
use hdrhistogram::Histogram;

/// The longest time that is told apart, in microseconds.
const LONGEST: u64 = 600_000_000;

/// What the callers of one group received.
#[derive(Clone, Debug)]
pub struct GroupReport {
    /// Requests sent.
    pub offered: u64,
    /// Answers that were right and in time.
    pub good: u64,
    /// Answers that were right and too late.
    pub late: u64,
    /// Errors of targets.
    pub failed: u64,
    /// Of those, after the warm-up.
    pub failed_later: u64,
    /// Requests sent after the warm-up.
    pub offered_later: u64,
    /// Requests that the callers cancelled.
    pub cancelled: u64,
    /// Refusals by kind.
    pub refused: BTreeMap<ErrorKind, u64>,
    /// Refusals that said "not run" of a request that a target had started.
    pub untrue: u64,
    /// The time until the first start, in microseconds, of requests sent after the warm-up.
    pub waits: Histogram<u64>,
    /// The time until the answer, in microseconds, of those that were answered.
    pub responses: Histogram<u64>,
    /// The time until the refusal, in microseconds.
    pub refusals: Histogram<u64>,
    /// Good answers to requests sent after the warm-up, by the time of the answer.
    pub good_later: u64,
}

impl Default for GroupReport {
    fn default() -> Self {
        let empty = Histogram::new_with_max(LONGEST, 3).expect("the bounds are valid");
        Self {
            offered: 0,
            good: 0,
            late: 0,
            failed: 0,
            failed_later: 0,
            offered_later: 0,
            cancelled: 0,
            refused: BTreeMap::new(),
            untrue: 0,
            waits: empty.clone(),
            responses: empty.clone(),
            refusals: empty,
            good_later: 0,
        }
    }
}

impl GroupReport {
    /// The waiting time that this percentage of requests did not exceed.
    pub fn wait(&self, percent: f64) -> Duration {
        Duration::from_micros(self.waits.value_at_percentile(percent))
    }

    /// The response time that this percentage of answers did not exceed.
    pub fn response(&self, percent: f64) -> Duration {
        Duration::from_micros(self.responses.value_at_percentile(percent))
    }

    /// Refusals of all kinds.
    pub fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }

    pub(super) fn refuse(&mut self, kind: ErrorKind, after: Duration, has_run: bool) {
        *self.refused.entry(kind).or_default() += 1;
        self.untrue += u64::from(kind.answer().ran == Ran::No && has_run);
        self.refusals.saturating_record(after.as_micros() as u64);
    }
}

/// What all callers of a site received, and what it took.
#[derive(Clone, Debug, Default)]
pub struct SiteReport {
    /// By group.
    pub groups: BTreeMap<&'static str, GroupReport>,
    /// Messages between entries about slots.
    pub messages: u64,
    /// The most requests that a target was sent at once.
    pub most_in_flight: u32,
    /// Starts that a target refused because all its slots were in use.
    pub overcommitted: u64,
    /// Good answers each second, by the time of the answer.
    pub good_by_second: BTreeMap<u64, u64>,
    /// Tries that reached a target.
    pub tries: u64,
    /// When the last entry was replaced, from the start of the plan.
    pub replaced_at: Option<Duration>,
}

impl SiteReport {
    /// The report of a group; empty when nothing of it was sent.
    pub fn group(&self, name: &str) -> GroupReport {
        self.groups.get(name).cloned().unwrap_or_default()
    }

    /// Good answers a second between two times.
    pub fn goodput(&self, from: u64, until: u64) -> f64 {
        let good: u64 = self.good_by_second.range(from..until).map(|(_, good)| good).sum();
        good as f64 / (until - from) as f64
    }

    pub(super) fn count_good(&mut self, now: Time) {
        *self.good_by_second.entry(now.as_micros() / 1_000_000).or_default() += 1;
    }
}
