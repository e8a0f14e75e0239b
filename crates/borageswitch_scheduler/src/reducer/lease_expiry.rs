//! Release of runs on executors that cannot be reached or have ended.
//!
//! An executor that is cut off keeps working until its lease expires. Its tasks are started
//! elsewhere only after the latest time at which the lease can expire: earlier, the work would be
//! done twice, and a caller paid or charged twice.

use borageswitch_types::names::{ExecutorName, HostName};

use crate::{
    event::Now,
    fleet::HostState,
    incarnation,
    ledger::record::Record,
    reducer::{
        Scheduler,
        crashes::{Circumstances, EndDetection, EndedExecutor, HostOutcome, lost_runs},
        executors::{HeldRun, Phase},
    },
    task::TaskKey,
};

impl Scheduler {
    /// Releases the runs of executors whose lease has certainly expired.
    pub(super) fn release_expired_leases(&mut self, now: Now) {
        let expired: Vec<ExecutorName> = self
            .executors
            .iter()
            .filter(|(_, known)| !known.runs.is_empty())
            .filter(|(_, known)| known.lease_expiry().is_some_and(|expiry| expiry < now.time))
            .map(|(executor, _)| executor.clone())
            .collect();
        for executor in expired {
            self.release_expired_runs(now, &executor);
        }
    }

    fn release_expired_runs(&mut self, now: Now, executor: &ExecutorName) {
        let circumstances = self.circumstances(now, executor);
        let Some(known) = self.executors.get_mut(executor) else { return };
        let tasks: Vec<TaskKey> = known
            .runs
            .iter()
            .filter(|(_, held)| held.phase != Phase::Recorded)
            .map(|(task, _)| task.clone())
            .collect();
        if tasks.is_empty() {
            return;
        }
        // It must be polled for its runs before it is used again.
        known.fenced = false;
        let lost = lost_runs(known, &circumstances, now.time);
        known.expired_runs.extend(lost);
        self.log("lease-ended", executor, || format!("runs={}", tasks.len()));
        for task in tasks {
            self.release_run(executor, &task, "lease ended");
        }
    }

    /// Handles the end of an incarnation, once it is certain that none of its runs still exist.
    ///
    /// If the executor may start again under its name, its next incarnation may carry out start
    /// orders that are still in flight. Runs of such orders are kept until the next incarnation is
    /// known or their lease has expired; started elsewhere earlier, they could run twice.
    pub(super) fn end_incarnation(
        &mut self,
        now: Now,
        executor: &ExecutorName,
        detection: EndDetection,
    ) {
        let (why, absent_at) = (detection.why(), detection.absent_at());
        if self.executors.is_unconfirmed(executor) {
            return self.drop_unconfirmed(executor, why);
        }
        self.note_executor_end(now, executor, detection);
        let Some(known) = self.executors.get(executor) else { return };
        let may_return = incarnation::started_at(executor).is_some();
        let finished =
            known.runs.iter().filter(|(_, h)| !may_return || !h.may_start_later(absent_at));
        let finished: Vec<TaskKey> = finished.map(|(task, _)| task.clone()).collect();
        for task in finished {
            self.release_run(executor, &task, why);
        }
        if let Some(next) = self.executors.unconfirmed_incarnation(executor).cloned() {
            // It was registered later, and so may carry out the start orders that are left.
            return self.confirm_incarnation(now, &next);
        }
        if self.executors.get(executor).is_some_and(|known| known.runs.is_empty()) {
            self.executors.remove(executor);
            self.fleet.note_forgotten(now.time, executor);
            self.forget_processed_ends(executor);
        }
    }

    /// Records once how an incarnation has ended, and what it was running.
    fn note_executor_end(&mut self, now: Now, executor: &ExecutorName, detection: EndDetection) {
        let circumstances = self.circumstances(now, executor);
        let known = self.executors.get_mut(executor).filter(|known| !known.ended);
        let Some(known) = known else { return };
        known.is_registered = false;
        known.ended = true;
        let ended = EndedExecutor::new(known, detection, circumstances, now.time);
        self.log("executor-ended", executor, || ended.to_string());
        self.ended_executors.push(ended);
    }

    /// What is known about the end of an executor besides its own state.
    fn circumstances(&self, now: Now, executor: &ExecutorName) -> Circumstances {
        let host_outcome = self.fleet.host_outcome(executor);
        let of_earlier_leader = |host: &HostName| self.may_be_ordered(now.time, host);
        let earlier_order_possible = match &host_outcome {
            HostOutcome::Listed(host, HostState::Up) => of_earlier_leader(host),
            HostOutcome::Unknown => self.inherited_host_orders.keys().any(of_earlier_leader),
            HostOutcome::Listed(..) | HostOutcome::Ordered(_) | HostOutcome::Removed(_) => false,
        };
        Circumstances {
            listed_up: self.fleet.last_listed(executor),
            host_outcome,
            earlier_order_possible,
            took_over_at: self.took_over_at,
        }
    }

    /// Handles the restart of an executor under its name: moves runs that the later incarnation may
    /// have started to that one, and releases all others.
    pub(super) fn carry_over(&mut self, now: Now, before: &ExecutorName, next: &ExecutorName) {
        self.note_executor_end(now, before, EndDetection::Restarted);
        let Some(known) = self.executors.get(before) else { return };
        let inherited_until = known.inherited_until;
        let runs = known.runs.iter().filter(|(_, held)| held.may_start_later(None));
        let runs: Vec<(TaskKey, HeldRun)> =
            runs.map(|(task, held)| (task.clone(), held.carried_over(now.time))).collect();
        if let Some(later) = self.executors.get_mut(next).filter(|_| !runs.is_empty()) {
            let lease = now.time + self.limits.inherited_lease;
            later.inherited_until = later.inherited_until.max(inherited_until).max(Some(lease));
        }
        for (task, held) in runs {
            self.carry_run(now, before, next, &task, held);
        }
        self.end_incarnation(now, before, EndDetection::Restarted);
    }

    fn carry_run(
        &mut self,
        now: Now,
        before: &ExecutorName,
        next: &ExecutorName,
        task: &TaskKey,
        held: HeldRun,
    ) {
        let run = held.run;
        let is_stopping = held.phase == Phase::Stopping;
        self.executors.drop_run(before, task);
        self.executors.insert_run(next, task, held);
        let assigned = self.ledger.task(task).and_then(|state| state.assigned.as_ref());
        if assigned.is_some_and(|assigned| assigned.run == run && assigned.executor == *before) {
            let executor = next.clone();
            self.record(Record::Assigned { task: task.clone(), run, executor });
        }
        if is_stopping {
            self.send_stop(now, next, task);
        }
    }

    /// Drops executors that are no longer registered and have no runs or ends to acknowledge.
    pub(super) fn forget_executors(&mut self, now: Now) {
        let gone: Vec<(ExecutorName, bool)> = self
            .executors
            .iter()
            .filter(|(_, known)| !known.is_registered && known.runs.is_empty())
            .filter(|(_, known)| known.ended || known.acknowledged_end >= known.processed_end)
            // It is ended once the incarnation that was registered over it has answered.
            .filter(|(executor, _)| self.executors.unconfirmed_incarnation(executor).is_none())
            .map(|(executor, known)| {
                (executor.clone(), !known.ended && !known.expired_runs.is_empty())
            })
            .collect();
        for (executor, expired) in gone {
            if expired {
                self.end_incarnation(now, &executor, EndDetection::Expired);
                continue;
            }
            self.executors.remove(&executor);
            self.fleet.note_forgotten(now.time, &executor);
            self.forget_processed_ends(&executor);
        }
    }

    fn forget_processed_ends(&mut self, executor: &ExecutorName) {
        if self.ledger.last_ends.contains_key(executor) {
            self.record(Record::ExecutorGone { executor: executor.clone() });
        }
    }
}
