//! Which late jobs run ahead of those that can be on time.
//!
//! The load: a rush lasts, and there is always a job that can still be on time. Late jobs get what
//! these leave, which is nothing, and wait until they are of no use to anybody, although each would
//! have taken a moment. So a late job goes first in the last moment in which it can still be of
//! use. But jobs of little worth must not push out those of full worth: where a rush asks for
//! several times what there is, more jobs would come to their last moment than can run at all, and
//! in the end every job would be late. So only a part of the pool does such work at a time; what
//! goes beyond it is let go.

use std::time::Duration;

use borageswitch_types::Time;

use crate::policy::order::JobView;

/// A job is in its last moment when there is less than so many times its longest chain of work left
/// until it is of no use, ..
const CHAINS: f64 = 1.5;
/// .. and so much more: run times are known to about a half, and a start takes moments.
const SLACK: Duration = Duration::from_millis(500);
/// The part of a pool that may do late work ahead of work that can be on time, in percent. Without a
/// limit, late jobs would leave hardly any room to those that can be on time.
const SHARE_PERCENT: u64 = 20;

/// Whether a late job must run now to be of use.
pub fn is_due(job: &JobView, now: Time) -> bool {
    let end = now + job.remaining;
    let late = !job.lasting && !job.beyond_share && end > job.deadline;
    let needs = job.remaining.mul_f64(CHAINS) + SLACK;
    late && end <= job.useful_until && now + needs > job.useful_until
}

/// How much of a pool is left for late work that runs ahead of other work, in thousandths of a core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    cpu_milli: u64,
}

impl Allowance {
    /// That of a pool with so much in all, of which late work has so much already.
    pub fn of(pool_cpu_milli: u64, late_cpu_milli: u64) -> Self {
        Self { cpu_milli: (pool_cpu_milli * SHARE_PERCENT / 100).saturating_sub(late_cpu_milli) }
    }

    /// Takes what a job's waiting tasks ask for, if anything is left. The last may take more than
    /// that, or a job larger than the allowance would never run.
    pub fn take(&mut self, cpu_milli: u64) -> bool {
        let granted = self.cpu_milli > 0;
        self.cpu_milli = self.cpu_milli.saturating_sub(cpu_milli);
        granted
    }
}
