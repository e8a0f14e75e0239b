//! One connection to a target.
//!
//! The connection is driven by the exchange that uses it, not by a task of its own: giving the
//! exchange up drops the connection and so closes it, and a late answer on it can reach nobody.
//! It also saves two changes of task a request.

use std::{
    future::poll_fn,
    io,
    net::{SocketAddr, TcpStream},
    pin::{Pin, pin},
    task::{Context, Poll},
    time::{Duration, Instant},
};

use async_io::Async;
use http::{Request, Response};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, Connection, SendRequest},
};
use rustix::net::sockopt;
use smol_hyper::rt::FuturesIo;

use super::{
    request_body::{RequestBody, before},
    stream::SharedStream,
};

/// Boxed, for connections move between pool and exchanges and it is large.
type Driver = Box<Connection<FuturesIo<SharedStream>, RequestBody>>;

/// The most bytes of an answer's head or of one chunk that are buffered.
const MAX_BUF: usize = 64 << 10;
/// When the path has lost a connection, the kernel's probes stay unanswered and end it after
/// about eleven seconds; a target that merely takes long answers them without noticing.
const PROBE_AFTER: Duration = Duration::from_secs(5);
const PROBE_EVERY: Duration = Duration::from_secs(2);
const PROBES: u32 = 3;
/// The same for bytes that were sent and not acknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_secs(11);

/// A connection to a target.
pub(super) struct TargetConn {
    sender: SendRequest<RequestBody>,
    /// Nothing once the connection has ended.
    driver: Option<Driver>,
    stream: SharedStream,
    pub(super) opened: Instant,
    pub(super) idle_since: Instant,
}

/// Why a request has no answer.
#[derive(Debug)]
pub(super) enum SendError {
    /// Not one byte of the request was written; the body is here again.
    NotSent(RequestBody),
    /// The target may have it.
    Lost(hyper::Error),
}

impl TargetConn {
    /// Connects to `address` before `end`.
    ///
    /// # Errors
    ///
    /// Those of connecting; [`io::ErrorKind::TimedOut`] at `end`.
    pub(super) async fn open(address: SocketAddr, end: Instant) -> io::Result<Self> {
        let stream = before(end, Async::<TcpStream>::connect(address))
            .await
            .unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))?;
        prepare(stream.get_ref())?;
        let stream = SharedStream::new(stream);
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_BUF)
            .handshake(FuturesIo::new(stream.clone()))
            .await
            .map_err(io::Error::other)?;
        let now = Instant::now();
        Ok(Self {
            sender: handshake.0,
            driver: Some(Box::new(handshake.1)),
            stream,
            opened: now,
            idle_since: now,
        })
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Tells whether the target may have the request.
    pub(super) async fn send(
        &mut self,
        req: Request<RequestBody>,
    ) -> Result<Response<Incoming>, SendError> {
        self.stream.look_again();
        let mut answer = pin!(self.sender.try_send_request(req));
        let driver = &mut self.driver;
        let sent = poll_fn(|cx| {
            drive(driver, cx);
            answer.as_mut().poll(cx)
        });
        sent.await.map_err(|mut err| match err.take_message() {
            // The request is only handed back while it was still queued: nothing was written.
            Some(req) => SendError::NotSent(req.into_body()),
            None => SendError::Lost(err.into_error()),
        })
    }

    /// Moves bytes.
    pub(super) fn drive(&mut self, cx: &mut Context<'_>) {
        drive(&mut self.driver, cx);
    }

    /// Whether the last exchange has ended whole, on both ways, so that another may begin.
    pub(super) fn is_free(&self) -> bool {
        self.driver.is_some() && self.sender.is_ready()
    }

    pub(super) fn is_worn(&self, now: Instant, idle_age: Duration, total_age: Duration) -> bool {
        now.saturating_duration_since(self.idle_since) > idle_age
            || now.saturating_duration_since(self.opened) > total_age
    }

    pub(super) fn stream(&self) -> SharedStream {
        self.stream.clone()
    }
}

fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, PROBE_AFTER)?;
    sockopt::set_tcp_keepintvl(stream, PROBE_EVERY)?;
    sockopt::set_tcp_keepcnt(stream, PROBES)?;
    sockopt::set_tcp_user_timeout(stream, UNACKNOWLEDGED.as_millis() as u32)?;
    Ok(())
}

fn drive(driver: &mut Option<Driver>, cx: &mut Context<'_>) {
    if let Some(running) = driver
        && let Poll::Ready(_) = Pin::new(running).poll(cx)
    {
        // Dropping it hands a queued request back as not sent.
        *driver = None;
    }
}
