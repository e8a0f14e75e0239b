//! Accounts for the time of the control thread.
//!
//! A leader that falls behind shows it first in late starts, for which there are many causes. The
//! account tells them apart: which part of a decision takes the time, whether messages wait, and how
//! many calls each second the decisions lead to.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use borageswitch_scheduler::{effect::Effect, reducer::DecisionPart};

use crate::instruments::Instruments;

/// The interval between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Below this many microseconds of work per interval, nothing is logged.
const MIN_LOGGED_MICROS: u64 = 50_000;

/// What the control thread spends its time on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub(super) enum Part {
    /// Messages: events and requests.
    #[display("messages")]
    Messages,
    /// A part of a decision.
    #[display("{_0}")]
    Decision(DecisionPart),
    /// Handing effects to the traffic thread, and log lines.
    #[display("dispatch")]
    Dispatch,
}

/// The account of the current interval.
#[derive(Debug)]
pub(super) struct LoadAccount {
    instruments: Arc<Instruments>,
    since: Instant,
    /// When the last part ended.
    mark: Instant,
    micros: BTreeMap<Part, u64>,
    decisions: u64,
    messages: u64,
    starts: u64,
    /// Polls that wait for the end of a run, and others.
    polls: u64,
    immediate_polls: u64,
    /// The most messages that waited at the end of a decision.
    most_waiting: usize,
    longest: Duration,
}

impl LoadAccount {
    pub(super) fn new(instruments: Arc<Instruments>) -> Self {
        let now = Instant::now();
        Self {
            instruments,
            since: now,
            mark: now,
            micros: BTreeMap::new(),
            decisions: 0,
            messages: 0,
            starts: 0,
            polls: 0,
            immediate_polls: 0,
            most_waiting: 0,
            longest: Duration::ZERO,
        }
    }

    /// Begins to measure a batch of messages and the decision on it.
    pub(super) fn begin(&mut self) {
        self.mark = Instant::now();
    }

    /// Charges the time since the last mark to a part.
    pub(super) fn charge(&mut self, part: Part) {
        let now = Instant::now();
        let took = now - self.mark;
        self.mark = now;
        *self.micros.entry(part).or_default() += took.as_micros() as u64;
    }

    /// Counts the calls that effects lead to.
    pub(super) fn count_effect(&mut self, effect: &Effect) {
        match effect {
            Effect::Start(..) => self.starts += 1,
            Effect::Poll(_, order) if order.wait.is_zero() => self.immediate_polls += 1,
            Effect::Poll(..) => self.polls += 1,
            _ => {}
        }
    }

    /// Ends a decision that covered `batched` messages, with `waiting` more in the queue.
    pub(super) fn end(&mut self, took: Duration, batched: usize, waiting: usize) {
        self.decisions += 1;
        self.messages += batched as u64;
        self.most_waiting = self.most_waiting.max(waiting);
        self.longest = self.longest.max(took);
        self.instruments.record_decision(took, waiting);
        if self.since.elapsed() >= LOG_INTERVAL {
            self.record();
            self.log();
            let instruments = self.instruments.clone();
            *self = Self::new(instruments);
        }
    }

    fn record(&self) {
        for (part, micros) in &self.micros {
            self.instruments.record_control_time(part, Duration::from_micros(*micros));
        }
        self.instruments.count_orders("start", self.starts);
        self.instruments.count_orders("poll", self.polls);
        self.instruments.count_orders("immediate poll", self.immediate_polls);
    }

    fn log(&self) {
        let total: u64 = self.micros.values().sum();
        if total < MIN_LOGGED_MICROS {
            return;
        }
        let parts: Vec<String> =
            self.micros.iter().map(|(part, micros)| format!("{part}={}", micros / 1_000)).collect();
        let parts = parts.join(" ");
        log::info!(
            over_ms = self.since.elapsed().as_millis() as u64, busy_ms = total / 1_000,
            parts_ms = parts.as_str(), decisions = self.decisions, messages = self.messages,
            most_waiting = self.most_waiting, longest_ms = self.longest.as_millis() as u64,
            starts = self.starts, polls = self.polls, immediate_polls = self.immediate_polls;
            "leader-load"
        );
    }
}
