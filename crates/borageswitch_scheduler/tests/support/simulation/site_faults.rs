//! Losses of power, and outages of the store with a change of leader or with registrations that
//! expire.

use borageswitch_types::names::{ExecutorName, HostName};

use super::{Simulation, hosts::DATA_CENTRES};

/// The shortest and the longest outage of the store, in milliseconds.
const MIN_OUTAGE: u64 = 4_000;
const MAX_OUTAGE: u64 = 6_000;
/// The longest time from the end of an outage to the next leader, in milliseconds.
const MAX_ELECTION: u64 = 200;
/// The longest time for which an executor is not registered after an outage, in milliseconds.
const MAX_REGISTRATION_GAP: u64 = 2_000;
/// The shortest and the longest time for which an executor is cut off so that its lease expires, in
/// milliseconds.
const MIN_LAPSE: u64 = 4_200;
const MAX_LAPSE: u64 = 6_500;
/// The longest time without a leader after it ended at a host order, in milliseconds.
const MAX_VACANCY: u64 = 1_500;

impl Simulation {
    pub(super) fn inject_site_faults(&mut self) {
        if self.rare_chance(self.faults.power_loss) {
            self.lose_power();
        }
        if self.rare_chance(self.faults.outage_with_takeover) {
            self.begin_outage();
            self.end_leader_in_outage();
        }
        if self.rare_chance(self.faults.lease_lapse) {
            self.cut_off_until_lapse();
        }
        if self.rare_chance(self.faults.registration_gap) {
            self.begin_outage();
            self.expire_registrations();
        }
    }

    /// Ends all hosts of a data centre, or of the site. Each comes back some seconds later.
    fn lose_power(&mut self) {
        let executors = match self.rng.usize(..=DATA_CENTRES.len()) {
            site if site == DATA_CENTRES.len() => self.executors_where(|_| true),
            data_centre => self.executors_in(DATA_CENTRES[data_centre]),
        };
        self.trace(|| format!("{} hosts lose power", executors.len()));
        executors.iter().for_each(|executor| self.crash(executor));
    }

    fn begin_outage(&mut self) {
        let until = self.now + self.rng.u64(MIN_OUTAGE..MAX_OUTAGE);
        self.store_outage_until = until.max(self.incidents.store_back_at);
        self.trace(|| format!("the store is away until {}", self.store_outage_until));
    }

    /// The leader's authority ends with the outage at the latest.
    fn end_leader_in_outage(&mut self) {
        let pause = self.store_outage_until - self.now + self.rng.u64(..MAX_ELECTION);
        if self.leader.is_some() {
            self.trace(|| format!("leader ends, the next one at {}", self.now + pause));
            self.crash_leader(pause);
        }
    }

    fn cut_off_until_lapse(&mut self) {
        let alive = self.executors_where(|_| true);
        if alive.is_empty() {
            return;
        }
        let victim = alive[self.rng.usize(..alive.len())].clone();
        let until = self.now + self.rng.u64(MIN_LAPSE..MAX_LAPSE);
        self.trace(|| format!("{victim} is cut off until {until}"));
        self.partitioned_until.insert(victim, until);
    }

    /// Half of the executors are not registered when the store is back, and register within
    /// seconds.
    pub(super) fn expire_registrations(&mut self) {
        for executor in self.executors_where(|_| true) {
            if self.rng.bool() {
                let until = self.store_outage_until + self.rng.u64(1..MAX_REGISTRATION_GAP);
                self.unregistered_until.insert(executor, until);
            }
        }
        self.trace(|| format!("{} registrations expire", self.unregistered_until.len()));
        self.registrations_due = true;
    }

    /// Registers executors again, and sends the leader the registrations once the store is back.
    pub(super) fn advance_registrations(&mut self) {
        let is_away = self.now < self.store_outage_until || self.is_in_watch_gap();
        let before = self.unregistered_until.len();
        self.unregistered_until.retain(|_, until| *until > self.now);
        self.registrations_due |= before != self.unregistered_until.len();
        if self.registrations_due && !is_away {
            self.registrations_due = false;
            self.send_registrations();
        }
    }

    /// Ends the leader after an order for a host, before it learns of the answer.
    pub(super) fn end_after_host_order(&mut self, host: &HostName) {
        if self.chance(self.faults.end_after_host_order) && self.leader.is_some() {
            let pause = self.rng.u64(50..MAX_VACANCY);
            self.trace(|| format!("leader ends after its order for {host}"));
            self.crash_leader(pause);
        }
    }

    /// Whether an executor runs but is not registered.
    pub fn is_unregistered(&self, executor: &ExecutorName) -> bool {
        self.unregistered_until.contains_key(executor)
    }
}
