//! Registrations of executors: arrival, restart, draining and removal.

use std::collections::BTreeSet;

use borageswitch_types::names::ExecutorName;

use crate::{
    event::{Now, RegistrationChange},
    executor::Registration,
    incarnation,
    reducer::{Scheduler, crashes::EndDetection, executors::Executor},
    task::TaskKey,
};

impl Scheduler {
    pub(super) fn handle_registration(&mut self, now: Now, seen: RegistrationChange) {
        match seen {
            RegistrationChange::Present(registration) => self.handle_registered(now, registration),
            RegistrationChange::Unregistered(executor) => self.handle_unregistered(&executor),
            RegistrationChange::Unreadable(executor) => self.handle_unreadable(&executor),
        }
    }

    /// Applies the complete list of registrations, after their watch was interrupted.
    pub(super) fn handle_registration_list(&mut self, now: Now, all: Vec<Registration>) {
        let registered: BTreeSet<ExecutorName> = all.iter().map(|r| r.executor.clone()).collect();
        let gone: Vec<ExecutorName> =
            self.executors.keys().filter(|known| !registered.contains(*known)).cloned().collect();
        for executor in gone {
            self.handle_unregistered(&executor);
        }
        for registration in all {
            self.handle_registered(now, registration);
        }
    }

    /// Treats a registration that cannot be right as a missing one.
    fn handle_unreadable(&mut self, executor: &ExecutorName) {
        self.log("registration-unreadable", executor, || "the registration is ignored".to_owned());
        self.handle_unregistered(executor);
    }

    fn handle_registered(&mut self, now: Now, registration: Registration) {
        let executor = registration.executor.clone();
        self.withdraw_unconfirmed(&executor);
        let Some(before) = self.executors.latest_incarnation(&executor).cloned() else {
            return self.refresh_registration(now, registration);
        };
        if before == executor || self.executors.is_unconfirmed(&executor) {
            return self.refresh_registration(now, registration);
        }
        let Some(known) = self.executors.get(&before) else { return };
        let (started, started_before) =
            (incarnation::started_at(&executor), incarnation::started_at(&before));
        // An executor that reports its start time always does so. A restart cannot be earlier than
        // an incarnation that has answered; the start time of any other may be wrong.
        // One that is known besides the latest has ended, and may still have runs.
        let is_known = self.executors.get(&executor).is_some();
        let is_earlier = started_before > started && (started.is_none() || known.has_answered());
        let is_wrong = is_known || is_earlier;
        let may_run = !known.ended && (known.has_answered() || !known.runs.is_empty());
        if is_wrong {
            self.handle_unreadable(&executor);
        } else if may_run {
            self.add_unconfirmed(now, &before, registration);
        } else {
            self.handle_restart(now, &before, registration);
        }
    }

    /// Adds an incarnation that is registered over one that may still run. It is polled, and the
    /// runs of the one before are released once it answers, or that one is known to have ended.
    ///
    /// Until then the one before is treated as if its registration were missing.
    fn add_unconfirmed(&mut self, now: Now, before: &ExecutorName, registration: Registration) {
        let executor = registration.executor.clone();
        self.log("registration-unconfirmed", &executor, || format!("before={before}"));
        self.mark_unregistered(before);
        self.dirty_pools.insert(registration.pool.clone());
        let added = self.new_executor(now, registration);
        self.executors.insert_unconfirmed(added, before);
    }

    /// Drops an unconfirmed incarnation whose registration was replaced by that of `present`.
    fn withdraw_unconfirmed(&mut self, present: &ExecutorName) {
        let unconfirmed = self.executors.unconfirmed_incarnation(present);
        if let Some(unconfirmed) = unconfirmed.filter(|other| *other != present).cloned() {
            self.drop_unconfirmed(&unconfirmed, "its registration was replaced");
        }
    }

    /// Drops an unconfirmed incarnation, which has no runs.
    pub(super) fn drop_unconfirmed(&mut self, executor: &ExecutorName, why: &'static str) {
        self.log("registration-refuted", executor, || format!("why={why}"));
        self.executors.remove(executor);
    }

    /// Makes an unconfirmed incarnation the latest one, as it has answered or those before it have
    /// ended, and ends all others of its name.
    pub(super) fn confirm_incarnation(&mut self, now: Now, executor: &ExecutorName) {
        if !self.executors.confirm_incarnation(executor) {
            return;
        }
        let pool = self.executors.get(executor).map(|known| known.registration.pool.clone());
        self.dirty_pools.extend(pool.clone());
        self.log("executor-restarted", executor, || {
            format!("pool={}", pool.as_ref().map_or("", |pool| pool.as_str()))
        });
        self.fleet.note_incarnation(executor);
        for before in self.executors.other_incarnations(executor) {
            self.carry_over(now, &before, executor);
        }
    }

    /// Handles the registration of a later incarnation of a known executor.
    fn handle_restart(&mut self, now: Now, before: &ExecutorName, registration: Registration) {
        let next = registration.executor.clone();
        self.dirty_pools.insert(registration.pool.clone());
        self.end_previous_incarnation(now, &registration);
        self.log("executor-restarted", &next, || format!("pool={}", registration.pool));
        self.insert_executor(now, registration);
        self.carry_over(now, before, &next);
    }

    fn refresh_registration(&mut self, now: Now, registration: Registration) {
        let executor = registration.executor.clone();
        self.dirty_pools.insert(registration.pool.clone());
        self.end_previous_incarnation(now, &registration);
        match self.executors.get(&executor) {
            // A registration remains after its executor has ended.
            Some(known) if known.ended => {}
            Some(known) => {
                let drains = registration.draining && !known.registration.draining;
                let returns = !known.is_registered;
                let Some(known) = self.executors.update_registration(registration) else { return };
                known.is_registered = true;
                known.known_from_ledger_only = false;
                if returns {
                    known.polling.failures = 0;
                    known.polling.not_before = now.time;
                    self.log("executor-back", &executor, String::new);
                }
                if drains {
                    self.stop_lasting_runs(now, &executor);
                }
            }
            None => {
                self.log("executor-known", &executor, || {
                    format!("pool={} draining={}", registration.pool, registration.draining)
                });
                self.insert_executor(now, registration);
            }
        }
    }

    /// Adds an executor. Its ends that an earlier leader has stored are acknowledged: until it has
    /// received that, it lists them again, and their numbers must be kept.
    fn insert_executor(&mut self, now: Now, registration: Registration) {
        let executor = registration.executor.clone();
        let known = self.new_executor(now, registration);
        self.executors.insert(known);
        self.fleet.note_incarnation(&executor);
    }

    fn new_executor(&self, now: Now, registration: Registration) -> Executor {
        let stored = self.ledger.last_ends.get(&registration.executor).copied().unwrap_or(0);
        let mut known = Executor::new(registration, now.time);
        known.processed_end = stored;
        known.stored_end = stored;
        known
    }

    /// Ends the incarnation that was registered at the same address before. An address has one
    /// executor at a time, so its tasks need not wait for the lease to expire. An incarnation of the
    /// same registered name is ended only once an answer shows which of the two runs.
    fn end_previous_incarnation(&mut self, now: Now, registration: &Registration) {
        let same_address = |known: &&Executor| {
            known.registration.address == registration.address
                && incarnation::registered_name(&known.registration.executor)
                    != incarnation::registered_name(&registration.executor)
                && !known.is_registered
        };
        let before = self.executors.values().find(same_address);
        if let Some(executor) = before.map(|known| known.registration.executor.clone()) {
            self.end_incarnation(now, &executor, EndDetection::OtherIncarnationRegistered);
        }
    }

    fn handle_unregistered(&mut self, executor: &ExecutorName) {
        let is_known = self.executors.get(executor).is_some();
        let unconfirmed = self.executors.unconfirmed_incarnation(executor).cloned();
        if let Some(unconfirmed) = unconfirmed.filter(|other| other == executor || !is_known) {
            self.drop_unconfirmed(&unconfirmed, "its registration is gone");
        }
        let known =
            if is_known { Some(executor) } else { self.executors.latest_incarnation(executor) };
        if let Some(executor) = known.cloned() {
            self.mark_unregistered(&executor);
        }
    }

    fn mark_unregistered(&mut self, executor: &ExecutorName) {
        let Some(known) = self.executors.get_mut(executor) else { return };
        if known.is_registered {
            known.is_registered = false;
            let runs = known.runs.len();
            self.log("executor-gone", executor, || format!("runs={runs}"));
        }
    }

    /// Stops the lasting runs of an executor that drains, so that they are interrupted only while
    /// they move. Other runs are likely to end before the executor does.
    fn stop_lasting_runs(&mut self, now: Now, executor: &ExecutorName) {
        let Some(known) = self.executors.get(executor) else { return };
        let lasting = known.runs.iter().filter(|(_, held)| held.lasting);
        let tasks: Vec<TaskKey> = lasting.map(|(task, _)| task.clone()).collect();
        self.log("executor-drains", executor, || format!("lasting={}", tasks.len()));
        for task in tasks {
            self.order_stop(now, executor, &task);
        }
    }
}
