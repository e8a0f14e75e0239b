//! Tracks calls to the store: limits their rate, times them out and counts them by purpose.
//!
//! The store handles several hundred writes and two thousand reads a second for the whole platform.
//! Daemons that retried without limit during an outage would help to keep the store overloaded; the
//! budget and the jittered backoff prevent this.

use std::{collections::BTreeMap, time::Duration};

use borageswitch_types::{
    Time,
    fleet::{Duty, Revision},
    names::DaemonName,
};

use crate::{
    effect::Effect,
    reducer::{State, claims, duties, session},
    store::{CallId, StoreError, StoreRequest, StoreResponse},
};

/// Calls a second that one daemon may make, except those for its own lease. Nine daemons together
/// stay under 400 a second in the worst case.
const BUDGET_RATE: u64 = 40;
/// Burst size of the budget.
const BUDGET_BURST: u64 = 80;
const MICROS_PER_CALL: u64 = 1_000_000 / BUDGET_RATE;
/// Maximum delay between two attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// A call without any event counts as lost after this many timeouts, even if the I/O layer never
/// reports it.
const OVERDUE_TIMEOUTS: u32 = 2;

/// The purpose of a store call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    ReadFleet,
    WatchFleet,
    WriteFleet,
    Session(session::Step),
    ListMembers {
        known: Revision,
    },
    DeleteMember(DaemonName),
    Duty(Duty, duties::Step),
    Claims(u8, claims::Step),
    /// Releases keys or leases; the response is ignored.
    Cleanup,
}

impl Purpose {
    /// The metric label under which calls are counted.
    fn name(&self) -> &'static str {
        match self {
            Purpose::ReadFleet => "read_fleet",
            Purpose::WatchFleet => "watch_fleet",
            Purpose::WriteFleet => "write_fleet",
            Purpose::Session(_) => "lease",
            Purpose::ListMembers { .. } | Purpose::DeleteMember(_) => "members",
            Purpose::Duty(..) => "duties",
            Purpose::Claims(..) => "claims",
            Purpose::Cleanup => "farewell",
        }
    }

    /// Whether the call is exempt from the budget: without its lease a daemon stops serving.
    fn bypasses_budget(&self) -> bool {
        matches!(self, Purpose::Session(_) | Purpose::Cleanup)
    }
}

#[derive(Debug)]
pub(super) struct OpenCall {
    pub(super) purpose: Purpose,
    pub(super) sent_at: Time,
    overdue_at: Time,
}

/// The open calls, the budget and the counters.
#[derive(Debug, Default)]
pub(super) struct StoreCalls {
    last: u64,
    open: BTreeMap<CallId, OpenCall>,
    counts: BTreeMap<&'static str, u64>,
    over_budget: Vec<CallId>,
    /// The time at which the budget is full again; each call moves it forward.
    spent_until: Time,
}

impl StoreCalls {
    /// Number of calls made, by purpose.
    pub(super) fn counts(&self) -> &BTreeMap<&'static str, u64> {
        &self.counts
    }

    pub(super) fn is_open<F>(&self, matches: F) -> bool
    where
        F: Fn(&Purpose) -> bool,
    {
        self.open.values().any(|call| matches(&call.purpose))
    }

    fn take_from_budget(&mut self, now: Time) -> bool {
        let full = now.as_micros().max(self.spent_until.as_micros());
        let spent = full - now.as_micros();
        if spent + MICROS_PER_CALL > BUDGET_BURST * MICROS_PER_CALL {
            return false;
        }
        self.spent_until = Time::from_micros(full + MICROS_PER_CALL);
        true
    }
}

/// Exponential backoff with jitter, so that the retries of several daemons spread out.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Backoff {
    failures: u32,
}

impl Backoff {
    pub(super) fn reset(&mut self) {
        self.failures = 0;
    }

    pub(super) fn next_delay(&mut self, base: Duration, rng: &mut fastrand::Rng) -> Duration {
        let wait = (base * 2_u32.pow(self.failures.min(6))).min(MAX_BACKOFF);
        self.failures += 1;
        wait.mul_f64(0.5 + rng.f64() / 2.0)
    }
}

impl State {
    pub(super) fn call_store(
        &mut self,
        purpose: Purpose,
        request: StoreRequest,
        timeout: Duration,
    ) -> CallId {
        self.store_calls.last += 1;
        let call = CallId(self.store_calls.last);
        let bypasses_budget = purpose.bypasses_budget();
        let name = purpose.name();
        let overdue_at = self.now + timeout * OVERDUE_TIMEOUTS;
        let open = OpenCall { purpose, sent_at: self.now, overdue_at };
        self.store_calls.open.insert(call, open);
        if !bypasses_budget && !self.store_calls.take_from_budget(self.now) {
            self.store_calls.over_budget.push(call);
            return call;
        }
        *self.store_calls.counts.entry(name).or_default() += 1;
        self.effects.push(Effect::CallStore { call, request, timeout });
        call
    }

    /// Fails the calls that exceeded the budget, and those that the I/O layer never reported.
    pub(super) fn store_calls_tick(&mut self) {
        for call in std::mem::take(&mut self.store_calls.over_budget) {
            self.store_responded(call, Err(StoreError::NotSent));
        }
        let now = self.now;
        let overdue = self.store_calls.open.iter().filter(|(_, open)| open.overdue_at <= now);
        let overdue: Vec<CallId> = overdue.map(|(call, _)| *call).collect();
        for call in overdue {
            self.store_responded(call, Err(StoreError::AnswerLost));
        }
    }

    pub(super) fn store_responded(
        &mut self,
        call: CallId,
        outcome: Result<StoreResponse, StoreError>,
    ) {
        let Some(OpenCall { purpose, sent_at, .. }) = self.store_calls.open.remove(&call) else {
            return;
        };
        match purpose {
            Purpose::ReadFleet => self.fleet_read(sent_at, outcome),
            Purpose::WatchFleet => self.fleet_watched(outcome),
            Purpose::WriteFleet => self.fleet_written(outcome),
            Purpose::Session(step) => self.session_response(step, sent_at, outcome),
            Purpose::ListMembers { known } => self.members_listed(known, outcome),
            Purpose::DeleteMember(daemon) => self.member_deleted(&daemon, &outcome),
            Purpose::Duty(duty, step) => self.duty_response(&duty, step, outcome),
            Purpose::Claims(shard, step) => {
                self.claims_store_response(shard, step, sent_at, outcome);
            }
            Purpose::Cleanup => {}
        }
    }
}
