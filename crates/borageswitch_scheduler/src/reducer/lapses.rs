//! Runs on executors that cannot be reached.
//!
//! An executor that is cut off goes on working until its lease ends. A task that it has is started
//! elsewhere only after the latest moment at which that can be: earlier, the work would be done
//! twice, and a caller paid or charged twice.

use borageswitch_types::names::ExecutorName;

use crate::{
    event::Now,
    ledger::record::Record,
    life,
    reducer::{
        Scheduler,
        crashes::{EndedExecutor, Ending, lost_runs},
        executors::{Held, Phase},
    },
    task::TaskKey,
};

impl Scheduler {
    /// Frees the tasks of executors whose lease has ended for certain.
    pub(super) fn release_lapsed(&mut self, now: Now) {
        let lapsed: Vec<ExecutorName> = self
            .executors
            .iter()
            .filter(|(_, known)| !known.runs.is_empty())
            .filter(|(_, known)| known.lapse().is_some_and(|lapse| lapse < now.time))
            .map(|(executor, _)| executor.clone())
            .collect();
        for executor in lapsed {
            self.release_sent(now, &executor);
        }
    }

    fn release_sent(&mut self, now: Now, executor: &ExecutorName) {
        let seen_up = self.fleet.last_listed(executor);
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
        // What it runs must be looked up before it is used again.
        known.fenced = false;
        let lost = lost_runs(known, seen_up, now.time);
        known.lapsed.extend(lost);
        self.log("lease-ended", executor, || format!("runs={}", tasks.len()));
        for task in tasks {
            self.release(executor, &task, "lease ended");
        }
    }

    /// An executor's life is over for certain: nothing of it runs any more.
    ///
    /// Where it may start again under its name, an order that is still on its way may be carried
    /// out by its next life. Such runs are kept until that one is known or their lease has ended;
    /// started elsewhere before, they would run twice.
    pub(super) fn life_over(&mut self, now: Now, executor: &ExecutorName, ending: Ending) {
        let (why, away) = (ending.why(), ending.away());
        self.note_end(now, executor, ending);
        let Some(known) = self.executors.get(executor) else { return };
        let may_return = life::born(executor).is_some();
        let over = known.runs.iter().filter(|(_, h)| !may_return || !h.may_come_later(away));
        let over: Vec<TaskKey> = over.map(|(task, _)| task.clone()).collect();
        for task in over {
            self.release(executor, &task, why);
        }
        if self.executors.get(executor).is_some_and(|known| known.runs.is_empty()) {
            self.executors.remove(executor);
            self.forget_ends(executor);
        }
    }

    /// Notes once how an executor's life has ended, and what it ran.
    fn note_end(&mut self, now: Now, executor: &ExecutorName, ending: Ending) {
        let seen_up = self.fleet.last_listed(executor);
        let known = self.executors.get_mut(executor).filter(|known| !known.ended);
        let Some(known) = known else { return };
        known.present = false;
        known.ended = true;
        let ended = EndedExecutor::new(known, ending, seen_up, now.time);
        self.log("executor-ended", executor, || ended.to_string());
        self.ended_executors.push(ended);
    }

    /// An executor has started again under its name. Runs whose start may have met the later life
    /// are looked for there, all others of the earlier one are over.
    pub(super) fn carry_over(&mut self, now: Now, before: &ExecutorName, next: &ExecutorName) {
        let fate = self.fleet.host_outcome(before);
        self.note_end(now, before, Ending::Restarted(fate.clone()));
        let Some(known) = self.executors.get(before) else { return };
        let inherited_until = known.inherited_until;
        let runs = known.runs.iter().filter(|(_, held)| held.may_come_later(None));
        let runs: Vec<(TaskKey, Held)> =
            runs.map(|(task, held)| (task.clone(), held.carried_over(now.time))).collect();
        if let Some(later) = self.executors.get_mut(next).filter(|_| !runs.is_empty()) {
            let lease = now.time + self.limits.inherited_lease;
            later.inherited_until = later.inherited_until.max(inherited_until).max(Some(lease));
        }
        for (task, held) in runs {
            self.carry_run(now, before, next, &task, held);
        }
        self.life_over(now, before, Ending::Restarted(fate));
    }

    fn carry_run(
        &mut self,
        now: Now,
        before: &ExecutorName,
        next: &ExecutorName,
        task: &TaskKey,
        held: Held,
    ) {
        let run = held.run;
        let stops = held.phase == Phase::Stopping;
        self.executors.drop_run(before, task);
        self.executors.hold(next, task, held);
        let assigned = self.ledger.task(task).and_then(|state| state.assigned.as_ref());
        if assigned.is_some_and(|assigned| assigned.run == run && assigned.executor == *before) {
            let executor = next.clone();
            self.record(Record::Assigned { task: task.clone(), run, executor });
        }
        if stops {
            self.send_stop(now, next, task);
        }
    }

    /// Drops executors that have gone and have nothing any more.
    pub(super) fn forget_executors(&mut self, now: Now) {
        let gone: Vec<(ExecutorName, bool)> = self
            .executors
            .iter()
            .filter(|(_, known)| !known.present && known.runs.is_empty())
            .filter(|(_, known)| known.ended || known.acknowledged >= known.taken_end)
            .map(|(executor, known)| (executor.clone(), !known.ended && !known.lapsed.is_empty()))
            .collect();
        for (executor, lapsed) in gone {
            if lapsed {
                self.life_over(now, &executor, Ending::Expired);
                continue;
            }
            self.executors.remove(&executor);
            self.forget_ends(&executor);
        }
    }

    fn forget_ends(&mut self, executor: &ExecutorName) {
        if self.ledger.seen.contains_key(executor) {
            self.record(Record::ExecutorGone { executor: executor.clone() });
        }
    }
}
