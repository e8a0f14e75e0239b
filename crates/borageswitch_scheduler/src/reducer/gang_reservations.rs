//! Reserves capacity for gangs that have waited, as decided by [`crate::policy::gangs`].
//!
//! A pool reserves capacity for one gang at a time, and hosts are fetched for one gang of the whole
//! site at a time: two gangs that each held half of what they need would block each other forever.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use borageswitch_types::{
    Time,
    names::{ExecutorName, PoolName},
};

use crate::{
    event::Now,
    job::{Size, Step},
    policy::{
        gangs::{self, Candidate, Plan},
        lasting::UnplacedTask,
    },
    reducer::{
        Scheduler,
        executors::{Executor, HeldRun},
        free_capacity::FreeCapacity,
        places::{fits_labels, reserved_size},
        waiting::WaitingOrder,
    },
    task::{StepKey, TaskKey},
};

/// The minimum interval between two log lines about a pool's waiting gang.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The maximum number of gangs of a pool, most urgent first, for which hosts are searched in one
/// window. A search visits all hosts of the pool, and its result is valid for about a second.
const MAX_ATTEMPTS: u32 = 4;
const ATTEMPT_WINDOW: Duration = Duration::from_millis(100);

/// The executors that are reserved for a gang.
#[derive(Debug)]
struct Reservation {
    step: StepKey,
    executors: BTreeSet<ExecutorName>,
    since: Time,
}

/// A gang for which hosts of other pools are fetched.
#[derive(Debug)]
struct GangFetch {
    step: StepKey,
    pool: PoolName,
    since: Time,
}

/// The waiting gangs, and the capacity reserved or fetched for them.
#[derive(Debug, Default)]
pub struct GangReservations {
    /// Since when a gang has found no capacity.
    unplaced_since: BTreeMap<StepKey, Time>,
    by_pool: BTreeMap<PoolName, Reservation>,
    fetch: Option<GangFetch>,
    logged: BTreeMap<PoolName, Time>,
    /// The start of the current window and the number of searches in it.
    attempts: BTreeMap<PoolName, (Time, u32)>,
}

impl GangReservations {
    fn allow_attempt(&mut self, now: Time, pool: &PoolName) -> bool {
        let (since, count) = self.attempts.entry(pool.clone()).or_insert((now, 0));
        if now.since(*since) >= ATTEMPT_WINDOW {
            (*since, *count) = (now, 0);
        }
        *count += 1;
        *count <= MAX_ATTEMPTS
    }

    fn is_reserved_for(&self, pool: &PoolName, step: &StepKey) -> bool {
        self.by_pool.get(pool).is_some_and(|reservation| reservation.step == *step)
    }
}

impl Scheduler {
    /// Drops a reservation that has expired, whose gang no longer waits, or whose executors no
    /// longer take work.
    pub(super) fn update_reservation(&mut self, now: Now, pool: &PoolName, order: &WaitingOrder) {
        let Some(reservation) = self.gang_reservations.by_pool.get(pool) else { return };
        let waits = order.values().any(|step| step.key == reservation.step);
        let usable = |executor: &ExecutorName| {
            self.executors.get(executor).is_some_and(|known| known.is_schedulable(now.time))
        };
        let expired = now.time.since(reservation.since) >= gangs::MAX_RESERVATION;
        if expired {
            // Other gangs go first before capacity is reserved for this one again.
            self.gang_reservations.unplaced_since.insert(reservation.step.clone(), now.time);
        }
        if expired || !waits || !reservation.executors.iter().all(usable) {
            self.gang_reservations.by_pool.remove(pool);
        }
    }

    /// Removes the reserved capacity from what all others may use, and returns it.
    pub(super) fn take_reserved(
        &self,
        pool: &PoolName,
        available: &mut FreeCapacity,
    ) -> FreeCapacity {
        let Some(reservation) = self.gang_reservations.by_pool.get(pool) else {
            return FreeCapacity::new();
        };
        reservation
            .executors
            .iter()
            .filter_map(|executor| available.remove_entry(executor))
            .collect()
    }

    /// Whether capacity of a pool is reserved for this step.
    pub(super) fn has_reservation(&self, pool: &PoolName, step: &StepKey) -> bool {
        self.gang_reservations.is_reserved_for(pool, step)
    }

    /// Drops the state of a gang that was placed.
    pub(super) fn gang_placed(&mut self, pool: &PoolName, step: &StepKey) {
        self.gang_reservations.unplaced_since.remove(step);
        if self.gang_reservations.is_reserved_for(pool, step) {
            self.gang_reservations.by_pool.remove(pool);
        }
        if self.gang_reservations.fetch.as_ref().is_some_and(|fetch| fetch.step == *step) {
            self.gang_reservations.fetch = None;
        }
    }

    /// Handles a gang that found no capacity: reserves executors for it once it has waited, or
    /// fetches hosts if its pool has too few.
    pub(super) fn gang_unplaced(&mut self, now: Now, pool: &PoolName, key: &StepKey) {
        let since = *self.gang_reservations.unplaced_since.entry(key.clone()).or_insert(now.time);
        if now.time.since(since) < gangs::RESERVE_AFTER
            || self.gang_reservations.by_pool.contains_key(pool)
        {
            return;
        }
        let job = self.ledger.jobs.get(&key.job);
        let Some(step) = job.and_then(|job| job.step(key.step)).cloned() else { return };
        if !self.is_feasible(pool, &step) || !self.gang_reservations.allow_attempt(now.time, pool) {
            return;
        }
        let candidates = self.candidates_for_gang(now, pool, key, &step);
        let found = (candidates.len(), candidates.iter().map(|c| c.max_members).sum());
        match gangs::plan(step.count as usize, candidates) {
            Plan::Reserve(executors) => self.reserve(now, pool, key, executors),
            Plan::Wait => self.log_lack(now, pool, key, &step, found),
            Plan::Fetch => {
                self.log_lack(now, pool, key, &step, found);
                self.fetch_for_gang(now, pool, key);
            }
        }
    }

    fn reserve(&mut self, now: Now, pool: &PoolName, key: &StepKey, executors: Vec<ExecutorName>) {
        self.log("gang-room-kept", key, || format!("pool={pool} hosts={}", executors.len()));
        let executors = executors.into_iter().collect();
        let reservation = Reservation { step: key.clone(), executors, since: now.time };
        self.gang_reservations.by_pool.insert(pool.clone(), reservation);
    }

    /// Logs what a gang lacks, so that operators see why its job does not start.
    fn log_lack(
        &mut self,
        now: Now,
        pool: &PoolName,
        key: &StepKey,
        step: &Step,
        (hosts, places): (usize, usize),
    ) {
        let logged = self.gang_reservations.logged.get(pool);
        if logged.is_some_and(|at| now.time.since(*at) < LOG_INTERVAL) {
            return;
        }
        self.gang_reservations.logged.insert(pool.clone(), now.time);
        let Size { cpu_milli, memory_mb, .. } = reserved_size(step);
        let label = step.label.as_deref().unwrap_or("none").to_owned();
        let members = step.count;
        self.log("gang-waits", key, || {
            format!(
                "pool={pool} members={members} cpu_milli={cpu_milli} memory_mb={memory_mb} \
                 label={label} suitable_hosts={hosts} places={places}"
            )
        });
    }

    fn fetch_for_gang(&mut self, now: Now, pool: &PoolName, key: &StepKey) {
        let expired = self.gang_reservations.fetch.as_ref().is_none_or(|fetch| {
            now.time.since(fetch.since) >= gangs::MAX_FETCH
                || !self.ledger.jobs.contains_key(&fetch.step.job)
        });
        if expired {
            let (step, pool) = (key.clone(), pool.clone());
            self.gang_reservations.fetch = Some(GangFetch { step, pool, since: now.time });
        }
    }

    fn candidates_for_gang(
        &self,
        now: Now,
        pool: &PoolName,
        key: &StepKey,
        step: &Step,
    ) -> Vec<Candidate<ExecutorName>> {
        let size = reserved_size(step);
        let of_pool = self.executors.iter().filter(|(_, known)| {
            known.registration.pool == *pool && known.is_schedulable(now.time)
        });
        let suitable = of_pool.filter(|(name, _)| self.may_run_on(now, key, step, name, 0));
        let candidates = suitable.map(|(name, known)| Candidate {
            id: name.clone(),
            max_members: gangs::member_capacity(
                &capacity_without_lasting(known),
                &size,
                step.max_per_host,
            ),
            ready_in: self.time_until_ready(now, known, &size, step),
        });
        candidates.collect()
    }

    /// How long it takes until an executor has its places for members free.
    fn time_until_ready(&self, now: Now, known: &Executor, size: &Size, step: &Step) -> Duration {
        let places = |available: &Size| gangs::member_capacity(available, size, step.max_per_host);
        if places(&known.free()) == places(&capacity_without_lasting(known)) {
            return Duration::ZERO;
        }
        let short = known.runs.iter().filter(|(_, held)| !held.lasting);
        short.map(|(task, held)| self.remaining_time(now, task, held)).max().unwrap_or_default()
    }

    /// The remaining run time, from the run's progress or from the usual duration of such runs.
    ///
    /// Progress that a run of unknown age has made under earlier leaders says nothing about its
    /// speed, so what is left of it is taken to proceed at the usual one.
    fn remaining_time(&self, now: Now, task: &TaskKey, held: &HeldRun) -> Duration {
        let age = held.known_age(now.time, self.took_over_at);
        let elapsed = age.unwrap_or_else(|| now.time.since(held.started));
        if held.percent > 0 && age.is_some() {
            let total = elapsed.mul_f64(100.0 / f64::from(held.percent));
            return total.saturating_sub(elapsed);
        }
        let job = self.ledger.jobs.get(&task.job);
        let expected = job.and_then(|job| {
            let step = job.step(task.step)?;
            Some(self.runtime_estimates.estimate(&job.submission.queue.name, step.estimate))
        });
        let expected = expected.unwrap_or_default();
        if held.percent > 0 {
            return expected.mul_f64(1.0 - f64::from(held.percent.min(100)) / 100.0);
        }
        expected.saturating_sub(elapsed)
    }

    /// The members of the gang for which hosts are fetched into a pool.
    pub(super) fn unplaced_gangs(&self, pool: &PoolName) -> Vec<UnplacedTask<StepKey>> {
        let Some(fetch) = self.gang_reservations.fetch.as_ref().filter(|f| f.pool == *pool) else {
            return Vec::new();
        };
        let job = self.ledger.jobs.get(&fetch.step.job);
        let Some(step) = job.and_then(|job| job.step(fetch.step.step)) else { return Vec::new() };
        let member = UnplacedTask {
            step: fetch.step.clone(),
            size: reserved_size(step),
            label: step.label.clone(),
            max_per_host: step.max_per_host,
        };
        vec![member; step.count as usize]
    }

    /// Whether an idle executor must stay in its pool because a gang waits for it.
    pub(super) fn is_needed_by_gang(&self, pool: &PoolName, executor: &ExecutorName) -> bool {
        let reservation = self.gang_reservations.by_pool.get(pool);
        let fetch = self.gang_reservations.fetch.as_ref().filter(|f| f.pool == *pool);
        reservation.is_some_and(|reservation| reservation.executors.contains(executor))
            || fetch.is_some_and(|fetch| self.is_labelled_for(&fetch.step, executor))
    }

    fn is_labelled_for(&self, key: &StepKey, executor: &ExecutorName) -> bool {
        let step = self.ledger.jobs.get(&key.job).and_then(|job| job.step(key.step));
        let known = self.executors.get(executor);
        step.zip(known).is_some_and(|(step, known)| fits_labels(step, known))
    }

    /// Drops the state of gangs whose jobs have ended.
    pub(super) fn forget_gangs(&mut self) {
        let jobs = &self.ledger.jobs;
        self.gang_reservations.unplaced_since.retain(|step, _| jobs.contains_key(&step.job));
        self.gang_reservations
            .by_pool
            .retain(|_, reservation| jobs.contains_key(&reservation.step.job));
        let ended = |fetch: &GangFetch| !jobs.contains_key(&fetch.step.job);
        if self.gang_reservations.fetch.as_ref().is_some_and(ended) {
            self.gang_reservations.fetch = None;
        }
    }
}

/// The capacity of an executor once all runs that end by themselves have ended.
fn capacity_without_lasting(known: &Executor) -> Size {
    let mut free = known.registration.capacity;
    for held in known.runs.values().filter(|held| held.lasting) {
        free = free.less(&held.size);
    }
    free
}
