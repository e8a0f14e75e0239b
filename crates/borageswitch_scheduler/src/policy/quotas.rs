//! How many of a caller's tasks may start.
//!
//! The load: one caller hands in far more than its share while others hand in what they always do.
//! Served as it comes, it fills all hosts for as long as its tasks take, and the others' jobs are
//! late. So the operator bounds what a caller's tasks use at once on all hosts together.
//!
//! Tasks start while they fit. The last one may go over the quota by a part of its own size: held
//! to what fits whole, a caller whose tasks are large would use half of its quota for ever, and one
//! whose task is larger than its quota would never be served. It leaves only once no other order is
//! on its way, as orders overtake each other: a small one that arrives after it would find the
//! caller over its quota already.

use std::collections::BTreeMap;

use borageswitch_types::names::CallerName;

use crate::job::{JobSpec, Size};

/// What a run uses of a caller's quota.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Charge {
    /// The caller.
    pub caller: CallerName,
    /// What its task asks for, whether or not room is reserved for all of it.
    pub size: Size,
}

/// How many tasks of one size may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Startable {
    /// So many fit whole.
    pub whole: u64,
    /// So many if the last may go over the quota.
    pub with_last: u64,
}

impl Startable {
    /// How many of so many tasks may start, of which each does its work alone.
    pub fn of_single(&self, tasks: usize, others_on_way: bool) -> usize {
        let most = if self.whole == 0 && !others_on_way { self.with_last } else { self.whole };
        tasks.min(most as usize)
    }

    /// Whether so many tasks may start that work only together.
    pub fn lets_gang(&self, tasks: usize, others_on_way: bool) -> bool {
        let most = if others_on_way { self.whole } else { self.with_last };
        tasks as u64 <= most
    }
}

/// How many tasks of one size may start for a caller that uses so much; nothing sets no limit.
///
/// What a task does not need at all cannot be in its way.
pub fn startable(quota: &Size, used: &Size, size: &Size) -> Option<Startable> {
    let kinds = [
        (quota.cpu_milli, used.cpu_milli, size.cpu_milli),
        (quota.memory_mb, used.memory_mb, size.memory_mb),
        (quota.accelerators, used.accelerators, size.accelerators),
    ];
    let limits = kinds.into_iter().filter(|(quota, _, size)| *quota > 0 && *size > 0);
    let each = limits.map(|(quota, used, size)| {
        let left = quota.saturating_sub(used);
        Startable { whole: left / size, with_last: left.div_ceil(size) }
    });
    each.reduce(|a, b| Startable {
        whole: a.whole.min(b.whole),
        with_last: a.with_last.min(b.with_last),
    })
}

/// A job that its caller's quota never lets run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(
    "steps.{step}.count: {count} tasks that run only together, the quota lets {most} run at once"
)]
pub struct QuotaError {
    /// The step.
    pub step: usize,
    /// How many tasks it has.
    pub count: u32,
    /// How many may run.
    pub most: u64,
}

impl std::error::Error for QuotaError {}

/// Checks that a job can run at all.
///
/// # Errors
///
/// Names the first step whose tasks work only together and may never run together.
pub fn check(quota: &Size, spec: &JobSpec) -> Result<(), QuotaError> {
    for (step, wanted) in spec.steps.iter().enumerate().filter(|(_, step)| step.gang) {
        let Some(most) = startable(quota, &Size::default(), &wanted.size) else { continue };
        if !most.lets_gang(wanted.count as usize, false) {
            return Err(QuotaError { step, count: wanted.count, most: most.with_last });
        }
    }
    Ok(())
}

/// What one caller uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Used {
    /// What its runs ask for together.
    pub size: Size,
    /// How many of them no executor has confirmed yet: their orders may still be on their way.
    pub on_way: u32,
}

/// What callers use on all hosts.
///
/// A run counts from the decision to start it until it is proved that it neither runs nor will:
/// orders on their way, unanswered ones and runs that are being stopped are part of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    by_caller: BTreeMap<CallerName, Used>,
}

impl Usage {
    /// What a caller uses.
    pub fn of(&self, caller: &CallerName) -> Used {
        self.by_caller.get(caller).copied().unwrap_or_default()
    }

    /// A run counts from now on.
    pub fn add(&mut self, charge: &Charge, confirmed: bool) {
        if !self.by_caller.contains_key(&charge.caller) {
            self.by_caller.insert(charge.caller.clone(), Used::default());
        }
        let Some(used) = self.by_caller.get_mut(&charge.caller) else { return };
        used.size += charge.size;
        used.on_way += u32::from(!confirmed);
    }

    /// An executor has confirmed a run.
    pub fn confirm(&mut self, caller: &CallerName) {
        if let Some(used) = self.by_caller.get_mut(caller) {
            used.on_way = used.on_way.saturating_sub(1);
        }
    }

    /// A run counts no more.
    pub fn subtract(&mut self, charge: &Charge, confirmed: bool) {
        let Some(used) = self.by_caller.get_mut(&charge.caller) else { return };
        used.size = used.size.less(&charge.size);
        used.on_way = used.on_way.saturating_sub(u32::from(!confirmed));
        if *used == Used::default() {
            self.by_caller.remove(&charge.caller);
        }
    }

    /// What each caller uses that uses anything.
    pub fn iter(&self) -> impl Iterator<Item = (&CallerName, &Used)> {
        self.by_caller.iter()
    }
}

#[cfg(test)]
mod tests;
