//! Accepts connections, hands requests to a stand-in and lets its faults act on the answers.

use std::{
    fmt,
    future::Future,
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
};

use bytes::Bytes;
use futures_lite::future;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, server::conn::http1, service};
use smol::{Async, Executor, Timer};
use smol_hyper::rt::FuturesIo;

use crate::faults::{Delivery, FaultSwitch};

/// The largest body that a stand-in reads, in bytes.
pub const MAX_BODY: usize = 4 << 20;

/// The executor that runs the stand-ins.
pub type Runner = Arc<Executor<'static>>;

/// A request with its whole body.
pub type WholeRequest = Request<Bytes>;

/// An answer with its whole body.
pub type WholeResponse = Response<Full<Bytes>>;

/// An answer of a status and a text.
pub fn answer<T>(status: StatusCode, body: T) -> WholeResponse
where
    T: Into<Bytes>,
{
    let mut res = Response::new(Full::new(body.into()));
    *res.status_mut() = status;
    res
}

/// An answer of 200 with a value as JSON.
pub fn answer_json<T>(value: &T) -> WholeResponse
where
    T: serde::Serialize,
{
    match serde_json::to_vec(value) {
        Ok(body) => answer(StatusCode::OK, body),
        Err(err) => answer(StatusCode::INTERNAL_SERVER_ERROR, err.to_string()),
    }
}

/// The value of a parameter in the query of a request.
pub fn query<'a>(req: &'a WholeRequest, name: &str) -> Option<&'a str> {
    let pairs = req.uri().query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// The value of a header or query parameter as a number.
pub fn number(text: Option<&str>) -> Option<u64> {
    text?.parse().ok()
}

/// A listening socket on a loopback port.
///
/// # Errors
///
/// When the address cannot be bound.
pub fn bind(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address)
}

/// Serves `handle` on every connection of `listener` until the executor is dropped.
pub fn serve<H, F>(ex: &Runner, listener: Async<TcpListener>, faults: FaultSwitch, handle: H)
where
    H: Fn(WholeRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Option<WholeResponse>> + Send + 'static,
{
    let spawner = ex.clone();
    let accept = async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                Timer::after(std::time::Duration::from_millis(5)).await;
                continue;
            };
            let Some(connection) = faults.accept() else { continue };
            let (faults, handle) = (faults.clone(), handle.clone());
            spawner.spawn(serve_connection(stream, connection, faults, handle)).detach();
        }
    };
    ex.spawn(accept).detach();
}

async fn serve_connection<H, F>(
    stream: Async<TcpStream>,
    connection: u64,
    faults: FaultSwitch,
    handle: H,
) where
    H: Fn(WholeRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Option<WholeResponse>> + Send + 'static,
{
    let _ = stream.get_ref().set_nodelay(true);
    let service =
        service::service_fn(move |req| exchange(req, connection, faults.clone(), handle.clone()));
    let served = http1::Builder::new().serve_connection(FuturesIo::new(stream), service).await;
    if let Err(err) = served {
        log::debug!("a stand-in's connection ended: {err}");
    }
}

/// The stand-in closes the connection instead of answering.
#[derive(Debug)]
struct Closed;

impl fmt::Display for Closed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stand-in closes the connection")
    }
}

impl std::error::Error for Closed {}

async fn exchange<H, F>(
    req: Request<Incoming>,
    connection: u64,
    faults: FaultSwitch,
    handle: H,
) -> Result<WholeResponse, Closed>
where
    H: Fn(WholeRequest) -> F,
    F: Future<Output = Option<WholeResponse>>,
{
    if !faults.reaches(connection) {
        return future::pending().await;
    }
    let (parts, body) = req.into_parts();
    let body = Limited::new(body, MAX_BODY).collect().await.map_err(|_| Closed)?;
    let res = handle(Request::from_parts(parts, body.to_bytes())).await.ok_or(Closed)?;
    match faults.delivery(connection) {
        Delivery::After(delay) if delay.is_zero() => Ok(res),
        Delivery::After(delay) => {
            Timer::after(delay).await;
            Ok(res)
        }
        Delivery::Lost => Err(Closed),
        Delivery::Never => future::pending().await,
    }
}
