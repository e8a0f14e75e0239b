//! What operators ask any daemon.

use std::sync::Arc;

use borageswitch_scheduler::reducer::explain::Subject;

use crate::{
    daemon::Shared,
    peers::{Answer, Question},
    ports::Platform,
};

/// Why something is as it is, a sentence a line. Nothing if nobody leads or can be reached.
pub async fn explain<P>(shared: &Arc<Shared<P>>, subject: Subject) -> Option<Vec<String>>
where
    P: Platform,
{
    match shared.ask(&Question::Explain(subject)).await {
        Some(Answer::Explained(lines)) => Some(lines),
        _ => None,
    }
}

/// The state of this process as JSON: what every daemon knows, and what it believes if it leads.
pub async fn dump<P>(shared: &Arc<Shared<P>>) -> serde_json::Value
where
    P: Platform,
{
    let scheduler: Option<serde_json::Value> = match shared.ask_own(Question::Dump).await {
        Some(Answer::Dumped(text)) => serde_json::from_str(&text).ok(),
        _ => None,
    };
    let leader = shared.leader();
    serde_json::json!({
        "name": &*shared.cfg.name,
        "ready": shared.is_ready(),
        "stopping": shared.is_stopping(),
        "store_away": shared.store_is_away(),
        "config_version": shared.config().map(|config| config.version),
        "leader": leader.as_ref().map(|(record, _)| record.name.to_string()),
        "leader_token": leader.map(|(_, token)| token),
        "scheduler": scheduler,
    })
}
