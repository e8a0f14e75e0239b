//! Simulates the daemons, store, hosts and network of one region in virtual time.
//!
//! A queue ordered by time contains all pending actions. The daemons are real reducers; their
//! effects are executed here and in the submodules for the store, the network and the hosts.

mod claims;
mod hosts;
mod network;
mod operators;
mod random_actions;
mod store_calls;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use borageswitch_control::{
    ControlConfig, Effect, Event, State,
    config::Guards,
    event::OperatorCallId,
    store::{CallId, StoreRequest},
};
use borageswitch_types::{
    Time,
    agent::AgentCommand,
    claim::ClaimTicket,
    fleet::FleetChange,
    names::{DaemonName, HostName, OperationId},
    time::UnixMillis,
    view::TrafficView,
};
use borageswitch_wire::{operator::OperatorAnswer, peer::Member};

use super::{
    DATA_CENTRES, checker::Checker, faults::Faults, host_name, site, store::FakeStore,
    traffic::FakeTraffic,
};

const TICK: Duration = Duration::from_millis(50);
const FLEET_KEY: &str = "borageswitch/gauteng/fleet";
const PLANNER_KEY: &str = "borageswitch/gauteng/duty/planner";
/// Limit on queued actions, far above what a run needs: a daemon that responds to each event with
/// two would exhaust memory.
const MAX_QUEUED: usize = 50_000;
const WALL_START: u64 = 1_700_000_000_000;

#[derive(Clone, Debug)]
enum Action {
    Deliver(DaemonName, Event),
    Tick(DaemonName),
    Report(DaemonName),
    Request(DaemonName),
    ApplyView(DaemonName, Arc<TrafficView>),
    Connect(DaemonName, DaemonName),
    Execute(DaemonName, CallId, StoreRequest, Time),
    Command(DaemonName, HostName, AgentCommand),
    Operate,
    Claim,
    Resend(u64),
    ReleaseClaim(DaemonName, ClaimTicket, u64),
    Fault,
    Wake(DaemonName),
    HealStore(DaemonName),
    HealNetwork,
}

/// A daemon with its simulated traffic threads.
pub struct FakeDaemon {
    pub state: State,
    pub member: Member,
    pub traffic: FakeTraffic,
    pub paused_until: Time,
    is_cut_from_store: bool,
    partition: u8,
    tickets: BTreeMap<ClaimTicket, u64>,
}

#[derive(Default)]
struct FakeHost {
    done: Option<OperationId>,
    up_at: Time,
}

/// The simulated region.
pub struct World {
    pub now: Time,
    pub rng: fastrand::Rng,
    pub store: FakeStore,
    pub daemons: BTreeMap<DaemonName, FakeDaemon>,
    pub checker: Checker,
    pub responses: Vec<(DaemonName, OperatorCallId, OperatorAnswer)>,
    pub decisions: Vec<(Time, Arc<str>)>,
    pub peer_bytes: BTreeMap<DaemonName, u64>,
    pub peer_messages: u64,
    queue: BTreeMap<(Time, u64), Action>,
    hosts: BTreeMap<HostName, FakeHost>,
    watches: Vec<(DaemonName, CallId, StoreRequest, Time)>,
    links: BTreeSet<(DaemonName, DaemonName)>,
    faults: Faults,
    guards: Guards,
    last_sequence: u64,
    daemons_started: usize,
    entries: u16,
    waves_started: u32,
    pub random_actions: bool,
    pub lose_next_append: bool,
    /// Only one in this many list calls gets a response.
    pub list_response_interval: u64,
    list_calls: u64,
    /// Chooses which granted requests are not sent and whether their claims are released. It is
    /// separate from `rng`, so that runs without it keep their random sequence.
    pub unsent_rng: Option<fastrand::Rng>,
    has_short_timeouts: bool,
}

impl World {
    /// Creates a region with `entries` daemons that have just started; an operator applies the site
    /// at once.
    pub fn new(seed: u64, entries: u16, faults: Faults, guards: Guards) -> Self {
        Self::with_timing(seed, entries, faults, guards, true)
    }

    /// Like [`Self::new`], with either the default timeouts or shorter ones that fit more events
    /// into a run.
    pub fn with_timing(
        seed: u64,
        entries: u16,
        faults: Faults,
        guards: Guards,
        has_short_timeouts: bool,
    ) -> Self {
        let mut world = Self {
            now: Time::from_millis(1),
            rng: fastrand::Rng::with_seed(seed),
            store: FakeStore::default(),
            daemons: BTreeMap::new(),
            checker: Checker::default(),
            responses: Vec::new(),
            decisions: Vec::new(),
            peer_bytes: BTreeMap::new(),
            peer_messages: 0,
            queue: BTreeMap::new(),
            hosts: BTreeMap::new(),
            watches: Vec::new(),
            links: BTreeSet::new(),
            faults,
            guards,
            last_sequence: 0,
            daemons_started: 0,
            entries,
            waves_started: 0,
            random_actions: faults.fault_interval.is_some(),
            lose_next_append: false,
            list_response_interval: 1,
            list_calls: 0,
            unsent_rng: None,
            has_short_timeouts,
        };
        for _ in 0..entries {
            world.start_daemon();
        }
        let change = FleetChange::ApplySite(Box::new(site(entries)));
        let first = world.names()[0].clone();
        world.schedule(
            Duration::from_millis(300),
            Action::Deliver(first, operators::change_event(1, "site", change)),
        );
        if world.random_actions {
            world.schedule(Duration::from_secs(3), Action::Operate);
            world.schedule(Duration::from_secs(2), Action::Claim);
            world.schedule(Duration::from_secs(4), Action::Fault);
        }
        world
    }

    pub fn names(&self) -> Vec<DaemonName> {
        self.daemons.keys().cloned().collect()
    }

    pub fn wall(&self) -> UnixMillis {
        UnixMillis(WALL_START + self.now.as_micros() / 1_000)
    }

    fn schedule(&mut self, after: Duration, action: Action) {
        self.last_sequence += 1;
        self.queue.insert((self.now + after, self.last_sequence), action);
    }

    fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_micros(self.rng.u64(from * 1_000..=to * 1_000))
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.faults_enabled() && self.rng.f64() < probability
    }

    fn faults_enabled(&self) -> bool {
        self.now < Time::ZERO + self.faults.until
    }

    pub fn start_daemon(&mut self) -> DaemonName {
        let number = self.daemons_started;
        self.daemons_started += 1;
        let daemon = DaemonName::from(format!("entry-{number:02}"));
        let data_centre = DATA_CENTRES[number % 3].into();
        let address = ([127, 0, 0, 1], 30_000 + number as u16).into();
        let member = Member { daemon: daemon.clone(), data_centre, address };
        let seed = self.rng.u64(..);
        let mut cfg = ControlConfig::new(member.clone(), "gauteng".into(), seed);
        if self.has_short_timeouts {
            cfg.store_timeout = Duration::from_millis(500);
            cfg.duty_ttl = Duration::from_secs(3);
            cfg.heartbeat_interval = Duration::from_millis(300);
            cfg.silence_timeout = Duration::from_millis(2_400);
        }
        cfg.guards = self.guards;
        cfg.seeds = self.daemons.values().map(|daemon| daemon.member.address).collect();
        let fake = FakeDaemon {
            state: State::new(cfg),
            member,
            traffic: FakeTraffic::default(),
            paused_until: Time::ZERO,
            is_cut_from_store: false,
            partition: 0,
            tickets: BTreeMap::new(),
        };
        self.daemons.insert(daemon.clone(), fake);
        self.schedule(Duration::from_millis(1), Action::Deliver(daemon.clone(), Event::Started));
        for action in [Action::Tick(daemon.clone()), Action::Report(daemon.clone())] {
            let delay = self.millis(2, 50);
            self.schedule(delay, action);
        }
        self.schedule(Duration::from_millis(20), Action::Request(daemon.clone()));
        daemon
    }

    /// Crashes a daemon with its host: its connections break, and its leases are left to expire.
    pub fn crash(&mut self, daemon: &DaemonName) {
        self.daemons.remove(daemon);
        let ended = self.links.iter().filter(|(a, b)| a == daemon || b == daemon);
        let ended: Vec<_> = ended.cloned().collect();
        for link in ended {
            self.links.remove(&link);
            let other = if link.0 == *daemon { link.1 } else { link.0 };
            let event = Event::PeerDown { daemon: daemon.clone() };
            self.schedule(Duration::from_millis(5), Action::Deliver(other, event));
        }
    }

    pub fn pause(&mut self, daemon: &DaemonName, time: Duration) {
        let until = self.now + time;
        if let Some(fake) = self.daemons.get_mut(daemon) {
            fake.paused_until = until;
        }
        self.schedule(time, Action::Wake(daemon.clone()));
    }

    /// Runs until `end` after the start.
    pub fn run_until(&mut self, end: Duration) {
        let end = Time::ZERO + end;
        while let Some(entry) = self.queue.first_entry()
            && entry.key().0 <= end
        {
            let ((at, _), action) = entry.remove_entry();
            self.now = at;
            assert!(self.queue.len() < MAX_QUEUED, "too many queued actions at {at:?}: {action:?}");
            self.run_action(action);
        }
        self.now = end;
    }

    fn run_action(&mut self, action: Action) {
        match action {
            Action::Deliver(daemon, event) => self.deliver(&daemon, event),
            Action::Tick(daemon) => {
                self.repeat(&daemon, TICK, Action::Tick(daemon.clone()));
                if !self.is_paused(&daemon) {
                    let wall = self.wall();
                    self.deliver(&daemon, Event::Tick { wall });
                }
            }
            Action::Report(daemon) => self.report(&daemon),
            Action::Request(daemon) => self.request(&daemon),
            Action::ApplyView(daemon, view) => {
                if let Some(fake) = self.daemons.get_mut(&daemon) {
                    let newer =
                        fake.traffic.view.as_ref().is_none_or(|v| v.revision <= view.revision);
                    if newer {
                        fake.traffic.view = Some(view);
                    }
                }
            }
            Action::Connect(from, to) => self.connect(from, to),
            Action::Execute(daemon, call, request, lost_at) => {
                self.execute(daemon, call, request, lost_at);
            }
            Action::Command(daemon, host, command) => self.agent_command(daemon, host, command),
            Action::Operate => self.random_operation(),
            Action::Claim => self.claim_concurrently(),
            Action::Resend(id) => self.resend(id),
            Action::ReleaseClaim(daemon, ticket, id) => self.release_claim(daemon, ticket, id),
            Action::Fault => self.random_fault(),
            Action::Wake(_) => {}
            Action::HealStore(daemon) => {
                if let Some(fake) = self.daemons.get_mut(&daemon) {
                    fake.is_cut_from_store = false;
                }
            }
            Action::HealNetwork => self.daemons.values_mut().for_each(|fake| fake.partition = 0),
        }
    }

    fn repeat(&mut self, daemon: &DaemonName, after: Duration, action: Action) {
        if self.daemons.contains_key(daemon) {
            self.schedule(after, action);
        }
    }

    fn is_paused(&self, daemon: &DaemonName) -> bool {
        self.daemons.get(daemon).is_some_and(|fake| fake.paused_until > self.now)
    }

    fn deliver(&mut self, daemon: &DaemonName, event: Event) {
        let now = self.now;
        let Some(fake) = self.daemons.get_mut(daemon) else { return };
        if fake.paused_until > now {
            let wait = fake.paused_until.since(now);
            self.schedule(wait, Action::Deliver(daemon.clone(), event));
            return;
        }
        let effects = fake.state.handle(now, event);
        for effect in effects {
            self.execute_effect(daemon, effect);
        }
    }

    fn execute_effect(&mut self, daemon: &DaemonName, effect: Effect) {
        match effect {
            Effect::CallStore { call, request, timeout } => {
                self.call_store(daemon, call, request, timeout);
            }
            Effect::ConnectPeer { member } => {
                let connect = Action::Connect(daemon.clone(), member.daemon);
                self.schedule(Duration::from_millis(3), connect);
            }
            Effect::DialPeer { address } => {
                let found = self.daemons.values().find(|fake| fake.member.address == address);
                if let Some(to) = found.map(|fake| fake.member.daemon.clone()) {
                    let connect = Action::Connect(daemon.clone(), to);
                    self.schedule(Duration::from_millis(3), connect);
                }
            }
            Effect::DisconnectPeer { daemon: other } => {
                // A peer that is still alive reconnects by itself.
                self.links.remove(&network::link(daemon, &other));
                let event = Event::PeerDown { daemon: daemon.clone() };
                self.schedule(Duration::from_millis(5), Action::Deliver(other.clone(), event));
                let connect = Action::Connect(other, daemon.clone());
                self.schedule(Duration::from_millis(500), connect);
            }
            Effect::SendPeer { to, message } => self.send(daemon, &to, message),
            Effect::CommandHost { host, command, .. } => {
                self.store.expire(self.now);
                let holder =
                    self.store.value(PLANNER_KEY).and_then(|v| std::str::from_utf8(v).ok());
                self.checker.commanded(self.now, daemon, holder);
                let delay = self.millis(1, 20);
                self.schedule(delay, Action::Command(daemon.clone(), host, command));
            }
            Effect::RespondToOperator { call, response } => {
                self.responses.push((daemon.clone(), call, response));
            }
            Effect::ResolveClaim { ticket, outcome } => {
                let id = self.daemons.get_mut(daemon).and_then(|fake| fake.tickets.remove(&ticket));
                let id = id.expect("each ticket is resolved once");
                self.checker.claim_answered(id, daemon, ticket, outcome);
                self.release_unsent(daemon, ticket, id, outcome);
            }
            Effect::PublishView(view) => {
                let delay = self.millis(0, 10);
                self.schedule(delay, Action::ApplyView(daemon.clone(), view));
            }
            Effect::AdmitUntil(until) => {
                if let Some(fake) = self.daemons.get_mut(daemon) {
                    fake.traffic.admit_until = until;
                }
            }
            Effect::PublishFleet(fleet) => self.checker.published(daemon, fleet.revision),
            Effect::RecordDecision { text } => self.decisions.push((self.now, text)),
            Effect::Exit => self.crash(daemon),
            Effect::ReadHostList | Effect::SetReady(_) => {}
        }
    }
}
