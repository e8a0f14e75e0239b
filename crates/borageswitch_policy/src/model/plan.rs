//! The description of a simulated site.

use std::time::Duration;

use crate::dispatch::Priority;

/// The implementation that dispatches requests at the entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum Engine {
    /// The product's dispatcher.
    Policy,
    /// The product's dispatcher with allocated slots only: its messages about slots are dropped.
    PolicyWithoutLoans,
    /// One first-come queue at each entry over its allocated slots.
    FirstCome,
}

/// The distribution of run times on a healthy target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RunTime {
    /// Always the same.
    Constant(Duration),
    /// Exponentially distributed with this mean.
    Exponential(Duration),
}

/// A fault of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// It runs this many times as long.
    Slow(f64),
    /// It answers every request with a server error after a millisecond.
    FailsFast,
    /// It breaks every connection after a millisecond.
    Breaks,
    /// It refuses every connection at once.
    Refuses,
}

/// A fault of one target or of all targets during a part of the plan.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    /// The target; `None` for all.
    pub target: Option<usize>,
    /// The fault.
    pub fault: Fault,
    /// When it begins, from the start of the plan.
    pub from: Duration,
    /// When it ends.
    pub until: Duration,
}

/// Requests of one kind that arrive at random at a mean rate.
#[derive(Clone, Debug, PartialEq)]
pub struct Stream {
    /// The group under which the report counts them.
    pub group: &'static str,
    /// The number of callers; each sends an equal part of the rate.
    pub callers: u32,
    /// The callers' team and its weight.
    pub team: Option<(&'static str, u32)>,
    /// Requests a second, of all callers together.
    pub rate: f64,
    /// The kind of request, see [`Offer::kind`](crate::dispatch::Offer::kind).
    pub kind: u64,
    /// How long they run.
    pub run: RunTime,
    /// The time from arrival to deadline.
    pub deadline: Duration,
    /// Their priority.
    pub priority: Priority,
    /// Whether they can be retried.
    pub retryable: bool,
    /// When the first may arrive, from the start of the plan.
    pub from: Duration,
    /// When the last may arrive.
    pub until: Duration,
    /// When all callers disconnect at once, if they do.
    pub cancelled_at: Option<Duration>,
}

impl Stream {
    /// Creates a stream of fifty callers for the whole plan: idempotent requests that run
    /// exponentially for `mean` and wait ten seconds.
    pub fn new(group: &'static str, rate: f64, mean: Duration) -> Self {
        Self {
            group,
            callers: 50,
            team: None,
            rate,
            kind: 1,
            run: RunTime::Exponential(mean),
            deadline: Duration::from_secs(10),
            priority: Priority::Normal,
            retryable: true,
            from: Duration::ZERO,
            until: Duration::MAX,
            cancelled_at: None,
        }
    }
}

/// A site, its load and its faults.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The seed of all random numbers.
    pub seed: u64,
    /// The number of entries.
    pub entries: usize,
    /// How unevenly callers reach the entries: the n-th entry gets a part proportional to
    /// `1 / n^skew`.
    pub skew: f64,
    /// The number of targets.
    pub targets: usize,
    /// The slots of each target.
    pub slots: u16,
    /// The slots that the availability budget promises.
    pub promised_slots: u32,
    /// How long requests arrive.
    pub length: Duration,
    /// The time at the start that is excluded from the waiting and response times.
    pub warm_up: Duration,
    /// The delay of a message from one entry to another.
    pub message_delay: Duration,
    /// The requests.
    pub streams: Vec<Stream>,
    /// The faults.
    pub faults: Vec<PlannedFault>,
    /// When the last entry is replaced by a new one, if it is; the views change at that moment.
    pub entry_replaced_at: Option<Duration>,
}

impl Plan {
    /// Creates a plan of one entry and ten targets with eight slots each, for half a minute.
    pub fn new(seed: u64, streams: Vec<Stream>) -> Self {
        Self {
            seed,
            entries: 1,
            skew: 0.0,
            targets: 10,
            slots: 8,
            promised_slots: 64,
            length: Duration::from_secs(30),
            warm_up: Duration::from_secs(5),
            message_delay: Duration::from_micros(1_500),
            streams,
            faults: Vec::new(),
            entry_replaced_at: None,
        }
    }

    /// Returns the slots of all targets together.
    pub fn all_slots(&self) -> f64 {
        self.targets as f64 * f64::from(self.slots)
    }
}
