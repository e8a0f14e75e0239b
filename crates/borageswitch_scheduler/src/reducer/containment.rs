//! Limits how many executors tasks may reach that are suspected of crashing them, as decided by
//! [`crate::policy::crash_containment`].
//!
//! While a group of jobs is contained, [`probes`] places the first task of each unproven job and
//! the suspects before all other tasks of the pool, on few executors. Everything else is kept away
//! from these executors until the probes are through.

mod probes;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use borageswitch_types::{
    Time,
    names::{ExecutorName, JobName, PoolName},
    time::UnixMillis,
};

use crate::{
    event::Now,
    job::{Size, Submission},
    ledger::{crashes::Crash, job::Job},
    policy::{
        crash_attribution::{self, Coincidence},
        crash_containment::{self, ContainedGroups, Group},
    },
    reducer::{
        Scheduler,
        crashes::{EndedExecutor, LostRun},
    },
    task::TaskKey,
};

/// The containment of all pools in which executors have lately crashed soon after a start.
#[derive(Debug, Default)]
pub struct Containment {
    pools: BTreeMap<PoolName, PoolContainment>,
}

/// The containment of one pool.
#[derive(Debug, Default)]
struct PoolContainment {
    groups: ContainedGroups,
    /// The probes and suspects that are not through, by executor.
    probes: BTreeMap<ExecutorName, BTreeMap<TaskKey, Probe>>,
    /// When executors crashed under a probe.
    lost: Vec<Time>,
    /// The jobs of which a run has survived for long enough.
    proven: BTreeSet<JobName>,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    run: u32,
    /// How long the run has to live.
    time: Duration,
}

impl Containment {
    /// Whether groups of any pool are contained.
    pub(super) fn is_active(&self) -> bool {
        self.pools.values().any(|pool| pool.groups.is_active())
    }

    /// Whether probes that are not through run on an executor.
    pub(super) fn has_probe(&self, pool: &PoolName, executor: &ExecutorName) -> bool {
        self.pools.get(pool).is_some_and(|pool| pool.probes.contains_key(executor))
    }
}

impl Scheduler {
    /// Notes the crash of an executor, if a start may have caused it. `started_on` is the
    /// number of crashed executors on which each job had recently started.
    pub(super) fn note_start_crash(
        &mut self,
        now: Now,
        ended: &EndedExecutor,
        coincidence: Coincidence,
        started_on: &BTreeMap<JobName, usize>,
    ) {
        let pool = ended.pool().clone();
        let may_be_cause = |lost: &&LostRun| {
            let started_on = started_on.get(&lost.task.job).copied().unwrap_or(0);
            // How long a run of an earlier leader had lived may not be known.
            lost.max_age.is_some()
                && lost.is_start_related()
                && !coincidence.has_common_cause(started_on)
                && !self.has_survived(&pool, &lost.task.job)
        };
        let causes: Vec<&LostRun> = ended.runs.iter().filter(may_be_cause).collect();
        let age = causes.iter().filter_map(|lost| lost.max_age).min();
        let jobs: BTreeSet<&JobName> = causes.iter().map(|lost| &lost.task.job).collect();
        let groups: BTreeSet<Group> = jobs
            .iter()
            .filter_map(|job| self.ledger.jobs.get(*job))
            .flat_map(|job| groups_of(&job.submission))
            .collect();
        if let Some(contained) = self.containment.pools.get_mut(&pool) {
            if contained.probes.remove(&ended.executor).is_some() {
                contained.lost.push(ended.ended_by());
            }
            let required = contained.groups.longest_probe_time();
            let survived = ended.runs.iter().filter(|lost| lost.min_age >= required);
            contained.proven.extend(survived.map(|lost| lost.task.job.clone()));
        }
        if let Some(age) = age {
            self.add_start_crash(now.time, &pool, age, groups);
        }
    }

    fn add_start_crash(
        &mut self,
        at: Time,
        pool: &PoolName,
        age: Duration,
        groups: BTreeSet<Group>,
    ) {
        let contained = self.containment.pools.entry(pool.clone()).or_default();
        let added =
            contained.groups.add_crash(at, age.min(crash_attribution::START_RELATED_AGE), groups);
        if added.is_empty() {
            return;
        }
        let probe_ms = contained.groups.probe_time(&added).unwrap_or_default().as_millis();
        self.log("containment-began", pool, || format!("groups={added:?} probe_ms={probe_ms}"));
    }

    /// Derives containment from the crashes that an earlier leader has recorded.
    pub(super) fn derive_containment(&mut self, now: Now) {
        let mut crashes: BTreeMap<
            (UnixMillis, ExecutorName),
            (Duration, PoolName, BTreeSet<Group>),
        > = BTreeMap::new();
        let suspects = self.ledger.suspects.iter();
        let given_up =
            self.ledger.given_up.values().map(|given_up| (&given_up.task, &given_up.crashes));
        for (task, of_task) in suspects.chain(given_up) {
            let Some((pool, groups)) = self.groups_of_job(&task.job) else { continue };
            for crash in of_task.iter().filter(|crash| is_recent_start_crash(now, crash)) {
                let age = Duration::from_millis(crash.age_ms);
                let key = (crash.at, crash.executor.clone());
                let known = crashes
                    .entry(key)
                    .or_insert_with(|| (Duration::MAX, pool.clone(), BTreeSet::new()));
                known.0 = known.0.min(age);
                known.2.extend(groups.iter().cloned());
            }
        }
        for ((at, _), (age, pool, groups)) in crashes {
            let since = Duration::from_millis(now.wall.0.saturating_sub(at.0));
            let at = Time::from_millis(
                (now.time.since(Time::ZERO).saturating_sub(since)).as_millis() as u64,
            );
            self.add_start_crash(at, &pool, age, groups);
        }
    }

    /// The pool and the groups of a job that may have been given up.
    fn groups_of_job(&self, name: &JobName) -> Option<(PoolName, BTreeSet<Group>)> {
        if let Some(job) = self.ledger.jobs.get(name) {
            return Some((self.pool_of(name)?.clone(), groups_of(&job.submission).collect()));
        }
        let queue = &self.ledger.finished.get(name)?.queue;
        let pool = self.config.as_ref()?.queues.get(queue)?.pool.clone();
        Some((pool, BTreeSet::from([Group::Queue(queue.clone())])))
    }

    /// Ends containment where no executor has crashed for a while, and finds the probes that are
    /// through.
    pub(super) fn refresh_containment(&mut self, now: Now) {
        if self.containment.pools.is_empty() {
            return;
        }
        let mut pools = std::mem::take(&mut self.containment.pools);
        for (pool, contained) in &mut pools {
            let over = contained.groups.expire(now.time);
            if !over.is_empty() {
                self.log("containment-ended", pool, || format!("groups={over:?}"));
                self.dirty_pools.insert(pool.clone());
            }
            contained.lost.retain(|at| now.time.since(*at) < crash_containment::LOST_EXECUTOR_TIME);
            self.refresh_probes(pool, contained);
            if !contained.groups.is_active() {
                contained.proven.clear();
            }
            contained.proven.retain(|job| self.ledger.jobs.contains_key(job));
        }
        pools.retain(|_, pool| {
            !pool.groups.is_empty() || !pool.probes.is_empty() || !pool.lost.is_empty()
        });
        self.containment.pools = pools;
    }

    fn refresh_probes(&mut self, pool: &PoolName, contained: &mut PoolContainment) {
        for (executor, tasks) in &mut contained.probes {
            let mut due: Option<Time> = None;
            tasks.retain(|task, probe| {
                let Some(known) = self.executors.get(executor) else { return false };
                let held = known.runs.get(task).filter(|held| held.run == probe.run);
                let Some(held) = held else { return false };
                if known.min_run_age(held) >= probe.time {
                    contained.proven.insert(task.job.clone());
                    return false;
                }
                let through = held.started + probe.time;
                due = Some(due.map_or(through, |due| due.min(through)));
                true
            });
            if tasks.is_empty() {
                self.dirty_pools.insert(pool.clone());
            }
            if self.executors.get(executor).is_some_and(|known| known.probe_due != due)
                && let Some(known) = self.executors.get_mut(executor)
            {
                known.probe_due = due;
            }
        }
        contained.probes.retain(|_, tasks| !tasks.is_empty());
    }

    /// Whether a run of a job has survived for long enough to show that its starts crash no
    /// executor.
    fn has_survived(&self, pool: &PoolName, name: &JobName) -> bool {
        let contained = self.containment.pools.get(pool);
        let is_proven = contained.is_some_and(|contained| contained.proven.contains(name));
        let required = contained
            .filter(|contained| contained.groups.is_active())
            .map_or(crash_attribution::START_RELATED_AGE, |contained| {
                contained.groups.longest_probe_time()
            });
        let lives = |(executor, task): &(ExecutorName, TaskKey)| {
            let known = self.executors.get(executor);
            known.is_some_and(|known| {
                known.runs.get(task).is_some_and(|held| known.min_run_age(held) >= required)
            })
        };
        is_proven
            || self.ledger.jobs.get(name).is_none_or(Job::has_stored_ends)
            || self.executors.runs_of(name).any(lives)
    }

    /// How long the probe of a job has to live, if it needs one.
    fn needed_probe(&self, pool: &PoolName, name: &JobName) -> Option<Duration> {
        let contained = self.containment.pools.get(pool)?;
        let job = self.ledger.jobs.get(name)?;
        let groups: Vec<Group> = groups_of(&job.submission).collect();
        let time = contained.groups.probe_time(&groups)?;
        (!self.has_survived(pool, name)).then_some(time)
    }

    /// The capacity of a pool that probes and suspects hold and sound work cannot use.
    pub fn contained_capacity(&self, pool: &PoolName) -> Size {
        let mut total = Size::default();
        let Some(contained) = self.containment.pools.get(pool) else { return total };
        for (executor, tasks) in &contained.probes {
            let Some(known) = self.executors.get(executor) else { continue };
            total += known.free();
            let of_probes = tasks.keys().filter_map(|task| known.runs.get(task));
            of_probes.for_each(|held| total += held.size);
        }
        total
    }
}

fn is_recent_start_crash(now: Now, crash: &Crash) -> bool {
    // Evidence is recorded only for crashes that are attributed to the task. The age of a crash that
    // lies ahead of this leader's clock is not known: the clocks of daemons differ.
    crash.evidence > 0
        && crash_attribution::is_start_related(Duration::from_millis(crash.lived_ms))
        && crash.at <= now.wall
        && Duration::from_millis(now.wall.0.saturating_sub(crash.at.0))
            < crash_containment::TRIGGER_WINDOW
}

/// The groups to which a job belongs.
fn groups_of(submission: &Submission) -> impl Iterator<Item = Group> {
    let queue = Group::Queue(submission.queue.name.clone());
    let caller = submission.caller.clone().map(Group::Caller);
    let images = submission.spec.steps.iter().filter_map(|step| step.image.clone());
    std::iter::once(queue).chain(caller).chain(images.map(Group::Image))
}
