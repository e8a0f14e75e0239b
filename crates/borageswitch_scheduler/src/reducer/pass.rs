//! Waiting tasks find hosts.
//!
//! One pass looks at a pool: its jobs by urgency, their unblocked steps, their waiting tasks. Room
//! that a task takes is gone for the rest of the pass.

use std::time::Duration;

use borageswitch_types::names::{ExecutorName, PoolName};

use crate::{
    event::Now,
    job::Size,
    ledger::record::Record,
    policy::{crash_attribution::SuspicionLevel, last_chance::Allowance, order::Urgency},
    reducer::{
        Scheduler,
        executors::Phase,
        rooms::Room,
        waiting::{Order, WaitingStep},
    },
    task::TaskKey,
};

/// How long after a miss a lasting step is tried again. Room is made for it within some hundred
/// milliseconds; to look through a pool of hundreds of hosts at each decision until then would take
/// a good part of a core where a rack with lasting tasks is lost in a rush.
const LASTING_PAUSE: Duration = Duration::from_millis(20);

/// What came of an attempt to place a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Placed {
    /// All of it has a place, or waits for something else.
    Done,
    /// No executor has room for one of its tasks, whatever else the step asks for.
    NoRoom,
}

/// Sizes for which no executor of a pool has room.
///
/// With a pool full and thousands of tasks waiting, most of a pass would go into asking each host
/// again for each step.
#[derive(Debug, Default)]
struct Full {
    sizes: Vec<Size>,
}

impl Full {
    /// Whether there is no room for a task of this size for certain.
    fn is_certain(&self, size: &Size) -> bool {
        self.sizes.iter().any(|full| size.holds(full))
    }

    fn note(&mut self, size: Size) {
        self.sizes.retain(|full| !full.holds(&size));
        self.sizes.push(size);
    }
}

/// The steps that last, and all others.
fn split_lasting(
    order: &Order,
) -> (impl Iterator<Item = &WaitingStep>, impl Iterator<Item = &WaitingStep>) {
    (
        order.values().take_while(|step| step.urgency.is_lasting()),
        order.values().skip_while(|step| step.urgency.is_lasting()),
    )
}

impl Scheduler {
    /// Places what waits in the pools in which something has changed.
    pub(super) fn place_waiting(&mut self, now: Now) {
        for pool in std::mem::take(&mut self.stirred) {
            let order = self.waiting.take(&pool);
            if order.is_empty() {
                continue;
            }
            let mut room = self.rooms.take(&pool);
            self.place_all(now, &pool, &order, &mut room);
            self.rooms.put_back(&pool, room);
            self.waiting.put_back(&pool, order);
        }
    }

    fn place_all(&mut self, now: Now, pool: &PoolName, order: &Order, room: &mut Room) {
        self.renew_kept_room(now, pool, order);
        let ahead = self.let_ahead(pool, order);
        let (first, rest) = split_lasting(order);
        let rest = rest.filter(|step| !ahead.iter().any(|other| other.key == step.key));
        let mut full = Full::default();
        for step in first.chain(ahead.iter()).chain(rest) {
            if self.is_at_quota(step) {
                self.tell_at_quota(now, step);
                if step.gang {
                    self.stop_incomplete(now, step);
                }
                continue;
            }
            if self.starting.left() == 0 {
                self.starting.hold_back(pool);
                break;
            }
            let own = step.urgency.is_lasting() || self.has_kept_room(pool, &step.key);
            if own {
                self.place_own(now, pool, step, room);
                continue;
            }
            if full.is_certain(&step.size) {
                if step.gang {
                    self.gang_without_room(now, pool, step);
                }
                continue;
            }
            let mut kept = self.take_kept_room(pool, room);
            if self.place_step(now, pool, step, room) == Placed::NoRoom {
                full.note(step.size);
            }
            room.append(&mut kept);
        }
    }

    /// Places a step that may use all room there is. A lasting one that found none is tried again
    /// only after a while.
    fn place_own(&mut self, now: Now, pool: &PoolName, step: &WaitingStep, room: &mut Room) {
        let rests = self.lasting_missed.get(&step.key);
        if rests.is_some_and(|at| now.time.since(*at) < LASTING_PAUSE) {
            return;
        }
        self.lasting_missed.remove(&step.key);
        self.place_step(now, pool, step, room);
    }

    /// The late steps that must run now and may go ahead of all others.
    fn let_ahead(&self, pool: &PoolName, order: &Order) -> Vec<WaitingStep> {
        let due = order.values().filter(|step| step.due && !self.is_at_quota(step));
        let due: Vec<&WaitingStep> = due.collect();
        if due.is_empty() {
            return Vec::new();
        }
        let (mut whole, mut late) = (0, 0);
        for (_, known) in self.executors.of_pool(pool) {
            whole += known.registration.capacity.cpu_milli;
            let runs = known.runs.values().filter(|held| held.late);
            late += runs.map(|held| held.size.cpu_milli).sum::<u64>();
        }
        let mut allowance = Allowance::new(whole, late);
        let granted = due
            .into_iter()
            .filter(|step| allowance.try_take(step.size.cpu_milli * step.waiting.len() as u64));
        let ahead = granted
            .map(|step| WaitingStep { urgency: step.urgency.as_last_chance(), ..step.clone() });
        ahead.collect()
    }

    fn place_step(
        &mut self,
        now: Now,
        pool: &PoolName,
        waiting: &WaitingStep,
        room: &mut Room,
    ) -> Placed {
        let Some(job) = self.ledger.jobs.get(&waiting.key.job) else { return Placed::Done };
        let Some(step) = job.step(waiting.key.step).cloned() else { return Placed::Done };
        let needs_ticket = self.needs_ticket(job);
        if step.gang && self.failed_starts.is_gang_backing_off(now.time, waiting) {
            return Placed::Done;
        }
        if step.gang {
            let placed = self.place_gang(now, pool, waiting, &step, room);
            if needs_ticket && !placed {
                self.request_advice(now, &waiting.key, &step, room);
            }
            return Placed::Done;
        }
        let size = waiting.size;
        let mut places = self.places(now, &waiting.key, &step, room);
        let mut without_host = None;
        let most = self.startable(waiting).min(self.starting.left());
        for &index in waiting.waiting.iter().take(most) {
            let task = waiting.key.task(index);
            let standing = self.standing(&task);
            if standing == SuspicionLevel::Poison || self.failed_starts.is_backing_off(now.time, &task)
            {
                continue;
            }
            let Some(executor) = places.take(&size, standing) else {
                if standing == SuspicionLevel::Isolated {
                    // It waits for a host without suspects; there may be room for the others.
                    without_host = Some(task);
                    continue;
                }
                if needs_ticket {
                    self.request_advice(now, &waiting.key, &step, room);
                }
                if step.lasting {
                    self.make_room(now, pool, &task, &step);
                    self.lasting_missed.insert(waiting.key.clone(), now.time);
                    return Placed::Done;
                }
                // The other tasks of the step are of the same size.
                let none = !room.values().any(|free| free.holds(&size));
                return if none { Placed::NoRoom } else { Placed::Done };
            };
            if standing == SuspicionLevel::Isolated {
                room.remove(&executor);
            } else if let Some(left) = room.get_mut(&executor) {
                *left = left.less(&size);
            }
            self.assign(now, &executor, &task, None);
            self.note_late(&executor, &task, waiting.urgency);
        }
        if let Some(task) = without_host.filter(|_| step.lasting) {
            self.make_room(now, pool, &task, &step);
            self.lasting_missed.insert(waiting.key.clone(), now.time);
        }
        Placed::Done
    }

    fn note_late(&mut self, executor: &ExecutorName, task: &TaskKey, urgency: Urgency) {
        let known = self.executors.get_mut(executor);
        if let Some(held) = known.and_then(|known| known.runs.get_mut(task)) {
            held.late = urgency.is_late();
        }
    }

    /// Assigns a task to an executor; the order leaves once that is stored.
    pub(super) fn assign(
        &mut self,
        now: Now,
        executor: &ExecutorName,
        task: &TaskKey,
        run: Option<u32>,
    ) {
        let Some(state) = self.ledger.task(task) else { return };
        let run = run.unwrap_or(state.last_run + 1);
        let Some(held) = self.held_for(now.time, task, run, Phase::Recorded) else { return };
        self.executors.insert_run(executor, task, held);
        let Some(known) = self.executors.get_mut(executor) else { return };
        known.circuit_breaker.record_placement(now.time);
        self.starting.decided(task, run);
        self.track_suspect(now, executor, task);
        self.record(Record::Assigned { task: task.clone(), run, executor: executor.clone() });
        self.outbox.then_start(executor.clone(), task.clone(), run);
    }
}

#[cfg(test)]
mod tests;
