//! Translates the platform's HTTP answers.

use std::{sync::Arc, time::Duration};

use borageswitch_control::{
    event::ListedHost,
    store::{KeyValue, LeaseId, StoreError, StoreRequest, StoreResponse, Version},
};
use borageswitch_http::client::HttpResponse;
use borageswitch_types::agent::{AgentError, AgentStatus};
use http::StatusCode;

use crate::platform::requests;

/// The header with the version of a value.
const VERSION_HEADER: &str = "store-version";

#[derive(serde::Deserialize)]
struct ListedValue {
    key: Arc<str>,
    version: u64,
    value: String,
}

#[derive(serde::Deserialize)]
struct GrantedLease {
    lease: u64,
    ttl_ms: u64,
}

/// What the store said of a call.
///
/// # Errors
///
/// [`StoreError::Refused`] for a status by which the store says that it did not carry the call
/// out. An answer that cannot be understood counts as lost: a write may have taken effect.
pub(super) fn store_answer(
    request: &StoreRequest,
    answer: &HttpResponse,
) -> Result<StoreResponse, StoreError> {
    match answer.status {
        StatusCode::OK => ok_answer(request, answer).ok_or(StoreError::AnswerLost),
        StatusCode::NO_CONTENT | StatusCode::NOT_FOUND if requests::only_reads(request) => {
            Ok(StoreResponse::Value(None))
        }
        StatusCode::CONFLICT => Ok(StoreResponse::Conflict),
        StatusCode::GONE => Ok(StoreResponse::LeaseLost),
        status if status.is_client_error() => Err(StoreError::Refused),
        _ => Err(StoreError::AnswerLost),
    }
}

fn ok_answer(request: &StoreRequest, answer: &HttpResponse) -> Option<StoreResponse> {
    match request {
        StoreRequest::Get { key } | StoreRequest::Watch { key, .. } => {
            let value = Arc::from(&answer.body[..]);
            let kv = KeyValue { key: key.clone(), version: version(answer)?, value };
            Some(StoreResponse::Value(Some(kv)))
        }
        StoreRequest::List { .. } => Some(StoreResponse::Values(listed_values(answer)?)),
        StoreRequest::CompareAndSwap { .. } => {
            Some(StoreResponse::Written { version: version(answer)? })
        }
        StoreRequest::GrantLease { .. } | StoreRequest::KeepAlive { .. } => {
            let granted: GrantedLease = serde_json::from_slice(&answer.body).ok()?;
            let ttl = Duration::from_millis(granted.ttl_ms);
            Some(StoreResponse::Lease { lease: LeaseId(granted.lease), ttl })
        }
        StoreRequest::Delete { .. } | StoreRequest::RevokeLease { .. } => Some(StoreResponse::Done),
    }
}

fn listed_values(answer: &HttpResponse) -> Option<Vec<KeyValue>> {
    let listed: Vec<ListedValue> = serde_json::from_slice(&answer.body).ok()?;
    let values = listed.into_iter().map(|value| KeyValue {
        key: value.key,
        version: Version(value.version),
        value: Arc::from(value.value.into_bytes()),
    });
    Some(values.collect())
}

fn version(answer: &HttpResponse) -> Option<Version> {
    answer.headers.get(VERSION_HEADER)?.to_str().ok()?.parse().ok().map(Version)
}

/// What a host's agent said.
pub(super) fn agent_status(answer: &HttpResponse) -> Result<AgentStatus, AgentError> {
    match answer.status {
        StatusCode::OK => serde_json::from_slice(&answer.body).map_err(|_| AgentError::Silent),
        status if status.is_client_error() => Err(AgentError::Refused),
        _ => Err(AgentError::Silent),
    }
}

/// The list of hosts, or nothing if the answer is none.
pub(super) fn host_list(answer: &HttpResponse) -> Option<Vec<ListedHost>> {
    if answer.status != StatusCode::OK {
        return None;
    }
    serde_json::from_slice(&answer.body).ok()
}
