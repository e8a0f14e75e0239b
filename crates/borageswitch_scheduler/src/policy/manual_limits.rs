//! Limits that an operator sets on a caller or a queue, in jobs per second.
//!
//! One caller's program submits the same jobs in a loop, or the jobs of a queue harm something
//! outside this system. Shares and admission limits do not help, as they act only where work waits.
//! The operator therefore limits the caller or the queue by hand, until the cause is removed.
//!
//! The leader counts for all daemons, as each of them sees only a part of a caller's jobs. A new
//! leader begins with full buckets, so a change of leader lets one second's jobs through at most.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use borageswitch_types::{
    Time,
    names::{CallerName, QueueName},
};

use crate::policy::caller_shares::JobBucket;

/// What a manual limit applies to.
#[derive(
    Clone,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    derive_more::Display,
    serde::Serialize,
    serde::Deserialize,
)]
pub enum LimitSubject {
    /// All jobs of a queue.
    #[display("queue/{_0}")]
    Queue(QueueName),
    /// All jobs of a caller.
    #[display("caller/{_0}")]
    Caller(CallerName),
}

/// The jobs of a queue and, if it requires a key, of a caller are limited by these.
fn subjects(queue: &QueueName, caller: Option<&CallerName>) -> impl Iterator<Item = LimitSubject> {
    let caller = caller.cloned().map(LimitSubject::Caller);
    caller.into_iter().chain([LimitSubject::Queue(queue.clone())])
}

/// Whether one of the subjects includes the jobs of a queue and a caller.
pub fn concern(
    limited: &BTreeSet<LimitSubject>,
    queue: &QueueName,
    caller: Option<&CallerName>,
) -> bool {
    !limited.is_empty() && subjects(queue, caller).any(|subject| limited.contains(&subject))
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Limit {
    per_second: f64,
    bucket: Option<JobBucket>,
}

/// The limits in force, and what is left of them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ManualLimits {
    limits: BTreeMap<LimitSubject, Limit>,
    subjects: Arc<BTreeSet<LimitSubject>>,
}

impl ManualLimits {
    /// Sets the limit of a subject, or lifts it. Gives whether this changed anything.
    pub fn set(&mut self, subject: LimitSubject, per_second: Option<f64>) -> bool {
        let before = self.limits.get(&subject).copied();
        if before.map(|limit| limit.per_second) == per_second {
            return false;
        }
        match per_second {
            // A changed limit keeps its bucket, as a full one would let more jobs through.
            Some(per_second) => {
                let bucket = before.and_then(|limit| limit.bucket);
                self.limits.insert(subject, Limit { per_second, bucket });
            }
            None => {
                self.limits.remove(&subject);
            }
        }
        self.subjects = Arc::new(self.limits.keys().cloned().collect());
        true
    }

    /// The limited subjects, for the daemons.
    pub fn subjects(&self) -> &Arc<BTreeSet<LimitSubject>> {
        &self.subjects
    }

    /// The limits in jobs per second.
    pub fn iter(&self) -> impl Iterator<Item = (&LimitSubject, f64)> {
        self.limits.iter().map(|(subject, limit)| (subject, limit.per_second))
    }

    /// Reserves a job of a queue and a caller in all limits that apply to it. The job counts only
    /// once the permit is [taken](Self::take).
    ///
    /// # Errors
    ///
    /// If one of them is used up, the time until it allows another job; none if it allows no job.
    pub fn permit(
        &self,
        now: Time,
        queue: &QueueName,
        caller: Option<&CallerName>,
    ) -> Result<Permit, Option<Duration>> {
        let mut permit = Permit::default();
        for subject in subjects(queue, caller) {
            let Some(Limit { per_second, bucket }) = self.limits.get(&subject).copied() else {
                continue;
            };
            if per_second <= 0.0 {
                return Err(None);
            }
            let mut bucket = bucket.unwrap_or_else(|| JobBucket::new(now, per_second));
            if !bucket.try_take(now, per_second) {
                return Err(Duration::try_from_secs_f64(per_second.recip()).ok());
            }
            permit.0.push((subject, Limit { per_second, bucket: Some(bucket) }));
        }
        Ok(permit)
    }

    /// Counts the job of a permit, which must be the last one given.
    pub fn take(&mut self, permit: Permit) {
        self.limits.extend(permit.0);
    }
}

/// The limits as they are once a job is counted. A job that another limit or rule refuses must not
/// use up any of them.
#[derive(Debug, Default)]
pub struct Permit(Vec<(LimitSubject, Limit)>);

#[cfg(test)]
mod tests;
