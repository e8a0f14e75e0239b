//! What the targets do with what they are sent.

use std::{collections::BTreeMap, time::Duration};

use borageswitch_types::{ErrorKind, Time, error::Ran, names::HostName};

use super::plan::{Fault, Plan};
use crate::dispatch::Outcome;

/// How long it takes until a failure is noticed.
const FAILS_AFTER: Duration = Duration::from_millis(1);

/// What becomes of a try.
#[derive(Clone, Copy, Debug)]
pub(super) struct Fate {
    pub(super) after: Duration,
    pub(super) outcome: Outcome,
    /// Whether the target began to run it.
    pub(super) runs: bool,
}

#[derive(Debug)]
pub(super) struct SimTargets<'a> {
    plan: &'a Plan,
    in_flight: BTreeMap<HostName, u32>,
    pub(super) most_in_flight: u32,
    pub(super) overcommitted: u64,
    pub(super) tries: u64,
}

impl<'a> SimTargets<'a> {
    pub(super) fn new(plan: &'a Plan) -> Self {
        Self { plan, in_flight: BTreeMap::new(), most_in_flight: 0, overcommitted: 0, tries: 0 }
    }

    pub(super) fn start(&mut self, now: Time, host: &HostName, runs: Duration) -> Fate {
        self.tries += 1;
        let in_flight = self.in_flight.entry(host.clone()).or_default();
        *in_flight += 1;
        self.most_in_flight = self.most_in_flight.max(*in_flight);
        if *in_flight > u32::from(self.plan.slots) {
            self.overcommitted += 1;
            return refused();
        }
        match self.fault(now, host) {
            None => answered(runs, 200),
            Some(Fault::Slow(times)) => answered(runs.mul_f64(times), 200),
            Some(Fault::FailsFast) => answered(FAILS_AFTER, 500),
            Some(Fault::Refuses) => refused(),
            Some(Fault::Breaks) => Fate {
                after: FAILS_AFTER,
                outcome: Outcome::Failed {
                    kind: ErrorKind::TargetLost,
                    ran: Ran::Unknown,
                    retryable: true,
                },
                runs: true,
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
        let is_met = |target: Option<usize>| target.is_none_or(|n| super::views::host(n) == *host);
        let faults = self.plan.faults.iter();
        faults
            .filter(|fault| is_met(fault.target) && (fault.from..fault.until).contains(&now))
            .map(|fault| fault.fault)
            .next()
    }
}

fn answered(after: Duration, status: u16) -> Fate {
    Fate { after, outcome: Outcome::Answered { status }, runs: true }
}

fn refused() -> Fate {
    let outcome = Outcome::Failed { kind: ErrorKind::TargetRefused, ran: Ran::No, retryable: true };
    Fate { after: FAILS_AFTER, outcome, runs: false }
}
