//! Lasting tasks that have no place in their pool; the decision is in [`crate::policy::lasting`].

use std::{collections::BTreeMap, sync::Arc};

use borageswitch_types::names::PoolName;

use crate::{
    fleet::HostEntry,
    job::Size,
    policy::lasting::{self, HostCapacity, UnplacedTask},
    reducer::{Scheduler, hosts::Purpose, places::reserved, waiting::waiting_tasks_of},
    task::{StepKey, TaskKey},
};

impl Scheduler {
    /// The hosts that a pool's lasting tasks need besides its members: those that wait, and those
    /// that cannot leave a host that is being emptied.
    pub(super) fn hosts_for_lasting(
        &self,
        pool: &PoolName,
        members: &[&HostEntry],
        host: &Size,
    ) -> Vec<Option<Arc<str>>> {
        self.hosts_for(&self.lasting_seekers(pool), pool, members, host)
    }

    /// The hosts that a waiting gang needs besides the members of its pool.
    pub(super) fn hosts_for_gang(
        &self,
        pool: &PoolName,
        members: &[&HostEntry],
        host: &Size,
    ) -> Vec<Option<Arc<str>>> {
        self.hosts_for(&self.gang_seekers(pool), pool, members, host)
    }

    fn hosts_for(
        &self,
        seekers: &[UnplacedTask<StepKey>],
        pool: &PoolName,
        members: &[&HostEntry],
        host: &Size,
    ) -> Vec<Option<Arc<str>>> {
        if seekers.is_empty() {
            return Vec::new();
        }
        let rooms = members.iter().filter_map(|entry| self.lasting_room(pool, entry));
        lasting::additional_hosts(seekers, rooms.collect(), host)
    }

    fn lasting_seekers(&self, pool: &PoolName) -> Vec<UnplacedTask<StepKey>> {
        let mut tasks = self.stuck_tasks(pool);
        for (name, job) in &self.ledger.jobs {
            // Few jobs last, and to tell so is cheaper than to find a job's pool.
            if job.submission.spec.is_lasting() && self.pool_of(name) == Some(pool) {
                tasks.extend(waiting_tasks_of(name, job));
            }
        }
        let seeker = |task: TaskKey| {
            let step = self.ledger.jobs.get(&task.job)?.step(task.step)?;
            step.lasting.then(|| UnplacedTask {
                step: task.step_key(),
                size: reserved(step),
                label: step.label.clone(),
                max_per_host: step.max_per_host,
            })
        };
        tasks.into_iter().filter_map(seeker).collect()
    }

    /// What a member of a pool has left beside its lasting tasks; a host on its way is empty.
    fn lasting_room(&self, pool: &PoolName, entry: &HostEntry) -> Option<HostCapacity<StepKey>> {
        let labels = entry.labels.clone();
        // The platform lists a host in its new pool as soon as it moves, without an executor. Taken
        // for one without room, it would be sent for again with each list until it has come.
        let withdrawal = self.fleet.withdrawals.get(&entry.host);
        let comes = withdrawal.is_some_and(|w| w.purpose == Purpose::Move(pool.clone()));
        if comes || entry.pool != *pool {
            return Some(HostCapacity { labels, free: entry.capacity, tasks: BTreeMap::new() });
        }
        let known = self.executor_on(entry).filter(|known| known.is_registered)?;
        if known.registration.draining {
            return None;
        }
        let mut room =
            HostCapacity { labels, free: known.registration.capacity, tasks: BTreeMap::new() };
        for (task, held) in known.runs.iter().filter(|(_, held)| held.lasting) {
            room.free = room.free.less(&held.size);
            *room.tasks.entry(task.step_key()).or_default() += 1;
        }
        Some(room)
    }
}
