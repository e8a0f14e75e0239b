//! Length-prefixed frames on an `h2` stream.

use std::future::poll_fn;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use h2::{RecvStream, SendStream};

/// The bytes of the length that precedes each frame.
const PREFIX: usize = 4;

/// The bytes of small frames that may wait unread, counted as `h2` does: each short piece of data
/// costs 256 less its length. The default lets about a hundred wait and then ends the connection. A
/// daemon that was paused for a second finds more heartbeats and slot messages than that.
pub(super) const SMALL_FRAME_BUDGET: usize = 1 << 20;

/// Appends a frame with its length.
pub(super) fn append(data: &mut BytesMut, frame: &[u8]) {
    let len = u32::try_from(frame.len()).unwrap_or_else(|_| unreachable!("frames are bounded"));
    data.put_u32(len);
    data.put_slice(frame);
}

/// Why no further frame can be read or written.
#[derive(Debug, derive_more::Display, derive_more::From)]
pub(super) enum FrameError {
    /// The other end has closed the stream.
    #[display("the stream ended")]
    Ended,
    /// A frame is longer than allowed.
    #[display("a frame of {_0} bytes exceeds its limit")]
    #[from(skip)]
    TooLong(usize),
    /// The connection broke.
    #[display("{_0}")]
    Broken(h2::Error),
}

impl std::error::Error for FrameError {}

/// Reads frames.
pub(super) struct FrameReader {
    stream: RecvStream,
    buf: BytesMut,
}

impl FrameReader {
    pub(super) fn new(stream: RecvStream) -> Self {
        Self { stream, buf: BytesMut::new() }
    }

    /// Reads a frame of at most `limit` bytes.
    ///
    /// The length is judged before the frame is gathered: a stranger who announces four gigabytes
    /// is closed after four bytes. What is buffered is bounded by `limit` and the flow window.
    pub(super) async fn read(&mut self, limit: usize) -> Result<Bytes, FrameError> {
        self.fill(PREFIX).await?;
        let len = self.buf.get_u32() as usize;
        if len > limit {
            return Err(FrameError::TooLong(len));
        }
        self.fill(len).await?;
        Ok(self.buf.split_to(len).freeze())
    }

    async fn fill(&mut self, len: usize) -> Result<(), FrameError> {
        while self.buf.len() < len {
            let chunk = self.stream.data().await.ok_or(FrameError::Ended)??;
            self.stream.flow_control().release_capacity(chunk.len())?;
            self.buf.extend_from_slice(&chunk);
        }
        Ok(())
    }
}

/// Writes frames.
pub(super) struct FrameWriter {
    stream: SendStream<Bytes>,
}

impl FrameWriter {
    pub(super) fn new(stream: SendStream<Bytes>) -> Self {
        Self { stream }
    }

    /// Writes a frame once the other end has room for it.
    pub(super) async fn write(&mut self, frame: &[u8]) -> Result<(), FrameError> {
        let mut data = BytesMut::with_capacity(PREFIX + frame.len());
        append(&mut data, frame);
        self.write_raw(data.freeze()).await
    }

    /// Writes bytes as they are: frames that were put together by [`append`].
    pub(super) async fn write_raw(&mut self, mut data: Bytes) -> Result<(), FrameError> {
        while data.has_remaining() {
            self.stream.reserve_capacity(data.len());
            let room = self.room().await?;
            let part = data.split_to(room.min(data.len()));
            self.stream.send_data(part, false)?;
        }
        Ok(())
    }

    /// Waits until bytes can be sent, and says how many.
    ///
    /// `poll_capacity` tells of room that is new. Room that stood before, left by a frame that
    /// needed less, is told only by `capacity`; who asks for news alone waits for ever.
    async fn room(&mut self) -> Result<usize, FrameError> {
        match self.stream.capacity() {
            0 => {
                let room = poll_fn(|cx| self.stream.poll_capacity(cx)).await;
                Ok(room.ok_or(FrameError::Ended)??)
            }
            room => Ok(room),
        }
    }
}
