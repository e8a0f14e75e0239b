//! Executors come, drain and go.

use std::collections::BTreeSet;

use borageswitch_types::names::ExecutorName;

use crate::{
    event::{Now, Seen},
    executor::Registration,
    life,
    reducer::{Scheduler, crashes::Ending, executors::Executor},
    task::TaskKey,
};

impl Scheduler {
    pub(super) fn registration(&mut self, now: Now, seen: Seen) {
        match seen {
            Seen::There(registration) => self.registered(now, registration),
            Seen::Gone(executor) => self.unregistered(&executor),
            Seen::Unreadable(executor) => self.unreadable(&executor),
        }
    }

    /// Takes in the whole list, after one that was interrupted.
    pub(super) fn registrations(&mut self, now: Now, all: Vec<Registration>) {
        let there: BTreeSet<ExecutorName> = all.iter().map(|r| r.executor.clone()).collect();
        let gone: Vec<ExecutorName> =
            self.executors.keys().filter(|known| !there.contains(*known)).cloned().collect();
        for executor in gone {
            self.unregistered(&executor);
        }
        for registration in all {
            self.registered(now, registration);
        }
    }

    /// An entry that no executor can have written names none to use.
    fn unreadable(&mut self, executor: &ExecutorName) {
        self.log("registration-unreadable", executor, || "no use is made of it".to_owned());
        self.unregistered(executor);
    }

    fn registered(&mut self, now: Now, registration: Registration) {
        let executor = registration.executor.clone();
        let before = self.executors.latest_life(&executor).cloned();
        match before.filter(|before| *before != executor) {
            // Whoever tells of its start tells it always, and nobody starts again in the past.
            Some(before) if life::born(&before) > life::born(&executor) => {
                self.unreadable(&executor);
            }
            Some(before) => self.restarted(now, &before, registration),
            None => self.seen_alive(now, registration),
        }
    }

    /// An executor is registered under the name of one that is known, as a later life.
    fn restarted(&mut self, now: Now, before: &ExecutorName, registration: Registration) {
        let next = registration.executor.clone();
        self.dirty_pools.insert(registration.pool.clone());
        self.end_life_before(now, &registration);
        self.log("executor-restarted", &next, || format!("pool={}", registration.pool));
        self.executors.insert(Executor::new(registration, now.time));
        self.fleet.note_incarnation(&next);
        self.carry_over(now, before, &next);
    }

    fn seen_alive(&mut self, now: Now, registration: Registration) {
        let executor = registration.executor.clone();
        self.dirty_pools.insert(registration.pool.clone());
        self.end_life_before(now, &registration);
        match self.executors.get(&executor) {
            // A registration outlives its executor.
            Some(known) if known.ended => {}
            Some(known) => {
                let drains = registration.draining && !known.registration.draining;
                let returns = !known.present;
                let Some(known) = self.executors.register(registration) else { return };
                known.present = true;
                known.hearsay = false;
                if returns {
                    known.looking.failures = 0;
                    known.looking.not_before = now.time;
                    self.log("executor-back", &executor, String::new);
                }
                if drains {
                    self.drain(now, &executor);
                }
            }
            None => {
                self.log("executor-known", &executor, || {
                    format!("pool={} draining={}", registration.pool, registration.draining)
                });
                self.executors.insert(Executor::new(registration, now.time));
                self.fleet.note_incarnation(&executor);
            }
        }
    }

    /// An address has one executor at a time: whoever was registered there before has ended, and
    /// its tasks need not wait for its lease.
    fn end_life_before(&mut self, now: Now, registration: &Registration) {
        let same_place = |known: &&Executor| {
            known.registration.address == registration.address
                && known.registration.executor != registration.executor
                && !known.present
        };
        let before = self.executors.values().find(same_place);
        if let Some(executor) = before.map(|known| known.registration.executor.clone()) {
            self.life_over(now, &executor, Ending::OtherLifeRegistered);
        }
    }

    fn unregistered(&mut self, executor: &ExecutorName) {
        let known = self.executors.get(executor).map(|_| executor);
        let known = known.or_else(|| self.executors.latest_life(executor)).cloned();
        let Some(executor) = known else { return };
        let Some(known) = self.executors.get_mut(&executor) else { return };
        if known.present {
            known.present = false;
            let runs = known.runs.len();
            self.log("executor-gone", &executor, || format!("runs={runs}"));
        }
    }

    /// Lasting tasks leave an executor that is about to end while it still runs, so that they are
    /// away only for the moment of the change; others have a good chance to end in time.
    fn drain(&mut self, now: Now, executor: &ExecutorName) {
        let Some(known) = self.executors.get(executor) else { return };
        let lasting = known.runs.iter().filter(|(_, held)| held.lasting);
        let tasks: Vec<TaskKey> = lasting.map(|(task, _)| task.clone()).collect();
        self.log("executor-drains", executor, || format!("lasting={}", tasks.len()));
        for task in tasks {
            self.order_stop(now, executor, &task);
        }
    }
}
