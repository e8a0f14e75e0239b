//! Lasting tasks for which their pool has no capacity, as decided by [`crate::policy::lasting`].

use std::{collections::BTreeMap, sync::Arc};

use borageswitch_types::names::PoolName;

use crate::{
    fleet::HostEntry,
    job::Size,
    policy::lasting::{self, HostCapacity, UnplacedTask},
    reducer::{Scheduler, hosts::Purpose, places::reserved_size, waiting::waiting_tasks_of},
    task::{StepKey, TaskKey},
};

impl Scheduler {
    /// The hosts that a pool's lasting tasks need besides its members, for waiting tasks and for
    /// those that cannot leave a host that is draining.
    pub(super) fn extra_hosts_for_lasting(
        &self,
        pool: &PoolName,
        members: &[&HostEntry],
        host: &Size,
    ) -> Vec<Option<Arc<str>>> {
        self.extra_hosts(&self.unplaced_lasting(pool), pool, members, host)
    }

    /// The hosts that a waiting gang needs besides the members of its pool.
    pub(super) fn extra_hosts_for_gang(
        &self,
        pool: &PoolName,
        members: &[&HostEntry],
        host: &Size,
    ) -> Vec<Option<Arc<str>>> {
        self.extra_hosts(&self.unplaced_gangs(pool), pool, members, host)
    }

    fn extra_hosts(
        &self,
        seekers: &[UnplacedTask<StepKey>],
        pool: &PoolName,
        members: &[&HostEntry],
        host: &Size,
    ) -> Vec<Option<Arc<str>>> {
        if seekers.is_empty() {
            return Vec::new();
        }
        let capacities = members.iter().filter_map(|entry| self.capacity_for_lasting(pool, entry));
        lasting::additional_hosts(seekers, capacities.collect(), host, self.fleet.hosts.len())
    }

    fn unplaced_lasting(&self, pool: &PoolName) -> Vec<UnplacedTask<StepKey>> {
        let mut tasks = self.undrainable_tasks(pool);
        for (name, job) in &self.ledger.jobs {
            // Few jobs are lasting, and this check is cheaper than the lookup of a job's pool.
            if job.submission.spec.is_lasting() && self.pool_of(name) == Some(pool) {
                tasks.extend(waiting_tasks_of(name, job));
            }
        }
        let mut feasible: BTreeMap<StepKey, bool> = BTreeMap::new();
        let seeker = |task: TaskKey| {
            let step = self.ledger.jobs.get(&task.job)?.step(task.step)?;
            let key = task.step_key();
            let is_feasible =
                feasible.entry(key.clone()).or_insert_with(|| self.is_feasible(pool, step));
            (step.lasting && *is_feasible).then(|| UnplacedTask {
                step: key,
                size: reserved_size(step),
                label: step.label.clone(),
                max_per_host: step.max_per_host,
            })
        };
        tasks.into_iter().filter_map(seeker).collect()
    }

    /// The capacity of a pool's member that its lasting tasks leave; a host that is still arriving
    /// is empty.
    fn capacity_for_lasting(
        &self,
        pool: &PoolName,
        entry: &HostEntry,
    ) -> Option<HostCapacity<StepKey>> {
        let labels = entry.labels.clone();
        // The platform lists a moving host in its new pool at once, without an executor. If the
        // host counted as having no capacity, each new list would cause another host to be fetched
        // until it has arrived.
        let withdrawal = self.fleet.withdrawals.get(&entry.host);
        let arriving = withdrawal.is_some_and(|w| w.purpose == Purpose::Move(pool.clone()));
        if arriving || entry.pool != *pool {
            return Some(HostCapacity { labels, free: entry.capacity, tasks: BTreeMap::new() });
        }
        let known = self.executor_on(entry).filter(|known| known.is_registered)?;
        if known.registration.draining {
            return None;
        }
        let mut remaining =
            HostCapacity { labels, free: known.registration.capacity, tasks: BTreeMap::new() };
        for (task, held) in known.runs.iter().filter(|(_, held)| held.lasting) {
            remaining.free = remaining.free.less(&held.size);
            *remaining.tasks.entry(task.step_key()).or_default() += 1;
        }
        Some(remaining)
    }
}
