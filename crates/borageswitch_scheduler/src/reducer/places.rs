//! Executors on which the tasks of a step may be placed.

use std::{collections::BTreeMap, sync::Arc};

use borageswitch_types::names::ExecutorName;

use crate::{
    event::Now,
    job::{Size, Step},
    policy::{
        crash_attribution::SuspicionLevel,
        placement::{self, Candidate},
    },
    reducer::{Scheduler, executors::Executor, free_capacity::FreeCapacity},
    task::{StepKey, TaskKey},
};

/// An executor on which tasks of a step may be placed.
#[derive(Debug)]
struct Place {
    executor: ExecutorName,
    rack: Option<Arc<str>>,
    candidate: Candidate<usize>,
    /// How many more tasks of the step may be placed there.
    remaining: Option<usize>,
}

/// The executors on which tasks of one step may be placed.
///
/// During a load peak hundreds of tasks wait for a hundred hosts. What the tasks of a step have in
/// common is therefore determined once for all of them: doing it for each would take a third of the
/// leader's time, and a leader on a slow host would fall behind.
#[derive(Debug)]
pub(super) struct Places {
    places: Vec<Place>,
    lasting: bool,
    best_effort: bool,
}

impl Places {
    /// Assigns the best place to a task.
    pub(super) fn take(
        &mut self,
        size: &Size,
        suspicion_level: SuspicionLevel,
    ) -> Option<ExecutorName> {
        let open = self.places.iter().filter(|place| place.remaining != Some(0));
        let open = open.map(|place| place.candidate);
        let best = match suspicion_level {
            SuspicionLevel::Clear | SuspicionLevel::Suspect => placement::choose(size, open)?,
            SuspicionLevel::Isolated => placement::choose_isolated(size, open)?,
            SuspicionLevel::Poison => return None,
        };
        let place = &mut self.places[best];
        place.candidate.suspects += usize::from(suspicion_level != SuspicionLevel::Clear);
        place.candidate.tasks += 1;
        place.candidate.free = place.candidate.free.less(size);
        place.candidate.in_use = true;
        place.candidate.siblings += usize::from(self.best_effort);
        place.remaining = match suspicion_level {
            // Nothing is started beside an isolated task for a while.
            SuspicionLevel::Isolated => Some(0),
            _ => place.remaining.map(|remaining| remaining - 1),
        };
        let (executor, rack) = (place.executor.clone(), place.rack.clone());
        if self.lasting {
            let in_rack = self.places.iter_mut().filter(|place| place.rack == rack);
            in_rack.for_each(|place| place.candidate.rack_siblings += 1);
        }
        Some(executor)
    }
}

impl Scheduler {
    /// Whether a task of a step may run on an executor, regardless of free capacity: checks the
    /// label, the limit per host counting `planned` tasks besides those already there, and the
    /// advisor's permission.
    pub(super) fn may_run_on(
        &self,
        now: Now,
        key: &StepKey,
        step: &Step,
        executor: &ExecutorName,
        planned: usize,
    ) -> bool {
        let Some(known) = self.executors.get(executor) else { return false };
        let ticketed = self.ledger.jobs.get(&key.job).is_some_and(|job| self.needs_ticket(job));
        fits_labels(step, known)
            && step.max_per_host.is_none_or(|most| planned + siblings(known, key) < most as usize)
            && (!ticketed || self.advice.ticket(key, executor, now.time).is_some())
    }

    /// Collects the executors on which tasks of a step may be placed.
    pub(super) fn places(
        &self,
        now: Now,
        key: &StepKey,
        step: &Step,
        available: &FreeCapacity,
    ) -> Places {
        let size = reserved_size(step);
        let avoid = self.job_states.get(&key.job).and_then(|times| times.failed_on.as_ref());
        let counts_siblings = step.best_effort || step.max_per_host.is_some();
        let by_rack = self.siblings_by_rack(key, step);
        let tasks = self.ledger.suspects.range(key.task(0)..=key.task(u32::MAX));
        let isolated =
            tasks.into_iter().any(|(_, c)| SuspicionLevel::of(c) == SuspicionLevel::Isolated);
        let mut places = Vec::new();
        // Most hosts of a pool at its load peak are full, so filtering by free capacity first is
        // cheap.
        for (executor, free) in available.iter().filter(|(_, free)| free.holds(&size)) {
            let Some(known) = self.executors.get(executor) else { continue };
            if !self.may_run_on(now, key, step, executor, 0) {
                continue;
            }
            let existing = if counts_siblings { siblings(known, key) } else { 0 };
            let candidate = Candidate {
                id: places.len(),
                free: *free,
                suspects: self.suspects.count_on(executor),
                crash_prone: isolated && self.is_unsteady(now, executor),
                tasks: known.runs.len(),
                interferes: interferes(step, known),
                wastes_scarce: step.label.is_none()
                    && self.fleet.is_scarce(&known.registration.labels),
                preferred: is_near_data(step, known) && avoid != Some(executor),
                in_use: !known.runs.is_empty(),
                siblings: if step.best_effort { existing } else { 0 },
                rack_siblings: known
                    .registration
                    .rack()
                    .and_then(|rack| by_rack.get(rack).copied())
                    .unwrap_or(0),
            };
            places.push(Place {
                executor: executor.clone(),
                rack: known.registration.rack().cloned(),
                candidate,
                remaining: step.max_per_host.map(|most| (most as usize).saturating_sub(existing)),
            });
        }
        Places { places, lasting: step.lasting, best_effort: step.best_effort }
    }

    /// The number of tasks of the same step in each rack; only counted for lasting steps.
    fn siblings_by_rack(&self, key: &StepKey, step: &Step) -> BTreeMap<Arc<str>, usize> {
        let mut by_rack = BTreeMap::new();
        if !step.lasting {
            return by_rack;
        }
        let of_job = self.executors.runs_of(&key.job);
        for (executor, _) in of_job.filter(|(_, task)| task.step_key() == *key) {
            let rack = self.executors.get(executor).and_then(|known| known.registration.rack());
            if let Some(rack) = rack {
                *by_rack.entry(rack.clone()).or_default() += 1;
            }
        }
        by_rack
    }
}

/// The capacity that a task of a step reserves.
pub(super) fn reserved_size(step: &Step) -> Size {
    let cpu_milli = if step.best_effort { 0 } else { step.size.cpu_milli };
    Size { cpu_milli, ..step.size }
}

/// The number of tasks of a step on an executor.
pub(super) fn siblings(known: &Executor, key: &StepKey) -> usize {
    let of_step = |task: &&TaskKey| {
        task.step == key.step && task.occurrence == key.occurrence && task.job == key.job
    };
    let from = known.runs.range(key.task(0)..).map(|(task, _)| task);
    from.take_while(of_step).count()
}

/// Whether an executor has the label that a step requires.
pub(super) fn fits_labels(step: &Step, known: &Executor) -> bool {
    step.label.as_ref().is_none_or(|label| known.registration.has_label(label))
}

/// Whether a best-effort task would be placed beside one that serves users, or the reverse.
fn interferes(step: &Step, known: &Executor) -> bool {
    let serves = step.target_tail.is_some() && !step.best_effort;
    let mut others = known.runs.values();
    if step.best_effort {
        others.any(|held| held.target_tail.is_some() && !held.best_effort)
    } else {
        serves && others.any(|held| held.best_effort)
    }
}

fn is_near_data(step: &Step, known: &Executor) -> bool {
    step.data_rack.as_ref().is_none_or(|rack| known.registration.is_in_rack(rack))
}
