//! The ledger: the persistent state of jobs and runs, which survives the leading daemon.
//!
//! [`record`] lists the changes of the ledger. Apart from new jobs, the ledger changes only by
//! [`Ledger::apply`]. A new leader reads the last [`Snapshot`](snapshot::Snapshot) and the records
//! after it, which restores the ledger that its predecessor had stored.

pub mod counted_ends;
pub mod crashes;
pub mod host_orders;
pub mod job;
pub mod recent_starts;
pub mod record;
pub mod run_end;
pub mod snapshot;

#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use borageswitch_types::{
    names::{ExecutorName, HostName, JobName, QueueName},
    time::UnixMillis,
};

use crate::{
    executor::EndKind,
    job::Submission,
    ledger::{
        counted_ends::{CountedEnd, CountedEnds, UNKNOWN_TERM},
        crashes::{Crash, GivenUp, Survival, Suspicion},
        host_orders::HostOrders,
        job::Job,
        recent_starts::RecentStarts,
        record::{LingeringRun, Outcome, Record, StoredAppend},
        run_end::EndMeaning,
    },
    task::{StepKey, TaskKey},
};

/// How long the outcome of a job is kept after its end: the two minutes that callers are promised,
/// and half a minute for differing clocks and late requests.
pub const OUTCOME_RETENTION: Duration = Duration::from_secs(150);

/// A job that has ended.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Finished {
    /// Its queue.
    pub queue: QueueName,
    /// How it ended.
    pub outcome: Outcome,
    /// When it ended, by the wall clock of the leader.
    pub at: UnixMillis,
}

/// The persistent state of jobs, runs and orders for hosts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ledger {
    /// Jobs that have not ended.
    pub jobs: BTreeMap<JobName, Job>,
    /// Jobs that have ended.
    pub finished: BTreeMap<JobName, Finished>,
    /// For each executor, the highest number of a processed end.
    pub last_ends: BTreeMap<ExecutorName, u64>,
    /// The recent orders for hosts.
    pub host_orders: HostOrders,
    /// For each wave, the hosts whose maintenance has begun.
    pub maintained: BTreeMap<u64, Vec<HostName>>,
    /// The waves that were reported as completed.
    pub completed_waves: Vec<u64>,
    /// Runs of ended jobs that have not ended themselves and still count for a quota.
    pub lingering_runs: BTreeMap<TaskKey, LingeringRun>,
    /// Tasks under which executors have crashed, with the crashes since a run last exonerated the
    /// task.
    pub suspects: BTreeMap<TaskKey, Vec<Crash>>,
    /// Jobs that have failed because one of their tasks crashes executors.
    pub given_up: BTreeMap<JobName, GivenUp>,
    /// For each gang, the runs that have failed. The members of a gang share the number of a run.
    pub failed_gang_runs: BTreeMap<StepKey, BTreeSet<u32>>,
    /// The runs that were assigned in the last seconds, and when.
    pub recent_starts: RecentStarts,
    /// For how long the present runs of suspects have lived. Without it, a task would have to live
    /// for long enough under a single leader.
    pub survivals: BTreeMap<TaskKey, Survival>,
    /// The ends of runs that count as failures of tasks that may run again.
    pub counted_ends: CountedEnds,
}

impl Ledger {
    /// Adds a job unless it is known, and returns whether it is new.
    pub fn submit(&mut self, submission: Arc<Submission>) -> bool {
        let name = submission.job.clone();
        if self.finished.contains_key(&name) || self.jobs.contains_key(&name) {
            return false;
        }
        self.jobs.insert(name, Job::new(submission));
        true
    }

    /// Applies the records of an append that an earlier leader has stored.
    pub fn apply_append(&mut self, append: &StoredAppend) {
        append.records.iter().for_each(|record| self.apply_in_term(record, append.term));
        self.note_sent(append.at, &append.records);
    }

    /// Notes when records were sent to the store that were applied before.
    pub fn note_sent(&mut self, at: UnixMillis, records: &[Record]) {
        self.recent_starts.note(at, records);
    }

    /// Applies a record of a leader whose term is not known.
    pub fn apply(&mut self, record: &Record) {
        self.apply_in_term(record, UNKNOWN_TERM);
    }

    /// Applies a record of the leader whose first append has the number `term`.
    ///
    /// A record about an unknown job has no effect: the job has ended since.
    pub fn apply_in_term(&mut self, record: &Record, term: u64) {
        match record {
            Record::Assigned { task, run, executor } => self.assign(task, *run, executor),
            Record::Released { task, run } => {
                self.clear_lingering_run(task, *run);
                self.release(task, *run);
            }
            Record::LingeringRun { task, lingering } => {
                self.lingering_runs.insert(task.clone(), lingering.clone());
            }
            Record::Ended { executor, number, task, run, kind, checkpoint } => {
                self.clear_lingering_run(task, *run);
                let last_end = self.last_ends.entry(executor.clone()).or_default();
                if *number > *last_end {
                    *last_end = *number;
                    let (run, number, executor) = (*run, *number, executor.clone());
                    let end = CountedEnd { run, executor, number, term };
                    let is_new = self.end(task, *kind, checkpoint.as_ref(), end);
                    if is_new && matches!(kind, EndKind::Done | EndKind::Failed) {
                        self.clear_crashes_until(task, run);
                    }
                }
            }
            Record::Due { job, occurrence } => {
                if let Some(job) = self.jobs.get_mut(job) {
                    job.begin_occurrence(*occurrence);
                }
            }
            Record::Finished { job, queue, outcome, at } => {
                self.jobs.remove(job);
                self.suspects.retain(|task, _| task.job != *job);
                self.survivals.retain(|task, _| task.job != *job);
                self.failed_gang_runs.retain(|step, _| step.job != *job);
                self.counted_ends.drop_job(job);
                let finished = Finished { queue: queue.clone(), outcome: *outcome, at: *at };
                self.finished.insert(job.clone(), finished);
            }
            Record::OutcomesDropped { before } => {
                self.finished.retain(|_, finished| finished.at >= *before);
                let Self { jobs, finished, given_up, .. } = self;
                given_up.retain(|job, _| jobs.contains_key(job) || finished.contains_key(job));
            }
            Record::ExecutorGone { executor } => {
                self.last_ends.remove(executor);
                self.lingering_runs.retain(|_, lingering| lingering.executor != *executor);
            }
            Record::TermBegan => self.host_orders.begin_term(),
            Record::TermTime { millis } => self.host_orders.set_term_time(*millis),
            Record::HostOrdered { host } => self.host_orders.ordered(host),
            Record::HostOrderAnswered { host, millis } => self.host_orders.answered(host, *millis),
            Record::Maintained { wave, host } => {
                let hosts = self.maintained.entry(*wave).or_default();
                if !hosts.contains(host) {
                    hosts.push(host.clone());
                }
            }
            Record::Crashed { suspicions } => {
                suspicions.iter().for_each(|suspicion| self.add_suspicion(suspicion));
            }
            Record::Survived { task, millis } => self.clear_survived(task, *millis),
            Record::GivenUp { task } => {
                let crashes = self.suspects.remove(task).unwrap_or_default();
                self.survivals.remove(task);
                let given_up = GivenUp { task: task.clone(), crashes };
                self.given_up.entry(task.job.clone()).or_insert(given_up);
            }
            Record::WaveCompleted { wave } => {
                if !self.completed_waves.contains(wave) {
                    self.completed_waves.push(*wave);
                }
            }
        }
    }

    fn add_suspicion(&mut self, suspicion: &Suspicion) {
        let task = &suspicion.task;
        let may_be_open = match self.jobs.get(&task.job) {
            Some(job) => job.task(task).is_some_and(|state| !state.done),
            // When records are read again, the submission of a job that ends by a later one may
            // have been removed.
            None => !self.finished.contains_key(&task.job),
        };
        if may_be_open {
            let crashes = self.suspects.entry(task.clone()).or_default();
            crashes::add(crashes, &suspicion.crash);
            if crashes.is_empty() {
                self.clear_suspect(task);
            }
        }
    }

    /// Drops what is held against a task.
    fn clear_suspect(&mut self, task: &TaskKey) {
        self.suspects.remove(task);
        self.survivals.remove(task);
    }

    /// Drops the crashes under a task up to a run whose executor has survived it. The end of a run
    /// may be listed late or again, so it says nothing about later runs, unless the task is done.
    fn clear_crashes_until(&mut self, task: &TaskKey, run: u32) {
        let is_done = self.task(task).is_some_and(|state| state.done);
        let Some(crashes) = self.suspects.get_mut(task) else { return };
        crashes.retain(|crash| !is_done && crash.run > run);
        if crashes.is_empty() {
            self.clear_suspect(task);
        }
    }

    fn clear_survived(&mut self, task: &TaskKey, lived_ms: u64) {
        let Some(crashes) = self.suspects.get_mut(task) else { return };
        crashes::clear_survived(crashes, lived_ms);
        if crashes.is_empty() {
            self.clear_suspect(task);
            return;
        }
        let assigned = self.task(task).and_then(|state| state.assigned.as_ref());
        if let Some(run) = assigned.map(|assigned| assigned.run) {
            self.survivals.insert(task.clone(), Survival { run, millis: lived_ms });
        }
    }

    /// Returns for how long a run of a suspect is known to have lived under earlier leaders.
    pub fn survival_of(&self, task: &TaskKey, run: u32) -> Duration {
        let survival = self.survivals.get(task).filter(|survival| survival.run == run);
        Duration::from_millis(survival.map_or(0, |survival| survival.millis))
    }

    /// Returns the tasks of a job under which executors have crashed, with the crashes.
    pub fn suspects_of(&self, job: &JobName) -> impl Iterator<Item = (&TaskKey, &Vec<Crash>)> {
        let first = TaskKey { job: job.clone(), occurrence: 0, step: 0, index: 0 };
        let from = self.suspects.range(first..);
        from.take_while(move |(task, _)| task.job == *job)
    }

    /// Returns the crashes that count against a task.
    pub fn crashes_of(&self, task: &TaskKey) -> &[Crash] {
        self.suspects.get(task).map(Vec::as_slice).unwrap_or_default()
    }

    fn assign(&mut self, task: &TaskKey, run: u32, executor: &ExecutorName) {
        if let Some(state) = self.task_mut(task) {
            state.assign(run, executor);
        }
    }

    fn release(&mut self, task: &TaskKey, run: u32) {
        if let Some(state) = self.task_mut(task) {
            state.release(run);
        }
    }

    fn clear_lingering_run(&mut self, task: &TaskKey, run: u32) {
        if self.lingering_runs.get(task).is_some_and(|lingering| lingering.run == run) {
            self.lingering_runs.remove(task);
        }
    }

    /// Applies the end of a run; `end` is kept if it counts as a failure. Returns `false` if it
    /// counts already: it says nothing about later runs of the task.
    fn end(
        &mut self,
        task: &TaskKey,
        kind: EndKind,
        checkpoint: Option<&Arc<str>>,
        end: CountedEnd,
    ) -> bool {
        let run = end.run;
        let Some(job) = self.jobs.get_mut(&task.job) else { return true };
        let Some(step) = job.step(task.step) else { return true };
        if job.task(task).is_none_or(|state| state.done) {
            return true;
        }
        let failed_runs = &mut self.failed_gang_runs;
        let kind = run_end::as_part_of_gang(step, kind, || {
            failed_runs.entry(task.step_key()).or_default().insert(run)
        });
        match EndMeaning::of(step, kind) {
            EndMeaning::Completed if step.gang => self.counted_ends.drop_step(&task.step_key()),
            EndMeaning::Completed => self.counted_ends.drop_task(task),
            EndMeaning::Failed if !step.lasting => {
                if !self.counted_ends.add(task, end) {
                    self.release(task, run);
                    return false;
                }
            }
            EndMeaning::Failed | EndMeaning::Interrupted => {}
        }
        job.end(task, run, kind, checkpoint);
        true
    }

    /// Returns the state of a task of a job that has not ended.
    pub fn task(&self, task: &TaskKey) -> Option<&job::TaskState> {
        self.jobs.get(&task.job)?.task(task)
    }

    fn task_mut(&mut self, task: &TaskKey) -> Option<&mut job::TaskState> {
        self.jobs.get_mut(&task.job)?.task_mut(task)
    }
}
