//! The body of an answer on its way to the caller.

use std::{
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, ready},
    time::Instant,
};

use borageswitch_policy::dispatch::Outcome;
use borageswitch_types::{ErrorKind, error::Ran};
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use smol::{Task, Timer};

use super::{exchange::Started, pool::Lease};

/// The body of an answer.
pub(super) enum AnswerBody {
    /// All of it is here.
    Whole(Bytes),
    /// The rest is still with the target.
    Streaming(Box<StreamingAnswer>),
}

/// A target's answer that is read as the caller takes it.
///
/// It holds the slot and the connection until the last byte has come from the target.
pub(super) struct StreamingAnswer {
    incoming: Incoming,
    status: u16,
    phase: Arc<Mutex<Phase>>,
    /// Ends the answer at its deadline; dropping it stops that.
    _deadline: Task<()>,
}

/// How far a streaming answer has come.
enum Phase {
    Flowing(Started, Lease),
    Whole,
    BrokenOff(ErrorKind),
}

/// An answer ended before its end. The caller's connection or stream is broken off, which is the
/// only way left to tell that the part is not the whole.
#[derive(Clone, Copy, Debug, derive_more::Display)]
#[display("the target's answer ended early: {_0}")]
pub(super) struct AnswerEndedEarly(ErrorKind);

impl std::error::Error for AnswerEndedEarly {}

impl AnswerBody {
    pub(super) fn whole(bytes: Bytes) -> Self {
        AnswerBody::Whole(bytes)
    }

    pub(super) fn streaming(
        incoming: Incoming,
        status: u16,
        end: Instant,
        started: Started,
        lease: Lease,
    ) -> Self {
        let executor = Arc::clone(started.executor());
        let phase = Arc::new(Mutex::new(Phase::Flowing(started, lease)));
        // A caller that stops reading also stops the library from asking for the rest, so nobody
        // would look at the clock, and the slot would be taken for as long as the caller likes.
        let at_end = Arc::clone(&phase);
        let deadline = executor.spawn(async move {
            Timer::at(end).await;
            break_off(&at_end, ErrorKind::TargetTimeout);
        });
        AnswerBody::Streaming(Box::new(StreamingAnswer {
            incoming,
            status,
            phase,
            _deadline: deadline,
        }))
    }
}

impl StreamingAnswer {
    fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerEndedEarly>>> {
        match &mut *lock(&self.phase) {
            Phase::Flowing(_, lease) => lease.conn().drive(cx),
            Phase::Whole => return Poll::Ready(None),
            Phase::BrokenOff(kind) => return Poll::Ready(Some(Err(AnswerEndedEarly(*kind)))),
        }
        match ready!(Pin::new(&mut self.incoming).poll_frame(cx)) {
            Some(Ok(frame)) => {
                if self.incoming.is_end_stream() {
                    self.end_whole(cx);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(_)) => {
                break_off(&self.phase, ErrorKind::TargetLost);
                Poll::Ready(Some(Err(AnswerEndedEarly(ErrorKind::TargetLost))))
            }
            None => {
                self.end_whole(cx);
                Poll::Ready(None)
            }
        }
    }

    fn end_whole(&mut self, cx: &mut Context<'_>) {
        let ended = std::mem::replace(&mut *lock(&self.phase), Phase::Whole);
        if let Phase::Flowing(started, mut lease) = ended {
            lease.conn().drive(cx);
            lease.give_back();
            started.finish(Outcome::Answered { status: self.status });
        }
    }
}

/// Closes the connection of an answer that still flows, and frees its slot.
fn break_off(phase: &Mutex<Phase>, kind: ErrorKind) {
    let mut phase = lock(phase);
    if !matches!(*phase, Phase::Flowing(..)) {
        return;
    }
    let broken = std::mem::replace(&mut *phase, Phase::BrokenOff(kind));
    drop(phase);
    if let Phase::Flowing(started, lease) = broken {
        drop(lease);
        started.finish(Outcome::Failed { kind, ran: Ran::Unknown, retryable: false });
    }
}

fn lock(phase: &Mutex<Phase>) -> MutexGuard<'_, Phase> {
    phase.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerEndedEarly;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerEndedEarly>>> {
        match self.get_mut() {
            AnswerBody::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            AnswerBody::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            AnswerBody::Streaming(body) => body.poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Whole(bytes) => bytes.is_empty(),
            AnswerBody::Streaming(body) => matches!(*lock(&body.phase), Phase::Whole),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            AnswerBody::Streaming(body) => body.incoming.size_hint(),
        }
    }
}
