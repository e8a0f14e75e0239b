//! The leader's view of its relays: which calls go to which of them, and which have no outcome yet.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet},
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use async_channel::{Receiver, Sender};
use borageswitch_scheduler::{
    effect::{Effect, PollOrder},
    event::{Event, OrderResponse, PollResponse, StartResponse},
    task::TaskKey,
};
use borageswitch_types::{Time, names::ExecutorName};

use super::{
    SILENCE_LIMIT,
    frames::{Call, CallFrame, Outcome, OutcomeFrame},
};

/// The number of calls per second and core of the leader's host above which relays are used: they
/// then take about half of the core. Below that, the delay of the frames costs more than it saves.
const CALLS_PER_CORE_S: f64 = 3_500.0;
/// Relays are used until the rate has been below this part of it for [`LINGER`].
const LOW_RATE: f64 = 0.25;
/// How long relays stay in use at a low rate, so that connections to executors are not given up
/// between two peaks.
const LINGER: Duration = Duration::from_secs(20);
/// The interval over which the rate of calls is counted, longer than the burst of a single large job.
const RATE_INTERVAL: Duration = Duration::from_millis(500);
/// How many relays are used at most: each one costs frames, and a few carry the calls of one leader.
const MAX_RELAYS: usize = 8;
/// How long a call to an executor takes at most, besides the time that the executor may hold it.
const CALL_TIMEOUT: Duration = Duration::from_millis(850);
/// How long the frames to a relay and back take at most.
const FRAME_TIMEOUT: Duration = Duration::from_millis(350);

/// Identifies a relay's session.
pub(super) type RelayId = u64;

/// A call whose outcome is awaited.
#[derive(Clone, Debug)]
struct Pending {
    token: u64,
    kind: PendingKind,
    executor: ExecutorName,
    sent: Time,
    deadline: Time,
}

#[derive(Clone, Debug)]
enum PendingKind {
    Start(TaskKey, u32),
    Stop(TaskKey, u32),
    Poll(PollOrder),
}

impl Pending {
    /// The event for an outcome; `None` if the outcome is of another kind of call.
    fn event(self, outcome: Outcome) -> Option<Event> {
        let (executor, sent) = (self.executor, self.sent);
        match (self.kind, outcome) {
            (PendingKind::Start(task, run), Outcome::Start(response, clock_ms)) => {
                Some(Event::StartAnswered { executor, task, run, sent, clock_ms, response })
            }
            (PendingKind::Stop(task, run), Outcome::Stop(response)) => {
                Some(Event::StopAnswered { executor, task, run, response })
            }
            (PendingKind::Poll(order), Outcome::Poll(response)) => {
                Some(Event::Polled { executor, sent, order, response })
            }
            _ => None,
        }
    }

    fn lost(self) -> Option<Event> {
        let outcome = match &self.kind {
            PendingKind::Start(..) => Outcome::Start(StartResponse::Lost, None),
            PendingKind::Stop(..) => Outcome::Stop(OrderResponse::Lost),
            PendingKind::Poll(_) => Outcome::Poll(PollResponse::Lost),
        };
        self.event(outcome)
    }
}

#[derive(Debug)]
struct Relay {
    address: SocketAddr,
    cores: f64,
    /// The relay's clock in its newest frame, and when that frame was received.
    clock: Option<(u64, Time)>,
    last_frame: Time,
    outbox: Vec<(u64, Call)>,
    token: u64,
    pending: BTreeMap<u64, Pending>,
    wake: Sender<()>,
}

/// The rate of calls, and whether relays are in use.
#[derive(Debug, Default)]
struct Usage {
    calls: u32,
    since: Time,
    in_use: bool,
    last_high: Time,
}

#[derive(Debug, Default)]
struct Registry {
    next_relay: RelayId,
    next_call: u64,
    relays: BTreeMap<RelayId, Relay>,
    /// The relays that calls are divided among.
    selected: BTreeSet<RelayId>,
    usage: Usage,
}

/// The relays of this daemon while it leads.
#[derive(Debug, Default)]
pub struct Relays {
    registry: Mutex<Registry>,
}

/// What became of an effect.
pub(crate) enum Routed {
    /// A relay makes the call.
    Relayed,
    /// The leader makes it.
    Own(Effect),
}

impl Relays {
    /// Hands a call to the relay of its executor, if relays are in use.
    pub(crate) fn route(&self, now: Time, cores: f64, token: u64, effect: Effect) -> Routed {
        let mut registry = self.lock();
        let executor = match &effect {
            Effect::Start(to, _) | Effect::Stop(to, ..) | Effect::Poll(to, _) => &to.executor,
            _ => return Routed::Own(effect),
        };
        if !registry.usage.count_call(now, cores) {
            return Routed::Own(effect);
        }
        let Some(id) = registry.relay_of(now, executor) else { return Routed::Own(effect) };
        registry.next_call += 1;
        let number = registry.next_call;
        let Some(relay) = registry.relays.get_mut(&id) else { return Routed::Own(effect) };
        relay.enqueue(now, token, number, effect);
        Routed::Relayed
    }

    /// The number of calls handed to relays since the start of the process.
    pub fn relayed_calls(&self) -> u64 {
        self.lock().next_call
    }

    /// Adds a relay. The receiver gets a message when there are calls for it.
    pub(super) fn add(
        &self,
        now: Time,
        address: SocketAddr,
        cores: f64,
    ) -> (RelayId, Receiver<()>) {
        let (wake, woken) = async_channel::bounded(1);
        let mut registry = self.lock();
        registry.next_relay += 1;
        let id = registry.next_relay;
        let relay = Relay {
            address,
            cores,
            clock: None,
            last_frame: now,
            outbox: Vec::new(),
            token: 0,
            pending: BTreeMap::new(),
            wake,
        };
        registry.relays.insert(id, relay);
        registry.select();
        (id, woken)
    }

    /// Removes a relay. Gives its calls without an outcome as calls without a response, each with
    /// the token of its term.
    pub(super) fn remove(&self, id: RelayId) -> Vec<(u64, Event)> {
        let mut registry = self.lock();
        let relay = registry.relays.remove(&id);
        registry.select();
        let pending = relay.into_iter().flat_map(|relay| relay.pending.into_values());
        pending.filter_map(|call| Some((call.token, call.lost()?))).collect()
    }

    /// Takes the calls for a relay. `until` is the end of the leader's authority.
    pub(super) fn take_frame(&self, id: RelayId, until: Time) -> Option<CallFrame> {
        let mut registry = self.lock();
        let relay = registry.relays.get_mut(&id)?;
        let (clock, received) = relay.clock?;
        if relay.outbox.is_empty() {
            return None;
        }
        // The frame was sent before it was received, so the relay's clock was at least that then.
        let authority_until = clock + until.since(received).as_micros() as u64;
        let calls = std::mem::take(&mut relay.outbox);
        Some(CallFrame { token: relay.token, authority_until, calls })
    }

    /// Takes in the outcomes of a relay. Gives the events, each with the token of its term.
    pub(super) fn receive(&self, now: Time, id: RelayId, frame: OutcomeFrame) -> Vec<(u64, Event)> {
        let mut registry = self.lock();
        let Some(relay) = registry.relays.get_mut(&id) else { return Vec::new() };
        relay.last_frame = now;
        let is_first = relay.clock.is_none();
        relay.clock = Some((frame.clock, now));
        let mut events = Vec::new();
        for (number, outcome) in frame.outcomes {
            let call = relay.pending.remove(&number);
            events.extend(call.and_then(|call| Some((call.token, call.event(outcome)?))));
        }
        if is_first {
            registry.select();
        }
        events
    }

    /// The calls of a relay whose outcome is overdue, and whether the relay has fallen silent.
    pub(super) fn expire(&self, now: Time, id: RelayId) -> (Vec<(u64, Event)>, bool) {
        let mut registry = self.lock();
        let Some(relay) = registry.relays.get_mut(&id) else { return (Vec::new(), true) };
        let overdue: Vec<u64> = relay
            .pending
            .iter()
            .filter(|(_, call)| call.deadline <= now)
            .map(|(number, _)| *number)
            .collect();
        let calls = overdue.iter().filter_map(|number| relay.pending.remove(number));
        let events = calls.filter_map(|call| Some((call.token, call.lost()?))).collect();
        (events, now.since(relay.last_frame) >= SILENCE_LIMIT)
    }

    fn lock(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Relay {
    fn enqueue(&mut self, now: Time, token: u64, number: u64, effect: Effect) {
        // A frame has one fencing token. With that of a later term, calls of an earlier one would be
        // carried out although the later one may have decided otherwise.
        match token.cmp(&self.token) {
            Ordering::Less => return,
            Ordering::Equal => {}
            Ordering::Greater => self.outbox.clear(),
        }
        let (call, kind, executor, hold) = match effect {
            Effect::Start(to, order) => {
                let kind = PendingKind::Start(order.task.clone(), order.run);
                let executor = to.executor.clone();
                (Call::Start(to, order), kind, executor, Duration::ZERO)
            }
            Effect::Stop(to, task, run) => {
                let kind = PendingKind::Stop(task.clone(), run);
                let executor = to.executor.clone();
                (Call::Stop(to, task, run), kind, executor, Duration::ZERO)
            }
            Effect::Poll(to, order) => {
                let executor = to.executor.clone();
                (Call::Poll(to, order), PendingKind::Poll(order), executor, order.wait)
            }
            _ => return,
        };
        let deadline = now + CALL_TIMEOUT + FRAME_TIMEOUT + hold;
        self.token = token;
        self.pending.insert(number, Pending { token, kind, executor, sent: now, deadline });
        self.outbox.push((number, call));
        // A full channel holds a message that has not been received yet.
        let _ = self.wake.try_send(());
    }

    /// A relay without a frame for half of the limit may have lost its connection.
    fn is_responsive(&self, now: Time) -> bool {
        self.clock.is_some() && now.since(self.last_frame) < SILENCE_LIMIT / 2
    }
}

impl Usage {
    /// Counts a call. Gives whether relays are in use.
    fn count_call(&mut self, now: Time, cores: f64) -> bool {
        self.calls += 1;
        let took = now.since(self.since);
        if took < RATE_INTERVAL {
            return self.in_use;
        }
        let rate = f64::from(self.calls) / took.as_secs_f64();
        let limit = CALLS_PER_CORE_S * cores;
        self.calls = 0;
        self.since = now;
        if rate >= limit * LOW_RATE {
            self.last_high = now;
        }
        let was_in_use = self.in_use;
        self.in_use = rate >= limit || (was_in_use && now.since(self.last_high) < LINGER);
        if self.in_use != was_in_use {
            log::info!(in_use = self.in_use, calls_per_s = rate as u64; "relays-in-use");
        }
        self.in_use
    }
}

impl Registry {
    /// The relay of an executor: the selected one with the highest hash of both names. When a relay
    /// comes or goes, only the executors that it gains or loses change theirs.
    fn relay_of(&self, now: Time, executor: &ExecutorName) -> Option<RelayId> {
        let responsive = self.selected.iter().filter_map(|id| {
            let relay = self.relays.get(id).filter(|relay| relay.is_responsive(now))?;
            Some((rank(executor, relay.address), *id))
        });
        responsive.max().map(|(_, id)| id)
    }

    /// Selects the strongest relays.
    fn select(&mut self) {
        let ready = self.relays.iter().filter(|(_, relay)| relay.clock.is_some());
        let mut ready: Vec<(&RelayId, &Relay)> = ready.collect();
        ready.sort_by(|a, b| b.1.cores.total_cmp(&a.1.cores).then(a.1.address.cmp(&b.1.address)));
        self.selected = ready.into_iter().take(MAX_RELAYS).map(|(id, _)| *id).collect();
    }
}

fn rank(executor: &ExecutorName, relay: SocketAddr) -> u64 {
    let mut hasher = DefaultHasher::new();
    relay.hash(&mut hasher);
    executor.as_str().hash(&mut hasher);
    hasher.finish()
}

#[cfg(test)]
mod tests;
