//! One target's state at this entry: its usable slots and its rank among targets with free slots.

use std::{cmp::Ordering, net::SocketAddr};

use borageswitch_types::{
    Time,
    view::{TargetState, TargetView},
};

use super::health::Health;

/// A target, kept until it has left the view and has no requests in flight.
#[derive(Debug)]
pub(super) struct Target {
    pub(super) address: SocketAddr,
    pub(super) epoch: u64,
    pub(super) state: TargetState,
    /// False once the target has left the view; it is dropped when nothing is in flight.
    pub(super) listed: bool,
    pub(super) slots: u16,
    pub(super) allocated: u16,
    /// The part of `allocated` that may be used while the target warms up.
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
    pub(super) fn new(now: Time, view: &TargetView) -> Self {
        let mut target = Self {
            address: view.address,
            epoch: view.epoch,
            state: view.state,
            listed: true,
            slots: view.slots,
            allocated: view.dealt_slots,
            open: view.dealt_slots,
            warming_since: None,
            lent: 0,
            borrowed: 0,
            in_flight: 0,
            paused_until: Time::ZERO,
            last_start: Time::ZERO,
            health: Health::default(),
            slowness: 1.0,
        };
        target.update(now, view);
        target
    }

    pub(super) fn update(&mut self, now: Time, view: &TargetView) {
        if self.epoch != view.epoch {
            // The statistics belong to the host's last assignment, and every loan of it is void.
            (self.lent, self.borrowed) = (0, 0);
            let in_flight = self.in_flight;
            if in_flight == 0 {
                self.health = Health::default();
            }
            self.warming_since = None;
        }
        self.warming_since = match view.state {
            TargetState::Warming => Some(self.warming_since.unwrap_or(now)),
            TargetState::Open | TargetState::Leaving => None,
        };
        self.address = view.address;
        self.epoch = view.epoch;
        self.state = view.state;
        self.listed = true;
        self.slots = view.slots;
        self.allocated = view.dealt_slots;
    }

    pub(super) fn accepts_requests(&self) -> bool {
        self.listed && self.state != TargetState::Leaving
    }

    /// Returns how many requests this entry may have in flight on the target.
    pub(super) fn usable(&self) -> u32 {
        if !self.accepts_requests() {
            return 0;
        }
        u32::from(self.open.saturating_sub(self.lent) + self.borrowed)
    }

    pub(super) fn free(&self) -> u32 {
        self.usable().saturating_sub(self.in_flight)
    }

    /// Orders by cost; among equal targets the least recently used one comes first.
    pub(super) fn compare(&self, other: &Target) -> Ordering {
        self.cost().total_cmp(&other.cost()).then(self.last_start.cmp(&other.last_start))
    }

    fn cost(&self) -> f64 {
        f64::from(self.in_flight + 1) / f64::from(self.usable().max(1)) * self.slowness.max(1.0)
    }
}
