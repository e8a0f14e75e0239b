//! How often executors crash under tasks that have nothing to do with it.
//!
//! The load: hosts of all kinds, some of which crash again and again. A crash on one of these says
//! next to nothing about the task that ran there; one on a site where hosts hardly ever crash says a
//! lot. Without a rate, tasks that are sent to a failing host would be given up in place of it.

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use borageswitch_types::{
    Time,
    names::{HostName, JobName},
};

/// How long crashes are remembered for the rate at which they happen.
const MEMORY: Duration = Duration::from_secs(60);
/// One crash is taken to have been seen in so long a life of one executor, so that a new leader
/// does not begin without a rate.
const PRIOR_LIFE: Duration = Duration::from_secs(200);
/// A host that crashed so often within [`MEMORY`] is avoided by suspects.
const UNSTEADY: usize = 2;

#[derive(Clone, Debug)]
struct Event {
    at: Time,
    host: Option<HostName>,
    jobs: BTreeSet<JobName>,
}

/// The crashes of the last minute.
#[derive(Clone, Debug, Default)]
pub struct History {
    events: VecDeque<Event>,
}

impl History {
    /// An executor has crashed with runs of these jobs.
    pub fn note(&mut self, at: Time, host: Option<HostName>, jobs: BTreeSet<JobName>) {
        self.events.retain(|event| at.since(event.at) < MEMORY);
        self.events.push_back(Event { at, host, jobs });
    }

    /// A job has turned out to be the cause wherever it was.
    pub fn explain(&mut self, job: &JobName) {
        self.events.retain(|event| !event.jobs.contains(job));
    }

    /// How many crashes a second a task on a host sees that has nothing to do with them. What
    /// happened under the task's own job does not count.
    pub fn rate(&self, now: Time, began: Time, site: &Site<'_>) -> f64 {
        let observed = now.since(began).min(MEMORY).as_secs_f64();
        let foreign =
            |event: &&Event| now.since(event.at) < MEMORY && !event.jobs.contains(site.job);
        let foreign = self.events.iter().filter(foreign);
        let all = foreign.clone().count() as f64;
        let here = foreign.filter(|event| site.host.is_some() && event.host.as_ref() == site.host);
        let here = here.count() as f64;
        let lived = PRIOR_LIFE.as_secs_f64() + site.executors as f64 * observed;
        let average = (all + 1.0) / lived;
        average.max(here / MEMORY.as_secs_f64())
    }

    /// Whether a host has crashed again and again.
    pub fn is_unsteady(&self, now: Time, host: &HostName) -> bool {
        let here = self
            .events
            .iter()
            .filter(|event| now.since(event.at) < MEMORY && event.host.as_ref() == Some(host));
        here.count() >= UNSTEADY
    }

    /// Whether any crash is remembered.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }
}

/// Where a crash rate is asked for.
#[derive(Clone, Copy, Debug)]
pub struct Site<'a> {
    /// The job of the task.
    pub job: &'a JobName,
    /// The host that it ran on, if it is known.
    pub host: Option<&'a HostName>,
    /// How many executors there are.
    pub executors: usize,
}

#[cfg(test)]
mod tests;
