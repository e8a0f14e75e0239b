//! Computes until when this daemon may take new work.
//!
//! A partitioned daemon does not learn that a host is leaving. It may serve in two cases: its lease
//! in the store is valid and it has read the document since registering; or it has recent contact
//! with a majority of the expected daemons, none of which knows a higher revision. The second case
//! is safe because a planner acts only with the confirmation of a majority, and waits as long as
//! this daemon may continue without contact; two majorities share a daemon, which passes the change
//! on.
//!
//! The permission is a time on the monotonic clock, not a flag, so that it has expired when the
//! traffic threads resume after a pause of the whole process.
//!
//! A stopping daemon admits no new requests, but keeps its permission until it expires, so that
//! requests already queued still start.

use borageswitch_types::{Time, fleet::Revision};

use crate::{effect::Effect, reducer::State};

/// The permission last sent to the traffic threads.
#[derive(Debug, Default)]
pub(super) struct Admission {
    until: Time,
    is_admitting: bool,
    is_ready: Option<bool>,
}

impl State {
    pub(super) fn is_admitting(&self) -> bool {
        self.admission.is_admitting
    }

    pub(super) fn refresh_admission(&mut self) {
        let until = self.admitted_until();
        if until != self.admission.until {
            self.admission.until = until;
            self.effects.push(Effect::AdmitUntil(until));
        }
        let is_admitting = self.now < until && !self.stopping;
        if is_admitting != self.admission.is_admitting {
            self.admission.is_admitting = is_admitting;
            self.record_admission(is_admitting);
            self.publish_view();
            self.schedule_heartbeat();
        }
        if self.admission.is_ready != Some(is_admitting) {
            self.admission.is_ready = Some(is_admitting);
            self.effects.push(Effect::SetReady(is_admitting));
        }
    }

    fn record_admission(&mut self, is_admitting: bool) {
        let text = match (is_admitting, self.stopping) {
            (true, _) => "takes new work",
            (false, true) => "takes no new work: it is stopping",
            (false, false) => "takes no new work: it has neither a lease nor a majority",
        };
        self.record_decision(format!("{} {text}", self.me()));
    }

    fn admitted_until(&self) -> Time {
        let Some(fleet) = self.sync.fleet() else { return Time::ZERO };
        if !self.cfg.guards.self_fence {
            return Time::MAX;
        }
        let by_lease =
            if self.session.is_caught_up() { self.session.valid_until() } else { Time::ZERO };
        by_lease.max(self.majority_until(fleet.entries_expected, fleet.revision))
    }

    /// The time at which recent contact with a majority is lost, unless there is further contact.
    fn majority_until(&self, expected: u16, revision: Revision) -> Time {
        let others_needed = usize::from(expected / 2);
        if others_needed == 0 {
            return Time::MAX;
        }
        let contacts = &self.members.contacts;
        if contacts.values().any(|contact| contact.revision > revision) {
            return Time::ZERO;
        }
        let mut times: Vec<Time> = contacts.values().map(|contact| contact.at).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(others_needed - 1).map_or(Time::ZERO, |at| *at + self.cfg.silence_timeout)
    }
}
