//! What the leader believes of each executor.

use std::{collections::BTreeMap, time::Duration};

use borageswitch_types::Time;

use crate::{
    effect::Recipient,
    executor::Registration,
    job::Size,
    life,
    policy::{quotas::Charge, trust::Trust},
    reducer::{clock::ClockReading, crashes::LostRun, speed_limits::FULL_SPEED},
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
pub struct Held {
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
    pub fills: bool,
    /// The tail of response times that it must stay under.
    pub target_tail: Option<Duration>,
    /// What is known of it.
    pub phase: Phase,
    /// When that changed last.
    pub since: Time,
    /// When the order to start it left; nothing if an earlier leader gave it.
    pub ordered: Option<Time>,
    /// When the executor confirmed the start.
    pub started: Time,
    /// How far it is, as listed last.
    pub percent: u8,
    /// Its load or tail, as listed last.
    pub recent: u64,
    /// The share of its speed at which it works, in percent; nothing if an earlier leader may have
    /// changed it, or an order to change it got no answer.
    pub pace: Option<u8>,
    /// The executor has confirmed or listed it.
    pub confirmed: bool,
    /// When an order to stop it left last.
    pub stop_sent: Option<Time>,
    /// When the order to stop it was answered: from then on the executor will not start it.
    pub barred: Option<Time>,
}

impl Held {
    /// A run that takes no room and is nobody's, as of now in this phase.
    pub(super) fn new(run: u32, phase: Phase, now: Time) -> Self {
        Self {
            run,
            size: Size::default(),
            charge: None,
            lasting: false,
            late: false,
            fills: false,
            target_tail: None,
            phase,
            since: now,
            ordered: None,
            started: now,
            percent: 0,
            recent: 0,
            // Whatever pace an earlier leader may have given is not known.
            pace: (phase == Phase::Recorded).then_some(FULL_SPEED),
            confirmed: false,
            stop_sent: None,
            barred: None,
        }
    }

    /// Whether a look that left at `sent` and did not list the run proves that it is not there and
    /// will not come.
    pub fn is_over(&self, sent: Time) -> bool {
        match self.phase {
            Phase::Recorded | Phase::Sent => false,
            // The executor has seen a newer token: it refuses whatever an earlier leader has sent.
            Phase::Inherited => true,
            Phase::Active => self.since < sent,
            Phase::Stopping if self.confirmed => self.since < sent,
            Phase::Stopping | Phase::Unsure => self.barred.is_some_and(|barred| barred < sent),
        }
    }

    /// Whether the order to start the run may yet be carried out by a later life of its executor,
    /// which was seen to be away at `away`, if it was.
    ///
    /// A confirmed start went to the life that confirmed it. A call that had ended while nobody was
    /// there came to nothing, and so has whatever an earlier leader had sent.
    pub fn may_come_later(&self, away: Option<Time>) -> bool {
        match self.phase {
            Phase::Recorded | Phase::Active => false,
            Phase::Sent => true,
            Phase::Inherited => away.is_none(),
            Phase::Unsure => away.is_none_or(|away| self.since >= away),
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
            since: now,
            pace: None,
            confirmed: false,
            stop_sent: None,
            barred: None,
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
pub struct Looking {
    /// A look that may wait for an end is on its way.
    pub waiting: bool,
    /// A look that is answered at once is on its way.
    pub at_once: bool,
    /// Looks in a row that got no answer.
    pub failures: u32,
    /// No look before this time.
    pub not_before: Time,
    /// When the newest look that was answered had left.
    pub answered: Option<Time>,
    /// Since when calls have got no answer.
    pub silent_since: Option<Time>,
}

/// An executor as the leader knows it.
#[derive(Clone, Debug)]
pub struct Executor {
    /// How it is registered, or was last.
    pub registration: Registration,
    /// It is registered now.
    pub present: bool,
    /// It is known by an earlier leader's orders alone, and has never been registered since.
    pub hearsay: bool,
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
    pub lease_ms: u64,
    /// The highest number of an end that was taken in.
    pub taken_end: u64,
    /// Ends up to this number are stored and may be acknowledged.
    pub stored_end: u64,
    /// Ends up to this number were acknowledged by a look that was answered.
    pub acknowledged: u64,
    /// Until when runs that an earlier leader started may be there, while its clock is not known.
    pub inherited_until: Option<Time>,
    /// How looking at it goes.
    pub looking: Looking,
    /// What it has or may have.
    pub runs: BTreeMap<TaskKey, Held>,
    /// What it had when its lease ended. It may have crashed or have been cut off; nothing once it
    /// has answered again.
    pub lapsed: Vec<LostRun>,
    /// The room that these take together.
    taken: Size,
    /// It stands in the table's list of those that have changed.
    pub(super) is_noted: bool,
    /// It runs something that nobody wants and whose size is not known: until that has ended,
    /// there may be less room than it seems, and an executor that guards nothing would be overfilled.
    pub strays: bool,
    /// Whether it deserves work.
    pub trust: Trust,
    /// It refused something for want of room: nothing new before this time.
    pub full_until: Time,
    /// A task under which executors crash has been started on it: nothing new before this time.
    pub isolated_until: Time,
    /// Its host is to be emptied: nothing new is placed on it.
    pub emptying: bool,
    /// Since when it has had nothing to run.
    pub idle_since: Time,
}

impl Executor {
    /// An executor that was just noticed.
    pub fn new(registration: Registration, now: Time) -> Self {
        Self {
            registration,
            present: true,
            hearsay: false,
            ended: false,
            known_since: now,
            fenced: false,
            clock: None,
            lease_ms: 0,
            taken_end: 0,
            stored_end: 0,
            acknowledged: 0,
            inherited_until: None,
            looking: Looking::default(),
            runs: BTreeMap::new(),
            lapsed: Vec::new(),
            taken: Size::default(),
            is_noted: false,
            strays: false,
            trust: Trust::default(),
            full_until: Time::ZERO,
            isolated_until: Time::ZERO,
            emptying: false,
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
    pub fn taken(&self) -> Size {
        self.taken
    }

    /// It has a run, or may have.
    pub fn add_run(&mut self, task: TaskKey, held: Held) {
        self.remove_run(&task);
        self.taken += held.size;
        self.runs.insert(task, held);
    }

    /// It has a run no more.
    pub fn remove_run(&mut self, task: &TaskKey) -> Option<Held> {
        let held = self.runs.remove(task)?;
        self.taken = self.taken.less(&held.size);
        Some(held)
    }

    /// The room that is left.
    pub fn free(&self) -> Size {
        self.registration.capacity.less(&self.taken())
    }

    /// The room that would be left without one of its runs.
    pub fn free_without(&self, held: &Held) -> Size {
        self.registration.capacity.less(&self.taken.less(&held.size))
    }

    /// For how long a run is known to have been there without a crash.
    pub fn lived(&self, held: &Held) -> Duration {
        let heard = self.clock.map(|clock| clock.received);
        let heard = heard.filter(|_| matches!(held.phase, Phase::Active | Phase::Stopping));
        heard.map_or(Duration::ZERO, |heard| heard.since(held.started))
    }

    /// Whether new runs may be placed on it.
    pub fn is_open(&self, now: Time) -> bool {
        self.takes_work(now)
            && now >= self.full_until
            && now >= self.isolated_until
            && self.looking.failures == 0
    }

    /// Whether new runs may be placed on it once there is room.
    pub fn takes_work(&self, now: Time) -> bool {
        self.present
            && self.fenced
            && !self.registration.draining
            && !self.emptying
            && !self.strays
            && self.trust.allows(now)
    }

    /// Whether the passing of time alone may open it again.
    pub fn rests(&self, now: Time) -> bool {
        now < self.full_until || now < self.isolated_until || self.trust.is_doubted()
    }

    /// When the last lease that it may have has ended for certain.
    pub fn lapse(&self) -> Option<Time> {
        match self.clock {
            Some(clock) => Some(clock.latest_expiry(self.lease_ms)),
            None => self.inherited_until,
        }
    }

    /// Whether an answer to a call that left at `sent` shows that a later life gave it: the clock
    /// of each life begins anew.
    pub fn is_other_life(&self, sent: Time, clock_ms: u64) -> bool {
        let may_return = life::born(&self.registration.executor).is_some();
        may_return && self.clock.is_some_and(|clock| clock_ms < clock.least_reading(sent))
    }

    /// Takes in a reading of its clock.
    pub fn read_clock(&mut self, now: Time, clock_ms: u64) {
        self.clock = Some(ClockReading { received: now, clock_ms });
    }
}
