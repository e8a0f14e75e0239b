//! Claims of callers' requests, and releases of claims whose request was not sent.

use std::time::Duration;

use borageswitch_control::Event;
use borageswitch_types::{
    claim::{ClaimOutcome, ClaimRequest, ClaimTicket},
    names::DaemonName,
};

use super::{Action, World};

impl World {
    pub fn claim(&mut self, daemon: &DaemonName, id: u64) {
        let ticket = ClaimTicket(self.last_sequence + 1);
        let Some(fake) = self.daemons.get_mut(daemon) else { return };
        fake.tickets.insert(ticket, id);
        let claim = ClaimRequest {
            ticket,
            service: "payroll".into(),
            request_id: format!("caller/{id}").into(),
            deadline: self.now + Duration::from_millis(1_500),
        };
        self.schedule(Duration::ZERO, Action::Deliver(daemon.clone(), Event::Claim(claim)));
    }

    pub(super) fn claim_concurrently(&mut self) {
        let wait = self.millis(5, 100);
        if self.faults_enabled() {
            self.schedule(wait, Action::Claim);
        }
        let id = self.last_sequence;
        for _ in 0..self.rng.usize(1..=3) {
            let daemon = self.any_daemon();
            self.claim(&daemon, id);
        }
    }

    /// Half of the granted requests are not sent. Most of their claims are released, some twice,
    /// and their callers retry. Some refused requests release a claim that they were never granted.
    pub(super) fn release_unsent(
        &mut self,
        daemon: &DaemonName,
        ticket: ClaimTicket,
        id: u64,
        outcome: ClaimOutcome,
    ) {
        let Some(rng) = &mut self.unsent_rng else { return };
        let granted = outcome == ClaimOutcome::Granted;
        let share = if granted { 0.5 } else { 0.1 };
        if rng.f64() >= share {
            return;
        }
        let (is_lost, is_twice) = (rng.u8(..10) == 0, rng.u8(..5) == 0);
        let wait = Duration::from_millis(rng.u64(0..300));
        let resend = wait + Duration::from_millis(rng.u64(0..600));
        if !is_lost {
            self.schedule(wait, Action::ReleaseClaim(daemon.clone(), ticket, id));
        }
        if is_twice && !is_lost {
            self.schedule(wait * 2, Action::ReleaseClaim(daemon.clone(), ticket, id));
        }
        self.schedule(resend, Action::Resend(id));
    }

    pub(super) fn release_claim(&mut self, daemon: DaemonName, ticket: ClaimTicket, id: u64) {
        if self.is_paused(&daemon) {
            self.schedule(Duration::from_millis(50), Action::ReleaseClaim(daemon, ticket, id));
            return;
        }
        if self.daemons.contains_key(&daemon) {
            self.checker.claim_released(id, &daemon, ticket);
        }
        self.deliver(&daemon, Event::ReleaseClaim(ticket));
    }

    /// Releases a claim at the daemon that it was granted to.
    pub fn release_granted(&mut self, id: u64) {
        if let Some((daemon, ticket)) = self.checker.holder(id) {
            self.schedule(Duration::ZERO, Action::ReleaseClaim(daemon, ticket, id));
        }
    }

    pub(super) fn resend(&mut self, id: u64) {
        let names = self.names();
        let Some(rng) = &mut self.unsent_rng else { return };
        let daemon = names[rng.usize(..names.len())].clone();
        self.claim(&daemon, id);
    }
}
