//! Takes the planner's duty under a lease of the platform's store.

use std::sync::Arc;

use borageswitch_types::{Time, fleet::Fence};

use crate::{
    reducer::{Purpose, State},
    store::{LeaseId, StoreAnswer, StoreError, StoreRequest, Version},
};

/// A holder keeps its lease alive after this part of its time.
const KEEP_ALIVE_DIVISOR: u32 = 3;
/// A holder lets no effect out in the last part of its lease: the store's clock may run faster.
const MARGIN_DIVISOR: u32 = 4;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stage {
    #[default]
    Idle,
    Granting,
    Claiming,
    Held,
    KeepingAlive,
}

/// How far this daemon has come with the planner's duty.
#[derive(Debug, Default)]
pub(super) struct PlannerDuty {
    stage: Stage,
    lease: Option<LeaseId>,
    fence: Fence,
    asked_at: Time,
    valid_until: Time,
    next_try: Time,
}

impl PlannerDuty {
    pub(super) fn is_held(&self) -> bool {
        matches!(self.stage, Stage::Held | Stage::KeepingAlive)
    }

    pub(super) fn fence(&self) -> Fence {
        self.fence
    }

    /// Whether effects may leave under this duty: it is held and its lease has not nearly ended.
    pub(super) fn may_act(&self, now: Time) -> bool {
        self.is_held() && now < self.valid_until
    }
}

impl State {
    fn duty_key(&self) -> Arc<str> {
        format!("borageswitch/{}/duty/planner", self.cfg.region).into()
    }

    pub(super) fn duty_tick(&mut self) {
        if self.stopping || self.sync.fleet().is_none() {
            return;
        }
        let ttl = self.cfg.duty_ttl;
        match self.planner_duty.stage {
            Stage::Idle if self.planner_duty.next_try <= self.now => {
                self.duty_call(Stage::Granting, StoreRequest::GrantLease { ttl });
            }
            Stage::Held if self.now >= self.planner_duty.next_try => {
                if let Some(lease) = self.planner_duty.lease {
                    self.duty_call(Stage::KeepingAlive, StoreRequest::KeepAlive { lease });
                }
            }
            _ => {}
        }
    }

    fn duty_call(&mut self, stage: Stage, request: StoreRequest) {
        self.planner_duty.stage = stage;
        if stage != Stage::Claiming {
            self.planner_duty.asked_at = self.now;
        }
        self.call_store(Purpose::Duty, request, self.cfg.store_timeout);
    }

    pub(super) fn duty_answered(&mut self, outcome: Result<StoreAnswer, StoreError>) {
        match (self.planner_duty.stage, outcome) {
            (Stage::Granting, Ok(StoreAnswer::Lease { lease, .. })) => {
                self.planner_duty.lease = Some(lease);
                let value = self.me().as_str().as_bytes().into();
                let request = StoreRequest::CompareAndSwap {
                    key: self.duty_key(),
                    expected: Version::ABSENT,
                    value,
                    lease: Some(lease),
                };
                self.duty_call(Stage::Claiming, request);
            }
            (Stage::Claiming, Ok(StoreAnswer::Written { version })) => {
                self.planner_duty.fence = Fence(version.0);
                self.duty_lasts();
            }
            (Stage::KeepingAlive, Ok(StoreAnswer::Lease { .. })) => self.duty_lasts(),
            (Stage::KeepingAlive, Err(_)) if self.now < self.planner_duty.valid_until => {
                self.planner_duty.stage = Stage::Held;
            }
            _ => self.duty_lost(),
        }
    }

    fn duty_lasts(&mut self) {
        let ttl = self.cfg.duty_ttl;
        let asked_at = self.planner_duty.asked_at;
        self.planner_duty.stage = Stage::Held;
        self.planner_duty.valid_until = asked_at + (ttl - ttl / MARGIN_DIVISOR);
        self.planner_duty.next_try = asked_at + ttl / KEEP_ALIVE_DIVISOR;
    }

    fn duty_lost(&mut self) {
        if let Some(lease) = self.planner_duty.lease.take() {
            let request = StoreRequest::RevokeLease { lease };
            self.next_call += 1;
            let call = crate::store::CallId(self.next_call);
            let timeout = self.cfg.store_timeout;
            self.effects.push(crate::Effect::CallStore { call, request, timeout });
        }
        self.planner_duty.stage = Stage::Idle;
        self.planner_duty.next_try = self.now + self.cfg.duty_ttl / KEEP_ALIVE_DIVISOR;
    }

    pub(super) fn give_back_duty(&mut self) {
        if self.planner_duty.lease.is_some() {
            self.duty_lost();
        }
    }
}
