//! Binds waiting requests to free slots.

use std::time::Duration;

use borageswitch_types::{ErrorKind, Time};

use super::{DispatchOutput, Dispatcher, Priority, Running, Ticket, admission::refuse};
use crate::{
    fair_queue::{LaneKey, Waiting},
    run_times::Length,
    short_reserve,
    targets::Choice,
};

impl Dispatcher {
    pub(super) fn start_waiting(&mut self, now: Time, out: &mut Vec<DispatchOutput>) {
        while !self.queue.is_empty() && self.targets.any_free() {
            if !self.start_next(now, out) {
                return;
            }
        }
    }

    /// Refuses what waits and would hardly end in time if it started now.
    pub(super) fn refuse_late(&mut self, now: Time, out: &mut Vec<DispatchOutput>) {
        while let Some(ticket) = self.queue.first_too_late(now) {
            let Some(request) = self.queue.remove(ticket) else { return };
            let passed = request.offer.deadline <= now;
            let kind =
                if passed { ErrorKind::DeadlineInQueue } else { ErrorKind::DeadlineUnreachable };
            let retry_after = self.wait_estimate().max(Duration::from_millis(200));
            out.push(refuse(ticket, request.may_have_run.unwrap_or(kind), Some(retry_after)));
        }
    }

    /// How long it takes until what waits now has started.
    pub(super) fn wait_estimate(&self) -> Duration {
        self.queue.cost() / self.targets.capacity().max(1)
    }

    fn start_next(&mut self, now: Time, out: &mut Vec<DispatchOutput>) -> bool {
        let long_may_start = self.long_may_start();
        for priority in self.order.order() {
            for lane in self.lanes_in_order(now, priority, long_may_start).into_iter().flatten() {
                if let Some(ticket) = self.start_from(now, lane, out) {
                    let queue = &self.queue;
                    self.order.served(priority, |other| queue.has(other));
                    debug_assert!(self.running.contains_key(&ticket));
                    return true;
                }
            }
        }
        false
    }

    fn start_from(
        &mut self,
        now: Time,
        lane: LaneKey,
        out: &mut Vec<DispatchOutput>,
    ) -> Option<Ticket> {
        let (running, limits) = (&self.running_by_team, &self.team_limits);
        let is_full = |team: &_| match (running.get(team), limits.get(team)) {
            (Some(running), Some(limit)) => running >= limit,
            _ => false,
        };
        let request = self.queue.next(lane, is_full)?;
        let choice = Choice {
            expected: request.expected,
            wait: self.wait_estimate(),
            left: request.latest_start().since(now),
            avoid: request.avoid.as_ref().filter(|(_, until)| now < *until).map(|(host, _)| host),
            can_try_again: request.offer.retryable,
        };
        let (host, address) = self.targets.choose(now, &choice)?;
        let request = self.queue.take(request.offer.ticket)?;
        let ticket = request.offer.ticket;
        let known = self.run_times.is_known(request.offer.kind).then_some(request.expected);
        let on = self.targets.start(now, &host, known);
        self.count_start(now, &request);
        *self.in_flight.entry(host.clone()).or_default() += 1;
        self.running.insert(ticket, Running { request, on, cancelled: false });
        out.push(DispatchOutput::Start { ticket, host, address });
        Some(ticket)
    }

    fn count_start(&mut self, now: Time, request: &Waiting) {
        if request.tries == 0 {
            let had = request.offer.deadline.since(request.arrived);
            let waited = now.since(request.arrived);
            self.shedder.started(now, request.offer.priority, waited, had);
        }
        self.running_long += u32::from(request.length == Length::Long);
        if let Some(team) = &request.team {
            *self.running_by_team.entry(team.clone()).or_default() += 1;
        }
    }

    fn long_may_start(&self) -> bool {
        let capacity = self.targets.capacity();
        let kept = short_reserve::kept_slots(capacity, self.run_times.short_share());
        self.running_long < (capacity - kept).max(1)
    }

    /// The lanes of a priority; the one comes first whose next request has waited longer in
    /// proportion to its run, so that a short request does not wait as long as a long one runs,
    /// and a long one is not passed over for ever. Urgent work may take the slots kept for short.
    fn lanes_in_order(
        &self,
        now: Time,
        priority: Priority,
        long_may_start: bool,
    ) -> [Option<LaneKey>; 2] {
        let lane = |length| LaneKey { priority, length };
        let ratio = |length| {
            let request = self.queue.next(lane(length), |_| false)?;
            let waited = now.since(request.arrived).as_micros() as f64;
            Some(waited / (request.expected.as_micros() as f64).max(1.0))
        };
        let short = Some(lane(Length::Short));
        if !long_may_start && priority != Priority::Urgent {
            return [short, None];
        }
        let long = Some(lane(Length::Long));
        match (ratio(Length::Short), ratio(Length::Long)) {
            (_, None) => [short, None],
            (Some(of_short), Some(of_long)) if of_long <= of_short => [short, long],
            _ => [long, short],
        }
    }
}
