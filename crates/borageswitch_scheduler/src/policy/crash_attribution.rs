//! Determines which task crashes executors, and which merely ran beside it.
//!
//! A poison task crashes each executor that starts it. A dozen healthy tasks run on each of these
//! executors, and other hosts crash for unrelated reasons, sometimes a whole rack at once.
//! Restarted without bound, a poison task takes down a whole pool with all that runs there. A plain
//! crash count would blame its neighbours as well: packed onto the same hosts again, they have been
//! in as many crashes as the poison task.
//!
//! Each crash is therefore weighed as evidence against each job that ran on the executor: by how
//! rarely a healthy task sees its executor crash so soon after its start
//! ([`crash_rate`](super::crash_rate)), and by how likely that job is the cause among all that ran
//! there. Evidence adds up over crashes, in powers of ten. It singles out the poison task once the
//! jobs that shared a crash run on separate hosts.

use std::{collections::BTreeMap, time::Duration};

use borageswitch_types::time::UnixMillis;

use crate::ledger::crashes::Crash;

/// Evidence from which a task is given up, in thousandths of a power of ten. By chance, one healthy
/// task in ten million collects as much.
const EVIDENCE_THRESHOLD: u32 = 7_000;
/// The minimum number of crashes before a task is given up.
const MIN_CRASHES: usize = 2;
/// A task is given up after this many crashes that its starts may have caused, if all of them are
/// attributed to it or the evidence reaches [`LIMIT_EVIDENCE`].
const MAX_CRASHES: usize = 5;
/// Evidence from which a task is given up after [`MAX_CRASHES`] that are only in part attributed to
/// it, in thousandths of a power of ten.
const LIMIT_EVIDENCE: u32 = 3_000;
/// Evidence from which a task is given up that has crashed [`MIN_CRASHES`] executors while it was
/// isolated, in thousandths of a power of ten. Nothing else had started there, and the pool was
/// calm.
const ISOLATED_THRESHOLD: u32 = 2_000;
/// The evidence of a crash, if the task is its only possible cause, from which the crash is
/// attributed to it, in thousandths of a power of ten. Below, coincidence is about as likely.
const MIN_ATTRIBUTION: u32 = 500;
/// Evidence below which a task is scheduled like one without crashes, in thousandths of a power of
/// ten. Tasks that had run for long, or beside a job that had just started, collect less.
const SUSPECT_EVIDENCE: u32 = 500;
/// Evidence from which a task under which several executors have crashed is isolated.
const ISOLATION_EVIDENCE: u32 = 2_000;
/// A task is isolated after this many crashes that its starts may have caused, whatever the
/// evidence: the next ones could give it up although others caused them.
const ISOLATION_CRASHES: usize = 3;
/// A crash within this time after a start may have been caused by the start.
pub const START_RELATED_AGE: Duration = Duration::from_millis(1_000);
/// The longest time after a start within which a crash has to have come to be attributed to it.
/// Crashes are noticed late, but not so late.
pub const MAX_ATTRIBUTED_AGE: Duration = Duration::from_millis(5_000);
/// The same for a run that an earlier leader started: nothing is known of what happened to it while
/// nobody led.
pub const MAX_INHERITED_AGE: Duration = Duration::from_millis(2_000);
/// How long a run has to live to exonerate its task from a crash that is not attributed to it.
const UNATTRIBUTED_SURVIVAL: Duration = Duration::from_millis(2_500);
/// The resolution of ages: calls take about as long.
const MIN_AGE: Duration = Duration::from_millis(10);
/// The range of ages at which a poison task may crash executors, from [`MIN_AGE`] to a minute, in
/// natural logarithms. All orders of magnitude are taken to be equally likely.
const LOG_AGE_RANGE: f64 = 8.7;
/// How much longer than twice the age of a crashed run another run has to live to show that the
/// start was not the cause. Allows for ages that are not known exactly.
const AGE_MARGIN: Duration = Duration::from_millis(500);
/// The number of other executors crashing at the same moment that indicates a cause outside of
/// tasks.
const MIN_COMMON_CAUSE: usize = 2;

/// How strongly a task is suspected of crashing executors, and so how it is scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub enum SuspicionLevel {
    /// No executor has crashed under it, or there is little evidence against it: it is scheduled
    /// like any other task.
    #[display("clear")]
    Clear,
    /// It may have crashed an executor: it is kept away from other suspects while there is other
    /// capacity.
    #[display("suspect")]
    Suspect,
    /// It is likely to have crashed several executors: it runs beside no other suspect, and nothing is
    /// started beside it for a while.
    #[display("isolated")]
    Isolated,
    /// It is taken to be the cause and is not started any more.
    #[display("poison")]
    Poison,
}

impl SuspicionLevel {
    /// Determines the level from the crashes under a task since one of its runs last exonerated it.
    pub fn of(crashes: &[Crash]) -> SuspicionLevel {
        let tally = Tally::of(crashes);
        let all_attributed = crashes.iter().all(Crash::is_attributed);
        let at_limit = tally.start_related >= MAX_CRASHES
            && (all_attributed || tally.evidence >= LIMIT_EVIDENCE);
        let has_crashed_several = has_crashed_several(crashes);
        let required = match has_crashed_several_isolated(crashes) {
            true => ISOLATED_THRESHOLD,
            false => EVIDENCE_THRESHOLD,
        };
        if has_crashed_several && (at_limit || tally.evidence >= required) {
            SuspicionLevel::Poison
        } else if tally.isolates() {
            SuspicionLevel::Isolated
        } else if tally.evidence >= SUSPECT_EVIDENCE {
            SuspicionLevel::Suspect
        } else {
            SuspicionLevel::Clear
        }
    }
}

/// What the crashes under a task amount to.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    crashes: usize,
    /// The crashes that its starts may have caused.
    start_related: usize,
    evidence: u32,
}

impl Tally {
    fn of(crashes: &[Crash]) -> Self {
        let mut tally = Self::default();
        crashes.iter().for_each(|crash| tally.add(crash));
        tally
    }

    fn add(&mut self, crash: &Crash) {
        self.crashes += 1;
        let lived = Duration::from_millis(crash.lived_ms);
        self.start_related += usize::from(is_start_related(lived));
        self.evidence = self.evidence.saturating_add(crash.evidence);
    }

    /// Whether the task is started apart from others after these crashes.
    fn isolates(&self) -> bool {
        self.start_related >= ISOLATION_CRASHES
            || self.crashes >= MIN_CRASHES && self.evidence >= ISOLATION_EVIDENCE
    }
}

/// Whether at least [`MIN_CRASHES`] crashes are attributed to a task that was isolated when it was
/// started.
fn has_crashed_several_isolated(crashes: &[Crash]) -> bool {
    let mut before = Tally::default();
    let isolated = crashes.iter().filter(|crash| {
        let was_isolated = before.isolates();
        before.add(crash);
        was_isolated && crash.is_attributed()
    });
    isolated.count() >= MIN_CRASHES
}

/// Returns whether the crashes under all tasks of a job show that it crashes executors, although
/// none of its tasks alone has seen enough of them.
///
/// Any of its `tasks` may have been in an unrelated crash, so the evidence of each crash is reduced
/// by the logarithm of their number. Crashes that were noticed together may have a single cause and
/// count once.
pub fn is_poison_job<'a, I>(crashes: I, tasks: usize) -> bool
where
    I: IntoIterator<Item = &'a Crash>,
{
    let discount = ((tasks.max(1) as f64).log10() * 1_000.0).round() as u32;
    let mut by_time: BTreeMap<UnixMillis, u32> = BTreeMap::new();
    for crash in crashes {
        let strongest = by_time.entry(crash.at).or_default();
        *strongest = (*strongest).max(crash.evidence.saturating_sub(discount));
    }
    by_time.len() >= MIN_CRASHES && by_time.values().sum::<u32>() >= EVIDENCE_THRESHOLD
}

/// Returns whether the start of a run that is known to have lived for `lived` may have caused its
/// crash.
///
/// Crashes are noticed late, so only the time that a run is known to have lived clears its start.
pub fn is_start_related(lived: Duration) -> bool {
    lived <= START_RELATED_AGE
}

/// Returns whether a crash `window` around the start of a task says more about the task than about
/// the site, where a healthy task sees `rate` crashes per second.
pub fn is_attributable(window: Duration, rate: f64) -> bool {
    evidence(1.0, window, rate) >= MIN_ATTRIBUTION
}

/// Returns whether at least [`MIN_CRASHES`] crashes are attributed to a task.
pub fn has_crashed_several(crashes: &[Crash]) -> bool {
    crashes.iter().filter(|crash| crash.is_attributed()).count() >= MIN_CRASHES
}

/// Returns whether a run that has lived for `lived` shows that the start did not cause an earlier
/// crash.
pub fn exonerates(lived: Duration, crash: &Crash) -> bool {
    match crash.max_age() {
        Some(age) => lived >= 2 * age + AGE_MARGIN,
        None => lived >= UNATTRIBUTED_SURVIVAL,
    }
}

/// A job that ran on an executor that crashed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PossibleCause {
    /// The evidence against the job from earlier crashes, in thousandths of a power of ten.
    pub evidence: u32,
    /// The time around the start of its newest run within which the crash occurred.
    pub window: Duration,
}

/// Returns how likely each of the jobs on an executor that crashed is the cause, if one of them is.
pub fn cause_probabilities(jobs: &[PossibleCause]) -> Vec<f64> {
    let weight =
        |job: &PossibleCause| 10f64.powf(f64::from(job.evidence) / 1_000.0) / seconds(job.window);
    let total: f64 = jobs.iter().map(weight).sum();
    jobs.iter().map(|job| weight(job) / total).collect()
}

/// Returns the evidence of a crash against a task, in thousandths of a power of ten.
///
/// `probability` is how likely the task is the cause among all that ran there, `window` the time
/// around its start within which the crash occurred, and `rate` the number of crashes per second
/// that a healthy task sees.
pub fn evidence(probability: f64, window: Duration, rate: f64) -> u32 {
    // How much more likely a crash at this moment is if the task causes it.
    let factor = 1.0 / (LOG_AGE_RANGE * seconds(window) * rate);
    (probability * factor.log10().max(0.0) * 1_000.0).round() as u32
}

fn seconds(window: Duration) -> f64 {
    window.max(MIN_AGE).as_secs_f64()
}

/// The executors that crashed at the same moment as another one and may share its cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Coincidence {
    /// Their number.
    pub others: usize,
    /// Those of them that are not explained by a cause of their own: the starts of two isolated
    /// suspects explain two crashes.
    pub unexplained: usize,
}

impl Coincidence {
    /// Returns whether they indicate a cause other than a job's tasks: there are several of them,
    /// and the job had started on at most half.
    pub fn has_common_cause(self, started_on: usize) -> bool {
        self.others >= MIN_COMMON_CAUSE && self.unexplained > 0 && started_on * 2 <= self.others + 1
    }
}

#[cfg(test)]
mod tests;
