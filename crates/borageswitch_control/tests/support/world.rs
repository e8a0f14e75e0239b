//! Daemons, store, hosts and network of one region in virtual time.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use borageswitch_control::{
    ControlConfig, Effect, Event, State,
    config::Guards,
    event::OperatorCall,
    store::{CallId, StoreAnswer, StoreError, StoreRequest},
};
use borageswitch_types::{
    Time,
    agent::{AgentCommand, AgentError, AgentStatus},
    claim::{ClaimOutcome, ClaimRequest, ClaimTicket},
    fleet::{Author, ChangeRequest, FleetChange, WaveSettings},
    names::{DaemonName, HostName, OperationId},
    time::UnixMillis,
    view::TrafficView,
};
use borageswitch_wire::{
    operator::{OperatorAnswer, OperatorRequest},
    peer::Member,
};

use super::{
    DATA_CENTRES, checker::Checker, faults::Faults, host_name, site, store::FakeStore,
    traffic::FakeTraffic,
};

const TICK: Duration = Duration::from_millis(50);
const FLEET_KEY: &str = "borageswitch/gauteng/fleet";
const PLANNER_KEY: &str = "borageswitch/gauteng/duty/planner";
/// Far above what a run needs: a daemon that answers each event with two would fill the memory.
const MOST_QUEUED: usize = 50_000;
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
    Disturb,
    Wake(DaemonName),
    HealStore(DaemonName),
    HealNetwork,
}

/// One daemon with its traffic threads.
pub struct FakeDaemon {
    pub state: State,
    pub member: Member,
    pub traffic: FakeTraffic,
    pub paused_until: Time,
    is_cut_from_store: bool,
    side: u8,
    tickets: BTreeMap<ClaimTicket, u64>,
}

#[derive(Default)]
struct FakeHost {
    done: Option<OperationId>,
    up_at: Time,
}

/// Everything of one region.
pub struct World {
    pub now: Time,
    pub rng: fastrand::Rng,
    pub store: FakeStore,
    pub daemons: BTreeMap<DaemonName, FakeDaemon>,
    pub checker: Checker,
    pub answers: Vec<(DaemonName, OperatorCall, OperatorAnswer)>,
    pub decisions: Vec<(Time, Arc<str>)>,
    pub peer_bytes: BTreeMap<DaemonName, u64>,
    pub peer_messages: u64,
    queue: BTreeMap<(Time, u64), Action>,
    hosts: BTreeMap<HostName, FakeHost>,
    watches: Vec<(DaemonName, CallId, StoreRequest, Time)>,
    links: BTreeSet<(DaemonName, DaemonName)>,
    faults: Faults,
    guards: Guards,
    last: u64,
    born: usize,
    entries: u16,
    waves: u32,
    pub auto: bool,
    pub lose_next_append: bool,
    /// Draws which granted requests are not sent and what becomes of their claims; nothing else
    /// draws from it, so that runs without it keep their course.
    pub unsent: Option<fastrand::Rng>,
    is_fast: bool,
}

impl World {
    /// A region with `entries` daemons that have just started; operators apply the site at once.
    pub fn new(seed: u64, entries: u16, faults: Faults, guards: Guards) -> Self {
        Self::with_pace(seed, entries, faults, guards, true)
    }

    /// The same with a daemon's usual times, or shorter ones that fit more into a run.
    pub fn with_pace(
        seed: u64,
        entries: u16,
        faults: Faults,
        guards: Guards,
        is_fast: bool,
    ) -> Self {
        let mut world = Self {
            now: Time::from_millis(1),
            rng: fastrand::Rng::with_seed(seed),
            store: FakeStore::default(),
            daemons: BTreeMap::new(),
            checker: Checker::default(),
            answers: Vec::new(),
            decisions: Vec::new(),
            peer_bytes: BTreeMap::new(),
            peer_messages: 0,
            queue: BTreeMap::new(),
            hosts: BTreeMap::new(),
            watches: Vec::new(),
            links: BTreeSet::new(),
            faults,
            guards,
            last: 0,
            born: 0,
            entries,
            waves: 0,
            auto: faults.disturbance.is_some(),
            lose_next_append: false,
            unsent: None,
            is_fast,
        };
        for _ in 0..entries {
            world.start_daemon();
        }
        let change = FleetChange::ApplySite(Box::new(site(entries)));
        let first = world.names()[0].clone();
        world.at(
            Duration::from_millis(300),
            Action::Deliver(first, change_event(1, "site", change)),
        );
        if world.auto {
            world.at(Duration::from_secs(3), Action::Operate);
            world.at(Duration::from_secs(2), Action::Claim);
            world.at(Duration::from_secs(4), Action::Disturb);
        }
        world
    }

    pub fn names(&self) -> Vec<DaemonName> {
        self.daemons.keys().cloned().collect()
    }

    pub fn wall(&self) -> UnixMillis {
        UnixMillis(WALL_START + self.now.as_micros() / 1_000)
    }

    fn at(&mut self, after: Duration, action: Action) {
        self.last += 1;
        self.queue.insert((self.now + after, self.last), action);
    }

    fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_micros(self.rng.u64(from * 1_000..=to * 1_000))
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.is_disturbed() && self.rng.f64() < probability
    }

    fn is_disturbed(&self) -> bool {
        self.now < Time::ZERO + self.faults.until
    }

    pub fn start_daemon(&mut self) -> DaemonName {
        let number = self.born;
        self.born += 1;
        let daemon = DaemonName::from(format!("entry-{number:02}"));
        let data_centre = DATA_CENTRES[number % 3].into();
        let address = ([127, 0, 0, 1], 30_000 + number as u16).into();
        let member = Member { daemon: daemon.clone(), data_centre, address };
        let seed = self.rng.u64(..);
        let mut cfg = ControlConfig::new(member.clone(), "gauteng".into(), seed);
        if self.is_fast {
            cfg.store_timeout = Duration::from_millis(500);
            cfg.duty_ttl = Duration::from_secs(3);
            cfg.heartbeat = Duration::from_millis(300);
            cfg.silence = Duration::from_millis(2_400);
        }
        cfg.guards = self.guards;
        cfg.seeds = self.daemons.values().map(|daemon| daemon.member.address).collect();
        let fake = FakeDaemon {
            state: State::new(cfg),
            member,
            traffic: FakeTraffic::default(),
            paused_until: Time::ZERO,
            is_cut_from_store: false,
            side: 0,
            tickets: BTreeMap::new(),
        };
        self.daemons.insert(daemon.clone(), fake);
        self.at(Duration::from_millis(1), Action::Deliver(daemon.clone(), Event::Started));
        for action in [Action::Tick(daemon.clone()), Action::Report(daemon.clone())] {
            let delay = self.millis(2, 50);
            self.at(delay, action);
        }
        self.at(Duration::from_millis(20), Action::Request(daemon.clone()));
        daemon
    }

    /// A daemon's host is gone: its connections break, its leases are left to lapse.
    pub fn crash(&mut self, daemon: &DaemonName) {
        self.daemons.remove(daemon);
        let ended = self.links.iter().filter(|(a, b)| a == daemon || b == daemon);
        let ended: Vec<_> = ended.cloned().collect();
        for link in ended {
            self.links.remove(&link);
            let other = if link.0 == *daemon { link.1 } else { link.0 };
            let event = Event::PeerDown { daemon: daemon.clone() };
            self.at(Duration::from_millis(5), Action::Deliver(other, event));
        }
    }

    pub fn pause(&mut self, daemon: &DaemonName, time: Duration) {
        let until = self.now + time;
        if let Some(fake) = self.daemons.get_mut(daemon) {
            fake.paused_until = until;
        }
        self.at(time, Action::Wake(daemon.clone()));
    }

    pub fn cut_from_store(&mut self, daemon: &DaemonName, time: Duration) {
        if let Some(fake) = self.daemons.get_mut(daemon) {
            fake.is_cut_from_store = true;
        }
        self.at(time, Action::HealStore(daemon.clone()));
    }

    pub fn split(&mut self, apart: &[DaemonName], time: Duration) {
        for (daemon, fake) in &mut self.daemons {
            fake.side = u8::from(apart.contains(daemon));
        }
        self.at(time, Action::HealNetwork);
    }

    pub fn ask(&mut self, daemon: &DaemonName, call: u64, request: OperatorRequest) {
        let event = Event::Operator { call: OperatorCall(call), request };
        self.at(Duration::from_millis(1), Action::Deliver(daemon.clone(), event));
    }

    pub fn change(&mut self, daemon: &DaemonName, call: u64, operation: &str, change: FleetChange) {
        let event = change_event(call, operation, change);
        self.at(Duration::from_millis(1), Action::Deliver(daemon.clone(), event));
    }

    pub fn claim(&mut self, daemon: &DaemonName, id: u64) {
        let ticket = ClaimTicket(self.last + 1);
        let Some(fake) = self.daemons.get_mut(daemon) else { return };
        fake.tickets.insert(ticket, id);
        let claim = ClaimRequest {
            ticket,
            service: "payroll".into(),
            request_id: format!("caller/{id}").into(),
            deadline: self.now + Duration::from_millis(1_500),
        };
        self.at(Duration::ZERO, Action::Deliver(daemon.clone(), Event::Claim(claim)));
    }

    /// Runs until a time after the start.
    pub fn run_until(&mut self, end: Duration) {
        let end = Time::ZERO + end;
        while let Some(entry) = self.queue.first_entry()
            && entry.key().0 <= end
        {
            let ((at, _), action) = entry.remove_entry();
            self.now = at;
            assert!(self.queue.len() < MOST_QUEUED, "events breed events at {at:?}: {action:?}");
            self.act(action);
        }
        self.now = end;
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Deliver(daemon, event) => self.deliver(&daemon, event),
            Action::Tick(daemon) => {
                self.again(&daemon, TICK, Action::Tick(daemon.clone()));
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
            Action::Command(daemon, host, command) => self.agent(daemon, host, command),
            Action::Operate => self.operate(),
            Action::Claim => self.race_claims(),
            Action::Resend(id) => self.resend(id),
            Action::ReleaseClaim(daemon, ticket, id) => self.release_claim(daemon, ticket, id),
            Action::Disturb => self.disturb(),
            Action::Wake(_) => {}
            Action::HealStore(daemon) => {
                if let Some(fake) = self.daemons.get_mut(&daemon) {
                    fake.is_cut_from_store = false;
                }
            }
            Action::HealNetwork => self.daemons.values_mut().for_each(|fake| fake.side = 0),
        }
    }

    fn again(&mut self, daemon: &DaemonName, after: Duration, action: Action) {
        if self.daemons.contains_key(daemon) {
            self.at(after, action);
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
            self.at(wait, Action::Deliver(daemon.clone(), event));
            return;
        }
        let effects = fake.state.handle(now, event);
        for effect in effects {
            self.carry_out(daemon, effect);
        }
    }

    fn carry_out(&mut self, daemon: &DaemonName, effect: Effect) {
        match effect {
            Effect::CallStore { call, request, timeout } => {
                self.call_store(daemon, call, request, timeout);
            }
            Effect::ConnectPeer { member } => {
                let connect = Action::Connect(daemon.clone(), member.daemon);
                self.at(Duration::from_millis(3), connect);
            }
            Effect::DialPeer { address } => {
                let found = self.daemons.values().find(|fake| fake.member.address == address);
                if let Some(to) = found.map(|fake| fake.member.daemon.clone()) {
                    let connect = Action::Connect(daemon.clone(), to);
                    self.at(Duration::from_millis(3), connect);
                }
            }
            Effect::DropPeer { daemon: other } => {
                // A peer that lives on dials again by itself.
                self.links.remove(&link(daemon, &other));
                let event = Event::PeerDown { daemon: daemon.clone() };
                self.at(Duration::from_millis(5), Action::Deliver(other.clone(), event));
                let connect = Action::Connect(other, daemon.clone());
                self.at(Duration::from_millis(500), connect);
            }
            Effect::SendPeer { to, message } => self.send(daemon, &to, message),
            Effect::CommandHost { host, command, .. } => {
                self.store.expire(self.now);
                let holder =
                    self.store.value(PLANNER_KEY).and_then(|v| std::str::from_utf8(v).ok());
                self.checker.commanded(self.now, daemon, holder);
                let delay = self.millis(1, 20);
                self.at(delay, Action::Command(daemon.clone(), host, command));
            }
            Effect::AnswerOperator { call, answer } => {
                self.answers.push((daemon.clone(), call, answer));
            }
            Effect::AnswerClaim { ticket, outcome } => {
                let id = self.daemons.get_mut(daemon).and_then(|fake| fake.tickets.remove(&ticket));
                let id = id.expect("each ticket is answered once");
                self.checker.claim_answered(id, daemon, ticket, outcome);
                self.give_back(daemon, ticket, id, outcome);
            }
            Effect::PublishView(view) => {
                let delay = self.millis(0, 10);
                self.at(delay, Action::ApplyView(daemon.clone(), view));
            }
            Effect::AdmitUntil(until) => {
                if let Some(fake) = self.daemons.get_mut(daemon) {
                    fake.traffic.admit_until = until;
                }
            }
            Effect::PublishFleet(fleet) => self.checker.published(daemon, fleet.revision),
            Effect::Decide { text } => self.decisions.push((self.now, text)),
            Effect::Exit => self.crash(daemon),
            Effect::ReadHostList | Effect::SetReady(_) => {}
        }
    }

    fn call_store(
        &mut self,
        daemon: &DaemonName,
        call: CallId,
        request: StoreRequest,
        timeout: Duration,
    ) {
        let lost_at = self.now + timeout;
        let delay = if self.chance(0.02) { self.millis(100, 700) } else { self.millis(1, 4) };
        self.at(delay, Action::Execute(daemon.clone(), call, request, lost_at));
    }

    fn execute(&mut self, daemon: DaemonName, call: CallId, request: StoreRequest, lost_at: Time) {
        let Some(fake) = self.daemons.get(&daemon) else { return };
        if fake.is_cut_from_store {
            let lost = self.rng.bool();
            let wait = if lost { lost_at.since(self.now) } else { Duration::from_millis(2) };
            let err = if lost { StoreError::AnswerLost } else { StoreError::NotSent };
            self.at(wait, Action::Deliver(daemon, Event::Store { call, outcome: Err(err) }));
            return;
        }
        if let StoreRequest::Watch { key, after, wait } = &request
            && self.store.version(key) <= *after
        {
            let until = self.now + *wait;
            self.watches.push((daemon, call, request, until));
            return;
        }
        let answer = self.store.execute(self.now, &request);
        let is_fleet_write = matches!(&request, StoreRequest::CompareAndSwap { key, .. }
            if &**key == FLEET_KEY && matches!(answer, StoreAnswer::Written { .. }));
        if let (true, StoreRequest::CompareAndSwap { value, .. }) = (is_fleet_write, &request) {
            self.checker.committed(value);
            self.wake_watches();
        }
        let is_append = matches!(&request, StoreRequest::CompareAndSwap { key, .. }
            if key.contains("/claims/"));
        let planned_loss = is_append && std::mem::take(&mut self.lose_next_append);
        let lost = planned_loss || self.chance(self.faults.lost_answer) || self.now >= lost_at;
        let delay = self.millis(1, 4);
        let (wait, outcome) = match lost {
            true => (lost_at.since(self.now), Err(StoreError::AnswerLost)),
            false => (delay, Ok(answer)),
        };
        self.at(wait, Action::Deliver(daemon, Event::Store { call, outcome }));
    }

    fn wake_watches(&mut self) {
        for (daemon, call, request, until) in std::mem::take(&mut self.watches) {
            let answer = match until > self.now {
                true => self.store.execute(self.now, &request),
                false => StoreAnswer::Value(None),
            };
            // A watch can go silent for good; the daemon's own timeout must end it.
            if !self.chance(0.1) {
                let delay = self.millis(1, 4);
                let event = Event::Store { call, outcome: Ok(answer) };
                self.at(delay, Action::Deliver(daemon, event));
            }
        }
    }

    fn connect(&mut self, from: DaemonName, to: DaemonName) {
        let (Some(a), Some(b)) = (self.daemons.get(&from), self.daemons.get(&to)) else { return };
        if a.side != b.side {
            self.at(Duration::from_millis(500), Action::Connect(from, to));
            return;
        }
        let (a, b) = (a.member.clone(), b.member.clone());
        self.links.insert(link(&from, &to));
        self.deliver(&from, Event::PeerUp { member: b });
        self.deliver(&to, Event::PeerUp { member: a });
    }

    fn send(
        &mut self,
        from: &DaemonName,
        to: &DaemonName,
        message: borageswitch_wire::PeerMessage,
    ) {
        let bytes = borageswitch_wire::peer::encode(&message).map_or(0, |frame| frame.len() as u64);
        *self.peer_bytes.entry(from.clone()).or_default() += bytes;
        *self.peer_bytes.entry(to.clone()).or_default() += bytes;
        self.peer_messages += 1;
        let sides = (self.daemons.get(from), self.daemons.get(to));
        let (Some(a), Some(b)) = sides else { return };
        let reaches = a.side == b.side && self.links.contains(&link(from, to));
        let copies = if self.chance(self.faults.duplicate) { 2 } else { 1 };
        if !reaches || self.chance(self.faults.loss) {
            return;
        }
        for _ in 0..copies {
            let delay = if self.chance(0.05) { self.millis(5, 900) } else { self.millis(1, 4) };
            let event = Event::Peer { from: from.clone(), message: message.clone() };
            self.at(delay, Action::Deliver(to.clone(), event));
        }
    }

    fn report(&mut self, daemon: &DaemonName) {
        self.again(daemon, Duration::from_millis(50), Action::Report(daemon.clone()));
        let now = self.now;
        if self.is_paused(daemon) {
            return;
        }
        let Some(fake) = self.daemons.get_mut(daemon) else { return };
        fake.traffic.end_requests(now);
        let report = fake.traffic.report();
        self.deliver(daemon, Event::Traffic(report));
    }

    fn request(&mut self, daemon: &DaemonName) {
        let wait = self.millis(5, 60);
        self.again(daemon, wait, Action::Request(daemon.clone()));
        let long = self.rng.u8(..10) == 0;
        let time = if long { self.millis(200, 2_000) } else { self.millis(5, 200) };
        let end = self.now + time;
        let paused = self.is_paused(daemon);
        let Some(fake) = self.daemons.get_mut(daemon).filter(|_| !paused) else { return };
        let Some((host, service)) = fake.traffic.choose(self.now, &mut self.rng) else { return };
        fake.traffic.in_flight.push((host.clone(), end));
        self.checker.request_started(daemon, &host, &service);
    }

    fn agent(&mut self, daemon: DaemonName, host: HostName, command: AgentCommand) {
        let (now, wall) = (self.now, self.wall());
        let boot = self.millis(500, 1_500);
        let fake = self.hosts.entry(host.clone()).or_default();
        let mut refused = false;
        match &command {
            AgentCommand::Throttle { operation, .. } => fake.done = Some(operation.clone()),
            AgentCommand::PowerOff { operation } => {
                fake.done = Some(operation.clone());
                fake.up_at = Time::MAX;
            }
            AgentCommand::Status | AgentCommand::Reboot { .. } => {}
        }
        if let AgentCommand::Reboot { operation, not_after } = command
            && fake.done.as_ref() != Some(&operation)
        {
            refused = not_after < wall;
            if !refused {
                fake.done = Some(operation);
                fake.up_at = now + boot;
                let busy = self.daemons.iter().filter(|(_, d)| {
                    d.traffic.in_flight.iter().any(|(other, end)| *other == host && *end > now)
                });
                let busy: Vec<DaemonName> = busy.map(|(name, _)| name.clone()).collect();
                self.checker.reboot_started(&host, &busy);
            }
        }
        let fake = &self.hosts[&host];
        let status =
            AgentStatus { ready: now >= fake.up_at, done: fake.done.clone(), draw_watts: 80 };
        let outcome = if refused { Err(AgentError::Refused) } else { Ok(status) };
        let outcome = if self.chance(0.05) { Err(AgentError::Silent) } else { outcome };
        let delay = self.millis(1, 20);
        self.at(delay, Action::Deliver(daemon, Event::Agent { host, outcome }));
    }

    fn any_daemon(&mut self) -> DaemonName {
        let names = self.names();
        names[self.rng.usize(..names.len())].clone()
    }

    fn operate(&mut self) {
        let wait = self.millis(200, 2_000);
        if self.is_disturbed() {
            self.at(wait, Action::Operate);
        }
        let operation = format!("op-{}", self.last);
        let host = host_name(self.rng.usize(..12));
        let change = match self.rng.u8(..8) {
            0..=2 => {
                self.waves += 1;
                let trial = Duration::from_millis(300);
                let settings = WaveSettings { trial, ..Default::default() };
                let wave = format!("wave-{}", self.waves).as_str().into();
                FleetChange::StartWave { wave, hosts: vec![host], settings }
            }
            3 => FleetChange::HoldHost { host, reason: "a random operator".into() },
            4 => FleetChange::ReleaseHost { host },
            5 => FleetChange::MoveHost { host, to: "office".into() },
            6 => FleetChange::MoveHost { host, to: "payroll".into() },
            _ => FleetChange::SetEntriesExpected { entries: self.entries },
        };
        // The same operation through two daemons: an operator who tried the next endpoint.
        for _ in 0..self.rng.usize(1..=2) {
            let daemon = self.any_daemon();
            let call = self.last;
            self.change(&daemon, call, &operation, change.clone());
        }
    }

    fn race_claims(&mut self) {
        let wait = self.millis(5, 100);
        if self.is_disturbed() {
            self.at(wait, Action::Claim);
        }
        let id = self.last;
        for _ in 0..self.rng.usize(1..=3) {
            let daemon = self.any_daemon();
            self.claim(&daemon, id);
        }
    }

    /// Half of the granted requests are not sent. Most of them give their claim back, some twice,
    /// and their callers send them again. Some that were refused give back what they never had.
    fn give_back(&mut self, daemon: &DaemonName, ticket: ClaimTicket, id: u64, got: ClaimOutcome) {
        let Some(rng) = &mut self.unsent else { return };
        let granted = got == ClaimOutcome::Granted;
        let share = if granted { 0.5 } else { 0.1 };
        if rng.f64() >= share {
            return;
        }
        let (is_lost, is_twice) = (rng.u8(..10) == 0, rng.u8(..5) == 0);
        let wait = Duration::from_millis(rng.u64(0..300));
        let resend = wait + Duration::from_millis(rng.u64(0..600));
        if !is_lost {
            self.at(wait, Action::ReleaseClaim(daemon.clone(), ticket, id));
        }
        if is_twice && !is_lost {
            self.at(wait * 2, Action::ReleaseClaim(daemon.clone(), ticket, id));
        }
        self.at(resend, Action::Resend(id));
    }

    fn release_claim(&mut self, daemon: DaemonName, ticket: ClaimTicket, id: u64) {
        if self.is_paused(&daemon) {
            self.at(Duration::from_millis(50), Action::ReleaseClaim(daemon, ticket, id));
            return;
        }
        if self.daemons.contains_key(&daemon) {
            self.checker.claim_released(id, &daemon, ticket);
        }
        self.deliver(&daemon, Event::ReleaseClaim(ticket));
    }

    /// The daemon that was granted a request gives its claim back.
    pub fn give_back_granted(&mut self, id: u64) {
        if let Some((daemon, ticket)) = self.checker.holder(id) {
            self.at(Duration::ZERO, Action::ReleaseClaim(daemon, ticket, id));
        }
    }

    fn resend(&mut self, id: u64) {
        let names = self.names();
        let Some(rng) = &mut self.unsent else { return };
        let daemon = names[rng.usize(..names.len())].clone();
        self.claim(&daemon, id);
    }

    fn disturb(&mut self) {
        let mean = self.faults.disturbance.unwrap_or_default().as_millis() as u64;
        let wait = self.millis(mean / 4, mean * 2);
        if !self.is_disturbed() {
            return;
        }
        self.at(wait, Action::Disturb);
        let daemon = self.any_daemon();
        let time = self.millis(200, 12_000);
        match self.rng.u8(..12) {
            0..=2 => self.pause(&daemon, time),
            3 | 4 => self.cut_from_store(&daemon, time),
            5 | 6 => {
                let names = self.names();
                let count = self.rng.usize(1..=names.len().div_ceil(2));
                self.split(&names[..count], time);
            }
            7 => self.names().iter().for_each(|daemon| self.cut_from_store(daemon, time)),
            8 | 9 => {
                self.crash(&daemon);
                self.start_daemon();
            }
            10 => {
                let reason = "replaced".into();
                self.deliver(&daemon, Event::Stop { reason });
                self.start_daemon();
            }
            _ => {
                for daemon in self.names().into_iter().step_by(2) {
                    self.pause(&daemon, time);
                }
            }
        }
    }
}

fn link(a: &DaemonName, b: &DaemonName) -> (DaemonName, DaemonName) {
    let (low, high) = if a < b { (a, b) } else { (b, a) };
    (low.clone(), high.clone())
}

fn change_event(call: u64, operation: &str, change: FleetChange) -> Event {
    let req = ChangeRequest {
        operation: operation.into(),
        expected: None,
        author: Author::Operator { name: "test".into() },
        reason: operation.into(),
        change,
    };
    let request = OperatorRequest::Change(Box::new(req));
    Event::Operator { call: OperatorCall(call), request }
}
