//! Limits how many of a caller's tasks may start.
//!
//! One caller may submit far more than its share while others submit their usual load. Served as it
//! arrives, this load occupies all hosts for as long as its tasks take, and the other callers' jobs
//! are late. So the operator limits what a caller's tasks use at a time on all hosts together.
//!
//! Tasks start while they fit. The last one may exceed the quota by a part of its own size: if only
//! tasks that fit as a whole could start, a caller with large tasks would never use more than part
//! of its quota, and one whose task is larger than its quota would never be served. The last task
//! starts only while no other order is in flight, as orders may overtake each other: a small one
//! that arrives after it would find its caller over the quota already.

use std::collections::BTreeMap;

use borageswitch_types::names::CallerName;

use crate::job::{JobSpec, Size};

/// The usage of a run that counts against a caller's quota.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Charge {
    /// The caller.
    pub caller: CallerName,
    /// The size that its task requests, whether or not all of it is reserved.
    pub size: Size,
}

/// The number of tasks of one size that may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Startable {
    /// The number of tasks that fit as a whole.
    pub whole: u64,
    /// The number of tasks if the last may exceed the quota.
    pub with_overshoot: u64,
}

impl Startable {
    /// Returns how many of `tasks` independent tasks may start.
    pub fn independent(&self, tasks: usize, others_in_flight: bool) -> usize {
        let most =
            if self.whole == 0 && !others_in_flight { self.with_overshoot } else { self.whole };
        tasks.min(most as usize)
    }

    /// Returns whether a gang of `tasks` members may start.
    pub fn allows_gang(&self, tasks: usize, others_in_flight: bool) -> bool {
        let most = if others_in_flight { self.whole } else { self.with_overshoot };
        tasks as u64 <= most
    }
}

/// Returns how many tasks of `size` a caller may start that uses `used`, or `None` if its quota
/// sets no limit.
///
/// A resource that the tasks do not need does not limit them.
pub fn startable(quota: &Size, used: &Size, size: &Size) -> Option<Startable> {
    let resources = [
        (quota.cpu_milli, used.cpu_milli, size.cpu_milli),
        (quota.memory_mb, used.memory_mb, size.memory_mb),
        (quota.accelerators, used.accelerators, size.accelerators),
    ];
    let limits = resources.into_iter().filter(|(quota, _, size)| *quota > 0 && *size > 0);
    let each = limits.map(|(quota, used, size)| {
        let left = quota.saturating_sub(used);
        Startable { whole: left / size, with_overshoot: left.div_ceil(size) }
    });
    each.reduce(|a, b| Startable {
        whole: a.whole.min(b.whole),
        with_overshoot: a.with_overshoot.min(b.with_overshoot),
    })
}

/// A job that can never run under its caller's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(
    "steps.{step}.count: {count} tasks that run only together, the quota lets {most} run at once"
)]
pub struct QuotaError {
    /// The index of the step.
    pub step: usize,
    /// The number of its tasks.
    pub count: u32,
    /// The number of tasks that may run at once.
    pub most: u64,
}

impl std::error::Error for QuotaError {}

/// Checks that a job can run under a quota.
///
/// # Errors
///
/// Returns the first step whose gang can never run as a whole.
pub fn check(quota: &Size, spec: &JobSpec) -> Result<(), QuotaError> {
    for (step, wanted) in spec.steps.iter().enumerate().filter(|(_, step)| step.gang) {
        let Some(most) = startable(quota, &Size::default(), &wanted.size) else { continue };
        if !most.allows_gang(wanted.count as usize, false) {
            return Err(QuotaError { step, count: wanted.count, most: most.with_overshoot });
        }
    }
    Ok(())
}

/// The usage of one caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Used {
    /// The total size that its runs request.
    pub size: Size,
    /// The number of runs that no executor has confirmed yet: their orders may still be in flight.
    pub in_flight: u32,
}

/// The usage of all callers on all hosts.
///
/// A run counts from the decision to start it until it is proved that it neither runs nor ever
/// will. This includes orders in flight, orders without a response, and runs that are being
/// stopped.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    by_caller: BTreeMap<CallerName, Used>,
}

impl Usage {
    /// Returns the usage of a caller.
    pub fn of(&self, caller: &CallerName) -> Used {
        self.by_caller.get(caller).copied().unwrap_or_default()
    }

    /// Adds the usage of a run.
    pub fn add(&mut self, charge: &Charge, confirmed: bool) {
        if !self.by_caller.contains_key(&charge.caller) {
            self.by_caller.insert(charge.caller.clone(), Used::default());
        }
        let Some(used) = self.by_caller.get_mut(&charge.caller) else { return };
        used.size += charge.size;
        used.in_flight += u32::from(!confirmed);
    }

    /// Notes that an executor has confirmed a run of the caller.
    pub fn confirm(&mut self, caller: &CallerName) {
        if let Some(used) = self.by_caller.get_mut(caller) {
            used.in_flight = used.in_flight.saturating_sub(1);
        }
    }

    /// Subtracts the usage of a run.
    pub fn subtract(&mut self, charge: &Charge, confirmed: bool) {
        let Some(used) = self.by_caller.get_mut(&charge.caller) else { return };
        used.size = used.size.less(&charge.size);
        used.in_flight = used.in_flight.saturating_sub(u32::from(!confirmed));
        if *used == Used::default() {
            self.by_caller.remove(&charge.caller);
        }
    }

    /// Returns the callers that use anything, with their usage.
    pub fn iter(&self) -> impl Iterator<Item = (&CallerName, &Used)> {
        self.by_caller.iter()
    }
}

#[cfg(test)]
mod tests;
