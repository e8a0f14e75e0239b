//! Marks the waiting jobs that cannot all be on time, by [`crate::policy::on_time_set`].

use std::{collections::BTreeSet, time::Duration};

use borageswitch_types::names::{JobName, PoolName};

use crate::{
    event::Now,
    policy::on_time_set::{self, Candidate, Capacity, Load},
    reducer::{Scheduler, quotas::QuotaAllocation, waiting::WaitingStep},
};

/// An occurrence of a job.
pub(super) type OccurrenceKey = (JobName, u32);

/// The occurrences that were chosen to be on time, and the others; both are empty while all fit.
#[derive(Debug, Default)]
pub(super) struct OnTimeSet {
    chosen: BTreeSet<OccurrenceKey>,
    surplus: BTreeSet<OccurrenceKey>,
    /// The pools in which not all fit.
    contended: BTreeSet<PoolName>,
}

impl OnTimeSet {
    /// Whether not all jobs of a pool that could be on time fit.
    pub(super) fn is_contended(&self, pool: &PoolName) -> bool {
        self.contended.contains(pool)
    }

    /// Whether an occurrence is treated as late until there is room.
    pub(super) fn is_surplus(&self, job: &JobName, occurrence: u32) -> bool {
        !self.surplus.is_empty() && self.surplus.contains(&(job.clone(), occurrence))
    }
}

impl Scheduler {
    /// Chooses the jobs of each pool that are to be on time.
    pub(super) fn update_on_time_sets(&mut self, now: Now) {
        let slow = self.pending_starts.is_leader_slow(now.time);
        let limited = self.limits.refuses_jobs || slow;
        if !limited && self.waiting.on_time_set.contended.is_empty() {
            return;
        }
        let mut fresh = OnTimeSet::default();
        // In a pool that is divided among callers, the shares decide whose jobs go first.
        let undivided = self.waiting.pools().filter(|pool| !self.shares.are_in_force(pool));
        let pools: Vec<PoolName> = undivided.filter(|_| limited).cloned().collect();
        for pool in pools {
            let candidates = self.candidates(&pool);
            if candidates.is_empty() {
                continue;
            }
            self.pending_starts.record_waiting(now.time, &pool);
            let capacity = Capacity {
                drain: self.limits.refuses_jobs.then(|| self.drain_of(&pool, 0.0, 1.0)),
                starts_per_s: self.pending_starts.rate_of(now.time, &pool).filter(|_| slow),
                delay: if slow { self.run_overhead.expected() } else { Duration::ZERO },
            };
            let views: Vec<Candidate> = candidates.iter().map(|(_, view)| *view).collect();
            let Some(kept) = on_time_set::choose(now.time, &capacity, &views) else { continue };
            fresh.contended.insert(pool);
            for ((key, _), kept) in candidates.into_iter().zip(kept) {
                let set = if kept { &mut fresh.chosen } else { &mut fresh.surplus };
                set.insert(key);
            }
        }
        let before = std::mem::replace(&mut self.waiting.on_time_set, fresh);
        let changed = before.surplus.symmetric_difference(&self.waiting.on_time_set.surplus);
        let changed: Vec<JobName> = changed.map(|(job, _)| job.clone()).collect();
        changed.iter().for_each(|job| self.waiting.mark_stale(job));
    }

    /// The waiting occurrences of a pool that can be on time, in the order in which they are
    /// served.
    fn candidates(&self, pool: &PoolName) -> Vec<(OccurrenceKey, Candidate)> {
        let of_pool = self.waiting.of_pool(pool);
        let mut steps: Vec<&WaitingStep> =
            of_pool.filter(|s| s.can_be_on_time && s.feasible && !s.beyond).collect();
        // Occurrences that were not chosen are among the late ones.
        steps.sort_by_key(|step| (step.urgency.priority(), step.deadline, &step.key));
        let mut allocation = self.quota_allocation();
        let mut candidates: Vec<(OccurrenceKey, Candidate)> = Vec::new();
        for step in steps {
            let tasks =
                step.waiting.len() as f64 * self.startable_part(pool, step, &mut allocation);
            let load = Load { work: step.task_core_seconds * tasks, tasks };
            if load.work <= 0.0 {
                continue;
            }
            let same = |key: &OccurrenceKey| key.0 == step.key.job && key.1 == step.key.occurrence;
            if let Some((_, last)) = candidates.last_mut().filter(|(key, _)| same(key)) {
                last.load += load;
                continue;
            }
            let key = (step.key.job.clone(), step.key.occurrence);
            let WaitingStep { objective, deadline, remaining, .. } = *step;
            let chosen = self.waiting.on_time_set.chosen.contains(&key);
            candidates.push((key, Candidate { objective, deadline, remaining, load, chosen }));
        }
        candidates
    }

    /// The part of a step's waiting tasks for which its caller's quota leaves room. The others are
    /// not ahead of anybody.
    fn startable_part<'a>(
        &'a self,
        pool: &'a PoolName,
        step: &WaitingStep,
        allocation: &mut QuotaAllocation<'a>,
    ) -> f64 {
        if step.charge.is_none() {
            return 1.0;
        }
        let Some(job) = self.ledger.jobs.get(&step.key.job) else { return 0.0 };
        let Some(spec) = job.step(step.key.step) else { return 0.0 };
        let tasks = step.waiting.len() as u64;
        allocation.take(job, spec, pool, tasks) as f64 / tasks.max(1) as f64
    }
}
