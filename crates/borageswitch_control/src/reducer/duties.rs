//! Acquires and releases duties, which are keys in the store under the daemon's lease.
//!
//! Only one daemon can hold a duty's key, which is deleted when that daemon's lease ends. The key's
//! version is the fencing token: each holder's is higher than those of all earlier holders. After a
//! pause, a holder detects by its own clock that its lease has expired before it emits any effect.

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

/// A store call made to acquire a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Creates the duty's key under the lease.
    Claim(LeaseId),
    /// Reads the duty's holder after the response to a claim was lost.
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

/// The acquisition state of each duty that this daemon can hold.
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

    /// Whether this daemon holds a duty under a lease that is valid with a safety margin.
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
            // The lease, and the key with it, ended before the response arrived.
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

    /// Creates a change request authored by the holder of the planner duty.
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

    /// Releases the duties so that other daemons need not wait for the lease to expire.
    pub(super) fn release_duties(&mut self) {
        for duty in self.duties.held() {
            let Some(fence) = self.duties.fence(&duty) else { continue };
            let key = self.duty_key(&duty);
            let request = StoreRequest::Delete { key, expected: Version(fence.0) };
            self.call_store(Purpose::Cleanup, request, self.cfg.store_timeout);
        }
        self.lose_duties("the daemon is stopping");
    }

    /// Drops a duty after a newer holder has written with a higher fencing token.
    pub(super) fn duty_fenced(&mut self, duty: &Duty) {
        self.record_decision(format!("{} was fenced off {duty} by a newer holder", self.me()));
        self.duty_not_acquired(duty);
    }
}
