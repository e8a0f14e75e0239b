//! Drains hosts before an order ends what runs there.
//!
//! Nothing new is placed on a draining host, its short runs end by themselves, and its lasting runs
//! move as far as their steps permit: each limits how many of its tasks may be unavailable at once
//! through planned work.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use borageswitch_types::{
    Time,
    names::{ExecutorName, PoolName},
};

use crate::{
    event::Now,
    reducer::{Scheduler, executors::Executor, places::reserved_size},
    task::{StepKey, TaskKey},
};

/// An executor without contact for this long may have ended. What it runs does not count as
/// available when another task of the same step is to be interrupted. Polls are answered within a
/// second.
const MAX_REPORT_AGE: Duration = Duration::from_millis(2_500);

impl Scheduler {
    pub(super) fn is_drained(&self, executor: &ExecutorName) -> bool {
        self.executors.get(executor).is_none_or(|known| {
            known.runs.is_empty() && known.acknowledged_end >= known.processed_end
        })
    }

    /// Closes an executor to new work and moves its lasting runs away as their steps permit.
    ///
    /// A run that has no other place stays until all others have ended, and is then unavailable
    /// only for the duration of the order. If it were stopped first, its users would also wait for
    /// the slowest of the other runs.
    pub(super) fn drain_executor(&mut self, now: Now, executor: &ExecutorName) {
        let Some(known) = self.executors.get_mut(executor) else { return };
        known.host_draining = true;
        let pool = known.registration.pool.clone();
        let lasting: Vec<TaskKey> =
            known.runs.iter().filter(|(_, h)| h.lasting).map(|(task, _)| task.clone()).collect();
        if lasting.is_empty() {
            return;
        }
        let only_lasting = lasting.len() == known.runs.len();
        let mut moved = false;
        for task in &lasting {
            if self.may_interrupt(task) && self.has_place(now, &pool, executor, task) {
                self.order_stop(now, executor, task);
                moved = true;
            }
        }
        if moved || !only_lasting || !self.may_interrupt_all(&lasting) {
            return;
        }
        for task in lasting {
            self.order_stop(now, executor, &task);
        }
    }

    /// Whether the lasting tasks of one host may be unavailable together.
    ///
    /// A task with no other place must not be stopped if others on the same host may not follow: it
    /// would wait forever, as the host takes nothing new and is never drained.
    fn may_interrupt_all(&self, tasks: &[TaskKey]) -> bool {
        tasks.iter().all(|task| {
            let together = tasks.iter().filter(|t| t.step_key() == task.step_key()).count();
            self.may_interrupt_with(task, together - 1)
        })
    }

    /// The lasting tasks of a pool that cannot leave their draining hosts together.
    pub(super) fn undrainable_tasks(&self, pool: &PoolName) -> Vec<TaskKey> {
        let mut stuck = Vec::new();
        for host in self.fleet.withdrawals.keys() {
            let entry = self.fleet.hosts.get(host).filter(|entry| entry.pool == *pool);
            let executor = entry.and_then(|entry| entry.executor.as_ref());
            let Some(known) = executor.and_then(|executor| self.executors.get(executor)) else {
                continue;
            };
            let lasting = known.runs.iter().filter(|(_, held)| held.lasting);
            let tasks: Vec<TaskKey> = lasting.map(|(task, _)| task.clone()).collect();
            if !self.may_interrupt_all(&tasks) {
                stuck.extend(tasks);
            }
        }
        stuck
    }

    /// Whether another executor of the pool has a place for a task now.
    pub(super) fn has_place(
        &self,
        now: Now,
        pool: &PoolName,
        executor: &ExecutorName,
        task: &TaskKey,
    ) -> bool {
        let step = self.ledger.jobs.get(&task.job).and_then(|job| job.step(task.step));
        let Some(step) = step else { return true };
        let (key, size) = (task.step_key(), reserved_size(step));
        let mut available = self
            .free_capacity
            .of(pool)
            .filter(|(name, free)| *name != executor && free.holds(&size));
        available.any(|(name, _)| {
            let open = self.executors.get(name).is_some_and(|known| known.accepts_runs(now.time));
            open && self.may_run_on(now, &key, step, name, 0)
        })
    }

    /// Updates which tasks of each lasting step are unavailable.
    ///
    /// A wave drains hundreds of hosts at once. Counting the unavailable siblings for each task on
    /// each of them would take most of a core, and hardly anything would be started.
    pub(super) fn update_unavailable(&mut self, now: Now) {
        let taken = self.executors_with_pending_orders(now.time);
        let mut unavailable = BTreeMap::new();
        for (name, job) in self.ledger.jobs.iter().filter(|(_, j)| j.submission.spec.is_lasting()) {
            for &occurrence in job.progress.open.keys() {
                for (number, step) in job.submission.spec.steps.iter().enumerate() {
                    let key = StepKey { job: name.clone(), occurrence, step: number as u16 };
                    let absent =
                        |index: &u32| !self.is_at_work(now.time, &key.task(*index), &taken);
                    let absent: BTreeSet<u32> = (0..step.count).filter(absent).collect();
                    unavailable.insert(key, absent);
                }
            }
        }
        self.unavailable = unavailable;
    }

    /// Whether the limit of its step permits a lasting task to be unavailable for a moment.
    fn may_interrupt(&self, task: &TaskKey) -> bool {
        self.may_interrupt_with(task, 0)
    }

    /// Whether a lasting task may be unavailable together with `others` other tasks of its step
    /// that are at work.
    fn may_interrupt_with(&self, task: &TaskKey, others: usize) -> bool {
        let Some(job) = self.ledger.jobs.get(&task.job) else { return true };
        let Some(step) = job.step(task.step) else { return true };
        let Some(most) = step.max_unavailable else { return true };
        let Some(unavailable) = self.unavailable.get(&task.step_key()) else { return false };
        unavailable.iter().filter(|&&index| index != task.index).count() + others < most as usize
    }

    /// Executors whose hosts an earlier leader's order may be about to take away. This leader never
    /// got the response to that order, and their last reports may predate it. If a task there
    /// counted as available, it and the one interrupted beside it could both be unavailable.
    fn executors_with_pending_orders(&self, now: Time) -> BTreeSet<&ExecutorName> {
        let paused =
            self.inherited_host_orders.keys().filter(|host| self.is_order_paused(now, host));
        paused.filter_map(|host| self.fleet.hosts.get(host)?.executor.as_ref()).collect()
    }

    /// Whether a task is known to be at work from a recent report of its executor.
    ///
    /// An executor lists a run that it is stopping as active. The orders of earlier leaders are not
    /// known, so a run that one of them may have stopped counts as at work only once it has outlasted
    /// such an order.
    fn is_at_work(&self, now: Time, task: &TaskKey, taken: &BTreeSet<&ExecutorName>) -> bool {
        let assigned = self.ledger.task(task).and_then(|state| state.assigned.as_ref());
        let executor = assigned.and_then(|assigned| self.executors.get(&assigned.executor));
        let responsive = |known: &&Executor| {
            let recent =
                known.clock.is_some_and(|clock| now.since(clock.received) < MAX_REPORT_AGE);
            recent && known.polling.failures == 0
        };
        let at_work = |known: &Executor| {
            let held = known.runs.get(task).filter(|held| held.is_at_work());
            held.is_some_and(|held| !known.may_be_stopping(held))
        };
        executor.filter(responsive).is_some_and(at_work)
            && assigned.is_some_and(|assigned| !taken.contains(&assigned.executor))
    }
}
