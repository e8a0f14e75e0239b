//! The encoding of stored values and of messages between daemons.

use borageswitch_scheduler::{job::Submission, ledger::record::StoredAppend};
use serde::{Serialize, de::DeserializeOwned};

/// Bytes that cannot be decoded as the expected value.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
#[display("{what} cannot be decoded: {reason}")]
pub struct DecodeError {
    /// The kind of the expected value.
    pub what: &'static str,
    /// The error of the decoder.
    pub reason: String,
}

impl std::error::Error for DecodeError {}

/// Encodes a value.
///
/// # Panics
///
/// Never for the types of this project, as all of them can be encoded.
pub fn encode<T>(value: &T) -> Vec<u8>
where
    T: Serialize,
{
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .expect("every type that is stored or sent can be encoded")
}

/// Decodes a value.
///
/// # Errors
///
/// If the bytes cannot be decoded as the expected value.
pub fn decode<T>(what: &'static str, bytes: &[u8]) -> Result<T, DecodeError>
where
    T: DeserializeOwned,
{
    match bincode::serde::decode_from_slice(bytes, bincode::config::standard()) {
        Ok((value, _)) => Ok(value),
        Err(err) => Err(DecodeError { what, reason: err.to_string() }),
    }
}

/// The encoding of an empty trailing field: no caller, or no entries.
const EMPTY: u8 = 0;
/// The number of fields appended to the first layout of a submission: the caller.
const FIELDS_ADDED_TO_SUBMISSION: usize = 1;
/// The number of fields appended to the first layout of a snapshot: lingering runs, suspects,
/// given-up jobs, failed runs of gangs, recent starts, survivals of
/// suspects, counted ends.
pub const FIELDS_ADDED_TO_SNAPSHOT: usize = 7;
/// The number of fields appended to the first layout of an append: when it was sent, and the term.
const FIELDS_ADDED_TO_APPEND: usize = 2;

/// Decodes a stored value whose last `added_fields` fields were appended to its first layout and
/// may be missing.
///
/// A value stored by an older version is one byte shorter for each missing field, as an empty one
/// takes one byte. If such values were rejected as damaged, then after an upgrade accepted jobs
/// would never run, or no daemon could lead.
///
/// # Errors
///
/// If the bytes cannot be decoded as the expected value.
pub fn decode_with_added_fields<T>(
    what: &'static str,
    bytes: &[u8],
    added_fields: usize,
) -> Result<T, DecodeError>
where
    T: DeserializeOwned,
{
    decode(what, bytes).or_else(|err| {
        let mut padded = bytes.to_vec();
        let mut attempts = (0..added_fields).map(|_| {
            padded.push(EMPTY);
            decode(what, &padded)
        });
        attempts.find_map(Result::ok).ok_or(err)
    })
}

/// Decodes a stored submission.
///
/// # Errors
///
/// If the bytes cannot be decoded as the expected value.
pub fn decode_submission(bytes: &[u8]) -> Result<Submission, DecodeError> {
    decode_with_added_fields("submission", bytes, FIELDS_ADDED_TO_SUBMISSION)
}

/// Decodes a stored append.
///
/// # Errors
///
/// If the bytes cannot be decoded as the expected value.
pub fn decode_append(bytes: &[u8]) -> Result<StoredAppend, DecodeError> {
    decode_with_added_fields("append", bytes, FIELDS_ADDED_TO_APPEND)
}

#[cfg(test)]
mod tests;
