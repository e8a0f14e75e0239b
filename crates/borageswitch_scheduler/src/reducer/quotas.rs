//! Callers are held to their quotas; how, [`crate::policy::quotas`] says.
//!
//! What a caller uses is counted with its runs in the table of executors, so whatever ends a run or
//! proves that it never began gives its part back, and a new leader counts what it inherits.

use borageswitch_types::names::CallerName;

use crate::{
    config::Config,
    job::Size,
    policy::quotas::{self, Charge, Usage},
    reducer::{Scheduler, waiting::WaitingStep},
};

/// What callers may start, while it is dealt out to the tasks that wait.
#[derive(Debug)]
pub(super) struct Dealing<'a> {
    config: Option<&'a Config>,
    usage: Usage,
}

impl Dealing<'_> {
    /// Takes as much as a caller's tasks may, of so many.
    pub(super) fn take(&mut self, charge: Option<&Charge>, tasks: u64) -> u64 {
        let quota = |charge: &Charge| Some(self.config?.callers.get(&charge.caller)?.quota);
        let Some((charge, quota)) = charge.and_then(|c| Some((c, quota(c)?))) else { return tasks };
        let used = self.usage.of(&charge.caller).size;
        let left = quotas::startable(&quota, &used, &charge.size);
        let taken = left.map_or(tasks, |left| tasks.min(left.with_last));
        let all = Charge { caller: charge.caller.clone(), size: charge.size.times(taken) };
        self.usage.add(&all, true);
        taken
    }
}

impl Scheduler {
    /// What all callers may start as things stand.
    pub(super) fn dealing(&self) -> Dealing<'_> {
        Dealing { config: self.config.as_deref(), usage: self.executors.usage().clone() }
    }

    /// The quota of a caller by the configuration in force; nothing where it has none.
    pub(super) fn quota_of(&self, caller: &CallerName) -> Option<Size> {
        let config = self.config.as_ref()?;
        Some(config.callers.get(caller)?.quota)
    }

    /// How many waiting tasks of a step its caller's quota lets start now.
    ///
    /// Members of a gang start together or not at all.
    pub(super) fn startable(&self, step: &WaitingStep) -> usize {
        let all = step.waiting.len();
        let Some(charge) = &step.charge else { return all };
        let Some(quota) = self.quota_of(&charge.caller) else { return all };
        let used = self.executors.usage().of(&charge.caller);
        let Some(left) = quotas::startable(&quota, &used.size, &charge.size) else { return all };
        let others_on_way = used.on_way > 0;
        match step.gang {
            false => left.of_single(all, others_on_way),
            true if left.lets_gang(all, others_on_way) => all,
            true => 0,
        }
    }

    /// Whether a step has to wait until its caller uses less.
    pub(super) fn is_at_quota(&self, step: &WaitingStep) -> bool {
        self.startable(step) == 0
    }
}
