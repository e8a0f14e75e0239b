//! What the head of a request says, and the heads that go on to targets and callers.

use std::{hash::Hasher, str::FromStr, time::Duration};

use borageswitch_policy::dispatch::Priority;
use borageswitch_types::{
    ErrorKind,
    error::{
        CALLER_HEADER, DEADLINE_HEADER, IDEMPOTENT_HEADER, PRIORITY_HEADER, REQUEST_ID_HEADER,
        SERVICE_HEADER,
    },
    names::{CallerName, MAX_NAME_LEN},
};
use http::{HeaderMap, HeaderName, Method, Uri, header, request::Parts};
use rustc_hash::FxHasher;

/// The longest request id: claims are kept for minutes and must stay small.
const MAX_REQUEST_ID: usize = 128;
/// How many parts of the path tell kinds of requests apart: further parts are mostly ids.
const KIND_PATH_PARTS: usize = 2;
/// Longer deadlines are read as this; the service's own limit is shorter anyway.
const MAX_DEADLINE_MS: u64 = 86_400_000;

/// What the head of a request says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RequestHead {
    pub(super) caller: Option<CallerName>,
    pub(super) priority: Priority,
    pub(super) deadline: Option<Duration>,
    /// What the caller says of it; without a word the method decides.
    pub(super) idempotent: Option<bool>,
    pub(super) request_id: Option<String>,
    pub(super) content_length: Option<u64>,
    pub(super) kind: u64,
}

impl RequestHead {
    /// Reads the head.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadRequest`] if a header of ours or the length is malformed or given twice, or
    /// if the method is one that a target cannot serve.
    pub(super) fn read(parts: &Parts) -> Result<Self, ErrorKind> {
        let headers = &parts.headers;
        if parts.method == Method::CONNECT {
            return Err(ErrorKind::BadRequest);
        }
        Ok(Self {
            caller: one(headers, CALLER_HEADER)?.map(read_name).transpose()?,
            priority: one(headers, PRIORITY_HEADER)?.map_or(Ok(Priority::Normal), read_priority)?,
            deadline: one(headers, DEADLINE_HEADER)?.map(read_deadline).transpose()?,
            idempotent: one(headers, IDEMPOTENT_HEADER)?.map(read_yes_no).transpose()?,
            request_id: one(headers, REQUEST_ID_HEADER)?.map(read_request_id).transpose()?,
            content_length: read_content_length(headers)?,
            kind: kind_of(&parts.method, parts.uri.path()),
        })
    }
}

/// The name of the service: from its header, or else the first part of the path.
///
/// # Errors
///
/// [`ErrorKind::BadRequest`] if the header is malformed or given twice.
pub(super) fn service_name(parts: &Parts) -> Result<&str, ErrorKind> {
    if let Some(name) = one(&parts.headers, SERVICE_HEADER)? {
        return Ok(name);
    }
    let path = parts.uri.path();
    Ok(path.split('/').nth(1).unwrap_or_default())
}

/// Whether RFC 9110 calls the method idempotent.
pub(super) fn is_idempotent(method: &Method) -> bool {
    method.is_idempotent()
}

/// The target's form of a request's address: without scheme and authority.
pub(super) fn origin_form(uri: &Uri) -> Uri {
    uri.path_and_query().map_or_else(|| Uri::from_static("/"), |path| Uri::from(path.clone()))
}

/// Removes headers that concern one connection only, and the lengths, which are written anew.
pub(super) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    if headers.contains_key(header::CONNECTION) {
        for name in named_by_connection(headers) {
            headers.remove(name);
        }
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(header::CONNECTION).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let names = texts.flat_map(|text| text.split(','));
    names.filter_map(|name| HeaderName::from_str(name.trim()).ok()).collect()
}

fn one<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, ErrorKind> {
    let mut values = headers.get_all(HeaderName::from_static(name)).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(ErrorKind::BadRequest);
    }
    value.to_str().map(Some).map_err(|_| ErrorKind::BadRequest)
}

fn read_name(text: &str) -> Result<CallerName, ErrorKind> {
    CallerName::from_str(text).map_err(|_| ErrorKind::BadRequest)
}

fn read_priority(text: &str) -> Result<Priority, ErrorKind> {
    match text {
        "urgent" => Ok(Priority::Urgent),
        "normal" => Ok(Priority::Normal),
        "batch" => Ok(Priority::Batch),
        _ => Err(ErrorKind::BadRequest),
    }
}

fn read_deadline(text: &str) -> Result<Duration, ErrorKind> {
    let ms: u64 = read_digits(text)?;
    Ok(Duration::from_millis(ms.min(MAX_DEADLINE_MS)))
}

fn read_yes_no(text: &str) -> Result<bool, ErrorKind> {
    match text {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err(ErrorKind::BadRequest),
    }
}

fn read_request_id(text: &str) -> Result<String, ErrorKind> {
    let printable = text.bytes().all(|b| b.is_ascii_graphic());
    if text.is_empty() || text.len() > MAX_REQUEST_ID || !printable {
        return Err(ErrorKind::BadRequest);
    }
    const { assert!(MAX_REQUEST_ID + MAX_NAME_LEN < 256, "a claim joins caller and id") }
    Ok(text.to_owned())
}

/// The library has refused differing lengths and taken away a length beside chunks, so that a body
/// cannot be cut at two places.
fn read_content_length(headers: &HeaderMap) -> Result<Option<u64>, ErrorKind> {
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    let Some(length) = lengths.next() else { return Ok(None) };
    if lengths.next().is_some() {
        return Err(ErrorKind::BadRequest);
    }
    read_digits(length.to_str().map_err(|_| ErrorKind::BadRequest)?).map(Some)
}

fn read_digits(text: &str) -> Result<u64, ErrorKind> {
    // Parsing alone would accept a leading sign.
    if !text.bytes().all(|b| b.is_ascii_digit()) {
        return Err(ErrorKind::BadRequest);
    }
    text.parse().map_err(|_| ErrorKind::BadRequest)
}

fn kind_of(method: &Method, path: &str) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(method.as_str().as_bytes());
    for part in path.split('/').skip(1).take(KIND_PATH_PARTS) {
        hasher.write(part.as_bytes());
        hasher.write_u8(b'/');
    }
    hasher.finish()
}
