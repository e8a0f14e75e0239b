//! The daemon's registration in the store: a persistent member key, and a live key under a lease.
//!
//! The member key outlasts a crash, so that every later planner knows that the daemon may still
//! have requests in flight. The live key is deleted with the lease. While the lease is valid by the
//! daemon's own clock, less a margin, the live key exists in the store, and no planner treats the
//! daemon as gone.
//!
//! Each registration rewrites the member key after the live key. A member key that is unchanged
//! between two lists without the live key therefore proves that the daemon did not register in
//! between, however far apart the lists are.

use std::{sync::Arc, time::Duration};

use borageswitch_types::Time;

use crate::{
    reducer::{
        State,
        store_calls::{Backoff, Purpose},
    },
    store::{LeaseId, StoreError, StoreRequest, StoreResponse, Version},
};

/// A lease is renewed after its time to live divided by this.
const KEEP_ALIVE_DIVISOR: u32 = 3;
/// The last part of a lease, its time to live divided by this, is not relied on, since the store's
/// clock may run faster.
const MARGIN_DIVISOR: u32 = 4;
const RETRY_BASE: Duration = Duration::from_millis(250);

/// A store call of the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    Grant,
    WriteLive,
    WriteMember,
    /// Reads the version of a member key that already exists.
    ReadMember,
    KeepAlive,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stage {
    #[default]
    Idle,
    Calling,
    Held,
    KeepingAlive,
}

/// The daemon's lease and the progress of its registration.
#[derive(Debug, Default)]
pub(super) struct Session {
    stage: Stage,
    lease: Option<LeaseId>,
    valid_until: Time,
    registered_at: Time,
    /// Whether the document was read from the store after registering.
    ///
    /// A leave may have been accepted before any planner saw this daemon as a member. The read
    /// after registering reveals it; otherwise the daemon could send work to a host that is about
    /// to reboot.
    caught_up: bool,
    next_try: Time,
    backoff: Backoff,
}

impl Session {
    /// The lease, if the daemon is registered and the lease is not known to have ended.
    pub(super) fn lease(&self) -> Option<LeaseId> {
        let held = matches!(self.stage, Stage::Held | Stage::KeepingAlive);
        self.lease.filter(|_| held)
    }

    /// Until when the store certainly keeps the lease; [`Time::ZERO`] while none is held.
    pub(super) fn valid_until(&self) -> Time {
        if self.lease().is_some() { self.valid_until } else { Time::ZERO }
    }

    pub(super) fn is_caught_up(&self) -> bool {
        self.lease().is_some() && self.caught_up
    }

    pub(super) fn document_read(&mut self, sent_at: Time) {
        self.caught_up |= self.lease().is_some() && sent_at >= self.registered_at;
    }
}

impl State {
    pub(super) fn daemon_prefix(&self) -> Arc<str> {
        format!("borageswitch/{}/daemon/", self.cfg.region).into()
    }

    fn member_key(&self) -> Arc<str> {
        format!("{}{}/member", self.daemon_prefix(), self.me()).into()
    }

    fn live_key(&self) -> Arc<str> {
        format!("{}{}/live", self.daemon_prefix(), self.me()).into()
    }

    pub(super) fn session_tick(&mut self) {
        if self.session.next_try > self.now || self.exited {
            return;
        }
        match (self.session.stage, self.session.lease) {
            (Stage::Idle, _) if !self.stopping => {
                let ttl = self.cfg.duty_ttl;
                self.call_for_session(Step::Grant, StoreRequest::GrantLease { ttl });
            }
            (Stage::Held, Some(lease)) => {
                self.call_for_session(Step::KeepAlive, StoreRequest::KeepAlive { lease });
            }
            _ => {}
        }
    }

    fn call_for_session(&mut self, step: Step, request: StoreRequest) {
        let keeps = step == Step::KeepAlive;
        self.session.stage = if keeps { Stage::KeepingAlive } else { Stage::Calling };
        self.call_store(Purpose::Session(step), request, self.cfg.store_timeout);
    }

    pub(super) fn session_response(
        &mut self,
        step: Step,
        sent_at: Time,
        outcome: Result<StoreResponse, StoreError>,
    ) {
        match (step, outcome) {
            (Step::Grant, Ok(StoreResponse::Lease { lease, .. })) => {
                self.session.lease = Some(lease);
                self.lease_extended(sent_at);
                self.write_live();
            }
            (Step::WriteLive, Ok(StoreResponse::Written { .. })) => self.write_member(),
            (Step::WriteMember, Ok(StoreResponse::Written { version })) => {
                self.members.own_version = Some(version);
                self.registered();
            }
            (Step::WriteMember, Ok(StoreResponse::Conflict)) => {
                let request = StoreRequest::Get { key: self.member_key() };
                self.call_for_session(Step::ReadMember, request);
            }
            (Step::ReadMember, Ok(StoreResponse::Value(found))) => {
                self.members.own_version = found.map(|kv| kv.version);
                self.write_member();
            }
            (Step::KeepAlive, Ok(StoreResponse::Lease { .. })) => {
                self.session.stage = Stage::Held;
                self.session.backoff.reset();
                self.lease_extended(sent_at);
            }
            (Step::KeepAlive, Err(_)) => {
                self.session.stage = Stage::Held;
                // One call a second is cheap, and a late renewal is better than a lost lease.
                let wait = self.session.backoff.next_delay(RETRY_BASE, &mut self.rng);
                self.session.next_try = self.now + wait.min(self.cfg.duty_ttl / 6);
            }
            _ => self.session_lost(),
        }
    }

    fn lease_extended(&mut self, sent_at: Time) {
        let ttl = self.cfg.duty_ttl;
        self.session.valid_until = sent_at + (ttl - ttl / MARGIN_DIVISOR);
        self.session.next_try = sent_at + ttl / KEEP_ALIVE_DIVISOR;
    }

    fn write_member(&mut self) {
        let value = serde_json::to_vec(&self.cfg.me).unwrap_or_default().into();
        let request = StoreRequest::CompareAndSwap {
            key: self.member_key(),
            expected: self.members.own_version.unwrap_or(Version::ABSENT),
            value,
            lease: None,
        };
        self.call_for_session(Step::WriteMember, request);
    }

    fn write_live(&mut self) {
        let request = StoreRequest::CompareAndSwap {
            key: self.live_key(),
            expected: Version::ABSENT,
            value: Arc::from(&b"live"[..]),
            lease: self.session.lease,
        };
        self.call_for_session(Step::WriteLive, request);
    }

    fn registered(&mut self) {
        self.session.stage = Stage::Held;
        self.session.registered_at = self.now;
        self.session.caught_up = false;
        self.session.backoff.reset();
        self.read_fleet();
        self.list_members();
    }

    /// Gives up the lease, which has ended or may have ended, and all duties with it.
    fn session_lost(&mut self) {
        if let Some(lease) = self.session.lease.take() {
            let request = StoreRequest::RevokeLease { lease };
            self.call_store(Purpose::Cleanup, request, self.cfg.store_timeout);
        }
        self.session.stage = Stage::Idle;
        self.session.caught_up = false;
        let wait = self.session.backoff.next_delay(RETRY_BASE, &mut self.rng);
        self.session.next_try = self.now + wait;
        self.lose_duties("the daemon's lease in the store has ended");
    }

    /// Removes the daemon from the store once none of its requests is in flight.
    pub(super) fn unregister(&mut self) {
        let timeout = self.cfg.store_timeout;
        if let Some(version) = self.members.own_version {
            let request = StoreRequest::Delete { key: self.member_key(), expected: version };
            self.call_store(Purpose::Cleanup, request, timeout);
        }
        if let Some(lease) = self.session.lease.take() {
            let request = StoreRequest::RevokeLease { lease };
            self.call_store(Purpose::Cleanup, request, timeout);
        }
    }
}
