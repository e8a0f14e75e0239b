//! The body of an answer on its way to the caller.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Instant,
};

use borageswitch_policy::dispatch::Outcome;
use borageswitch_types::{ErrorKind, error::Ran};
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use smol::Timer;

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
    deadline: Timer,
    /// Nothing once the answer has ended.
    exchange: Option<(Started, Lease)>,
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
        deadline: Instant,
        started: Started,
        lease: Lease,
    ) -> Self {
        AnswerBody::Streaming(Box::new(StreamingAnswer {
            incoming,
            status,
            deadline: Timer::at(deadline),
            exchange: Some((started, lease)),
        }))
    }
}

impl StreamingAnswer {
    fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerEndedEarly>>> {
        let Some((_, lease)) = &mut self.exchange else { return Poll::Ready(None) };
        lease.conn().drive(cx);
        match Pin::new(&mut self.incoming).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                if self.incoming.is_end_stream() {
                    self.end_whole(cx);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(_))) => self.break_off(ErrorKind::TargetLost),
            Poll::Ready(None) => {
                self.end_whole(cx);
                Poll::Ready(None)
            }
            Poll::Pending if Pin::new(&mut self.deadline).poll(cx).is_ready() => {
                self.break_off(ErrorKind::TargetTimeout)
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn end_whole(&mut self, cx: &mut Context<'_>) {
        let Some((started, mut lease)) = self.exchange.take() else { return };
        lease.conn().drive(cx);
        lease.give_back();
        started.finish(Outcome::Answered { status: self.status });
    }

    fn break_off(
        &mut self,
        kind: ErrorKind,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerEndedEarly>>> {
        if let Some((started, lease)) = self.exchange.take() {
            drop(lease);
            started.finish(Outcome::Failed { kind, ran: Ran::Unknown, retryable: false });
        }
        Poll::Ready(Some(Err(AnswerEndedEarly(kind))))
    }
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
            AnswerBody::Streaming(body) => body.exchange.is_none(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            AnswerBody::Streaming(body) => body.incoming.size_hint(),
        }
    }
}
