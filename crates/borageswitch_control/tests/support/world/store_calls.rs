//! Store calls: slow calls, lost responses, watches, and daemons that cannot reach the store.

use std::time::Duration;

use borageswitch_control::{
    Event,
    store::{CallId, StoreError, StoreRequest, StoreResponse},
};
use borageswitch_types::{Time, names::DaemonName};

use super::{Action, FLEET_KEY, World};

impl World {
    pub fn cut_from_store(&mut self, daemon: &DaemonName, time: Duration) {
        if let Some(fake) = self.daemons.get_mut(daemon) {
            fake.is_cut_from_store = true;
        }
        self.schedule(time, Action::HealStore(daemon.clone()));
    }

    pub(super) fn call_store(
        &mut self,
        daemon: &DaemonName,
        call: CallId,
        request: StoreRequest,
        timeout: Duration,
    ) {
        let lost_at = self.now + timeout;
        let delay = if self.chance(0.02) { self.millis(100, 700) } else { self.millis(1, 4) };
        self.schedule(delay, Action::Execute(daemon.clone(), call, request, lost_at));
    }

    pub(super) fn execute(
        &mut self,
        daemon: DaemonName,
        call: CallId,
        request: StoreRequest,
        lost_at: Time,
    ) {
        let Some(fake) = self.daemons.get(&daemon) else { return };
        if fake.is_cut_from_store {
            let lost = self.rng.bool();
            let wait = if lost { lost_at.since(self.now) } else { Duration::from_millis(2) };
            let err = if lost { StoreError::AnswerLost } else { StoreError::NotSent };
            self.schedule(wait, Action::Deliver(daemon, Event::Store { call, outcome: Err(err) }));
            return;
        }
        if let StoreRequest::Watch { key, after, wait } = &request
            && self.store.version(key) <= *after
        {
            let until = self.now + *wait;
            self.watches.push((daemon, call, request, until));
            return;
        }
        let response = self.store.execute(self.now, &request);
        let is_fleet_write = matches!(&request, StoreRequest::CompareAndSwap { key, .. }
            if &**key == FLEET_KEY && matches!(response, StoreResponse::Written { .. }));
        if let (true, StoreRequest::CompareAndSwap { value, .. }) = (is_fleet_write, &request) {
            self.checker.committed(value);
            self.wake_watches();
        }
        let is_append = matches!(&request, StoreRequest::CompareAndSwap { key, .. }
            if key.contains("/claims/"));
        let planned_loss = is_append && std::mem::take(&mut self.lose_next_append);
        let is_list = matches!(&request, StoreRequest::List { .. });
        self.list_calls += u64::from(is_list);
        let is_list_lost = is_list && !self.list_calls.is_multiple_of(self.list_response_interval);
        let lost = planned_loss
            || is_list_lost
            || self.chance(self.faults.lost_response)
            || self.now >= lost_at;
        let delay = self.millis(1, 4);
        let (wait, outcome) = match lost {
            true => (lost_at.since(self.now), Err(StoreError::AnswerLost)),
            false => (delay, Ok(response)),
        };
        self.schedule(wait, Action::Deliver(daemon, Event::Store { call, outcome }));
    }

    fn wake_watches(&mut self) {
        for (daemon, call, request, until) in std::mem::take(&mut self.watches) {
            let response = match until > self.now {
                true => self.store.execute(self.now, &request),
                false => StoreResponse::Value(None),
            };
            // A watch may never get a response; the daemon's own timeout must end it.
            if !self.chance(0.1) {
                let delay = self.millis(1, 4);
                let event = Event::Store { call, outcome: Ok(response) };
                self.schedule(delay, Action::Deliver(daemon, event));
            }
        }
    }
}
