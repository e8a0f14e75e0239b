//! Refuses at once what would not end in time, and keeps a queue from standing.
//!
//! The load pattern: three times as many requests come as can run. Without this module the queue
//! fills until everything in it is too late: every slot is busy and nobody gets an answer in time.
//! A request that cannot start early enough is refused when it comes, so that its caller can go
//! elsewhere, with an estimate of when to come back. A refusal is never held back.
//!
//! A queue may grow in a burst and must not stay: when every start of an interval has waited for
//! more than its part of its deadline, the queue only adds delay, and newcomers are refused
//! down to that part.
//!
//! Grounds for the figures: a run is allowed its mean and two standard deviations, which an
//! exponential run time exceeds in 5 % of cases. An eighth of the deadline as standing wait leaves
//! callers most of their time; batch requests may wait for half. An interval of 250 ms lets a
//! burst of some runs pass, and is short against any deadline for which somebody waits.

use std::time::Duration;

use borageswitch_types::{ErrorKind, Time, fleet::ServiceLimits};

use crate::{
    dispatch::{Offer, Priority},
    fair_queue::Backlog,
};

/// Over which time a queue must stand before it is cut.
const INTERVAL: Duration = Duration::from_millis(250);
/// The part of its time that a request may wait in a standing queue: one of this many.
const STANDING_PART: u32 = 8;
/// The same for batch requests.
const STANDING_PART_BATCH: u32 = 2;
/// A wait below this is never cut.
const LEAST_STANDING_WAIT: Duration = Duration::from_millis(10);
/// The longest wait that an urgent request is let into.
pub const URGENT_START: Duration = Duration::from_millis(2_400);
/// The earliest and the latest time for which a caller is told to come back.
const RETRY_BOUNDS: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(30));
/// Up to this many waiting requests a caller is never said to be over its share.
const LEAST_CALLER_SHARE: usize = 16;

/// What is known of the queue when a request comes.
#[derive(Clone, Copy, Debug)]
pub struct QueueState {
    /// The slots that work on the queue.
    pub slots: u32,
    /// What the request would find ahead.
    pub backlog: Backlog,
    /// Requests waiting in all.
    pub waiting: usize,
    /// Waiting requests of the same caller.
    pub caller_waiting: usize,
    /// How long a request of this kind runs at most, bar few.
    pub allowance: Duration,
}

impl QueueState {
    fn wait(&self) -> Duration {
        self.backlog.own / self.slots.max(1)
    }
}

/// Why a request is refused, and when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub kind: ErrorKind,
    /// When the queue is expected to have room.
    pub retry_after: Duration,
}

/// Decides on newcomers.
#[derive(Debug, Default)]
pub struct Shedder {
    interval_end: Time,
    starts: u32,
    late_starts: u32,
    standing: bool,
}

impl Shedder {
    /// Decides whether a request may wait.
    ///
    /// # Errors
    ///
    /// Says why not, and when to come back.
    pub fn admit(
        &self,
        now: Time,
        offer: &Offer,
        limits: &ServiceLimits,
        state: &QueueState,
    ) -> Result<(), Refusal> {
        let wait = state.wait();
        let left = offer.deadline.since(now);
        let whole = wait + state.allowance;
        if state.waiting > 0 && whole > left {
            return Err(refusal(ErrorKind::DeadlineUnreachable, whole - left));
        }
        if offer.priority == Priority::Urgent && wait > URGENT_START {
            return Err(refusal(ErrorKind::DeadlineUnreachable, wait - URGENT_START));
        }
        self.check_room(limits, state, wait)?;
        let bound = standing_bound(offer.priority, left);
        if self.standing && wait > bound {
            return Err(refusal(over_share(state), wait - bound));
        }
        Ok(())
    }

    /// Takes note that a request started after `waited`, of the time `had` until its deadline.
    pub fn started(&mut self, now: Time, priority: Priority, waited: Duration, had: Duration) {
        self.starts += 1;
        self.late_starts += u32::from(waited > standing_bound(priority, had));
        self.tick(now);
    }

    /// Judges the interval when it has ended.
    pub fn tick(&mut self, now: Time) {
        if now < self.interval_end {
            return;
        }
        if self.starts > 0 {
            self.standing = self.late_starts == self.starts;
        }
        self.interval_end = now + INTERVAL;
        self.starts = 0;
        self.late_starts = 0;
    }

    /// A caller may fill the room that is left, no more: the first hot caller leaves half of the
    /// queue free, whatever it sends, and a full queue still has room for a quiet caller.
    fn check_room(
        &self,
        limits: &ServiceLimits,
        state: &QueueState,
        wait: Duration,
    ) -> Result<(), Refusal> {
        let room = (limits.queue_len as usize).saturating_sub(state.waiting);
        if room == 0 {
            return Err(refusal(ErrorKind::QueueFull, wait));
        }
        if state.caller_waiting >= room.max(LEAST_CALLER_SHARE) {
            return Err(refusal(ErrorKind::CallerOverShare, wait));
        }
        Ok(())
    }
}

/// A caller that waits for its own requests more than for others' is over its share.
fn over_share(state: &QueueState) -> ErrorKind {
    let most_is_own = state.caller_waiting * 2 > state.waiting;
    if most_is_own && state.caller_waiting > LEAST_CALLER_SHARE {
        ErrorKind::CallerOverShare
    } else {
        ErrorKind::QueueFull
    }
}

fn standing_bound(priority: Priority, left: Duration) -> Duration {
    let part = if priority == Priority::Batch { STANDING_PART_BATCH } else { STANDING_PART };
    (left / part).max(LEAST_STANDING_WAIT)
}

fn refusal(kind: ErrorKind, over: Duration) -> Refusal {
    Refusal { kind, retry_after: over.clamp(RETRY_BOUNDS.0, RETRY_BOUNDS.1) }
}
