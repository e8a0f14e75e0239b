//! Limits how many executors a storm of crashing jobs can reach.
//!
//! At a load peak, a tenth of the jobs of one queue crash each executor that starts one of their
//! tasks. A new job starts on several executors at once, so each of these jobs takes down several
//! executors with some twenty runs each before the evidence against it suffices, and for ten seconds
//! a new one arrives every second. On a pool of nine hosts, less than half of the sound jobs end on
//! time, and jobs are late until long after the last crashing job arrived.
//!
//! Two crashes soon after a start therefore contain the groups of jobs to which the cause may
//! belong. A job of a contained group starts a single task first, its probe, on one of a few
//! executors. The rest of the job starts once the probe has lived for long enough.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use borageswitch_types::{
    Time,
    names::{CallerName, QueueName},
};

/// Crashes within this time together activate containment.
pub const TRIGGER_WINDOW: Duration = Duration::from_secs(10);
/// The number of crashes that activate containment. A single one happens on any site.
const MIN_CRASHES: usize = 2;
/// Containment ends this long after the last crash that a start may have caused.
const CALM: Duration = Duration::from_secs(5);
/// How much longer than twice the age at which executors crashed a probe has to live, because ages
/// are not known exactly.
const AGE_MARGIN: Duration = Duration::from_millis(500);
/// The longest time that a probe has to live. A longer one would make most jobs late.
const MAX_PROBE_TIME: Duration = Duration::from_millis(1_000);
/// The part of a pool's executors that probes and suspects may occupy together, as a divisor. With
/// a fifth, and lost executors counted for 3 s from the detection of their crash, jobs that crash
/// executors of a pool of nine hosts were not identified within a minute.
const EXECUTORS_PER_PROBE_EXECUTOR: usize = 3;
/// The largest number of unproven jobs on one executor.
pub const MAX_JOBS_PER_EXECUTOR: usize = 3;
/// How long after its crash an executor that crashed under a probe counts as occupied: about the
/// time until its host is back.
pub const LOST_EXECUTOR_TIME: Duration = Duration::from_secs(3);

/// A set of jobs that may have the cause of crashes in common.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub enum Group {
    /// The jobs of a queue.
    #[display("queue {_0}")]
    Queue(QueueName),
    /// The jobs with steps that run an image.
    #[display("image {_0}")]
    Image(Arc<str>),
    /// The jobs of a caller.
    #[display("caller {_0}")]
    Caller(CallerName),
}

#[derive(Clone, Debug, PartialEq)]
struct StartCrash {
    at: Time,
    groups: BTreeSet<Group>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Contained {
    last_crash: Time,
    longest_age: Duration,
}

/// The contained groups of one pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ContainedGroups {
    /// The crashes of the last [`TRIGGER_WINDOW`].
    crashes: VecDeque<StartCrash>,
    contained: BTreeMap<Group, Contained>,
}

impl ContainedGroups {
    /// Adds a crash that a start of a job of one of `groups` may have caused, `age` after that
    /// start. Returns the groups that are contained from now on and were not before.
    pub fn add_crash(&mut self, at: Time, age: Duration, groups: BTreeSet<Group>) -> Vec<Group> {
        self.expire(at);
        self.crashes.push_back(StartCrash { at, groups: groups.clone() });
        let mut added = Vec::new();
        for group in groups {
            let seen = self.crashes.iter().filter(|crash| crash.groups.contains(&group)).count();
            match self.contained.get_mut(&group) {
                Some(known) => {
                    known.last_crash = known.last_crash.max(at);
                    known.longest_age = known.longest_age.max(age);
                }
                None if seen >= MIN_CRASHES => {
                    let contained = Contained { last_crash: at, longest_age: age };
                    self.contained.insert(group.clone(), contained);
                    added.push(group);
                }
                None => {}
            }
        }
        added
    }

    /// Drops what no longer counts, and returns the groups whose containment has ended.
    pub fn expire(&mut self, now: Time) -> Vec<Group> {
        self.crashes.retain(|crash| now.since(crash.at) < TRIGGER_WINDOW);
        let is_over = |contained: &Contained| now.since(contained.last_crash) >= CALM;
        let over = self.contained.iter().filter(|(_, contained)| is_over(contained));
        let over: Vec<Group> = over.map(|(group, _)| group.clone()).collect();
        over.iter().for_each(|group| {
            self.contained.remove(group);
        });
        over
    }

    /// Whether any group is contained.
    pub fn is_active(&self) -> bool {
        !self.contained.is_empty()
    }

    /// Whether there is nothing left to remember.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.contained.is_empty()
    }

    /// How long the probe of a job of these groups has to live; `None` if none is contained.
    pub fn probe_time<'a, I>(&self, groups: I) -> Option<Duration>
    where
        I: IntoIterator<Item = &'a Group>,
    {
        let contained = groups.into_iter().filter_map(|group| self.contained.get(group));
        contained.map(|contained| probe_time(contained.longest_age)).max()
    }

    /// How long a suspect has to live, whatever its groups.
    pub fn longest_probe_time(&self) -> Duration {
        let ages = self.contained.values().map(|contained| contained.longest_age);
        probe_time(ages.max().unwrap_or_default())
    }
}

/// How long a probe has to live, if executors crashed up to `age` after the start.
fn probe_time(age: Duration) -> Duration {
    (2 * age + AGE_MARGIN).min(MAX_PROBE_TIME)
}

/// How many of a pool's executors probes and suspects may occupy together.
pub fn max_probe_executors(executors: usize) -> usize {
    (executors / EXECUTORS_PER_PROBE_EXECUTOR).max(1)
}

#[cfg(test)]
mod tests;
