//! Suspects, the tasks under which executors have crashed; [`crate::policy::crash_attribution`] defines how
//! they are treated.
//!
//! A suspect is restarted apart from other suspects until one of its runs has survived for long
//! enough, or the evidence against it suffices to give its job up as failed.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use borageswitch_types::{
    Time,
    names::{ExecutorName, JobName, PoolName, QueueName},
    time::UnixMillis,
};

use crate::{
    effect::{CountedEvent, Effect},
    event::Now,
    ledger::{
        crashes::{self, Crash, Suspicion},
        record::Record,
    },
    policy::{
        crash_attribution::{self, Coincidence, PossibleCause, SuspicionLevel},
        crash_calm::{self, PoolCrashes},
        crash_rate::{CrashHistory, RateContext},
    },
    reducer::{
        Scheduler,
        crashes::{EndCause, EndedExecutor, LostRun},
    },
    task::TaskKey,
};

/// The window that is assumed for a run of unknown age when the other runs on its executor are
/// judged: it may be the cause as well as any of them.
const UNKNOWN_WINDOW: Duration = crash_attribution::START_RELATED_AGE;
/// How long nothing else is started on an executor after the start of an isolated suspect.
const ISOLATION: Duration = crash_attribution::START_RELATED_AGE;

/// How long before the start of an isolated suspect its executor must have answered.
const MAX_CONTACT_AGE: Duration = Duration::from_millis(250);
/// The time between the starts of two isolated suspects in a pool. If both crash their executors,
/// the crashes have to be told from a loss of a rack.
const ISOLATED_START_INTERVAL: Duration = Duration::from_millis(250);
/// The age of the run of a suspect at which it is first stored for how long it has lived; after that,
/// whenever the age has doubled.
const FIRST_SURVIVAL: Duration = Duration::from_millis(500);

/// The suspects that are running, and the history of crashes.
#[derive(Debug, Default)]
pub struct Suspects {
    history: CrashHistory,
    /// The recent crashes of each pool that isolated suspects do not explain.
    pool_crashes: BTreeMap<PoolName, PoolCrashes>,
    /// When an isolated suspect was last placed, by pool.
    last_isolated: BTreeMap<PoolName, Time>,
    /// When this leader has learned of the last crash under a suspect.
    last_crash: BTreeMap<TaskKey, Time>,
    /// Isolated suspects that were started after the longest wait, without a calm pool or an answer of
    /// their executor, with the run.
    started_in_unrest: BTreeMap<TaskKey, u32>,
    /// Tasks with crashes whose present run has not survived for long enough yet, by executor.
    on_probation: BTreeMap<ExecutorName, BTreeMap<TaskKey, SuspicionLevel>>,
}

impl Suspects {
    /// The number of suspects on an executor that have not survived for long enough yet.
    pub(super) fn count_on(&self, executor: &ExecutorName) -> usize {
        let Some(tasks) = self.on_probation.get(executor) else { return 0 };
        tasks.values().filter(|level| **level != SuspicionLevel::Clear).count()
    }

    fn track(&mut self, executor: &ExecutorName, task: &TaskKey, level: SuspicionLevel) {
        self.on_probation.entry(executor.clone()).or_default().insert(task.clone(), level);
    }

    fn untrack(&mut self, executor: &ExecutorName, task: &TaskKey) {
        let Some(tasks) = self.on_probation.get_mut(executor) else { return };
        tasks.remove(task);
        if tasks.is_empty() {
            self.on_probation.remove(executor);
        }
    }
}

impl Scheduler {
    /// The suspicion level of a task, by the crashes under it.
    pub(super) fn suspicion_level(&self, task: &TaskKey) -> SuspicionLevel {
        SuspicionLevel::of(self.ledger.crashes_of(task))
    }

    /// Whether the host of an executor has crashed repeatedly.
    pub(super) fn is_unsteady(&self, now: Now, executor: &ExecutorName) -> bool {
        let history = &self.suspects.history;
        if history.is_empty() {
            return false;
        }
        let host = self.fleet.host_of(executor);
        host.is_some_and(|host| history.is_crash_prone(now.time, host))
    }

    /// Whether a task has to wait until the executors of its pool have stopped crashing.
    ///
    /// The next crash under an isolated suspect may give its job up, so it must not be a crash that
    /// any task would have seen.
    pub(super) fn awaits_calm(&self, now: Now, pool: &PoolName, task: &TaskKey) -> bool {
        self.suspicion_level(task) == SuspicionLevel::Isolated
            && !self.has_waited_longest(now, task)
            && (!self.is_calm(now, pool) || self.has_started_isolated(now, pool))
    }

    /// Whether an isolated suspect is started without waiting any longer. Measured by this leader
    /// alone, as the wall clocks of daemons differ.
    fn has_waited_longest(&self, now: Now, task: &TaskKey) -> bool {
        let since = self.suspects.last_crash.get(task).copied().unwrap_or(self.took_over_at);
        now.time.since(since) >= crash_calm::MAX_WAIT
    }

    /// Whether an isolated suspect has just been started in a pool.
    fn has_started_isolated(&self, now: Now, pool: &PoolName) -> bool {
        let last = self.suspects.last_isolated.get(pool);
        last.is_some_and(|at| now.time.since(*at) < ISOLATED_START_INTERVAL)
    }

    fn is_calm(&self, now: Now, pool: &PoolName) -> bool {
        if !crash_calm::is_observed(now.time, self.took_over_at) {
            return false;
        }
        let Some(crashes) = self.suspects.pool_crashes.get(pool) else { return true };
        let registered = self.executors.of_pool(pool).filter(|(_, known)| known.is_registered);
        crashes.is_calm(now.time, registered.count())
    }

    /// Whether the start of an isolated suspect waits for an answer of its executor: only if it has
    /// answered a moment ago, a crash after the start can be told from one before it. It is polled.
    pub(super) fn awaits_answer(
        &mut self,
        now: Now,
        executor: &ExecutorName,
        task: &TaskKey,
    ) -> bool {
        if self.has_waited_longest(now, task) || self.is_heard_from(now, executor) {
            return false;
        }
        if let Some(known) = self.executors.get_mut(executor) {
            known.probe_due = Some(now.time);
        }
        true
    }

    fn is_heard_from(&self, now: Now, executor: &ExecutorName) -> bool {
        let contact = self.executors.get(executor).and_then(|known| known.clock);
        contact.is_some_and(|clock| now.time.since(clock.received) <= MAX_CONTACT_AGE)
    }

    /// Notes a crash that says how often the executors of a pool crash.
    fn note_pool_crash(&mut self, now: Now, ended: &EndedExecutor) {
        self.suspects.pool_crashes.retain(|_, crashes| !crashes.expire(now.time));
        let is_isolated =
            |lost: &LostRun| self.suspicion_level(&lost.task) >= SuspicionLevel::Isolated;
        if !ended.runs.iter().any(is_isolated) {
            self.suspects.pool_crashes.entry(ended.pool().clone()).or_default().add(now.time);
        }
    }

    /// Tracks a placed task if it is a suspect; an isolated one blocks its executor for a while.
    pub(super) fn track_suspect(&mut self, now: Now, executor: &ExecutorName, task: &TaskKey) {
        if self.ledger.crashes_of(task).is_empty() {
            return;
        }
        let suspicion_level = self.suspicion_level(task);
        self.suspects.track(executor, task, suspicion_level);
        if suspicion_level >= SuspicionLevel::Isolated
            && let Some(known) = self.executors.get_mut(executor)
        {
            known.isolated_until = now.time + ISOLATION;
            let pool = known.registration.pool.clone();
            self.suspects.last_isolated.insert(pool, now.time);
        }
    }

    /// Notes the start of an isolated suspect whose pool is not calm, or that has waited for an answer
    /// of its executor in vain.
    pub(super) fn note_start_in_unrest(
        &mut self,
        now: Now,
        executor: &ExecutorName,
        task: &TaskKey,
        run: u32,
    ) {
        let Some(known) = self.executors.get(executor) else { return };
        let pool = &known.registration.pool;
        let is_isolated = self.suspicion_level(task) >= SuspicionLevel::Isolated;
        let is_unheard = self.has_waited_longest(now, task) && !self.is_heard_from(now, executor);
        if is_isolated && (is_unheard || !self.is_calm(now, pool)) {
            self.suspects.started_in_unrest.insert(task.clone(), run);
        }
    }

    /// Whether a run may have been started after its task had waited for a calm pool in vain.
    ///
    /// Of the start of an earlier leader only the time since the last crash is known.
    fn may_have_started_in_unrest(&self, now: Now, lost: &LostRun) -> bool {
        if !lost.is_inherited {
            return self.suspects.started_in_unrest.get(&lost.task) == Some(&lost.run);
        }
        let last = self.ledger.crashes_of(&lost.task).last();
        last.is_some_and(|last| {
            let passed = Duration::from_millis(now.wall.0.saturating_sub(last.at.0));
            passed >= crash_calm::MAX_WAIT
        })
    }

    /// Attributes the crash of an executor to its tasks.
    ///
    /// `started_on` is the number of crashed executors on which each job had recently started.
    pub(super) fn attribute_crash(
        &mut self,
        now: Now,
        ended: &EndedExecutor,
        coincidence: Coincidence,
        started_on: &BTreeMap<JobName, usize>,
    ) {
        let runs: Vec<&LostRun> =
            ended.runs.iter().filter(|lost| self.is_open(&lost.task)).collect();
        let jobs: BTreeSet<JobName> = runs.iter().map(|lost| lost.task.job.clone()).collect();
        self.note_pool_crash(now, ended);
        self.count_crash(&jobs);
        let present: Vec<PossibleCause> = jobs.iter().map(|job| self.present(job, &runs)).collect();
        let shares: BTreeMap<&JobName, f64> =
            jobs.iter().zip(crash_attribution::cause_probabilities(&present)).collect();
        let is_store_silent = self.outbox.is_store_silent(now.time);
        let suspicions = runs.iter().filter_map(|lost| {
            let job = &lost.task.job;
            let started_on = started_on.get(job).copied().unwrap_or(0);
            let is_shared = is_store_silent || coincidence.has_common_cause(started_on);
            let known = lost.attributable_age().zip(lost.window).filter(|_| !is_shared);
            let rated = known.map(|(age, window)| (age, window, self.crash_rate(now, ended, job)));
            let attributed = rated
                .filter(|(_, window, rate)| crash_attribution::is_attributable(*window, *rate));
            match attributed {
                Some((age, window, rate)) => {
                    let evidence = crash_attribution::evidence(shares[job], window, rate);
                    // What tells an isolated start from others is that its pool was calm.
                    let age_ms = match self.may_have_started_in_unrest(now, lost) {
                        true => crashes::UNATTRIBUTED,
                        false => age.as_millis() as u64,
                    };
                    Some(suspicion(now, ended, lost, age_ms, evidence))
                }
                None => lost.is_start_related().then(|| unattributed(now, ended, lost)),
            }
        });
        let suspicions: Vec<Suspicion> = suspicions.collect();
        // During a storm, crashes of contained jobs would count as unrelated ones for all others,
        // and evidence would reach the threshold only after twice as many crashes.
        if !self.is_contained(ended.pool()) {
            self.suspects.history.add_crash(now.time, ended.host().cloned(), jobs);
        }
        self.record_suspicions(now.time, ended, suspicions);
    }

    /// Records the loss of tasks that had recently started on an executor which ended for another
    /// or an unknown reason.
    ///
    /// A drain may hide a crash, or an earlier leader may have seen a crash that it could not store.
    /// So these tasks are restarted with more caution. Alone, such losses give no task up.
    pub(super) fn note_unattributed_loss(&mut self, now: Now, ended: &EndedExecutor) {
        let recent =
            ended.runs.iter().filter(|lost| lost.is_start_related() && self.is_open(&lost.task));
        let suspicions = recent.map(|lost| unattributed(now, ended, lost)).collect();
        if ended.cause() == EndCause::Unknown && !ended.runs.is_empty() {
            let jobs = ended.runs.iter().map(|lost| lost.task.job.clone()).collect();
            self.suspects.history.add_crash(now.time, ended.host().cloned(), jobs);
        }
        self.record_suspicions(now.time, ended, suspicions);
    }

    /// Adds the recent crashes that earlier leaders have recorded to the history. Otherwise a new
    /// leader would take a site for calm on which executors crash all the time.
    pub(super) fn derive_crash_history(&mut self, now: Now) {
        let mut crashes: BTreeMap<&ExecutorName, (UnixMillis, BTreeSet<JobName>)> = BTreeMap::new();
        for (task, of_task) in &self.ledger.suspects {
            for crash in of_task {
                let jobs = crashes.entry(&crash.executor).or_insert((crash.at, BTreeSet::new()));
                jobs.1.insert(task.job.clone());
            }
        }
        for (at, jobs) in crashes.into_values() {
            let age = Duration::from_millis(now.wall.0.saturating_sub(at.0));
            self.suspects.history.add_earlier_crash(now.time, age, jobs);
        }
    }

    /// Drops the crash of an executor that has answered, from all tasks that it counts against.
    pub(super) fn refute_crash(&mut self, now: Now, executor: &ExecutorName) {
        let suspects = self.ledger.suspects.iter();
        let blamed =
            suspects.filter(|(_, crashes)| crashes.iter().any(|c| c.executor == *executor));
        let suspicions: Vec<Suspicion> = blamed
            .map(|(task, _)| {
                let crash = Crash::refuted(executor.clone(), now.wall);
                Suspicion { task: task.clone(), crash }
            })
            .collect();
        if suspicions.is_empty() {
            return;
        }
        self.log("crash-refuted", executor, || {
            let tasks: Vec<String> = suspicions.iter().map(|s| s.task.to_string()).collect();
            format!("tasks=[{}]", tasks.join("; "))
        });
        self.record(Record::Crashed { suspicions });
    }

    /// Whether a task belongs to a job that has not ended, and is not done itself.
    fn is_open(&self, task: &TaskKey) -> bool {
        self.ledger.task(task).is_some_and(|state| !state.done)
    }

    fn record_suspicions(&mut self, now: Time, ended: &EndedExecutor, suspicions: Vec<Suspicion>) {
        if suspicions.is_empty() {
            return;
        }
        self.record(Record::Crashed { suspicions: suspicions.clone() });
        for suspicion in suspicions {
            self.suspects.last_crash.insert(suspicion.task.clone(), now);
            self.log_suspicion(ended, &suspicion);
            self.review_suspect(&suspicion.task);
        }
    }

    /// Logs what is held against a task, and what is known of the end of its run.
    fn log_suspicion(&mut self, ended: &EndedExecutor, suspicion: &Suspicion) {
        let Suspicion { task, crash } = suspicion;
        let counted = self.ledger.crashes_of(task).len();
        let level = self.suspicion_level(task);
        self.log("task-suspected", task, || {
            format!(
                "run={} executor={} why={:?} cause={} age_ms={} lived_ms={} evidence={} \
                 crashes={counted} level={level}",
                crash.run,
                crash.executor,
                ended.why(),
                ended.cause(),
                crash.max_age().map_or("unknown".to_owned(), |age| age.as_millis().to_string()),
                crash.lived_ms,
                crash.evidence,
            )
        });
    }

    /// How many crashes per second a healthy task of a job sees on the host of an executor.
    fn crash_rate(&self, now: Now, ended: &EndedExecutor, job: &JobName) -> f64 {
        let context = RateContext { job, host: ended.host(), executors: self.executors.len() };
        self.suspects.history.rate(now.time, self.took_over_at, &context)
    }

    /// Summarises a job's runs on a crashed executor by the task that is the likeliest cause.
    fn present(&self, job: &JobName, runs: &[&LostRun]) -> PossibleCause {
        let of_job = runs.iter().filter(|lost| lost.task.job == *job);
        let mut present = PossibleCause { evidence: 0, window: Duration::MAX };
        for lost in of_job {
            let crashes = self.ledger.crashes_of(&lost.task);
            let evidence = crashes.iter().map(|crash| crash.evidence).sum();
            present.evidence = present.evidence.max(evidence);
            present.window = present.window.min(lost.window.unwrap_or(UNKNOWN_WINDOW));
        }
        present
    }

    /// Gives a suspect up if the evidence suffices; otherwise tracks the run that it may have.
    fn review_suspect(&mut self, task: &TaskKey) {
        let suspicion_level = self.suspicion_level(task);
        if suspicion_level == SuspicionLevel::Poison || self.is_poison_job(task) {
            self.give_up_poison_task(task);
            return;
        }
        let assigned = self.ledger.task(task).and_then(|state| state.assigned.as_ref());
        if let Some(executor) = assigned.map(|assigned| assigned.executor.clone()) {
            self.suspects.track(&executor, task, suspicion_level);
        }
    }

    /// Whether the crashes under all tasks of the job of a task together suffice as evidence against
    /// the job. The task itself has to have crashed several executors, the last one apart from
    /// other suspects.
    fn is_poison_job(&self, task: &TaskKey) -> bool {
        let Some(job) = self.ledger.jobs.get(&task.job) else { return false };
        let of_task = self.ledger.crashes_of(task);
        let Some((last, before)) = of_task.split_last() else { return false };
        let was_isolated = SuspicionLevel::of(before) == SuspicionLevel::Isolated;
        if !was_isolated
            || !last.is_attributed()
            || !crash_attribution::has_crashed_several(of_task)
        {
            return false;
        }
        let steps = &job.submission.spec.steps;
        let tasks: usize = steps.iter().map(|step| step.count as usize).sum();
        let crashes = self.ledger.suspects_of(&task.job).flat_map(|(_, crashes)| crashes);
        crash_attribution::is_poison_job(crashes, tasks * job.progress.open.len().max(1))
    }

    fn give_up_poison_task(&mut self, task: &TaskKey) {
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
            self.effects.push(Effect::Count(CountedEvent::GivenUp(queue)));
        }
        self.maybe_ended.insert(task.job.clone());
        self.suspects.history.discard_caused_by(&task.job);
    }

    /// Records how long suspects have survived on executors that still respond, and stops tracking
    /// those that have no run or no crashes left.
    pub(super) fn clear_suspects(&mut self) {
        let suspects = &self.ledger.suspects;
        self.suspects.last_crash.retain(|task, _| suspects.contains_key(task));
        self.suspects.started_in_unrest.retain(|task, _| suspects.contains_key(task));
        let (mut untracked, mut survived) = (Vec::new(), Vec::new());
        for (executor, tasks) in &self.suspects.on_probation {
            for task in tasks.keys() {
                let known = self.executors.get(executor);
                let held = known.and_then(|known| Some(known.min_run_age(known.runs.get(task)?)));
                let crashes = self.ledger.crashes_of(task);
                let stored = known
                    .and_then(|known| known.runs.get(task))
                    .map_or(Duration::ZERO, |held| self.ledger.survival_of(task, held.run));
                let is_news = |age: Duration| {
                    age >= FIRST_SURVIVAL.max(2 * stored)
                        || crashes.iter().any(|crash| crash_attribution::exonerates(age, crash))
                };
                match held {
                    Some(age) if !crashes.is_empty() && is_news(age) => {
                        survived.push((executor.clone(), task.clone(), age.as_millis() as u64));
                    }
                    Some(_) if !crashes.is_empty() => {}
                    _ => untracked.push((executor.clone(), task.clone())),
                }
            }
        }
        for (executor, task) in untracked {
            self.suspects.untrack(&executor, &task);
        }
        for (executor, task, millis) in survived {
            let before = self.ledger.crashes_of(&task).len();
            self.record(Record::Survived { task: task.clone(), millis });
            let left = self.ledger.crashes_of(&task).len();
            if left < before {
                self.log("suspect-lives", &task, || {
                    format!("executor={executor} lived_ms={millis} crashes={left}")
                });
            }
        }
    }

    fn count_crash(&mut self, jobs: &BTreeSet<JobName>) {
        let queues: BTreeSet<QueueName> =
            jobs.iter().filter_map(|job| self.queue_of_job(job)).collect();
        for queue in queues {
            self.effects.push(Effect::Count(CountedEvent::Crash(queue)));
        }
    }

    fn queue_of_job(&self, job: &JobName) -> Option<QueueName> {
        Some(self.ledger.jobs.get(job)?.submission.queue.name.clone())
    }
}

fn suspicion(
    now: Now,
    ended: &EndedExecutor,
    lost: &LostRun,
    age_ms: u64,
    evidence: u32,
) -> Suspicion {
    let crash = Crash {
        executor: ended.executor.clone(),
        at: now.wall,
        run: lost.run,
        age_ms,
        lived_ms: lost.min_age.as_millis() as u64,
        evidence,
    };
    Suspicion { task: lost.task.clone(), crash }
}

/// A crash that is not attributed to the task of a run, as its time or its cause is not known.
fn unattributed(now: Now, ended: &EndedExecutor, lost: &LostRun) -> Suspicion {
    suspicion(now, ended, lost, crashes::UNATTRIBUTED, 0)
}
