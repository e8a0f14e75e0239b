//! Chooses the jobs that are to be on time when not all of them can be.
//!
//! A queue is sent a fifth more than its pool can run. Each waiting job could be on time if it ran
//! now, and served by the earliest deadline, each one starts at the last moment at which it can: the
//! next delay of some milliseconds makes it late, and the pool is busy with jobs that all end just
//! late. In a replay of 10 s, a pool completed less than a third of its capacity on time.
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

/// A waiting job that can be on time if it runs now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The time from its acceptance to its deadline.
    pub objective: Duration,
    /// When it has to end.
    pub deadline: Time,
    /// The longest chain of work that is left.
    pub remaining: Duration,
    /// Its waiting work, in core-seconds.
    pub work: f64,
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

    /// The time left between its end and its deadline, in seconds, with `ahead` core-seconds of
    /// other work before it.
    fn spare(&self, now: Time, drain: &Drain, ahead: f64) -> f64 {
        let end = drain.time_for(ahead + self.work) + self.remaining;
        (self.deadline - now).as_secs_f64() - end.as_secs_f64()
    }
}

/// Returns for each candidate whether it is chosen; none if all of them fit. The candidates are in
/// the order in which they are served.
pub fn choose(now: Time, drain: &Drain, candidates: &[Candidate]) -> Option<Vec<bool>> {
    if drain.is_zero() || all_fit(now, drain, candidates) {
        return None;
    }
    let mut kept = vec![false; candidates.len()];
    let mut spare = vec![f64::INFINITY; candidates.len()];
    let mut ahead = 0.0;
    for (index, candidate) in candidates.iter().enumerate().filter(|(_, c)| c.chosen) {
        let left = candidate.spare(now, drain, ahead);
        let margin = candidate.margin().as_secs_f64();
        if left >= margin * KEPT_MARGIN {
            kept[index] = true;
            spare[index] = left - margin;
            ahead += candidate.work;
        }
    }
    // The delay that each position can take without a job behind it that loses its margin.
    let mut least = f64::INFINITY;
    for own in spare.iter_mut().rev() {
        least = least.min(*own);
        *own = least;
    }
    let rate = drain.per_second();
    let (mut ahead, mut added) = (0.0, 0.0);
    for (index, candidate) in candidates.iter().enumerate() {
        if !kept[index] {
            let delay = (added + candidate.work) / rate;
            let fits = candidate.spare(now, drain, ahead) >= candidate.margin().as_secs_f64();
            if !fits || spare[index] < delay {
                continue;
            }
            kept[index] = true;
            added += candidate.work;
        }
        ahead += candidate.work;
    }
    Some(kept)
}

fn all_fit(now: Time, drain: &Drain, candidates: &[Candidate]) -> bool {
    let mut ahead = 0.0;
    candidates.iter().all(|candidate| {
        let fits = candidate.spare(now, drain, ahead) >= 0.0;
        ahead += candidate.work;
        fits
    })
}

#[cfg(test)]
mod tests;
