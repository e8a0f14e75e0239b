//! Probes, metrics and state over HTTP.

mod support;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    time::Duration,
};

use async_channel::Receiver;
use borageswitch_control::Event;
use borageswitch_edge::{
    observe::{ControlInstruments, Metrics, Observe, TrafficInstruments},
    operators::Operators,
};
use borageswitch_types::{
    error::{ErrorKind, Ran},
    fleet::{Duty, Revision},
    names::ServiceName,
};
use borageswitch_wire::operator::{OperatorAnswer, OperatorRequest};

use crate::support::Runner;

struct Fixture {
    observe: Observe,
    operators: Operators,
    events: Receiver<Event>,
    metrics: Metrics,
    _runner: Runner,
}

fn fixture() -> Fixture {
    let runner = Runner::start();
    let (tx, events) = async_channel::unbounded();
    let metrics = Metrics::new().unwrap();
    let operators = Operators::start(support::any_port(), tx, runner.ex.clone()).unwrap();
    let observe =
        Observe::start(support::any_port(), metrics.clone(), &operators, runner.ex.clone());
    Fixture { observe: observe.unwrap(), operators, events, metrics, _runner: runner }
}

/// The status and body of an answer.
fn get(from: SocketAddr, path: &str) -> (u16, String) {
    let answer =
        exchange(from, format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"));
    let (head, body) = answer.split_once("\r\n\r\n").unwrap();
    (head.split(' ').nth(1).unwrap().parse().unwrap(), body.to_owned())
}

fn exchange(with: SocketAddr, req: String) -> String {
    let mut stream = TcpStream::connect(with).unwrap();
    stream.set_read_timeout(Some(support::LIVENESS)).unwrap();
    stream.write_all(req.as_bytes()).unwrap();
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    answer
}

#[test]
fn readiness_follows_the_reducer_and_liveness_does_not() {
    let f = fixture();
    let at = f.observe.local_addr();

    let before = get(at, "/ready").0;
    f.observe.set_ready(true);
    let ready = get(at, "/ready").0;
    f.observe.set_ready(false);
    let after = get(at, "/ready").0;

    assert_eq!((before, ready, after), (503, 200, 503));
    assert_eq!(get(at, "/live").0, 200);
}

#[test]
fn a_dump_is_asked_of_the_reducer() {
    let f = fixture();
    let at = f.observe.local_addr();

    let asking = std::thread::spawn(move || get(at, "/dump"));
    let call = support::next_event(&f.events, |event| match event {
        Event::Operator { call, request: OperatorRequest::Dump } => Some(call),
        _ => None,
    });
    f.operators.answer(call, OperatorAnswer::Json(r#"{"revision":1}"#.to_owned()));

    assert_eq!(asking.join().unwrap(), (200, r#"{"revision":1}"#.to_owned()));
}

#[test]
fn metrics_are_shown_as_text() {
    let f = fixture();
    let traffic = TrafficInstruments::new(&f.metrics.meter());
    let control = ControlInstruments::new(&f.metrics.meter());
    let billing = ServiceName::from("billing");

    traffic.ended(&billing, Ran::Yes, None, Duration::from_millis(3));
    traffic.ended(&billing, Ran::No, Some(ErrorKind::QueueFull), Duration::ZERO);
    traffic.left_queue(&billing, Duration::from_millis(1));
    traffic.waiting(&billing, 12);
    control.known(Revision(9));
    control.in_force(Revision(8));
    control.duty(&Duty::Planner, true);
    control.handled(Duration::from_micros(40));
    let (status, text) = get(f.observe.local_addr(), "/metrics");

    assert_eq!(status, 200);
    for line in [
        r#"borageswitch_requests_total{kind="none",ran="yes",service="billing"} 1"#,
        r#"borageswitch_requests_total{kind="queue-full",ran="no",service="billing"} 1"#,
        r#"borageswitch_request_seconds_bucket{service="billing",le="0.005"} 2"#,
        r#"borageswitch_queue_seconds_count{service="billing"} 1"#,
        r#"borageswitch_requests_waiting{service="billing"} 12"#,
        "borageswitch_revision_known 9",
        "borageswitch_revision_in_force 8",
        r#"borageswitch_duty_held{duty="planner"} 1"#,
        "borageswitch_control_events_total 1",
    ] {
        assert!(text.lines().any(|shown| shown == line), "{line} is not in\n{text}");
    }
}

#[test]
fn other_calls_are_refused() {
    let f = fixture();
    let at = f.observe.local_addr();

    let post = exchange(at, "POST /ready HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n".into());

    assert!(post.starts_with("HTTP/1.1 405"), "{post}");
    assert_eq!(get(at, "/billing").0, 404);
}

/// A head without end comes to the port. It is refused at a bound, not gathered.
#[test]
fn a_head_without_end_is_refused() {
    let f = fixture();
    let head = format!("GET /live HTTP/1.1\r\nx: {}", "x".repeat(64 << 10));

    let answer = exchange(f.observe.local_addr(), head);

    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(get(f.observe.local_addr(), "/live").0, 200);
}

/// Two daemons run in one process. Each shows its own figures, or a test of several daemons could
/// tell nothing.
#[test]
fn two_daemons_count_apart() {
    let (one, two) = (Metrics::new().unwrap(), Metrics::new().unwrap());

    ControlInstruments::new(&one.meter()).known(Revision(1));

    let shown: [Arc<str>; 2] = [one.text().unwrap().into(), two.text().unwrap().into()];
    assert!(shown[0].contains("borageswitch_revision_known 1"));
    assert!(!shown[1].contains("borageswitch_revision_known"));
}
