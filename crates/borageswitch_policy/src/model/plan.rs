//! What is played.

use std::time::Duration;

use crate::dispatch::Priority;

/// What decides at the entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum Engine {
    /// The product's dispatcher.
    Policy,
    /// The product's dispatcher with dealt slots alone: its messages about slots are dropped.
    PolicyWithoutLoans,
    /// One first-come queue at each entry over its dealt slots.
    FirstCome,
}

/// How long requests run on a healthy target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RunTime {
    /// Always the same.
    Constant(Duration),
    /// Exponentially distributed with this mean.
    Exponential(Duration),
}

/// What goes wrong with a target, for as long as the plan says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// It runs this many times as long.
    Slow(f64),
    /// It answers everything with a server error after a millisecond.
    FailsFast,
    /// It breaks every connection after a millisecond.
    Breaks,
    /// It refuses every connection at once.
    Refuses,
}

/// A fault of one target or all.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    /// Which target; all without one.
    pub target: Option<usize>,
    /// What goes wrong.
    pub fault: Fault,
    /// When it begins, from the start of the plan.
    pub from: Duration,
    /// When it ends.
    pub until: Duration,
}

/// Requests of one kind that arrive at random at a mean rate.
#[derive(Clone, Debug, PartialEq)]
pub struct Stream {
    /// Under which name the report counts them.
    pub group: &'static str,
    /// How many callers send them, each at an equal part of the rate.
    pub callers: u32,
    /// The callers' team and its weight.
    pub team: Option<(&'static str, u32)>,
    /// Requests a second, of all callers together.
    pub rate: f64,
    /// What the requests do.
    pub kind: u64,
    /// How long they run.
    pub run: RunTime,
    /// How long the callers wait.
    pub deadline: Duration,
    /// How urgent they are.
    pub priority: Priority,
    /// Whether a second try is harmless.
    pub retryable: bool,
    /// When the first may arrive.
    pub from: Duration,
    /// When no more arrive.
    pub until: Duration,
    /// When all callers go away at once.
    pub cancelled_at: Option<Duration>,
}

impl Stream {
    /// A stream of fifty callers for the whole plan: idempotent requests that run exponentially
    /// for `mean` and wait ten seconds.
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

/// A site and what happens to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// From which all chance follows.
    pub seed: u64,
    /// How many entries there are.
    pub entries: usize,
    /// How unevenly callers reach them: the n-th entry gets a part as `1 / n^skew`.
    pub skew: f64,
    /// How many targets there are.
    pub targets: usize,
    /// The slots of each.
    pub slots: u16,
    /// The slots that the availability budget promises.
    pub promised_slots: u32,
    /// How long requests arrive.
    pub length: Duration,
    /// What is left out of the waiting and response times: the start.
    pub warm_up: Duration,
    /// How long a message takes from one entry to another.
    pub message_delay: Duration,
    /// What arrives.
    pub streams: Vec<Stream>,
    /// What goes wrong.
    pub faults: Vec<PlannedFault>,
    /// When the last entry is replaced by a new one, if it is: the views change at that moment.
    pub entry_replaced_at: Option<Duration>,
}

impl Plan {
    /// One entry before ten targets with eight slots, for half a minute.
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

    /// The slots of all targets.
    pub fn all_slots(&self) -> f64 {
        self.targets as f64 * f64::from(self.slots)
    }
}
