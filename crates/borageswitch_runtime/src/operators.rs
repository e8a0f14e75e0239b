//! Explanations and state dumps for operators, on any daemon.

use std::sync::Arc;

use borageswitch_scheduler::reducer::explain::Subject;
use borageswitch_types::names::QueueName;

use crate::{
    clock,
    daemon::Shared,
    peers::{PeerRequest, PeerResponse},
    ports::Platform,
};

/// Explains the state of a subject, one sentence per line. Gives `None` if no leader can be
/// reached.
pub async fn explain<P>(shared: &Arc<Shared<P>>, subject: Subject) -> Option<Vec<String>>
where
    P: Platform,
{
    match shared.send_to_leader(&PeerRequest::Explain(subject)).await {
        Some(PeerResponse::Explained(lines)) => Some(lines),
        _ => None,
    }
}

/// Who waits, who is refused and why, and which limits there are, as JSON. Gives `None` if no leader
/// can be reached.
pub async fn overload<P>(shared: &Arc<Shared<P>>) -> Option<String>
where
    P: Platform,
{
    match shared.send_to_leader(&PeerRequest::Overload).await {
        Some(PeerResponse::Dumped(text)) => Some(text),
        _ => None,
    }
}

/// The state of this process as JSON: what every daemon has, and the scheduler's state if it leads.
pub async fn dump<P>(shared: &Arc<Shared<P>>) -> serde_json::Value
where
    P: Platform,
{
    let scheduler: Option<serde_json::Value> = match shared.send_to_control(PeerRequest::Dump).await
    {
        Some(PeerResponse::Dumped(text)) => serde_json::from_str(&text).ok(),
        _ => None,
    };
    let leader = shared.leader();
    let token = leader.as_ref().map_or(0, |(_, token)| *token);
    let limits = shared.admission_limits.current(clock::time(), token).map(|known| {
        serde_json::json!({
            "age_ms": known.age.as_millis() as u64,
            "token": known.limits.token,
            "sequence": known.limits.sequence,
            "queues": known.limits.queues.keys().map(QueueName::as_str).collect::<Vec<_>>(),
        })
    });
    serde_json::json!({
        "name": &*shared.cfg.name,
        "ready": shared.is_ready(),
        "stopping": shared.is_stopping(),
        "store_away": shared.store_is_unavailable(),
        "config_version": shared.config().map(|config| config.version),
        "leader": leader.as_ref().map(|(record, _)| record.name.to_string()),
        "leader_token": leader.map(|(_, token)| token),
        "admission_limits": limits,
        "scheduler": scheduler,
    })
}
