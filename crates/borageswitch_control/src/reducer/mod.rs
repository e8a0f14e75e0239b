//! The reducer: the only code that changes the daemon's control state.
//!
//! - [`session`] keeps the daemon's lease and registration in the store; [`duties`] are held under
//!   that lease.
//! - [`members`] tracks the members of the region; [`tree`] exchanges heartbeats between them.
//! - [`fleet_sync`] reads, watches and adopts the fleet document; [`propagation`] forwards changes
//!   to peers.
//! - [`host_list`] reads from the platform which hosts it will take away.
//! - [`writing`] turns changes into compare-and-swap writes and recovers from lost responses.
//! - [`admission`] computes until when the daemon may take new work.
//! - [`drains`] tracks which leaving hosts are drained; [`planning`] executes the planner's steps.
//! - [`observing`] probes hosts on behalf of the planner.
//! - [`claims`] ensures that a non-idempotent request is sent at most once.
//! - [`views`] derives the traffic threads' view from the fleet document.
//! - [`operators`] and [`explaining`] respond to operators and record decisions.
//! - [`store_calls`] rate-limits, times out and counts the calls to the store.

mod admission;
mod claims;
mod drains;
mod duties;
mod explaining;
mod fleet_sync;
mod host_list;
mod members;
mod observing;
mod operators;
mod planning;
mod propagation;
mod session;
mod store_calls;
mod tree;
mod views;
mod writing;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use borageswitch_planner::steps::Observed;
use borageswitch_types::{
    Fleet, Time,
    fleet::{Duty, Revision},
    names::{DaemonName, HostName},
    time::UnixMillis,
};
use borageswitch_wire::PeerMessage;

use crate::{
    config::ControlConfig,
    effect::Effect,
    event::{Event, TrafficReport},
    store::Version,
};

/// Ticks arrive many times a second, so this time without any event means that the process was
/// paused, which is logged.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);
/// Number of traffic reports without unfinished requests that must arrive after a stop before the
/// process exits: the first may predate the stop.
const REPORTS_AFTER_STOP: u32 = 2;

/// The control state of one daemon.
#[derive(Debug)]
pub struct State {
    cfg: ControlConfig,
    rng: fastrand::Rng,
    now: Time,
    wall: UnixMillis,
    operations: u64,
    store_calls: store_calls::StoreCalls,
    session: session::Session,
    duties: duties::Duties,
    members: members::Members,
    tree: tree::Tree,
    sync: fleet_sync::FleetSync,
    writer: writing::Writer,
    admission: admission::Admission,
    planning: planning::Planning,
    observing: observing::Observing,
    host_listing: host_list::HostListing,
    claims: claims::Claims,
    decisions: explaining::Decisions,
    traffic: TrafficReport,
    observed: Observed,
    last_commands: BTreeMap<HostName, Time>,
    epochs: BTreeMap<HostName, drains::KnownEpoch>,
    leaving: BTreeSet<HostName>,
    entries: Arc<[DaemonName]>,
    in_force_waits: Vec<operators::InForceWait>,
    stopping: bool,
    reports_since_stop: u32,
    exited: bool,
    effects: Vec<Effect>,
}

impl State {
    /// Creates the state of a daemon that has just started.
    pub fn new(cfg: ControlConfig) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(cfg.seed),
            entries: Arc::from([cfg.me.daemon.clone()]),
            cfg,
            now: Time::ZERO,
            wall: UnixMillis::default(),
            operations: 0,
            store_calls: store_calls::StoreCalls::default(),
            session: session::Session::default(),
            duties: duties::Duties::default(),
            members: members::Members::default(),
            tree: tree::Tree::default(),
            sync: fleet_sync::FleetSync::default(),
            writer: writing::Writer::default(),
            admission: admission::Admission::default(),
            planning: planning::Planning::default(),
            observing: observing::Observing::default(),
            host_listing: host_list::HostListing::default(),
            claims: claims::Claims::default(),
            decisions: explaining::Decisions::default(),
            traffic: TrafficReport::default(),
            observed: Observed::default(),
            last_commands: BTreeMap::new(),
            epochs: BTreeMap::new(),
            leaving: BTreeSet::new(),
            in_force_waits: Vec::new(),
            stopping: false,
            reports_since_stop: 0,
            exited: false,
            effects: Vec::new(),
        }
    }

    /// Handles one event at `now` and returns the resulting effects.
    ///
    /// # Panics
    ///
    /// If an invariant is violated: the revision of the document or a fencing token decreases, a
    /// key is claimed twice, or a command would be sent after the holder's lease has expired.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Effect> {
        self.advance_time(now);
        match event {
            Event::Started => self.start(),
            Event::Tick { wall } => self.tick(wall),
            Event::Store { call, outcome } => self.store_responded(call, outcome),
            Event::PeerUp { member } => self.peer_up(member),
            Event::PeerDown { daemon } => self.peer_down(&daemon),
            Event::Peer { from, message } => self.peer_message_received(&from, message),
            Event::HostList { hosts } => self.host_list_received(hosts),
            Event::Agent { host, outcome } => self.agent_responded(host, outcome),
            Event::Operator { call, request } => self.operator_requested(call, request),
            Event::Traffic(report) => self.traffic_reported(report),
            Event::Claim(claim) => self.claim(&claim),
            Event::ReleaseClaim(ticket) => self.release_claim(ticket),
            Event::Stop { reason } => self.stop(&reason),
        }
        std::mem::take(&mut self.effects)
    }

    /// The fleet document known to this daemon.
    pub fn fleet(&self) -> Option<&Arc<Fleet>> {
        self.sync.fleet()
    }

    /// Number of calls to the store since the start, by purpose.
    pub fn store_call_counts(&self) -> &BTreeMap<&'static str, u64> {
        self.store_calls.counts()
    }

    /// The duties that this daemon holds.
    pub fn duties(&self) -> Vec<Duty> {
        self.duties.held()
    }

    /// The duties that this daemon believes it holds.
    pub fn duties_held(&self) -> Vec<Duty> {
        self.duties.held()
    }

    /// The live daemons that have not confirmed that they apply a revision.
    pub fn lagging_daemons(&self, revision: Revision) -> Vec<DaemonName> {
        self.lagging(revision)
    }

    fn me(&self) -> &DaemonName {
        &self.cfg.me.daemon
    }

    fn advance_time(&mut self, now: Time) {
        let pause = now.since(self.now);
        let is_first = self.now == Time::ZERO;
        self.now = now;
        if pause >= PAUSE_THRESHOLD && !is_first {
            self.record_decision(format!("{} was paused for {} ms", self.me(), pause.as_millis()));
            self.refresh_admission();
        }
    }

    fn start(&mut self) {
        for address in self.cfg.seeds.clone() {
            self.effects.push(Effect::DialPeer { address });
        }
        self.read_fleet();
        self.session_tick();
    }

    fn tick(&mut self, wall: UnixMillis) {
        self.wall = wall;
        self.store_calls_tick();
        self.session_tick();
        self.members_tick();
        self.sync_tick();
        self.duty_tick();
        self.refresh_entries();
        self.refresh_admission();
        self.tree_tick();
        self.plan_tick();
        self.observing_tick();
        self.host_list_tick();
        self.writer_tick();
        self.claims_tick();
        self.resolve_waits();
        self.try_exit();
    }

    fn peer_message_received(&mut self, from: &DaemonName, message: PeerMessage) {
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.heartbeat_received(from, heartbeat),
            PeerMessage::Roster(members) => members.into_iter().for_each(|m| self.add_member(m)),
            PeerMessage::Changes(delta) => self.changes_received(from, &delta),
            PeerMessage::Snapshot { fleet, store_version } => {
                self.snapshot_received(from, *fleet, store_version);
            }
            PeerMessage::AskFleet { have } => self.fleet_requested(from, have),
            PeerMessage::ClaimAsks(asks) => self.claim_requests_received(from, asks),
            PeerMessage::ClaimReleases(releases) => self.claim_releases_received(releases),
            PeerMessage::ClaimAnswers(answers) => {
                for (nonce, outcome) in answers {
                    self.claim_resolved(nonce, outcome);
                }
            }
            PeerMessage::Slots(_) => {}
        }
    }

    fn traffic_reported(&mut self, report: TrafficReport) {
        let before = &self.traffic;
        let has_changed = report.applied != before.applied || report.draining != before.draining;
        self.traffic = report;
        self.reports_since_stop += u32::from(self.stopping);
        if has_changed {
            self.schedule_heartbeat();
            self.schedule_planning();
            self.resolve_waits();
        }
        self.try_exit();
    }

    fn stop(&mut self, reason: &str) {
        if self.stopping {
            return;
        }
        self.record_decision(format!("{} stops: {reason}", self.me()));
        self.stopping = true;
        self.release_duties();
        self.refresh_admission();
        self.schedule_heartbeat();
        self.try_exit();
    }

    fn try_exit(&mut self) {
        let is_idle = self.traffic.unfinished == 0 && self.reports_since_stop >= REPORTS_AFTER_STOP;
        if self.stopping && is_idle && !self.exited {
            self.unregister();
            self.exited = true;
            self.effects.push(Effect::Exit);
        }
    }

    fn fleet_key(&self) -> Arc<str> {
        format!("borageswitch/{}/fleet", self.cfg.region).into()
    }

    fn known_document(&self) -> (Revision, Version) {
        let revision = self.sync.fleet().map_or(Revision::default(), |fleet| fleet.revision);
        (revision, self.sync.version())
    }
}
