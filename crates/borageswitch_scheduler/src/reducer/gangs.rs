//! Places the members of a gang together.
//!
//! Members that start without the others occupy capacity without working and give up after a few
//! seconds. A gang is therefore placed as a whole or not at all, and all its starts are sent at the
//! same moment.

use borageswitch_types::names::{ExecutorName, PoolName, RackName};

use crate::{
    event::Now,
    job::{Size, Step},
    policy::crash_attribution::SuspicionLevel,
    reducer::{
        Scheduler, free_capacity::FreeCapacity, places::reserved_size, waiting::WaitingStep,
    },
    task::TaskKey,
};

impl Scheduler {
    /// Places all members of a gang or none. Returns whether the gang found capacity.
    pub(super) fn place_gang(
        &mut self,
        now: Now,
        pool: &PoolName,
        waiting: &WaitingStep,
        step: &Step,
        available: &mut FreeCapacity,
    ) -> bool {
        // A member was not started or has ended, and the others would wait for it in vain.
        if self.stop_partial_gang(now, waiting) {
            return true;
        }
        let mut members = waiting.waiting.iter().map(|&index| waiting.key.task(index));
        if members.any(|member| self.awaits_calm(now, pool, &member)) {
            return false;
        }
        let without_suspects = self.capacity_without_suspects(waiting, available);
        let usable = without_suspects.as_ref().unwrap_or(available);
        let Some((places, mut left)) = self.places_for_gang(now, waiting, step, usable) else {
            self.gang_unplaced(now, pool, &waiting.key);
            return false;
        };
        self.gang_placed(pool, &waiting.key);
        left.extend(
            available.iter().filter(|(name, _)| !usable.contains_key(*name)).map(clone_entry),
        );
        *available = left;
        let run = self.next_gang_run(waiting);
        for (index, executor) in places {
            self.assign(now, &executor, &waiting.key.task(index), Some(run));
        }
        true
    }

    /// The capacity on hosts without other suspects, if a member of the gang must be isolated.
    fn capacity_without_suspects(
        &self,
        waiting: &WaitingStep,
        available: &FreeCapacity,
    ) -> Option<FreeCapacity> {
        let mut members = waiting.waiting.iter().map(|&index| waiting.key.task(index));
        let isolated =
            members.any(|member| self.suspicion_level(&member) == SuspicionLevel::Isolated);
        let without = |(name, _): &(&ExecutorName, &Size)| self.suspects.count_on(name) == 0;
        isolated.then(|| available.iter().filter(without).map(clone_entry).collect())
    }

    /// Handles a gang for whose member size no executor has capacity. Members that run without the
    /// others are stopped here as well, as they work only together.
    pub(super) fn gang_without_capacity(
        &mut self,
        now: Now,
        pool: &PoolName,
        waiting: &WaitingStep,
    ) {
        if !self.stop_partial_gang(now, waiting) {
            self.gang_unplaced(now, pool, &waiting.key);
        }
    }

    /// Stops the members of a gang that run without the others. Returns whether the gang is
    /// incomplete.
    pub(super) fn stop_partial_gang(&mut self, now: Now, waiting: &WaitingStep) -> bool {
        let job = self.ledger.jobs.get(&waiting.key.job);
        let step = job.and_then(|job| job.step(waiting.key.step));
        let Some(count) = step.map(|step| step.count) else { return true };
        let incomplete = waiting.waiting.len() < count as usize;
        if incomplete {
            self.stop_members(now, waiting, count);
        }
        incomplete
    }

    /// An executor for each member, and the capacity that then remains.
    ///
    /// Single racks are tried first, as a gang that communicates much is faster within one.
    fn places_for_gang(
        &self,
        now: Now,
        waiting: &WaitingStep,
        step: &Step,
        available: &FreeCapacity,
    ) -> Option<(Vec<(u32, ExecutorName)>, FreeCapacity)> {
        let mut racks: Vec<_> = available
            .keys()
            .filter_map(|executor| self.executors.get(executor)?.registration.rack().cloned())
            .collect();
        racks.sort();
        racks.dedup();
        let data_rack = step.data_rack.as_ref().map(RackName::as_str);
        racks.sort_by_key(|rack| data_rack != Some(&**rack));
        let in_rack = |rack: &std::sync::Arc<str>| {
            let inside = available.iter().filter(|(executor, _)| {
                let known = self.executors.get(executor);
                known.is_some_and(|known| known.registration.has_label(rack))
            });
            inside.map(clone_entry).collect::<FreeCapacity>()
        };
        let together = racks.iter().find_map(|rack| {
            let (places, left) = self.place_members(now, waiting, step, in_rack(rack))?;
            let mut all = available.clone();
            all.extend(left);
            Some((places, all))
        });
        together.or_else(|| self.place_members(now, waiting, step, available.clone()))
    }

    fn place_members(
        &self,
        now: Now,
        waiting: &WaitingStep,
        step: &Step,
        mut available: FreeCapacity,
    ) -> Option<(Vec<(u32, ExecutorName)>, FreeCapacity)> {
        let size = reserved_size(step);
        let mut places: Vec<(u32, ExecutorName)> = Vec::new();
        for &index in &waiting.waiting {
            let executor = self.choose_executor(now, waiting, step, &available, &places)?;
            let left = available.get_mut(&executor)?;
            *left = left.less(&size);
            places.push((index, executor));
        }
        Some((places, available))
    }

    fn choose_executor(
        &self,
        now: Now,
        waiting: &WaitingStep,
        step: &Step,
        available: &FreeCapacity,
        places: &[(u32, ExecutorName)],
    ) -> Option<ExecutorName> {
        let size = reserved_size(step);
        let fitting = available.iter().filter(|(executor, free)| {
            let planned = places.iter().filter(|(_, other)| other == *executor).count();
            free.holds(&size) && self.may_run_on(now, &waiting.key, step, executor, planned)
        });
        let best = fitting.min_by_key(|(_, free)| free.less(&size).cpu_milli);
        best.map(|(executor, _)| executor.clone())
    }

    /// All members get the same run number, higher than that of any earlier run of a member.
    fn next_gang_run(&self, waiting: &WaitingStep) -> u32 {
        let last = waiting.waiting.iter().filter_map(|&index| {
            self.ledger.task(&waiting.key.task(index)).map(|state| state.last_run)
        });
        last.max().unwrap_or(0) + 1
    }

    fn stop_members(&mut self, now: Now, waiting: &WaitingStep, count: u32) {
        for index in 0..count {
            let task: TaskKey = waiting.key.task(index);
            let assigned = self.ledger.task(&task).and_then(|state| state.assigned.clone());
            if let Some(assigned) = assigned {
                self.order_stop(now, &assigned.executor, &task);
            }
        }
    }
}

fn clone_entry((executor, free): (&ExecutorName, &Size)) -> (ExecutorName, Size) {
    (executor.clone(), *free)
}
