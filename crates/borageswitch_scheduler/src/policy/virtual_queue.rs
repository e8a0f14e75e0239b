//! Decides when refused jobs may return, and which of them go before newcomers.
//!
//! Callers that were refused in a load peak retry. If they retry when they like, they come back all
//! at once, and whoever retries most often is served first. Each refusal therefore reserves capacity
//! behind the reservations before it, and names the time of its turn. A job that returns at its time
//! goes before newcomers; one that returns early is told the same time again, and one that is
//! submitted under another id starts at the end.

use std::{collections::BTreeMap, time::Duration};

use borageswitch_types::{Time, names::JobName};

use crate::policy::backlog::Drain;

/// How long before its turn a job may return: whole seconds are told, and clocks and connections
/// differ by less than this.
const EARLY: Duration = Duration::from_millis(500);
/// How long after its turn a reservation is kept.
const LATE: Duration = Duration::from_secs(2);
/// The largest number of reservations in a queue. It bounds the memory; at 400 refusals per second
/// it covers ten seconds.
const MAX_RESERVATIONS: usize = 4_096;

/// A refused job that may return.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reservation {
    /// When its turn comes.
    pub turn: Time,
    /// Whether its caller was beyond its share.
    pub beyond: bool,
    /// The work of the job, in core-seconds.
    pub core_seconds: f64,
    number: u64,
}

impl Reservation {
    /// Returns whether the job is too early at `now`.
    pub fn is_early(&self, now: Time) -> bool {
        now + EARLY < self.turn
    }
}

/// The reservations of a pool.
#[derive(Clone, Debug, Default)]
pub struct VirtualQueue {
    by_job: BTreeMap<JobName, Reservation>,
    by_turn: BTreeMap<(Time, u64), JobName>,
    by_age: BTreeMap<u64, JobName>,
    next_number: u64,
    /// The core-seconds reserved for jobs within their share, ...
    within: f64,
    /// ... and for the others.
    beyond: f64,
}

impl VirtualQueue {
    /// Removes the reservations whose time is over.
    pub fn expire(&mut self, now: Time) {
        while let Some((&(turn, _), job)) = self.by_turn.first_key_value() {
            if now <= turn + LATE {
                break;
            }
            let job = job.clone();
            self.remove(&job);
        }
    }

    /// Returns the reservation of a job.
    pub fn get(&self, job: &JobName) -> Option<&Reservation> {
        self.by_job.get(job)
    }

    /// Returns whether there are no reservations.
    pub fn is_empty(&self) -> bool {
        self.by_job.is_empty()
    }

    /// Reserves capacity for a job, behind all other reservations or at the place that it has.
    pub fn reserve(&mut self, job: &JobName, turn: Time, beyond: bool, core_seconds: f64) {
        let number = match self.remove(job) {
            Some(before) => before.number,
            None => self.next_number,
        };
        self.next_number = self.next_number.max(number + 1);
        self.by_job.insert(job.clone(), Reservation { turn, beyond, core_seconds, number });
        self.by_turn.insert((turn, number), job.clone());
        self.by_age.insert(number, job.clone());
        *self.work_of(beyond) += core_seconds;
        if self.by_job.len() > MAX_RESERVATIONS
            && let Some(oldest) = self.by_age.values().next().cloned()
        {
            self.remove(&oldest);
        }
    }

    /// Removes the reservation of a job.
    pub fn remove(&mut self, job: &JobName) -> Option<Reservation> {
        let known = self.by_job.remove(job)?;
        self.by_turn.remove(&(known.turn, known.number));
        self.by_age.remove(&known.number);
        *self.work_of(known.beyond) -= known.core_seconds;
        if self.by_job.is_empty() {
            // Sums of fractions do not return to zero by themselves.
            (self.within, self.beyond) = (0.0, 0.0);
        }
        Some(known)
    }

    /// Returns the work of all reservations ahead of a new one, in core-seconds: those within their
    /// share, and for a job beyond its share also the others.
    pub fn total(&self, beyond: bool) -> f64 {
        if beyond { self.within + self.beyond } else { self.within }
    }

    /// Returns the work of the reservations whose turn comes before a job would be placed, in
    /// core-seconds. `placed` is when it would be placed without them. Of a job with a reservation,
    /// only those before its own count.
    pub fn due_before(
        &self,
        placed: Time,
        drain: &Drain,
        job: Option<&JobName>,
        beyond: bool,
    ) -> f64 {
        let own = job.and_then(|job| self.by_job.get(job)).map(|own| (own.turn, own.number));
        let mut work = 0.0;
        for (&key, other) in &self.by_turn {
            if own.is_some_and(|own| key >= own) || key.0 > placed + drain.time_for(work) {
                break;
            }
            let Some(other) = self.by_job.get(other) else { continue };
            if beyond || !other.beyond {
                work += other.core_seconds;
            }
        }
        work
    }

    fn work_of(&mut self, beyond: bool) -> &mut f64 {
        if beyond { &mut self.beyond } else { &mut self.within }
    }
}

#[cfg(test)]
mod tests;
