//! Probes, metrics and state over HTTP.

mod support;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::Arc,
};

use async_channel::Receiver;
use borageswitch_control::Event;
use borageswitch_edge::{
    observe::{self, ControlInstruments, Metrics, Observe},
    operators::Operators,
    traffic::{Traffic, TrafficConfig},
};
use borageswitch_types::fleet::Revision;
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

/// A daemon that has seen no request shows its figures all the same: a missing line and a figure of
/// zero must not look alike.
#[test]
fn metrics_are_shown_as_text() {
    let f = fixture();
    let (events, _) = async_channel::unbounded();
    let (slots, _) = async_channel::unbounded();
    let cfg = TrafficConfig::builder(support::any_port()).build();
    let traffic = Traffic::start(cfg, events, slots).unwrap();
    observe::show_traffic(&f.metrics.meter(), &traffic);

    let refused = exchange(
        traffic.local_addr(),
        "GET /billing HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n".to_owned(),
    );
    let (status, text) = get(f.observe.local_addr(), "/metrics");
    traffic.shutdown();

    assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
    assert_eq!(status, 200);
    for line in [
        r#"borageswitch_requests_total{kind="none",ran="yes"} 0"#,
        r#"borageswitch_requests_total{kind="not-admitting",ran="no"} 1"#,
        "borageswitch_retries_total 0",
        "borageswitch_requests_unfinished 0",
    ] {
        assert!(text.lines().any(|shown| shown == line), "{line} is not in\n{text}");
    }
    assert!(text.contains(r#"borageswitch_request_seconds{of="whole",quantile="0.99"}"#), "{text}");
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

    ControlInstruments::new(&one.meter()).in_force(Revision(1));

    let shown: [Arc<str>; 2] = [one.text().unwrap().into(), two.text().unwrap().into()];
    assert!(shown[0].contains("borageswitch_revision_in_force 1"));
    assert!(!shown[1].contains("borageswitch_revision_in_force"));
}
