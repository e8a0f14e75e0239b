//! The body of a request on its way from the caller to a target.
//!
//! A body of at most [`KEEP`] bytes is taken in whole before the request queues. Then the request
//! can be tried again, a slow sender holds no slot, and the caller's going away is seen while the
//! request waits. A larger body is read on only as fast as the target takes it.

use std::{
    collections::VecDeque,
    pin::Pin,
    sync::{Arc, OnceLock},
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use borageswitch_types::ErrorKind;
use bytes::{Bytes, BytesMut};
use futures_lite::{FutureExt, future};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use smol::Timer;

/// The largest body that is kept whole, in bytes.
pub(super) const KEEP: usize = 64 << 10;

/// What a body may cost.
#[derive(Clone, Copy, Debug)]
pub(super) struct BodyLimits {
    pub(super) max_bytes: u64,
    /// How long the sender may let it stall.
    pub(super) stall: Duration,
    /// When the request ends anyway.
    pub(super) end: Instant,
}

/// The body of a request.
#[derive(Debug)]
pub(super) enum RequestBody {
    /// All of it is here.
    Kept(Bytes),
    /// The rest is still with the caller.
    Streaming(Box<StreamingBody>),
}

/// A body that is read as the target takes it.
#[derive(Debug)]
pub(super) struct StreamingBody {
    first: VecDeque<Bytes>,
    rest: Incoming,
    /// The length that the caller has named.
    exact: Option<u64>,
    left_for_target: u64,
    left_from_caller: u64,
    stall: Duration,
    timer: Timer,
    fault: BodyFault,
}

/// What went wrong with a streaming body, for the exchange that sends it.
#[derive(Clone, Debug, Default)]
pub(super) struct BodyFault(Arc<OnceLock<ErrorKind>>);

impl BodyFault {
    pub(super) fn get(&self) -> Option<ErrorKind> {
        self.0.get().copied()
    }
}

/// The body of a request ended before its end; the connection to the target is closed, so that
/// the target cannot take the part for the whole.
#[derive(Clone, Copy, Debug, derive_more::Display)]
#[display("the caller's body ended early: {_0}")]
pub(super) struct BodyEndedEarly(ErrorKind);

impl std::error::Error for BodyEndedEarly {}

impl RequestBody {
    /// The same body once more, if all of it is here.
    pub(super) fn again(&self) -> Option<RequestBody> {
        match self {
            RequestBody::Kept(bytes) => Some(RequestBody::Kept(bytes.clone())),
            RequestBody::Streaming(_) => None,
        }
    }

    pub(super) fn fault(&self) -> BodyFault {
        match self {
            RequestBody::Kept(_) => BodyFault::default(),
            RequestBody::Streaming(body) => body.fault.clone(),
        }
    }
}

/// Takes in the whole body if it is small, otherwise its beginning.
///
/// # Errors
///
/// [`ErrorKind::BodyTooLarge`], [`ErrorKind::SenderTooSlow`], or [`ErrorKind::CallerGone`] if the
/// connection broke.
pub(super) async fn take_in(
    mut incoming: Incoming,
    content_length: Option<u64>,
    limits: BodyLimits,
) -> Result<RequestBody, ErrorKind> {
    if incoming.is_end_stream() {
        return Ok(RequestBody::Kept(Bytes::new()));
    }
    if content_length.is_some_and(|length| length > limits.max_bytes) {
        return Err(ErrorKind::BodyTooLarge);
    }
    let mut first = VecDeque::new();
    let mut len = 0;
    while len <= KEEP {
        let end = limits.end.min(Instant::now() + limits.stall);
        let too_slow = async {
            Timer::at(end).await;
            Err(ErrorKind::SenderTooSlow)
        };
        let frame = async { Ok(incoming.frame().await) }.or(too_slow).await?;
        let Some(frame) = frame else { return Ok(RequestBody::Kept(join(first, len))) };
        let Ok(data) = frame.map_err(|_| ErrorKind::CallerGone)?.into_data() else { continue };
        len += data.len();
        if len as u64 > limits.max_bytes {
            return Err(ErrorKind::BodyTooLarge);
        }
        first.push_back(data);
        if incoming.is_end_stream() && len <= KEEP {
            return Ok(RequestBody::Kept(join(first, len)));
        }
    }
    Ok(RequestBody::Streaming(Box::new(StreamingBody {
        first,
        rest: incoming,
        exact: content_length,
        left_for_target: content_length.unwrap_or(0),
        left_from_caller: limits.max_bytes - len as u64,
        stall: limits.stall,
        timer: Timer::never(),
        fault: BodyFault::default(),
    })))
}

/// The output of `future`, or nothing if it is not there at `end`.
pub(super) async fn before<F>(end: Instant, future: F) -> Option<F::Output>
where
    F: Future,
{
    let timeout = async {
        Timer::at(end).await;
        None
    };
    future::or(async { Some(future.await) }, timeout).await
}

fn join(mut parts: VecDeque<Bytes>, len: usize) -> Bytes {
    if parts.len() <= 1 {
        return parts.pop_front().unwrap_or_default();
    }
    let mut whole = BytesMut::with_capacity(len);
    for part in parts {
        whole.extend_from_slice(&part);
    }
    whole.freeze()
}

impl StreamingBody {
    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyEndedEarly>>> {
        if let Some(data) = self.first.pop_front() {
            return self.pass_on(data);
        }
        loop {
            let Poll::Ready(frame) = Pin::new(&mut self.rest).poll_frame(cx) else {
                ready!(Pin::new(&mut self.timer).poll(cx));
                return self.fail(ErrorKind::SenderTooSlow);
            };
            self.timer.set_after(self.stall);
            match frame {
                None => return Poll::Ready(None),
                Some(Err(_)) => return self.fail(ErrorKind::CallerGone),
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    let Some(left) = self.left_from_caller.checked_sub(data.len() as u64) else {
                        return self.fail(ErrorKind::BodyTooLarge);
                    };
                    self.left_from_caller = left;
                    return self.pass_on(data);
                }
            }
        }
    }

    fn pass_on(&mut self, data: Bytes) -> Poll<Option<Result<Bytes, BodyEndedEarly>>> {
        self.left_for_target = self.left_for_target.saturating_sub(data.len() as u64);
        Poll::Ready(Some(Ok(data)))
    }

    fn fail(&mut self, kind: ErrorKind) -> Poll<Option<Result<Bytes, BodyEndedEarly>>> {
        let _ = self.fault.0.set(kind);
        Poll::Ready(Some(Err(BodyEndedEarly(kind))))
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyEndedEarly;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyEndedEarly>>> {
        match self.get_mut() {
            RequestBody::Kept(bytes) if bytes.is_empty() => Poll::Ready(None),
            RequestBody::Kept(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            RequestBody::Streaming(body) => {
                body.poll_data(cx).map(|data| data.map(|data| data.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            RequestBody::Kept(bytes) => bytes.is_empty(),
            RequestBody::Streaming(body) => body.first.is_empty() && body.rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RequestBody::Kept(bytes) => SizeHint::with_exact(bytes.len() as u64),
            RequestBody::Streaming(body) if body.exact.is_some() => {
                SizeHint::with_exact(body.left_for_target)
            }
            RequestBody::Streaming(_) => SizeHint::default(),
        }
    }
}
