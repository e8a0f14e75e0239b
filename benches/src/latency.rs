//! What a daemon adds to a request, and how many small requests pass through one.
//!
//! Callers and targets are threads with blocking sockets: they share no reactor with the daemon's
//! traffic threads, so its work alone makes the difference between asking a target directly and
//! asking through the daemon.

use std::{
    collections::BTreeMap,
    fs,
    io::{self, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Barrier,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use borageswitch_edge::traffic::{Traffic, TrafficConfig};
use borageswitch_types::{
    fleet::{Revision, ServiceLimits},
    names::{DaemonName, HostName, ServiceName},
    view::{ServiceView, TargetState, TargetView, TrafficView},
};
use hdrhistogram::Histogram;
use serde_json::json;

/// As many targets as a service has today, with as many slots each.
const TARGETS: usize = 10;
const SLOTS: u16 = 8;
/// Callers' connections; fewer than slots, so that no request waits for one.
const CONNECTIONS: usize = 48;
/// One thread alone waits for no other; more serve more.
const TRAFFIC_THREADS: [usize; 3] = [1, 2, 4];
const PHASE: Duration = Duration::from_secs(2);
/// Direct and through the daemon take turns, so that both see the same noise of the machine.
const ROUNDS: usize = 3;
const MEMORY_REQUESTS: u64 = 1_000_000;
const MEMORY_SAMPLES: u64 = 10;

const REQUEST: &[u8] = b"GET /lots/7 HTTP/1.1\r\nhost: x\r\nborageswitch-service: pricing\r\n\
    borageswitch-caller: desk\r\n\r\n";
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 64\r\n\r\n\
    0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

/// Runs the benchmark and gives its figures.
pub(crate) fn run() -> serde_json::Value {
    let targets: Vec<SocketAddr> = (0..TARGETS).map(|_| start_target()).collect();
    let rows: Vec<_> = TRAFFIC_THREADS.iter().map(|threads| measure(&targets, *threads)).collect();
    let traffic = start_daemon(&targets, TRAFFIC_THREADS[0]);
    let memory = memory_over_requests(&vec![traffic.local_addr(); CONNECTIONS]);
    traffic.shutdown();
    json!({ "by_traffic_threads": rows, "memory_kib_by_tenth_of_a_million_requests": memory })
}

fn measure(targets: &[SocketAddr], threads: usize) -> serde_json::Value {
    let traffic = start_daemon(targets, threads);
    let through = vec![traffic.local_addr(); CONNECTIONS];
    let direct: Vec<SocketAddr> = targets.iter().copied().cycle().take(CONNECTIONS).collect();
    drive(&through, None, PHASE);
    let capacity = drive(&through, None, PHASE);
    let half = capacity.rate / 2.0;
    let mut direct_half = Load::new();
    let mut through_half = Load::new();
    for _ in 0..ROUNDS {
        direct_half.add(&drive(&direct, Some(half), PHASE));
        through_half.add(&drive(&through, Some(half), PHASE));
    }
    traffic.shutdown();
    let millis = |load: &Load, quantile| load.micros.value_at_quantile(quantile) as f64 / 1_000.0;
    let added = |quantile| millis(&through_half, quantile) - millis(&direct_half, quantile);
    json!({
        "threads": threads,
        "capacity_per_s": capacity.rate.round() as u64,
        "half_load_per_s": (through_half.rate / ROUNDS as f64).round() as u64,
        "direct_p50_ms": millis(&direct_half, 0.5),
        "direct_p99_ms": millis(&direct_half, 0.99),
        "added_p50_ms": added(0.5),
        "added_p99_ms": added(0.99),
        "failed": capacity.failed + through_half.failed,
    })
}

/// What callers saw.
struct Load {
    micros: Histogram<u64>,
    rate: f64,
    failed: u64,
}

impl Load {
    fn new() -> Self {
        let micros = Histogram::new_with_bounds(1, 60_000_000, 3).expect("constant bounds");
        Self { micros, rate: 0.0, failed: 0 }
    }

    fn add(&mut self, other: &Load) {
        self.micros.add(&other.micros).expect("same bounds");
        self.rate += other.rate;
        self.failed += other.failed;
    }
}

/// Asks over one connection to each of `addresses`, as fast as answers come or at `rate` requests
/// a second in all.
fn drive(addresses: &[SocketAddr], rate: Option<f64>, length: Duration) -> Load {
    let gap = rate.map(|rate| Duration::from_secs_f64(addresses.len() as f64 / rate));
    let barrier = Arc::new(Barrier::new(addresses.len()));
    let callers: Vec<_> = addresses
        .iter()
        .enumerate()
        .map(|(index, address)| {
            let (address, barrier) = (*address, Arc::clone(&barrier));
            let offset = gap
                .map_or(Duration::ZERO, |gap| gap.mul_f64(index as f64 / addresses.len() as f64));
            thread::spawn(move || {
                let mut caller = TcpStream::connect(address).expect("loopback");
                caller.set_nodelay(true).expect("a socket");
                barrier.wait();
                ask_until(&mut caller, Instant::now() + offset, gap, length)
            })
        })
        .collect();
    let mut load = Load::new();
    for caller in callers {
        load.add(&caller.join().expect("a caller ends"));
    }
    load.rate = load.micros.len() as f64 / length.as_secs_f64();
    load
}

fn ask_until(
    caller: &mut TcpStream,
    start: Instant,
    gap: Option<Duration>,
    length: Duration,
) -> Load {
    let mut load = Load::new();
    let mut due = start;
    let mut buf = [0; 1024];
    while due < start + length {
        let begun = match gap {
            None => Instant::now(),
            Some(_) => wait_until(due),
        };
        match ask(caller, &mut buf) {
            Ok(()) => load.micros.saturating_record(begun.elapsed().as_micros() as u64),
            Err(_) => load.failed += 1,
        }
        due = gap.map_or_else(Instant::now, |gap| due + gap);
    }
    load
}

/// Sleeps until `due` and returns from when on the request counts: a request that is late because
/// the one before it took long counts from when it was due.
fn wait_until(due: Instant) -> Instant {
    let now = Instant::now();
    if now >= due {
        return due;
    }
    thread::sleep(due - now);
    Instant::now()
}

fn ask(caller: &mut TcpStream, buf: &mut [u8]) -> io::Result<()> {
    caller.write_all(REQUEST)?;
    let mut len = 0;
    loop {
        len += match caller.read(&mut buf[len..])? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            more => more,
        };
        let answer = &buf[..len];
        if let Some(at) = answer.windows(4).position(|window| window == b"\r\n\r\n")
            && len >= at + 4 + 64
        {
            let whole = answer.starts_with(b"HTTP/1.1 200") && len == at + 4 + 64;
            return if whole { Ok(()) } else { Err(io::ErrorKind::InvalidData.into()) };
        }
    }
}

fn start_target() -> SocketAddr {
    let socket = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("loopback");
    let address = socket.local_addr().expect("bound");
    thread::spawn(move || {
        while let Ok((mut stream, _)) = socket.accept() {
            thread::spawn(move || serve(&mut stream));
        }
    });
    address
}

fn serve(stream: &mut TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buf = [0; 2048];
    let mut len = 0;
    loop {
        len += match stream.read(&mut buf[len..])? {
            0 => return Ok(()),
            more => more,
        };
        if buf[..len].ends_with(b"\r\n\r\n") {
            stream.write_all(ANSWER)?;
            len = 0;
        }
    }
}

fn start_daemon(targets: &[SocketAddr], threads: usize) -> Traffic {
    let cfg =
        TrafficConfig::builder(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).threads(threads).build();
    let (events, events_rx) = async_channel::bounded(1_024);
    let (slots, slots_rx) = async_channel::bounded(1_024);
    thread::spawn(move || while events_rx.recv_blocking().is_ok() {});
    thread::spawn(move || while slots_rx.recv_blocking().is_ok() {});
    let traffic = Traffic::start(cfg, events, slots).expect("loopback");
    traffic.publish_view(Arc::new(view(targets)));
    traffic
}

fn view(targets: &[SocketAddr]) -> TrafficView {
    let target = |(index, address): (usize, &SocketAddr)| {
        let host = HostName::from(format!("h{index}"));
        let view = TargetView {
            host: host.clone(),
            address: *address,
            epoch: 1,
            state: TargetState::Open,
            slots: SLOTS,
            dealt_slots: SLOTS,
            dealt_connections: SLOTS,
        };
        (host, view)
    };
    let service = ServiceView {
        limits: ServiceLimits::default(),
        promised_slots: 0,
        targets: targets.iter().enumerate().map(target).collect(),
    };
    let me = DaemonName::from("d1");
    TrafficView {
        revision: Revision(1),
        admitting: true,
        retry_after: Duration::from_millis(200),
        me: me.clone(),
        entries: Arc::from([me]),
        services: BTreeMap::from([(ServiceName::from("pricing"), service)]),
        teams: BTreeMap::new(),
        callers: BTreeMap::new(),
    }
}

/// The process's resident memory in KiB after each tenth of a million requests.
fn memory_over_requests(addresses: &[SocketAddr]) -> Vec<u64> {
    let done = Arc::new(AtomicU64::new(0));
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = addresses
        .iter()
        .map(|address| {
            let (address, done, stop) = (*address, Arc::clone(&done), Arc::clone(&stop));
            thread::spawn(move || {
                let mut caller = TcpStream::connect(address).expect("loopback");
                let mut buf = [0; 1024];
                while !stop.load(Ordering::Relaxed) && ask(&mut caller, &mut buf).is_ok() {
                    done.fetch_add(1, Ordering::Relaxed);
                }
            })
        })
        .collect();
    let mut samples = Vec::new();
    for sample in 1..=MEMORY_SAMPLES {
        let wanted = MEMORY_REQUESTS / MEMORY_SAMPLES * sample;
        while done.load(Ordering::Relaxed) < wanted && callers.iter().any(|it| !it.is_finished()) {
            thread::sleep(Duration::from_millis(1));
        }
        samples.push(resident_kib());
    }
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().expect("a caller ends");
    }
    samples
}

/// Resident memory of this process in KiB, by the kernel's count of pages.
fn resident_kib() -> u64 {
    const PAGE_KIB: u64 = 4;
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_KIB
}
