//! Fixtures: a target that does as its test says, views of a fleet, callers.

use std::{
    collections::BTreeMap,
    future::Future,
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use borageswitch_control::{Event, event::TrafficReport};
use borageswitch_edge::traffic::{Traffic, TrafficConfig};
use borageswitch_types::{
    claim::ClaimOutcome,
    fleet::{Revision, ServiceLimits},
    names::{DaemonName, HostName, ServiceName},
    slots::SlotMessage,
    view::{ServiceView, TargetState, TargetView, TrafficView},
};
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, service::service_fn};
use smol_hyper::rt::FuturesIo;

/// Longer than anything in these tests takes; only a hanging test waits for it.
pub(crate) const LIVENESS: Duration = Duration::from_secs(20);

/// A daemon's traffic part with the ends of its channels.
pub(crate) struct Entry {
    pub(crate) traffic: Traffic,
    pub(crate) events: async_channel::Receiver<Event>,
    _slots: async_channel::Receiver<(DaemonName, SlotMessage)>,
}

impl Entry {
    pub(crate) fn start(cfg: TrafficConfig) -> Entry {
        let (events_tx, events) = async_channel::unbounded();
        let (slots_tx, slots) = async_channel::unbounded();
        let traffic = Traffic::start(cfg, events_tx, slots_tx).expect("loopback can be bound");
        Entry { traffic, events, _slots: slots }
    }

    /// An entry whose service `pricing` is served by `targets`.
    pub(crate) fn serving(targets: &[SocketAddr]) -> Entry {
        let entry = Entry::start(config().build());
        entry.traffic.publish_view(Arc::new(view(1, targets)));
        entry
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.traffic.local_addr()
    }

    /// Answers every claim with what `decide` says, in a thread of its own.
    pub(crate) fn answer_claims<F>(&self, mut decide: F)
    where
        F: FnMut(&str) -> ClaimOutcome + Send + 'static,
    {
        let traffic = self.traffic.clone();
        let events = self.events.clone();
        thread::spawn(move || {
            while let Ok(event) = events.recv_blocking() {
                if let Event::Claim(claim) = event {
                    traffic.answer_claim(claim.ticket, decide(&claim.request_id));
                }
            }
        });
    }

    /// Waits for a report that `wanted` accepts.
    pub(crate) fn wait_for_report<F>(&self, mut wanted: F) -> TrafficReport
    where
        F: FnMut(&TrafficReport) -> bool,
    {
        loop {
            let event = within(self.events.recv()).expect("the traffic part runs");
            if let Event::Traffic(report) = event
                && wanted(&report)
            {
                return report;
            }
        }
    }
}

pub(crate) fn config() -> borageswitch_edge::traffic::TrafficConfigBuilder {
    TrafficConfig::builder(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
        .linger(Duration::from_millis(50))
}

pub(crate) fn host(index: usize) -> HostName {
    HostName::from(format!("h{index}"))
}

/// A view in which `targets` serve `pricing`, eight slots and connections each.
pub(crate) fn view(revision: u64, targets: &[SocketAddr]) -> TrafficView {
    let target = |(index, address): (usize, &SocketAddr)| {
        let view = TargetView {
            host: host(index),
            address: *address,
            epoch: 1,
            state: TargetState::Open,
            slots: 8,
            dealt_slots: 8,
            dealt_connections: 8,
        };
        (view.host.clone(), view)
    };
    let service = ServiceView {
        limits: ServiceLimits { max_body: 1 << 20, ..ServiceLimits::default() },
        promised_slots: 0,
        targets: targets.iter().enumerate().map(target).collect(),
    };
    let me = DaemonName::from("d1");
    TrafficView {
        revision: Revision(revision),
        admitting: true,
        retry_after: Duration::from_millis(200),
        me: me.clone(),
        entries: Arc::from([me]),
        services: BTreeMap::from([(ServiceName::from("pricing"), service)]),
        teams: BTreeMap::new(),
        callers: BTreeMap::new(),
    }
}

/// Changes the state of one target of a view.
pub(crate) fn with_state(mut view: TrafficView, index: usize, state: TargetState) -> TrafficView {
    for service in view.services.values_mut() {
        service.targets.get_mut(&host(index)).expect("the host is in the view").state = state;
    }
    view
}

/// Runs `future` and fails the test should it hang.
pub(crate) fn within<F>(future: F) -> F::Output
where
    F: Future,
{
    smol::block_on(smol::future::or(future, async {
        smol::Timer::after(LIVENESS).await;
        panic!("a wait did not end");
    }))
}

/// Runs a target over HTTP/1.1 in a thread of its own, as long as the test's process runs.
pub(crate) fn target<F, R>(answer: F) -> SocketAddr
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = Response<Full<Bytes>>> + 'static,
{
    let socket = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("loopback can be bound");
    let address = socket.local_addr().expect("bound");
    let socket = smol::Async::new(socket).expect("a socket");
    thread::spawn(move || {
        let executor = smol::LocalExecutor::new();
        smol::block_on(executor.run(async {
            while let Ok((stream, _)) = socket.accept().await {
                let answer = answer.clone();
                let service = service_fn(move |req| {
                    let answer = answer.clone();
                    async move { Ok::<_, std::convert::Infallible>(answer(req).await) }
                });
                let connection = hyper::server::conn::http1::Builder::new()
                    .serve_connection(FuturesIo::new(stream), service);
                executor.spawn(connection).detach();
            }
        }));
    });
    address
}

/// Runs a target that handles the bytes of each connection by itself; `serve` gets the number of
/// the connection, from 0.
pub(crate) fn raw_target<F>(serve: F) -> SocketAddr
where
    F: Fn(u32, TcpStream) + Send + Sync + 'static,
{
    let socket = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("loopback can be bound");
    let address = socket.local_addr().expect("bound");
    let serve = Arc::new(serve);
    let count = AtomicU32::new(0);
    thread::spawn(move || {
        while let Ok((stream, _)) = socket.accept() {
            let serve = Arc::clone(&serve);
            let number = count.fetch_add(1, Ordering::SeqCst);
            thread::spawn(move || serve(number, stream));
        }
    });
    address
}

/// An address where nothing listens.
pub(crate) fn refusing_address() -> SocketAddr {
    let socket = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("loopback can be bound");
    socket.local_addr().expect("bound")
}

/// Reads one head, up to its empty line.
pub(crate) fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => break,
        }
    }
    String::from_utf8_lossy(&head).into_owned()
}

/// What a caller received.
#[derive(Debug)]
pub(crate) struct Received {
    pub(crate) status: u16,
    pub(crate) headers: http::HeaderMap,
    /// The body, or nothing if it broke off.
    pub(crate) body: Option<Bytes>,
}

impl Received {
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |value| value.to_str().expect("text"))
    }

    pub(crate) fn text(&self) -> &str {
        std::str::from_utf8(self.body.as_ref().expect("a whole body")).expect("text")
    }
}

/// A request for the service `pricing`.
pub(crate) fn get(path: &str) -> Request<Full<Bytes>> {
    let req = Request::get(path).header("host", "entry").header("borageswitch-service", "pricing");
    req.body(Full::default()).expect("a valid request")
}

pub(crate) fn post(path: &str, body: &'static [u8]) -> Request<Full<Bytes>> {
    let mut req = get(path);
    *req.method_mut() = http::Method::POST;
    *req.body_mut() = Full::from(body);
    req
}

pub(crate) fn with_header(
    mut req: Request<Full<Bytes>>,
    name: &'static str,
    value: &'static str,
) -> Request<Full<Bytes>> {
    req.headers_mut().insert(name, http::HeaderValue::from_static(value));
    req
}

/// Sends one request over a connection of its own.
pub(crate) async fn call(entry: SocketAddr, req: Request<Full<Bytes>>) -> Received {
    let stream = smol::Async::<TcpStream>::connect(entry).await.expect("the entry listens");
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(FuturesIo::new(stream)).await.expect("handshake");
    let exchange = async {
        let res = sender.send_request(req).await.expect("an answer");
        let (head, body) = res.into_parts();
        let body = body.collect().await.ok().map(http_body_util::Collected::to_bytes);
        Received { status: head.status.as_u16(), headers: head.headers, body }
    };
    let drive = async {
        let _ = connection.await;
        std::future::pending().await
    };
    smol::future::or(exchange, drive).await
}

/// Sends one request and fails the test should no answer come.
pub(crate) fn ask(entry: SocketAddr, req: Request<Full<Bytes>>) -> Received {
    within(call(entry, req))
}

/// Sends bytes as they are and returns all that comes back until the connection ends.
pub(crate) fn ask_raw(entry: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(entry).expect("the entry listens");
    stream.set_read_timeout(Some(LIVENESS)).expect("a socket");
    // The entry may close before it has read all of a bad request.
    let _ = stream.write_all(bytes);
    let mut back = Vec::new();
    let mut buf = [0; 4096];
    while let Ok(len @ 1..) = stream.read(&mut buf) {
        back.extend_from_slice(&buf[..len]);
    }
    String::from_utf8_lossy(&back).into_owned()
}

pub(crate) fn ok(text: &str) -> Response<Full<Bytes>> {
    Response::new(Full::from(text.to_owned()))
}

/// Waits until `holds`, and fails the test with the entry's state should that never come.
pub(crate) fn eventually<F>(entry: &Entry, mut holds: F)
where
    F: FnMut() -> bool,
{
    let end = Instant::now() + LIVENESS;
    while !holds() {
        assert!(Instant::now() < end, "it never came: {:#}", entry.traffic.stats());
        thread::sleep(Duration::from_millis(1));
    }
}
