//! The messages between a leader and its relays.
//!
//! Both directions of a request's stream carry frames: the length in four bytes, then a `bincode`
//! message.

use borageswitch_scheduler::{
    effect::{PollOrder, Recipient, StartOrder},
    event::{OrderResponse, PollResponse, StartResponse},
    task::TaskKey,
};
use borageswitch_types::Time;
use bytes::{Buf, Bytes, BytesMut};
use h2::RecvStream;
use serde::{Serialize, de::DeserializeOwned};

use crate::codec;

/// The largest frame: some thousand calls.
const MAX_FRAME_BYTES: usize = 4 << 20;
/// The bytes of a frame's length.
const LENGTH_BYTES: usize = 4;

/// A call to an executor.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub(super) enum Call {
    Start(Recipient, StartOrder),
    Stop(Recipient, TaskKey, u32),
    Poll(Recipient, PollOrder),
}

/// The outcome of a [`Call`].
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub(super) enum Outcome {
    Start(StartResponse, Option<u64>),
    Stop(OrderResponse),
    Poll(PollResponse),
}

/// Calls to make, from the leader to a relay.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub(super) struct CallFrame {
    /// The fencing token of the leader.
    pub(super) token: u64,
    /// When the authority to give orders ends, in microseconds by the relay's clock.
    pub(super) authority_until: u64,
    /// The calls, each with its number.
    pub(super) calls: Vec<(u64, Call)>,
}

/// Outcomes of calls, from a relay to the leader.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub(super) struct OutcomeFrame {
    /// The relay's clock when the frame was sent, in microseconds.
    pub(super) clock: u64,
    /// The outcomes, each with the number of its call.
    pub(super) outcomes: Vec<(u64, Outcome)>,
}

impl OutcomeFrame {
    pub(super) fn new(now: Time, outcomes: Vec<(u64, Outcome)>) -> Self {
        Self { clock: now.as_micros(), outcomes }
    }
}

/// Encodes a frame.
pub(super) fn encode<T>(frame: &T) -> Bytes
where
    T: Serialize,
{
    let message = codec::encode(frame);
    let mut bytes = BytesMut::with_capacity(LENGTH_BYTES + message.len());
    bytes.extend_from_slice(&(message.len() as u32).to_be_bytes());
    bytes.extend_from_slice(&message);
    bytes.freeze()
}

/// Why no further frame can be read.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub(super) enum FrameError {
    /// The stream has ended.
    #[display("the stream has ended")]
    Ended,
    /// The frame is larger than any that is sent.
    #[display("a frame of {_0} bytes")]
    TooLarge(usize),
    /// The frame cannot be decoded.
    #[display("{_0}")]
    Unreadable(codec::DecodeError),
}

/// Reads frames from a stream.
pub(super) struct FrameReader {
    stream: RecvStream,
    buf: BytesMut,
}

impl FrameReader {
    pub(super) fn new(stream: RecvStream) -> Self {
        Self { stream, buf: BytesMut::new() }
    }

    /// Reads the next frame.
    ///
    /// # Errors
    ///
    /// If the stream has ended, or holds something else than frames of this kind.
    pub(super) async fn next<T>(&mut self) -> Result<T, FrameError>
    where
        T: DeserializeOwned,
    {
        loop {
            if let Some(frame) = take_frame(&mut self.buf)? {
                return codec::decode("frame", &frame).map_err(FrameError::Unreadable);
            }
            let part = self.stream.data().await.and_then(Result::ok).ok_or(FrameError::Ended)?;
            let released = self.stream.flow_control().release_capacity(part.len());
            released.map_err(|_| FrameError::Ended)?;
            self.buf.extend_from_slice(&part);
        }
    }
}

/// Takes the first frame from received bytes, if it is complete.
fn take_frame(buf: &mut BytesMut) -> Result<Option<BytesMut>, FrameError> {
    let Some(length) = buf.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(*length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge(length));
    }
    if buf.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    buf.advance(LENGTH_BYTES);
    Ok(Some(buf.split_to(length)))
}

#[cfg(test)]
mod tests;
