//! What must hold, at each moment and at the end.

use borageswitch_scheduler::{effect::Effect, job::Size, ledger::record::Outcome, task::TaskKey};
use borageswitch_types::names::{CallerName, ExecutorName, JobName};

use super::{Faults, World};
use crate::support::executor::SimExecutor;

impl World {
    /// A leader that was told of a cancelling sends no start of that job any more.
    pub(super) fn check_sent(&mut self, effect: &Effect) {
        if let Effect::Start(to, order) = effect
            && self.cancelled.contains_key(&order.task.job)
        {
            self.broken.push(format!("{} sent to {} though cancelled", order.task, to.executor));
        }
    }

    pub(super) fn check_started(&mut self, executor: &ExecutorName, task: &TaskKey) {
        for (other, known) in &self.executors {
            if other != executor && !self.dead.contains(other) && known.active.contains_key(task) {
                self.broken.push(format!("{}: {task} runs on {other} and {executor}", self.now));
            }
            if known.done.contains(task) {
                self.broken.push(format!("{}: {task} started again after it was done", self.now));
            }
        }
        let step = &self.submissions[&task.job].spec.steps[usize::from(task.step)];
        for &before in &step.after {
            let all = self.submissions[&task.job].spec.steps[usize::from(before)].count;
            for index in 0..all {
                let earlier = TaskKey { step: before, index, ..task.clone() };
                let ended = |known: &SimExecutor| {
                    known.done.contains(&earlier) || known.ended.iter().any(|e| e.task == earlier)
                };
                if !self.executors.values().any(ended) {
                    self.broken.push(format!("{task} started before {earlier} was done"));
                }
            }
        }
        self.check_quota(task);
        let known = &self.executors[executor];
        if !self.lately_had(executor).holds(&known.taken()) {
            self.broken.push(format!("{executor} is over its capacity"));
        }
    }

    /// A task starts only while what else its caller has running is below the quota.
    fn check_quota(&mut self, task: &TaskKey) {
        let Some(caller) = self.submissions[&task.job].caller.clone() else { return };
        let quota = self.highest_quota(&caller);
        let mut used = Size::default();
        for (name, known) in &self.executors {
            let runs = known.active.iter().filter(|(other, _)| {
                *other != task && self.submissions[&other.job].caller.as_ref() == Some(&caller)
            });
            if !self.dead.contains(name) {
                runs.for_each(|(_, run)| used += run.size);
            }
        }
        if quota.cpu_milli > 0 && used.cpu_milli >= quota.cpu_milli {
            let (used, quota) = (used.cpu_milli, quota.cpu_milli);
            let now = self.now;
            self.broken.push(format!("{now}: {task} started, {caller} uses {used} of {quota}"));
        }
    }

    /// The highest quota by which a start that arrives now may have been ordered.
    fn highest_quota(&self, caller: &CallerName) -> Size {
        let now = self.config.callers[caller].quota;
        let earlier = self
            .earlier_quotas
            .iter()
            .filter(|(until, name, _)| *until >= self.now && name == caller);
        let quotas = earlier.map(|(_, _, quota)| *quota).chain([now]);
        quotas.max_by_key(|quota| quota.cpu_milli).unwrap_or_default()
    }

    pub(super) fn check(&mut self) {
        self.check_failed();
        if let Some((job, outcome)) = self.shown.iter().find(|(job, outcome)| {
            **outcome == Outcome::Cancelled && !self.cancelled.contains_key(*job)
        }) {
            self.broken.push(format!("{job} is shown as {outcome} though nobody cancelled it"));
        }
    }

    /// Ends all faults.
    pub fn calm_down(&mut self) {
        self.faults = Faults::default();
        self.cut.clear();
        self.store_away_until = 0;
    }

    /// Jobs that were neither cancelled nor have ended.
    pub fn open_jobs(&self) -> Vec<&JobName> {
        let open = |job: &&JobName| !self.shown.contains_key(*job);
        let lasts = |job: &&JobName| {
            self.submissions[*job].spec.is_lasting() && !self.culprits.is_culprit(job)
        };
        self.submissions.keys().filter(open).filter(|job| !lasts(job)).collect()
    }

    /// Runs of jobs that were cancelled or have ended.
    pub fn leftovers(&self) -> Vec<&TaskKey> {
        let alive = self.executors.iter().filter(|(name, _)| !self.dead.contains(*name));
        let tasks = alive.flat_map(|(_, known)| known.active.keys());
        let over = |task: &&TaskKey| {
            self.cancelled.contains_key(&task.job) || self.shown.contains_key(&task.job)
        };
        tasks.filter(over).collect()
    }

    /// Lasting tasks of jobs that are not cancelled, and how many of them run.
    pub fn lasting(&self) -> (usize, usize) {
        let mut wanted = 0;
        let mut running = 0;
        for (name, submission) in &self.submissions {
            let over = self.cancelled.contains_key(name) || self.culprits.is_culprit(name);
            if !submission.spec.is_lasting() || over {
                continue;
            }
            wanted += submission.spec.steps[0].count as usize;
            let runs =
                |known: &SimExecutor| known.active.keys().filter(|task| task.job == *name).count();
            let alive = self.executors.iter().filter(|(e, _)| !self.dead.contains(*e));
            running += alive.map(|(_, known)| runs(known)).sum::<usize>();
        }
        (wanted, running)
    }
}
