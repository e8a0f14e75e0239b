//! Responds to operators' requests.

use std::sync::Arc;

use borageswitch_types::{Time, fleet::Revision, names::DaemonName};
use borageswitch_wire::operator::{OperatorAnswer, OperatorRequest};

use crate::{
    effect::Effect,
    event::OperatorCallId,
    reducer::{State, writing::Origin},
};

/// A request that waits until a revision is in force.
#[derive(Clone, Copy, Debug)]
pub(super) struct InForceWait {
    call: OperatorCallId,
    revision: Revision,
    until: Time,
}

impl State {
    pub(super) fn operator_requested(&mut self, call: OperatorCallId, request: OperatorRequest) {
        match request {
            OperatorRequest::Change(req) => {
                self.queue_change(Origin::Operator(call), *req);
            }
            OperatorRequest::WaitInForce { revision, timeout } => {
                let until = self.now + timeout;
                self.in_force_waits.push(InForceWait { call, revision, until });
                self.resolve_waits();
            }
            OperatorRequest::GetFleet => {
                let response = match self.sync.fleet() {
                    Some(fleet) => {
                        OperatorAnswer::Json(serde_json::to_string(&**fleet).unwrap_or_default())
                    }
                    None => OperatorAnswer::NotFound,
                };
                self.respond(call, response);
            }
            OperatorRequest::Dump => {
                let response = OperatorAnswer::Json(self.dump());
                self.respond(call, response);
            }
            OperatorRequest::Explain(subject) => {
                let response = match self.explain(&subject) {
                    Some(lines) => {
                        OperatorAnswer::Explanation(lines.into_iter().map(Arc::from).collect())
                    }
                    None => OperatorAnswer::NotFound,
                };
                self.respond(call, response);
            }
        }
    }

    pub(super) fn respond(&mut self, call: OperatorCallId, response: OperatorAnswer) {
        self.effects.push(Effect::RespondToOperator { call, response });
    }

    /// Responds to the waits whose revision is in force or whose timeout has passed.
    pub(super) fn resolve_waits(&mut self) {
        let in_force_waits = std::mem::take(&mut self.in_force_waits);
        for wait in in_force_waits {
            let lagging = self.lagging(wait.revision);
            if !lagging.is_empty() && self.now < wait.until {
                self.in_force_waits.push(wait);
                continue;
            }
            let response = OperatorAnswer::InForce { revision: wait.revision, lagging };
            self.respond(wait.call, response);
        }
    }

    /// The live daemons that have not confirmed that they apply a revision.
    ///
    /// A daemon that has been silent for longer than it may keep serving is not included.
    pub(super) fn lagging(&self, revision: Revision) -> Vec<DaemonName> {
        let has_applied = |daemon: &DaemonName| {
            let contact = self.members.contacts.get(daemon);
            contact.is_some_and(|contact| contact.progress.applied >= revision)
        };
        let known = self.members.known.keys();
        let behind = known.filter(|d| !has_applied(d) && self.may_serve(d)).cloned();
        let own = (self.traffic.applied < revision).then(|| self.me().clone());
        own.into_iter().chain(behind).collect()
    }

    /// Whether a daemon may still serve: its lease may be valid, or it may have contact with a
    /// majority.
    ///
    /// Only the planner lists the leases often, so on other daemons a lease that was never listed
    /// must be assumed valid. Otherwise an operator who waits at such a daemon would be notified
    /// that a change is in force while a daemon that was paused for two seconds still serves by the
    /// old revision.
    fn may_serve(&self, daemon: &DaemonName) -> bool {
        let listed = self.members.known.get(daemon).and_then(|known| known.listed.as_ref());
        let lease_may_stand = listed.is_none_or(|listed| listed.live);
        self.may_be_alive(daemon) || (lease_may_stand && self.contacted_within_ttl(daemon))
    }

    fn contacted_within_ttl(&self, daemon: &DaemonName) -> bool {
        let max_age = self.cfg.silence_timeout + self.cfg.duty_ttl;
        self.members.contacts.get(daemon).is_some_and(|contact| contact.at + max_age > self.now)
    }
}
