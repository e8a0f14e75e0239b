//! Takes duties: keys in the store under the daemon's lease.
//!
//! A duty's key can be created by one daemon at a time and ends with that daemon's lease. Its
//! version is the fence: each holder's is higher than those of all holders before. A holder that
//! was paused finds its lease past on its own clock before any effect leaves.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use borageswitch_types::{
    Time,
    fleet::{Author, ChangeRequest, Duty, Fence, FleetChange},
};

use crate::{
    reducer::{State, store_calls::Purpose, writing::Origin},
    store::{LeaseId, StoreError, StoreRequest, StoreResponse, Version},
};

const RETRY_BASE: Duration = Duration::from_millis(500);

/// A call on behalf of a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Create the duty's key under the lease.
    Claim(LeaseId),
    /// The answer to a claim was lost: read whose the duty is.
    ReadBack(LeaseId),
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stage {
    #[default]
    Idle,
    Calling,
    Held(Fence),
}

#[derive(Debug, Default)]
struct DutyState {
    stage: Stage,
    next_try: Time,
}

/// How far this daemon has come with each duty that it could take.
#[derive(Debug, Default)]
pub(super) struct Duties {
    states: BTreeMap<Duty, DutyState>,
}

impl Duties {
    pub(super) fn fence(&self, duty: &Duty) -> Option<Fence> {
        match self.states.get(duty)?.stage {
            Stage::Held(fence) => Some(fence),
            _ => None,
        }
    }

    pub(super) fn held(&self) -> Vec<Duty> {
        let held = self.states.iter().filter(|(_, s)| matches!(s.stage, Stage::Held(_)));
        held.map(|(duty, _)| duty.clone()).collect()
    }
}

impl State {
    pub(super) fn duty_key(&self, duty: &Duty) -> Arc<str> {
        format!("borageswitch/{}/duty/{duty}", self.cfg.region).into()
    }

    /// Whether this daemon holds a duty under a lease that has not nearly ended.
    pub(super) fn may_act(&self, duty: &Duty) -> bool {
        let in_time = self.now < self.session.valid_until() || !self.cfg.guards.fencing;
        self.duties.fence(duty).is_some() && in_time && !self.stopping
    }

    pub(super) fn relay_duty(&self) -> Duty {
        Duty::Relay(self.cfg.me.data_centre.clone())
    }

    pub(super) fn duty_tick(&mut self) {
        if self.stopping || self.sync.fleet().is_none() || self.session.lease().is_none() {
            return;
        }
        for duty in [Duty::Planner, self.relay_duty()] {
            let state = self.duties.states.entry(duty.clone()).or_default();
            let due = state.stage == Stage::Idle && state.next_try <= self.now;
            if let (true, None, Some(lease)) =
                (due, self.recent_holder(&duty), self.session.lease())
            {
                self.claim_duty(&duty, lease);
            }
        }
    }

    fn claim_duty(&mut self, duty: &Duty, lease: LeaseId) {
        let request = StoreRequest::CompareAndSwap {
            key: self.duty_key(duty),
            expected: Version::ABSENT,
            value: self.me().as_str().as_bytes().into(),
            lease: Some(lease),
        };
        self.set_stage(duty, Stage::Calling);
        let purpose = Purpose::Duty(duty.clone(), Step::Claim(lease));
        self.call_store(purpose, request, self.cfg.store_timeout);
    }

    fn set_stage(&mut self, duty: &Duty, stage: Stage) {
        self.duties.states.entry(duty.clone()).or_default().stage = stage;
    }

    pub(super) fn duty_response(
        &mut self,
        duty: &Duty,
        step: Step,
        outcome: Result<StoreResponse, StoreError>,
    ) {
        let (Step::Claim(lease) | Step::ReadBack(lease)) = step;
        if self.session.lease() != Some(lease) {
            // The lease ended while the answer was on its way, and the key with it.
            self.duty_not_acquired(duty);
            return;
        }
        match outcome {
            Ok(StoreResponse::Written { version }) => self.duty_acquired(duty, version),
            Ok(StoreResponse::Value(Some(kv))) if &*kv.value == self.me().as_str().as_bytes() => {
                self.duty_acquired(duty, kv.version);
            }
            Err(StoreError::AnswerLost) => {
                let request = StoreRequest::Get { key: self.duty_key(duty) };
                let purpose = Purpose::Duty(duty.clone(), Step::ReadBack(lease));
                self.call_store(purpose, request, self.cfg.store_timeout);
            }
            _ => self.duty_not_acquired(duty),
        }
    }

    fn duty_acquired(&mut self, duty: &Duty, version: Version) {
        let fence = Fence(version.0);
        self.set_stage(duty, Stage::Held(fence));
        self.record_decision(format!("{} takes {duty} with fence {fence}", self.me()));
        self.schedule_heartbeat();
        if *duty == Duty::Planner {
            self.list_members();
            let req = self.holder_request(
                FleetChange::TakeDuty { duty: duty.clone() },
                format!("{} takes {duty}", self.me()).into(),
            );
            self.queue_change(Origin::Planner, req);
        }
    }

    /// A change in the name of the planner's duty.
    pub(super) fn holder_request(
        &mut self,
        change: FleetChange,
        reason: Arc<str>,
    ) -> ChangeRequest {
        let fence = self.duties.fence(&Duty::Planner).unwrap_or_default();
        let author = match self.cfg.guards.fencing {
            true => Author::Holder { duty: Duty::Planner, fence },
            false => Author::Operator { name: "unfenced".into() },
        };
        ChangeRequest { operation: self.new_operation(), expected: None, author, reason, change }
    }

    fn duty_not_acquired(&mut self, duty: &Duty) {
        let state = self.duties.states.entry(duty.clone()).or_default();
        state.stage = Stage::Idle;
        state.next_try = self.now + RETRY_BASE.mul_f64(1.0 + self.rng.f64());
    }

    pub(super) fn lose_duties(&mut self, why: &str) {
        for duty in self.duties.held() {
            self.record_decision(format!("{} no longer holds {duty}: {why}", self.me()));
            self.duty_not_acquired(&duty);
        }
    }

    /// Gives the duties back so that others need not wait for the lease to end.
    pub(super) fn release_duties(&mut self) {
        for duty in self.duties.held() {
            let Some(fence) = self.duties.fence(&duty) else { continue };
            let key = self.duty_key(&duty);
            let request = StoreRequest::Delete { key, expected: Version(fence.0) };
            self.call_store(Purpose::Cleanup, request, self.cfg.store_timeout);
        }
        self.lose_duties("the daemon is stopping");
    }

    /// A newer holder has written: this daemon's duty has passed on.
    pub(super) fn duty_fenced(&mut self, duty: &Duty) {
        self.record_decision(format!("{} was fenced off {duty} by a newer holder", self.me()));
        self.duty_not_acquired(duty);
    }
}
