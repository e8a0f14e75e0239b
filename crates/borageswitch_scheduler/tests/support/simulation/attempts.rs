//! Failed runs on executors, compared with the jobs that are shown as failed for them.

use std::collections::BTreeSet;

use borageswitch_scheduler::{job::Step, ledger::record::Outcome, task::StepKey};
use borageswitch_types::names::JobName;

use super::Simulation;

impl Simulation {
    /// Checks that a job is shown as failed for lack of attempts only if one of its tasks had as
    /// many runs that ended failed on executors as it has attempts.
    pub(super) fn check_attempts(&mut self) {
        let Some(leader) = &self.leader else { return };
        let ledger = leader.ledger();
        let failed = self.reported.iter().filter(|(job, outcome)| {
            // A verdict on crashes is kept as long as the outcome of its job.
            let is_kept = ledger.finished.contains_key(*job);
            **outcome == Outcome::Failed && is_kept && !ledger.given_up.contains_key(*job)
        });
        let lines: Vec<String> = failed.filter_map(|(job, _)| self.lacks_failures(job)).collect();
        for line in lines {
            if !self.violations.contains(&line) {
                self.violations.push(line);
            }
        }
    }

    /// Describes a job none of whose tasks has used up its attempts.
    fn lacks_failures(&self, job: &JobName) -> Option<String> {
        let submission = &self.submissions[job];
        let steps = submission.spec.steps.iter().enumerate().filter(|(_, step)| !step.lasting);
        let most = steps.map(|(number, step)| self.most_failures(job, number as u16, step)).max();
        let (most, attempts) = (most.unwrap_or(0), usize::from(submission.queue.max_attempts));
        (most < attempts).then(|| {
            format!("{job} is shown as failed after at most {most} of {attempts} failed runs")
        })
    }

    /// The highest number of distinct failed runs of a task of a step, or of the step if it is a
    /// gang. Failures of different occurrences count apart.
    fn most_failures(&self, job: &JobName, number: u16, step: &Step) -> usize {
        let schedule = self.submissions[job].spec.schedule;
        let occurrences = schedule.map_or(1, |schedule| schedule.times);
        let keys = (0..occurrences).map(|occurrence| {
            let key = StepKey { job: job.clone(), occurrence, step: number };
            self.most_failures_in(&key, step)
        });
        keys.max().unwrap_or(0)
    }

    fn most_failures_in(&self, key: &StepKey, step: &Step) -> usize {
        let tasks = (0..step.count).map(|index| {
            let task = key.task(index);
            let range = (task.clone(), 0)..=(task, u32::MAX);
            let runs =
                self.executors.values().flat_map(|known| known.failed_runs.range(range.clone()));
            runs.map(|(_, run)| *run).collect::<BTreeSet<u32>>()
        });
        if step.gang {
            tasks.flatten().collect::<BTreeSet<u32>>().len()
        } else {
            tasks.map(|runs| runs.len()).max().unwrap_or(0)
        }
    }
}
