//! What operators see of an overload: who waits, who is refused and why, and which limits there are.

use std::collections::BTreeMap;

use borageswitch_scheduler::{
    policy::admission::{AdmissionQuery, RefusalReason},
    reducer::view::JobStatus,
};
use borageswitch_types::{
    Time,
    names::{CallerName, QueueName},
};
use serde_json::{Value, json};

use super::LeaderState;
use crate::clock;

/// The most lines of each kind: the largest are the ones that an operator can act on.
const MAX_LINES: usize = 32;
/// The most kinds of refusals that are counted. Further ones replace those that were last seen
/// longest ago.
const MAX_REFUSALS: usize = 1_024;

type RefusalKey = (QueueName, Option<CallerName>, RefusalReason);

/// How often jobs were refused in this term, by queue, caller and reason.
#[derive(Debug, Default)]
pub(super) struct Refusals(BTreeMap<RefusalKey, (u64, Time)>);

impl Refusals {
    pub(super) fn count(&mut self, now: Time, query: &AdmissionQuery, reason: RefusalReason) {
        let key = (query.queue.clone(), query.caller.clone(), reason);
        if self.0.len() >= MAX_REFUSALS && !self.0.contains_key(&key) {
            let oldest = self.0.iter().min_by_key(|(_, (_, last))| *last);
            let oldest = oldest.map(|(key, _)| key.clone());
            oldest.map(|key| self.0.remove(&key));
        }
        let (count, last) = self.0.entry(key).or_default();
        *count += 1;
        *last = now;
    }

    fn to_json(&self, now: Time) -> Value {
        let mut largest: Vec<_> = self.0.iter().collect();
        largest.sort_by_key(|(_, (count, _))| std::cmp::Reverse(*count));
        let lines = largest.into_iter().take(MAX_LINES).map(|((queue, caller, reason), seen)| {
            json!({
                "queue": queue.as_str(),
                "caller": caller.as_ref().map(CallerName::as_str),
                "reason": reason.to_string(),
                "times": seen.0,
                "last_ms_ago": clock::millis(now.since(seen.1)),
            })
        });
        Value::Array(lines.collect())
    }
}

/// The overview as JSON.
pub(super) fn overview(leading: &mut LeaderState) -> Value {
    let now = clock::now();
    let limits = leading.scheduler.admission_limits(now, leading.token);
    let queues = limits.iter().flat_map(|limits| &limits.queues).map(|(queue, limit)| {
        json!({
            "queue": queue.as_str(),
            "wait_ms": clock::millis(limit.wait),
            "wait_beyond_ms": clock::millis(limit.wait_beyond),
            "beyond": limit.beyond.iter().map(CallerName::as_str).collect::<Vec<_>>(),
        })
    });
    let queues: Vec<Value> = queues.collect();
    let manual = leading.manual_limits.iter().map(
        |(subject, per_second)| json!({ "subject": subject.to_string(), "jobs_per_s": per_second }),
    );
    json!({
        "queues": queues,
        "waiting": waiting(leading),
        "refused": leading.refusals.to_json(now.time),
        "manual_limits": manual.collect::<Vec<_>>(),
        "callers": callers(leading),
    })
}

/// The queues and callers with the most jobs that wait for their first start.
fn waiting(leading: &LeaderState) -> Value {
    let mut waiting: BTreeMap<(&QueueName, Option<&CallerName>), usize> = BTreeMap::new();
    for (name, job) in &leading.scheduler.ledger().jobs {
        let queue = &job.submission.queue.name;
        if leading.scheduler.status(queue, name) == Some(JobStatus::Queued) {
            *waiting.entry((queue, job.submission.caller.as_ref())).or_default() += 1;
        }
    }
    let mut largest: Vec<_> = waiting.into_iter().collect();
    largest.sort_by_key(|(_, jobs)| std::cmp::Reverse(*jobs));
    let lines = largest.into_iter().take(MAX_LINES).map(|((queue, caller), jobs)| {
        json!({
            "queue": queue.as_str(), "caller": caller.map(CallerName::as_str), "jobs": jobs,
        })
    });
    Value::Array(lines.collect())
}

/// The callers that use the most, as in the state dump.
fn callers(leading: &LeaderState) -> Value {
    let dump = leading.scheduler.dump(clock::now());
    let mut largest: Vec<_> = dump.callers.into_iter().collect();
    largest.sort_by_key(|(_, caller)| std::cmp::Reverse(caller.used.cpu_milli));
    largest.truncate(MAX_LINES);
    let shown = largest
        .into_iter()
        .map(|(name, caller)| (name.to_string(), serde_json::to_value(caller).unwrap_or_default()));
    Value::Object(shown.collect())
}
