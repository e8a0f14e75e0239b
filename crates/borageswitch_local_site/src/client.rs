//! A caller's connection to an entry.

use std::{fmt, io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures_lite::future;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use smol::{Async, Executor, Timer};
use smol_hyper::rt::FuturesIo;
use std::{net::TcpStream, sync::Arc};

/// How an exchange ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// The entry refused the connection.
    Refused,
    /// The connection ended before the head of an answer.
    NoAnswer,
    /// The connection ended within the body of an answer.
    CutShort,
    /// Nothing came for [`EXCHANGE_TIMEOUT`].
    Silent,
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ExchangeError::Refused => "the connection was refused",
            ExchangeError::NoAnswer => "the connection ended before an answer",
            ExchangeError::CutShort => "the connection ended within an answer",
            ExchangeError::Silent => "nothing was answered",
        })
    }
}

impl std::error::Error for ExchangeError {}

/// A caller gives up after this time; far above every deadline that the callers ask for.
pub const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(60);

/// One connection over HTTP/1.1, opened when it is first needed and again after it ended.
pub struct Client {
    ex: Arc<Executor<'static>>,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl Client {
    /// A client without a connection.
    pub fn new(ex: Arc<Executor<'static>>) -> Self {
        Self { ex, sender: None }
    }

    /// Closes the connection; the next exchange opens another.
    pub fn close(&mut self) {
        self.sender = None;
    }

    /// Sends a request to `entry` and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Says how far the exchange came.
    pub async fn exchange(
        &mut self,
        entry: SocketAddr,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let exchanged = future::or(self.try_exchange(entry, req), async {
            Timer::after(EXCHANGE_TIMEOUT).await;
            Err(ExchangeError::Silent)
        })
        .await;
        if exchanged.is_err() {
            self.sender = None;
        }
        exchanged
    }

    async fn try_exchange(
        &mut self,
        entry: SocketAddr,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let mut sender = match self.sender.take() {
            Some(sender) if !sender.is_closed() => sender,
            _ => self.connect(entry).await.map_err(|_| ExchangeError::Refused)?,
        };
        sender.ready().await.map_err(|_| ExchangeError::Refused)?;
        let res = sender.send_request(req).await.map_err(|_| ExchangeError::NoAnswer)?;
        let (parts, body) = res.into_parts();
        let body = body.collect().await.map_err(|_| ExchangeError::CutShort)?.to_bytes();
        self.sender = Some(sender);
        Ok(Response::from_parts(parts, body))
    }

    async fn connect(&self, entry: SocketAddr) -> io::Result<SendRequest<Full<Bytes>>> {
        let stream = Async::<TcpStream>::connect(entry).await?;
        stream.get_ref().set_nodelay(true)?;
        let (sender, connection) =
            http1::handshake(FuturesIo::new(stream)).await.map_err(io::Error::other)?;
        let run = async move {
            if let Err(err) = connection.await {
                log::debug!("a caller's connection ended: {err}");
            }
        };
        self.ex.spawn(run).detach();
        Ok(sender)
    }
}
