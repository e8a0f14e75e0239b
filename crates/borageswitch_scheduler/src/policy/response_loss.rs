//! Detects that responses of working executors get lost, and how long to wait for them meanwhile.
//!
//! For some seconds, a few in a hundred calls to executors get no response. A job of a dozen tasks
//! then loses a start more often than not, and each executor loses a poll every few seconds. With
//! timeouts that allow for slow responses, half a second passes until a start is repeated, and the
//! ends of tasks go unnoticed for more than a second: their capacity is idle, and the next steps of
//! their jobs wait. While losses are confirmed, a call therefore waits only somewhat longer than
//! responses take, and polls are short.
//!
//! An executor that has crashed or is unreachable does not respond either, and shorter timeouts
//! would not help. A call counts as lost only once its executor has responded to a later one.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use borageswitch_types::{Time, names::ExecutorName};

use crate::policy::response_time::ResponseTime;

/// How long a confirmed loss counts.
const WINDOW: Duration = Duration::from_millis(2_000);
/// The number of confirmed losses within [`WINDOW`] from which timeouts are shortened. Single
/// losses occur whenever a connection breaks.
const MIN_LOSSES: usize = 3;
/// The losses must be of at least this many executors: one faulty executor is no reason to treat
/// all others differently.
const MIN_EXECUTORS: usize = 2;
/// The share of recent orders that must have got a response for timeouts to be shortened. Otherwise
/// responses are slow rather than lost, and with a short timeout none would arrive any more.
const MIN_ANSWERED: f64 = 0.5;
/// The weight of a new order in that share.
const ANSWERED_WEIGHT: f64 = 0.05;
/// The longest time between a call without a response and the response that confirms its loss.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(3_000);
/// The shortest timeout of an order. A busy leader handles a response some 20 ms late.
const MIN_TIMEOUT: Duration = Duration::from_millis(80);
/// The longest timeout of an order.
const MAX_TIMEOUT: Duration = Duration::from_millis(450);
/// How long an executor may hold the response to a poll. During a load peak, runs end on each
/// executor about as often, so the number of polls grows little.
const POLL_WAIT: Duration = Duration::from_millis(200);

/// How long calls wait while responses get lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallTimeouts {
    /// The timeout of an order, and of a poll beyond the time that it may be held.
    pub order: Duration,
    /// How long an executor may hold the response to a poll.
    pub poll_wait: Duration,
}

/// The recent losses of responses, and how long responses take.
#[derive(Clone, Debug)]
pub struct ResponseLoss {
    /// When the first call was sent that has had no response, by executor.
    unanswered: BTreeMap<ExecutorName, Time>,
    /// The confirmed losses, oldest first.
    losses: VecDeque<(Time, ExecutorName)>,
    order_time: ResponseTime,
    /// The share of recent orders that got a response.
    answered: f64,
}

impl Default for ResponseLoss {
    fn default() -> Self {
        Self {
            unanswered: BTreeMap::new(),
            losses: VecDeque::new(),
            order_time: ResponseTime::default(),
            answered: 1.0,
        }
    }
}

impl ResponseLoss {
    /// Records the response to a call that was sent at `sent`.
    pub fn record_response(&mut self, now: Time, executor: &ExecutorName, sent: Time) {
        let Some(since) = self.unanswered.get(executor).copied() else { return };
        if sent <= since {
            return;
        }
        self.unanswered.remove(executor);
        if now.since(since) <= CONFIRMATION_TIMEOUT {
            self.losses.push_back((now, executor.clone()));
        }
    }

    /// Records how long the response to an order took; `None` if it got none. Polls do not count,
    /// as they are held.
    pub fn record_order(&mut self, took: Option<Duration>) {
        let answered = if took.is_some() { 1.0 } else { 0.0 };
        self.answered += (answered - self.answered) * ANSWERED_WEIGHT;
        took.into_iter().for_each(|took| self.order_time.record(took));
    }

    /// Records that a call sent at `sent` got no response.
    pub fn record_timeout(&mut self, now: Time, executor: &ExecutorName, sent: Time) {
        self.unanswered.retain(|_, since| now.since(*since) <= CONFIRMATION_TIMEOUT);
        self.unanswered.entry(executor.clone()).or_insert(sent);
    }

    /// The timeouts to use now; `None` while no responses get lost.
    pub fn timeouts(&mut self, now: Time) -> Option<CallTimeouts> {
        while self.losses.front().is_some_and(|(at, _)| now.since(*at) > WINDOW) {
            self.losses.pop_front();
        }
        let too_few = self.losses.len() < MIN_LOSSES || self.executors() < MIN_EXECUTORS;
        if too_few || self.answered < MIN_ANSWERED {
            return None;
        }
        let order = self.order_time.timeout().clamp(MIN_TIMEOUT, MAX_TIMEOUT);
        Some(CallTimeouts { order, poll_wait: POLL_WAIT })
    }

    fn executors(&self) -> usize {
        let mut names: Vec<&ExecutorName> = self.losses.iter().map(|(_, name)| name).collect();
        names.sort();
        names.dedup();
        names.len()
    }
}

#[cfg(test)]
mod tests;
