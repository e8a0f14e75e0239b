//! What the open executors of each pool have left.

use std::collections::{BTreeMap, BTreeSet};

use borageswitch_types::names::{ExecutorName, PoolName};

use crate::{event::Now, job::Size, reducer::Scheduler};

/// What is left on open executors.
pub(super) type Room = BTreeMap<ExecutorName, Size>;

/// What is left in each pool.
#[derive(Debug, Default)]
pub struct Rooms {
    by_pool: BTreeMap<PoolName, Room>,
    /// Executors that will be open again after some time, though nothing happens to them.
    resting: BTreeSet<ExecutorName>,
}

impl Rooms {
    /// Takes the room of a pool, to be put back by [`Self::put_back`].
    pub(super) fn take(&mut self, pool: &PoolName) -> Room {
        self.by_pool.get_mut(pool).map(std::mem::take).unwrap_or_default()
    }

    /// The room of a pool.
    pub(super) fn of(&self, pool: &PoolName) -> impl Iterator<Item = (&ExecutorName, &Size)> {
        self.by_pool.get(pool).into_iter().flatten()
    }

    pub(super) fn put_back(&mut self, pool: &PoolName, room: Room) {
        self.by_pool.insert(pool.clone(), room);
    }
}

impl Scheduler {
    /// Takes in what has changed on executors; in a sweep also what the time alone has changed.
    pub(super) fn renew_rooms(&mut self, now: Now, sweep: bool) {
        for (pool, executor) in self.executors.take_departed() {
            if let Some(room) = self.rooms.by_pool.get_mut(&pool) {
                room.remove(&executor);
            }
        }
        let changed = self.executors.take_changed();
        for executor in &changed {
            self.renew_room(now, executor);
        }
        self.unlooked.extend(changed);
        if sweep {
            for executor in std::mem::take(&mut self.rooms.resting) {
                self.renew_room(now, &executor);
            }
        }
    }

    fn renew_room(&mut self, now: Now, executor: &ExecutorName) {
        let Some(known) = self.executors.get(executor) else { return };
        let pool = &known.registration.pool;
        if !self.rooms.by_pool.contains_key(pool) {
            self.rooms.by_pool.insert(pool.clone(), Room::new());
        }
        let Some(room) = self.rooms.by_pool.get_mut(pool) else { return };
        if !known.accepts_runs(now.time) {
            room.remove(executor);
            if known.recovers_with_time(now.time) {
                self.rooms.resting.insert(executor.clone());
            }
            return;
        }
        match room.get_mut(executor) {
            Some(free) => *free = known.free(),
            None => {
                room.insert(executor.clone(), known.free());
            }
        }
    }
}
