//! What the leader believes of each executor.

use std::{collections::BTreeMap, time::Duration};

use borageswitch_types::Time;

use crate::{
    effect::Recipient,
    executor::Registration,
    job::Size,
    life,
    policy::{quotas::Charge, trust::Trust},
    reducer::{clock::ClockReading, crashes::LostRun, pace::FULL_PACE},
    task::TaskKey,
};

/// What is known of a run on an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Its assignment is being stored; nothing was sent.
    Recorded,
    /// The order to start it is on its way.
    Sent,
    /// The executor runs it.
    Active,
    /// An earlier leader assigned it: the executor has not been looked at since.
    Inherited,
    /// The order got no answer: the run may be there, or may come later.
    Unsure,
    /// It is being stopped; its room is taken until its end is listed.
    Stopping,
}

/// A run that an executor has or may have.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldRun {
    /// The run.
    pub run: u32,
    /// The room that it takes.
    pub size: Size,
    /// Whose it is, and what it uses of that caller's quota.
    pub charge: Option<Charge>,
    /// It lasts until its job is cancelled.
    pub lasting: bool,
    /// Its job could not be on time any more when it was placed.
    pub late: bool,
    /// It uses what others leave.
    pub best_effort: bool,
    /// The tail of response times that it must stay under.
    pub target_tail: Option<Duration>,
    /// What is known of it.
    pub phase: Phase,
    /// When that changed last.
    pub phase_since: Time,
    /// When the order to start it left; nothing if an earlier leader gave it.
    pub start_sent: Option<Time>,
    /// When the executor confirmed the start.
    pub started: Time,
    /// How far it is, as listed last.
    pub percent: u8,
    /// Its load or tail, as listed last.
    pub recent: u64,
    /// The share of its speed at which it works, in percent; nothing if an earlier leader may have
    /// changed it, or an order to change it got no answer.
    pub speed_limit: Option<u8>,
    /// The executor has confirmed or listed it.
    pub confirmed: bool,
    /// When an order to stop it left last.
    pub stop_sent: Option<Time>,
    /// When the order to stop it was answered: from then on the executor will not start it.
    pub stop_confirmed: Option<Time>,
}

impl HeldRun {
    /// A run that takes no room and is nobody's, as of now in this phase.
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
            started: now,
            percent: 0,
            recent: 0,
            // Whatever pace an earlier leader may have given is not known.
            speed_limit: (phase == Phase::Recorded).then_some(FULL_PACE),
            confirmed: false,
            stop_sent: None,
            stop_confirmed: None,
        }
    }

    /// Whether a look that left at `sent` and did not list the run proves that it is not there and
    /// will not come.
    pub fn absence_proves_end(&self, sent: Time) -> bool {
        match self.phase {
            Phase::Recorded | Phase::Sent => false,
            // The executor has seen a newer token: it refuses whatever an earlier leader has sent.
            Phase::Inherited => true,
            Phase::Active => self.phase_since < sent,
            Phase::Stopping if self.confirmed => self.phase_since < sent,
            Phase::Stopping | Phase::Unsure => {
                self.stop_confirmed.is_some_and(|barred| barred < sent)
            }
        }
    }

    /// Whether the order to start the run may yet be carried out by a later life of its executor,
    /// which was seen to be away at `away`, if it was.
    ///
    /// A confirmed start went to the life that confirmed it. A call that had ended while nobody was
    /// there came to nothing, and so has whatever an earlier leader had sent.
    pub fn may_start_later(&self, away: Option<Time>) -> bool {
        match self.phase {
            Phase::Recorded | Phase::Active => false,
            Phase::Sent => true,
            Phase::Inherited => away.is_none(),
            Phase::Unsure => away.is_none_or(|away| self.phase_since >= away),
            Phase::Stopping => !self.confirmed,
        }
    }

    /// The same run, as it may be on a later life of its executor.
    pub(super) fn carried_over(&self, now: Time) -> Self {
        let phase = match self.phase {
            Phase::Inherited | Phase::Stopping => self.phase,
            Phase::Recorded | Phase::Sent | Phase::Active | Phase::Unsure => Phase::Unsure,
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

    /// Whether the run does its work at this moment.
    pub fn is_at_work(&self) -> bool {
        self.phase == Phase::Active && (!self.lasting || self.percent >= 100)
    }
}

/// How looking at an executor goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PollState {
    /// A look that may wait for an end is on its way.
    pub long_poll_in_flight: bool,
    /// A look that is answered at once is on its way.
    pub immediate_poll_in_flight: bool,
    /// Looks in a row that got no answer.
    pub failures: u32,
    /// No look before this time.
    pub not_before: Time,
    /// When the newest look that was answered had left.
    pub last_answered_sent: Option<Time>,
    /// Since when calls have got no answer.
    pub silent_since: Option<Time>,
}

/// An executor as the leader knows it.
#[derive(Clone, Debug)]
pub struct Executor {
    /// How it is registered, or was last.
    pub registration: Registration,
    /// It is registered now.
    pub is_registered: bool,
    /// It is known by an earlier leader's orders alone, and has never been registered since.
    pub known_from_ledger_only: bool,
    /// Its life is over. It is kept for runs that a later life under its name may yet start.
    pub ended: bool,
    /// Since when it is known.
    pub known_since: Time,
    /// It has answered a look under this leader's fencing token, so every older order that is
    /// still on its way will be refused and what it runs is known.
    pub fenced: bool,
    /// The newest reading of its clock.
    pub clock: Option<ClockReading>,
    /// The longest lease that any order carried, by its clock.
    pub lease_until_ms: u64,
    /// The highest number of an end that was taken in.
    pub processed_end: u64,
    /// Ends up to this number are stored and may be acknowledged.
    pub stored_end: u64,
    /// Ends up to this number were acknowledged by a look that was answered.
    pub acknowledged_end: u64,
    /// Until when runs that an earlier leader started may be there, while its clock is not known.
    pub inherited_until: Option<Time>,
    /// How looking at it goes.
    pub polling: PollState,
    /// What it has or may have.
    pub runs: BTreeMap<TaskKey, HeldRun>,
    /// What it had when its lease ended. It may have crashed or have been cut off; nothing once it
    /// has answered again.
    pub expired_runs: Vec<LostRun>,
    /// The room that these take together.
    used: Size,
    /// It stands in the table's list of those that have changed.
    pub(super) is_marked_changed: bool,
    /// It runs something that nobody wants and whose size is not known: until that has ended,
    /// there may be less room than it seems, and an executor that guards nothing would be overfilled.
    pub has_orphan_runs: bool,
    /// Whether it deserves work.
    pub circuit_breaker: Trust,
    /// It refused something for want of room: nothing new before this time.
    pub full_until: Time,
    /// A task under which executors crash has been started on it: nothing new before this time.
    pub isolated_until: Time,
    /// Its host is to be emptied: nothing new is placed on it.
    pub host_draining: bool,
    /// Since when it has had nothing to run.
    pub idle_since: Time,
}

impl Executor {
    /// An executor that was just noticed.
    pub fn new(registration: Registration, now: Time) -> Self {
        Self {
            registration,
            is_registered: true,
            known_from_ledger_only: false,
            ended: false,
            known_since: now,
            fenced: false,
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
            circuit_breaker: Trust::default(),
            full_until: Time::ZERO,
            isolated_until: Time::ZERO,
            host_draining: false,
            idle_since: now,
        }
    }

    /// Whom to address.
    pub fn recipient(&self) -> Recipient {
        Recipient {
            executor: self.registration.executor.clone(),
            address: self.registration.address,
        }
    }

    /// The room that runs take or may take.
    pub fn used(&self) -> Size {
        self.used
    }

    /// It has a run, or may have.
    pub fn add_run(&mut self, task: TaskKey, held: HeldRun) {
        self.remove_run(&task);
        self.used += held.size;
        self.runs.insert(task, held);
    }

    /// It has a run no more.
    pub fn remove_run(&mut self, task: &TaskKey) -> Option<HeldRun> {
        let held = self.runs.remove(task)?;
        self.used = self.used.less(&held.size);
        Some(held)
    }

    /// The room that is left.
    pub fn free(&self) -> Size {
        self.registration.capacity.less(&self.used())
    }

    /// The room that would be left without one of its runs.
    pub fn free_without(&self, held: &HeldRun) -> Size {
        self.registration.capacity.less(&self.used.less(&held.size))
    }

    /// For how long a run is known to have been there without a crash.
    pub fn min_run_age(&self, held: &HeldRun) -> Duration {
        let heard = self.clock.map(|clock| clock.received);
        let heard = heard.filter(|_| matches!(held.phase, Phase::Active | Phase::Stopping));
        heard.map_or(Duration::ZERO, |heard| heard.since(held.started))
    }

    /// Whether new runs may be placed on it.
    pub fn accepts_runs(&self, now: Time) -> bool {
        self.is_schedulable(now)
            && now >= self.full_until
            && now >= self.isolated_until
            && self.polling.failures == 0
    }

    /// Whether new runs may be placed on it once there is room.
    pub fn is_schedulable(&self, now: Time) -> bool {
        self.is_registered
            && self.fenced
            && !self.registration.draining
            && !self.host_draining
            && !self.has_orphan_runs
            && self.circuit_breaker.allows(now)
    }

    /// Whether the passing of time alone may open it again.
    pub fn recovers_with_time(&self, now: Time) -> bool {
        now < self.full_until || now < self.isolated_until || self.circuit_breaker.is_doubted()
    }

    /// When the last lease that it may have has ended for certain.
    pub fn lease_expiry(&self) -> Option<Time> {
        match self.clock {
            Some(clock) => Some(clock.latest(self.lease_until_ms)),
            None => self.inherited_until,
        }
    }

    /// Whether an answer to a call that left at `sent` shows that a later life gave it: the clock
    /// of each life begins anew.
    pub fn is_other_incarnation(&self, sent: Time, clock_ms: u64) -> bool {
        let may_return = life::born(&self.registration.executor).is_some();
        may_return && self.clock.is_some_and(|clock| clock_ms < clock.earliest(sent))
    }

    /// Takes in a reading of its clock.
    pub fn read_clock(&mut self, now: Time, clock_ms: u64) {
        self.clock = Some(ClockReading { received: now, clock_ms });
    }
}
