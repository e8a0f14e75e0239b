//! Handles responses, failures and cancellations.

use std::time::Duration;

use borageswitch_types::{ErrorKind, Time, error::Ran};

use super::{DispatchOutput, Dispatcher, Outcome, Running, Ticket, admission::refuse};
use crate::{
    fair_queue::QueuedRequest,
    retry_budget::MAX_ATTEMPTS,
    run_times::RunLength,
    targets::{Attempt, HealthSignal},
};

/// The lowest HTTP status that is a server error.
const SERVER_ERROR: u16 = 500;
/// The shortest pause after a failure of a failing host that has to stay in use.
const MIN_PAUSE: Duration = Duration::from_millis(50);

/// The longest time for which a retry waits for another host. Without a limit, a request that
/// avoids the only host with free slots would block all those behind it in the queue.
const MAX_AVOID_TIME: Duration = Duration::from_millis(100);

impl Dispatcher {
    /// Removes a waiting request. A request in flight ends by its own [`Outcome`] and is not
    /// retried.
    pub(super) fn cancel(&mut self, ticket: Ticket) {
        if self.queue.remove(ticket).is_some() {
            return;
        }
        if let Some(running) = self.running.get_mut(&ticket) {
            running.cancelled = true;
        }
    }

    pub(super) fn finish(
        &mut self,
        now: Time,
        ticket: Ticket,
        outcome: Outcome,
        out: &mut Vec<DispatchOutput>,
    ) {
        let Some(Running { request, attempt, cancelled }) = self.running.remove(&ticket) else {
            return;
        };
        self.count_end(&request, &attempt);
        let signal = health_signal(now, &request, &attempt, outcome);
        let pause = self.run_times.mean().max(MIN_PAUSE);
        let was_ejected = self.targets.ejection_reason(&attempt.host).is_some();
        self.targets.finish(now, &attempt, signal, pause);
        self.return_overdue(&attempt.host, out);
        match outcome {
            Outcome::Answered { .. } if signal == HealthSignal::Positive => {
                let permille = self.service_view().map_or(0, |view| view.limits.retry_permille);
                self.retry_budget.record_success(permille);
                if !was_ejected {
                    self.run_times.record(now, request.offer.kind, now.since(attempt.started));
                }
            }
            Outcome::Failed { kind, ran, retryable } if !cancelled => {
                self.retry(now, request, attempt, Failure { kind, ran, retryable }, out);
            }
            Outcome::Answered { .. } | Outcome::Failed { .. } | Outcome::Abandoned => {}
        }
    }

    /// Queues a failed request for a retry on another target, or sends its final error now.
    fn retry(
        &mut self,
        now: Time,
        mut request: QueuedRequest,
        attempt: Attempt,
        failure: Failure,
        out: &mut Vec<DispatchOutput>,
    ) {
        let Failure { kind, ran, retryable } = failure;
        if ran != Ran::No {
            request.may_have_run = Some(kind);
        }
        // An attempt that provably did not run may be repeated whatever the request does.
        let is_harmless = ran == Ran::No || request.offer.retryable;
        let is_worth_it = request.attempts + 1 < MAX_ATTEMPTS && request.latest_start() > now;
        if retryable && is_harmless && is_worth_it && self.retry_budget.try_spend(ran) {
            request.attempts += 1;
            request.avoid = Some((attempt.host, now + self.run_times.mean().min(MAX_AVOID_TIME)));
            self.queue.push(request);
            return;
        }
        let kind = request.may_have_run.unwrap_or(kind);
        out.push(refuse(request.offer.ticket, kind, None));
    }

    fn count_end(&mut self, request: &QueuedRequest, attempt: &Attempt) {
        self.running_long -= u32::from(request.length == RunLength::Long);
        if let Some(team) = &request.team
            && let Some(count) = self.running_by_team.get_mut(team)
        {
            *count -= 1;
            if *count == 0 {
                self.running_by_team.remove(team);
            }
        }
        if let Some(count) = self.in_flight.get_mut(&attempt.host) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(&attempt.host);
            }
        }
    }
}

struct Failure {
    kind: ErrorKind,
    ran: Ran,
    retryable: bool,
}

/// Returns what the end of an attempt says about its target. Actions of the caller, and a deadline
/// too short for any target, do not count against it.
fn health_signal(
    now: Time,
    request: &QueuedRequest,
    attempt: &Attempt,
    outcome: Outcome,
) -> HealthSignal {
    match outcome {
        Outcome::Answered { status } if status >= SERVER_ERROR => HealthSignal::Negative,
        Outcome::Answered { .. } => HealthSignal::Positive,
        Outcome::Abandoned => HealthSignal::Neutral,
        Outcome::Failed { kind, .. } => match kind {
            ErrorKind::TargetRefused
            | ErrorKind::NotSent
            | ErrorKind::TargetLost
            | ErrorKind::BadAnswer => HealthSignal::Negative,
            ErrorKind::TargetTimeout if now.since(attempt.started) > request.upper_estimate => {
                HealthSignal::Negative
            }
            _ => HealthSignal::Neutral,
        },
    }
}
