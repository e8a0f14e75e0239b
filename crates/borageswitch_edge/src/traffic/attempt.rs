//! One try to have a request answered by one target.

use std::{
    future::poll_fn,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::Poll,
    time::{Duration, Instant},
};

use borageswitch_control::Event;
use borageswitch_types::{
    ErrorKind,
    claim::{ClaimOutcome, ClaimRequest},
    error::{DEADLINE_HEADER, Ran},
};
use bytes::{Bytes, BytesMut};
use http::{HeaderName, HeaderValue, Request, Response, StatusCode, header};
use http_body::Body;
use hyper::body::Incoming;

use super::{
    claims::HeldClaim,
    exchange::Exchange,
    head,
    pool::Lease,
    request_body::{BodyFault, RequestBody, before},
    silence::InFlight,
    target_conn::SendError,
};

/// The header by which a target refuses a request that it did not start.
const REFUSED_HEADER: HeaderName = HeaderName::from_static("target-refused");
/// Answers up to this many bytes are read whole before the caller sees their head: their slot is
/// free at once however slowly the caller reads, and one that breaks off can be tried again.
const WHOLE_ANSWER: u64 = 64 << 10;
/// A request that must not be sent twice uses no connection that has been idle for longer: the
/// target may just be closing it, and then nobody could say whether the request ran.
const FRESH_ENOUGH: Duration = Duration::from_secs(2);
/// How many idle connections may turn out to be closed before the request counts as not sent.
const STALE_CONNECTIONS: usize = 64;

impl Exchange {
    /// Sends the request once and waits for its answer.
    ///
    /// # Errors
    ///
    /// Tells whether the target may have run the request.
    pub(super) async fn attempt(
        &mut self,
        address: SocketAddr,
        body: RequestBody,
    ) -> Result<Answer, Failure> {
        if let Err(kind) = self.claim_id().await {
            return Err(Failure { kind, ran: Ran::No, body: None });
        }
        let result = self.send_and_judge(address, body).await;
        if let (Some(held), Err(Failure { ran: Ran::No, .. })) = (&mut self.held, &result) {
            held.not_run();
        }
        result
    }

    async fn send_and_judge(
        &mut self,
        address: SocketAddr,
        body: RequestBody,
    ) -> Result<Answer, Failure> {
        assert!(self.idempotent || self.held.is_some(), "a request is sent without its claim");
        if let Some(held) = &mut self.held {
            held.sending();
        }
        let again = body.again();
        let (res, lease) = match before(self.end, self.send(address, body)).await {
            Some(Ok(sent)) => sent,
            Some(Err(failure)) => return Err(failure.with_body(again)),
            None => return Err(Failure::unknown(ErrorKind::TargetTimeout, None)),
        };
        self.judge(res, lease, again).await
    }

    /// Claims the id of a request that must not be sent twice.
    ///
    /// The claim is asked for only now that the request has its slot: a claim of a request that
    /// the queue refuses later would make the caller's next try look like a second one.
    async fn claim_id(&mut self) -> Result<(), ErrorKind> {
        let Some(request_id) = &self.claim else { return Ok(()) };
        let pending = self.core.ask_for_claim();
        let end = self.end.min(Instant::now() + self.core.cfg.claim_hold);
        let request = ClaimRequest {
            ticket: pending.ticket,
            service: self.queue.service().clone(),
            request_id: Arc::clone(request_id),
            deadline: self.core.time_of(end),
        };
        if self.core.events.try_send(Event::Claim(request)).is_err() {
            return Err(ErrorKind::ClaimUnavailable);
        }
        let outcome = before(end, pending.outcome()).await.unwrap_or(ClaimOutcome::Unavailable);
        self.core.claims.ended(outcome, Instant::now());
        match outcome {
            ClaimOutcome::Granted => {
                // The id is this request's from now on: a second try needs no second claim.
                self.claim = None;
                self.held = Some(HeldClaim::new(Arc::clone(&self.core), pending.ticket));
                Ok(())
            }
            ClaimOutcome::AlreadyClaimed => Err(ErrorKind::AlreadyClaimed),
            ClaimOutcome::Unavailable => Err(ErrorKind::ClaimUnavailable),
        }
    }

    async fn send(
        &self,
        address: SocketAddr,
        mut body: RequestBody,
    ) -> Result<(Response<Incoming>, Lease), Failure> {
        let fault = body.fault();
        for _ in 0..STALE_CONNECTIONS {
            let mut lease = self.lease(address, &mut body).await?;
            match lease.conn().send(self.request(address, body)).await {
                Ok(res) => {
                    lease.answered();
                    return Ok((res, lease));
                }
                Err(SendError::NotSent(same)) => body = same,
                Err(SendError::Lost(err)) => return Err(self.lost(&fault, &err)),
            }
        }
        Err(Failure { kind: ErrorKind::NotSent, ran: Ran::No, body: Some(body) })
    }

    async fn lease(&self, address: SocketAddr, body: &mut RequestBody) -> Result<Lease, Failure> {
        let max_idle = if self.idempotent { Duration::MAX } else { FRESH_ENOUGH };
        let request =
            InFlight { kind: self.kind, idempotent: self.idempotent, sent: Instant::now() };
        let leased = self.core.pool.lease(address, request, max_idle, self.end).await;
        leased.map_err(|err| {
            let kind = match err.kind() {
                io::ErrorKind::ConnectionRefused => ErrorKind::TargetRefused,
                _ => ErrorKind::NotSent,
            };
            let body = std::mem::replace(body, RequestBody::Kept(Bytes::new()));
            Failure { kind, ran: Ran::No, body: Some(body) }
        })
    }

    fn lost(&self, fault: &BodyFault, err: &hyper::Error) -> Failure {
        let kind = match fault.get() {
            Some(kind) => kind,
            None if err.is_parse() => ErrorKind::BadAnswer,
            None => ErrorKind::TargetLost,
        };
        Failure::unknown(kind, None)
    }

    fn request(&self, address: SocketAddr, body: RequestBody) -> Request<RequestBody> {
        let mut req = Request::new(body);
        *req.method_mut() = self.parts.method.clone();
        *req.uri_mut() = head::origin_form(&self.parts.uri);
        let headers = req.headers_mut();
        headers.clone_from(&self.parts.headers);
        head::strip_hop_by_hop(headers);
        if !headers.contains_key(header::HOST) {
            let authority = self.parts.uri.authority().map(ToString::to_string);
            let host = authority.unwrap_or_else(|| address.to_string());
            if let Ok(host) = HeaderValue::try_from(host) {
                headers.insert(header::HOST, host);
            }
        }
        let left = self.end.saturating_duration_since(Instant::now());
        let left = HeaderValue::from(left.as_millis() as u64);
        headers.insert(HeaderName::from_static(DEADLINE_HEADER), left);
        req
    }

    /// Tells an answer from a refusal and reads a small one whole.
    async fn judge(
        &self,
        res: Response<Incoming>,
        mut lease: Lease,
        again: Option<RequestBody>,
    ) -> Result<Answer, Failure> {
        if is_refusal(&res) {
            if res.body().is_end_stream() {
                free(&mut lease).await;
                lease.give_back();
            }
            let kind = ErrorKind::TargetRefused;
            return Err(Failure { kind, ran: Ran::No, body: again });
        }
        if !shows_its_end(&res) {
            return Err(Failure::unknown(ErrorKind::BadAnswer, again));
        }
        let (head, mut incoming) = res.into_parts();
        let exact = incoming.size_hint().exact();
        if exact.is_none_or(|len| len > WHOLE_ANSWER) {
            return Ok(Answer::Streaming(Response::from_parts(head, incoming), lease));
        }
        let whole = before(self.end, read_whole(&mut lease, &mut incoming)).await;
        match whole {
            Some(Ok(bytes)) => {
                free(&mut lease).await;
                lease.give_back();
                Ok(Answer::Whole(Response::from_parts(head, bytes)))
            }
            Some(Err(_)) => Err(Failure::unknown(ErrorKind::TargetLost, again)),
            None => Err(Failure::unknown(ErrorKind::TargetTimeout, None)),
        }
    }
}

/// How a try ended without an answer.
pub(super) struct Failure {
    pub(super) kind: ErrorKind,
    pub(super) ran: Ran,
    /// The body, if it is whole and at hand.
    pub(super) body: Option<RequestBody>,
}

/// What came back.
pub(super) enum Answer {
    Whole(Response<Bytes>),
    Streaming(Response<Incoming>, Lease),
}

fn is_refusal(res: &Response<Incoming>) -> bool {
    res.status() == StatusCode::SERVICE_UNAVAILABLE
        && res.headers().get(REFUSED_HEADER).is_some_and(|value| value.as_bytes() == b"yes")
}

/// Whether the end of the answer can be told from the end of its connection. Where it cannot, an
/// answer that was cut short looks whole, so it is not passed on.
fn shows_its_end(res: &Response<Incoming>) -> bool {
    res.body().is_end_stream()
        || res.body().size_hint().exact().is_some()
        || res.headers().contains_key(header::TRANSFER_ENCODING)
}

async fn read_whole(lease: &mut Lease, incoming: &mut Incoming) -> Result<Bytes, hyper::Error> {
    let mut first = Bytes::new();
    let mut more: Option<BytesMut> = None;
    while !incoming.is_end_stream() {
        let next = poll_fn(|cx| {
            lease.conn().drive(cx);
            Pin::new(&mut *incoming).poll_frame(cx)
        });
        let Some(frame) = next.await else { break };
        let Ok(data) = frame?.into_data() else { continue };
        match &mut more {
            Some(buf) => buf.extend_from_slice(&data),
            None if first.is_empty() => first = data,
            None => more = Some(BytesMut::from_iter(first.iter().chain(&data))),
        }
    }
    Ok(more.map_or(first, BytesMut::freeze))
}

/// Lets the connection notice that its exchange has ended.
async fn free(lease: &mut Lease) {
    poll_fn(|cx| {
        lease.conn().drive(cx);
        Poll::Ready(())
    })
    .await;
}

impl Failure {
    fn unknown(kind: ErrorKind, body: Option<RequestBody>) -> Self {
        Self { kind, ran: Ran::Unknown, body }
    }

    fn with_body(self, again: Option<RequestBody>) -> Self {
        Self { body: self.body.or(again), ..self }
    }
}
