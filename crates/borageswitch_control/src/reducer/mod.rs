//! The reducer: the one place where the daemon's control state changes.
//!
//! - [`fleet_sync`] reads and watches the fleet document and adopts only higher revisions.
//! - [`writing`] turns changes into compare-and-swaps and settles answers that were lost.
//! - [`duties`] takes the planner's duty under a lease.
//! - [`planning`] asks the planner for steps and sends them on their way.
//! - [`views`] makes the traffic threads' view from the document.

mod duties;
mod fleet_sync;
mod planning;
mod views;
mod writing;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use borageswitch_types::{
    Fleet, Time,
    agent::AgentStatus,
    claim::ClaimOutcome,
    fleet::Revision,
    names::{DaemonName, HostName, OperationId},
    time::UnixMillis,
};
use borageswitch_wire::operator::{OperatorAnswer, OperatorRequest};

use crate::{
    config::ControlConfig,
    effect::Effect,
    event::{Event, OperatorCall, TrafficReport},
    store::{CallId, StoreAnswer, StoreError, StoreRequest, Version},
};

/// Why a call to the store was made.
#[derive(Clone, Debug)]
enum Purpose {
    ReadFleet,
    WatchFleet,
    WriteFleet,
    Duty,
}

/// The control state of one daemon.
#[derive(Debug)]
pub struct State {
    cfg: ControlConfig,
    now: Time,
    wall: UnixMillis,
    next_call: u64,
    calls: BTreeMap<CallId, Purpose>,
    sync: fleet_sync::FleetSync,
    writer: writing::Writer,
    planner_duty: duties::PlannerDuty,
    traffic: TrafficReport,
    agents: BTreeMap<HostName, AgentStatus>,
    done_since: BTreeMap<HostName, (OperationId, Time)>,
    commanded: BTreeMap<HostName, Time>,
    phase_since: BTreeMap<HostName, (u64, Time)>,
    waits: Vec<(OperatorCall, Revision, Time)>,
    stopping: bool,
    effects: Vec<Effect>,
}

impl State {
    /// The state of a daemon that has just started and knows nothing.
    pub fn new(cfg: ControlConfig) -> Self {
        Self {
            cfg,
            now: Time::ZERO,
            wall: UnixMillis::default(),
            next_call: 0,
            calls: BTreeMap::new(),
            sync: fleet_sync::FleetSync::default(),
            writer: writing::Writer::default(),
            planner_duty: duties::PlannerDuty::default(),
            traffic: TrafficReport::default(),
            agents: BTreeMap::new(),
            done_since: BTreeMap::new(),
            commanded: BTreeMap::new(),
            phase_since: BTreeMap::new(),
            waits: Vec::new(),
            stopping: false,
            effects: Vec::new(),
        }
    }

    /// Handles one event at `now` and gives what is to be done because of it.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Effect> {
        self.now = now;
        match event {
            Event::Started => self.read_fleet(),
            Event::Tick { wall } => self.tick(wall),
            Event::Store { call, outcome } => self.store_answered(call, outcome),
            Event::Agent { host, outcome } => {
                if let Ok(status) = outcome {
                    self.note_agent(host, status);
                }
            }
            Event::Operator { call, request } => self.operator_asks(call, request),
            Event::Traffic(report) => {
                self.traffic = report;
                self.answer_waits();
                self.try_exit();
            }
            Event::Claim(claim) => self.effects.push(Effect::AnswerClaim {
                ticket: claim.ticket,
                outcome: ClaimOutcome::Unavailable,
            }),
            Event::Stop { .. } => self.stop(),
            Event::PeerUp { .. }
            | Event::PeerDown { .. }
            | Event::Peer { .. }
            | Event::HostList { .. } => {}
        }
        std::mem::take(&mut self.effects)
    }

    /// The fleet document as this daemon knows it.
    pub fn fleet(&self) -> Option<&Arc<Fleet>> {
        self.sync.fleet()
    }

    fn me(&self) -> &DaemonName {
        &self.cfg.me.daemon
    }

    fn tick(&mut self, wall: UnixMillis) {
        self.wall = wall;
        self.sync_tick();
        self.duty_tick();
        self.plan();
        self.writer_tick();
        self.answer_waits();
        self.try_exit();
    }

    fn call_store(&mut self, purpose: Purpose, request: StoreRequest, timeout: Duration) -> CallId {
        self.next_call += 1;
        let call = CallId(self.next_call);
        self.calls.insert(call, purpose);
        self.effects.push(Effect::CallStore { call, request, timeout });
        call
    }

    fn store_answered(&mut self, call: CallId, outcome: Result<StoreAnswer, StoreError>) {
        let Some(purpose) = self.calls.remove(&call) else { return };
        match purpose {
            Purpose::ReadFleet => self.fleet_read(outcome),
            Purpose::WatchFleet => self.fleet_watched(outcome),
            Purpose::WriteFleet => self.fleet_written(outcome),
            Purpose::Duty => self.duty_answered(outcome),
        }
    }

    fn operator_asks(&mut self, call: OperatorCall, request: OperatorRequest) {
        match request {
            OperatorRequest::Change(req) => {
                self.queue_change(writing::Origin::Operator(call), *req);
            }
            OperatorRequest::WaitInForce { revision, timeout } => {
                self.waits.push((call, revision, self.now + timeout));
                self.answer_waits();
            }
            OperatorRequest::GetFleet => {
                let answer = match self.sync.fleet() {
                    Some(fleet) => {
                        OperatorAnswer::Json(serde_json::to_string(&**fleet).unwrap_or_default())
                    }
                    None => OperatorAnswer::NotFound,
                };
                self.answer(call, answer);
            }
            OperatorRequest::Dump => {
                let answer = OperatorAnswer::Json(self.dump());
                self.answer(call, answer);
            }
            OperatorRequest::Explain(_) => self.answer(call, OperatorAnswer::NotFound),
        }
    }

    fn answer(&mut self, call: OperatorCall, answer: OperatorAnswer) {
        self.effects.push(Effect::AnswerOperator { call, answer });
    }

    fn answer_waits(&mut self) {
        let (now, applied) = (self.now, self.traffic.applied);
        let me = self.me().clone();
        let mut answers = Vec::new();
        self.waits.retain(|(call, revision, until)| {
            let lagging = if applied >= *revision { Vec::new() } else { vec![me.clone()] };
            let waits_on = !lagging.is_empty() && now < *until;
            if !waits_on {
                answers.push((*call, OperatorAnswer::InForce { revision: *revision, lagging }));
            }
            waits_on
        });
        for (call, answer) in answers {
            self.answer(call, answer);
        }
    }

    fn dump(&self) -> String {
        let dump = serde_json::json!({
            "daemon": self.me(),
            "region": self.cfg.region,
            "revision": self.sync.fleet().map(|fleet| fleet.revision),
            "store_version": self.sync.version(),
            "applied": self.traffic.applied,
            "draining": self.traffic.draining,
            "planner": self.planner_duty.is_held(),
            "stopping": self.stopping,
        });
        dump.to_string()
    }

    fn stop(&mut self) {
        self.stopping = true;
        self.effects.push(Effect::SetReady(false));
        self.publish_view();
        self.give_back_duty();
        self.try_exit();
    }

    fn try_exit(&mut self) {
        if self.stopping && self.traffic.unfinished == 0 {
            self.effects.push(Effect::Exit);
        }
    }

    fn fleet_key(&self) -> Arc<str> {
        format!("borageswitch/{}/fleet", self.cfg.region).into()
    }

    fn known(&self) -> (Revision, Version) {
        let revision = self.sync.fleet().map_or(Revision::default(), |fleet| fleet.revision);
        (revision, self.sync.version())
    }
}
