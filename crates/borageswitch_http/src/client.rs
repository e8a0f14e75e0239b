//! HTTP client whose calls are bounded in time and response size.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use futures_lite::future;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, client::conn::http1};
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use crate::{
    connections::{Connection, ConnectionPool},
    write_gate::{Gate, GatedStream, WritePermit},
};

/// The largest response body that is read, in bytes. A list of values stays well below it.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// A request whose body is fully buffered.
pub type WholeRequest = Request<Full<Bytes>>;

/// A response whose body has been read completely.
#[derive(Debug)]
pub struct HttpResponse {
    /// Status code of the response.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// Complete body of the response.
    pub body: Bytes,
}

/// Why a call returned no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// Not a single byte of the request was written, so the server cannot have processed it.
    NotSent,
    /// The server may have read the request.
    Lost {
        /// Whether the request was sent on a connection that had already served a call.
        reused: bool,
    },
}

/// Time limit of a call.
#[derive(Clone, Copy, Debug)]
enum Timeout {
    /// Deadline for the complete response.
    Total(Instant),
    /// Deadline for the response headers, and a timeout for each body frame after them.
    PerFrame(Instant, Duration),
}

impl Timeout {
    fn header_deadline(self) -> Instant {
        match self {
            Timeout::Total(deadline) | Timeout::PerFrame(deadline, _) => deadline,
        }
    }
}

/// The limits of a call.
#[derive(Clone, Debug)]
struct Limits {
    time: Timeout,
    /// Whether the connection is reset unless a complete response arrives, after at most this time.
    reset: Option<Duration>,
    /// Asked before bytes of the request are written.
    permit: Option<WritePermit>,
}

impl Limits {
    fn new(time: Timeout) -> Self {
        Self { time, reset: None, permit: None }
    }
}

/// Makes calls and keeps their connections open for reuse.
pub struct Client {
    connections: ConnectionPool,
    connect_timeout: Duration,
    ex: Arc<smol::Executor<'static>>,
}

impl Client {
    /// Creates a client that reuses a connection until it is `max_age` old. Connections are driven
    /// on `ex`.
    pub fn new(
        connect_timeout: Duration,
        max_age: Duration,
        ex: Arc<smol::Executor<'static>>,
    ) -> Self {
        Self { connections: ConnectionPool::new(max_age), connect_timeout, ex }
    }

    /// Makes a call, on an idle connection if there is one.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the server may have read the request.
    pub async fn call(
        &self,
        address: SocketAddr,
        req: WholeRequest,
        timeout: Duration,
    ) -> Result<HttpResponse, CallError> {
        self.call_with(address, req, Limits::new(Timeout::Total(Instant::now() + timeout))).await
    }

    /// Makes a call that must not arrive long after its timeout, or be sent once `permit` is no
    /// longer in force: without a complete response in time the connection is reset, so that what
    /// the network still holds back of the request is not delivered later.
    ///
    /// # Errors
    ///
    /// See [`Self::call`].
    pub async fn call_or_reset(
        &self,
        address: SocketAddr,
        req: WholeRequest,
        timeout: Duration,
        permit: WritePermit,
    ) -> Result<HttpResponse, CallError> {
        let time = Timeout::Total(Instant::now() + timeout);
        let limits = Limits { time, reset: Some(timeout), permit: Some(permit) };
        self.call_with(address, req, limits).await
    }

    /// Makes a call whose response may be large: `timeout` applies to the headers and to each body
    /// frame, not to the whole call. With a limit on the whole call, a response too large for a
    /// slow link would be requested again and again and never arrive.
    ///
    /// # Errors
    ///
    /// See [`Self::call`].
    pub async fn call_large(
        &self,
        address: SocketAddr,
        req: WholeRequest,
        timeout: Duration,
    ) -> Result<HttpResponse, CallError> {
        let time = Timeout::PerFrame(Instant::now() + timeout, timeout);
        self.call_with(address, req, Limits::new(time)).await
    }

    async fn call_with(
        &self,
        address: SocketAddr,
        mut req: WholeRequest,
        limits: Limits,
    ) -> Result<HttpResponse, CallError> {
        while let Some(conn) = self.connections.take(address) {
            match self.exchange(address, conn, req, true, &limits).await {
                Ok(res) => return Ok(res),
                // The server closed the connection while it was idle. Tries the next connection
                // with the unsent request.
                Err(ExchangeError::Unsent(unsent)) => req = *unsent,
                Err(ExchangeError::Call(err)) => return Err(err),
            }
        }
        self.connect_and_call(address, req, &limits).await
    }

    /// Makes a call on a new connection even if idle ones exist.
    ///
    /// # Errors
    ///
    /// See [`Self::call`].
    pub async fn call_on_new_connection(
        &self,
        address: SocketAddr,
        req: WholeRequest,
        deadline: Instant,
    ) -> Result<HttpResponse, CallError> {
        self.connect_and_call(address, req, &Limits::new(Timeout::Total(deadline))).await
    }

    async fn connect_and_call(
        &self,
        address: SocketAddr,
        req: WholeRequest,
        limits: &Limits,
    ) -> Result<HttpResponse, CallError> {
        let deadline = limits.time.header_deadline();
        let conn = self.connect(address, deadline).await.ok_or(CallError::NotSent)?;
        match self.exchange(address, conn, req, false, limits).await {
            Ok(res) => Ok(res),
            Err(ExchangeError::Unsent(_)) => Err(CallError::NotSent),
            Err(ExchangeError::Call(err)) => Err(err),
        }
    }

    async fn connect(&self, address: SocketAddr, deadline: Instant) -> Option<Connection> {
        let until = deadline.min(Instant::now() + self.connect_timeout);
        let stream = with_deadline(until, TcpStream::connect(address)).await?.ok()?;
        stream.set_nodelay(true).ok()?;
        let socket = Arc::downgrade(&Arc::from(stream.clone()));
        let gate = Gate::default();
        let stream = GatedStream::new(stream, gate.clone());
        let (sender, driver) = http1::handshake(FuturesIo::new(stream)).await.ok()?;
        let driver = async move {
            if let Err(err) = driver.await {
                log::debug!("a connection to {address} ended: {err}");
            }
        };
        let driver = self.ex.spawn(driver);
        Some(Connection { sender, opened: Instant::now(), gate, socket, _driver: driver })
    }

    /// Sends a request and reads the complete response.
    ///
    /// The connection is kept only after a complete response. In every other case it is dropped,
    /// which closes it, so that a late response cannot be taken for the response to a later call.
    async fn exchange(
        &self,
        address: SocketAddr,
        mut conn: Connection,
        req: WholeRequest,
        reused: bool,
        limits: &Limits,
    ) -> Result<HttpResponse, ExchangeError> {
        let time_limit = limits.time;
        if limits.reset.is_some()
            && let Err(err) = conn.set_discard_unsent(limits.reset)
        {
            log::debug!("a connection to {address} has no socket to reset: {err}");
        }
        conn.gate.begin_request(limits.permit.clone());
        let sending = conn.sender.try_send_request(req);
        let Some(sent) = with_overload_extension(time_limit.header_deadline(), sending).await
        else {
            self.connections.close_idle(address);
            return Err(ExchangeError::Call(CallError::Lost { reused }));
        };
        let response = sent.map_err(|mut err| match err.take_message() {
            Some(unsent) => ExchangeError::Unsent(Box::new(unsent)),
            None if !conn.gate.has_written() => ExchangeError::Call(CallError::NotSent),
            None => ExchangeError::Call(CallError::Lost { reused }),
        })?;
        let (head, body) = response.into_parts();
        let Some(body) = read_body(Limited::new(body, MAX_RESPONSE_BYTES), time_limit).await else {
            self.connections.close_idle(address);
            return Err(ExchangeError::Call(CallError::Lost { reused }));
        };
        conn.gate.end_request();
        if limits.reset.is_none() || conn.set_discard_unsent(None).is_ok() {
            self.connections.put(address, conn);
        }
        Ok(HttpResponse { status: head.status, headers: head.headers, body })
    }
}

/// Reads a complete body. Returns `None` if the body is cut off, too large or late.
async fn read_body(mut body: Limited<Incoming>, time_limit: Timeout) -> Option<Bytes> {
    let frame_timeout = match time_limit {
        Timeout::Total(deadline) => {
            return Some(with_overload_extension(deadline, body.collect()).await?.ok()?.to_bytes());
        }
        Timeout::PerFrame(_, frame_timeout) => frame_timeout,
    };
    let mut bytes = BytesMut::new();
    while let Some(next_frame) =
        with_overload_extension(Instant::now() + frame_timeout, body.frame()).await?
    {
        if let Ok(data) = next_frame.ok()?.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    Some(bytes.freeze())
}

enum ExchangeError {
    Unsent(Box<WholeRequest>),
    Call(CallError),
}

/// A timer that fires this late shows that the whole process is overloaded.
const OVERLOAD_DELAY: Duration = Duration::from_millis(20);
/// The longest extension of a deadline because of overload.
const MAX_EXTENSION: Duration = Duration::from_millis(400);

/// Awaits a future until `deadline`, which is extended while this process is overloaded. Returns
/// `None` on timeout.
///
/// A process whose core is overloaded handles timers and sockets late alike, so responses are
/// already waiting unread in the sockets when the timers fire. Dropping them would cost a further
/// call each to find out the outcome of the first, and the process would never catch up. The
/// deadline is therefore extended by the delay of its timer, up to [`MAX_EXTENSION`].
async fn with_overload_extension<F>(deadline: Instant, f: F) -> Option<F::Output>
where
    F: Future,
{
    let timer = async {
        smol::Timer::at(deadline).await;
        let late = deadline.elapsed();
        if late >= OVERLOAD_DELAY {
            smol::Timer::after(late.min(MAX_EXTENSION)).await;
        }
        None
    };
    future::or(async { Some(f.await) }, timer).await
}

/// Awaits a future until `deadline`. Returns `None` on timeout.
pub async fn with_deadline<F>(deadline: Instant, f: F) -> Option<F::Output>
where
    F: Future,
{
    let timer = async {
        smol::Timer::at(deadline).await;
        None
    };
    future::or(async { Some(f.await) }, timer).await
}
