//! Deals with answers, failures and cancellations.

use std::time::Duration;

use borageswitch_types::{ErrorKind, Time, error::Ran};

use super::{DispatchOutput, Dispatcher, Outcome, Running, Ticket, admission::refuse};
use crate::{
    fair_queue::Waiting,
    retry_budget::MAX_TRIES,
    run_times::Length,
    targets::{Try, Verdict},
};

/// The first server error among the HTTP statuses.
const SERVER_ERROR: u16 = 500;
/// A failing host that must stay in use pauses at least so long after each failure.
const LEAST_PAUSE: Duration = Duration::from_millis(50);

/// The longest time for which a second try waits for another host. Without an end, a request that
/// avoids the only host with free slots would hold up all those behind it in the queue.
const MOST_AVOIDED: Duration = Duration::from_millis(100);

impl Dispatcher {
    /// Forgets a waiting request; one in flight ends by its own [`Outcome`], and is not tried
    /// again.
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
        let Some(Running { request, on, cancelled }) = self.running.remove(&ticket) else { return };
        self.count_end(&request, &on);
        let verdict = verdict_on_target(now, &request, &on, outcome);
        let pause = self.run_times.mean().max(LEAST_PAUSE);
        let was_in_trouble = self.targets.trouble(&on.host).is_some();
        self.targets.finish(now, &on, verdict, pause);
        self.settle_overdue(&on.host, out);
        match outcome {
            Outcome::Answered { .. } if verdict == Verdict::Good => {
                let permille = self.service_view().map_or(0, |view| view.limits.retry_permille);
                self.retry_budget.success(permille);
                if !was_in_trouble {
                    self.run_times.learn(now, request.offer.kind, now.since(on.started));
                }
            }
            Outcome::Failed { kind, ran, retryable } if !cancelled => {
                self.try_again(now, request, on, Failure { kind, ran, retryable }, out);
            }
            Outcome::Answered { .. } | Outcome::Failed { .. } | Outcome::Abandoned => {}
        }
    }

    /// Puts a failed request back in the queue for another target, or gives its final answer now.
    fn try_again(
        &mut self,
        now: Time,
        mut request: Waiting,
        on: Try,
        failure: Failure,
        out: &mut Vec<DispatchOutput>,
    ) {
        let Failure { kind, ran, retryable } = failure;
        if ran != Ran::No {
            request.may_have_run = Some(kind);
        }
        // A try that provably did not run may be made anew whatever the request does.
        let is_harmless = ran == Ran::No || request.offer.retryable;
        let is_worth_it = request.tries + 1 < MAX_TRIES && request.latest_start() > now;
        if retryable && is_harmless && is_worth_it && self.retry_budget.spend(ran) {
            request.tries += 1;
            request.avoid = Some((on.host, now + self.run_times.mean().min(MOST_AVOIDED)));
            self.queue.push(request);
            return;
        }
        let kind = request.may_have_run.unwrap_or(kind);
        out.push(refuse(request.offer.ticket, kind, None));
    }

    fn count_end(&mut self, request: &Waiting, on: &Try) {
        self.running_long -= u32::from(request.length == Length::Long);
        if let Some(team) = &request.team
            && let Some(count) = self.running_by_team.get_mut(team)
        {
            *count -= 1;
            if *count == 0 {
                self.running_by_team.remove(team);
            }
        }
        if let Some(count) = self.in_flight.get_mut(&on.host) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(&on.host);
            }
        }
    }
}

struct Failure {
    kind: ErrorKind,
    ran: Ran,
    retryable: bool,
}

/// Whether the end of a try speaks against its target. What the caller did, or a deadline too
/// short for any target, does not.
fn verdict_on_target(now: Time, request: &Waiting, on: &Try, outcome: Outcome) -> Verdict {
    match outcome {
        Outcome::Answered { status } if status >= SERVER_ERROR => Verdict::Bad,
        Outcome::Answered { .. } => Verdict::Good,
        Outcome::Abandoned => Verdict::Neutral,
        Outcome::Failed { kind, .. } => match kind {
            ErrorKind::TargetRefused
            | ErrorKind::NotSent
            | ErrorKind::TargetLost
            | ErrorKind::BadAnswer => Verdict::Bad,
            ErrorKind::TargetTimeout if now.since(on.started) > request.allowance => Verdict::Bad,
            _ => Verdict::Neutral,
        },
    }
}
