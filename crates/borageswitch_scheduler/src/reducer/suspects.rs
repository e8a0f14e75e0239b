//! Tasks under which executors have crashed; how they are treated, [`crate::policy::blame`] decides.
//!
//! A suspect is started again, away from other suspects, until one of its runs has lived for long
//! enough, or the evidence against it suffices and its job has failed.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use borageswitch_types::names::{ExecutorName, JobName, QueueName};

use crate::{
    effect::{Effect, Tally},
    event::Now,
    ledger::{
        crashes::{Crash, Suspicion},
        record::Record,
    },
    policy::{
        blame::{self, Present, Standing},
        crash_rate::{History, Site},
    },
    reducer::{
        Scheduler,
        crashes::{EndedExecutor, LostRun},
    },
    task::TaskKey,
};

/// How long a run of unknown age is taken to have been there: an earlier leader started it.
const UNKNOWN_AGE: Duration = blame::SOON;
/// How long nothing is started on an executor after a start of an isolated task.
const ISOLATION: Duration = blame::SOON;

/// The suspects that run, and what is remembered of crashes.
#[derive(Debug, Default)]
pub struct Suspects {
    history: History,
    /// Runs of suspects that have not lived for long enough yet.
    on_probation: BTreeMap<ExecutorName, BTreeSet<TaskKey>>,
}

impl Suspects {
    /// How many suspects an executor has that have not lived for long enough yet.
    pub(super) fn count_on(&self, executor: &ExecutorName) -> usize {
        self.on_probation.get(executor).map_or(0, BTreeSet::len)
    }

    fn watch(&mut self, executor: &ExecutorName, task: &TaskKey) {
        self.on_probation.entry(executor.clone()).or_default().insert(task.clone());
    }

    fn drop_from(&mut self, executor: &ExecutorName, task: &TaskKey) {
        let Some(tasks) = self.on_probation.get_mut(executor) else { return };
        tasks.remove(task);
        if tasks.is_empty() {
            self.on_probation.remove(executor);
        }
    }
}

impl Scheduler {
    /// How a task is to be treated.
    pub(super) fn standing(&self, task: &TaskKey) -> Standing {
        Standing::of(self.ledger.crashes_under(task))
    }

    /// Whether an executor's host has crashed again and again.
    pub(super) fn is_unsteady(&self, now: Now, executor: &ExecutorName) -> bool {
        let history = &self.suspects.history;
        if history.is_empty() {
            return false;
        }
        let host = self.fleet.host_of(executor);
        host.is_some_and(|host| history.is_unsteady(now.time, host))
    }

    /// A task was placed: a suspect is watched, and an isolated one is left alone for a while.
    pub(super) fn watch_suspect(&mut self, now: Now, executor: &ExecutorName, task: &TaskKey) {
        let standing = self.standing(task);
        if standing == Standing::Clear {
            return;
        }
        self.suspects.watch(executor, task);
        if standing >= Standing::Isolated
            && let Some(known) = self.executors.get_mut(executor)
        {
            known.isolated_until = now.time + ISOLATION;
        }
    }

    /// Takes in what a crash says about the tasks that ran there. `others` crashed in the same moment;
    /// `started_on` tells on how many of all these a job had just started.
    pub(super) fn take_crash(
        &mut self,
        now: Now,
        ended: &EndedExecutor,
        others: usize,
        started_on: &BTreeMap<JobName, usize>,
    ) {
        let open = |lost: &&LostRun| self.ledger.task(&lost.task).is_some_and(|state| !state.done);
        let runs: Vec<&LostRun> = ended.runs.iter().filter(open).collect();
        let jobs: BTreeSet<JobName> = runs.iter().map(|lost| lost.task.job.clone()).collect();
        self.count_crash(&jobs);
        let present: Vec<Present> = jobs.iter().map(|job| self.present(job, &runs)).collect();
        let shares: BTreeMap<&JobName, f64> = jobs.iter().zip(blame::shares(&present)).collect();
        let suspicions = runs.iter().filter_map(|lost| {
            let job = &lost.task.job;
            let started_on = started_on.get(job).copied().unwrap_or(0);
            if !blame::has_common_cause(others, started_on) {
                let evidence = self.evidence(now, ended, lost, shares[job]);
                return Some(suspicion(now, ended, lost, evidence));
            }
            blame::is_soon(lost.lived).then(|| suspicion(now, ended, lost, 0))
        });
        let suspicions: Vec<Suspicion> = suspicions.collect();
        self.suspects.history.note(now.time, ended.host().cloned(), jobs);
        self.suspect(suspicions);
    }

    /// Takes in that an executor has gone for another reason, or an unknown one, a moment after tasks
    /// were started there. It says nothing against them, but counts for the bound on restarts: a
    /// crash may be hidden by a drain, or have been seen by a leader that could not store it.
    pub(super) fn take_loss(&mut self, now: Now, ended: &EndedExecutor) {
        let soon = ended.runs.iter().filter(|lost| blame::is_soon(lost.lived));
        let suspicions = soon.map(|lost| suspicion(now, ended, lost, 0));
        self.suspect(suspicions.collect());
    }

    fn suspect(&mut self, suspicions: Vec<Suspicion>) {
        if suspicions.is_empty() {
            return;
        }
        let tasks: Vec<TaskKey> = suspicions.iter().map(|s| s.task.clone()).collect();
        self.record(Record::Crashed { suspicions });
        for task in tasks {
            self.judge(&task);
        }
    }

    fn evidence(&self, now: Now, ended: &EndedExecutor, lost: &LostRun, share: f64) -> u32 {
        let site =
            Site { job: &lost.task.job, host: ended.host(), executors: self.executors.len() };
        let rate = self.suspects.history.rate(now.time, self.took_over_at, &site);
        blame::evidence(share, lost.window.unwrap_or(UNKNOWN_AGE), rate)
    }

    /// A job as one of those that ran on an executor: its task that is the likeliest cause.
    fn present(&self, job: &JobName, runs: &[&LostRun]) -> Present {
        let of_job = runs.iter().filter(|lost| lost.task.job == *job);
        let mut present = Present { evidence: 0, window: Duration::MAX };
        for lost in of_job {
            let crashes = self.ledger.crashes_under(&lost.task);
            let evidence = crashes.iter().map(|crash| crash.evidence).sum();
            present.evidence = present.evidence.max(evidence);
            present.window = present.window.min(lost.window.unwrap_or(UNKNOWN_AGE));
        }
        present
    }

    /// Gives a task up if the evidence suffices; else watches the run that it may have by now.
    fn judge(&mut self, task: &TaskKey) {
        if self.standing(task) == Standing::Culprit || self.is_culprit_job(&task.job) {
            self.give_up_culprit(task);
            return;
        }
        let assigned = self.ledger.task(task).and_then(|state| state.assigned.as_ref());
        if let Some(executor) = assigned.map(|assigned| assigned.executor.clone()) {
            self.suspects.watch(&executor, task);
        }
    }

    /// Whether the crashes under a job's tasks speak against it, taken together.
    fn is_culprit_job(&self, name: &JobName) -> bool {
        let Some(job) = self.ledger.jobs.get(name) else { return false };
        let steps = &job.submission.spec.steps;
        let tasks: usize = steps.iter().map(|step| step.count as usize).sum();
        let crashes = self.ledger.suspects_of(name).flat_map(|(_, crashes)| crashes);
        blame::is_certain_of_job(crashes, tasks * job.progress.open.len().max(1))
    }

    fn give_up_culprit(&mut self, task: &TaskKey) {
        if self.ledger.given_up.contains_key(&task.job) {
            return;
        }
        self.record(Record::GivenUp { task: task.clone() });
        let Some(given_up) = self.ledger.given_up.get(&task.job).cloned() else { return };
        self.log("task-given-up", task, || {
            let evidence: Vec<u32> = given_up.crashes.iter().map(|c| c.evidence).collect();
            format!("evidence={evidence:?} {given_up}")
        });
        if let Some(queue) = self.queue_of_job(&task.job) {
            self.effects.push(Effect::Count(Tally::GivenUp(queue)));
        }
        self.maybe_ended.insert(task.job.clone());
        self.suspects.history.explain(&task.job);
    }

    /// Takes in how long suspects have lived on executors that still answer.
    pub(super) fn clear_suspects(&mut self) {
        let (mut over, mut outlived) = (Vec::new(), Vec::new());
        for (executor, tasks) in &self.suspects.on_probation {
            for task in tasks {
                let known = self.executors.get(executor);
                let held = known.and_then(|known| Some(known.lived(known.runs.get(task)?)));
                let crashes = self.ledger.crashes_under(task);
                match held {
                    Some(lived) if crashes.iter().any(|crash| blame::refutes(lived, crash)) => {
                        outlived.push((executor.clone(), task.clone(), lived.as_millis() as u64));
                    }
                    Some(_) if !crashes.is_empty() => {}
                    _ => over.push((executor.clone(), task.clone())),
                }
            }
        }
        for (executor, task) in over {
            self.suspects.drop_from(&executor, &task);
        }
        for (executor, task, millis) in outlived {
            self.log("suspect-lives", &task, || format!("executor={executor} lived_ms={millis}"));
            self.record(Record::Lived { task, millis });
        }
    }

    fn count_crash(&mut self, jobs: &BTreeSet<JobName>) {
        let queues: BTreeSet<QueueName> =
            jobs.iter().filter_map(|job| self.queue_of_job(job)).collect();
        for queue in queues {
            self.effects.push(Effect::Count(Tally::Crash(queue)));
        }
    }

    fn queue_of_job(&self, job: &JobName) -> Option<QueueName> {
        Some(self.ledger.jobs.get(job)?.submission.queue.name.clone())
    }
}

fn suspicion(now: Now, ended: &EndedExecutor, lost: &LostRun, evidence: u32) -> Suspicion {
    let crash = Crash {
        executor: ended.executor.clone(),
        at: now.wall,
        run: lost.run,
        age_ms: lost.age.unwrap_or(UNKNOWN_AGE).as_millis() as u64,
        lived_ms: lost.lived.as_millis() as u64,
        evidence,
    };
    Suspicion { task: lost.task.clone(), crash }
}
