//! Translates calls into the platform's HTTP requests.

use borageswitch_control::store::StoreRequest;
use borageswitch_http::client::WholeRequest;
use borageswitch_types::agent::AgentCommand;
use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;

/// The header with the version that a write expects.
const EXPECTED_HEADER: &str = "store-expected";
/// The header with the lease of a write.
const LEASE_HEADER: &str = "store-lease";

/// What a call to the store is counted as.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum CallKind {
    Get,
    List,
    Write,
    Delete,
    Watch,
    Lease,
}

impl CallKind {
    pub(super) fn name(self) -> &'static str {
        match self {
            CallKind::Get => "get",
            CallKind::List => "list",
            CallKind::Write => "write",
            CallKind::Delete => "delete",
            CallKind::Watch => "watch",
            CallKind::Lease => "lease",
        }
    }
}

/// What a call is counted as.
pub(super) fn kind(request: &StoreRequest) -> CallKind {
    match request {
        StoreRequest::Get { .. } => CallKind::Get,
        StoreRequest::List { .. } => CallKind::List,
        StoreRequest::CompareAndSwap { .. } => CallKind::Write,
        StoreRequest::Delete { .. } => CallKind::Delete,
        StoreRequest::Watch { .. } => CallKind::Watch,
        StoreRequest::GrantLease { .. }
        | StoreRequest::KeepAlive { .. }
        | StoreRequest::RevokeLease { .. } => CallKind::Lease,
    }
}

/// Whether a call changes nothing, so that it can be made twice.
pub(super) fn only_reads(request: &StoreRequest) -> bool {
    matches!(kind(request), CallKind::Get | CallKind::List | CallKind::Watch)
}

/// The HTTP request of a call to the store.
pub(super) fn store_request(request: &StoreRequest) -> WholeRequest {
    match request {
        StoreRequest::Get { key } => bare(Method::GET, format!("/v1/keys/{}", escape(key))),
        StoreRequest::List { prefix } => {
            bare(Method::GET, format!("/v1/keys?prefix={}", escape(prefix)))
        }
        StoreRequest::CompareAndSwap { key, expected, value, lease } => {
            let path = format!("/v1/keys/{}", escape(key));
            let mut req = new(Method::PUT, path, Bytes::copy_from_slice(value));
            req.headers_mut().insert(EXPECTED_HEADER, expected.0.into());
            if let Some(lease) = lease {
                req.headers_mut().insert(LEASE_HEADER, lease.0.into());
            }
            req
        }
        StoreRequest::Delete { key, expected } => {
            let mut req = bare(Method::DELETE, format!("/v1/keys/{}", escape(key)));
            req.headers_mut().insert(EXPECTED_HEADER, expected.0.into());
            req
        }
        StoreRequest::Watch { key, after, wait } => {
            let (key, after, wait) = (escape(key), after.0, wait.as_millis());
            bare(Method::GET, format!("/v1/watch/{key}?after={after}&wait_ms={wait}"))
        }
        StoreRequest::GrantLease { ttl } => {
            bare(Method::POST, format!("/v1/leases?ttl_ms={}", ttl.as_millis()))
        }
        StoreRequest::KeepAlive { lease } => bare(Method::PUT, format!("/v1/leases/{lease}")),
        StoreRequest::RevokeLease { lease } => bare(Method::DELETE, format!("/v1/leases/{lease}")),
    }
}

/// The HTTP request that reads the list of hosts.
pub(super) fn host_list() -> WholeRequest {
    bare(Method::GET, "/v1/hosts".to_owned())
}

/// The HTTP request of a command, or nothing if the command cannot be written as JSON.
pub(super) fn agent_command(command: &AgentCommand) -> Option<WholeRequest> {
    let body = serde_json::to_vec(command).ok()?;
    Some(new(Method::POST, "/v1/command".to_owned(), Bytes::from(body)))
}

fn bare(method: Method, path: String) -> WholeRequest {
    new(method, path, Bytes::new())
}

fn new(method: Method, path: String, body: Bytes) -> WholeRequest {
    let mut req = Request::new(Full::new(body));
    *req.method_mut() = method;
    *req.uri_mut() = path.parse().unwrap_or_else(|_| unreachable!("the path is escaped"));
    req.headers_mut().insert(http::header::HOST, http::HeaderValue::from_static("platform"));
    req
}

/// Keeps the characters that a path may have beside `/`, and writes the others as `%XX`.
fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for b in text.bytes() {
        match b {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' | b'/' => {
                escaped.push(char::from(b));
            }
            _ => escaped.push_str(&format!("%{b:02X}")),
        }
    }
    escaped
}
