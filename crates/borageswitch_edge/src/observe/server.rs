//! The HTTP server of probes, metrics and state.

use std::{
    convert::Infallible,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use borageswitch_wire::operator::OperatorAnswer;
use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::{observe::Metrics, operators::Dumps};

/// The most connections at once; further ones are closed at once.
const MAX_CONNECTIONS: usize = 64;
/// How long a sender may take for a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// The most bytes of a head that are held.
const MAX_HEAD: usize = 8 << 10;
/// How long the control thread may take for a dump.
const DUMP_PATIENCE: Duration = Duration::from_secs(5);
/// How long to wait after a connection could not be accepted: the process has no descriptor left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

type Page = Response<Full<Bytes>>;

/// What the pages are made from.
#[derive(Clone)]
pub(super) struct Pages {
    ready: Arc<AtomicBool>,
    metrics: Metrics,
    dumps: Dumps,
}

impl Pages {
    pub(super) fn new(ready: Arc<AtomicBool>, metrics: Metrics, dumps: Dumps) -> Self {
        Self { ready, metrics, dumps }
    }

    async fn answer(&self, req: Request<Incoming>) -> Page {
        if req.method() != Method::GET && req.method() != Method::HEAD {
            return text(StatusCode::METHOD_NOT_ALLOWED, "only GET is answered here\n".into());
        }
        match req.uri().path() {
            "/live" => text(StatusCode::OK, "live\n".into()),
            "/ready" if self.ready.load(Ordering::Relaxed) => {
                text(StatusCode::OK, "ready\n".into())
            }
            "/ready" => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".into()),
            "/metrics" => self.metrics_page(),
            "/dump" => self.dump_page().await,
            _ => text(StatusCode::NOT_FOUND, "/live, /ready, /metrics and /dump\n".into()),
        }
    }

    fn metrics_page(&self) -> Page {
        match self.metrics.text() {
            Ok(metrics) => text(StatusCode::OK, metrics),
            Err(err) => text(StatusCode::INTERNAL_SERVER_ERROR, format!("{err}\n")),
        }
    }

    async fn dump_page(&self) -> Page {
        match self.dumps.ask(DUMP_PATIENCE).await {
            Some(OperatorAnswer::Json(json)) => page(StatusCode::OK, "application/json", json),
            _ => text(StatusCode::SERVICE_UNAVAILABLE, "the control thread is busy\n".into()),
        }
    }
}

fn text(status: StatusCode, body: String) -> Page {
    page(status, "text/plain; version=0.0.4; charset=utf-8", body)
}

fn page(status: StatusCode, kind: &'static str, body: String) -> Page {
    let mut page = Response::new(Full::new(Bytes::from(body)));
    *page.status_mut() = status;
    page.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    page
}

/// Accepts connections until it is dropped.
pub(super) async fn accept(listener: TcpListener, pages: Pages, ex: Arc<smol::Executor<'static>>) {
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!("a probe's connection cannot be accepted: {err}");
                smol::Timer::after(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if open.load(Ordering::Relaxed) >= MAX_CONNECTIONS {
            continue;
        }
        open.fetch_add(1, Ordering::Relaxed);
        let (pages, open) = (pages.clone(), open.clone());
        let task = async move {
            serve(stream, pages).await;
            open.fetch_sub(1, Ordering::Relaxed);
        };
        ex.spawn(task).detach();
    }
}

async fn serve(stream: TcpStream, pages: Pages) {
    let service = service_fn(move |req| {
        let pages = pages.clone();
        async move { Ok::<_, Infallible>(pages.answer(req).await) }
    });
    let served = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD)
        .serve_connection(FuturesIo::new(stream), service)
        .await;
    if let Err(err) = served {
        log::debug!("a probe's connection ended: {err}");
    }
}
