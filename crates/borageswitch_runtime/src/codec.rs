//! The encoding of stored values and of messages between daemons.

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
