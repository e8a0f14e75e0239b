//! All executors, with indices that make the cost of a decision independent of their number.
//!
//! Thousands of runs end each second on a thousand executors. If each end needed a scan over all
//! executors, the leader would fall behind, and the growing backlog would make each scan longer.
//! Lookups by pool, job or task therefore use an index, and state that only an event can change is
//! evaluated again only for the executors of that event.

use std::collections::{BTreeMap, BTreeSet, btree_map};

use borageswitch_types::names::{CallerName, ExecutorName, JobName, PoolName};

use crate::{
    executor::Registration,
    incarnation,
    job::Size,
    policy::quotas::Usage,
    reducer::{
        executors::{Executor, HeldRun},
        shares::reserved::ReservedByPool,
    },
    task::TaskKey,
};

/// All known executors.
#[derive(Debug, Default)]
pub struct ExecutorTable {
    all: BTreeMap<ExecutorName, Executor>,
    by_pool: BTreeMap<PoolName, BTreeSet<ExecutorName>>,
    /// The latest known incarnation by registered name, of executors whose names tell incarnations
    /// apart.
    latest_incarnations: BTreeMap<ExecutorName, ExecutorName>,
    /// Incarnations that have not answered yet and were registered over one that may still run, by
    /// registered name. They do not count as the latest incarnation: an entry alone does not prove
    /// that the one before it has ended.
    unconfirmed: BTreeMap<ExecutorName, ExecutorName>,
    /// What the runs of each caller use on all executors together.
    usage: Usage,
    /// What the runs of each caller reserve in each pool.
    reserved: ReservedByPool,
    /// The executors and tasks of each job's runs, including runs that may not exist.
    runs_by_job: BTreeMap<JobName, BTreeSet<(ExecutorName, TaskKey)>>,
    /// Executors that may have changed since [`Self::take_changed`], without duplicates.
    changed: Vec<ExecutorName>,
    /// Executors that have left a pool since [`Self::take_departed`].
    departed: Vec<(PoolName, ExecutorName)>,
}

impl ExecutorTable {
    /// The executor of that name.
    pub fn get(&self, executor: &ExecutorName) -> Option<&Executor> {
        self.all.get(executor)
    }

    /// The latest known incarnation of the executor with the same registered name as `executor`.
    pub fn latest_incarnation(&self, executor: &ExecutorName) -> Option<&ExecutorName> {
        let registered = incarnation::registered_name(executor);
        let known = self.latest_incarnations.get(registered);
        known.or_else(|| self.all.get_key_value(registered).map(|(name, _)| name))
    }

    /// The unconfirmed incarnation of the executor with the same registered name as `executor`.
    pub fn unconfirmed_incarnation(&self, executor: &ExecutorName) -> Option<&ExecutorName> {
        self.unconfirmed.get(incarnation::registered_name(executor))
    }

    /// Whether this is an unconfirmed incarnation.
    pub fn is_unconfirmed(&self, executor: &ExecutorName) -> bool {
        self.unconfirmed_incarnation(executor) == Some(executor)
    }

    /// The other known incarnations of an executor, from the earliest to the latest.
    pub fn other_incarnations(&self, executor: &ExecutorName) -> Vec<ExecutorName> {
        let registered = incarnation::registered_name(executor);
        let from = self.all.range(ExecutorName::from(registered)..);
        let same = from
            .map(|(name, _)| name)
            .take_while(|name| name.as_str().starts_with(registered))
            .filter(|name| incarnation::registered_name(name) == registered && *name != executor);
        let mut same: Vec<ExecutorName> = same.cloned().collect();
        same.sort_by_key(incarnation::started_at);
        same
    }

    /// Adds an executor that was registered over `before`, as an unconfirmed incarnation.
    pub fn insert_unconfirmed(&mut self, executor: Executor, before: &ExecutorName) {
        let name = executor.registration.executor.clone();
        self.insert(executor);
        self.mark_unconfirmed(&name, before);
    }

    /// Makes a known executor an unconfirmed incarnation, and `before` the latest one.
    pub fn mark_unconfirmed(&mut self, executor: &ExecutorName, before: &ExecutorName) {
        let registered = ExecutorName::from(incarnation::registered_name(executor));
        match incarnation::started_at(before) {
            Some(_) => self.latest_incarnations.insert(registered.clone(), before.clone()),
            None => self.latest_incarnations.remove(&registered),
        };
        self.unconfirmed.insert(registered, executor.clone());
    }

    /// Makes an unconfirmed incarnation the latest one. Returns whether it was unconfirmed.
    pub fn confirm_incarnation(&mut self, executor: &ExecutorName) -> bool {
        let is_unconfirmed = self.is_unconfirmed(executor);
        if is_unconfirmed {
            let registered = ExecutorName::from(incarnation::registered_name(executor));
            self.unconfirmed.remove(&registered);
            self.latest_incarnations.insert(registered, executor.clone());
        }
        is_unconfirmed
    }

    /// The executor of that name, marked as changed.
    ///
    /// Change its runs and registration by [`Self::insert_run`], [`Self::confirm`],
    /// [`Self::drop_run`] and [`Self::update_registration`] instead, which update the indices.
    pub fn get_mut(&mut self, executor: &ExecutorName) -> Option<&mut Executor> {
        let known = self.all.get_mut(executor)?;
        if !known.is_marked_changed {
            known.is_marked_changed = true;
            self.changed.push(executor.clone());
        }
        Some(known)
    }

    /// All executors in the order of their names.
    pub fn iter(&self) -> btree_map::Iter<'_, ExecutorName, Executor> {
        self.all.iter()
    }

    /// All executors, without their names.
    pub fn values(&self) -> btree_map::Values<'_, ExecutorName, Executor> {
        self.all.values()
    }

    /// The number of executors.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether no executor is known.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// The names of all executors.
    pub fn keys(&self) -> btree_map::Keys<'_, ExecutorName, Executor> {
        self.all.keys()
    }

    /// The executors of a pool.
    pub fn of_pool(&self, pool: &PoolName) -> impl Iterator<Item = (&ExecutorName, &Executor)> {
        let names = self.by_pool.get(pool).into_iter().flatten();
        names.filter_map(|name| self.all.get_key_value(name))
    }

    /// The pools that have executors.
    pub fn pools(&self) -> impl Iterator<Item = &PoolName> {
        self.by_pool.keys()
    }

    /// The executors and tasks of a job's runs, including runs that may not exist.
    pub fn runs_of(&self, job: &JobName) -> impl Iterator<Item = &(ExecutorName, TaskKey)> {
        self.runs_by_job.get(job).into_iter().flatten()
    }

    /// What the runs of each caller use on all executors together.
    pub fn usage(&self) -> &Usage {
        &self.usage
    }

    /// What the runs of each caller reserve in each pool.
    pub fn reserved(&self) -> &ReservedByPool {
        &self.reserved
    }

    /// What runs that have ended since the last call had reserved, by pool and caller.
    pub(in crate::reducer) fn take_freed(
        &mut self,
    ) -> BTreeMap<PoolName, BTreeMap<CallerName, Size>> {
        self.reserved.take_freed()
    }

    /// Executors that may have changed since [`Self::take_changed`], which stay marked.
    pub fn changed(&self) -> impl Iterator<Item = &ExecutorName> {
        self.changed.iter()
    }

    /// Executors that may have changed since the last call, which are unmarked.
    pub fn take_changed(&mut self) -> Vec<ExecutorName> {
        let changed = std::mem::take(&mut self.changed);
        for executor in &changed {
            if let Some(known) = self.all.get_mut(executor) {
                known.is_marked_changed = false;
            }
        }
        changed
    }

    /// Executors that have left a pool since the last call, each with that pool.
    pub fn take_departed(&mut self) -> Vec<(PoolName, ExecutorName)> {
        std::mem::take(&mut self.departed)
    }

    /// Replaces the registration of a known executor.
    pub fn update_registration(&mut self, registration: Registration) -> Option<&mut Executor> {
        let name = registration.executor.clone();
        let before = self.all.get(&name)?.registration.pool.clone();
        if before != registration.pool {
            self.leave_pool(&before, &name);
            let pool = registration.pool.clone();
            self.by_pool.entry(pool).or_default().insert(name.clone());
        }
        let fresh = registration.pool.clone();
        let known = self.get_mut(&name)?;
        known.registration = registration;
        if before != fresh
            && let Some(known) = self.all.get(&name)
        {
            for held in known.runs.values() {
                self.reserved.subtract(&before, held);
                self.reserved.add(&fresh, held);
            }
        }
        let known = self.all.get_mut(&name)?;
        Some(known)
    }

    /// Adds an executor, replacing one of the same name.
    pub fn insert(&mut self, mut executor: Executor) {
        let name = executor.registration.executor.clone();
        self.remove(&name);
        let pool = executor.registration.pool.clone();
        self.by_pool.entry(pool.clone()).or_default().insert(name.clone());
        for (task, held) in &executor.runs {
            charge(&mut self.usage, held);
            self.reserved.add(&pool, held);
            let entries = self.runs_by_job.entry(task.job.clone()).or_default();
            entries.insert((name.clone(), task.clone()));
        }
        executor.is_marked_changed = true;
        self.changed.push(name.clone());
        self.note_incarnation(&name);
        self.all.insert(name, executor);
    }

    /// Removes an executor and its runs.
    pub fn remove(&mut self, executor: &ExecutorName) {
        let Some(known) = self.all.remove(executor) else { return };
        let registered = incarnation::registered_name(executor);
        if self.latest_incarnations.get(registered) == Some(executor) {
            self.latest_incarnations.remove(registered);
        }
        if self.unconfirmed.get(registered) == Some(executor) {
            self.unconfirmed.remove(registered);
        }
        self.leave_pool(&known.registration.pool, executor);
        for (task, held) in &known.runs {
            discharge(&mut self.usage, held);
            self.reserved.subtract(&known.registration.pool, held);
            self.forget_run(executor, task);
        }
    }

    /// Adds a run that an executor has or may have.
    pub fn insert_run(&mut self, executor: &ExecutorName, task: &TaskKey, held: HeldRun) {
        self.drop_run(executor, task);
        let Some(known) = self.all.get_mut(executor) else { return };
        charge(&mut self.usage, &held);
        self.reserved.add(&known.registration.pool, &held);
        known.add_run(task.clone(), held);
        let entries = self.runs_by_job.entry(task.job.clone()).or_default();
        entries.insert((executor.clone(), task.clone()));
    }

    /// Marks a run as confirmed: the executor has accepted its start or listed it.
    pub fn confirm(&mut self, executor: &ExecutorName, task: &TaskKey) {
        let held = self.all.get_mut(executor).and_then(|known| known.runs.get_mut(task));
        let Some(held) = held.filter(|held| !held.confirmed) else { return };
        held.confirmed = true;
        if let Some(charge) = &held.charge {
            self.usage.confirm(&charge.caller);
        }
    }

    /// Removes the run of a task that an executor no longer has.
    pub fn drop_run(&mut self, executor: &ExecutorName, task: &TaskKey) -> Option<HeldRun> {
        let known = self.get_mut(executor)?;
        let held = known.remove_run(task)?;
        let pool = known.registration.pool.clone();
        discharge(&mut self.usage, &held);
        self.reserved.subtract(&pool, &held);
        self.forget_run(executor, task);
        Some(held)
    }

    fn note_incarnation(&mut self, executor: &ExecutorName) {
        let Some(born) = incarnation::started_at(executor) else { return };
        let latest = self.latest_incarnation(executor).and_then(incarnation::started_at);
        if latest.is_none_or(|latest| latest <= born) {
            self.latest_incarnations.insert(
                ExecutorName::from(incarnation::registered_name(executor)),
                executor.clone(),
            );
        }
    }

    fn forget_run(&mut self, executor: &ExecutorName, task: &TaskKey) {
        let Some(entries) = self.runs_by_job.get_mut(&task.job) else { return };
        entries.remove(&(executor.clone(), task.clone()));
        if entries.is_empty() {
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
