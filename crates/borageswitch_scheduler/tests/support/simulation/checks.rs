//! Invariants, checked at each step and at the end of a simulation.

use borageswitch_scheduler::{effect::Effect, job::Size, ledger::record::Outcome, task::TaskKey};
use borageswitch_types::names::{CallerName, ExecutorName, JobName};

use super::{Faults, Simulation};
use crate::support::executor::SimExecutor;

impl Simulation {
    /// Checks that a leader sends no start of a job after it was notified of the cancellation.
    pub(super) fn check_sent(&mut self, effect: &Effect) {
        if let Effect::Start(to, order) = effect
            && self.cancelled.contains_key(&order.task.job)
        {
            self.violations
                .push(format!("{} sent to {} though cancelled", order.task, to.executor));
        }
    }

    pub(super) fn check_started(&mut self, executor: &ExecutorName, task: &TaskKey) {
        let step = &self.submissions[&task.job].spec.steps[usize::from(task.step)];
        for (other, known) in &self.executors {
            if other != executor && !self.dead.contains(other) && known.active.contains_key(task) {
                self.violations
                    .push(format!("{}: {task} runs on {other} and {executor}", self.now));
            }
            if known.done.contains(task) && !step.lasting {
                self.violations
                    .push(format!("{}: {task} started again after it was done", self.now));
            }
        }
        if !step.lasting {
            self.executors.values_mut().for_each(|known| known.note_start(task));
        }
        for &before in &step.after {
            let all = self.submissions[&task.job].spec.steps[usize::from(before)].count;
            for index in 0..all {
                let earlier = TaskKey { step: before, index, ..task.clone() };
                let ended = |known: &SimExecutor| {
                    known.done.contains(&earlier) || known.ended.iter().any(|e| e.task == earlier)
                };
                if !self.executors.values().any(ended) {
                    self.violations.push(format!("{task} started before {earlier} was done"));
                }
            }
        }
        self.check_quota(task);
        let known = &self.executors[executor];
        if !self.recent_capacity(executor).holds(&known.resources_in_use()) {
            self.violations.push(format!("{executor} is over its capacity"));
        }
    }

    /// Checks that a task starts only while the other runs of its caller use less than the quota.
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
            self.violations.push(format!("{now}: {task} started, {caller} uses {used} of {quota}"));
        }
    }

    /// The highest quota that may have been in force when a start that arrives now was ordered.
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
        self.check_attempts();
        if let Some(task) = self.executors.values_mut().find_map(SimExecutor::take_repeated) {
            self.violations.push(format!("{}: {task} started again after it was done", self.now));
        }
        if let Some((job, outcome)) = self.reported.iter().find(|(job, outcome)| {
            **outcome == Outcome::Cancelled && !self.cancelled.contains_key(*job)
        }) {
            self.violations.push(format!("{job} is shown as {outcome} though nobody cancelled it"));
        }
    }

    /// Ends all faults, so that the simulation can settle.
    pub fn clear_faults(&mut self) {
        self.faults = Faults::default();
        self.partitioned_until.clear();
        self.store_outage_until = 0;
        self.unregistered_until.values_mut().for_each(|until| *until = (*until).min(self.now));
        self.executors.values_mut().for_each(|known| known.ends_lasting = false);
        self.clear_incidents();
    }

    /// Jobs that have not ended, except for lasting jobs.
    pub fn open_jobs(&self) -> Vec<&JobName> {
        let open = |job: &&JobName| !self.reported.contains_key(*job);
        let lasts = |job: &&JobName| {
            self.submissions[*job].spec.is_lasting() && !self.poison_tasks.is_poison(job)
        };
        self.submissions.keys().filter(open).filter(|job| !lasts(job)).collect()
    }

    /// Active runs of jobs that were cancelled or have ended.
    pub fn orphan_runs(&self) -> Vec<&TaskKey> {
        let alive = self.executors.iter().filter(|(name, _)| !self.dead.contains(*name));
        let tasks = alive.flat_map(|(_, known)| known.active.keys());
        let over = |task: &&TaskKey| {
            self.cancelled.contains_key(&task.job) || self.reported.contains_key(&task.job)
        };
        tasks.filter(over).collect()
    }

    /// Whether one of the job's tasks that do not last always fails.
    pub fn may_fail(&self, name: &JobName) -> bool {
        let steps = &self.submissions[name].spec.steps;
        let mut tasks = steps.iter().enumerate().map(|(step, _)| TaskKey {
            job: name.clone(),
            occurrence: 0,
            step: step as u16,
            index: 0,
        });
        tasks.any(|task| self.behaviour(&task).fails)
    }

    /// The number of lasting tasks of jobs that are not cancelled and do not fail, and how many
    /// of them run.
    pub fn lasting(&self) -> (usize, usize) {
        let mut wanted = 0;
        let mut running = 0;
        for (name, submission) in &self.submissions {
            let over = self.cancelled.contains_key(name) || self.poison_tasks.is_poison(name);
            if !submission.spec.is_lasting() || over || self.may_fail(name) {
                continue;
            }
            let lasts = |task: &&TaskKey| {
                task.job == *name && submission.spec.steps[usize::from(task.step)].lasting
            };
            let steps = submission.spec.steps.iter().filter(|step| step.lasting);
            wanted += steps.map(|step| step.count as usize).sum::<usize>();
            let runs = |known: &SimExecutor| known.active.keys().filter(lasts).count();
            let alive = self.executors.iter().filter(|(e, _)| !self.dead.contains(*e));
            running += alive.map(|(_, known)| runs(known)).sum::<usize>();
        }
        (wanted, running)
    }
}
