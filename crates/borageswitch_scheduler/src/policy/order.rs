//! Orders jobs by urgency, for when capacity is short.
//!
//! Each queue at times requests several times the capacity of its pool for some seconds, and almost
//! nothing in between. A job that ends on time is worth about fourteen times one that ends late.
//! Serving first come, first served, or by the earliest deadline, keeps the pool busy with jobs
//! that are just about to be late, and in the end all are. So a job that can still be on time goes
//! before one that cannot, and late jobs use the remaining capacity.

use std::time::Duration;

use borageswitch_types::Time;

/// The completion of a job is of use until this multiple of its time objective has passed.
pub const USEFUL_FACTOR: u32 = 3;

/// The properties of a job that determine its urgency.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobView {
    /// Whether it is a lasting job, which runs until it is cancelled.
    pub lasting: bool,
    /// Whether it is beyond the share of its caller: of the pool, where shares are in force (see
    /// [`fair_shares`](super::fair_shares)), else of the rate at which it was submitted.
    pub beyond_share: bool,
    /// The priority of the queue; 0 comes first.
    pub priority: u32,
    /// When it was accepted.
    pub accepted: Time,
    /// The time until which it is on time.
    pub deadline: Time,
    /// The time until which it is of use, though late.
    pub useful_until: Time,
    /// The remaining critical path: the longest chain of work that is left.
    pub remaining: Duration,
}

/// The urgency of a job. The smallest value goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    class: Class,
    priority: u32,
    order_time: Time,
}

/// The classes of urgency, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Its tasks are lasting: their users are without service until they run.
    Lasting,
    /// It will be late, and of no use unless it runs now.
    LastChance,
    /// It can still be on time.
    OnTime,
    /// It can still be on time, but exceeds the share of its caller.
    Beyond,
    /// It will be late, but is still of use.
    Late,
    /// It will be late, is still of use, and exceeds the share of its caller.
    LateBeyond,
    /// It is still of use, but exceeds the share of its caller, whose weight is 0.
    Unweighted,
    /// It is hardly of use any more, but is still run.
    Overdue,
}

impl Urgency {
    /// Determines the urgency of a job at `now`.
    pub fn of(job: &JobView, now: Time) -> Urgency {
        let end = now + job.remaining;
        let (class, order_time) = if job.lasting {
            (Class::Lasting, job.accepted)
        } else if job.beyond_share && end <= job.deadline {
            (Class::Beyond, job.deadline)
        } else if end <= job.deadline {
            (Class::OnTime, job.deadline)
        } else if end <= job.useful_until {
            (Class::Late, job.useful_until)
        } else {
            (Class::Overdue, job.accepted)
        };
        Urgency { class, priority: job.priority, order_time }
    }

    /// Returns the class.
    pub fn class(&self) -> Class {
        self.class
    }

    /// Moves the job ahead of those that can be on time; see [`last_chance`](super::last_chance).
    pub fn as_last_chance(self) -> Urgency {
        Urgency { class: Class::LastChance, ..self }
    }

    /// Moves the job behind late jobs within the share of their callers, if it will be late.
    pub fn as_late_beyond(self) -> Urgency {
        match self.class {
            Class::Late => Urgency { class: Class::LateBeyond, ..self },
            _ => self,
        }
    }

    /// Moves the job of a caller of weight 0 behind all jobs of others that are of use.
    pub fn as_unweighted(self) -> Urgency {
        match self.class {
            Class::Lasting | Class::Overdue => self,
            _ => Urgency { class: Class::Unweighted, ..self },
        }
    }

    /// Moves the job among the late ones; see [`on_time_set`](super::on_time_set).
    pub fn as_surplus(self, job: &JobView) -> Urgency {
        Urgency { class: Class::Late, order_time: job.useful_until, ..self }
    }

    /// Returns the priority of the queue.
    pub fn priority(&self) -> u32 {
        self.priority
    }

    /// Returns whether the job is lasting.
    pub fn is_lasting(&self) -> bool {
        self.class == Class::Lasting
    }

    /// Returns whether the job is expected to be late or exceeds the share of its caller.
    pub fn is_late(&self) -> bool {
        !matches!(self.class, Class::Lasting | Class::OnTime)
    }
}
