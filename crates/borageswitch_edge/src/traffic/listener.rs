//! Connections from callers.

use std::{
    io,
    net::{TcpListener, TcpStream},
    pin::{Pin, pin},
    sync::Arc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use async_io::Async;
use http::Request;
use hyper::{
    body::Incoming,
    server::conn::{http1, http2},
    service::service_fn,
};
use rustix::net::sockopt;
use smol::Timer;
use smol_hyper::rt::{FuturesIo, SmolExecutor, SmolTimer};

use super::{core::Core, exchange, request_body::before, stream::SharedStream};

/// What a client of HTTP/2 sends first; three bytes tell it from every method of HTTP/1.1.
const HTTP2_BEGINS: &[u8] = b"PRI";
/// How long to wait between looks at the first bytes while fewer than three are there.
const PEEK_AGAIN: Duration = Duration::from_millis(5);
/// How long to wait before accepting again after the process ran out of descriptors.
const ACCEPT_AGAIN: Duration = Duration::from_millis(50);
/// How many requests one connection over HTTP/2 may have open.
const MAX_STREAMS: u32 = 256;
/// How much of a body a connection over HTTP/2 may send ahead, in bytes.
const STREAM_WINDOW: u32 = 64 << 10;
const CONNECTION_WINDOW: u32 = 1 << 20;
/// A connection over HTTP/2 that answers no ping for this long has gone.
const PING_EVERY: Duration = Duration::from_secs(10);
const PING_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a caller may leave an answer unread.
const READ_TIMEOUT: Duration = Duration::from_secs(60);
/// Fewer bytes than this no HTTP/1.1 parser of ours may be given.
const MIN_HEAD: usize = 8 << 10;

/// Counts a caller's connection.
struct Connected(Arc<Core>);

/// Which protocol a caller speaks.
enum Protocol {
    Http1,
    Http2,
}

/// Starts accepting connections.
///
/// # Errors
///
/// Those of registering the socket.
pub(super) fn spawn(core: &Arc<Core>, socket: TcpListener) -> io::Result<()> {
    let socket = Async::new(socket)?;
    let executor = Arc::clone(&core.executor);
    executor.spawn(accept_all(Arc::clone(core), socket)).detach();
    Ok(())
}

async fn accept_all(core: Arc<Core>, socket: Async<TcpListener>) {
    let mut stop = pin!(wait_for_stop(&core));
    loop {
        let accepted = {
            let accept = async { Some(socket.accept().await) };
            let stop = async {
                stop.as_mut().await;
                None
            };
            smol::future::or(stop, accept).await
        };
        match accepted {
            None => break,
            Some(Ok((stream, _))) => take(&core, stream),
            Some(Err(err)) => {
                log::warn!("accepting a connection failed: {err}");
                Timer::after(ACCEPT_AGAIN).await;
            }
        }
    }
    drop(socket);
    Timer::after(core.cfg.linger).await;
    core.shutdown.close_idle();
    // A request may outlive its connection, see `exchange`.
    while core.stats.open_connections() > 0 || core.stats.unfinished() > 0 {
        Timer::after(ACCEPT_AGAIN).await;
    }
    core.end_threads();
}

async fn wait_for_stop(core: &Core) {
    let mut registered = None;
    std::future::poll_fn(|cx| {
        if core.shutdown.has_begun() {
            return Poll::Ready(());
        }
        registered.get_or_insert_with(|| core.shutdown.register(cx.waker()));
        if core.shutdown.has_begun() { Poll::Ready(()) } else { Poll::Pending }
    })
    .await;
    if let Some(id) = registered {
        core.shutdown.forget(id);
    }
}

fn take(core: &Arc<Core>, stream: Async<TcpStream>) {
    let open = core.stats.connection_opened();
    let connected = Connected(Arc::clone(core));
    if open > core.cfg.max_connections as u64 {
        core.stats.connection_refused();
        return;
    }
    let serve = async move {
        let ended = serve_connection(&connected.0, stream).await;
        if let Err(err) = ended {
            log::debug!("a caller's connection ended: {err}");
        }
        drop(connected);
    };
    core.executor.spawn(serve).detach();
}

async fn serve_connection(core: &Arc<Core>, stream: Async<TcpStream>) -> io::Result<()> {
    prepare(stream.get_ref())?;
    let end = Instant::now() + core.cfg.head_timeout;
    let protocol = before(end, peek_protocol(&stream)).await;
    let protocol = protocol.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))?;
    let service_core = Arc::clone(core);
    let service = service_fn(move |req: Request<Incoming>| {
        let core = Arc::clone(&service_core);
        async move { Ok::<_, std::convert::Infallible>(exchange::serve(core, req).await) }
    });
    let io = FuturesIo::new(SharedStream::new(stream));
    let ended = match protocol {
        Protocol::Http1 => {
            let connection = http1::Builder::new()
                .timer(SmolTimer::new())
                .header_read_timeout(core.cfg.head_timeout)
                .max_buf_size(core.cfg.max_head.max(MIN_HEAD))
                .serve_connection(io, service);
            Stoppable::new(core, connection, http1::Connection::graceful_shutdown).run().await
        }
        Protocol::Http2 => {
            let executor = SmolExecutor::new(Arc::clone(&core.executor));
            let connection = http2::Builder::new(executor)
                .timer(SmolTimer::new())
                .max_header_list_size(core.cfg.max_head as u32)
                .max_concurrent_streams(MAX_STREAMS)
                .initial_stream_window_size(STREAM_WINDOW)
                .initial_connection_window_size(CONNECTION_WINDOW)
                .keep_alive_interval(PING_EVERY)
                .keep_alive_timeout(PING_TIMEOUT)
                .serve_connection(io, service);
            Stoppable::new(core, connection, http2::Connection::graceful_shutdown).run().await
        }
    };
    ended.map_err(io::Error::other)
}

/// A caller that reads nothing, or that has vanished, is cut off by the kernel.
fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, PING_EVERY)?;
    sockopt::set_tcp_user_timeout(stream, READ_TIMEOUT.as_millis() as u32)?;
    Ok(())
}

async fn peek_protocol(stream: &Async<TcpStream>) -> io::Result<Protocol> {
    let mut buf = [0; HTTP2_BEGINS.len()];
    loop {
        let len = stream.peek(&mut buf).await?;
        if len == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if !HTTP2_BEGINS.starts_with(&buf[..len]) {
            return Ok(Protocol::Http1);
        }
        if len == HTTP2_BEGINS.len() {
            return Ok(Protocol::Http2);
        }
        Timer::after(PEEK_AGAIN).await;
    }
}

/// A connection that ends gracefully when the daemon stops.
struct Stoppable<C> {
    core: Arc<Core>,
    connection: C,
    stop: fn(Pin<&mut C>),
    stopped: bool,
    registered: Option<u64>,
}

impl<C> Stoppable<C> {
    fn new(core: &Arc<Core>, connection: C, stop: fn(Pin<&mut C>)) -> Self {
        let core = Arc::clone(core);
        Self { core, connection, stop, stopped: false, registered: None }
    }

    async fn run<E>(self) -> Result<(), E>
    where
        C: Future<Output = Result<(), E>> + Unpin,
    {
        let mut this = self;
        std::future::poll_fn(move |cx| this.poll(cx)).await
    }

    fn poll<E>(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), E>>
    where
        C: Future<Output = Result<(), E>> + Unpin,
    {
        if self.registered.is_none() {
            self.registered = Some(self.core.shutdown.register(cx.waker()));
        }
        let mut connection = Pin::new(&mut self.connection);
        if !self.stopped && self.core.shutdown.closes_idle() {
            self.stopped = true;
            (self.stop)(connection.as_mut());
        }
        connection.poll(cx)
    }
}

impl<C> Drop for Stoppable<C> {
    fn drop(&mut self) {
        if let Some(id) = self.registered {
            self.core.shutdown.forget(id);
        }
    }
}

impl Drop for Connected {
    fn drop(&mut self) {
        self.0.stats.connection_closed();
    }
}
