//! Preempts short runs for lasting tasks.
//!
//! A lasting task, which serves its own users, may lose its host while its pool is full of short
//! tasks. If it waited for capacity to become free by chance, it would compete with hundreds of
//! short tasks that fit into smaller gaps, and its users would be without service for as long as
//! the load peak lasts.

use borageswitch_types::{
    Time,
    names::{ExecutorName, PoolName},
};

use crate::{
    event::Now,
    job::{Size, Step},
    reducer::{
        Scheduler,
        executors::{Executor, HeldRun, Phase},
        places::reserved_size,
    },
    task::TaskKey,
};

impl Scheduler {
    /// Stops the short runs with the least loss on one executor, so that a lasting task fits there.
    ///
    /// Does nothing while runs that are already being stopped will free enough capacity somewhere.
    pub(super) fn preempt_for(&mut self, now: Now, pool: &PoolName, task: &TaskKey, step: &Step) {
        let key = task.step_key();
        let size = reserved_size(step);
        let suitable: Vec<(&ExecutorName, &Executor)> = self
            .executors
            .of_pool(pool)
            .filter(|(_, known)| known.accepts_runs(now.time))
            .filter(|(executor, _)| !self.containment.has_probe(pool, executor))
            .filter(|(executor, _)| self.may_run_on(now, &key, step, executor, 0))
            .collect();
        if suitable.iter().any(|(_, known)| free_after_stops(known).holds(&size)) {
            return;
        }
        let cheapest = suitable
            .iter()
            .filter_map(|(executor, known)| {
                let victims = self.victims(known, &size, now.time)?;
                let loss: u64 = victims.iter().map(|(_, loss)| loss).sum();
                Some((loss, (*executor).clone(), victims))
            })
            .min_by_key(|(loss, _, _)| *loss);
        let Some((loss, executor, victims)) = cheapest else { return };
        self.log("room-made", task, || {
            format!("executor={executor} stopped={} lost_core_ms={loss}", victims.len())
        });
        for (victim, _) in victims {
            self.order_stop(now, &executor, &victim);
        }
    }

    /// The short runs to stop for `size` in ascending order of loss, each with the core-milliseconds
    /// that it has worked; `None` if they do not free enough.
    fn victims(&self, known: &Executor, size: &Size, now: Time) -> Option<Vec<(TaskKey, u64)>> {
        let loss = |held: &HeldRun| {
            let worked = held.work_time(now, self.took_over_at);
            held.size.times(worked.as_millis() as u64).cpu_milli / 1_000
        };
        let short = known.runs.iter().filter(|(_, h)| !h.lasting && h.phase == Phase::Active);
        let mut short: Vec<(&TaskKey, &HeldRun)> = short.collect();
        short.sort_by_key(|(_, held)| loss(held));
        let mut available = free_after_stops(known);
        let mut victims = Vec::new();
        for (task, held) in short {
            if available.holds(size) {
                break;
            }
            available += held.size;
            victims.push((task.clone(), loss(held)));
        }
        available.holds(size).then_some(victims)
    }
}

/// The free capacity once the ends of all runs that are being stopped or have ended are listed.
fn free_after_stops(known: &Executor) -> Size {
    let mut available = known.free();
    let ending = |held: &&HeldRun| matches!(held.phase, Phase::Stopping | Phase::Ended);
    for held in known.runs.values().filter(ending) {
        available += held.size;
    }
    available
}
