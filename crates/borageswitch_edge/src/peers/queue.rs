//! What waits to be sent to one peer.
//!
//! Load pattern: a peer reads slowly, or its connection has gone silent, while messages for it go
//! on being made. An unbounded queue would grow by a fleet document with each change until the
//! daemon runs out of its 32 MB, and the peer would then be told old news first. So only the newest
//! heartbeat waits, messages about slots give way when there is no room (their terms end by
//! themselves), and a queue full of what must not be lost ends the connection: when it stands
//! again, the daemons compare their revisions anew.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
};

use async_channel::{Receiver, Sender};
use borageswitch_wire::PeerMessage;
use bytes::{Bytes, BytesMut};

use crate::peers::frames;

/// The most messages that wait.
const MAX_MESSAGES: usize = 1_024;
/// The most bytes that wait: two of the largest frames.
pub(super) const MAX_BYTES: usize = 4 << 20;

/// How a message may be given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Keep {
    /// A newer one of its kind replaces it.
    Newest,
    /// It gives way when there is no room.
    IfRoom,
    /// It is sent or the connection ends.
    Always,
}

impl Keep {
    pub(super) fn of(message: &PeerMessage) -> Self {
        match message {
            PeerMessage::Heartbeat(_) => Keep::Newest,
            PeerMessage::Slots(_) => Keep::IfRoom,
            _ => Keep::Always,
        }
    }
}

/// Frames are sent together until they make this many bytes: one frame of `h2`.
const BATCH_BYTES: usize = 16 << 10;

#[derive(Default)]
struct Inner {
    frames: VecDeque<(Keep, Vec<u8>)>,
    bytes: usize,
    closed: bool,
}

/// The queue.
pub(super) struct SendQueue {
    inner: Mutex<Inner>,
    wake: Sender<()>,
    woken: Receiver<()>,
}

impl SendQueue {
    pub(super) fn new() -> Self {
        let (wake, woken) = async_channel::bounded(1);
        Self { inner: Mutex::default(), wake, woken }
    }

    /// Queues a frame. Closes the queue if there is no room for what must not be lost.
    pub(super) fn push(&self, keep: Keep, frame: Vec<u8>) {
        let mut inner = self.lock();
        inner.push(keep, frame);
        assert!(inner.bytes <= MAX_BYTES && inner.frames.len() <= MAX_MESSAGES);
        drop(inner);
        self.wake();
    }

    /// Ends the connection: nothing is sent any more.
    pub(super) fn close(&self) {
        self.lock().closed = true;
        self.wake();
    }

    /// The next frames, or nothing once the queue is closed.
    ///
    /// Messages about slots come in bursts of small frames. Sent one by one, each would cost a
    /// header and a system call, and `h2` takes many small pieces of data for an attack.
    pub(super) async fn pop(&self) -> Option<Batch> {
        loop {
            let batch = self.lock().pop()?;
            if batch.frames > 0 {
                return Some(batch);
            }
            self.woken.recv().await.ok()?;
        }
    }

    fn wake(&self) {
        // A full channel means that the reader is woken already.
        let _ = self.wake.try_send(());
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Frames with their lengths, ready to be sent.
pub(super) struct Batch {
    pub(super) bytes: Bytes,
    pub(super) frames: u64,
}

impl Inner {
    fn push(&mut self, keep: Keep, frame: Vec<u8>) {
        if keep == Keep::Newest {
            self.remove_first(Keep::Newest);
        }
        while !self.has_room(frame.len()) && self.remove_first(Keep::IfRoom) {}
        if self.has_room(frame.len()) {
            self.bytes += frame.len();
            self.frames.push_back((keep, frame));
        } else if keep == Keep::Always {
            self.closed = true;
        }
    }

    fn has_room(&self, len: usize) -> bool {
        self.frames.len() < MAX_MESSAGES && self.bytes + len <= MAX_BYTES
    }

    fn remove_first(&mut self, keep: Keep) -> bool {
        let found = self.frames.iter().position(|(kept, _)| *kept == keep);
        let Some((_, frame)) = found.and_then(|index| self.frames.remove(index)) else {
            return false;
        };
        self.bytes -= frame.len();
        true
    }

    /// The frames that go together, perhaps none, or nothing once the queue is closed.
    fn pop(&mut self) -> Option<Batch> {
        if self.closed {
            return None;
        }
        let mut bytes = BytesMut::new();
        let mut frames = 0;
        while bytes.len() < BATCH_BYTES
            && let Some((_, frame)) = self.frames.pop_front()
        {
            self.bytes -= frame.len();
            frames::append(&mut bytes, &frame);
            frames += 1;
        }
        Some(Batch { bytes: bytes.freeze(), frames })
    }
}

#[cfg(test)]
mod tests;
