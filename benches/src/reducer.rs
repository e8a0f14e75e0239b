//! What control costs: events a second, memory, processor share and bytes between daemons, at
//! four sizes of one region.
//!
//! Nine daemons in three data centres run on a store that answers at once, in virtual time. The
//! processor's share is the real time spent in the reducers over a virtual minute at rest.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use borageswitch::{
    control::{
        ControlConfig, Effect, Event, State,
        event::{OperatorCallId, TrafficReport},
        store::{CallId, KeyValue, LeaseId, StoreRequest, StoreResponse, Version},
    },
    types::{
        Time,
        agent::AgentStatus,
        claim::{ClaimRequest, ClaimTicket},
        fleet::{
            Author, ChangeRequest, Draw, FailureDomain, FleetChange, HostAddresses, HostSpec, Pool,
            Service, ServiceLimits, SiteConfig, Team, Watts,
        },
        names::{DaemonName, HostName, PoolName, ServiceName, TeamName},
        time::UnixMillis,
    },
    wire::{
        operator::OperatorRequest,
        peer::{self, Member},
    },
};
use serde_json::json;

const DAEMONS: usize = 9;
const DATA_CENTRES: usize = 3;
const SIZES: [usize; 4] = [100, 400, 850, 1_700];
const TICK: Duration = Duration::from_millis(50);
const DELAY: Duration = Duration::from_millis(2);
const REST: Duration = Duration::from_secs(60);
const EVENTS: u64 = 400_000;
/// Bytes beside the message itself: the h2 frame's head, and TCP and IP.
const FRAME_OVERHEAD: u64 = 9 + 40;

/// Runs the benchmark and gives its figures.
pub(crate) fn run() -> serde_json::Value {
    // All regions are kept until the end: memory that one gives back would hide the next one's.
    let regions = SIZES.map(started);
    json!({ "sizes": regions.map(|(hosts, memory, region)| measure(hosts, memory, region)) })
}

/// A region that has settled, and the memory that each of its daemons takes.
fn started(hosts: usize) -> (usize, u64, Region) {
    let before = resident_bytes();
    let mut region = Region::new(hosts);
    region.run(Duration::from_secs(10));
    let memory = resident_bytes().saturating_sub(before) / DAEMONS as u64;
    (hosts, memory, region)
}

fn measure(hosts: usize, memory: u64, mut region: Region) -> serde_json::Value {
    region.forget_costs();
    region.run(REST);
    let seconds = REST.as_secs_f64();
    let most_bytes = region.bytes.iter().max().copied().unwrap_or(0) as f64 / seconds;
    let most_busy = region.busy.iter().max().copied().unwrap_or_default().as_secs_f64() / seconds;
    let store_calls = region.store_calls as f64 / seconds;
    let events = region.events_a_second();
    json!({
        "hosts": hosts,
        "events_per_s": events.round(),
        "most_peer_bytes_per_s": most_bytes.round(),
        "most_core_percent_at_rest": format!("{:.3}", most_busy * 100.0),
        "store_calls_per_s_at_rest": format!("{store_calls:.2}"),
        "resident_kb_a_daemon": memory / 1_024,
    })
}

fn resident_bytes() -> u64 {
    const PAGE: u64 = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    statm.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or(0) * PAGE
}

#[derive(Default)]
struct Store {
    keys: BTreeMap<Arc<str>, (Version, Arc<[u8]>)>,
    last: u64,
}

impl Store {
    /// Answers at once, or nothing for a watch that would wait.
    fn answer(&mut self, request: &StoreRequest) -> Option<StoreResponse> {
        let read = |keys: &BTreeMap<Arc<str>, (Version, Arc<[u8]>)>, key: &Arc<str>| {
            let (version, value) = keys.get(key)?;
            Some(KeyValue { key: key.clone(), version: *version, value: value.clone() })
        };
        self.last += 1;
        Some(match request {
            StoreRequest::Get { key } => StoreResponse::Value(read(&self.keys, key)),
            StoreRequest::Watch { key, after, .. } => {
                let kv = read(&self.keys, key).filter(|kv| kv.version > *after)?;
                StoreResponse::Value(Some(kv))
            }
            StoreRequest::List { prefix } => {
                let keys = self.keys.keys().filter(|key| key.starts_with(&**prefix));
                StoreResponse::Values(keys.filter_map(|key| read(&self.keys, key)).collect())
            }
            StoreRequest::CompareAndSwap { key, expected, value, .. } => {
                let found = self.keys.get(key).map_or(Version::ABSENT, |(version, _)| *version);
                if found != *expected {
                    return Some(StoreResponse::Conflict);
                }
                let version = Version(self.last);
                self.keys.insert(key.clone(), (version, value.clone()));
                StoreResponse::Written { version }
            }
            StoreRequest::Delete { .. } | StoreRequest::RevokeLease { .. } => StoreResponse::Done,
            StoreRequest::GrantLease { ttl } => {
                StoreResponse::Lease { lease: LeaseId(self.last), ttl: *ttl }
            }
            StoreRequest::KeepAlive { lease } => {
                StoreResponse::Lease { lease: *lease, ttl: Duration::from_secs(6) }
            }
        })
    }
}

struct Region {
    now: Time,
    states: Vec<State>,
    names: Vec<DaemonName>,
    store: Store,
    queue: BTreeMap<(Time, u64), (usize, Event)>,
    watches: Vec<(usize, CallId, StoreRequest, Time)>,
    last: u64,
    bytes: Vec<u64>,
    busy: Vec<Duration>,
    store_calls: u64,
}

impl Region {
    fn new(hosts: usize) -> Self {
        let names: Vec<DaemonName> =
            (0..DAEMONS).map(|i| DaemonName::from(format!("entry-{i}-5f3a9c01"))).collect();
        let mut region = Self {
            now: Time::from_millis(1),
            states: Vec::new(),
            names,
            store: Store::default(),
            queue: BTreeMap::new(),
            watches: Vec::new(),
            last: 0,
            bytes: vec![0; DAEMONS],
            busy: vec![Duration::ZERO; DAEMONS],
            store_calls: 0,
        };
        for index in 0..DAEMONS {
            let cfg = ControlConfig::new(region.member(index), "gauteng".into(), index as u64);
            region.states.push(State::new(cfg));
            region.at(DELAY, index, Event::Started);
            region.at(DELAY * index as u32, index, tick(Time::ZERO));
        }
        region.at(Duration::from_secs(1), 0, apply(site(hosts)));
        region
    }

    fn member(&self, index: usize) -> Member {
        let data_centre = format!("centre-{}", index % DATA_CENTRES).as_str().into();
        let address = ([127, 0, 0, 1], 30_000 + index as u16).into();
        Member { daemon: self.names[index].clone(), data_centre, address }
    }

    fn at(&mut self, after: Duration, daemon: usize, event: Event) {
        self.last += 1;
        self.queue.insert((self.now + after, self.last), (daemon, event));
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.queue.first_entry()
            && entry.key().0 <= end
        {
            let ((at, _), (daemon, event)) = entry.remove_entry();
            self.now = at;
            if matches!(event, Event::Tick { .. }) {
                self.at(TICK, daemon, tick(at));
            }
            let began = Instant::now();
            let effects = self.states[daemon].handle(at, event);
            self.busy[daemon] += began.elapsed();
            effects.into_iter().for_each(|effect| self.carry_out(daemon, effect));
            self.end_watches();
        }
        self.now = end;
    }

    fn carry_out(&mut self, daemon: usize, effect: Effect) {
        match effect {
            Effect::CallStore { call, request, .. } => self.call(daemon, call, request),
            Effect::ConnectPeer { member } => {
                let Some(other) = self.names.iter().position(|name| *name == member.daemon) else {
                    return;
                };
                self.at(DELAY, other, Event::PeerUp { member: self.member(daemon) });
                self.at(DELAY, daemon, Event::PeerUp { member });
            }
            Effect::SendPeer { to, message } => {
                let size = peer::encode(&message).map_or(0, |frame| frame.len() as u64);
                let Some(other) = self.names.iter().position(|name| *name == to) else { return };
                self.bytes[daemon] += size + FRAME_OVERHEAD;
                self.bytes[other] += size + FRAME_OVERHEAD;
                let from = self.names[daemon].clone();
                self.at(DELAY, other, Event::Peer { from, message });
            }
            Effect::PublishView(view) => {
                let report = TrafficReport { applied: view.revision, ..TrafficReport::default() };
                self.at(DELAY, daemon, Event::Traffic(report));
            }
            Effect::CommandHost { host, .. } => {
                let status = AgentStatus { ready: true, done: None, draw_watts: 200 };
                self.at(DELAY, daemon, Event::Agent { host, outcome: Ok(status) });
            }
            _ => {}
        }
    }

    fn call(&mut self, daemon: usize, call: CallId, request: StoreRequest) {
        self.store_calls += 1;
        match self.store.answer(&request) {
            Some(answer) => self.at(DELAY, daemon, Event::Store { call, outcome: Ok(answer) }),
            None => {
                let wait = match &request {
                    StoreRequest::Watch { wait, .. } => *wait,
                    _ => DELAY,
                };
                self.watches.push((daemon, call, request, self.now + wait));
            }
        }
    }

    fn end_watches(&mut self) {
        for (daemon, call, request, until) in std::mem::take(&mut self.watches) {
            let answer = match self.store.answer(&request) {
                Some(answer) => answer,
                None if until <= self.now => StoreResponse::Value(None),
                None => {
                    self.watches.push((daemon, call, request, until));
                    continue;
                }
            };
            self.at(DELAY, daemon, Event::Store { call, outcome: Ok(answer) });
        }
    }

    fn forget_costs(&mut self) {
        self.bytes.fill(0);
        self.busy.fill(Duration::ZERO);
        self.store_calls = 0;
    }

    /// Events a second of one reducer, in the proportion of a busy daemon: traffic's reports and
    /// claims by far the most, agents' answers, now and then a tick.
    fn events_a_second(&mut self) -> f64 {
        let fleet = self.states[0].fleet().cloned();
        let Some(fleet) = fleet else { return 0.0 };
        let hosts: Vec<HostName> = fleet.hosts.keys().cloned().collect();
        let events: Vec<Event> = (0..EVENTS).map(|i| self.busy_event(&hosts, i)).collect();
        let state = &mut self.states[0];
        let began = Instant::now();
        let mut effects = 0;
        let mut now = self.now;
        for event in events {
            now += Duration::from_micros(10);
            effects += state.handle(now, event).len();
        }
        assert!(effects > 0, "the reducer must have acted");
        EVENTS as f64 / began.elapsed().as_secs_f64()
    }

    fn busy_event(&self, hosts: &[HostName], i: u64) -> Event {
        let host = hosts[i as usize % hosts.len()].clone();
        match i % 100 {
            0 => tick(self.now),
            1..=10 => Event::Claim(ClaimRequest {
                ticket: ClaimTicket(i),
                service: "service-0".into(),
                request_id: format!("caller/{i}").into(),
                deadline: self.now + Duration::from_secs(1),
            }),
            11..=50 => {
                let status = AgentStatus { ready: true, done: None, draw_watts: 100 + i % 100 };
                Event::Agent { host, outcome: Ok(status) }
            }
            _ => {
                let failing = BTreeMap::from([(host, (i % 500) as u16)]);
                Event::Traffic(TrafficReport { failing, unfinished: i, ..Default::default() })
            }
        }
    }
}

fn tick(now: Time) -> Event {
    Event::Tick { wall: UnixMillis(1_700_000_000_000 + now.as_micros() / 1_000) }
}

fn apply(site: SiteConfig) -> Event {
    let req = ChangeRequest {
        operation: "apply".into(),
        expected: None,
        author: Author::Operator { name: "benchmark".into() },
        reason: "begin".into(),
        change: FleetChange::ApplySite(Box::new(site)),
    };
    let request = OperatorRequest::Change(Box::new(req));
    Event::Operator { call: OperatorCallId(1), request }
}

/// A site in the proportions of the two-year target.
fn site(hosts: usize) -> SiteConfig {
    let pools = (hosts * 301 / 1_700).max(1);
    let teams = hosts * 260 / 1_700;
    let pool_name = |i: usize| PoolName::from(format!("pool-{i}"));
    let service = |i: usize| Service {
        pool: pool_name(i),
        promised_slots: 8,
        survives: FailureDomain::Host,
        limits: ServiceLimits::default(),
    };
    let host = |i: usize| (host_spec(i), pool_name(i % pools));
    let team = Team { weight: 1, slot_quota: 64 };
    SiteConfig {
        entries_expected: DAEMONS as u16,
        power_cap: Watts(1_000 * hosts as u64),
        services: (0..pools)
            .map(|i| (ServiceName::from(format!("service-{i}")), service(i)))
            .collect(),
        pools: (0..pools).map(|i| (pool_name(i), Pool::default())).collect(),
        hosts: (0..hosts).map(|i| (HostName::from(format!("host-{i:04}")), host(i))).collect(),
        teams: (0..teams).map(|i| (TeamName::from(format!("team-{i}")), team.clone())).collect(),
        callers: BTreeMap::new(),
    }
}

fn host_spec(i: usize) -> HostSpec {
    let octets = [10, 0, (i / 250) as u8, (i % 250) as u8];
    let addresses = HostAddresses { target: (octets, 8_000).into(), agent: (octets, 9_000).into() };
    HostSpec {
        data_centre: format!("centre-{}", i % DATA_CENTRES).as_str().into(),
        rack: format!("rack-{}", i / 4).as_str().into(),
        addresses,
        slots: 8,
        connections: 64,
        draw: Draw { peak: Watts(400), throttled: Watts(200), boot: Watts(500) },
    }
}
