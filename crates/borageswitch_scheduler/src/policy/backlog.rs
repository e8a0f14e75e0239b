//! Estimates how long a submitted job waits, by the work ahead of it.
//!
//! For some seconds a queue is sent several times what its pool can run. Jobs that can be on time
//! go first, so a new job never waits behind late ones; but there is always another new job, and
//! those that became late meanwhile find hardly any capacity. A wait that counts only the work ahead
//! at the moment stays short however many late jobs there are, and each of them ends up of no use
//! after it was accepted. A job that cannot be on time is therefore taken to wait for what jobs that
//! can be on time leave over, behind all other late work.
//!
//! Capacity that is on its way counts from its arrival, as jobs must not be refused that the hosts
//! requested for them could run in time.

use std::time::Duration;

/// The part of a pool's cores that run tasks while work waits: tasks of several cores leave gaps,
/// and the next task starts some ten milliseconds after the last one has ended.
pub(super) const EFFICIENCY: f64 = 0.85;
/// The part of a pool that late work gets during a peak, as its divisor: half of what jobs at their
/// [last chance](super::last_chance) may use, as not all of them find room at the right moment.
const LATE_DIVISOR: f64 = 28.0;
/// How old the limits are on which a daemon decides: the interval between two computations, and the
/// time until the daemon stores its next job.
const LIMITS_AGE: Duration = Duration::from_millis(200);
/// The wait after which nothing can be said any more.
pub const LONGEST_WAIT: Duration = Duration::from_secs(3_600);

/// The core-seconds that a pool completes per second, now and once hosts have arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Drain {
    now: f64,
    later: f64,
    arrival: Duration,
}

impl Drain {
    /// Creates the drain of a pool that has `cores` and gets `coming` more after `arrival`.
    pub fn new(cores: f64, coming: f64, arrival: Duration) -> Self {
        let now = cores.max(0.0) * EFFICIENCY;
        Self { now, later: now + coming.max(0.0) * EFFICIENCY, arrival }
    }

    /// Returns the core-seconds per second at present.
    pub fn per_second(&self) -> f64 {
        self.now
    }

    /// Returns whether the pool never completes anything.
    pub fn is_zero(&self) -> bool {
        self.later <= 0.0
    }

    /// Returns how long the pool takes for `work` core-seconds.
    pub fn time_for(&self, work: f64) -> Duration {
        let until_arrival = self.now * self.arrival.as_secs_f64();
        let seconds = if work <= until_arrival && self.now > 0.0 {
            work / self.now
        } else {
            self.arrival.as_secs_f64() + (work - until_arrival).max(0.0) / self.later
        };
        bounded(seconds)
    }

    /// Returns the core-seconds that the pool completes within `time`.
    pub fn work_in(&self, time: Duration) -> f64 {
        let before = time.min(self.arrival).as_secs_f64();
        self.now * before + self.later * time.saturating_sub(self.arrival).as_secs_f64()
    }
}

/// The work of a pool, in core-seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Backlog {
    /// What the pool completes.
    pub drain: Drain,
    /// What is left of running tasks.
    pub running: f64,
    /// Waiting work that can be on time.
    pub on_time: f64,
    /// Waiting work that could be on time, of callers beyond their share.
    pub beyond: f64,
    /// Waiting work that is late and of use.
    pub late: f64,
    /// The number of cores that arriving work is expected to keep busy.
    pub arriving: f64,
    /// The number of cores that the arrivals of the last second would keep busy, refused ones
    /// included. At the beginning of a peak they are fewer than are expected, and hosts are on their
    /// way for these.
    pub sustained: f64,
}

impl Backlog {
    /// Returns the wait of a job within its caller's share, with `reserved` core-seconds of other
    /// jobs ahead of it. `slack` is how long it can wait and still be on time.
    pub fn wait(&self, reserved: f64, slack: Duration) -> Duration {
        self.wait_behind(self.running + self.on_time + reserved, slack)
    }

    /// Returns the wait of a job beyond its caller's share.
    pub fn wait_beyond(&self, reserved: f64, slack: Duration) -> Duration {
        self.wait_behind(self.running + self.on_time + self.beyond + reserved, slack)
    }

    /// Returns the time after which a job finds room among those that can be on time.
    pub fn turn(&self, ahead: f64, slack: Duration) -> Duration {
        let left = ahead - self.drain.work_in(room(slack));
        self.drain.time_for(left.max(0.0))
    }

    /// Returns the work by which the backlog grows until limits that are computed now are replaced,
    /// if nothing is refused meanwhile. `refused` is the number of cores that jobs which are
    /// refused now would keep busy.
    pub fn growth(&self, refused: f64) -> f64 {
        (self.arriving + refused - self.drain.later).max(0.0) * LIMITS_AGE.as_secs_f64()
    }

    fn wait_behind(&self, ahead: f64, slack: Duration) -> Duration {
        let placed = self.drain.time_for(ahead);
        let excess = ahead - self.drain.work_in(room(slack));
        if excess <= 0.0 {
            return placed;
        }
        let capacity = self.drain.later;
        let left_over = (capacity - self.sustained).max(capacity / LATE_DIVISOR);
        placed.max(bounded((excess + self.late) / left_over))
    }
}

/// Returns how long the work ahead of a job may take if it is to be on time. Limits are up to some
/// tenths of a second old, during which work keeps arriving; half of the slack is left for it.
fn room(slack: Duration) -> Duration {
    slack / 2
}

fn bounded(seconds: f64) -> Duration {
    if seconds.is_nan() || seconds >= LONGEST_WAIT.as_secs_f64() {
        return LONGEST_WAIT;
    }
    Duration::from_secs_f64(seconds.max(0.0))
}

#[cfg(test)]
mod tests;
