//! The encoding of stored values and of messages between daemons.

use borageswitch_scheduler::job::Submission;
use serde::{Serialize, de::DeserializeOwned};

/// Bytes that do not hold what was expected.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
#[display("{what} cannot be decoded: {reason}")]
pub struct DecodeError {
    /// What was expected.
    pub what: &'static str,
    /// What the decoder says.
    pub reason: String,
}

impl std::error::Error for DecodeError {}

/// Encodes a value.
///
/// # Panics
///
/// Never for the types of this project: they hold nothing that has no encoding.
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
/// When the bytes hold something else.
pub fn decode<T>(what: &'static str, bytes: &[u8]) -> Result<T, DecodeError>
where
    T: DeserializeOwned,
{
    match bincode::serde::decode_from_slice(bytes, bincode::config::standard()) {
        Ok((value, _)) => Ok(value),
        Err(err) => Err(DecodeError { what, reason: err.to_string() }),
    }
}

/// What stands for nothing at the end of an encoded value: no caller, or no entries.
const NOTHING: u8 = 0;
/// How many fields of a submission are younger than its layout: the caller.
const YOUNGER_IN_SUBMISSION: usize = 1;
/// How many fields of a snapshot are younger than its layout: leftovers, suspects, tasks given up.
pub const YOUNGER_IN_SNAPSHOT: usize = 3;

/// Decodes a stored value whose last `younger` fields are younger than the layout and may be empty.
///
/// What was stored before there were such fields ends one byte earlier for each. Read as damaged,
/// jobs that were accepted would never run, or nobody could lead, when daemons are replaced by newer
/// ones.
///
/// # Errors
///
/// When the bytes hold something else.
pub fn decode_grown<T>(what: &'static str, bytes: &[u8], younger: usize) -> Result<T, DecodeError>
where
    T: DeserializeOwned,
{
    decode(what, bytes).or_else(|err| {
        let mut completed = bytes.to_vec();
        let mut attempts = (0..younger).map(|_| {
            completed.push(NOTHING);
            decode(what, &completed)
        });
        attempts.find_map(Result::ok).ok_or(err)
    })
}

/// Decodes a stored submission.
///
/// # Errors
///
/// When the bytes hold something else.
pub fn decode_submission(bytes: &[u8]) -> Result<Submission, DecodeError> {
    decode_grown("submission", bytes, YOUNGER_IN_SUBMISSION)
}

#[cfg(test)]
mod tests;
