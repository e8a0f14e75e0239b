//! One request from its head to its answer.

use std::{
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use borageswitch_policy::dispatch::{DispatchInput, Offer, Outcome, Ticket};
use borageswitch_types::{
    ErrorKind,
    error::{Ran, VERDICT_HEADER},
    names::{CallerName, HostName},
    view::ServiceView,
};
use bytes::Bytes;
use http::{HeaderName, Method, Request, Response, Version, header, request::Parts, response};
use hyper::body::Incoming;
use smol::{Executor, Task};

use super::{
    answer::{self, Refusal},
    answer_body::AnswerBody,
    attempt::{Answer, Failure},
    claims::HeldClaim,
    core::Core,
    head::{self, RequestHead},
    pool::Lease,
    queue::{Decision, Pending, ServiceQueue},
    request_body::{self, BodyLimits, RequestBody, before},
};

/// How much later than its deadline a waiting request is given up should the dispatcher not have
/// answered it.
const GRACE: Duration = Duration::from_secs(1);

/// Counts a request from its head to its end.
struct Counted {
    core: Arc<Core>,
    began: Instant,
}

/// Everything about a request that every try of it needs.
pub(super) struct Exchange {
    pub(super) core: Arc<Core>,
    pub(super) queue: Arc<ServiceQueue>,
    pub(super) ticket: Ticket,
    pub(super) parts: Parts,
    pub(super) kind: u64,
    pub(super) idempotent: bool,
    /// The claim that a request which is not idempotent needs before it is sent.
    pub(super) claim: Option<Arc<str>>,
    /// That claim once it is granted.
    pub(super) held: Option<HeldClaim>,
    pub(super) end: Instant,
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

/// A task that runs on when nobody waits for it any more.
struct Outliving<T>(Option<Task<T>>);

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
    if !idempotent && !core.claims.passable(end).await {
        return Err(ErrorKind::ClaimUnavailable.into());
    }
    let offer = Offer {
        ticket: core.next_ticket(),
        caller: head.caller.unwrap_or_else(|| CallerName::from("unnamed")),
        priority: head.priority,
        deadline: core.time_of(end),
        kind: head.kind,
        retryable: idempotent && matches!(body, RequestBody::Kept(_)),
    };
    let core = Arc::clone(core);
    let ticket = offer.ticket;
    let held = None;
    let kind = head.kind;
    let exchange = Exchange { core, queue, ticket, parts, kind, idempotent, claim, held, end };
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
        // Why the last try ended that may have run; "not run" would be false after it.
        let mut may_have_run = None;
        loop {
            let (host, address) = match self.decision(input).await? {
                Decision::Start { host, address } => (host, address),
                Decision::Refuse(refusal) => return Err(refusal),
            };
            let started = self.started(host, counted.take());
            // The request may have waited through a pause of the whole process. Its host may have
            // left meanwhile, and by this daemon's old view it would get new work all the same.
            if !self.core.may_admit() {
                started.finish(Outcome::Abandoned);
                return Err(may_have_run.unwrap_or(ErrorKind::NotAdmitting).into());
            }
            match tries {
                0 => self.core.stats.started(offered.elapsed()),
                _ => self.core.stats.retried(),
            }
            tries += 1;
            let (exchange, started, result) = self.attempt_with(started, address, body).await;
            self = exchange;
            let failure = match result {
                Ok(Answer::Whole(res)) => return Ok(self.pass_on(res, started)),
                Ok(Answer::Streaming(res, lease)) => return Ok(self.stream(res, started, lease)),
                Err(failure) => failure,
            };
            let Failure { kind, ran, body: at_hand } = failure;
            // A request that must not run twice is never tried again once it may have run,
            // whatever the dispatcher would decide.
            let harmless = self.idempotent || ran == Ran::No;
            let Some(same) = at_hand.filter(|_| harmless) else {
                started.finish(Outcome::Failed { kind, ran, retryable: false });
                return Err(kind.into());
            };
            body = same;
            if ran == Ran::Unknown {
                may_have_run = Some(kind);
            }
            counted = started.hand_over(ran);
            input = DispatchInput::Finished(
                self.ticket,
                Outcome::Failed { kind, ran, retryable: true },
            );
        }
    }

    /// Makes one try.
    ///
    /// A try that must not be repeated goes on to its end although the caller may go away: the
    /// target goes on with it too, and were its slot free, a drain would reboot the host under it.
    async fn attempt_with(
        mut self,
        started: Started,
        address: SocketAddr,
        body: RequestBody,
    ) -> (Exchange, Started, Result<Answer, Failure>) {
        let harmless = self.idempotent;
        let executor = Arc::clone(&self.core.executor);
        let attempt = async move {
            let result = self.attempt(address, body).await;
            (self, started, result)
        };
        if harmless {
            return attempt.await;
        }
        Outliving(Some(executor.spawn(attempt))).await
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

    fn mark(&self, head: &mut response::Parts) {
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

impl Started {
    pub(super) fn executor(&self) -> &Arc<Executor<'static>> {
        &self.core.executor
    }

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

impl<T> Future for Outliving<T> {
    type Output = T;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<T> {
        let task = self.0.as_mut().expect("polled after its end");
        let output = ready!(Pin::new(task).poll(cx));
        self.0 = None;
        Poll::Ready(output)
    }
}

impl<T> Drop for Outliving<T> {
    fn drop(&mut self) {
        if let Some(task) = self.0.take() {
            task.detach();
        }
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
