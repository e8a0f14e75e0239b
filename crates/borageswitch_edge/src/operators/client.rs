//! The client's end: opens connections for the schema's generated client.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use borageswitch_wire::schema::proto::operator_client::OperatorClient;
use http::{Request, Response, Uri};
use hyper::{
    body::Incoming,
    client::conn::http2::{Builder, SendRequest},
};
use smol::net::TcpStream;
use smol_hyper::rt::{FuturesIo, SmolExecutor, SmolTimer};
use tonic::body::Body;

use crate::platform::with_deadline;

/// How often a quiet connection is asked whether its other end is still there.
const PING_INTERVAL: Duration = Duration::from_secs(10);
/// How long the other end has for the answer.
const PING_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a daemon cannot be asked.
#[derive(Debug, derive_more::Display, derive_more::From)]
pub enum ConnectError {
    /// The connection cannot be opened.
    #[display("{_0}")]
    Io(io::Error),
    /// The other end does not speak HTTP/2.
    #[display("{_0}")]
    Http(hyper::Error),
    /// The connection was not open in time.
    #[display("it does not answer")]
    #[from(skip)]
    Late,
}

impl std::error::Error for ConnectError {}

/// A connection to one daemon, as the generated client uses it.
#[derive(Clone)]
pub struct Connection {
    sender: SendRequest<Body>,
}

/// Opens a connection to a daemon's operators' port.
///
/// # Errors
///
/// When nobody answers there within `timeout`.
pub async fn connect(
    daemon: SocketAddr,
    timeout: Duration,
    ex: &Arc<smol::Executor<'static>>,
) -> Result<OperatorClient<Connection>, ConnectError> {
    let opened = with_deadline(Instant::now() + timeout, open(daemon, ex)).await;
    let connection = opened.unwrap_or(Err(ConnectError::Late))?;
    let origin = Uri::builder().scheme("http").authority(daemon.to_string()).path_and_query("/");
    let origin = origin.build().unwrap_or_else(|_| unreachable!("an address is an authority"));
    Ok(OperatorClient::with_origin(connection, origin))
}

async fn open(
    daemon: SocketAddr,
    ex: &Arc<smol::Executor<'static>>,
) -> Result<Connection, ConnectError> {
    let stream = TcpStream::connect(daemon).await?;
    stream.set_nodelay(true)?;
    let (sender, driver) = Builder::new(SmolExecutor::new(ex.clone()))
        .timer(SmolTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .handshake(FuturesIo::new(stream))
        .await?;
    ex.spawn(async move {
        if let Err(err) = driver.await {
            log::debug!("the connection to {daemon} ended: {err}");
        }
    })
    .detach();
    Ok(Connection { sender })
}

impl tower_service::Service<Request<Body>> for Connection {
    type Response = Response<Incoming>;
    type Error = hyper::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, hyper::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), hyper::Error>> {
        self.sender.poll_ready(cx)
    }

    fn call(&mut self, req: Request<Body>) -> Self::Future {
        Box::pin(self.sender.send_request(req))
    }
}
