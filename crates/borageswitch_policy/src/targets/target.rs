//! One target's state at this entry: how many of its slots may be used now, and in which order free
//! targets come.

use std::{cmp::Ordering, net::SocketAddr};

use borageswitch_types::{
    Time,
    view::{TargetState, TargetView},
};

use super::health::Health;

/// A target, kept until it has left the view and nothing is in flight on it.
#[derive(Debug)]
pub(super) struct Target {
    pub(super) address: SocketAddr,
    pub(super) epoch: u64,
    pub(super) state: TargetState,
    /// False once the target is no longer in the view; it is forgotten when nothing is in flight.
    pub(super) listed: bool,
    pub(super) slots: u16,
    pub(super) dealt: u16,
    /// Of `dealt`, what may be used while the target warms up.
    pub(super) open: u16,
    pub(super) warming_since: Option<Time>,
    pub(super) lent: u16,
    pub(super) borrowed: u16,
    pub(super) in_flight: u32,
    pub(super) paused_until: Time,
    pub(super) last_start: Time,
    pub(super) health: Health,
    pub(super) slowness: f64,
}

impl Target {
    pub(super) fn new(now: Time, seen: &TargetView) -> Self {
        let mut target = Self {
            address: seen.address,
            epoch: seen.epoch,
            state: seen.state,
            listed: true,
            slots: seen.slots,
            dealt: seen.dealt_slots,
            open: seen.dealt_slots,
            warming_since: None,
            lent: 0,
            borrowed: 0,
            in_flight: 0,
            paused_until: Time::ZERO,
            last_start: Time::ZERO,
            health: Health::default(),
            slowness: 1.0,
        };
        target.update(now, seen);
        target
    }

    pub(super) fn update(&mut self, now: Time, seen: &TargetView) {
        if self.epoch != seen.epoch {
            // What is known belongs to the host's last assignment, and every loan of it is void.
            (self.lent, self.borrowed) = (0, 0);
            let in_flight = self.in_flight;
            if in_flight == 0 {
                self.health = Health::default();
            }
            self.warming_since = None;
        }
        self.warming_since = match seen.state {
            TargetState::Warming => Some(self.warming_since.unwrap_or(now)),
            TargetState::Open | TargetState::Leaving => None,
        };
        self.address = seen.address;
        self.epoch = seen.epoch;
        self.state = seen.state;
        self.listed = true;
        self.slots = seen.slots;
        self.dealt = seen.dealt_slots;
    }

    pub(super) fn takes_new(&self) -> bool {
        self.listed && self.state != TargetState::Leaving
    }

    /// How many requests this entry may have in flight on the target.
    pub(super) fn usable(&self) -> u32 {
        if !self.takes_new() {
            return 0;
        }
        u32::from(self.open.saturating_sub(self.lent) + self.borrowed)
    }

    pub(super) fn free(&self) -> u32 {
        self.usable().saturating_sub(self.in_flight)
    }

    /// Orders by cost; among equals the one that has waited longest for a request comes first.
    pub(super) fn compare(&self, other: &Target) -> Ordering {
        self.cost().total_cmp(&other.cost()).then(self.last_start.cmp(&other.last_start))
    }

    fn cost(&self) -> f64 {
        f64::from(self.in_flight + 1) / f64::from(self.usable().max(1)) * self.slowness.max(1.0)
    }
}
