//! All executors, with the indices that keep a decision as cheap on a thousand of them as on ten.
//!
//! Thousands of runs end each second on a thousand executors. Searched for, each end costs a walk
//! over all of them, the leader comes late with everything, the backlog grows and makes each walk
//! longer. So whatever is asked by pool, by job or by task is looked up, and what only an event can
//! change is looked at again only where one has come.

use std::collections::{BTreeMap, BTreeSet, btree_map};

use borageswitch_types::names::{ExecutorName, JobName, PoolName};

use crate::{
    executor::Registration,
    life,
    policy::quotas::Usage,
    reducer::executors::{Executor, HeldRun},
    task::TaskKey,
};

/// All executors that are known.
#[derive(Debug, Default)]
pub struct ExecutorTable {
    all: BTreeMap<ExecutorName, Executor>,
    by_pool: BTreeMap<PoolName, BTreeSet<ExecutorName>>,
    /// The latest known life of each executor whose lives are told apart, by its registered name.
    latest_incarnations: BTreeMap<ExecutorName, ExecutorName>,
    /// What callers' runs use on all of them.
    usage: Usage,
    /// Where a job's tasks have runs, or may have.
    runs_by_job: BTreeMap<JobName, BTreeSet<(ExecutorName, TaskKey)>>,
    /// Executors that may look different since they were asked for last, each once.
    changed: Vec<ExecutorName>,
    /// Pools that executors have left since they were asked for last.
    departed: Vec<(PoolName, ExecutorName)>,
}

impl ExecutorTable {
    /// One of them.
    pub fn get(&self, executor: &ExecutorName) -> Option<&Executor> {
        self.all.get(executor)
    }

    /// The latest known life of the executor that is registered under the same name as `executor`.
    pub fn latest_incarnation(&self, executor: &ExecutorName) -> Option<&ExecutorName> {
        let registered = life::registered(executor);
        let known = self.latest_incarnations.get(registered);
        known.or_else(|| self.all.get_key_value(registered).map(|(name, _)| name))
    }

    /// One of them, to be changed. Its runs and its registration are changed by [`Self::hold`],
    /// [`Self::confirm`], [`Self::drop_run`] and [`Self::register`] instead, which keep the indices.
    pub fn get_mut(&mut self, executor: &ExecutorName) -> Option<&mut Executor> {
        let known = self.all.get_mut(executor)?;
        if !known.is_marked_changed {
            known.is_marked_changed = true;
            self.changed.push(executor.clone());
        }
        Some(known)
    }

    /// All of them by name.
    pub fn iter(&self) -> btree_map::Iter<'_, ExecutorName, Executor> {
        self.all.iter()
    }

    /// All of them.
    pub fn values(&self) -> btree_map::Values<'_, ExecutorName, Executor> {
        self.all.values()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// The names of all.
    pub fn keys(&self) -> btree_map::Keys<'_, ExecutorName, Executor> {
        self.all.keys()
    }

    /// Those of a pool.
    pub fn of_pool(&self, pool: &PoolName) -> impl Iterator<Item = (&ExecutorName, &Executor)> {
        let names = self.by_pool.get(pool).into_iter().flatten();
        names.filter_map(|name| self.all.get_key_value(name))
    }

    /// The pools that have executors.
    pub fn pools(&self) -> impl Iterator<Item = &PoolName> {
        self.by_pool.keys()
    }

    /// Where the runs of a job are, or may be.
    pub fn runs_of(&self, job: &JobName) -> impl Iterator<Item = &(ExecutorName, TaskKey)> {
        self.runs_by_job.get(job).into_iter().flatten()
    }

    /// What callers' runs use on all executors.
    pub fn usage(&self) -> &Usage {
        &self.usage
    }

    /// Those that may look different, without taking note of it.
    pub fn changed(&self) -> impl Iterator<Item = &ExecutorName> {
        self.changed.iter()
    }

    /// Those that may look different since this was asked last.
    pub fn take_changed(&mut self) -> Vec<ExecutorName> {
        let changed = std::mem::take(&mut self.changed);
        for executor in &changed {
            if let Some(known) = self.all.get_mut(executor) {
                known.is_marked_changed = false;
            }
        }
        changed
    }

    /// Pools that executors have left since this was asked last, and who.
    pub fn take_departed(&mut self) -> Vec<(PoolName, ExecutorName)> {
        std::mem::take(&mut self.departed)
    }

    /// Takes in how an executor is registered now.
    pub fn update_registration(&mut self, registration: Registration) -> Option<&mut Executor> {
        let name = registration.executor.clone();
        let before = self.all.get(&name)?.registration.pool.clone();
        if before != registration.pool {
            self.leave_pool(&before, &name);
            let pool = registration.pool.clone();
            self.by_pool.entry(pool).or_default().insert(name.clone());
        }
        let known = self.get_mut(&name)?;
        known.registration = registration;
        Some(known)
    }

    /// Adds an executor.
    pub fn insert(&mut self, mut executor: Executor) {
        let name = executor.registration.executor.clone();
        self.remove(&name);
        let pool = executor.registration.pool.clone();
        self.by_pool.entry(pool).or_default().insert(name.clone());
        for (task, held) in &executor.runs {
            charge(&mut self.usage, held);
            let holders = self.runs_by_job.entry(task.job.clone()).or_default();
            holders.insert((name.clone(), task.clone()));
        }
        executor.is_marked_changed = true;
        self.changed.push(name.clone());
        self.note_incarnation(&name);
        self.all.insert(name, executor);
    }

    /// Drops an executor.
    pub fn remove(&mut self, executor: &ExecutorName) {
        let Some(known) = self.all.remove(executor) else { return };
        let registered = life::registered(executor);
        if self.latest_incarnations.get(registered) == Some(executor) {
            self.latest_incarnations.remove(registered);
        }
        self.leave_pool(&known.registration.pool, executor);
        for (task, held) in &known.runs {
            discharge(&mut self.usage, held);
            self.forget_run(executor, task);
        }
    }

    /// An executor has a run of a task, or may have.
    pub fn insert_run(&mut self, executor: &ExecutorName, task: &TaskKey, held: HeldRun) {
        self.drop_run(executor, task);
        let Some(known) = self.all.get_mut(executor) else { return };
        charge(&mut self.usage, &held);
        known.add_run(task.clone(), held);
        let holders = self.runs_by_job.entry(task.job.clone()).or_default();
        holders.insert((executor.clone(), task.clone()));
    }

    /// An executor has confirmed or listed a run.
    pub fn confirm(&mut self, executor: &ExecutorName, task: &TaskKey) {
        let held = self.all.get_mut(executor).and_then(|known| known.runs.get_mut(task));
        let Some(held) = held.filter(|held| !held.confirmed) else { return };
        held.confirmed = true;
        if let Some(charge) = &held.charge {
            self.usage.confirm(&charge.caller);
        }
    }

    /// An executor has no run of a task any more.
    pub fn drop_run(&mut self, executor: &ExecutorName, task: &TaskKey) -> Option<HeldRun> {
        let held = self.get_mut(executor)?.remove_run(task)?;
        discharge(&mut self.usage, &held);
        self.forget_run(executor, task);
        Some(held)
    }

    fn note_incarnation(&mut self, executor: &ExecutorName) {
        let Some(born) = life::born(executor) else { return };
        let latest = self.latest_incarnation(executor).and_then(life::born);
        if latest.is_none_or(|latest| latest <= born) {
            self.latest_incarnations
                .insert(ExecutorName::from(life::registered(executor)), executor.clone());
        }
    }

    fn forget_run(&mut self, executor: &ExecutorName, task: &TaskKey) {
        let Some(holders) = self.runs_by_job.get_mut(&task.job) else { return };
        holders.remove(&(executor.clone(), task.clone()));
        if holders.is_empty() {
            self.runs_by_job.remove(&task.job);
        }
    }

    fn leave_pool(&mut self, pool: &PoolName, executor: &ExecutorName) {
        self.departed.push((pool.clone(), executor.clone()));
        let Some(members) = self.by_pool.get_mut(pool) else { return };
        members.remove(executor);
        if members.is_empty() {
            self.by_pool.remove(pool);
        }
    }
}

fn charge(usage: &mut Usage, held: &HeldRun) {
    if let Some(charge) = &held.charge {
        usage.add(charge, held.confirmed);
    }
}

fn discharge(usage: &mut Usage, held: &HeldRun) {
    if let Some(charge) = &held.charge {
        usage.subtract(charge, held.confirmed);
    }
}

impl FromIterator<Executor> for ExecutorTable {
    fn from_iter<I>(executors: I) -> Self
    where
        I: IntoIterator<Item = Executor>,
    {
        let mut table = Self::default();
        for executor in executors {
            table.insert(executor);
        }
        table
    }
}
