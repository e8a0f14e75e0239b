//! Runs that fall far behind are given up; the decision is in [`crate::policy::stragglers`].

use std::time::Duration;

use borageswitch_types::names::ExecutorName;

use crate::{
    event::Now,
    policy::stragglers,
    reducer::{
        Scheduler,
        executors::{Executor, Held, Phase},
    },
    task::TaskKey,
};

/// A report older than this says too little of a run's progress.
const FRESH_REPORT: Duration = Duration::from_millis(1_500);

impl Scheduler {
    /// Stops runs that a fresh run elsewhere would overtake.
    pub(super) fn give_up_stragglers(&mut self, now: Now) {
        let mut found: Vec<(ExecutorName, TaskKey)> = Vec::new();
        for (executor, known) in self.executors.iter() {
            let fresh = known.clock.is_some_and(|c| now.time.since(c.received) < FRESH_REPORT);
            if !fresh {
                continue;
            }
            let slow = known.runs.iter().filter(|(task, held)| self.straggles(known, task, held));
            found.extend(slow.map(|(task, _)| (executor.clone(), task.clone())));
        }
        for (executor, task) in found {
            let pool = self.pool_of(&task.job).cloned();
            if pool.is_some_and(|pool| self.has_place(now, &pool, &executor, &task)) {
                self.give_up(now, &executor, &task);
            }
        }
    }

    fn straggles(&self, known: &Executor, task: &TaskKey, held: &Held) -> bool {
        let Some(job) = self.ledger.jobs.get(&task.job) else { return false };
        let Some(step) = job.step(task.step) else { return false };
        if held.phase != Phase::Active || step.gang {
            return false;
        }
        // Progress is as old as the report that told of it.
        let told = known.clock.map_or(held.started, |clock| clock.received);
        let elapsed = told.since(held.started);
        if held.lasting {
            return held.percent < 100 && stragglers::gives_up_lasting(elapsed, held.percent);
        }
        let expected = self.learned.expect(&job.submission.queue.name, step.estimate);
        let kept = if step.checkpointing { f64::from(held.percent) / 200.0 } else { 0.0 };
        stragglers::gives_up(elapsed, held.percent, expected, kept)
    }

    fn give_up(&mut self, now: Now, executor: &ExecutorName, task: &TaskKey) {
        let Some(known) = self.executors.get_mut(executor) else { return };
        known.trust.failed(now.time);
        let Some(held) = known.runs.get(task) else { return };
        let (run, percent) = (held.run, held.percent);
        let elapsed = now.time.since(held.started).as_millis();
        self.log("run-given-up", task, || {
            format!("run={run} executor={executor} percent={percent} after_ms={elapsed}")
        });
        self.order_stop(now, executor, task);
    }
}
