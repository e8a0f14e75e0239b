//! Places probes and suspects in a pool with contained groups.

use std::{borrow::Cow, cmp::Reverse, time::Duration};

use borageswitch_types::{
    Time,
    names::{ExecutorName, PoolName},
};

use crate::{
    event::Now,
    policy::{
        crash_attribution::SuspicionLevel,
        crash_containment::{self, MAX_JOBS_PER_EXECUTOR},
        order::Urgency,
    },
    reducer::{
        Scheduler,
        containment::Probe,
        free_capacity::FreeCapacity,
        pass::UnplaceableSizes,
        places::reserved_size,
        waiting::{WaitingOrder, WaitingStep},
    },
    task::TaskKey,
};

/// How long a suspect waits behind tasks with less evidence against them, and any probe for one of
/// the few executors. Without an end, a stream of new jobs or of crashes would keep it waiting for
/// ever.
const SUSPECT_PATIENCE: Duration = Duration::from_secs(5);

/// A task that is to be placed as a probe; all members of a gang.
#[derive(Debug)]
struct Candidate {
    /// The evidence against it, in thousandths of a power of ten.
    evidence: u32,
    urgency: Urgency,
    step: WaitingStep,
    time: Duration,
    /// It has waited for so long that the limit on executors does not apply to it.
    overdue: bool,
}

impl Scheduler {
    /// Whether groups of a pool are contained.
    pub(in crate::reducer) fn is_contained(&self, pool: &PoolName) -> bool {
        let contained = self.containment.pools.get(pool);
        contained.is_some_and(|contained| contained.groups.is_active())
    }

    /// Places probes and suspects, and returns the free capacity of executors that all other tasks
    /// must avoid.
    pub(in crate::reducer) fn place_probes(
        &mut self,
        now: Now,
        pool: &PoolName,
        order: &WaitingOrder,
        available: &mut FreeCapacity,
    ) -> FreeCapacity {
        if !self.containment.pools.contains_key(pool) {
            return FreeCapacity::new();
        }
        let mut reserved = self.take_reserved(pool, available);
        if self.is_contained(pool) {
            let mut unplaceable = UnplaceableSizes::default();
            for candidate in self.probe_candidates(now, pool, order) {
                if self.pending_starts.remaining() == 0 {
                    break;
                }
                if !candidate.overdue && !self.has_probe_slot(pool) {
                    continue;
                }
                if unplaceable.rules_out(&candidate.step.size) {
                    continue;
                }
                let may_use_reserved = self.has_reservation(pool, &candidate.step.key);
                if may_use_reserved {
                    available.append(&mut reserved);
                }
                if !self.place_probe(now, pool, &candidate, available) && !candidate.step.gang {
                    unplaceable.add(candidate.step.size);
                }
                if may_use_reserved {
                    reserved = self.take_reserved(pool, available);
                }
            }
        }
        available.append(&mut reserved);
        let Some(contained) = self.containment.pools.get(pool) else { return reserved };
        contained.probes.keys().filter_map(|executor| available.remove_entry(executor)).collect()
    }

    /// The part of a step that is placed like any other work: neither unproven nor suspected.
    pub(in crate::reducer) fn proven_part<'a>(
        &self,
        pool: &PoolName,
        step: &'a WaitingStep,
    ) -> Option<Cow<'a, WaitingStep>> {
        if !self.is_contained(pool) || step.urgency.is_lasting() {
            return Some(Cow::Borrowed(step));
        }
        if self.needed_probe(pool, &step.key.job).is_some() {
            return None;
        }
        let is_suspect = |index: &u32| self.is_suspect(&step.key.task(*index));
        if !step.waiting.iter().any(is_suspect) {
            return Some(Cow::Borrowed(step));
        }
        if step.gang {
            return None;
        }
        let waiting: Vec<u32> =
            step.waiting.iter().copied().filter(|index| !is_suspect(index)).collect();
        (!waiting.is_empty()).then(|| Cow::Owned(WaitingStep { waiting, ..step.clone() }))
    }

    fn is_suspect(&self, task: &TaskKey) -> bool {
        self.suspicion_level(task) != SuspicionLevel::Clear
    }

    fn probe_executors_left(&self, pool: &PoolName) -> usize {
        let Some(contained) = self.containment.pools.get(pool) else { return 0 };
        let registered =
            self.executors.of_pool(pool).filter(|(_, known)| known.is_registered).count();
        // The hosts of crashed executors come back.
        let most = crash_containment::max_probe_executors(registered + contained.lost.len());
        most.saturating_sub(contained.probes.len() + contained.lost.len())
    }

    fn has_probe_slot(&self, pool: &PoolName) -> bool {
        let Some(contained) = self.containment.pools.get(pool) else { return false };
        contained.probes.values().any(|tasks| tasks.len() < MAX_JOBS_PER_EXECUTOR)
            || self.probe_executors_left(pool) > 0
    }

    /// The waiting probes and suspects: those with the least evidence first, then the most urgent.
    fn probe_candidates(&self, now: Now, pool: &PoolName, order: &WaitingOrder) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for step in order.values().filter(|step| !step.urgency.is_lasting()) {
            let needed = self.needed_probe(pool, &step.key.job);
            let is_suspect = |index: &u32| self.is_suspect(&step.key.task(*index));
            let awaits_calm = |index: &u32| self.awaits_calm(now, pool, &step.key.task(*index));
            if step.gang && step.waiting.iter().any(awaits_calm) {
                continue;
            }
            let suspects = step.waiting.iter().copied().filter(is_suspect);
            let suspects: Vec<u32> = suspects.filter(|index| !awaits_calm(index)).collect();
            if needed.is_none() && suspects.is_empty() {
                continue;
            }
            let longest = self.containment.pools[pool].groups.longest_probe_time();
            let candidate = |waiting: Vec<u32>| Candidate {
                evidence: waiting
                    .iter()
                    .map(|&index| self.evidence_rank(now, &step.key.task(index)))
                    .max()
                    .unwrap_or(0),
                urgency: step.urgency,
                overdue: waiting.iter().any(|&index| self.is_overdue(now, step, index)),
                step: WaitingStep { waiting, ..step.clone() },
                time: needed.unwrap_or(longest),
            };
            if step.gang {
                candidates.push(candidate(step.waiting.clone()));
            } else if needed.is_none() {
                candidates.extend(suspects.into_iter().map(|index| candidate(vec![index])));
            } else if self.executors.runs_of(&step.key.job).next().is_none() {
                // A crash under another task of the same job would tell less than a further one under
                // the task that is suspected most.
                let rank = |index: &&u32| {
                    let crashes = self.ledger.crashes_of(&step.key.task(**index));
                    let evidence: u32 = crashes.iter().map(|crash| crash.evidence).sum();
                    Reverse((evidence, crashes.len()))
                };
                let first = step.waiting.iter().min_by_key(rank);
                let first = first.filter(|index| !awaits_calm(index));
                candidates.extend(first.map(|&index| candidate(vec![index])));
            }
        }
        candidates.sort_by_key(|candidate| (candidate.evidence, candidate.urgency));
        candidates
    }

    /// Whether a task has waited for long since its job was accepted and since the last crash under
    /// it.
    fn is_overdue(&self, now: Now, step: &WaitingStep, index: u32) -> bool {
        let accepted = step.deadline.since(Time::ZERO).saturating_sub(step.objective);
        let waited = now.time.since(Time::ZERO).saturating_sub(accepted);
        let last = self.ledger.crashes_of(&step.key.task(index)).last();
        let since_crash = last.map_or(Duration::MAX, |crash| {
            Duration::from_millis(now.wall.0.saturating_sub(crash.at.0))
        });
        waited.min(since_crash) >= SUSPECT_PATIENCE
    }

    /// The evidence against a task, as it counts for the order of probes.
    fn evidence_rank(&self, now: Now, task: &TaskKey) -> u32 {
        let crashes = self.ledger.crashes_of(task);
        let Some(last) = crashes.last() else { return 0 };
        let waited = Duration::from_millis(now.wall.0.saturating_sub(last.at.0));
        if waited >= SUSPECT_PATIENCE {
            return 0;
        }
        crashes.iter().map(|crash| crash.evidence).sum()
    }

    /// Places a probe on an executor with probes, or else on one that is not used yet. Returns
    /// whether there was capacity.
    fn place_probe(
        &mut self,
        now: Now,
        pool: &PoolName,
        candidate: &Candidate,
        available: &mut FreeCapacity,
    ) -> bool {
        let step = &candidate.step;
        // Another step of the same job may have been placed in this pass.
        let unproven = self.needed_probe(pool, &step.key.job).is_some();
        if unproven && !step.gang && self.executors.runs_of(&step.key.job).next().is_some() {
            return true;
        }
        let is_suspect = step.waiting.iter().any(|&index| self.is_suspect(&step.key.task(index)));
        if step.gang {
            if self.probe_executors_left(pool) == 0 && !candidate.overdue {
                return true;
            }
            self.place_step(now, pool, step, available);
            return self.track_probes(pool, candidate);
        }
        // A crash of a suspect that runs without other probes is clear evidence, and no other job
        // suffers from it.
        let mut usable = Vec::new();
        if !is_suspect {
            usable = self.used_probe_executors(pool, candidate, available);
        }
        if usable.is_empty() && (candidate.overdue || self.probe_executors_left(pool) > 0) {
            usable.extend(self.unused_executor(now, pool, candidate, available));
        }
        if usable.is_empty() {
            return false;
        }
        let mut chosen: FreeCapacity =
            usable.iter().filter_map(|executor| available.remove_entry(executor)).collect();
        self.place_step(now, pool, step, &mut chosen);
        available.append(&mut chosen);
        self.track_probes(pool, candidate)
    }

    /// The executors with probes of new jobs that have capacity for another one.
    fn used_probe_executors(
        &self,
        pool: &PoolName,
        candidate: &Candidate,
        available: &FreeCapacity,
    ) -> Vec<ExecutorName> {
        let Some(contained) = self.containment.pools.get(pool) else { return Vec::new() };
        let open = contained.probes.iter().filter(|(executor, tasks)| {
            tasks.len() < MAX_JOBS_PER_EXECUTOR
                && available.get(*executor).is_some_and(|free| free.holds(&candidate.step.size))
                && self.suspects.count_on(executor) == 0
        });
        open.map(|(executor, _)| executor.clone()).collect()
    }

    /// The executor without probes where the fewest runs are lost if it crashes.
    fn unused_executor(
        &self,
        now: Now,
        pool: &PoolName,
        candidate: &Candidate,
        available: &FreeCapacity,
    ) -> Option<ExecutorName> {
        let key = &candidate.step.key;
        let step = self.ledger.jobs.get(&key.job)?.step(key.step)?;
        let size = reserved_size(step);
        let usable = available.iter().filter(|(executor, free)| {
            free.holds(&size)
                && !self.containment.has_probe(pool, executor)
                && self.may_run_on(now, key, step, executor, 0)
        });
        let best = usable.min_by_key(|(executor, free)| {
            let runs = self.executors.get(executor).map_or(0, |known| known.runs.len());
            (self.suspects.count_on(executor), runs, Reverse(free.cpu_milli))
        });
        best.map(|(executor, _)| executor.clone())
    }

    /// Tracks the runs of a candidate that were placed. Returns whether there are any.
    fn track_probes(&mut self, pool: &PoolName, candidate: &Candidate) -> bool {
        let mut placed = false;
        for &index in &candidate.step.waiting {
            let task = candidate.step.key.task(index);
            let assigned = self.ledger.task(&task).and_then(|state| state.assigned.clone());
            let Some(assigned) = assigned else { continue };
            let Some(contained) = self.containment.pools.get_mut(pool) else { continue };
            let probe = Probe { run: assigned.run, time: candidate.time };
            contained.probes.entry(assigned.executor).or_default().insert(task, probe);
            placed = true;
        }
        placed
    }
}
