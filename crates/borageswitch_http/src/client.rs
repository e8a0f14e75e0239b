//! One HTTP exchange, bounded in time and size.

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

use crate::connections::{Connection, Connections};

/// The largest answer that is read, in bytes: a list of values with room to spare.
const MAX_ANSWER: usize = 16 << 20;

/// A request with its whole body.
pub type WholeRequest = Request<Full<Bytes>>;

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// It is proved that not one byte of the request was written.
    NotSent,
    /// The request may have been read.
    Lost {
        /// Whether it was sent on a connection that had served before.
        reused: bool,
    },
}

/// How long a call may take.
#[derive(Clone, Copy, Debug)]
enum Patience {
    /// Until then in all.
    Until(Instant),
    /// Until then for the head of the answer, and so long for each further part of it.
    Parts(Instant, Duration),
}

impl Patience {
    fn head(self) -> Instant {
        match self {
            Patience::Until(deadline) | Patience::Parts(deadline, _) => deadline,
        }
    }
}

/// Makes calls and keeps their connections.
pub struct Client {
    connections: Connections,
    connect_timeout: Duration,
    ex: Arc<smol::Executor<'static>>,
}

impl Client {
    /// A client that keeps connections for at most `max_age`. Connections are driven on `ex`.
    pub fn new(
        connect_timeout: Duration,
        max_age: Duration,
        ex: Arc<smol::Executor<'static>>,
    ) -> Self {
        Self { connections: Connections::new(max_age), connect_timeout, ex }
    }

    /// Makes a call, on a kept connection if there is one.
    ///
    /// # Errors
    ///
    /// Says whether the request can have been read.
    pub async fn call(
        &self,
        address: SocketAddr,
        req: WholeRequest,
        timeout: Duration,
    ) -> Result<Answer, CallError> {
        self.call_with(address, req, Patience::Until(Instant::now() + timeout)).await
    }

    /// Makes a call whose answer may be large: it may take as long as its parts keep coming, each
    /// within `timeout`. Bounded in all, an answer that fits no small link would be asked for again
    /// and again and never come.
    ///
    /// # Errors
    ///
    /// As [`Self::call`].
    pub async fn call_large(
        &self,
        address: SocketAddr,
        req: WholeRequest,
        timeout: Duration,
    ) -> Result<Answer, CallError> {
        self.call_with(address, req, Patience::Parts(Instant::now() + timeout, timeout)).await
    }

    async fn call_with(
        &self,
        address: SocketAddr,
        mut req: WholeRequest,
        patience: Patience,
    ) -> Result<Answer, CallError> {
        while let Some(conn) = self.connections.take(address) {
            match self.exchange(address, conn, req, true, patience).await {
                Ok(answer) => return Ok(answer),
                // The other end closed the connection while it was unused: another one is tried,
                // with the very request that came back unsent.
                Err(Failed::Unsent(back)) => req = *back,
                Err(Failed::Call(err)) => return Err(err),
            }
        }
        self.connect_and_call(address, req, patience).await
    }

    /// Makes a call on a connection of its own, whatever connections are kept.
    ///
    /// # Errors
    ///
    /// As [`Self::call`].
    pub async fn call_anew(
        &self,
        address: SocketAddr,
        req: WholeRequest,
        deadline: Instant,
    ) -> Result<Answer, CallError> {
        self.connect_and_call(address, req, Patience::Until(deadline)).await
    }

    async fn connect_and_call(
        &self,
        address: SocketAddr,
        req: WholeRequest,
        patience: Patience,
    ) -> Result<Answer, CallError> {
        let conn = self.connect(address, patience.head()).await.ok_or(CallError::NotSent)?;
        match self.exchange(address, conn, req, false, patience).await {
            Ok(answer) => Ok(answer),
            Err(Failed::Unsent(_)) => Err(CallError::NotSent),
            Err(Failed::Call(err)) => Err(err),
        }
    }

    async fn connect(&self, address: SocketAddr, deadline: Instant) -> Option<Connection> {
        let until = deadline.min(Instant::now() + self.connect_timeout);
        let stream = before(until, TcpStream::connect(address)).await?.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, driver) = http1::handshake(FuturesIo::new(stream)).await.ok()?;
        let driver = async move {
            if let Err(err) = driver.await {
                log::debug!("a connection to {address} ended: {err}");
            }
        };
        let driver = self.ex.spawn(driver);
        Some(Connection { sender, opened: Instant::now(), _driver: driver })
    }

    /// Sends a request and reads the whole answer.
    ///
    /// The connection is kept only after a whole answer. In every other case it is dropped and with
    /// it closed, so a late answer can reach no later call.
    async fn exchange(
        &self,
        address: SocketAddr,
        mut conn: Connection,
        req: WholeRequest,
        reused: bool,
        patience: Patience,
    ) -> Result<Answer, Failed> {
        let sending = conn.sender.try_send_request(req);
        let Some(sent) = before_or_late(patience.head(), sending).await else {
            self.connections.forget(address);
            return Err(Failed::Call(CallError::Lost { reused }));
        };
        let response = sent.map_err(|mut err| match err.take_message() {
            Some(back) => Failed::Unsent(Box::new(back)),
            None => Failed::Call(CallError::Lost { reused }),
        })?;
        let (head, body) = response.into_parts();
        let Some(body) = read_body(Limited::new(body, MAX_ANSWER), patience).await else {
            self.connections.forget(address);
            return Err(Failed::Call(CallError::Lost { reused }));
        };
        self.connections.keep(address, conn);
        Ok(Answer { status: head.status, headers: head.headers, body })
    }
}

/// The whole of a body, or nothing if it breaks off or does not come in time.
async fn read_body(mut body: Limited<Incoming>, patience: Patience) -> Option<Bytes> {
    let pause = match patience {
        Patience::Until(deadline) => {
            return Some(before_or_late(deadline, body.collect()).await?.ok()?.to_bytes());
        }
        Patience::Parts(_, pause) => pause,
    };
    let mut bytes = BytesMut::new();
    while let Some(part) = before_or_late(Instant::now() + pause, body.frame()).await? {
        if let Ok(data) = part.ok()?.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    Some(bytes.freeze())
}

enum Failed {
    Unsent(Box<WholeRequest>),
    Call(CallError),
}

/// A timer that fires so much too late tells that this process is late with everything.
const LATE: Duration = Duration::from_millis(20);
/// The most that is added to a deadline for that.
const MOST_ADDED: Duration = Duration::from_millis(400);

/// The output of a future, or nothing once `deadline` has passed by this process's own account.
///
/// A process that has more to do than its core can carry comes late to its timers and its sockets
/// alike. The answers are there, unread, when the timers fire; were they given up, each would cost
/// another call to find out what became of the first, and the process would never catch up. So a
/// deadline is put off by as much as its timer was late.
async fn before_or_late<F>(deadline: Instant, f: F) -> Option<F::Output>
where
    F: Future,
{
    let timer = async {
        smol::Timer::at(deadline).await;
        let late = deadline.elapsed();
        if late >= LATE {
            smol::Timer::after(late.min(MOST_ADDED)).await;
        }
        None
    };
    future::or(async { Some(f.await) }, timer).await
}

/// The output of a future, or nothing once `deadline` has passed.
pub async fn before<F>(deadline: Instant, f: F) -> Option<F::Output>
where
    F: Future,
{
    let timer = async {
        smol::Timer::at(deadline).await;
        None
    };
    future::or(async { Some(f.await) }, timer).await
}
