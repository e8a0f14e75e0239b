//! Accepts operators' connections and serves the schema on them.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use borageswitch_wire::schema::proto::operator_server::OperatorServer;
use hyper::{server::conn::http2, service::service_fn};
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolExecutor, SmolTimer};
use tower_service::Service as _;

use crate::{
    operators::service::{Service, Shared},
    platform::with_deadline,
};

/// The most connections at once; further ones are closed at once.
const MAX_CONNECTIONS: usize = 256;
/// How long a new connection may stay without a byte.
const FIRST_BYTE: Duration = Duration::from_secs(10);
/// How often a quiet connection is asked whether its other end is still there.
const PING_INTERVAL: Duration = Duration::from_secs(20);
/// How long the other end has for the answer.
const PING_TIMEOUT: Duration = Duration::from_secs(10);
/// The most calls at once on one connection.
const MAX_STREAMS: u32 = 64;
/// The largest head of a call, in bytes.
const MAX_HEAD: u32 = 16 << 10;
/// How long to wait after a connection could not be accepted: the process has no descriptor left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Accepts connections until it is dropped.
pub(super) async fn accept(
    listener: TcpListener,
    shared: Arc<Shared>,
    ex: Arc<smol::Executor<'static>>,
) {
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!("an operator's connection cannot be accepted: {err}");
                smol::Timer::after(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if open.load(Ordering::Relaxed) >= MAX_CONNECTIONS {
            continue;
        }
        let place = Place::take(&open);
        let service = Service { shared: shared.clone() };
        let serving = serve(stream, service, ex.clone());
        let task = async move {
            let _place = place;
            if let Err(err) = serving.await {
                log::debug!("an operator's connection ended: {err}");
            }
        };
        ex.spawn(task).detach();
    }
}

async fn serve(
    stream: TcpStream,
    service: Service,
    ex: Arc<smol::Executor<'static>>,
) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    stream.set_nodelay(true)?;
    let mut first = [0];
    let peeked = with_deadline(Instant::now() + FIRST_BYTE, stream.peek(&mut first)).await;
    peeked.ok_or_else(|| io::Error::from(io::ErrorKind::TimedOut))??;
    let server = OperatorServer::new(service);
    let service = service_fn(move |req| server.clone().call(req));
    http2::Builder::new(SmolExecutor::new(ex))
        .timer(SmolTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(MAX_HEAD)
        .serve_connection(FuturesIo::new(stream), service)
        .await?;
    Ok(())
}

/// Counts a connection for as long as it is open.
struct Place {
    open: Arc<AtomicUsize>,
}

impl Place {
    fn take(open: &Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Self { open: open.clone() }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}
