//! Refuses requests that would miss their deadlines, and prevents standing queues.
//!
//! Load pattern: three times as many requests arrive as can run. Without load shedding the queue
//! fills until every request in it is too late: every slot is busy and no caller gets a response in
//! time. A request that cannot start early enough is refused when it arrives, with an estimate of
//! when to come back, so that its caller can go elsewhere. A refusal is never delayed.
//!
//! A queue may grow in a burst but must not persist. When every request that started in an interval
//! has waited for longer than a given part of its deadline, the queue only adds delay; new requests
//! are then refused until the wait is down to that part.
//!
//! Reasons for the constants: the upper estimate of a run time is the mean and two standard
//! deviations, which an exponential run time exceeds in 5 % of cases. An eighth of the deadline as
//! standing wait leaves callers most of their time; batch requests may wait for half. An interval
//! of 250 ms lets a burst of some runs pass, and is short against any deadline for which somebody
//! waits.

use std::time::Duration;

use borageswitch_types::{ErrorKind, Time, fleet::ServiceLimits};

use crate::{
    dispatch::{Offer, Priority},
    fair_queue::Backlog,
};

/// A queue that persists over this time counts as standing.
const INTERVAL: Duration = Duration::from_millis(250);
/// In a standing queue a request may wait for its time limit divided by this.
const STANDING_DIVISOR: u32 = 8;
/// [`STANDING_DIVISOR`] of batch requests.
const BATCH_STANDING_DIVISOR: u32 = 2;
/// Shorter waits are never treated as standing.
const MIN_STANDING_WAIT: Duration = Duration::from_millis(10);
/// The longest expected wait with which an urgent request is admitted.
pub const MAX_URGENT_WAIT: Duration = Duration::from_millis(2_400);
/// The shortest and the longest time that is sent to a caller as retry time.
const RETRY_AFTER_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_secs(30));
/// A caller with at most this many waiting requests is never over its share.
const MIN_CALLER_SHARE: usize = 16;

/// The queue's state when a request arrives.
#[derive(Clone, Copy, Debug)]
pub struct QueueState {
    /// The slots that serve the queue.
    pub slots: u32,
    /// The work ahead of the request.
    pub backlog: Backlog,
    /// The number of waiting requests.
    pub waiting: usize,
    /// The number of waiting requests of the same caller.
    pub caller_waiting: usize,
    /// The upper estimate of the run time of this kind of request.
    pub upper_estimate: Duration,
}

impl QueueState {
    fn wait(&self) -> Duration {
        self.backlog.own / self.slots.max(1)
    }
}

/// The reason for a refusal and the time after which to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub kind: ErrorKind,
    /// The time after which the queue is expected to have free capacity.
    pub retry_after: Duration,
}

/// Admits or refuses arriving requests.
#[derive(Debug, Default)]
pub struct Shedder {
    interval_end: Time,
    starts: u32,
    late_starts: u32,
    standing: bool,
}

impl Shedder {
    /// Decides whether a request may be queued.
    ///
    /// # Errors
    ///
    /// Returns the reason for the refusal and the time after which to retry.
    pub fn admit(
        &self,
        now: Time,
        offer: &Offer,
        limits: &ServiceLimits,
        state: &QueueState,
    ) -> Result<(), Refusal> {
        let wait = state.wait();
        let remaining = offer.deadline.since(now);
        let total = wait + state.upper_estimate;
        if state.waiting > 0 && total > remaining {
            return Err(refusal(ErrorKind::DeadlineUnreachable, total - remaining));
        }
        if offer.priority == Priority::Urgent && wait > MAX_URGENT_WAIT {
            return Err(refusal(ErrorKind::DeadlineUnreachable, wait - MAX_URGENT_WAIT));
        }
        self.check_queue_capacity(limits, state, wait)?;
        let bound = standing_bound(offer.priority, remaining);
        if self.standing && wait > bound {
            return Err(refusal(shedding_reason(state), wait - bound));
        }
        Ok(())
    }

    /// Records the start of a request that `waited` out of the `time_limit` between its arrival and
    /// its deadline.
    pub fn record_wait(
        &mut self,
        now: Time,
        priority: Priority,
        waited: Duration,
        time_limit: Duration,
    ) {
        self.starts += 1;
        self.late_starts += u32::from(waited > standing_bound(priority, time_limit));
        self.tick(now);
    }

    /// Evaluates the interval when it has ended.
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

    /// Limits a caller's waiting requests to the free part of the queue: the first hot caller
    /// leaves half of the queue free, whatever it sends, and a queue that is nearly full still has
    /// capacity for a quiet caller.
    fn check_queue_capacity(
        &self,
        limits: &ServiceLimits,
        state: &QueueState,
        wait: Duration,
    ) -> Result<(), Refusal> {
        let free_capacity = (limits.queue_len as usize).saturating_sub(state.waiting);
        if free_capacity == 0 {
            return Err(refusal(ErrorKind::QueueFull, wait));
        }
        if state.caller_waiting >= free_capacity.max(MIN_CALLER_SHARE) {
            return Err(refusal(ErrorKind::CallerOverShare, wait));
        }
        Ok(())
    }
}

/// Returns the reason for shedding: a caller is over its share when most of the waiting requests
/// are its own.
fn shedding_reason(state: &QueueState) -> ErrorKind {
    let mostly_own = state.caller_waiting * 2 > state.waiting;
    if mostly_own && state.caller_waiting > MIN_CALLER_SHARE {
        ErrorKind::CallerOverShare
    } else {
        ErrorKind::QueueFull
    }
}

fn standing_bound(priority: Priority, remaining: Duration) -> Duration {
    let divisor =
        if priority == Priority::Batch { BATCH_STANDING_DIVISOR } else { STANDING_DIVISOR };
    (remaining / divisor).max(MIN_STANDING_WAIT)
}

fn refusal(kind: ErrorKind, excess: Duration) -> Refusal {
    Refusal { kind, retry_after: excess.clamp(RETRY_AFTER_BOUNDS.0, RETRY_AFTER_BOUNDS.1) }
}
