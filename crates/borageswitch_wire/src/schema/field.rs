//! Reads single fields and names the one that is wrong.

use std::{net::SocketAddr, str::FromStr, time::Duration};

use borageswitch_types::names::NameError;

/// The longest text that people write for each other, in bytes.
const MAX_TEXT: usize = 512;
/// The longest time that a setting may have.
const MAX_TIME: Duration = Duration::from_secs(30 * 24 * 3_600);

/// A field whose value cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
#[display("{field}: {reason}")]
pub struct FieldError {
    /// The path of the field, such as `site.services.rostering.pool`.
    pub field: String,
    /// What is wrong with its value.
    pub reason: String,
}

impl std::error::Error for FieldError {}

impl FieldError {
    /// An error of a field.
    pub fn new<R>(field: &str, reason: R) -> Self
    where
        R: ToString,
    {
        Self { field: field.to_owned(), reason: reason.to_string() }
    }

    /// The same error, as seen from a message that holds the field in `outer`.
    pub(super) fn within(self, outer: &str) -> Self {
        Self { field: format!("{outer}.{}", self.field), reason: self.reason }
    }
}

pub(super) fn name<T>(field: &str, text: &str) -> Result<T, FieldError>
where
    T: FromStr<Err = NameError>,
{
    text.parse().map_err(|err| FieldError::new(field, err))
}

pub(super) fn given<T>(field: &str, value: Option<T>) -> Result<T, FieldError> {
    value.ok_or_else(|| FieldError::new(field, "is missing"))
}

pub(super) fn small(field: &str, value: u32) -> Result<u16, FieldError> {
    u16::try_from(value).map_err(|_| FieldError::new(field, "must not be above 65535"))
}

pub(super) fn positive(field: &str, value: u32) -> Result<u32, FieldError> {
    if value == 0 { Err(FieldError::new(field, "must be at least 1")) } else { Ok(value) }
}

pub(super) fn time(field: &str, millis: u64) -> Result<Duration, FieldError> {
    let time = Duration::from_millis(millis);
    match time {
        Duration::ZERO => Err(FieldError::new(field, "must be at least 1")),
        _ if time > MAX_TIME => Err(FieldError::new(field, "must not be above 30 days")),
        _ => Ok(time),
    }
}

pub(super) fn address(field: &str, text: &str) -> Result<SocketAddr, FieldError> {
    text.parse().map_err(|_| FieldError::new(field, "must be an IP number and a port"))
}

pub(super) fn text(field: &str, text: &str) -> Result<(), FieldError> {
    if text.len() <= MAX_TEXT {
        return Ok(());
    }
    Err(FieldError::new(field, format!("must not be longer than {MAX_TEXT} bytes")))
}
