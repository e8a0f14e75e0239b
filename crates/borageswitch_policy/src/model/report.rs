//! Reports of what the callers received.

use std::{collections::BTreeMap, time::Duration};

use borageswitch_types::{ErrorKind, Time, error::Ran};
use hdrhistogram::Histogram;

/// The longest time that the histograms distinguish, in microseconds.
const MAX_MICROS: u64 = 600_000_000;

/// What the callers of one group received.
#[derive(Clone, Debug)]
pub struct GroupReport {
    /// Requests sent.
    pub offered: u64,
    /// Successful responses before the deadline.
    pub good: u64,
    /// Successful responses after the deadline.
    pub late: u64,
    /// Requests that ended with an error after they were started.
    pub failed: u64,
    /// The part of `failed` that was sent after the warm-up.
    pub failed_after_warm_up: u64,
    /// Requests sent after the warm-up.
    pub offered_after_warm_up: u64,
    /// Requests that the callers cancelled.
    pub cancelled: u64,
    /// Refusals by kind.
    pub refused: BTreeMap<ErrorKind, u64>,
    /// Refusals that said "not run" about a request that a target had started.
    pub false_not_run: u64,
    /// The time until the first start, in microseconds, of requests sent after the warm-up.
    pub waits: Histogram<u64>,
    /// The time until the response, in microseconds, of successful requests sent after the warm-up.
    pub responses: Histogram<u64>,
    /// The time until the refusal, in microseconds.
    pub refusals: Histogram<u64>,
    /// Successful responses in time to requests sent after the warm-up.
    pub good_after_warm_up: u64,
}

impl Default for GroupReport {
    fn default() -> Self {
        let empty = Histogram::new_with_max(MAX_MICROS, 3).expect("the bounds are valid");
        Self {
            offered: 0,
            good: 0,
            late: 0,
            failed: 0,
            failed_after_warm_up: 0,
            offered_after_warm_up: 0,
            cancelled: 0,
            refused: BTreeMap::new(),
            false_not_run: 0,
            waits: empty.clone(),
            responses: empty.clone(),
            refusals: empty,
            good_after_warm_up: 0,
        }
    }
}

impl GroupReport {
    /// Returns the waiting time that this percentage of requests did not exceed.
    pub fn wait(&self, percent: f64) -> Duration {
        Duration::from_micros(self.waits.value_at_percentile(percent))
    }

    /// Returns the response time that this percentage of responses did not exceed.
    pub fn response(&self, percent: f64) -> Duration {
        Duration::from_micros(self.responses.value_at_percentile(percent))
    }

    /// Returns the number of refusals of all kinds.
    pub fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }

    pub(super) fn refuse(&mut self, kind: ErrorKind, after: Duration, has_run: bool) {
        *self.refused.entry(kind).or_default() += 1;
        self.false_not_run += u64::from(kind.answer().ran == Ran::No && has_run);
        self.refusals.saturating_record(after.as_micros() as u64);
    }
}

/// What all callers of a site received, and the messages and attempts that this took.
#[derive(Clone, Debug, Default)]
pub struct SiteReport {
    /// The reports by group.
    pub groups: BTreeMap<&'static str, GroupReport>,
    /// Messages between entries about slots.
    pub messages: u64,
    /// The largest number of requests in flight on one target.
    pub max_in_flight: u32,
    /// Starts that a target refused because all its slots were in use.
    pub overcommitted: u64,
    /// Successful responses in time, by the second of the response.
    pub good_by_second: BTreeMap<u64, u64>,
    /// Attempts sent to targets.
    pub attempts: u64,
    /// When the last entry was replaced, from the start of the plan.
    pub replaced_at: Option<Duration>,
}

impl SiteReport {
    /// Returns the report of a group; empty if the group sent no requests.
    pub fn group(&self, name: &str) -> GroupReport {
        self.groups.get(name).cloned().unwrap_or_default()
    }

    /// Returns the successful responses a second between two times in seconds.
    pub fn goodput(&self, from: u64, until: u64) -> f64 {
        let good: u64 = self.good_by_second.range(from..until).map(|(_, good)| good).sum();
        good as f64 / (until - from) as f64
    }

    pub(super) fn count_good(&mut self, now: Time) {
        *self.good_by_second.entry(now.as_micros() / 1_000_000).or_default() += 1;
    }
}
