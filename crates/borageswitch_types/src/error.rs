//! The closed list of error kinds and the table from kind to answer.

use std::{fmt, time::Duration};

/// The response header that carries the verdict: `no`, `yes` or `unknown`.
pub const VERDICT_HEADER: &str = "borageswitch-ran";
/// The response header that names the [`ErrorKind`].
pub const ERROR_HEADER: &str = "borageswitch-error";
/// The request header with the time that the caller still waits, in milliseconds.
pub const DEADLINE_HEADER: &str = "borageswitch-deadline-ms";
/// The request header that names the caller.
pub const CALLER_HEADER: &str = "borageswitch-caller";
/// The request header that names the service; the first part of the path serves without it.
pub const SERVICE_HEADER: &str = "borageswitch-service";
/// The request header with the priority: `urgent`, `normal` or `batch`.
pub const PRIORITY_HEADER: &str = "borageswitch-priority";
/// The request header with the caller's own id of the request: required when non-idempotent.
pub const REQUEST_ID_HEADER: &str = "borageswitch-request-id";
/// The request header that says `yes` or `no`; without it the HTTP method decides.
pub const IDEMPOTENT_HEADER: &str = "borageswitch-idempotent";

/// Whether a request ran.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
    derive_more::Display,
)]
pub enum Ran {
    /// It is proved that no target started it.
    #[display("no")]
    No,
    /// A target answered it.
    #[display("yes")]
    Yes,
    /// A target may have started it.
    #[display("unknown")]
    Unknown,
}

/// What the caller may do after an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum RetryAdvice {
    /// The same request may be sent again after the given time.
    After(Duration),
    /// The same request will fail again.
    Never,
    /// The caller must find out first whether the request ran; if it is idempotent it may be sent
    /// again.
    IfIdempotent,
}

impl fmt::Display for RetryAdvice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RetryAdvice::After(after) => write!(f, "after {} s", after.as_secs_f64()),
            RetryAdvice::Never => f.write_str("never"),
            RetryAdvice::IfIdempotent => f.write_str("only if idempotent"),
        }
    }
}

/// One row of the table from kind to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorAnswer {
    /// The HTTP status.
    pub status: u16,
    /// Whether the request ran.
    pub ran: Ran,
    /// What the caller may do.
    pub retry: RetryAdvice,
    /// What happened, in a sentence for the caller.
    pub text: &'static str,
}

/// Every way in which a request can end without a target's answer.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    derive_more::Display,
)]
#[display(rename_all = "kebab-case")]
pub enum ErrorKind {
    /// A header or the request line cannot be understood.
    BadRequest,
    /// The head exceeds its limit.
    HeadTooLarge,
    /// The body exceeds its limit.
    BodyTooLarge,
    /// The sender was too slow with its head or body.
    SenderTooSlow,
    /// No service has the given name.
    UnknownService,
    /// The request is not idempotent and has no request id.
    MissingRequestId,
    /// The queue of the service is full.
    QueueFull,
    /// The caller has more waiting requests than its share.
    CallerOverShare,
    /// The request would not end before its deadline.
    DeadlineUnreachable,
    /// The deadline passed while the request waited.
    DeadlineInQueue,
    /// The service has no target that may take work.
    NoTarget,
    /// The daemon is stopping or its view of the fleet may be stale.
    NotAdmitting,
    /// The claim of a non-idempotent request could not be written in time.
    ClaimUnavailable,
    /// A request with the same id was claimed before.
    AlreadyClaimed,
    /// The target refused the connection, or refused the request in the documented way.
    TargetRefused,
    /// The connection broke before one byte of the request was written.
    NotSent,
    /// The connection broke after the request was sent.
    TargetLost,
    /// The target did not answer before the deadline.
    TargetTimeout,
    /// The target's answer cannot be understood.
    BadAnswer,
    /// The caller went away.
    CallerGone,
    /// A promise of our own was found broken.
    Internal,
}

impl ErrorKind {
    /// Every kind, in the order of the table.
    pub const ALL: [ErrorKind; 21] = [
        ErrorKind::BadRequest,
        ErrorKind::HeadTooLarge,
        ErrorKind::BodyTooLarge,
        ErrorKind::SenderTooSlow,
        ErrorKind::UnknownService,
        ErrorKind::MissingRequestId,
        ErrorKind::QueueFull,
        ErrorKind::CallerOverShare,
        ErrorKind::DeadlineUnreachable,
        ErrorKind::DeadlineInQueue,
        ErrorKind::NoTarget,
        ErrorKind::NotAdmitting,
        ErrorKind::ClaimUnavailable,
        ErrorKind::AlreadyClaimed,
        ErrorKind::TargetRefused,
        ErrorKind::NotSent,
        ErrorKind::TargetLost,
        ErrorKind::TargetTimeout,
        ErrorKind::BadAnswer,
        ErrorKind::CallerGone,
        ErrorKind::Internal,
    ];

    /// The row of the table for this kind.
    pub const fn answer(self) -> ErrorAnswer {
        use self::{
            Ran::{No, Unknown},
            RetryAdvice::{After, IfIdempotent, Never},
        };
        const SOON: RetryAdvice = After(Duration::from_millis(200));
        const LATER: RetryAdvice = After(Duration::from_secs(1));
        let (status, ran, retry, text) = match self {
            ErrorKind::BadRequest => (400, No, Never, "the request cannot be understood"),
            ErrorKind::HeadTooLarge => (431, No, Never, "the head of the request is too large"),
            ErrorKind::BodyTooLarge => (413, Unknown, Never, "the body is too large"),
            ErrorKind::SenderTooSlow => (408, Unknown, IfIdempotent, "the request came too slowly"),
            ErrorKind::UnknownService => (404, No, Never, "no service has this name"),
            ErrorKind::MissingRequestId => {
                (400, No, Never, "a request that is not idempotent needs a request id")
            }
            ErrorKind::QueueFull => (503, No, LATER, "the queue of the service is full"),
            ErrorKind::CallerOverShare => {
                (429, No, LATER, "the caller's share of the queue is full")
            }
            ErrorKind::DeadlineUnreachable => {
                (503, No, LATER, "the request would not end before its deadline")
            }
            ErrorKind::DeadlineInQueue => {
                (504, No, LATER, "the deadline passed while the request waited")
            }
            ErrorKind::NoTarget => (503, No, LATER, "no target of the service may take work"),
            ErrorKind::NotAdmitting => (503, No, SOON, "this entry takes no new requests"),
            ErrorKind::ClaimUnavailable => {
                (503, No, LATER, "the request id could not be claimed in time")
            }
            ErrorKind::AlreadyClaimed => {
                (409, Unknown, Never, "a request with this id was sent before")
            }
            ErrorKind::TargetRefused => (503, No, SOON, "the target refused the request"),
            ErrorKind::NotSent => (502, No, SOON, "the request could not be sent"),
            ErrorKind::TargetLost => {
                (502, Unknown, IfIdempotent, "the connection to the target broke")
            }
            ErrorKind::TargetTimeout => {
                (504, Unknown, IfIdempotent, "the target did not answer before the deadline")
            }
            ErrorKind::BadAnswer => {
                (502, Unknown, IfIdempotent, "the target's answer cannot be understood")
            }
            ErrorKind::CallerGone => (499, Unknown, IfIdempotent, "the caller went away"),
            ErrorKind::Internal => (500, Unknown, IfIdempotent, "an internal check failed"),
        };
        ErrorAnswer { status, ran, retry, text }
    }
}

/// The table from kind to answer, in Markdown, as the operators' page shows it.
pub fn error_table() -> String {
    let mut table =
        String::from("| kind | status | ran | retry | meaning |\n|---|---|---|---|---|\n");
    for kind in ErrorKind::ALL {
        let ErrorAnswer { status, ran, retry, text } = kind.answer();
        table.push_str(&format!("| `{kind}` | {status} | {ran} | {retry} | {text} |\n"));
    }
    table
}
