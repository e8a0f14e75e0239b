//! Shows who waits and who is refused at a site of the users' platform.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use borageswitch_http::client::Client;
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::Value;

use crate::ctl::error::CtlError;

/// Asks a daemon of the platform for the overview, as JSON.
pub(super) async fn ask(
    daemon: SocketAddr,
    timeout: Duration,
    ex: Arc<smol::Executor<'static>>,
) -> Result<String, CtlError> {
    let no_answer = |why: &str| CtlError::NoAnswer(format!("{daemon}: {why}"));
    let req = Request::get("/overload").header(http::header::HOST, daemon.to_string());
    let req = req.body(Full::new(Bytes::new())).expect("the request is fixed");
    let answer = Client::new(timeout, timeout, ex).call(daemon, req, timeout).await;
    let answer = answer.map_err(|_| no_answer("it did not answer in time"))?;
    match answer.status {
        StatusCode::OK => String::from_utf8(answer.body.to_vec())
            .map_err(|err| CtlError::BadAnswer(err.to_string())),
        StatusCode::SERVICE_UNAVAILABLE => Err(no_answer("nobody leads at the moment")),
        status => Err(CtlError::BadAnswer(status.to_string())),
    }
}

/// The overview as sentences.
pub(super) fn sentences(overview: &Value) -> Vec<String> {
    let part = |name: &str| overview[name].as_array().into_iter().flatten();
    let mut lines = Vec::new();
    for queue in part("queues") {
        lines.push(format!(
            "queue {}: a job waits {} ms, one beyond its caller's share {} ms",
            text(&queue["queue"]),
            queue["wait_ms"],
            queue["wait_beyond_ms"],
        ));
        let beyond: Vec<String> =
            queue["beyond"].as_array().into_iter().flatten().map(text).collect();
        if !beyond.is_empty() {
            lines.push(format!("  beyond their share: {}", beyond.join(", ")));
        }
    }
    lines.extend(
        part("waiting")
            .map(|waiting| format!("waiting: {} jobs of {}", waiting["jobs"], owner(waiting))),
    );
    lines.extend(part("refused").map(|refused| {
        format!(
            "refused: {} times {}, {}, last {} ms ago",
            refused["times"],
            owner(refused),
            text(&refused["reason"]),
            refused["last_ms_ago"],
        )
    }));
    lines.extend(part("manual_limits").map(|limit| {
        format!(
            "limited by hand: {} to {} jobs a second",
            text(&limit["subject"]),
            limit["jobs_per_s"]
        )
    }));
    for (name, caller) in overview["callers"].as_object().into_iter().flatten() {
        let mut facts = Vec::new();
        flatten("", caller, &mut facts);
        lines.push(format!("caller {name}: {}", facts.join(" ")));
    }
    if lines.is_empty() {
        lines.push("nobody waits, and nobody is refused".to_owned());
    }
    lines
}

fn owner(line: &Value) -> String {
    match &line["caller"] {
        Value::String(caller) => format!("queue {}, caller {caller}", text(&line["queue"])),
        _ => format!("queue {}", text(&line["queue"])),
    }
}

/// Writes nested fields as `used.cpu_milli=500`, so that fields of a newer daemon are shown as well.
fn flatten(prefix: &str, value: &Value, facts: &mut Vec<String>) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                let dot = if prefix.is_empty() { "" } else { "." };
                flatten(&format!("{prefix}{dot}{name}"), field, facts);
            }
        }
        value => facts.push(format!("{prefix}={}", text(value))),
    }
}

fn text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

#[cfg(test)]
mod tests;
