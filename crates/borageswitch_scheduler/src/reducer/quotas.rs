//! Enforces the quotas of callers, as decided by [`crate::policy::quotas`].
//!
//! A caller's usage is counted with its runs in the executor table. Whatever ends a run, or proves
//! that it never started, therefore releases its part, and a new leader counts the runs that it
//! inherits.

use std::{collections::BTreeMap, time::Duration};

use borageswitch_types::names::{CallerName, PoolName};

use crate::{
    config::Config,
    event::Now,
    job::{Size, Step},
    ledger::job::Job,
    policy::quotas::{self, Charge},
    reducer::{Scheduler, waiting::WaitingStep},
};

/// The minimum interval between two log lines about one caller.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The hosts for which tasks of a caller wait: those of a pool, with a label or any.
type HostKind<'a> = (&'a CallerName, &'a PoolName, Option<&'a str>);

/// Allocates to waiting tasks what their callers may start.
///
/// Each kind of host for which a caller's tasks wait is allocated all that the caller may start, as
/// it is not known here where these tasks can run. A single allocation for all kinds could go to
/// tasks that find no host; no host would be fetched for the others, and they would wait forever.
#[derive(Debug)]
pub(super) struct QuotaAllocation<'a> {
    scheduler: &'a Scheduler,
    allocated: BTreeMap<HostKind<'a>, Size>,
}

impl<'a> QuotaAllocation<'a> {
    /// Allocates as many of `tasks` tasks of one size as the caller's quota permits.
    pub(super) fn take(
        &mut self,
        job: &'a Job,
        step: &'a Step,
        pool: &'a PoolName,
        tasks: u64,
    ) -> u64 {
        let Some(caller) = &job.submission.caller else { return tasks };
        let Some(quota) = self.scheduler.quota_of(caller) else { return tasks };
        let allocated = self.allocated.entry((caller, pool, step.label.as_deref())).or_default();
        let used = self.scheduler.executors.usage().of(caller).size + *allocated;
        let left = quotas::startable(&quota, &used, &step.size);
        let taken = left.map_or(tasks, |left| tasks.min(left.with_overshoot));
        *allocated += step.size.times(taken);
        taken
    }
}

impl Scheduler {
    /// Begins an allocation of what all callers may start now.
    pub(super) fn quota_allocation(&self) -> QuotaAllocation<'_> {
        QuotaAllocation { scheduler: self, allocated: BTreeMap::new() }
    }

    /// The quota of a caller in the current configuration; `None` if it has none.
    pub(super) fn quota_of(&self, caller: &CallerName) -> Option<Size> {
        let config = self.config.as_ref()?;
        Some(config.callers.get(caller)?.quota)
    }

    /// How many waiting tasks of a step the caller's quota permits to start now.
    pub(super) fn startable(&self, step: &WaitingStep) -> usize {
        let all = step.waiting.len();
        step.charge.as_ref().map_or(all, |charge| self.startable_of(charge, step.gang, all))
    }

    /// How many of `all` tasks of a caller its quota permits to start now. Members of a gang start
    /// together or not at all.
    pub(super) fn startable_of(&self, charge: &Charge, gang: bool, all: usize) -> usize {
        let Some(quota) = self.quota_of(&charge.caller) else { return all };
        let used = self.executors.usage().of(&charge.caller);
        let Some(left) = quotas::startable(&quota, &used.size, &charge.size) else { return all };
        let others_in_flight = used.in_flight > 0;
        match gang {
            false => left.independent(all, others_in_flight),
            true if left.allows_gang(all, others_in_flight) => all,
            true => 0,
        }
    }

    /// Logs the callers whose share or quota a configuration changes.
    pub(super) fn log_caller_changes(&mut self, fresh: &Config) {
        let known = self.config.clone();
        let before = |name| known.as_ref().and_then(|config| config.callers.get(name));
        for caller in fresh.callers.values().filter(|caller| before(&caller.name) != Some(caller)) {
            let (weight, quota, version) = (caller.weight, caller.quota, fresh.version);
            self.log("caller-declared", &caller.name, || {
                format!("weight={weight} quota=[{quota}] version={version}")
            });
        }
    }

    /// Logs that a caller's tasks wait for its quota, at most once a second.
    pub(super) fn log_at_quota(&mut self, now: Now, step: &WaitingStep) {
        let Some(charge) = &step.charge else { return };
        let logged = self.quota_logged.get(&charge.caller);
        if logged.is_some_and(|at| now.time.since(*at) < LOG_INTERVAL) {
            return;
        }
        let caller = charge.caller.clone();
        let used = self.executors.usage().of(&caller);
        let quota = self.quota_of(&caller).unwrap_or_default();
        let version = self.config.as_ref().map_or(0, |config| config.version);
        self.quota_logged.insert(caller.clone(), now.time);
        self.log("caller-at-quota", &caller, || {
            format!(
                "used=[{}] quota=[{quota}] unanswered={} version={version} first={}",
                used.size, used.in_flight, step.key
            )
        });
    }

    /// Whether a step has to wait until its caller uses less.
    pub(super) fn is_at_quota(&self, step: &WaitingStep) -> bool {
        self.startable(step) == 0
    }
}
