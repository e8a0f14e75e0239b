//! Binds waiting requests to free slots.

use std::time::Duration;

use borageswitch_types::{ErrorKind, Time};

use super::{DispatchOutput, Dispatcher, Priority, Running, Ticket, admission::refuse};
use crate::{
    fair_queue::{LaneKey, QueuedRequest},
    run_times::RunLength,
    short_reservation,
    targets::PlacementRequest,
};

impl Dispatcher {
    pub(super) fn start_waiting(&mut self, now: Time, out: &mut Vec<DispatchOutput>) {
        while !self.queue.is_empty() && self.targets.any_free() {
            if !self.start_next(now, out) {
                return;
            }
        }
    }

    /// Refuses the waiting requests that would hardly end in time if they started now.
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

    /// Estimates the time until all requests that wait now have started.
    pub(super) fn wait_estimate(&self) -> Duration {
        self.queue.cost() / self.targets.capacity().max(1)
    }

    fn start_next(&mut self, now: Time, out: &mut Vec<DispatchOutput>) -> bool {
        let long_may_start = self.long_may_start();
        for priority in self.priority_order.order() {
            for lane in self.lanes_in_order(now, priority, long_may_start).into_iter().flatten() {
                if let Some(ticket) = self.start_from(now, lane, out) {
                    let queue = &self.queue;
                    self.priority_order.record_start(priority, |other| queue.has_waiting(other));
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
        let is_at_quota = |team: &_| match (running.get(team), limits.get(team)) {
            (Some(running), Some(limit)) => running >= limit,
            _ => false,
        };
        let request = self.queue.next(lane, is_at_quota)?;
        let placement = PlacementRequest {
            expected: request.expected,
            wait: self.wait_estimate(),
            time_left: request.latest_start().since(now),
            avoid: request.avoid.as_ref().filter(|(_, until)| now < *until).map(|(host, _)| host),
            can_retry: request.offer.retryable,
        };
        let (host, address) = self.targets.choose(now, &placement)?;
        let request = self.queue.take(request.offer.ticket)?;
        let ticket = request.offer.ticket;
        let known = self.run_times.is_known(request.offer.kind).then_some(request.expected);
        let attempt = self.targets.start(now, &host, known);
        self.count_start(now, &request);
        *self.in_flight.entry(host.clone()).or_default() += 1;
        self.running.insert(ticket, Running { request, attempt, cancelled: false });
        out.push(DispatchOutput::Start { ticket, host, address });
        Some(ticket)
    }

    fn count_start(&mut self, now: Time, request: &QueuedRequest) {
        if request.attempts == 0 {
            let time_limit = request.offer.deadline.since(request.arrived);
            let waited = now.since(request.arrived);
            self.shedder.record_wait(now, request.offer.priority, waited, time_limit);
        }
        self.running_long += u32::from(request.length == RunLength::Long);
        if let Some(team) = &request.team {
            *self.running_by_team.entry(team.clone()).or_default() += 1;
        }
    }

    fn long_may_start(&self) -> bool {
        let capacity = self.targets.capacity();
        let reserved =
            short_reservation::reserved_slots(capacity, self.run_times.short_load_share());
        self.running_long < (capacity - reserved).max(1)
    }

    /// Returns the lanes of a priority in the order to try them. The lane whose next request has
    /// waited longer in proportion to its run time comes first, so that a short request does not
    /// wait as long as a long one runs, and a long one is not passed over for ever. Urgent requests
    /// may use the slots reserved for short ones.
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
        let short = Some(lane(RunLength::Short));
        if !long_may_start && priority != Priority::Urgent {
            return [short, None];
        }
        let long = Some(lane(RunLength::Long));
        match (ratio(RunLength::Short), ratio(RunLength::Long)) {
            (_, None) => [short, None],
            (Some(of_short), Some(of_long)) if of_long <= of_short => [short, long],
            _ => [long, short],
        }
    }
}
