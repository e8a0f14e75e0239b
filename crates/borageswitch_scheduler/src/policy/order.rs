//! Which job's tasks go first when there is not room for all.
//!
//! The load: each queue in its turn asks for several times what its pool holds, for some seconds,
//! and for almost nothing in between. A job that ends in time is worth about fourteen times one
//! that ends late. Serving first come, first served, or by the earliest deadline, keeps the pool
//! busy with jobs that are just about to be late, and in the end all are. So a job that can still
//! be on time goes before one that cannot, and what is late runs in what is left.

use std::time::Duration;

use borageswitch_types::Time;

/// What the order of jobs depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobView {
    /// It lasts until it is cancelled.
    pub lasting: bool,
    /// Its caller had handed in its share already.
    pub beyond_share: bool,
    /// The queue's priority; 0 comes first.
    pub priority: u32,
    /// When it was accepted.
    pub accepted: Time,
    /// It is on time until then.
    pub deadline: Time,
    /// It is of use until then, though late.
    pub useful_until: Time,
    /// The longest chain of work that is left.
    pub remaining: Duration,
}

/// How urgent a job is: the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    class: Class,
    priority: u32,
    by: Time,
}

/// The classes of urgency, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Lasting tasks: their users are without service until they run.
    Lasting,
    /// It will be late, and of no use unless it runs now.
    LastChance,
    /// It can still be on time.
    OnTime,
    /// It can still be on time, but is beyond what its caller was promised.
    Beyond,
    /// It will be late, but is still of use.
    Late,
    /// It is of little use any more; it is done all the same.
    Overdue,
}

impl Urgency {
    /// How urgent a job is now.
    pub fn of(job: &JobView, now: Time) -> Urgency {
        let end = now + job.remaining;
        let (class, by) = if job.lasting {
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
        Urgency { class, priority: job.priority, by }
    }

    /// The class.
    pub fn class(&self) -> Class {
        self.class
    }

    /// The same job, let ahead of those that can be on time: see [`last_chance`](super::last_chance).
    pub fn let_ahead(self) -> Urgency {
        Urgency { class: Class::LastChance, ..self }
    }

    /// Whether its tasks last until it is cancelled.
    pub fn is_lasting(&self) -> bool {
        self.class == Class::Lasting
    }

    /// Whether it will be late, if it is of use at all.
    pub fn is_late(&self) -> bool {
        !matches!(self.class, Class::Lasting | Class::OnTime)
    }
}
