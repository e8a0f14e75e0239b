//! Which task brings executors down, and which merely ran beside it.
//!
//! The load: a task crashes each executor that starts it, a dozen sound tasks run on each of these,
//! and other hosts crash by themselves, now and then a rack at once. Restarted without bound, such a
//! task takes a whole pool down, with all that runs there. Blamed by a count alone, its neighbours go
//! down with it: packed onto the same hosts again, they have been in as many crashes as the culprit.
//!
//! Each crash is weighed as evidence against each job that ran there: by how rarely a sound task
//! sees its executor crash so soon after its start ([`crash_rate`](super::crash_rate)), and by how likely that job is the cause among
//! all that ran there. Evidence adds up over crashes, in powers of ten. It turns against the culprit
//! alone once the jobs that shared a crash run apart.

use std::{collections::BTreeMap, time::Duration};

use borageswitch_types::time::UnixMillis;

use crate::ledger::crashes::Crash;

/// Evidence from which a task is given up, in thousandths of a power of ten: one sound task in ten
/// million collects as much by chance.
const CERTAIN: u32 = 7_000;
/// A task is never given up after fewer crashes.
const LEAST_CRASHES: usize = 2;
/// A task is given up after so many crashes that may have come soon after its start, whatever the
/// evidence.
const MOST_CRASHES: usize = 5;
/// A crash so soon after a start may have been caused by the start.
pub const SOON: Duration = Duration::from_millis(1_000);
/// Ages are not told apart below this: calls take about as long.
const LEAST_AGE: Duration = Duration::from_millis(10);
/// A task that crashes executors may do so at any age; all magnitudes of it, so many in natural
/// logarithms from [`LEAST_AGE`] to a minute, are taken for equally likely.
const AGES: f64 = 8.7;
/// How much longer than a crashed run another one has to live to show that the start was not the
/// cause: as long again, and so much for times that are not known better.
const MARGIN: Duration = Duration::from_millis(500);
/// So many other executors that crash in the same moment show a common cause outside of tasks.
const COMMON_CAUSE: usize = 2;

/// How a task is to be treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Nothing speaks against it.
    Clear,
    /// One executor has crashed under it: it keeps away from other suspects where there is room.
    Suspect,
    /// Several have: it runs beside no other suspect, and nothing is started beside it for a while.
    Isolated,
    /// It is not started any more.
    Culprit,
}

impl Standing {
    /// By the crashes under a task since it last ran for long enough without one.
    pub fn of(crashes: &[Crash]) -> Standing {
        let evidence: u32 = crashes.iter().map(|crash| crash.evidence).sum();
        // Crashes are learned of late: only what the run has lived for certain acquits the start.
        let soon = crashes.iter().filter(|crash| is_soon(Duration::from_millis(crash.lived_ms)));
        match crashes.len() {
            0 => Standing::Clear,
            _ if soon.count() >= MOST_CRASHES => Standing::Culprit,
            count if count >= LEAST_CRASHES && evidence >= CERTAIN => Standing::Culprit,
            1 => Standing::Suspect,
            _ => Standing::Isolated,
        }
    }
}

/// Whether the crashes under all tasks of a job speak against the job, though none of its tasks has
/// seen enough of them. Any of its `tasks` may have met with a chance crash, and crashes that were
/// learned of together may have one cause, so that they count once.
pub fn is_certain_of_job<'a, I>(crashes: I, tasks: usize) -> bool
where
    I: IntoIterator<Item = &'a Crash>,
{
    let chances = ((tasks.max(1) as f64).log10() * 1_000.0).round() as u32;
    let mut moments: BTreeMap<UnixMillis, u32> = BTreeMap::new();
    for crash in crashes {
        let strongest = moments.entry(crash.at).or_default();
        *strongest = (*strongest).max(crash.evidence.saturating_sub(chances));
    }
    moments.len() >= LEAST_CRASHES && moments.values().sum::<u32>() >= CERTAIN
}

/// Whether a crash may have been caused by the start of a run that is known to have lived for so
/// long.
pub fn is_soon(lived: Duration) -> bool {
    lived <= SOON
}

/// Whether a run that has lived for so long shows that the start had not caused an earlier crash.
pub fn refutes(lived: Duration, crash: &Crash) -> bool {
    lived >= 2 * Duration::from_millis(crash.age_ms) + MARGIN
}

/// A job on an executor that crashed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Present {
    /// The evidence against it from earlier crashes, in thousandths of a power of ten.
    pub evidence: u32,
    /// The time around the start of its newest run within which the crash came.
    pub window: Duration,
}

/// How likely each of the jobs on an executor that crashed is the cause, if one of them is.
pub fn shares(present: &[Present]) -> Vec<f64> {
    let weight =
        |job: &Present| 10f64.powf(f64::from(job.evidence) / 1_000.0) / seconds(job.window);
    let all: f64 = present.iter().map(weight).sum();
    present.iter().map(|job| weight(job) / all).collect()
}

/// The evidence that a crash gives against a task, in thousandths of a power of ten.
///
/// `window` is the time around its start within which the crash came, `rate` how many crashes a sound
/// task sees a second.
pub fn evidence(share: f64, window: Duration, rate: f64) -> u32 {
    // How much likelier the crash at this moment is if the task causes it.
    let factor = 1.0 / (AGES * seconds(window) * rate);
    (share * factor.log10().max(0.0) * 1_000.0).round() as u32
}

fn seconds(window: Duration) -> f64 {
    window.max(LEAST_AGE).as_secs_f64()
}

/// Whether executors that crash in the same moment show a cause other than a job's tasks: there are
/// several, and the job had started on half of them at most.
pub fn has_common_cause(others: usize, started_on: usize) -> bool {
    others >= COMMON_CAUSE && started_on * 2 <= others + 1
}

#[cfg(test)]
mod tests;
