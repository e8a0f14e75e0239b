//! Places waiting tasks on executors.
//!
//! A pass handles one pool: its steps by urgency, and their waiting tasks. Capacity that a task
//! takes is unavailable for the rest of the pass.

use std::{collections::BTreeSet, time::Duration};

use borageswitch_types::names::{ExecutorName, PoolName};

use crate::{
    event::Now,
    job::Size,
    ledger::record::Record,
    policy::{
        crash_attribution::SuspicionLevel,
        last_chance::{self, Allowance},
        order::Urgency,
    },
    reducer::{
        Scheduler,
        executors::Phase,
        free_capacity::FreeCapacity,
        waiting::{WaitingOrder, WaitingStep},
    },
    task::TaskKey,
};

/// How long a lasting step waits for its next placement attempt after a failed one. Preemption
/// frees capacity within some hundred milliseconds; searching a pool of hundreds of hosts at each
/// decision until then would take much of a core when a rack with lasting tasks is lost during a
/// load peak.
const LASTING_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The steps that a pass places.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Round {
    /// All steps.
    All,
    /// Steps that can be on time, and those at their last chance.
    Urgent,
    /// The other ones.
    Late,
}

impl Round {
    fn includes(self, step: &WaitingStep) -> bool {
        match self {
            Round::All => true,
            Round::Urgent => !step.urgency.is_late(),
            Round::Late => step.urgency.is_late(),
        }
    }
}

/// The result of an attempt to place a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Placement {
    /// All tasks are placed, or wait for something other than capacity.
    Done,
    /// No executor has capacity for a task of the step, even without the step's other constraints.
    NoCapacity,
}

/// Task sizes for which no executor of a pool has capacity.
///
/// With a full pool and thousands of waiting tasks, most of a pass would otherwise go into checking
/// each host again for each step.
#[derive(Debug, Default)]
pub(super) struct UnplaceableSizes {
    sizes: Vec<Size>,
}

impl UnplaceableSizes {
    /// Whether a task of this size cannot fit because an equal or smaller one did not.
    pub(super) fn rules_out(&self, size: &Size) -> bool {
        self.sizes.iter().any(|unplaceable| size.holds(unplaceable))
    }

    pub(super) fn add(&mut self, size: Size) {
        self.sizes.retain(|unplaceable| !unplaceable.holds(&size));
        self.sizes.push(size);
    }
}

/// Splits the order into lasting steps and all others.
fn split_lasting(
    order: &WaitingOrder,
) -> (impl Iterator<Item = &WaitingStep>, impl Iterator<Item = &WaitingStep>) {
    (
        order.values().take_while(|step| step.urgency.is_lasting()),
        order.values().skip_while(|step| step.urgency.is_lasting()),
    )
}

impl Scheduler {
    /// Runs a placement pass for each pool in which something has changed.
    pub(super) fn place_waiting(&mut self, now: Now) {
        self.refresh_containment(now);
        let pools = std::mem::take(&mut self.dirty_pools);
        self.place_in_rounds(now, &pools);
        self.send_advice_request();
    }

    fn place_in_rounds(&mut self, now: Now, pools: &BTreeSet<PoolName>) {
        if !self.pending_starts.is_leader_slow(now.time) {
            self.place_in(now, pools, Round::All);
            return;
        }
        // Where starts are limited, late work of one pool must not take them from another pool.
        self.place_in(now, pools, Round::Urgent);
        // Takes what was placed out of the order: late steps at their last chance are in both rounds.
        self.update_waiting(now, false);
        self.place_in(now, pools, Round::Late);
    }

    fn place_in(&mut self, now: Now, pools: &BTreeSet<PoolName>, round: Round) {
        for pool in pools {
            let order = self.waiting.take(pool);
            if order.is_empty() {
                continue;
            }
            let mut available = self.free_capacity.take(pool);
            self.place_all(now, pool, &order, &mut available, round);
            self.free_capacity.put_back(pool, available);
            self.waiting.put_back(pool, order);
        }
    }

    fn place_all(
        &mut self,
        now: Now,
        pool: &PoolName,
        order: &WaitingOrder,
        available: &mut FreeCapacity,
        round: Round,
    ) {
        self.update_reservation(now, pool, order);
        let ahead = match round {
            Round::All | Round::Urgent => self.last_chance_steps(now, pool, order),
            Round::Late => Vec::new(),
        };
        let (first, rest) = split_lasting(order);
        let first = first.filter(|step| round.includes(step));
        let rest = rest.filter(|step| {
            round.includes(step) && !ahead.iter().any(|other| other.key == step.key)
        });
        let mut contained_capacity = self.place_probes(now, pool, order, available);
        let mut unplaceable = UnplaceableSizes::default();
        for step in first.chain(ahead.iter()).chain(rest) {
            if self.is_at_quota(step) {
                self.log_at_quota(now, step);
                if step.gang {
                    self.stop_partial_gang(now, step);
                }
                continue;
            }
            if self.pending_starts.remaining() == 0 {
                self.pending_starts.add_blocked_pool(now.time, pool);
                break;
            }
            let may_use_reserved =
                step.urgency.is_lasting() || self.has_reservation(pool, &step.key);
            if may_use_reserved {
                if let Some(step) = self.proven_part(pool, step) {
                    self.place_with_reserved(now, pool, &step, available);
                }
                continue;
            }
            if unplaceable.rules_out(&step.size) {
                if step.gang {
                    self.gang_without_capacity(now, pool, step);
                }
                continue;
            }
            let Some(step) = self.proven_part(pool, step) else { continue };
            let mut reserved_capacity = self.take_reserved(pool, available);
            if self.place_step(now, pool, &step, available) == Placement::NoCapacity {
                unplaceable.add(step.size);
            }
            available.append(&mut reserved_capacity);
        }
        available.append(&mut contained_capacity);
    }

    /// Places a step that may use all free capacity, including what is reserved. A lasting step
    /// that found none is retried only after [`LASTING_RETRY_INTERVAL`].
    fn place_with_reserved(
        &mut self,
        now: Now,
        pool: &PoolName,
        step: &WaitingStep,
        available: &mut FreeCapacity,
    ) {
        let last_miss = self.lasting_unplaced.get(&step.key);
        if last_miss.is_some_and(|at| now.time.since(*at) < LASTING_RETRY_INTERVAL) {
            return;
        }
        self.lasting_unplaced.remove(&step.key);
        self.place_step(now, pool, step, available);
    }

    /// The late steps that must run now to be of use, as far as the allowance for them permits.
    fn last_chance_steps(
        &self,
        now: Now,
        pool: &PoolName,
        order: &WaitingOrder,
    ) -> Vec<WaitingStep> {
        let contended = self.waiting.on_time_set.is_contended(pool);
        let is_too_late = |step: &WaitingStep| {
            contended && !last_chance::is_certain(now.time, step.remaining, step.useful_until)
        };
        let due =
            order.values().filter(|step| step.due && step.feasible && !self.is_at_quota(step));
        let due: Vec<&WaitingStep> = due.filter(|step| !is_too_late(step)).collect();
        if due.is_empty() {
            return Vec::new();
        }
        let (mut total, mut late) = (0_u64, 0_u64);
        for (_, known) in self.executors.of_pool(pool) {
            total = total.saturating_add(known.registration.capacity.cpu_milli);
            let runs = known.runs.values().filter(|held| held.late);
            late = runs.fold(late, |late, held| late.saturating_add(held.size.cpu_milli));
        }
        let mut allowance =
            if contended { Allowance::contended(total, late) } else { Allowance::new(total, late) };
        let granted = due.into_iter().filter(|step| {
            allowance.try_take(step.size.times(step.waiting.len() as u64).cpu_milli)
        });
        let ahead = granted
            .map(|step| WaitingStep { urgency: step.urgency.as_last_chance(), ..step.clone() });
        ahead.collect()
    }

    pub(super) fn place_step(
        &mut self,
        now: Now,
        pool: &PoolName,
        waiting: &WaitingStep,
        available: &mut FreeCapacity,
    ) -> Placement {
        let Some(job) = self.ledger.jobs.get(&waiting.key.job) else { return Placement::Done };
        let Some(step) = job.step(waiting.key.step).cloned() else { return Placement::Done };
        let needs_ticket = self.needs_ticket(job);
        if step.gang && self.failed_starts.is_gang_backing_off(now.time, waiting) {
            return Placement::Done;
        }
        if step.gang {
            let placed = self.place_gang(now, pool, waiting, &step, available);
            if needs_ticket && !placed {
                self.propose_advice(now, pool, waiting, &step, available);
            }
            return Placement::Done;
        }
        let size = waiting.size;
        let mut places = self.places(now, &waiting.key, &step, available);
        let mut unplaced_isolated = None;
        let limit = self.startable(waiting).min(self.pending_starts.remaining());
        for &index in waiting.waiting.iter().take(limit) {
            let task = waiting.key.task(index);
            let suspicion_level = self.suspicion_level(&task);
            if suspicion_level == SuspicionLevel::Poison
                || self.awaits_calm(now, pool, &task)
                || self.failed_starts.is_backing_off(now.time, &task)
            {
                continue;
            }
            let Some(executor) = places.take(&size, suspicion_level) else {
                if suspicion_level == SuspicionLevel::Isolated {
                    // This task waits for a host without suspects; the others may still fit.
                    unplaced_isolated = Some(task);
                    continue;
                }
                if needs_ticket {
                    self.propose_advice(now, pool, waiting, &step, available);
                }
                if step.lasting {
                    self.preempt_for(now, pool, &task, &step);
                    self.lasting_unplaced.insert(waiting.key.clone(), now.time);
                    return Placement::Done;
                }
                // The other tasks of the step have the same size.
                let nowhere = !available.values().any(|free| free.holds(&size));
                return if nowhere { Placement::NoCapacity } else { Placement::Done };
            };
            if suspicion_level == SuspicionLevel::Isolated {
                if self.awaits_answer(now, &executor, &task) {
                    continue;
                }
                available.remove(&executor);
            } else if let Some(left) = available.get_mut(&executor) {
                *left = left.less(&size);
            }
            self.assign(now, &executor, &task, None);
            self.mark_late(&executor, &task, waiting.urgency);
            if waiting.beyond {
                self.shares.borrow(pool, waiting);
            }
        }
        if let Some(task) = unplaced_isolated.filter(|_| step.lasting) {
            self.preempt_for(now, pool, &task, &step);
            self.lasting_unplaced.insert(waiting.key.clone(), now.time);
        }
        Placement::Done
    }

    fn mark_late(&mut self, executor: &ExecutorName, task: &TaskKey, urgency: Urgency) {
        let known = self.executors.get_mut(executor);
        if let Some(held) = known.and_then(|known| known.runs.get_mut(task)) {
            held.late = urgency.is_late();
        }
    }

    /// Assigns a task to an executor; the start is sent once the assignment is stored.
    pub(super) fn assign(
        &mut self,
        now: Now,
        executor: &ExecutorName,
        task: &TaskKey,
        run: Option<u32>,
    ) {
        let Some(state) = self.ledger.task(task) else { return };
        if !state.is_waiting() {
            self.log("placed-again", task, || format!("executor={executor}"));
            return;
        }
        let run = run.unwrap_or(state.last_run + 1);
        let Some(held) = self.held_for(now.time, task, run, Phase::Recorded) else { return };
        self.executors.insert_run(executor, task, held);
        let Some(known) = self.executors.get_mut(executor) else { return };
        known.circuit_breaker.record_placement(now.time);
        self.pending_starts.begin(&known.registration.pool, task, run);
        self.track_suspect(now, executor, task);
        self.note_start_in_unrest(now, executor, task, run);
        self.record(Record::Assigned { task: task.clone(), run, executor: executor.clone() });
        self.outbox.defer_start(executor.clone(), task.clone(), run);
    }
}

#[cfg(test)]
mod tests;
