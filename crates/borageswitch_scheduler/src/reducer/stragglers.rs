//! Stops runs that fall far behind, as decided by [`crate::policy::stragglers`].

use std::{collections::BTreeMap, time::Duration};

use borageswitch_types::names::ExecutorName;

use crate::{
    event::Now,
    policy::stragglers::{self, ShortRun},
    reducer::{
        Scheduler,
        executors::{Executor, HeldRun, Phase},
    },
    task::TaskKey,
};

/// The number of stopped stragglers of each task.
#[derive(Debug, Default)]
pub struct Stragglers {
    given_up: BTreeMap<TaskKey, u32>,
}

impl Stragglers {
    fn given_up(&self, task: &TaskKey) -> u32 {
        self.given_up.get(task).copied().unwrap_or(0)
    }
}

/// A report older than this is too old to judge a run's progress.
const FRESH_REPORT: Duration = Duration::from_millis(1_500);

impl Scheduler {
    /// Stops runs that a new run elsewhere would overtake.
    pub(super) fn stop_stragglers(&mut self, now: Now) {
        let mut found: Vec<(ExecutorName, TaskKey)> = Vec::new();
        for (executor, known) in self.executors.iter() {
            let fresh = known.clock.is_some_and(|c| now.time.since(c.received) < FRESH_REPORT);
            if !fresh {
                continue;
            }
            let slow =
                known.runs.iter().filter(|(task, held)| self.is_straggler(known, task, held));
            found.extend(slow.map(|(task, _)| (executor.clone(), task.clone())));
        }
        for (executor, task) in found {
            let pool = self.pool_of(&task.job).cloned();
            if pool.is_some_and(|pool| self.has_place(now, &pool, &executor, &task)) {
                self.stop_straggler(now, &executor, &task);
            }
        }
    }

    fn is_straggler(&self, known: &Executor, task: &TaskKey, held: &HeldRun) -> bool {
        let Some(job) = self.ledger.jobs.get(&task.job) else { return false };
        let Some(step) = job.step(task.step) else { return false };
        if held.phase != Phase::Active || step.gang {
            return false;
        }
        // Progress is as old as the report that contained it.
        let reported_at = known.clock.map_or(held.started, |clock| clock.received);
        let elapsed = reported_at.since(held.started);
        let given_up = self.restarts(task, held);
        if held.lasting {
            return held.percent < 100
                && stragglers::should_restart_lasting(elapsed, held.percent, given_up);
        }
        let expected = self.runtime_estimates.estimate(&job.submission.queue.name, step.estimate);
        let kept = if step.checkpointing { f64::from(held.percent) / 200.0 } else { 0.0 };
        let percent = held.percent;
        stragglers::should_restart(&ShortRun {
            elapsed,
            percent,
            expected,
            saved: kept,
            restarts: given_up,
        })
    }

    /// The number of stopped stragglers of a task. Those that earlier leaders stopped are not stored.
    fn restarts(&self, task: &TaskKey, held: &HeldRun) -> u32 {
        let is_inherited = held.start_sent.is_none();
        let earlier = if is_inherited { stragglers::assumed_restarts(held.run) } else { 0 };
        self.stragglers.given_up(task).max(earlier)
    }

    fn stop_straggler(&mut self, now: Now, executor: &ExecutorName, task: &TaskKey) {
        let Some(known) = self.executors.get_mut(executor) else { return };
        known.circuit_breaker.record_failure(now.time);
        let Some(held) = self.executors.get(executor).and_then(|known| known.runs.get(task)) else {
            return;
        };
        let (run, percent) = (held.run, held.percent);
        let restarts = self.restarts(task, held) + 1;
        let elapsed = now.time.since(held.started).as_millis();
        self.log("run-given-up", task, || {
            format!("run={run} executor={executor} percent={percent} after_ms={elapsed}")
        });
        self.stragglers.given_up.insert(task.clone(), restarts);
        self.order_stop(now, executor, task);
    }

    /// Drops the counts of jobs that have ended.
    pub(super) fn forget_stragglers(&mut self) {
        let jobs = &self.ledger.jobs;
        self.stragglers.given_up.retain(|task, _| jobs.contains_key(&task.job));
    }
}
