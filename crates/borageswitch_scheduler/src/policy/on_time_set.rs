//! Chooses the jobs that are to be on time when not all of them can be.
//!
//! A queue is sent a fifth more than its pool can run. Each waiting job could be on time if it ran
//! now, and served by the earliest deadline, each one starts at the last moment at which it can: the
//! next delay of some milliseconds makes it late, and the pool is busy with jobs that all end just
//! late. In a replay of 10 s, a pool completed less than a third of its capacity on time.
//!
//! The same happens where the hosts have room and the leader cannot start as many tasks as are
//! requested: see [`start_rate`](super::start_rate).
//!
//! While the waiting work does not fit, the jobs are therefore chosen that end on time with some
//! margin, in the order of their deadlines. The others are treated like late ones until there is
//! room. A job that was chosen stays chosen while it can be on time: if a newer one could take its
//! place, jobs would be given up one after the other shortly before their turn.

use std::time::Duration;

use borageswitch_types::Time;

use crate::policy::backlog::Drain;

/// The delay of a start and of the report of an end together, at most: each needs a write to the
/// store and a call to the executor.
pub(super) const OVERHEAD: Duration = Duration::from_millis(150);
/// The part of a job's remaining time by which its estimate may be too short.
pub(super) const UNCERTAINTY: f64 = 0.1;

/// The part of its margin that a chosen job needs to stay chosen.
const KEPT_MARGIN: f64 = 0.5;

/// What limits how soon waiting jobs end.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Capacity {
    /// What the pool completes; `None` if its hosts are not considered.
    pub drain: Option<Drain>,
    /// The tasks per second that the leader starts; `None` if it is not the limit.
    pub starts_per_s: Option<f64>,
    /// The time from the decision on a start to its response, and from an end to its report,
    /// together, where the leader is the limit.
    pub delay: Duration,
}

/// What a job takes of a [`Capacity`].
#[derive(Clone, Copy, Debug, Default, PartialEq, derive_more::Add, derive_more::AddAssign)]
pub struct Load {
    /// Work, in core-seconds.
    pub work: f64,
    /// The number of tasks.
    pub tasks: f64,
}

impl Capacity {
    /// Whether nothing ever completes.
    fn is_zero(&self) -> bool {
        self.drain.is_some_and(|drain| drain.is_zero())
    }

    /// The time until `load` has run, in seconds.
    fn time_for(&self, load: Load) -> f64 {
        let on_hosts = self.drain.map_or(0.0, |drain| drain.time_for(load.work).as_secs_f64());
        on_hosts.max(self.time_to_start(load))
    }

    /// The time by which `load` delays what follows it, in seconds.
    fn time_behind(&self, load: Load) -> f64 {
        let on_hosts = self.drain.map_or(0.0, |drain| load.work / drain.per_second());
        on_hosts.max(self.time_to_start(load))
    }

    fn time_to_start(&self, load: Load) -> f64 {
        self.starts_per_s.map_or(0.0, |rate| load.tasks / rate)
    }
}

/// A waiting job that can be on time if it runs now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The time from its acceptance to its deadline.
    pub objective: Duration,
    /// When it has to end.
    pub deadline: Time,
    /// The longest chain of work that is left.
    pub remaining: Duration,
    /// Its waiting work and tasks.
    pub load: Load,
    /// Whether it was chosen before.
    pub chosen: bool,
}

impl Candidate {
    /// The time by which its end must precede its deadline to be certain; at most half of what it
    /// can wait in all, as jobs with a tight objective would never be chosen otherwise.
    fn margin(&self) -> Duration {
        let slack = self.objective.saturating_sub(self.remaining);
        (OVERHEAD + self.remaining.mul_f64(UNCERTAINTY)).min(slack / 2)
    }

    /// The time left between its end and its deadline, in seconds, with other jobs `ahead` of it.
    fn spare(&self, now: Time, capacity: &Capacity, ahead: Load) -> f64 {
        let rest = self.remaining + capacity.delay;
        let end = capacity.time_for(ahead + self.load) + rest.as_secs_f64();
        (self.deadline - now).as_secs_f64() - end
    }
}

/// Returns for each candidate whether it is chosen; none if all of them fit. The candidates are in
/// the order in which they are served.
pub fn choose(now: Time, capacity: &Capacity, candidates: &[Candidate]) -> Option<Vec<bool>> {
    if capacity.is_zero() || all_fit(now, capacity, candidates) {
        return None;
    }
    let mut kept = vec![false; candidates.len()];
    let mut spare = vec![f64::INFINITY; candidates.len()];
    let mut ahead = Load::default();
    for (index, candidate) in candidates.iter().enumerate().filter(|(_, c)| c.chosen) {
        let left = candidate.spare(now, capacity, ahead);
        let margin = candidate.margin().as_secs_f64();
        if left >= margin * KEPT_MARGIN {
            kept[index] = true;
            spare[index] = left - margin;
            ahead += candidate.load;
        }
    }
    // The delay that each position can take without a job behind it that loses its margin.
    let mut least = f64::INFINITY;
    for own in spare.iter_mut().rev() {
        least = least.min(*own);
        *own = least;
    }
    let (mut ahead, mut added) = (Load::default(), Load::default());
    for (index, candidate) in candidates.iter().enumerate() {
        if !kept[index] {
            let delay = capacity.time_behind(added + candidate.load);
            let fits = candidate.spare(now, capacity, ahead) >= candidate.margin().as_secs_f64();
            if !fits || spare[index] < delay {
                continue;
            }
            kept[index] = true;
            added += candidate.load;
        }
        ahead += candidate.load;
    }
    Some(kept)
}

fn all_fit(now: Time, capacity: &Capacity, candidates: &[Candidate]) -> bool {
    let mut ahead = Load::default();
    candidates.iter().all(|candidate| {
        let fits = candidate.spare(now, capacity, ahead) >= 0.0;
        ahead += candidate.load;
        fits
    })
}

#[cfg(test)]
mod tests;
