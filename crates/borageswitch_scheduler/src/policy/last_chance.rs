//! Decides which late jobs run ahead of jobs that can still be on time.
//!
//! During a long load peak there is always a job that can still be on time. Late jobs get only the
//! capacity that these leave, which is none, and wait until they are of no use to anybody, although
//! each would have taken only a moment. A late job therefore goes first at the last moment at which
//! it can still be of use.
//!
//! Late jobs are worth little and must not displace those of full worth. Where a peak requests
//! several times the available capacity, more jobs reach their last chance than can run at all, and
//! in the end every job would be late. So only part of a pool runs such jobs at a time; the others
//! stay behind jobs that can be on time.

use std::time::Duration;

use borageswitch_types::Time;

use crate::policy::{
    on_time_set::{OVERHEAD, UNCERTAINTY},
    order::JobView,
};

/// A job is at its last chance when the time left until it is of no use is less than this multiple
/// of its critical path, ...
const CRITICAL_PATHS: f64 = 1.5;
/// ... plus this much: run times are known to within about a half, and a start takes a moment.
const SLACK: Duration = Duration::from_millis(500);
/// How long it takes in a full pool until capacity for all tasks of a job has become free.
const FILLING: Duration = Duration::from_millis(150);
/// The share of a pool, in percent, that late work may use ahead of work that can be on time.
/// Without a limit, late jobs would leave hardly any capacity to those that can be on time.
const SHARE_PERCENT: u64 = 20;
/// The share where not all jobs that could be on time fit. A job on time is worth about fourteen
/// times a late one.
const CONTENDED_SHARE_PERCENT: u64 = 7;

/// Returns whether a late job must start now to be of use.
pub fn is_due(job: &JobView, now: Time) -> bool {
    let end = now + job.remaining;
    let late = !job.lasting && !job.beyond_share && end > job.deadline;
    let time_needed = job.remaining.mul_f64(CRITICAL_PATHS) + SLACK;
    late && end <= job.useful_until && now + time_needed > job.useful_until
}

/// Returns whether a job that starts now ends while it is of use even if it takes somewhat longer
/// than `remaining`. Where more jobs are at their last chance than can run, those with the least
/// time left would all end just too late.
pub fn is_certain(now: Time, remaining: Duration, useful_until: Time) -> bool {
    now + remaining.mul_f64(1.0 + UNCERTAINTY) + OVERHEAD + FILLING <= useful_until
}

/// The capacity of a pool that is left for late work running ahead of other work, in thousandths of
/// a core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    cpu_milli: u64,
    /// Whether a job may exceed the allowance only if no other late work runs.
    strict: bool,
    /// Whether late work runs.
    in_use: bool,
}

impl Allowance {
    /// Creates the allowance of a pool with `pool_cpu_milli` in total, of which late work uses
    /// `late_cpu_milli` already.
    pub fn new(pool_cpu_milli: u64, late_cpu_milli: u64) -> Self {
        Self::of_share(pool_cpu_milli.saturating_mul(SHARE_PERCENT) / 100, late_cpu_milli, false)
    }

    /// Creates the allowance of a pool in which not all jobs that could be on time fit.
    pub fn contended(pool_cpu_milli: u64, late_cpu_milli: u64) -> Self {
        Self::of_share(
            pool_cpu_milli.saturating_mul(CONTENDED_SHARE_PERCENT) / 100,
            late_cpu_milli,
            true,
        )
    }

    fn of_share(share: u64, late_cpu_milli: u64, strict: bool) -> Self {
        Self { cpu_milli: share.saturating_sub(late_cpu_milli), strict, in_use: late_cpu_milli > 0 }
    }

    /// Takes the capacity for a job's waiting tasks and returns whether any was left. The last job
    /// may exceed the allowance, as a job larger than it would never run otherwise.
    pub fn try_take(&mut self, cpu_milli: u64) -> bool {
        let exceeds = cpu_milli > self.cpu_milli;
        let granted = self.cpu_milli > 0 && !(self.strict && self.in_use && exceeds);
        if !granted {
            return false;
        }
        self.in_use = true;
        self.cpu_milli = self.cpu_milli.saturating_sub(cpu_milli);
        true
    }
}
