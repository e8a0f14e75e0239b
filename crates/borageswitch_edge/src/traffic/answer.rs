//! Answers of our own, made from the table of error kinds.

use std::time::Duration;

use borageswitch_types::{
    ErrorKind,
    error::{ERROR_HEADER, Ran, RetryAdvice, VERDICT_HEADER},
};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header};

use super::answer_body::AnswerBody;

/// The error answer of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Refusal {
    pub(super) kind: ErrorKind,
    /// When the caller may come back, where that is known better than in the table.
    pub(super) retry_after: Option<Duration>,
}

impl From<ErrorKind> for Refusal {
    fn from(kind: ErrorKind) -> Self {
        Self { kind, retry_after: None }
    }
}

impl Refusal {
    pub(super) fn into_response(self) -> Response<AnswerBody> {
        let row = self.kind.answer();
        let retry = match (row.retry, self.retry_after) {
            (RetryAdvice::After(_), Some(after)) => RetryAdvice::After(after),
            (advice, _) => advice,
        };
        let text = body_text(self.kind, row.ran, retry, row.text);
        let mut res = Response::new(AnswerBody::whole(Bytes::from(text)));
        *res.status_mut() =
            StatusCode::from_u16(row.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = res.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(HeaderName::from_static(VERDICT_HEADER), verdict(row.ran));
        if let Ok(value) = HeaderValue::try_from(self.kind.to_string()) {
            headers.insert(HeaderName::from_static(ERROR_HEADER), value);
        }
        if let RetryAdvice::After(after) = retry {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(whole_seconds(after)));
        }
        if closes_connection(self.kind) {
            close(headers);
        }
        res
    }
}

/// The value of the verdict header.
pub(super) fn verdict(ran: Ran) -> HeaderValue {
    HeaderValue::from_static(match ran {
        Ran::No => "no",
        Ran::Yes => "yes",
        Ran::Unknown => "unknown",
    })
}

/// Asks that the connection ends with this answer.
pub(super) fn close(headers: &mut HeaderMap) {
    headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
}

fn body_text(kind: ErrorKind, ran: Ran, retry: RetryAdvice, text: &str) -> String {
    let (advice, after_ms) = match retry {
        RetryAdvice::After(after) => ("after", Some(after.as_millis())),
        RetryAdvice::Never => ("never", None),
        RetryAdvice::IfIdempotent => ("if-idempotent", None),
    };
    let after = after_ms.map(|ms| format!(",\"retry_after_ms\":{ms}")).unwrap_or_default();
    format!(
        "{{\"kind\":\"{kind}\",\"ran\":\"{ran}\",\"retry\":\"{advice}\"{after},\"text\":\"{text}\"}}\n"
    )
}

/// The header counts in whole seconds; the body tells the time to the millisecond.
fn whole_seconds(after: Duration) -> u64 {
    after.as_millis().div_ceil(1_000) as u64
}

/// A body that was not taken in whole still stands between this answer and the next request.
fn closes_connection(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::BadRequest | ErrorKind::BodyTooLarge | ErrorKind::SenderTooSlow)
}
