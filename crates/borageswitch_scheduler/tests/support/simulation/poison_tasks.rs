//! Tasks that crash the executors that run them.

use std::collections::BTreeMap;

use borageswitch_scheduler::{effect::StartOrder, ledger::record::Outcome, task::TaskKey};
use borageswitch_types::{
    Time,
    names::{ExecutorName, JobName},
};

use super::Simulation;

/// After this number of crashes under a task, its further starts are limited.
const CRASH_LIMIT: usize = 3;
/// The largest number of starts of a task after [`CRASH_LIMIT`] crashes.
const MAX_STARTS_AFTER_LIMIT: usize = 2;
/// The limit is checked only for leaders in office for at least this long, in milliseconds.
const MIN_LEADER_TIME: u64 = 3_000;
/// Orders that took longer than this, in milliseconds, were delayed and are not checked.
const MAX_PROMPT_DELAY: u64 = 100;

/// How a job's tasks crash executors.
#[derive(Clone, Copy, Debug)]
pub struct PoisonSpec {
    /// This number of tasks of the first step crash their executors.
    pub tasks: u32,
    /// The longest time from the start of the task to the crash, in milliseconds.
    pub within: u64,
}

/// Crashes and restarts of one task.
#[derive(Clone, Debug, Default)]
pub struct CrashHistory {
    /// The times of executor crashes under the task.
    pub crashes: Vec<u64>,
    /// The number of starts after the third crash.
    pub starts_after: usize,
}

/// The costs of poison tasks over several simulations.
#[derive(Clone, Debug, Default)]
pub struct CrashCosts {
    /// The number of crashed executors, for each job with poison tasks.
    lost: Vec<usize>,
    /// The time from the first crash under a job to its end, in milliseconds.
    verdict_times: Vec<u64>,
    without_verdict: usize,
    starts_over_limit: usize,
    wrongly_failed: usize,
    healthy_jobs: usize,
    /// The sum of the completion times of healthy jobs, in milliseconds.
    healthy_time: u64,
}

impl CrashCosts {
    pub fn add(&mut self, simulation: &Simulation) {
        for job in simulation.poison_tasks.jobs() {
            let history =
                simulation.poison_tasks.history.iter().filter(|(task, _)| task.job == *job);
            let crashes: Vec<u64> = history.flat_map(|(_, d)| d.crashes.iter().copied()).collect();
            self.lost.push(crashes.len());
            match (crashes.iter().min(), simulation.reported_at.get(job)) {
                (Some(first), Some(reported)) => self.verdict_times.push(reported - first),
                (Some(_), None) => self.without_verdict += 1,
                (None, _) => {}
            }
        }
        let wrong = |line: &&String| line.contains("though it could be done");
        self.wrongly_failed += simulation.violations.iter().filter(wrong).count();
        self.starts_over_limit +=
            simulation.violations.iter().filter(|line| line.contains("crashes")).count();
        for (job, submission) in simulation.submissions() {
            if let Some(reported) =
                simulation.reported_at.get(job).filter(|_| !simulation.poison_tasks.is_poison(job))
            {
                self.healthy_jobs += 1;
                self.healthy_time += reported - (submission.accepted.0 - super::WALL_CLOCK_START);
            }
        }
    }
}

impl std::fmt::Display for CrashCosts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let median = |of: &[u64]| {
            let mut sorted = of.to_vec();
            sorted.sort_unstable();
            sorted.get(sorted.len() / 2).copied().unwrap_or(0)
        };
        let lost: Vec<u64> = self.lost.iter().map(|&lost| lost as u64).collect();
        write!(
            f,
            "{} poison jobs: executors lost median {} most {}, verdict after median {} most {} ms, \
             {} never, {} starts over the limit; {} healthy jobs: {} wrongly failed, mean {} ms",
            lost.len(),
            median(&lost),
            lost.iter().max().copied().unwrap_or(0),
            median(&self.verdict_times),
            self.verdict_times.iter().max().copied().unwrap_or(0),
            self.without_verdict,
            self.starts_over_limit,
            self.healthy_jobs,
            self.wrongly_failed,
            self.healthy_time / (self.healthy_jobs as u64).max(1)
        )
    }
}

/// All poison tasks of a simulation.
#[derive(Clone, Debug, Default)]
pub struct PoisonTasks {
    jobs: BTreeMap<JobName, PoisonSpec>,
    /// Scheduled crashes: time, executor and task.
    due: Vec<(u64, ExecutorName, TaskKey)>,
    pub history: BTreeMap<TaskKey, CrashHistory>,
}

impl PoisonTasks {
    pub fn jobs(&self) -> impl Iterator<Item = &JobName> {
        self.jobs.keys()
    }

    pub fn is_poison(&self, job: &JobName) -> bool {
        self.jobs.contains_key(job)
    }
}

impl Simulation {
    /// Makes tasks of a job crash their executors.
    pub fn make_poison(&mut self, job: &JobName, poison: PoisonSpec) {
        self.poison_tasks.jobs.insert(job.clone(), poison);
    }

    pub(super) fn poison_task_started(
        &mut self,
        executor: &ExecutorName,
        order: &StartOrder,
        sent: Time,
    ) {
        let task = &order.task;
        let Some(poison) = self.poison_tasks.jobs.get(&task.job).copied() else { return };
        if task.step > 0 || task.index >= poison.tasks {
            return;
        }
        let at = self.now + self.rng.u64(0..=poison.within);
        self.poison_tasks.due.push((at, executor.clone(), task.clone()));
        let delayed = self.now.saturating_sub(sent.as_micros() / 1_000) > MAX_PROMPT_DELAY;
        let history = self.poison_tasks.history.entry(task.clone()).or_default();
        let established = self.now.saturating_sub(self.leader_since) >= MIN_LEADER_TIME;
        if history.crashes.len() < CRASH_LIMIT || delayed || !established {
            return;
        }
        history.starts_after += 1;
        if history.starts_after > MAX_STARTS_AFTER_LIMIT {
            let crashes = history.crashes.len();
            let now = self.now;
            self.violations.push(format!("{now}: {task} is started after {crashes} crashes"));
        }
    }

    pub(super) fn crash_poisoned_executors(&mut self) {
        let due = std::mem::take(&mut self.poison_tasks.due);
        let (now, later) = due.into_iter().partition(|(at, _, _)| *at <= self.now);
        self.poison_tasks.due = later;
        let now: Vec<(u64, ExecutorName, TaskKey)> = now;
        for (at, executor, task) in now {
            let runs = self.executors.get(&executor).is_some_and(|e| e.active.contains_key(&task));
            if runs && !self.dead.contains(&executor) {
                self.poison_tasks.history.entry(task).or_default().crashes.push(at);
                self.crash(&executor);
            }
        }
    }

    /// Checks that a job is reported as failed only if one of its tasks always fails or crashes
    /// executors.
    pub(super) fn check_failed(&mut self) {
        let healthy =
            |job: &JobName| !job.as_str().ends_with('0') && !self.poison_tasks.is_poison(job);
        let wrong =
            |(job, outcome): &(&JobName, &Outcome)| **outcome == Outcome::Failed && healthy(job);
        if let Some((job, _)) = self.reported.iter().find(wrong) {
            let line = format!("{job} is reported as failed, though it could be done");
            if !self.violations.contains(&line) {
                self.violations.push(line);
            }
        }
    }
}
