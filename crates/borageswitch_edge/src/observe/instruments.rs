//! What the daemon counts of its callers' requests and of its own control.

use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use borageswitch_control::State;
use borageswitch_types::fleet::{Duty, Revision};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, Meter},
};

use crate::traffic::{Traffic, TrafficStats};

/// Bounds of the histogram of the control thread's events, in seconds: at the two-year size it
/// handles hundreds of thousands a second, and one that takes a second holds leases up.
const EVENT_BOUNDS: [f64; 10] =
    [0.000_003, 0.000_01, 0.000_03, 0.000_1, 0.000_3, 0.001, 0.01, 0.05, 0.2, 1.0];
/// The quantiles that are shown of latencies.
const QUANTILES: [(&str, f64); 4] = [("0.5", 0.5), ("0.9", 0.9), ("0.99", 0.99), ("1", 1.0)];
const MICROS_A_SECOND: f64 = 1e6;

/// Shows what the traffic threads count. They count by themselves, and their figures are read when
/// somebody looks: a request pays nothing for being counted here.
pub fn show_traffic(meter: &Meter, traffic: &Traffic) {
    show_requests(meter, traffic.clone());
    show_latencies(meter, traffic.clone());
    let show = Figures { meter, traffic };
    show.gauge(
        "borageswitch_requests_unfinished",
        "Requests that wait or are in flight",
        |stats| stats.unfinished,
    );
    show.gauge("borageswitch_caller_connections", "Open connections from callers", |stats| {
        stats.open_connections
    });
    show.counter("borageswitch_retries", "Tries beyond the first", |stats| stats.retries);
    show.counter(
        "borageswitch_refused_connections",
        "Connections from callers beyond the limit",
        |stats| stats.refused_connections,
    );
    show.counter("borageswitch_target_connections", "Connections opened to targets", |stats| {
        stats.target_connections_opened
    });
    show.counter(
        "borageswitch_silent_connections",
        "Connections to targets given up as silent",
        |stats| stats.target_connections_silent,
    );
}

/// Shows single figures of the traffic threads.
struct Figures<'a> {
    meter: &'a Meter,
    traffic: &'a Traffic,
}

impl Figures<'_> {
    fn gauge(&self, name: &'static str, about: &'static str, read: fn(&TrafficStats) -> u64) {
        let traffic = self.traffic.clone();
        let gauge = self.meter.u64_observable_gauge(name).with_description(about);
        gauge.with_callback(move |shown| shown.observe(read(&traffic.counters()), &[])).build();
    }

    fn counter(&self, name: &'static str, about: &'static str, read: fn(&TrafficStats) -> u64) {
        let traffic = self.traffic.clone();
        let counter = self.meter.u64_observable_counter(name).with_description(about);
        counter.with_callback(move |shown| shown.observe(read(&traffic.counters()), &[])).build();
    }
}

fn show_requests(meter: &Meter, traffic: Traffic) {
    let counter = meter
        .u64_observable_counter("borageswitch_requests")
        .with_description("Ended requests by kind of error and the verdict that goes with it");
    let callback = move |shown: &dyn opentelemetry::metrics::AsyncInstrument<u64>| {
        let stats = traffic.counters();
        let labels =
            |kind: String, ran: String| [KeyValue::new("kind", kind), KeyValue::new("ran", ran)];
        shown.observe(stats.answered, &labels("none".to_owned(), "yes".to_owned()));
        for (kind, count) in stats.errors {
            shown.observe(count, &labels(kind.to_string(), kind.answer().ran.to_string()));
        }
    };
    counter.with_callback(callback).build();
}

fn show_latencies(meter: &Meter, traffic: Traffic) {
    let gauge = meter
        .f64_observable_gauge("borageswitch_request_seconds")
        .with_description("Quantiles since the start: whole requests, and their wait for a slot");
    let callback = move |shown: &dyn opentelemetry::metrics::AsyncInstrument<f64>| {
        let stats = traffic.counters();
        for (of, histogram) in [("whole", &stats.latency_micros), ("wait", &stats.wait_micros)] {
            for (label, quantile) in QUANTILES {
                let seconds = histogram.value_at_quantile(quantile) as f64 / MICROS_A_SECOND;
                let labels = [KeyValue::new("of", of), KeyValue::new("quantile", label)];
                shown.observe(seconds, &labels);
            }
        }
    };
    gauge.with_callback(callback).build();
}

#[derive(Debug, Default)]
struct Shown {
    duties: Vec<Duty>,
    store_calls: BTreeMap<&'static str, u64>,
}

/// What is counted of the daemon's own control.
pub struct ControlInstruments {
    known: Gauge<u64>,
    in_force: Gauge<u64>,
    duties: Gauge<u64>,
    store_calls: Counter<u64>,
    events: Counter<u64>,
    handling: Histogram<f64>,
    shown: Mutex<Shown>,
}

impl ControlInstruments {
    /// Instruments of a meter.
    pub fn new(meter: &Meter) -> Self {
        let known = meter
            .u64_gauge("borageswitch_revision_known")
            .with_description("The highest revision that the daemon knows")
            .build();
        let in_force = meter
            .u64_gauge("borageswitch_revision_in_force")
            .with_description("The revision by which every traffic thread of the daemon sends")
            .build();
        let duties = meter
            .u64_gauge("borageswitch_duty_held")
            .with_description("Whether the daemon holds a duty")
            .build();
        let store_calls = meter
            .u64_counter("borageswitch_store_calls")
            .with_description("Calls to the store by what they were made for")
            .build();
        let events = meter
            .u64_counter("borageswitch_control_events")
            .with_description("Events that the control thread has handled")
            .build();
        let handling = meter
            .f64_histogram("borageswitch_control_event_seconds")
            .with_description("Time that the control thread took for an event")
            .with_boundaries(EVENT_BOUNDS.to_vec())
            .build();
        Self { known, in_force, duties, store_calls, events, handling, shown: Mutex::default() }
    }

    /// The control thread has handled an event.
    pub fn handled(&self, took: Duration) {
        self.events.add(1, &[]);
        self.handling.record(took.as_secs_f64(), &[]);
    }

    /// Every traffic thread sends by a revision.
    pub fn in_force(&self, revision: Revision) {
        self.in_force.record(revision.0, &[]);
    }

    /// Shows what the control state is at the moment.
    pub fn note(&self, state: &State) {
        let known = state.fleet().map_or(0, |fleet| fleet.revision.0);
        self.known.record(known, &[]);
        self.note_duties(state.duties());
        self.note_store_calls(state.store_call_counts());
    }

    /// Shows the duties that are held, and for those that no longer are, that they are not.
    pub(crate) fn note_duties(&self, held: Vec<Duty>) {
        let mut shown = self.shown.lock().unwrap_or_else(PoisonError::into_inner);
        if shown.duties == held {
            return;
        }
        for duty in shown.duties.iter().chain(&held) {
            let label = [KeyValue::new("duty", duty.to_string())];
            self.duties.record(u64::from(held.contains(duty)), &label);
        }
        shown.duties = held;
    }

    /// Adds the calls that have been made since the last time.
    pub(crate) fn note_store_calls(&self, counts: &BTreeMap<&'static str, u64>) {
        let mut shown = self.shown.lock().unwrap_or_else(PoisonError::into_inner);
        for (purpose, count) in counts {
            let before = shown.store_calls.insert(purpose, *count).unwrap_or(0);
            debug_assert!(*count >= before, "fewer calls for {purpose} than before");
            let label = [KeyValue::new("purpose", *purpose)];
            self.store_calls.add(count.saturating_sub(before), &label);
        }
    }
}
