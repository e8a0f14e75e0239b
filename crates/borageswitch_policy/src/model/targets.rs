//! Simulates what the targets do with the requests that they are sent.

use std::{collections::BTreeMap, time::Duration};

use borageswitch_types::{ErrorKind, Time, error::Ran, names::HostName};

use super::plan::{Fault, Plan};
use crate::dispatch::Outcome;

/// The time until a failure is noticed.
const FAILURE_DELAY: Duration = Duration::from_millis(1);

/// The simulated result of an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct SimulatedAttempt {
    pub(super) after: Duration,
    pub(super) outcome: Outcome,
    /// Whether the target began to run it.
    pub(super) began: bool,
}

#[derive(Debug)]
pub(super) struct SimTargets<'a> {
    plan: &'a Plan,
    in_flight: BTreeMap<HostName, u32>,
    pub(super) max_in_flight: u32,
    pub(super) overcommitted: u64,
    pub(super) attempts: u64,
}

impl<'a> SimTargets<'a> {
    pub(super) fn new(plan: &'a Plan) -> Self {
        Self { plan, in_flight: BTreeMap::new(), max_in_flight: 0, overcommitted: 0, attempts: 0 }
    }

    pub(super) fn start(
        &mut self,
        now: Time,
        host: &HostName,
        run_time: Duration,
    ) -> SimulatedAttempt {
        self.attempts += 1;
        let in_flight = self.in_flight.entry(host.clone()).or_default();
        *in_flight += 1;
        self.max_in_flight = self.max_in_flight.max(*in_flight);
        if *in_flight > u32::from(self.plan.slots) {
            self.overcommitted += 1;
            return refused();
        }
        match self.fault(now, host) {
            None => answered(run_time, 200),
            Some(Fault::Slow(times)) => answered(run_time.mul_f64(times), 200),
            Some(Fault::FailsFast) => answered(FAILURE_DELAY, 500),
            Some(Fault::Refuses) => refused(),
            Some(Fault::Breaks) => SimulatedAttempt {
                after: FAILURE_DELAY,
                outcome: Outcome::Failed {
                    kind: ErrorKind::TargetLost,
                    ran: Ran::Unknown,
                    retryable: true,
                },
                began: true,
            },
        }
    }

    pub(super) fn end(&mut self, host: &HostName) {
        if let Some(in_flight) = self.in_flight.get_mut(host) {
            *in_flight -= 1;
        }
    }

    fn fault(&self, now: Time, host: &HostName) -> Option<Fault> {
        let now = now.since(Time::ZERO);
        let applies_to =
            |target: Option<usize>| target.is_none_or(|n| super::views::host(n) == *host);
        let faults = self.plan.faults.iter();
        faults
            .filter(|fault| applies_to(fault.target) && (fault.from..fault.until).contains(&now))
            .map(|fault| fault.fault)
            .next()
    }
}

fn answered(after: Duration, status: u16) -> SimulatedAttempt {
    SimulatedAttempt { after, outcome: Outcome::Answered { status }, began: true }
}

fn refused() -> SimulatedAttempt {
    let outcome = Outcome::Failed { kind: ErrorKind::TargetRefused, ran: Ran::No, retryable: true };
    SimulatedAttempt { after: FAILURE_DELAY, outcome, began: false }
}
