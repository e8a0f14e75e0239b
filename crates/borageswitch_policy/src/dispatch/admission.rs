//! Admits a request to the queue, or refuses it at once.

use std::time::Duration;

use borageswitch_types::{ErrorKind, Time, view::TrafficView};

use super::{DispatchOutput, Dispatcher, Offer, Ticket};
use crate::{
    fair_queue::{NO_TEAM_WEIGHT, QueuedRequest},
    shedding::{QueueState, Refusal},
};

/// The largest part by which a retry time is randomly extended.
const RETRY_JITTER: f64 = 0.25;

impl Dispatcher {
    pub(super) fn offer(&mut self, now: Time, offer: Offer, out: &mut Vec<DispatchOutput>) {
        let Some(view) = self.view.clone() else {
            out.push(refuse(offer.ticket, ErrorKind::NotAdmitting, None));
            return;
        };
        let ticket = offer.ticket;
        let request = self.to_queued(now, offer, &view);
        match self.admit(now, &request, &view) {
            Ok(()) => self.queue.push(request),
            Err((kind, retry_after)) => {
                let retry_after = retry_after.map(|after| self.add_jitter(after));
                out.push(refuse(ticket, kind, retry_after));
            }
        }
    }

    /// Adds jitter to the retry times of refused callers, which would otherwise return in a burst.
    fn add_jitter(&mut self, after: Duration) -> Duration {
        after.mul_f64(1.0 + RETRY_JITTER * self.rng.f64())
    }

    fn admit(
        &self,
        now: Time,
        request: &QueuedRequest,
        view: &TrafficView,
    ) -> Result<(), (ErrorKind, Option<Duration>)> {
        if !view.admitting {
            return Err((ErrorKind::NotAdmitting, Some(view.retry_after)));
        }
        let Some(service) = view.services.get(&self.service) else {
            return Err((ErrorKind::UnknownService, None));
        };
        if !self.targets.any_accepting() {
            return Err((ErrorKind::NoTarget, None));
        }
        if request.offer.deadline <= now {
            return Err((ErrorKind::DeadlineInQueue, None));
        }
        let state = self.queue_state(request);
        let admitted = self.shedder.admit(now, &request.offer, &service.limits, &state);
        admitted.map_err(|Refusal { kind, retry_after }| (kind, Some(retry_after)))
    }

    fn queue_state(&self, request: &QueuedRequest) -> QueueState {
        let caller = &request.offer.caller;
        let backlog =
            self.queue.backlog(request.offer.priority, caller, &request.team, request.weight);
        QueueState {
            slots: self.targets.capacity(),
            backlog,
            waiting: self.queue.len(),
            caller_waiting: self.queue.caller_len(caller),
            upper_estimate: request.upper_estimate,
        }
    }

    fn to_queued(&self, now: Time, offer: Offer, view: &TrafficView) -> QueuedRequest {
        let team = view.callers.get(&offer.caller).cloned();
        let share = team.as_ref().and_then(|team| view.teams.get(team));
        QueuedRequest {
            weight: share.map_or(NO_TEAM_WEIGHT, |share| share.weight),
            arrived: now,
            expected: self.run_times.expected(offer.kind),
            upper_estimate: self.run_times.upper_estimate(offer.kind),
            length: self.run_times.length(offer.kind),
            attempts: 0,
            avoid: None,
            may_have_run: None,
            team,
            offer,
        }
    }
}

pub(super) fn refuse(
    ticket: Ticket,
    kind: ErrorKind,
    retry_after: Option<Duration>,
) -> DispatchOutput {
    DispatchOutput::Refuse { ticket, kind, retry_after }
}
