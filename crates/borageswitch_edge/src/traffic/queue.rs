//! The dispatcher of one service behind a lock, and the requests that wait for its decisions.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use borageswitch_policy::dispatch::{DispatchInput, DispatchOutput, Dispatcher, Outcome, Ticket};
use borageswitch_types::{
    Time,
    names::{DaemonName, HostName, ServiceName},
    slots::SlotMessage,
    view::TrafficView,
};
use serde_json::json;

use super::{answer::Refusal, core::SlotSender};

/// What the dispatcher has decided about a request.
#[derive(Clone, Debug)]
pub(super) enum Decision {
    Start { host: HostName, address: SocketAddr },
    Refuse(Refusal),
}

/// A decision that has fallen, or will.
pub(super) enum Pending {
    Now(Decision),
    Later(async_channel::Receiver<Decision>),
}

/// The dispatcher of one service and the requests that wait for it.
pub(super) struct ServiceQueue {
    service: ServiceName,
    slots: SlotSender,
    inner: Mutex<Inner>,
}

struct Inner {
    dispatcher: Dispatcher,
    waiting: BTreeMap<Ticket, async_channel::Sender<Decision>>,
    outputs: Vec<DispatchOutput>,
    failures: BTreeMap<HostName, Failures>,
}

/// How tries on one host have ended lately.
#[derive(Clone, Copy, Debug, Default)]
struct Failures {
    failed: u32,
    ended: u32,
}

impl ServiceQueue {
    pub(super) fn new(service: ServiceName, seed: u64, slots: SlotSender) -> Self {
        let dispatcher = Dispatcher::new(service.clone(), seed);
        let inner = Inner {
            dispatcher,
            waiting: BTreeMap::new(),
            outputs: Vec::new(),
            failures: BTreeMap::new(),
        };
        Self { service, slots, inner: Mutex::new(inner) }
    }

    pub(super) fn service(&self) -> &ServiceName {
        &self.service
    }

    pub(super) fn set_view(&self, now: Time, view: &Arc<TrafficView>) {
        let mut inner = self.lock();
        let mut outputs = std::mem::take(&mut inner.outputs);
        inner.dispatcher.set_view(now, Arc::clone(view), &mut outputs);
        self.carry_out(&mut inner, outputs, None);
    }

    pub(super) fn tick(&self, now: Time) {
        self.handle(now, DispatchInput::Tick);
    }

    pub(super) fn take_slots(&self, now: Time, from: DaemonName, message: SlotMessage) {
        self.handle(now, DispatchInput::Slots(from, message));
    }

    /// Hands in what happened to a request after which nothing more is decided about it.
    pub(super) fn end(&self, now: Time, ticket: Ticket, input: DispatchInput) {
        let mut inner = self.lock();
        let decision = self.step(&mut inner, now, input, Some(ticket));
        assert!(
            !matches!(decision, Some(Decision::Start { .. })),
            "{ticket} was started after its end"
        );
    }

    /// Hands in what happened to a request that needs a decision.
    pub(super) fn ask(&self, now: Time, ticket: Ticket, input: DispatchInput) -> Pending {
        let mut inner = self.lock();
        if let Some(decision) = self.step(&mut inner, now, input, Some(ticket)) {
            return Pending::Now(decision);
        }
        let (tx, rx) = async_channel::bounded(1);
        let before = inner.waiting.insert(ticket, tx);
        assert!(before.is_none(), "{ticket} waits for two decisions");
        Pending::Later(rx)
    }

    /// Ends a request whose caller went away while it waited for `decision`.
    ///
    /// The decision may have fallen unseen: then its slot is taken and must be given back, or the
    /// target would seem busier than it is for ever. Decisions fall under the lock, so here it is
    /// certain whether one has.
    pub(super) fn cancel(
        &self,
        now: Time,
        ticket: Ticket,
        decision: &async_channel::Receiver<Decision>,
    ) {
        let mut inner = self.lock();
        inner.waiting.remove(&ticket);
        let input = match decision.try_recv() {
            Ok(Decision::Start { .. }) => DispatchInput::Finished(ticket, Outcome::Abandoned),
            Ok(Decision::Refuse(_)) => return,
            Err(_) => DispatchInput::Cancelled(ticket),
        };
        self.step(&mut inner, now, input, Some(ticket));
    }

    /// Counts the end of a try for the report of failing hosts.
    pub(super) fn count(&self, host: &HostName, failed: bool) {
        let mut inner = self.lock();
        if !failed && !inner.failures.contains_key(host) {
            return;
        }
        let failures = inner.failures.entry(host.clone()).or_default();
        failures.ended += 1;
        failures.failed += u32::from(failed);
    }

    /// Adds this service's requests in flight on each host to `sums`.
    pub(super) fn add_in_flight(&self, sums: &mut BTreeMap<HostName, u32>) {
        for (host, count) in self.lock().dispatcher.in_flight() {
            *sums.entry(host.clone()).or_default() += *count;
        }
    }

    /// Shares of failed tries since the last call, in thousandths; hosts without failures are
    /// left out.
    pub(super) fn take_failing(&self) -> BTreeMap<HostName, u16> {
        let failures = std::mem::take(&mut self.lock().failures);
        let share = |it: &Failures| (u64::from(it.failed) * 1_000 / u64::from(it.ended)) as u16;
        failures.iter().map(|(host, it)| (host.clone(), share(it))).collect()
    }

    pub(super) fn dump(&self) -> serde_json::Value {
        let inner = self.lock();
        let in_flight: BTreeMap<&str, u32> =
            inner.dispatcher.in_flight().iter().map(|(host, n)| (host.as_str(), *n)).collect();
        json!({ "waiting": inner.dispatcher.waiting(), "in_flight": in_flight })
    }

    fn handle(&self, now: Time, input: DispatchInput) {
        let mut inner = self.lock();
        self.step(&mut inner, now, input, None);
    }

    fn step(
        &self,
        inner: &mut Inner,
        now: Time,
        input: DispatchInput,
        own: Option<Ticket>,
    ) -> Option<Decision> {
        let mut outputs = std::mem::take(&mut inner.outputs);
        inner.dispatcher.handle(now, input, &mut outputs);
        self.carry_out(inner, outputs, own)
    }

    /// Carries the outputs out and returns the decision about `own`, if one has fallen.
    fn carry_out(
        &self,
        inner: &mut Inner,
        mut outputs: Vec<DispatchOutput>,
        own: Option<Ticket>,
    ) -> Option<Decision> {
        let mut own_decision = None;
        for output in outputs.drain(..) {
            let (ticket, decision) = match output {
                DispatchOutput::Start { ticket, host, address } => {
                    (ticket, Decision::Start { host, address })
                }
                DispatchOutput::Refuse { ticket, kind, retry_after } => {
                    (ticket, Decision::Refuse(Refusal { kind, retry_after }))
                }
                DispatchOutput::SendSlots(to, message) => {
                    // A message that does not fit is lost like one on a broken connection: loans
                    // expire by themselves.
                    let _ = self.slots.try_send((to, message));
                    continue;
                }
            };
            if own == Some(ticket) {
                assert!(own_decision.is_none(), "{ticket} was decided twice");
                own_decision = Some(decision);
                continue;
            }
            let waiting = inner.waiting.remove(&ticket);
            let tx = waiting.unwrap_or_else(|| panic!("{ticket} was decided without waiting"));
            let _ = tx.try_send(decision);
        }
        inner.outputs = outputs;
        own_decision
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
