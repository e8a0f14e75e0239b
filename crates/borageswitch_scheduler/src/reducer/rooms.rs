//! What the open executors of each pool have left.

use std::collections::BTreeMap;

use borageswitch_types::names::{ExecutorName, PoolName};

use crate::{event::Now, job::Size, reducer::Scheduler};

/// What is left on open executors.
pub(super) type Room = BTreeMap<ExecutorName, Size>;

/// What is left in each pool.
#[derive(Debug, Default)]
pub struct Rooms {
    by_pool: BTreeMap<PoolName, Room>,
}

impl Rooms {
    /// Takes the room of a pool, to be put back by [`Self::put_back`].
    pub(super) fn take(&mut self, pool: &PoolName) -> Room {
        self.by_pool.get_mut(pool).map(std::mem::take).unwrap_or_default()
    }

    pub(super) fn put_back(&mut self, pool: &PoolName, room: Room) {
        self.by_pool.insert(pool.clone(), room);
    }
}

impl Scheduler {
    /// Takes in what has changed on executors; in a sweep also what the time alone has changed.
    pub(super) fn renew_rooms(&mut self, now: Now, sweep: bool) {
        let changed = self.executors.take_changed();
        if sweep {
            let pools: Vec<PoolName> = self.executors.pools().cloned().collect();
            self.rooms = Rooms::default();
            for pool in pools {
                let room = self.room_of(now, &pool);
                self.rooms.put_back(&pool, room);
            }
        } else {
            for executor in &changed {
                self.renew_room(now, executor);
            }
        }
        self.unlooked.extend(changed);
    }

    fn renew_room(&mut self, now: Now, executor: &ExecutorName) {
        let known = self.executors.get(executor).filter(|known| known.is_open(now.time));
        let open = known.map(|known| (&known.registration.pool, known.free()));
        for (pool, room) in &mut self.rooms.by_pool {
            if open.is_none_or(|(own, _)| own != pool) {
                room.remove(executor);
            }
        }
        let Some((pool, free)) = open else { return };
        match self.rooms.by_pool.get_mut(pool) {
            Some(room) => {
                room.insert(executor.clone(), free);
            }
            None => {
                let room = Room::from([(executor.clone(), free)]);
                self.rooms.by_pool.insert(pool.clone(), room);
            }
        }
    }

    /// What the open executors of a pool have left, looked up anew.
    pub(super) fn room_of(&self, now: Now, pool: &PoolName) -> Room {
        let open = self.executors.of_pool(pool).filter(|(_, known)| known.is_open(now.time));
        open.map(|(name, known)| (name.clone(), known.free())).collect()
    }
}
