//! Real daemons against stand-ins: what control costs at rest, under a stream of changes, and in a
//! wave.
//!
//! Processor time is that of the threads named `control`, which run the reducer and all control
//! sockets; bytes are those of the connections between daemons, as the daemons' metrics count them;
//! calls are those that the store's stand-in has carried out.

use std::{
    collections::BTreeMap,
    thread,
    time::{Duration, Instant},
};

use borageswitch_local_site::{client::Client, site::LocalSite};
use borageswitch_types::{
    fleet::{FleetChange, Watts, WaveSettings, WaveStatus},
    names::WaveName,
};
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde_json::{Value, json};

use crate::{process, sites};

/// Daemons and hosts: today's, then a region of the two-year target and beyond.
const SIZES: [(usize, usize); 5] = [(3, 48), (9, 48), (9, 106), (9, 213), (9, 425)];
const REST: Duration = Duration::from_secs(10);
const SETTLE: Duration = Duration::from_secs(3);
/// Changes in the stream of changes; the two-year target has one in 154 s in a region.
const CHANGES: u64 = 20;
const BOOT_TIME: Duration = Duration::from_millis(300);
const WAVE_PATIENCE: Duration = Duration::from_secs(240);
/// Hosts of the wave.
const WAVE_HOSTS: usize = 24;

pub(super) fn run() -> Vec<Value> {
    SIZES.into_iter().map(|(daemons, hosts)| measure(daemons, hosts)).collect()
}

/// What had been used up to a moment.
struct Used {
    at: Instant,
    control_seconds: f64,
    peer_bytes: f64,
    store_calls: BTreeMap<&'static str, u64>,
}

fn measure(daemons: usize, hosts: usize) -> Value {
    let began = process::resident_bytes();
    let site = LocalSite::start(sites::make_site(hosts), daemons, BOOT_TIME);
    let mut site = match site {
        Ok(site) => site,
        Err(err) => return json!({ "daemons": daemons, "hosts": hosts, "error": err.to_string() }),
    };
    thread::sleep(SETTLE);
    let before = look(&site);
    thread::sleep(REST);
    let rest = look(&site);
    let in_force_ms = stream_changes(&mut site);
    let changed = look(&site);
    let wave_seconds = run_wave(&mut site);
    let waved = look(&site);
    let resident = process::resident_bytes().saturating_sub(began);
    let at_rest = per_daemon(&before, &rest, daemons);
    let in_wave = per_daemon(&changed, &waved, daemons);
    let change_cpu =
        (changed.control_seconds - rest.control_seconds) / (CHANGES as f64 * daemons as f64);
    let row = json!({
        "daemons": daemons,
        "hosts": hosts,
        "rest_core_percent": at_rest.core_percent,
        "rest_peer_bytes_s": at_rest.peer_bytes,
        "rest_store_calls_s": at_rest.store_calls,
        "change_ms_cpu": change_cpu * 1_000.0,
        "in_force_max_ms": in_force_ms,
        "wave_s": wave_seconds,
        "wave_core_percent": in_wave.core_percent,
        "wave_peer_bytes_s": in_wave.peer_bytes,
        "wave_store_calls_s": in_wave.store_calls,
        "resident_mb_all": resident as f64 / 1e6,
    });
    for daemon in site.daemons.drain(..) {
        daemon.stopper().stop("the benchmark is over");
        daemon.wait();
    }
    row
}

struct PerDaemon {
    core_percent: f64,
    peer_bytes: f64,
    store_calls: f64,
}

fn per_daemon(from: &Used, to: &Used, daemons: usize) -> PerDaemon {
    let seconds = (to.at - from.at).as_secs_f64();
    let daemons = daemons as f64;
    let calls = |used: &Used| used.store_calls.values().sum::<u64>() as f64;
    PerDaemon {
        core_percent: (to.control_seconds - from.control_seconds) * 100.0 / seconds / daemons,
        peer_bytes: (to.peer_bytes - from.peer_bytes) / seconds / daemons,
        store_calls: (calls(to) - calls(from)) / seconds / daemons,
    }
}

fn look(site: &LocalSite) -> Used {
    Used {
        at: Instant::now(),
        control_seconds: process::thread_seconds("control"),
        peer_bytes: site.daemons.iter().map(|d| peer_bytes(site, d.addresses().observe)).sum(),
        store_calls: site.store_calls(),
    }
}

/// Bytes that a daemon has sent to its peers, by its metrics page.
fn peer_bytes(site: &LocalSite, observe: std::net::SocketAddr) -> f64 {
    let mut client = Client::new(site.ex.clone());
    let req = Request::get("/metrics").header("host", "daemon").body(Full::new(Bytes::new()));
    let Ok(req) = req else { return 0.0 };
    let Ok(res) = smol::block_on(client.exchange(observe, req)) else { return 0.0 };
    let text = String::from_utf8_lossy(res.body()).into_owned();
    let sent = text
        .lines()
        .filter(|line| line.starts_with("borageswitch_peer_bytes") && !line.contains("received"));
    sent.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

/// Makes changes one after the other and gives the longest time until one was in force everywhere.
fn stream_changes(site: &mut LocalSite) -> Value {
    let mut longest = Duration::ZERO;
    let cap = site.config.power_cap.0;
    for i in 1..=CHANGES {
        let began = Instant::now();
        let change = FleetChange::SetPowerCap { cap: Watts(cap + i) };
        let in_force = site
            .change(change, "the benchmark changes the cap")
            .and_then(|r| site.wait_in_force(r));
        if let Err(err) = in_force {
            return json!(err.to_string());
        }
        longest = longest.max(began.elapsed());
    }
    json!(longest.as_secs_f64() * 1_000.0)
}

fn run_wave(site: &mut LocalSite) -> Value {
    let wave = WaveName::from("bench");
    let hosts = site.config.hosts.keys().take(WAVE_HOSTS).cloned().collect();
    let settings = WaveSettings { trial: Duration::from_millis(500), ..WaveSettings::default() };
    let began = Instant::now();
    let change = FleetChange::StartWave { wave: wave.clone(), hosts, settings };
    if let Err(err) = site.change(change, "the benchmark starts a wave") {
        return json!(err.to_string());
    }
    while began.elapsed() < WAVE_PATIENCE {
        let fleet = site.fleet();
        let status =
            fleet.as_ref().and_then(|fleet| fleet.waves.get(&wave)).map(|wave| wave.status.clone());
        if status == Some(WaveStatus::Finished) {
            return json!(began.elapsed().as_secs_f64());
        }
        thread::sleep(Duration::from_millis(200));
    }
    json!("did not finish")
}
