//! What the daemon counts of its callers' requests and of its own control.

use std::time::Duration;

use borageswitch_types::{
    error::{ErrorKind, Ran},
    fleet::{Duty, Revision},
    names::ServiceName,
};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, Meter},
};

/// Bounds of the latency histogram in seconds: from what one hop adds to the longest deadline.
const LATENCY_BOUNDS: [f64; 16] = [
    0.000_25, 0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.4, 10.0, 60.0,
    300.0,
];

/// What is counted of callers' requests. Clones count together.
#[derive(Clone)]
pub struct TrafficInstruments {
    requests: Counter<u64>,
    latency: Histogram<f64>,
    queue_wait: Histogram<f64>,
    waiting: Gauge<u64>,
}

impl TrafficInstruments {
    /// Instruments of a meter.
    pub fn new(meter: &Meter) -> Self {
        let requests = meter
            .u64_counter("borageswitch_requests")
            .with_description("Ended requests by service, verdict and kind of error")
            .build();
        let latency = meter
            .f64_histogram("borageswitch_request_seconds")
            .with_description("Time from a request's head to the end of its answer, by service")
            .with_boundaries(LATENCY_BOUNDS.to_vec())
            .build();
        let queue_wait = meter
            .f64_histogram("borageswitch_queue_seconds")
            .with_description("Time that a request waited for a slot, by service")
            .with_boundaries(LATENCY_BOUNDS.to_vec())
            .build();
        let waiting = meter
            .u64_gauge("borageswitch_requests_waiting")
            .with_description("Requests that wait for a slot, by service")
            .build();
        Self { requests, latency, queue_wait, waiting }
    }

    /// A request has ended; `kind` is nothing when a target's answer was passed on.
    pub fn ended(
        &self,
        service: &ServiceName,
        ran: Ran,
        kind: Option<ErrorKind>,
        latency: Duration,
    ) {
        let service = service_label(service);
        let kind = kind.map_or_else(|| "none".to_owned(), |kind| kind.to_string());
        let labels =
            [service.clone(), KeyValue::new("ran", verdict(ran)), KeyValue::new("kind", kind)];
        self.requests.add(1, &labels);
        self.latency.record(latency.as_secs_f64(), &[service]);
    }

    /// A request has been given a slot after waiting.
    pub fn left_queue(&self, service: &ServiceName, waited: Duration) {
        self.queue_wait.record(waited.as_secs_f64(), &[service_label(service)]);
    }

    /// How many requests of a service wait at the moment.
    pub fn waiting(&self, service: &ServiceName, requests: u64) {
        self.waiting.record(requests, &[service_label(service)]);
    }
}

/// What is counted of the daemon's own control.
#[derive(Clone)]
pub struct ControlInstruments {
    known: Gauge<u64>,
    in_force: Gauge<u64>,
    duties: Gauge<u64>,
    events: Counter<u64>,
    handling: Histogram<f64>,
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
        let events = meter
            .u64_counter("borageswitch_control_events")
            .with_description("Events that the control thread has handled")
            .build();
        let handling = meter
            .f64_histogram("borageswitch_control_event_seconds")
            .with_description("Time that the control thread took for an event")
            .with_boundaries(LATENCY_BOUNDS.to_vec())
            .build();
        Self { known, in_force, duties, events, handling }
    }

    /// The daemon knows a revision.
    pub fn known(&self, revision: Revision) {
        self.known.record(revision.0, &[]);
    }

    /// Every traffic thread sends by a revision.
    pub fn in_force(&self, revision: Revision) {
        self.in_force.record(revision.0, &[]);
    }

    /// The daemon has taken a duty, or holds it no longer.
    pub fn duty(&self, duty: &Duty, held: bool) {
        self.duties.record(u64::from(held), &[KeyValue::new("duty", duty.to_string())]);
    }

    /// The control thread has handled an event.
    pub fn handled(&self, took: Duration) {
        self.events.add(1, &[]);
        self.handling.record(took.as_secs_f64(), &[]);
    }
}

fn service_label(service: &ServiceName) -> KeyValue {
    KeyValue::new("service", service.to_string())
}

fn verdict(ran: Ran) -> &'static str {
    match ran {
        Ran::No => "no",
        Ran::Yes => "yes",
        Ran::Unknown => "unknown",
    }
}
