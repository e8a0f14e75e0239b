//! Log lines and dumps about the shares of callers.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use borageswitch_types::names::{CallerName, PoolName};

use crate::{
    event::Now,
    job::Size,
    policy::fair_shares::Claim,
    reducer::{
        Scheduler,
        explain::CallerDump,
        shares::{PoolShares, in_force::InForce},
    },
    task::StepKey,
};

/// The minimum interval between two log lines about the shares of one pool.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// The most callers that such a line names.
const MAX_LOGGED_CALLERS: usize = 3;

/// What a caller is due of a pool in which shares are in force.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct ShareDump {
    /// What it is due, in percent of the pool by its dominant resource, at most what it requests.
    pub due_percent: f64,
    /// What its tasks reserved at the last division.
    pub used: Size,
    /// Whether it has work beyond its share.
    pub beyond: bool,
}

/// What waits of one caller.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct CallerWait {
    /// The capacity that its waiting tasks need.
    size: Size,
    /// How long ago the oldest of their jobs was accepted.
    longest: Duration,
}

impl InForce {
    /// The claim of a caller at the last division.
    fn claim(&self, caller: &CallerName) -> Option<&Claim> {
        self.position(caller).map(|at| &self.competing[at].1)
    }

    /// What a caller is due, in percent of the pool.
    fn due_percent(&self, caller: &CallerName) -> f64 {
        let due =
            self.position(caller).map(|at| self.entitlements[at].granted(&self.competing[at].1));
        let percent = 100.0 * due.unwrap_or(0.0);
        (percent * 10.0).round() / 10.0
    }
}

impl Scheduler {
    /// Logs the shares of a pool at most once a second while they are in force, and their end.
    pub(super) fn log_shares(&mut self, now: Now, pool: &PoolName, shares: &mut PoolShares) {
        let recent = shares.logged.is_some_and(|at| now.time.since(at) < LOG_INTERVAL);
        let Some(in_force) = shares.in_force.as_ref() else {
            if std::mem::take(&mut shares.is_reported) {
                self.log("shares-lifted", pool, String::new);
            }
            return;
        };
        if recent {
            return;
        }
        shares.logged = Some(now.time);
        shares.is_reported = true;
        let version = self.config.as_ref().map_or(0, |config| config.version);
        let largest = in_force.beyond.iter().take(MAX_LOGGED_CALLERS).map(|caller| {
            let claim = in_force.claim(caller).copied().unwrap_or_default();
            let due = in_force.due_percent(caller);
            let (weight, used, waiting) = (claim.weight, claim.used, claim.waiting);
            format!("{caller}: weight={weight} due={due}% used=[{used}] waiting=[{waiting}]")
        });
        let largest: Vec<String> = largest.collect();
        let (callers, beyond) = (in_force.competing.len(), in_force.beyond.len());
        self.log("shares", pool, || {
            let largest = largest.join("; ");
            format!("callers={callers} beyond={beyond} version={version} largest=[{largest}]")
        });
    }

    /// Summarises the use of each caller that uses any capacity or has waiting tasks.
    pub(in crate::reducer) fn dump_callers(&self, now: Now) -> BTreeMap<CallerName, CallerDump> {
        let declared = self.config.as_ref().map(|config| &config.callers);
        let waits = self.caller_waits(now);
        let using = self.executors.usage().iter().map(|(name, _)| name);
        let names: BTreeSet<&CallerName> = using.chain(waits.keys()).collect();
        let dumps = names.into_iter().map(|name| {
            let caller = declared.and_then(|declared| declared.get(name));
            let used = self.executors.usage().of(name);
            let wait = waits.get(name).copied().unwrap_or_default();
            let (weight, quota) = caller.map(|c| (c.weight, c.quota)).unwrap_or_default();
            let dump = CallerDump {
                used: used.size,
                quota,
                weight,
                on_way: used.in_flight,
                waiting: wait.size,
                waits_for_ms: wait.longest.as_millis() as u64,
                shares: self.dump_shares(name),
            };
            (name.clone(), dump)
        });
        dumps.collect()
    }

    /// What waits of each caller in all pools.
    fn caller_waits(&self, now: Now) -> BTreeMap<CallerName, CallerWait> {
        let mut waits: BTreeMap<CallerName, CallerWait> = BTreeMap::new();
        let orders = self.waiting.pools().filter_map(|pool| self.waiting.order(pool));
        for step in orders.flat_map(BTreeMap::values) {
            let Some(charge) = &step.charge else { continue };
            let wait = waits.entry(charge.caller.clone()).or_default();
            wait.size += step.size.times(step.waiting.len() as u64);
            let accepted = self.job_states.get(&step.key.job).map(|state| state.accepted);
            let age = accepted.map_or(Duration::ZERO, |accepted| now.time.since(accepted));
            wait.longest = wait.longest.max(age);
        }
        waits
    }

    /// What a caller is due in each pool in which shares are in force.
    fn dump_shares(&self, caller: &CallerName) -> BTreeMap<PoolName, ShareDump> {
        let pools = self.shares.by_pool.iter();
        let in_force = pools.filter_map(|(pool, shares)| Some((pool, shares.in_force.as_ref()?)));
        let shares = in_force.filter_map(|(pool, shares)| {
            let claim = shares.claim(caller)?;
            let dump = ShareDump {
                due_percent: shares.due_percent(caller),
                used: claim.used,
                beyond: shares.beyond.contains(caller),
            };
            Some((pool.clone(), dump))
        });
        shares.collect()
    }

    /// Explains that tasks of a step wait because they are beyond their caller's share.
    pub(in crate::reducer) fn explain_share(&self, key: &StepKey) -> Option<String> {
        let pool = self.pool_of(&key.job)?;
        let caller = self.ledger.jobs.get(&key.job)?.submission.caller.as_ref()?;
        let shares = self.shares.by_pool.get(pool)?.in_force.as_ref()?;
        let steps = self.waiting.order(pool)?.values();
        let beyond = steps.filter(|step| step.key == *key && step.beyond);
        let tasks: usize = beyond.map(|step| step.waiting.len()).sum();
        let claim = shares.claim(caller)?;
        (tasks > 0).then(|| {
            format!(
                "step {}: {tasks} tasks are beyond the share of their caller {caller}: weight {}, \
                 due {} % of pool {pool}, uses {}",
                key.step,
                claim.weight,
                shares.due_percent(caller),
                claim.used
            )
        })
    }
}
