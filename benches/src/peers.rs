//! What connections between daemons cost at rest, and what one carries.
//!
//! Every daemon has a connection to every other one, and most carry nothing most of the time. The
//! baseline asks each of them for a sign of life every second.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use async_channel::Receiver;
use borageswitch_control::Event;
use borageswitch_edge::{
    observe::Metrics,
    peers::{Peers, PeersConfig, SiteKey},
};
use borageswitch_types::{fleet::Revision, names::DaemonName};
use borageswitch_wire::{PeerMessage, peer::Member};
use serde_json::{Value, json};
use smol::{Executor, Timer};

/// How many daemons each row has.
const SIZES: [usize; 4] = [3, 6, 9, 12];
/// How long connections settle before bytes are counted: until they count as at rest.
const SETTLE: Duration = Duration::from_secs(12);
/// How long bytes are counted.
const WINDOW: Duration = Duration::from_secs(30);
/// Messages that one connection carries in the second part.
const MESSAGES: u64 = 200_000;
/// Messages on the way at once: fewer than a queue holds.
const BATCH: u64 = 256;

struct Daemon {
    peers: Peers,
    events: Receiver<Event>,
    metrics: Metrics,
}

type Configure = fn(PeersConfig) -> PeersConfig;

/// Runs the benchmark.
pub(crate) fn run() -> Value {
    let ex = Arc::new(Executor::new());
    smol::block_on(ex.run(async {
        let rest = at_rest(&ex).await;
        json!({ "at_rest": rest, "one_connection": throughput(&ex).await })
    }))
}

fn every_second(cfg: PeersConfig) -> PeersConfig {
    cfg.ping_interval(Duration::from_secs(1)).rest_interval(Duration::from_secs(1))
}

fn as_shipped(cfg: PeersConfig) -> PeersConfig {
    cfg
}

/// All sizes run side by side: what they share is the machine, not a connection.
async fn at_rest(ex: &Arc<Executor<'static>>) -> Vec<Value> {
    let mut rows = Vec::new();
    for size in SIZES {
        let baseline = mesh(ex, size, every_second).await;
        let shipped = mesh(ex, size, as_shipped).await;
        rows.push((size, baseline, shipped));
    }
    Timer::after(SETTLE).await;
    let before: Vec<_> = rows.iter().map(|(_, a, b)| (bytes(a), bytes(b))).collect();
    Timer::after(WINDOW).await;
    let rate = |daemons: &[Daemon], before: f64| {
        (bytes(daemons) - before) / WINDOW.as_secs_f64() / daemons.len() as f64
    };
    rows.iter()
        .zip(before)
        .map(|((size, baseline, shipped), (before_baseline, before_shipped))| {
            let baseline = rate(baseline, before_baseline);
            let shipped = rate(shipped, before_shipped);
            json!({
                "daemons": size,
                "bytes_a_second_each": shipped,
                "asked_every_second": baseline,
                "ratio": shipped / baseline,
            })
        })
        .collect()
}

async fn mesh(ex: &Arc<Executor<'static>>, size: usize, configure: Configure) -> Vec<Daemon> {
    let daemons: Vec<Daemon> =
        (0..size).map(|n| daemon(ex, &format!("d{n:02}"), configure)).collect();
    for (n, daemon) in daemons.iter().enumerate() {
        for other in &daemons[n + 1..] {
            daemon.peers.connect(other.peers.me().clone());
        }
    }
    for daemon in &daemons {
        for _ in 1..size {
            wait_up(daemon).await;
        }
    }
    daemons
}

fn daemon(ex: &Arc<Executor<'static>>, name: &str, configure: Configure) -> Daemon {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let me =
        Member { daemon: DaemonName::from(name), data_centre: "midrand".into(), address: listen };
    let key = SiteKey::new(b"a key for the benchmark").expect("it is long enough");
    let metrics = Metrics::new().expect("the exporter starts");
    let (tx, events) = async_channel::unbounded();
    let (slots, _) = async_channel::unbounded();
    let cfg = configure(PeersConfig::new(listen, key, me)).meter(metrics.meter());
    let peers = Peers::start(cfg, tx, slots, ex.clone()).expect("a port is free");
    Daemon { peers, events, metrics }
}

async fn wait_up(daemon: &Daemon) {
    while let Ok(event) = daemon.events.recv().await {
        if matches!(event, Event::PeerUp { .. }) {
            return;
        }
    }
}

/// The bytes that daemons have sent and received.
fn bytes(daemons: &[Daemon]) -> f64 {
    let of = |daemon: &Daemon| -> f64 {
        let text = daemon.metrics.text().unwrap_or_default();
        let lines = text.lines().filter(|line| line.starts_with("borageswitch_peer_bytes_total"));
        lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
    };
    daemons.iter().map(of).sum()
}

async fn throughput(ex: &Arc<Executor<'static>>) -> Value {
    let pair = mesh(ex, 2, as_shipped).await;
    let to = pair[1].peers.me().daemon.clone();
    let before = bytes(&pair[..1]);
    let begun = Instant::now();
    for batch in 0..MESSAGES / BATCH {
        for n in 0..BATCH {
            let have = Revision(batch * BATCH + n);
            pair[0].peers.send(&to, PeerMessage::AskFleet { have });
        }
        for _ in 0..BATCH {
            pair[1].events.recv().await.expect("the connection stands");
        }
    }
    let seconds = begun.elapsed().as_secs_f64();
    let sent = (MESSAGES / BATCH * BATCH) as f64;
    json!({
        "messages_a_second": sent / seconds,
        "bytes_a_message": (bytes(&pair[..1]) - before) / sent,
    })
}
