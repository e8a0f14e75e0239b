//! Turns what came of a call into a gRPC status.

use borageswitch_types::fleet::Refusal;
use borageswitch_wire::schema::{FieldError, proto::ErrorDetail};
use prost::Message;
use tonic::{Code, Status};

use crate::operators::calls::NoAnswer;

/// A field of the call that cannot be read.
pub(super) fn bad_field(err: &FieldError) -> Status {
    let detail = ErrorDetail {
        field: err.field.clone(),
        reason: err.reason.clone(),
        ..ErrorDetail::default()
    };
    with_detail(Code::InvalidArgument, err.to_string(), &detail)
}

/// A change that the fleet document does not take; nothing was changed.
pub(super) fn refused(refusal: &Refusal) -> Status {
    let code = match refusal {
        Refusal::Invalid { .. } => Code::InvalidArgument,
        Refusal::Unknown { .. } => Code::NotFound,
        Refusal::RevisionConflict { .. } | Refusal::Fenced { .. } => Code::Aborted,
        Refusal::WrongState { .. }
        | Refusal::BudgetBroken { .. }
        | Refusal::PowerExceeded { .. } => Code::FailedPrecondition,
    };
    let text = refusal.to_string();
    let (field, reason) = text.split_once(": ").unwrap_or(("", &text));
    let mut detail = ErrorDetail {
        field: field.to_owned(),
        reason: reason.to_owned(),
        ..ErrorDetail::default()
    };
    if let Refusal::RevisionConflict { found, since, .. } = refusal {
        detail.found_revision = Some(found.0);
        detail.since = since.to_string();
    }
    with_detail(code, text, &detail)
}

/// A change that may or may not have been made.
pub(super) fn undecided(detail: &str) -> Status {
    Status::unavailable(format!(
        "{detail}; the change may have been made: repeat the call with the same operation id"
    ))
}

/// A call without an answer.
pub(super) fn no_answer(why: NoAnswer) -> Status {
    match why {
        NoAnswer::TooMany => {
            Status::resource_exhausted("too many calls wait at this daemon; ask again later")
        }
        NoAnswer::Ending => Status::unavailable("this daemon is ending; ask another one"),
        NoAnswer::Late => undecided("the daemon did not answer in time"),
    }
}

fn with_detail(code: Code, text: String, detail: &ErrorDetail) -> Status {
    Status::with_details(code, text, detail.encode_to_vec().into())
}
