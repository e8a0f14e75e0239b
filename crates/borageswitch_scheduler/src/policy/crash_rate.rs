//! Estimates how often executors crash for reasons unrelated to a task.
//!
//! Some hosts crash again and again. A crash on one of these says next to nothing about the task
//! that ran there, while one on a site where hosts hardly ever crash says a lot. Without a rate,
//! tasks that are sent to a failing host would be given up in its place.

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use borageswitch_types::{
    Time,
    names::{HostName, JobName},
};

/// How long crashes are kept and count for the rate.
const RETENTION: Duration = Duration::from_secs(60);
/// The prior for the rate: one crash in this much executor time, so that a new leader does not
/// start without a rate.
const PRIOR_EXPOSURE: Duration = Duration::from_secs(200);
/// The number of crashes within [`RETENTION`] from which a host counts as crash-prone and is
/// avoided by suspects.
const CRASH_PRONE_MIN: usize = 2;

#[derive(Clone, Debug)]
struct CrashEvent {
    at: Time,
    host: Option<HostName>,
    jobs: BTreeSet<JobName>,
}

/// The crashes of the last [`RETENTION`].
#[derive(Clone, Debug, Default)]
pub struct CrashHistory {
    events: VecDeque<CrashEvent>,
}

impl CrashHistory {
    /// Records the crash of an executor that had runs of `jobs`.
    pub fn add_crash(&mut self, at: Time, host: Option<HostName>, jobs: BTreeSet<JobName>) {
        self.events.retain(|event| at.since(event.at) < RETENTION);
        self.events.push_back(CrashEvent { at, host, jobs });
    }

    /// Records a crash that an earlier leader has noted `age` ago; its host is not known.
    pub fn add_earlier_crash(&mut self, now: Time, age: Duration, jobs: BTreeSet<JobName>) {
        if age < RETENTION {
            let at = Time::ZERO + now.since(Time::ZERO).saturating_sub(age);
            self.events.push_back(CrashEvent { at, host: None, jobs });
        }
    }

    /// Removes the crashes under a job that has been found to cause them.
    pub fn discard_caused_by(&mut self, job: &JobName) {
        self.events.retain(|event| !event.jobs.contains(job));
    }

    /// Returns how many unrelated crashes per second a task on a host sees. Crashes under the
    /// task's own job do not count. `began` is when the leader took over.
    pub fn rate(&self, now: Time, began: Time, context: &RateContext<'_>) -> f64 {
        let observed = now.since(began).min(RETENTION).as_secs_f64();
        let unrelated = |event: &&CrashEvent| {
            now.since(event.at) < RETENTION && !event.jobs.contains(context.job)
        };
        let unrelated = self.events.iter().filter(unrelated);
        let total = unrelated.clone().count() as f64;
        let here =
            unrelated.filter(|event| context.host.is_some() && event.host.as_ref() == context.host);
        let here = here.count() as f64;
        let exposure = PRIOR_EXPOSURE.as_secs_f64() + context.executors as f64 * observed;
        let average = (total + 1.0) / exposure;
        average.max(here / RETENTION.as_secs_f64())
    }

    /// Returns whether a host has crashed repeatedly within [`RETENTION`].
    pub fn is_crash_prone(&self, now: Time, host: &HostName) -> bool {
        let here = self
            .events
            .iter()
            .filter(|event| now.since(event.at) < RETENTION && event.host.as_ref() == Some(host));
        here.count() >= CRASH_PRONE_MIN
    }

    /// Returns whether no crash is recorded.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }
}

/// The task and the host for which a crash rate is estimated.
#[derive(Clone, Copy, Debug)]
pub struct RateContext<'a> {
    /// The job of the task.
    pub job: &'a JobName,
    /// The host that the task ran on, if it is known.
    pub host: Option<&'a HostName>,
    /// The number of executors of the site.
    pub executors: usize,
}

#[cfg(test)]
mod tests;
