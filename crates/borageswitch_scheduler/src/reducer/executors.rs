//! The leader's view of each executor and of the runs there.

use std::{collections::BTreeMap, time::Duration};

use borageswitch_types::Time;

use crate::{
    effect::Recipient,
    executor::Registration,
    incarnation,
    job::Size,
    ledger::recent_starts,
    policy::{circuit_breaker::CircuitBreaker, quotas::Charge},
    reducer::{clock::ClockReading, crashes::LostRun, speed_limits::FULL_SPEED},
    task::TaskKey,
};

/// The maximum time between a stop order and the end of the run, which the executor lists as active
/// until then.
const MAX_STOP_TIME_MS: u64 = 1_000;

/// The phase of a run, as far as the leader knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The assignment is being stored; no order has been sent.
    Recorded,
    /// The start order is in flight.
    Sent,
    /// The executor runs it.
    Active,
    /// An earlier leader assigned it, and the executor has not responded to a poll of this leader.
    Inherited,
    /// The start order got no response: the run may exist or may still start.
    Unsure,
    /// It is being stopped; its capacity stays in use until its end is listed.
    Stopping,
    /// It has ended, and the executor has not listed how yet; its capacity stays in use until then.
    Ended,
}

/// A run that exists or may exist on an executor.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldRun {
    /// The number of the run.
    pub run: u32,
    /// The capacity that it reserves.
    pub size: Size,
    /// The caller of its job, and what it uses of that caller's quota.
    pub charge: Option<Charge>,
    /// Whether it runs until its job is cancelled.
    pub lasting: bool,
    /// Whether its job could no longer be on time when the run was placed.
    pub late: bool,
    /// Whether it uses processor time that other runs leave over.
    pub best_effort: bool,
    /// The limit for the tail of its response times.
    pub target_tail: Option<Duration>,
    /// Its present phase.
    pub phase: Phase,
    /// When the phase last changed.
    pub phase_since: Time,
    /// When the start order was sent; `None` if an earlier leader sent it.
    pub start_sent: Option<Time>,
    /// How long it can have existed at most when this leader took over, if an earlier leader
    /// started it and that is known.
    pub inherited_age: Option<Duration>,
    /// How long earlier leaders have known it to live.
    pub inherited_survival: Duration,
    /// When the executor confirmed the start.
    pub started: Time,
    /// When the run was placed; `None` if an earlier leader placed it.
    pub placed: Option<Time>,
    /// Its progress, as last reported by the executor.
    pub percent: u8,
    /// Its recent load or tail of response times, as last reported by the executor.
    pub recent: u64,
    /// Its speed limit in percent of its full speed; `None` if an earlier leader may have changed
    /// it, or an order to change it got no response.
    pub speed_limit: Option<u8>,
    /// Whether the executor has confirmed its start or listed it.
    pub confirmed: bool,
    /// When the last stop order was sent.
    pub stop_sent: Option<Time>,
    /// When a stop order got a response; from then on the executor will not start the run.
    pub stop_confirmed: Option<Time>,
}

impl HeldRun {
    /// A run in the given phase that uses no capacity and no caller's quota.
    pub(super) fn new(run: u32, phase: Phase, now: Time) -> Self {
        Self {
            run,
            size: Size::default(),
            charge: None,
            lasting: false,
            late: false,
            best_effort: false,
            target_tail: None,
            phase,
            phase_since: now,
            start_sent: None,
            inherited_age: None,
            inherited_survival: Duration::ZERO,
            started: now,
            placed: (phase == Phase::Recorded).then_some(now),
            percent: 0,
            recent: 0,
            // The speed limit that an earlier leader may have set is not known.
            speed_limit: (phase == Phase::Recorded).then_some(FULL_SPEED),
            confirmed: false,
            stop_sent: None,
            stop_confirmed: None,
        }
    }

    /// How long the run has existed, if this leader has started it or its assignment is among the
    /// recent ones in the ledger.
    pub(super) fn known_age(&self, now: Time, took_over_at: Time) -> Option<Duration> {
        if self.start_sent.is_some() || self.phase == Phase::Recorded {
            return Some(now.since(self.started));
        }
        self.inherited_age.map(|age| age + now.since(took_over_at))
    }

    /// How long the run has worked, for weighing what its end would lose. An assignment that is no
    /// longer among the recent ones in the ledger counts as just older than these.
    pub(super) fn work_time(&self, now: Time, took_over_at: Time) -> Duration {
        let age = self.known_age(now, took_over_at);
        age.unwrap_or_else(|| recent_starts::RETENTION + now.since(took_over_at))
    }

    /// Whether a complete report on a poll sent at `sent`, which did not list the run as active or
    /// ended, proves that the run does not exist and will not start.
    pub fn absence_proves_end(&self, sent: Time) -> bool {
        match self.phase {
            Phase::Recorded | Phase::Sent => false,
            // The executor has seen a newer fencing token and refuses orders of earlier leaders.
            Phase::Inherited | Phase::Ended => true,
            Phase::Active => self.phase_since < sent,
            Phase::Stopping if self.confirmed => self.phase_since < sent,
            Phase::Stopping | Phase::Unsure => {
                self.stop_confirmed.is_some_and(|stopped| stopped < sent)
            }
        }
    }

    /// Whether a later incarnation of the executor may still carry out the start order.
    ///
    /// `absent_at` is a moment at which no incarnation was running, if one is known. A confirmed
    /// start belongs to the incarnation that confirmed it. Calls that ended by `absent_at` had no
    /// effect, nor had any order of an earlier leader.
    pub fn may_start_later(&self, absent_at: Option<Time>) -> bool {
        match self.phase {
            Phase::Recorded | Phase::Active | Phase::Ended => false,
            Phase::Sent => true,
            Phase::Inherited => absent_at.is_none(),
            Phase::Unsure => absent_at.is_none_or(|absent| self.phase_since >= absent),
            Phase::Stopping => !self.confirmed,
        }
    }

    /// The same run, as it may exist on a later incarnation of its executor.
    pub(super) fn carried_over(&self, now: Time) -> Self {
        let phase = match self.phase {
            Phase::Inherited | Phase::Stopping => self.phase,
            Phase::Recorded | Phase::Sent | Phase::Active | Phase::Unsure | Phase::Ended => {
                Phase::Unsure
            }
        };
        Self {
            phase,
            phase_since: now,
            speed_limit: None,
            confirmed: false,
            stop_sent: None,
            stop_confirmed: None,
            ..self.clone()
        }
    }

    /// Whether the run is doing its work; a lasting one does so once it reports full progress.
    pub fn is_at_work(&self) -> bool {
        self.phase == Phase::Active && (!self.lasting || self.percent >= 100)
    }
}

/// The state of the polls of one executor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PollState {
    /// Whether a poll that may wait for the end of a run is in flight.
    pub long_poll_in_flight: bool,
    /// Whether a poll that the executor answers without waiting is in flight.
    pub immediate_poll_in_flight: bool,
    /// When the last such poll was sent.
    pub immediate_poll_sent: Time,
    /// The number of consecutive polls that got no response.
    pub failures: u32,
    /// The end of the present backoff: no poll is sent earlier.
    pub not_before: Time,
    /// When the newest poll that got a response was sent.
    pub last_answered_sent: Option<Time>,
    /// Since when calls have got no response.
    pub silent_since: Option<Time>,
}

/// The leader's view of one incarnation of an executor.
#[derive(Clone, Debug)]
pub struct Executor {
    /// Its present or last registration.
    pub registration: Registration,
    /// Whether it is registered at present.
    pub is_registered: bool,
    /// Whether it is known only from orders of earlier leaders, and has not been registered since.
    pub known_from_ledger_only: bool,
    /// Whether this incarnation has ended. It is kept for runs that a later incarnation may still
    /// start.
    pub ended: bool,
    /// When this leader learned of it.
    pub known_since: Time,
    /// Whether any list of hosts has named it in this term.
    pub was_listed: bool,
    /// Whether it has answered a poll with this leader's fencing token. From then on it refuses
    /// orders of earlier leaders that are still in flight, and its runs are known.
    pub fenced: bool,
    /// Its clock in the response that fenced it.
    pub fenced_clock_ms: u64,
    /// Whether its newest report postdates the end of every run that earlier leaders ordered it to
    /// stop.
    pub earlier_stops_done: bool,
    /// The newest reading of its clock.
    pub clock: Option<ClockReading>,
    /// The latest lease end that any order has carried, by the clock of the executor.
    pub lease_until_ms: u64,
    /// The highest number of an ended run that was processed.
    pub processed_end: u64,
    /// Ended runs up to this number are stored and may be acknowledged.
    pub stored_end: u64,
    /// Ended runs up to this number were acknowledged by a poll that got a response.
    pub acknowledged_end: u64,
    /// Until when runs of an earlier leader may exist, used while the executor's clock is unknown.
    pub inherited_until: Option<Time>,
    /// The state of its polls.
    pub polling: PollState,
    /// The runs that it has or may have.
    pub runs: BTreeMap<TaskKey, HeldRun>,
    /// The runs that it had when its lease expired, by a crash or a lost connection. Empty once it
    /// has responded again.
    pub expired_runs: Vec<LostRun>,
    /// The capacity that `runs` use together.
    used: Size,
    /// Whether it is in the table's list of changed executors.
    pub(super) is_marked_changed: bool,
    /// Whether it has orphan runs. Their size is unknown: until they have ended, it may have less
    /// free capacity than computed, and an executor that enforces no limits would be overcommitted.
    pub has_orphan_runs: bool,
    /// The circuit breaker, which opens after failures.
    pub circuit_breaker: CircuitBreaker,
    /// Until when nothing new is placed, after it refused a start for lack of capacity.
    pub full_until: Time,
    /// Until when nothing new is placed, after an isolated suspect was started there.
    pub isolated_until: Time,
    /// When a probe on it has lived for long enough, if it still responds then.
    pub probe_due: Option<Time>,
    /// Whether its host is being drained: nothing new is placed on it.
    pub host_draining: bool,
    /// Since when it has had no run.
    pub idle_since: Time,
}

impl Executor {
    /// A registered executor that the leader has just learned of.
    pub fn new(registration: Registration, now: Time) -> Self {
        Self {
            registration,
            is_registered: true,
            known_from_ledger_only: false,
            ended: false,
            known_since: now,
            was_listed: false,
            fenced: false,
            fenced_clock_ms: 0,
            earlier_stops_done: false,
            clock: None,
            lease_until_ms: 0,
            processed_end: 0,
            stored_end: 0,
            acknowledged_end: 0,
            inherited_until: None,
            polling: PollState::default(),
            runs: BTreeMap::new(),
            expired_runs: Vec::new(),
            used: Size::default(),
            is_marked_changed: false,
            has_orphan_runs: false,
            circuit_breaker: CircuitBreaker::default(),
            full_until: Time::ZERO,
            isolated_until: Time::ZERO,
            probe_due: None,
            host_draining: false,
            idle_since: now,
        }
    }

    /// Records that from the response with this reading of its clock on, it refuses orders of earlier
    /// leaders.
    pub(super) fn fence(&mut self, clock_ms: u64) {
        self.fenced = true;
        self.fenced_clock_ms = clock_ms;
        self.earlier_stops_done = false;
    }

    /// Records a reading of its clock from its newest report.
    pub(super) fn note_report(&mut self, clock_ms: u64) {
        let since_fenced = clock_ms.saturating_sub(self.fenced_clock_ms);
        self.earlier_stops_done |= self.fenced && since_fenced > MAX_STOP_TIME_MS;
    }

    /// Whether an earlier leader may have ordered it to stop a run that it lists as active.
    pub fn may_be_stopping(&self, held: &HeldRun) -> bool {
        held.start_sent.is_none() && !self.earlier_stops_done
    }

    /// The recipient of orders for it.
    pub fn recipient(&self) -> Recipient {
        Recipient {
            executor: self.registration.executor.clone(),
            address: self.registration.address,
        }
    }

    /// The capacity that its runs use or may use.
    pub fn used(&self) -> Size {
        self.used
    }

    /// Adds a run that it has or may have.
    pub fn add_run(&mut self, task: TaskKey, held: HeldRun) {
        self.remove_run(&task);
        self.used += held.size;
        self.runs.insert(task, held);
    }

    /// Removes a run that it no longer has.
    pub fn remove_run(&mut self, task: &TaskKey) -> Option<HeldRun> {
        let held = self.runs.remove(task)?;
        self.used = self.used.less(&held.size);
        Some(held)
    }

    /// The free capacity.
    pub fn free(&self) -> Size {
        self.registration.capacity.less(&self.used())
    }

    /// The capacity that would be free without one of its runs.
    pub fn free_without(&self, held: &HeldRun) -> Size {
        self.registration.capacity.less(&self.used.less(&held.size))
    }

    /// The time for which a run is known to have existed without a crash of the executor.
    pub fn min_run_age(&self, held: &HeldRun) -> Duration {
        let last_contact = self.clock.map(|clock| clock.received);
        let last_contact =
            last_contact.filter(|_| matches!(held.phase, Phase::Active | Phase::Stopping));
        let observed = last_contact.map_or(Duration::ZERO, |contact| contact.since(held.started));
        held.inherited_survival + observed
    }

    /// Whether new runs may be placed on it at present.
    pub fn accepts_runs(&self, now: Time) -> bool {
        self.is_schedulable(now)
            && now >= self.full_until
            && now >= self.isolated_until
            && self.polling.failures == 0
    }

    /// Whether new runs may be placed on it, disregarding temporary obstacles: a lack of capacity,
    /// an isolated suspect, or polls without a response.
    pub fn is_schedulable(&self, now: Time) -> bool {
        self.is_registered
            && self.fenced
            && !self.registration.draining
            && !self.host_draining
            && !self.has_orphan_runs
            && self.circuit_breaker.allows(now)
    }

    /// Whether it may accept runs again just by the passing of time, without an event.
    pub fn recovers_with_time(&self, now: Time) -> bool {
        now < self.full_until || now < self.isolated_until || self.circuit_breaker.is_tripped()
    }

    /// When the last lease that it may hold has certainly expired.
    pub fn lease_expiry(&self) -> Option<Time> {
        match self.clock {
            Some(clock) => Some(clock.latest_expiry(self.lease_until_ms)),
            None => self.inherited_until,
        }
    }

    /// Whether the clock in the response to a call sent at `sent` shows that another incarnation
    /// has responded: the clock of each incarnation starts anew.
    pub fn is_other_incarnation(&self, sent: Time, clock_ms: u64) -> bool {
        let may_return = incarnation::started_at(&self.registration.executor).is_some();
        may_return && self.clock.is_some_and(|clock| clock_ms < clock.least_reading(sent))
    }

    /// Whether it has answered a call of this leader as itself.
    pub fn has_answered(&self) -> bool {
        self.clock.is_some()
    }

    /// Stores a reading of its clock.
    pub fn read_clock(&mut self, now: Time, clock_ms: u64) {
        self.clock = Some(ClockReading { received: now, clock_ms });
    }
}
