//! One request from its head to its answer.

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
use borageswitch_policy::dispatch::{DispatchInput, Offer, Outcome, Ticket};
use borageswitch_types::{
    ErrorKind,
    claim::{ClaimOutcome, ClaimRequest},
    error::{DEADLINE_HEADER, Ran, VERDICT_HEADER},
    names::{CallerName, HostName},
    view::ServiceView,
};
use bytes::{Bytes, BytesMut};
use http::{
    HeaderName, HeaderValue, Method, Request, Response, StatusCode, Version, header, request::Parts,
};
use http_body::Body;
use hyper::body::Incoming;

use super::{
    answer::{self, Refusal},
    answer_body::AnswerBody,
    core::Core,
    head::{self, RequestHead},
    pool::Lease,
    queue::{Decision, Pending, ServiceQueue},
    request_body::{self, BodyFault, BodyLimits, RequestBody, before},
    target_conn::SendError,
};

/// The header by which a target refuses a request that it did not start.
pub(super) const REFUSED_HEADER: HeaderName = HeaderName::from_static("target-refused");
/// Answers up to this many bytes are read whole before the caller sees their head: their slot is
/// free at once however slowly the caller reads, and one that breaks off can be tried again.
const WHOLE_ANSWER: u64 = 64 << 10;
/// How much later than its deadline a waiting request is given up should the dispatcher not have
/// answered it.
const GRACE: Duration = Duration::from_secs(1);
/// A request that must not be sent twice uses no connection that has been idle for longer: the
/// target may just be closing it, and then nobody could say whether the request ran.
const FRESH_ENOUGH: Duration = Duration::from_secs(2);
/// How many idle connections may turn out to be closed before the request counts as not sent.
const STALE_CONNECTIONS: usize = 64;

/// Counts a request from its head to its end.
struct Counted {
    core: Arc<Core>,
    began: Instant,
}

/// Everything about a request that every try of it needs.
struct Exchange {
    core: Arc<Core>,
    queue: Arc<ServiceQueue>,
    ticket: Ticket,
    parts: Parts,
    idempotent: bool,
    /// The claim that a request which is not idempotent needs before it is sent.
    claim: Option<Arc<str>>,
    end: Instant,
}

/// A request that waits for a decision; dropping it withdraws the request.
struct Waiting<'a> {
    exchange: &'a Exchange,
    decision: async_channel::Receiver<Decision>,
    decided: bool,
}

/// A try that holds a slot; dropping it tells the dispatcher that the caller went away.
pub(super) struct Started {
    core: Arc<Core>,
    queue: Arc<ServiceQueue>,
    ticket: Ticket,
    host: HostName,
    counted: Option<Counted>,
    ended: bool,
}

/// How a try ended without an answer.
struct Failure {
    kind: ErrorKind,
    ran: Ran,
    /// The body, if it is whole and at hand.
    body: Option<RequestBody>,
}

/// Answers one request.
pub(super) async fn serve(core: Arc<Core>, req: Request<Incoming>) -> Response<AnswerBody> {
    let h1 = req.version() < Version::HTTP_2;
    let counted = Counted::new(&core);
    let mut res = match answer(&core, counted, req).await {
        Ok(res) => res,
        Err(refusal) => {
            core.stats.error(refusal.kind);
            refusal.into_response()
        }
    };
    if !h1 {
        res.headers_mut().remove(header::CONNECTION);
    } else if core.shutdown.has_begun() {
        answer::close(res.headers_mut());
    }
    res
}

async fn answer(
    core: &Arc<Core>,
    counted: Counted,
    req: Request<Incoming>,
) -> Result<Response<AnswerBody>, Refusal> {
    let (parts, incoming) = req.into_parts();
    let head = RequestHead::read(&parts)?;
    let view = core.view.load_full().ok_or(ErrorKind::NotAdmitting)?;
    let name = head::service_name(&parts)?;
    let (name, service) = view.services.get_key_value(name).ok_or(ErrorKind::UnknownService)?;
    if !view.admitting || !core.may_admit() {
        let retry_after = Some(view.retry_after);
        return Err(Refusal { kind: ErrorKind::NotAdmitting, retry_after });
    }
    let idempotent = is_idempotent(&head, &parts.method, service);
    let claim = (!idempotent).then(|| claim_text(&head)).transpose()?;
    let queue = core.queue(name).ok_or(ErrorKind::UnknownService)?;
    let end = counted.began + allowed_time(&head, service);
    let limits =
        BodyLimits { max_bytes: service.limits.max_body, stall: core.cfg.body_timeout, end };
    let body = request_body::take_in(incoming, head.content_length, limits).await?;
    let offer = Offer {
        ticket: core.next_ticket(),
        caller: head.caller.unwrap_or_else(|| CallerName::from("unnamed")),
        priority: head.priority,
        deadline: core.time_of(end),
        kind: head.kind,
        retryable: idempotent && matches!(body, RequestBody::Kept(_)),
    };
    let core = Arc::clone(core);
    let exchange = Exchange { core, queue, ticket: offer.ticket, parts, idempotent, claim, end };
    exchange.run(offer, body, counted).await
}

fn is_idempotent(head: &RequestHead, method: &Method, service: &ServiceView) -> bool {
    let by_method = service.limits.method_decides && head::is_idempotent(method);
    head.idempotent.unwrap_or(by_method)
}

fn claim_text(head: &RequestHead) -> Result<Arc<str>, ErrorKind> {
    let id = head.request_id.as_deref().ok_or(ErrorKind::MissingRequestId)?;
    let caller = head.caller.as_ref().map_or("", CallerName::as_str);
    Ok(Arc::from(format!("{caller}/{id}")))
}

fn allowed_time(head: &RequestHead, service: &ServiceView) -> Duration {
    let limits = &service.limits;
    head.deadline.unwrap_or(limits.default_deadline).min(limits.max_deadline)
}

impl Exchange {
    async fn run(
        mut self,
        offer: Offer,
        body: RequestBody,
        counted: Counted,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let offered = Instant::now();
        let mut counted = Some(counted);
        let mut body = body;
        let mut input = DispatchInput::Offered(offer);
        let mut tries = 0_u32;
        loop {
            let (host, address) = match self.decision(input).await? {
                Decision::Start { host, address } => (host, address),
                Decision::Refuse(refusal) => return Err(refusal),
            };
            let started = self.started(host, counted.take());
            match tries {
                0 => self.core.stats.started(offered.elapsed()),
                _ => self.core.stats.retried(),
            }
            tries += 1;
            let failure = match self.attempt(address, body).await {
                Ok(Answer::Whole(res)) => return Ok(self.pass_on(res, started)),
                Ok(Answer::Streaming(res, lease)) => return Ok(self.stream(res, started, lease)),
                Err(failure) => failure,
            };
            let Failure { kind, ran, body: at_hand } = failure;
            let Some(same) = at_hand else {
                started.finish(Outcome::Failed { kind, ran, retryable: false });
                return Err(kind.into());
            };
            body = same;
            counted = started.hand_over(ran);
            input = DispatchInput::Finished(
                self.ticket,
                Outcome::Failed { kind, ran, retryable: true },
            );
        }
    }

    async fn decision(&self, input: DispatchInput) -> Result<Decision, Refusal> {
        let decision = match self.queue.ask(self.core.now(), self.ticket, input) {
            Pending::Now(decision) => return Ok(decision),
            Pending::Later(decision) => decision,
        };
        let mut waiting = Waiting { exchange: self, decision, decided: false };
        let decision = before(self.end + GRACE, waiting.decision.recv()).await;
        let decision = decision.and_then(Result::ok).ok_or(ErrorKind::DeadlineInQueue)?;
        waiting.decided = true;
        Ok(decision)
    }

    fn started(&self, host: HostName, counted: Option<Counted>) -> Started {
        Started {
            core: Arc::clone(&self.core),
            queue: Arc::clone(&self.queue),
            ticket: self.ticket,
            host,
            counted,
            ended: false,
        }
    }

    /// Sends the request once and waits for its answer.
    async fn attempt(&mut self, address: SocketAddr, body: RequestBody) -> Result<Answer, Failure> {
        if let Err(kind) = self.claim_id().await {
            return Err(Failure { kind, ran: Ran::No, body: None });
        }
        let again = body.again();
        let (res, lease) = match before(self.end, self.send(address, body)).await {
            Some(sent) => sent?,
            None => return Err(Failure::unknown(ErrorKind::TargetTimeout, None)),
        };
        self.judge(res, lease, again).await
    }

    async fn claim_id(&mut self) -> Result<(), ErrorKind> {
        let Some(request_id) = &self.claim else { return Ok(()) };
        let pending = self.core.claims.ask();
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
        match before(end, pending.outcome()).await.unwrap_or(ClaimOutcome::Unavailable) {
            ClaimOutcome::Granted => {
                // The id is this request's from now on: a second try needs no second claim.
                self.claim = None;
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
                Ok(res) => return Ok((res, lease)),
                Err(SendError::NotSent(same)) => body = same,
                Err(SendError::Lost(err)) => return Err(self.lost(&fault, &err)),
            }
        }
        Err(Failure { kind: ErrorKind::NotSent, ran: Ran::No, body: Some(body) })
    }

    async fn lease(&self, address: SocketAddr, body: &mut RequestBody) -> Result<Lease, Failure> {
        let max_idle = if self.idempotent { Duration::MAX } else { FRESH_ENOUGH };
        let leased = self.core.pool.lease(address, max_idle, self.end).await;
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

    fn pass_on(&self, res: Response<Bytes>, started: Started) -> Response<AnswerBody> {
        let (mut head, bytes) = res.into_parts();
        self.mark(&mut head);
        started.finish(Outcome::Answered { status: head.status.as_u16() });
        Response::from_parts(head, AnswerBody::whole(bytes))
    }

    fn stream(
        &self,
        res: Response<Incoming>,
        started: Started,
        lease: Lease,
    ) -> Response<AnswerBody> {
        let (mut head, incoming) = res.into_parts();
        self.mark(&mut head);
        let status = head.status.as_u16();
        let body = AnswerBody::streaming(incoming, status, self.end, started, lease);
        Response::from_parts(head, body)
    }

    fn mark(&self, head: &mut http::response::Parts) {
        self.core.stats.answered();
        let length = head.headers.get(header::CONTENT_LENGTH).cloned();
        head::strip_hop_by_hop(&mut head.headers);
        if self.parts.method == Method::HEAD
            && let Some(length) = length
        {
            head.headers.insert(header::CONTENT_LENGTH, length);
        }
        head.headers.insert(HeaderName::from_static(VERDICT_HEADER), answer::verdict(Ran::Yes));
        head.version = Version::HTTP_11;
        head.extensions.clear();
    }
}

/// What came back.
enum Answer {
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
}

impl Started {
    /// Tells how the try ended; nothing more is decided about the request.
    pub(super) fn finish(mut self, outcome: Outcome) {
        self.end(outcome);
    }

    /// Ends this guard, for the outcome goes to the dispatcher by another way.
    fn hand_over(mut self, ran: Ran) -> Option<Counted> {
        self.ended = true;
        self.queue.count(&self.host, ran == Ran::Unknown);
        self.counted.take()
    }

    fn end(&mut self, outcome: Outcome) {
        assert!(!self.ended, "a try ended twice");
        self.ended = true;
        let failed = matches!(outcome, Outcome::Failed { ran: Ran::Unknown, .. })
            || matches!(outcome, Outcome::Answered { status: 500.. });
        self.queue.count(&self.host, failed);
        self.queue.end(self.core.now(), self.ticket, DispatchInput::Finished(self.ticket, outcome));
        self.core.ask_for_report_of(&self.host);
    }
}

impl Drop for Started {
    fn drop(&mut self) {
        if !self.ended {
            self.end(Outcome::Abandoned);
        }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.decided {
            return;
        }
        let exchange = self.exchange;
        exchange.queue.cancel(exchange.core.now(), exchange.ticket, &self.decision);
    }
}

impl Counted {
    fn new(core: &Arc<Core>) -> Self {
        core.stats.request_began();
        Self { core: Arc::clone(core), began: Instant::now() }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.core.stats.request_ended(self.began.elapsed());
    }
}
