//! Runs on executors that cannot be reached.
//!
//! An executor that is cut off goes on working until its lease ends. A task that it has is started
//! elsewhere only after the latest moment at which that can be: earlier, the work would be done
//! twice, and a caller paid or charged twice.

use borageswitch_types::names::ExecutorName;

use crate::{
    event::Now,
    ledger::record::Record,
    reducer::{
        Scheduler,
        crashes::{EndedExecutor, Ending, lost_runs},
        executors::Phase,
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
        let seen_up = self.fleet.seen_up(executor);
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

    /// An executor's life is over for certain: nothing of it runs or will run.
    pub(super) fn life_over(&mut self, now: Now, executor: &ExecutorName, ending: Ending) {
        let seen_up = self.fleet.seen_up(executor);
        let Some(known) = self.executors.get_mut(executor) else { return };
        known.present = false;
        let ended = EndedExecutor::new(known, ending, seen_up, now.time);
        let why = ended.why();
        let tasks: Vec<TaskKey> = known.runs.keys().cloned().collect();
        self.log("executor-ended", executor, || ended.to_string());
        self.ended_executors.push(ended);
        for task in tasks {
            self.release(executor, &task, why);
        }
        self.executors.remove(executor);
        self.forget_ends(executor);
    }

    /// Drops executors that have gone and have nothing any more.
    pub(super) fn forget_executors(&mut self, now: Now) {
        let gone: Vec<(ExecutorName, bool)> = self
            .executors
            .iter()
            .filter(|(_, known)| !known.present && known.runs.is_empty())
            .filter(|(_, known)| known.acknowledged >= known.taken_end)
            .map(|(executor, known)| (executor.clone(), !known.lapsed.is_empty()))
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
