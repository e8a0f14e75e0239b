//! Waiting tasks find hosts.
//!
//! One pass looks at a pool: its jobs by urgency, their unblocked steps, their waiting tasks. Room
//! that a task takes is gone for the rest of the pass.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use borageswitch_types::names::{ExecutorName, JobName, PoolName};

use crate::{
    event::Now,
    job::{Size, Step},
    ledger::{
        job::{Job, StepState},
        record::Record,
    },
    policy::{
        last_chance::Allowance,
        order::Urgency,
        placing::{self, Candidate},
    },
    reducer::{
        Scheduler,
        executors::{Executor, Phase},
        rooms::Room,
        waiting::{Order, WaitingStep},
    },
    task::{StepKey, TaskKey},
};

/// Where one task of a step may go.
#[derive(Debug)]
struct Place {
    executor: ExecutorName,
    rack: Option<Arc<str>>,
    candidate: Candidate<usize>,
    /// How many more tasks of the step it may have.
    more: Option<usize>,
}

/// Where the tasks of one step may go.
///
/// A rush has hundreds of tasks waiting for a hundred hosts. What the tasks of a step have in common
/// is looked up once for all of them: looked up for each, the scheduler took 13.7 instead of 8.8 % of
/// a core in simulated rushes at 349 hosts, and a leader on a quarter of one came late with
/// everything (benchmark `scheduler`, mean of two runs).
#[derive(Debug)]
struct Places {
    places: Vec<Place>,
    lasting: bool,
    fills: bool,
}

impl Places {
    /// Gives the best place to a task.
    fn take(&mut self, size: &Size) -> Option<ExecutorName> {
        let open = self.places.iter().filter(|place| place.more != Some(0));
        let best = placing::choose(size, open.map(|place| place.candidate))?;
        let place = &mut self.places[best];
        place.candidate.free = place.candidate.free.less(size);
        place.candidate.in_use = true;
        place.candidate.siblings += usize::from(self.fills);
        place.more = place.more.map(|more| more - 1);
        let (executor, rack) = (place.executor.clone(), place.rack.clone());
        if self.lasting {
            let in_rack = self.places.iter_mut().filter(|place| place.rack == rack);
            in_rack.for_each(|place| place.candidate.rack_siblings += 1);
        }
        Some(executor)
    }
}

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
            let own = step.urgency.is_lasting() || self.has_kept_room(pool, &step.key);
            if own {
                self.place_own(now, pool, step, room);
                continue;
            }
            if full.is_certain(&step.size) {
                if step.gang {
                    self.gang_missed(now, pool, &step.key);
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
        let due: Vec<&WaitingStep> = order.values().filter(|step| step.due).collect();
        if due.is_empty() {
            return Vec::new();
        }
        let (mut whole, mut late) = (0, 0);
        for (_, known) in self.executors.of_pool(pool) {
            whole += known.registration.capacity.cpu_milli;
            let runs = known.runs.values().filter(|held| held.late);
            late += runs.map(|held| held.size.cpu_milli).sum::<u64>();
        }
        let mut allowance = Allowance::of(whole, late);
        let granted = due
            .into_iter()
            .filter(|step| allowance.take(step.size.cpu_milli * step.waiting.len() as u64));
        let ahead =
            granted.map(|step| WaitingStep { urgency: step.urgency.let_ahead(), ..step.clone() });
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
        if step.gang {
            let placed = self.place_gang(now, pool, waiting, &step, room);
            if needs_ticket && !placed {
                self.ask_advice(now, &waiting.key, &step, room);
            }
            return Placed::Done;
        }
        let size = waiting.size;
        let mut places = self.places(now, &waiting.key, &step, room);
        for &index in &waiting.waiting {
            let task = waiting.key.task(index);
            let Some(executor) = places.take(&size) else {
                if needs_ticket {
                    self.ask_advice(now, &waiting.key, &step, room);
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
            if let Some(left) = room.get_mut(&executor) {
                *left = left.less(&size);
            }
            self.assign(now, &executor, &task, None);
            self.note_late(&executor, &task, waiting.urgency);
        }
        Placed::Done
    }

    fn note_late(&mut self, executor: &ExecutorName, task: &TaskKey, urgency: Urgency) {
        let known = self.executors.get_mut(executor);
        if let Some(held) = known.and_then(|known| known.runs.get_mut(task)) {
            held.late = urgency.is_late();
        }
    }

    /// Whether a task of a step may run on an executor, however much room there is: by its label,
    /// by how many of its step are `planned` there besides those that it has, and by the advisor.
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

    /// Where tasks of a step may go.
    fn places(&self, now: Now, key: &StepKey, step: &Step, room: &Room) -> Places {
        let size = reserved(step);
        let avoid = self.times.get(&key.job).and_then(|times| times.failed_on.as_ref());
        let counts_siblings = step.fills || step.max_per_host.is_some();
        let by_rack = self.siblings_by_rack(key, step);
        let mut places = Vec::new();
        // Most hosts of a pool in its rush are full, and are told by their room alone.
        for (executor, free) in room.iter().filter(|(_, free)| free.holds(&size)) {
            let Some(known) = self.executors.get(executor) else { continue };
            if !self.may_run_on(now, key, step, executor, 0) {
                continue;
            }
            let there = if counts_siblings { siblings(known, key) } else { 0 };
            let candidate = Candidate {
                id: places.len(),
                free: *free,
                disturbs: disturbs(step, known),
                wasted: step.label.is_none() && self.fleet.is_scarce(&known.registration.labels),
                near: is_near(step, known) && avoid != Some(executor),
                in_use: !known.runs.is_empty(),
                siblings: if step.fills { there } else { 0 },
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
                more: step.max_per_host.map(|most| (most as usize).saturating_sub(there)),
            });
        }
        Places { places, lasting: step.lasting, fills: step.fills }
    }

    /// Tasks of the same step in each rack; counted only where it matters.
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
        self.executors.hold(executor, task, held);
        let Some(known) = self.executors.get_mut(executor) else { return };
        known.trust.placed(now.time);
        self.record(Record::Assigned { task: task.clone(), run, executor: executor.clone() });
        self.outbox.then_start(executor.clone(), task.clone(), run);
    }
}

/// The room that a task of a step takes.
pub(super) fn reserved(step: &Step) -> Size {
    let cpu_milli = if step.fills { 0 } else { step.size.cpu_milli };
    Size { cpu_milli, ..step.size }
}

/// How many tasks of a step an executor has.
pub(super) fn siblings(known: &Executor, key: &StepKey) -> usize {
    let of_step = |task: &&TaskKey| {
        task.step == key.step && task.occurrence == key.occurrence && task.job == key.job
    };
    let from = known.runs.range(key.task(0)..).map(|(task, _)| task);
    from.take_while(of_step).count()
}

/// Whether a step may run on an executor, as far as labels go.
pub(super) fn fits_labels(step: &Step, known: &Executor) -> bool {
    step.label.as_ref().is_none_or(|label| known.registration.has_label(label))
}

/// Whether a task that fills gaps would come beside one that serves users, or the other way round.
fn disturbs(step: &Step, known: &Executor) -> bool {
    let serves = step.target_tail.is_some() && !step.fills;
    let mut others = known.runs.values();
    if step.fills {
        others.any(|held| held.target_tail.is_some() && !held.fills)
    } else {
        serves && others.any(|held| held.fills)
    }
}

fn is_near(step: &Step, known: &Executor) -> bool {
    step.data_rack.as_ref().is_none_or(|rack| known.registration.is_in_rack(rack))
}

/// The steps of a job that can run, with how many of their tasks wait.
pub(super) fn unblocked_steps(job: &Job) -> Vec<(&Step, usize)> {
    let steps = &job.submission.spec.steps;
    let mut found = Vec::new();
    for open in job.progress.open.values() {
        for (step, state) in steps.iter().zip(&open.steps) {
            if !state.is_done() && job.is_unblocked(open, step) {
                let waiting = state.tasks.iter().filter(|task| task.is_waiting()).count();
                found.push((step, waiting));
            }
        }
    }
    found
}

pub(super) fn waiting_of(name: &JobName, job: &Job, occurrence: u32) -> Vec<(StepKey, Vec<u32>)> {
    let Some(open) = job.progress.open.get(&occurrence) else { return Vec::new() };
    let mut waiting = Vec::new();
    for (number, (step, state)) in job.submission.spec.steps.iter().zip(&open.steps).enumerate() {
        if state.is_done() || !job.is_unblocked(open, step) {
            continue;
        }
        let tasks = waiting_tasks(state);
        if !tasks.is_empty() {
            let key = StepKey { job: name.clone(), occurrence, step: number as u16 };
            waiting.push((key, tasks));
        }
    }
    waiting
}

/// The tasks of a job that wait and could run.
pub(super) fn waiting_tasks_of(name: &JobName, job: &Job) -> Vec<TaskKey> {
    let steps = job.progress.open.keys().flat_map(|&open| waiting_of(name, job, open));
    steps.flat_map(|(key, tasks)| tasks.into_iter().map(move |index| key.task(index))).collect()
}

fn waiting_tasks(state: &StepState) -> Vec<u32> {
    let waiting = state.tasks.iter().enumerate().filter(|(_, task)| task.is_waiting());
    waiting.map(|(index, _)| index as u32).collect()
}
