//! Runs end, or are known never to have begun.

use borageswitch_types::names::ExecutorName;

use crate::{
    event::Now,
    executor::{EndKind, EndedRun},
    ledger::record::Record,
    reducer::Scheduler,
    task::TaskKey,
};

impl Scheduler {
    /// Frees a task that certainly does not run on an executor and never will.
    pub(super) fn release(&mut self, executor: &ExecutorName, task: &TaskKey, why: &'static str) {
        let Some(held) = self.executors.drop_run(executor, task) else { return };
        self.pending_starts.finish(task, held.run);
        let Some(known) = self.executors.get(executor) else { return };
        self.dirty_pools.insert(known.registration.pool.clone());
        self.log("run-released", task, || {
            format!("run={} executor={executor} why={why}", held.run)
        });
        let assigned = self.ledger.task(task).and_then(|state| state.assigned.as_ref());
        let is_left = self.ledger.leftovers.get(task).is_some_and(|left| left.run == held.run);
        if is_left || assigned.is_some_and(|a| a.run == held.run && a.executor == *executor) {
            self.record(Record::Released { task: task.clone(), run: held.run });
        }
    }

    /// Takes in the end of a run, whoever told of it.
    pub(super) fn ended(&mut self, now: Now, executor: &ExecutorName, ended: &EndedRun) {
        let Some(known) = self.executors.get(executor) else { return };
        self.pending_starts.finish(&ended.task, ended.run);
        let is_held = known.runs.get(&ended.task).is_some_and(|held| held.run == ended.run);
        let held = is_held.then(|| self.executors.drop_run(executor, &ended.task)).flatten();
        let Some(known) = self.executors.get_mut(executor) else { return };
        if known.runs.is_empty() {
            known.idle_since = now.time;
        }
        let pool = known.registration.pool.clone();
        match ended.how {
            EndKind::Done => known.trust.succeeded(),
            EndKind::Failed => self.note_failure(now, executor, &ended.task),
            EndKind::Alone => self.note_alone(now, &ended.task),
            EndKind::Stopped | EndKind::Lapsed | EndKind::Broken => {}
        }
        if let Some(held) = held.filter(|_| ended.how == EndKind::Done) {
            self.learn(now, &ended.task, &held);
        }
        self.dirty_pools.insert(pool);
        self.maybe_ended.insert(ended.task.job.clone());
        if let Some(times) = self.times.get_mut(&ended.task.job) {
            times.begun = true;
        }
        self.log("run-ended", &ended.task, || {
            format!("run={} executor={executor} how={}", ended.run, ended.how)
        });
        self.record(Record::Ended {
            executor: executor.clone(),
            number: ended.number,
            task: ended.task.clone(),
            run: ended.run,
            how: ended.how,
            checkpoint: ended.checkpoint.clone(),
        });
        self.outbox.defer_acknowledge(executor.clone(), ended.number);
        self.stop_redundant_runs(now, &ended.task, ended.how);
    }

    /// A failure counts against an executor unless the task has failed on another one before: then
    /// the task itself is the likelier cause.
    fn note_failure(&mut self, now: Now, executor: &ExecutorName, task: &TaskKey) {
        let failed_before = self.ledger.task(task).is_some_and(|state| state.failures > 0);
        let job_doubted = self
            .times
            .get(&task.job)
            .is_some_and(|times| times.failed_on.as_ref().is_some_and(|other| other != executor));
        if let Some(times) = self.times.get_mut(&task.job) {
            times.failed_on.get_or_insert_with(|| executor.clone());
        }
        if failed_before || job_doubted {
            return;
        }
        if let Some(known) = self.executors.get_mut(executor) {
            known.trust.failed(now.time);
            if known.trust.is_doubted() {
                self.log("executor-distrusted", executor, || format!("after a failure of {task}"));
            }
        }
    }
}
