//! The metrics of a daemon.
//!
//! | name | labels | meaning |
//! |---|---|---|
//! | `borageswitch_requests` | `kind`, `outcome` | callers' requests by outcome |
//! | `borageswitch_request_seconds` | `kind` | duration of a caller's request |
//! | `borageswitch_calls` | `to`, `answer` | calls to the platform on the leader's behalf |
//! | `borageswitch_call_seconds` | `to` | duration of such a call |
//! | `borageswitch_decisions` | `kind` | the scheduler's decisions, as in the log |
//! | `borageswitch_control_seconds` | `part` | time of the control thread while it leads |
//! | `borageswitch_decision_seconds` | | duration of a decision with the messages that it covers |
//! | `borageswitch_waiting_messages` | | messages in the queue at the end of a decision |
//! | `borageswitch_orders` | `kind` | calls to executors that the scheduler has decided on |
//! | `borageswitch_executor_crashes` | `queue` | executors that crashed while tasks of the queue ran there |
//! | `borageswitch_tasks_given_up` | `queue` | tasks given up because executors crashed while running them |
//! | `borageswitch_unreadable` | `what` | values of other programs in the store that cannot be read |
//! | `borageswitch_refused_jobs` | `queue`, `reason` | jobs refused because of load, or by an operator's limit |
//! | `borageswitch_ignored_limits` | `reason` | admission limits received and ignored |
//! | `borageswitch_leading` | | 1 on the daemon that leads |
//! | `borageswitch_peer_bytes` | `direction` | bytes on connections between daemons |

use std::{fmt::Display, time::Duration};

use borageswitch_scheduler::{effect::CountedEvent, policy::admission::RefusalReason};
use borageswitch_types::names::QueueName;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, Meter},
};

use crate::admission_limits::IgnoreReason;

/// Bucket boundaries of the histograms, in seconds: from a response of the store to a call that
/// timed out.
const BOUNDS: [f64; 10] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5];

/// The counters, gauges and histograms of a daemon.
#[derive(Debug)]
pub struct Instruments {
    requests: Counter<u64>,
    request_seconds: Histogram<f64>,
    calls: Counter<u64>,
    call_seconds: Histogram<f64>,
    decisions: Counter<u64>,
    crashes: Counter<u64>,
    given_up: Counter<u64>,
    unreadable: Counter<u64>,
    refused_jobs: Counter<u64>,
    ignored_limits: Counter<u64>,
    leading: Gauge<u64>,
    control_seconds: Counter<f64>,
    decision_seconds: Histogram<f64>,
    waiting_messages: Gauge<u64>,
    orders: Counter<u64>,
}

impl Instruments {
    /// Creates the instruments.
    pub fn new(meter: &Meter) -> Self {
        let histogram =
            |name: &'static str| meter.f64_histogram(name).with_boundaries(BOUNDS.to_vec()).build();
        Self {
            requests: meter.u64_counter("borageswitch_requests").build(),
            request_seconds: histogram("borageswitch_request_seconds"),
            calls: meter.u64_counter("borageswitch_calls").build(),
            call_seconds: histogram("borageswitch_call_seconds"),
            decisions: meter.u64_counter("borageswitch_decisions").build(),
            crashes: meter.u64_counter("borageswitch_executor_crashes").build(),
            given_up: meter.u64_counter("borageswitch_tasks_given_up").build(),
            unreadable: meter.u64_counter("borageswitch_unreadable").build(),
            refused_jobs: meter.u64_counter("borageswitch_refused_jobs").build(),
            ignored_limits: meter.u64_counter("borageswitch_ignored_limits").build(),
            leading: meter.u64_gauge("borageswitch_leading").build(),
            control_seconds: meter.f64_counter("borageswitch_control_seconds").build(),
            decision_seconds: histogram("borageswitch_decision_seconds"),
            waiting_messages: meter.u64_gauge("borageswitch_waiting_messages").build(),
            orders: meter.u64_counter("borageswitch_orders").build(),
        }
    }

    /// Records a caller's request that has ended.
    pub fn record_request(&self, kind: &'static str, outcome: &'static str, took: Duration) {
        let kind = KeyValue::new("kind", kind);
        self.requests.add(1, &[kind.clone(), KeyValue::new("outcome", outcome)]);
        self.request_seconds.record(took.as_secs_f64(), &[kind]);
    }

    /// Records a call to the platform that has ended.
    pub fn record_call(&self, to: &'static str, answer: String, took: Duration) {
        let to = KeyValue::new("to", to);
        self.calls.add(1, &[to.clone(), KeyValue::new("answer", answer)]);
        self.call_seconds.record(took.as_secs_f64(), &[to]);
    }

    /// Counts a decision of the scheduler.
    pub fn count_decision(&self, kind: &'static str) {
        self.decisions.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts an incident that the scheduler reported.
    pub fn count_tally(&self, tally: &CountedEvent) {
        let (counter, queue) = match tally {
            CountedEvent::Crash(queue) => (&self.crashes, queue),
            CountedEvent::GivenUp(queue) => (&self.given_up, queue),
        };
        counter.add(1, &[KeyValue::new("queue", queue.to_string())]);
    }

    /// Counts a stored value of another program that cannot be read.
    pub fn count_unreadable(&self, what: &'static str) {
        self.unreadable.add(1, &[KeyValue::new("what", what)]);
    }

    /// Counts a job that was refused because of load, or by an operator's limit.
    pub fn count_refused_job(&self, queue: &QueueName, reason: RefusalReason) {
        let queue = KeyValue::new("queue", queue.to_string());
        self.refused_jobs.add(1, &[queue, KeyValue::new("reason", reason.to_string())]);
    }

    /// Counts admission limits that are ignored.
    pub fn count_ignored_limits(&self, reason: IgnoreReason) {
        self.ignored_limits.add(1, &[KeyValue::new("reason", reason.to_string())]);
    }

    /// Adds time of the control thread to a part of its work.
    pub fn record_control_time<T>(&self, part: T, took: Duration)
    where
        T: Display,
    {
        let part = KeyValue::new("part", part.to_string());
        self.control_seconds.add(took.as_secs_f64(), &[part]);
    }

    /// Records a decision of the control thread, and how many messages wait at its end.
    pub fn record_decision(&self, took: Duration, waiting: usize) {
        self.decision_seconds.record(took.as_secs_f64(), &[]);
        self.waiting_messages.record(waiting as u64, &[]);
    }

    /// Counts calls to executors that the scheduler has decided on.
    pub fn count_orders(&self, kind: &'static str, count: u64) {
        self.orders.add(count, &[KeyValue::new("kind", kind)]);
    }

    /// Sets whether this daemon leads.
    pub fn set_leading(&self, leads: bool) {
        self.leading.record(u64::from(leads), &[]);
    }
}
