//! Processes ended runs, and releases tasks whose run is known not to exist.

use borageswitch_types::names::ExecutorName;

use crate::{
    event::Now,
    executor::{EndKind, EndedRun},
    ledger::{record::Record, run_end::EndMeaning},
    reducer::Scheduler,
    task::TaskKey,
};

impl Scheduler {
    /// Releases a task whose run is certain not to exist on an executor, now or later.
    pub(super) fn release_run(
        &mut self,
        executor: &ExecutorName,
        task: &TaskKey,
        why: &'static str,
    ) {
        let Some(held) = self.executors.drop_run(executor, task) else { return };
        self.pending_starts.finish(task, held.run);
        let Some(known) = self.executors.get(executor) else { return };
        self.dirty_pools.insert(known.registration.pool.clone());
        self.log("run-released", task, || {
            format!("run={} executor={executor} why={why}", held.run)
        });
        let assigned = self.ledger.task(task).and_then(|state| state.assigned.as_ref());
        let is_lingering =
            self.ledger.lingering_runs.get(task).is_some_and(|left| left.run == held.run);
        if is_lingering || assigned.is_some_and(|a| a.run == held.run && a.executor == *executor) {
            self.record(Record::Released { task: task.clone(), run: held.run });
        }
    }

    /// Records the end of a run that an executor has reported.
    pub(super) fn handle_run_end(&mut self, now: Now, executor: &ExecutorName, ended: &EndedRun) {
        let Some(known) = self.executors.get(executor) else { return };
        self.pending_starts.finish(&ended.task, ended.run);
        let is_held = known.runs.get(&ended.task).is_some_and(|held| held.run == ended.run);
        let held = is_held.then(|| self.executors.drop_run(executor, &ended.task)).flatten();
        let Some(known) = self.executors.get_mut(executor) else { return };
        if known.runs.is_empty() {
            known.idle_since = now.time;
        }
        let pool = known.registration.pool.clone();
        // The number of its last end was forgotten with the executor. The end must be acknowledged
        // again, but counts no second time.
        let is_repeated = ended.how == EndKind::Failed
            && self.ledger.counted_ends.is_known(&ended.task, ended.run);
        match ended.how {
            EndKind::Done => known.circuit_breaker.record_success(),
            EndKind::Failed if is_repeated => {}
            EndKind::Failed => self.note_failure(now, executor, &ended.task),
            EndKind::GangIncomplete => self.note_gang_incomplete(now, &ended.task),
            EndKind::Stopped | EndKind::LeaseExpired | EndKind::GangBroken => {}
        }
        let job = self.ledger.jobs.get(&ended.task.job);
        let step = job.and_then(|job| job.step(ended.task.step));
        let meaning = step.map(|step| EndMeaning::of(step, ended.how));
        let is_completed = meaning == Some(EndMeaning::Completed);
        if let Some(held) = held.filter(|_| is_completed) {
            self.learn_duration(now, &ended.task, &held);
        }
        self.dirty_pools.insert(pool);
        self.maybe_ended.insert(ended.task.job.clone());
        if let Some(job_state) = self.job_states.get_mut(&ended.task.job) {
            job_state.begun = true;
        }
        let kind = if is_repeated { "run-end-repeated" } else { "run-ended" };
        self.log(kind, &ended.task, || {
            format!("run={} executor={executor} how={}", ended.run, ended.how)
        });
        // Daemons of earlier versions would count a repeated failure once more.
        let kind = if is_repeated { EndKind::Stopped } else { ended.how };
        self.record(Record::Ended {
            executor: executor.clone(),
            number: ended.number,
            task: ended.task.clone(),
            run: ended.run,
            kind,
            checkpoint: ended.checkpoint.clone(),
        });
        self.outbox.defer_acknowledge(executor.clone(), ended.number);
        if is_completed {
            self.stop_redundant_runs(now, &ended.task);
        }
    }

    /// Counts a failed run against the executor, unless the task has failed before or its job has
    /// failed on another executor: then the task itself is the likelier cause.
    fn note_failure(&mut self, now: Now, executor: &ExecutorName, task: &TaskKey) {
        let failed_before = self.ledger.task(task).is_some_and(|state| state.failures > 0);
        let job_suspected = self.job_states.get(&task.job).is_some_and(|job_state| {
            job_state.failed_on.as_ref().is_some_and(|other| other != executor)
        });
        if let Some(job_state) = self.job_states.get_mut(&task.job) {
            job_state.failed_on.get_or_insert_with(|| executor.clone());
        }
        if failed_before || job_suspected {
            return;
        }
        if let Some(known) = self.executors.get_mut(executor) {
            known.circuit_breaker.record_failure(now.time);
            if known.circuit_breaker.is_tripped() {
                self.log("executor-distrusted", executor, || format!("after a failure of {task}"));
            }
        }
    }
}
