//! Room is kept for a gang that has waited; which hosts, [`crate::policy::gangs`] decides.
//!
//! A pool keeps room for one gang at a time, and hosts are fetched for one gang of the whole site
//! at a time: two that each had half of what they need would stop each other for ever.

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
        places::{fits_labels, reserved},
        rooms::Room,
        waiting::Order,
    },
    task::{StepKey, TaskKey},
};

/// The shortest time between two lines about what a pool's waiting gang lacks.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// For so many gangs of a pool, the most urgent first, hosts are looked for in such an interval. To
/// look costs a walk over the pool's hosts, and what is found lasts for about a second.
const TRIES: u32 = 4;
const TRY_INTERVAL: Duration = Duration::from_millis(100);

/// The hosts that are kept for a gang.
#[derive(Debug)]
struct Kept {
    step: StepKey,
    executors: BTreeSet<ExecutorName>,
    since: Time,
}

/// A gang for which hosts of other pools are fetched.
#[derive(Debug)]
struct Fetched {
    step: StepKey,
    pool: PoolName,
    since: Time,
}

/// The gangs that wait, and what is done for them.
#[derive(Debug, Default)]
pub struct KeptRoom {
    /// Since when a gang has found no room.
    missed: BTreeMap<StepKey, Time>,
    kept: BTreeMap<PoolName, Kept>,
    fetched: Option<Fetched>,
    told: BTreeMap<PoolName, Time>,
    /// For how many gangs of a pool hosts were looked for since that moment.
    tries: BTreeMap<PoolName, (Time, u32)>,
}

impl KeptRoom {
    fn may_try(&mut self, now: Time, pool: &PoolName) -> bool {
        let (since, count) = self.tries.entry(pool.clone()).or_insert((now, 0));
        if now.since(*since) >= TRY_INTERVAL {
            (*since, *count) = (now, 0);
        }
        *count += 1;
        *count <= TRIES
    }

    fn is_kept_for(&self, pool: &PoolName, step: &StepKey) -> bool {
        self.kept.get(pool).is_some_and(|kept| kept.step == *step)
    }
}

impl Scheduler {
    /// Drops what is kept for gangs that wait no more, or on hosts that cannot take them any more.
    pub(super) fn renew_kept_room(&mut self, now: Now, pool: &PoolName, order: &Order) {
        let Some(kept) = self.kept_room.kept.get(pool) else { return };
        let waits = order.values().any(|step| step.key == kept.step);
        let usable = |executor: &ExecutorName| {
            self.executors.get(executor).is_some_and(|known| known.is_schedulable(now.time))
        };
        let over = now.time.since(kept.since) >= gangs::MAX_RESERVATION;
        if over {
            // Others have their turn before room is kept for it again.
            self.kept_room.missed.insert(kept.step.clone(), now.time);
        }
        if over || !waits || !kept.executors.iter().all(usable) {
            self.kept_room.kept.remove(pool);
        }
    }

    /// Takes the room that is kept for a gang out of what all others may use.
    pub(super) fn take_kept_room(&self, pool: &PoolName, room: &mut Room) -> Room {
        let Some(kept) = self.kept_room.kept.get(pool) else { return Room::new() };
        kept.executors.iter().filter_map(|executor| room.remove_entry(executor)).collect()
    }

    /// Whether room of a pool is kept for this step.
    pub(super) fn has_kept_room(&self, pool: &PoolName, step: &StepKey) -> bool {
        self.kept_room.is_kept_for(pool, step)
    }

    /// A gang has started.
    pub(super) fn gang_placed(&mut self, pool: &PoolName, step: &StepKey) {
        self.kept_room.missed.remove(step);
        if self.kept_room.is_kept_for(pool, step) {
            self.kept_room.kept.remove(pool);
        }
        if self.kept_room.fetched.as_ref().is_some_and(|fetched| fetched.step == *step) {
            self.kept_room.fetched = None;
        }
    }

    /// A gang has found no room: hosts are kept for it once it has waited, or fetched if its pool
    /// has too few.
    pub(super) fn gang_missed(&mut self, now: Now, pool: &PoolName, key: &StepKey) {
        let since = *self.kept_room.missed.entry(key.clone()).or_insert(now.time);
        if now.time.since(since) < gangs::RESERVE_AFTER || self.kept_room.kept.contains_key(pool) {
            return;
        }
        if !self.kept_room.may_try(now.time, pool) {
            return;
        }
        let job = self.ledger.jobs.get(&key.job);
        let Some(step) = job.and_then(|job| job.step(key.step)).cloned() else { return };
        let candidates = self.candidates_for_gang(now, pool, key, &step);
        let found = (candidates.len(), candidates.iter().map(|c| c.max_members).sum());
        match gangs::plan(step.count as usize, candidates) {
            Plan::Reserve(executors) => self.keep(now, pool, key, executors),
            Plan::Wait => self.tell_lack(now, pool, key, &step, found),
            Plan::Fetch => {
                self.tell_lack(now, pool, key, &step, found);
                self.fetch_for_gang(now, pool, key);
            }
        }
    }

    fn keep(&mut self, now: Now, pool: &PoolName, key: &StepKey, executors: Vec<ExecutorName>) {
        self.log("gang-room-kept", key, || format!("pool={pool} hosts={}", executors.len()));
        let executors = executors.into_iter().collect();
        let kept = Kept { step: key.clone(), executors, since: now.time };
        self.kept_room.kept.insert(pool.clone(), kept);
    }

    /// Says what a gang lacks, so that an operator finds out why its job does not start.
    fn tell_lack(
        &mut self,
        now: Now,
        pool: &PoolName,
        key: &StepKey,
        step: &Step,
        (hosts, places): (usize, usize),
    ) {
        let told = self.kept_room.told.get(pool);
        if told.is_some_and(|at| now.time.since(*at) < LINE_INTERVAL) {
            return;
        }
        self.kept_room.told.insert(pool.clone(), now.time);
        let Size { cpu_milli, memory_mb, .. } = reserved(step);
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
        let over = self.kept_room.fetched.as_ref().is_none_or(|fetched| {
            now.time.since(fetched.since) >= gangs::MAX_FETCH
                || !self.ledger.jobs.contains_key(&fetched.step.job)
        });
        if over {
            let (step, pool) = (key.clone(), pool.clone());
            self.kept_room.fetched = Some(Fetched { step, pool, since: now.time });
        }
    }

    fn candidates_for_gang(
        &self,
        now: Now,
        pool: &PoolName,
        key: &StepKey,
        step: &Step,
    ) -> Vec<Candidate<ExecutorName>> {
        let size = reserved(step);
        let of_pool = self.executors.iter().filter(|(_, known)| {
            known.registration.pool == *pool && known.is_schedulable(now.time)
        });
        let suitable = of_pool.filter(|(name, _)| self.may_run_on(now, key, step, name, 0));
        let candidates = suitable.map(|(name, known)| Candidate {
            id: name.clone(),
            max_members: gangs::member_capacity(&free_soon(known), &size, step.max_per_host),
            ready_in: self.ready_for(now, known, &size, step),
        });
        candidates.collect()
    }

    /// How long it takes until an executor has its places for members free.
    fn ready_for(&self, now: Now, known: &Executor, size: &Size, step: &Step) -> Duration {
        let places = |room: &Size| gangs::member_capacity(room, size, step.max_per_host);
        if places(&known.free()) == places(&free_soon(known)) {
            return Duration::ZERO;
        }
        let short = known.runs.iter().filter(|(_, held)| !held.lasting);
        short.map(|(task, held)| self.left_of(now, task, held)).max().unwrap_or_default()
    }

    /// How long a run will go on: by its progress, or by what such runs take.
    fn left_of(&self, now: Now, task: &TaskKey, held: &HeldRun) -> Duration {
        let elapsed = now.time.since(held.started);
        if held.percent > 0 {
            let whole = elapsed.mul_f64(100.0 / f64::from(held.percent));
            return whole.saturating_sub(elapsed);
        }
        let job = self.ledger.jobs.get(&task.job);
        let expected = job.and_then(|job| {
            let step = job.step(task.step)?;
            Some(self.learned.estimate(&job.submission.queue.name, step.estimate))
        });
        expected.unwrap_or_default().saturating_sub(elapsed)
    }

    /// The members of the gang for which a pool is to get hosts.
    pub(super) fn gang_seekers(&self, pool: &PoolName) -> Vec<UnplacedTask<StepKey>> {
        let Some(fetched) = self.kept_room.fetched.as_ref().filter(|f| f.pool == *pool) else {
            return Vec::new();
        };
        let job = self.ledger.jobs.get(&fetched.step.job);
        let Some(step) = job.and_then(|job| job.step(fetched.step.step)) else { return Vec::new() };
        let member = UnplacedTask {
            step: fetched.step.clone(),
            size: reserved(step),
            label: step.label.clone(),
            max_per_host: step.max_per_host,
        };
        vec![member; step.count as usize]
    }

    /// Whether an executor without work is to stay where it is, as a gang waits for it.
    pub(super) fn waits_for_gang(&self, pool: &PoolName, executor: &ExecutorName) -> bool {
        let kept = self.kept_room.kept.get(pool);
        let fetched = self.kept_room.fetched.as_ref().filter(|f| f.pool == *pool);
        kept.is_some_and(|kept| kept.executors.contains(executor))
            || fetched.is_some_and(|fetched| self.is_labelled_for(&fetched.step, executor))
    }

    fn is_labelled_for(&self, key: &StepKey, executor: &ExecutorName) -> bool {
        let step = self.ledger.jobs.get(&key.job).and_then(|job| job.step(key.step));
        let known = self.executors.get(executor);
        step.zip(known).is_some_and(|(step, known)| fits_labels(step, known))
    }

    /// Drops what was noted of gangs whose jobs have ended.
    pub(super) fn forget_gangs(&mut self) {
        let jobs = &self.ledger.jobs;
        self.kept_room.missed.retain(|step, _| jobs.contains_key(&step.job));
        self.kept_room.kept.retain(|_, kept| jobs.contains_key(&kept.step.job));
        let ended = |fetched: &Fetched| !jobs.contains_key(&fetched.step.job);
        if self.kept_room.fetched.as_ref().is_some_and(ended) {
            self.kept_room.fetched = None;
        }
    }
}

/// What an executor has left once all that ends by itself has ended.
fn free_soon(known: &Executor) -> Size {
    let mut free = known.registration.capacity;
    for held in known.runs.values().filter(|held| held.lasting) {
        free = free.less(&held.size);
    }
    free
}
