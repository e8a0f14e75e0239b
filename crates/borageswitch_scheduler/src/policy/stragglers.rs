//! Decides which straggling runs are stopped and restarted on another host.
//!
//! A host may stop or run at a sixth of its speed for some seconds while it responds as usual and
//! reports that it is healthy. Its runs end long after their jobs are late, and the other steps of
//! these jobs wait for them. A run that falls far behind the usual duration of such runs is stopped
//! if a new one on another host would be done well before it.
//!
//! A task may make no progress wherever it runs, or take far longer than all others of its queue.
//! If each of its runs were stopped, it would never be done, so each stopped run doubles the time
//! that the next one gets.

use std::time::Duration;

/// The minimum age of a run that may be stopped: its first progress is reported late.
const MIN_AGE: Duration = Duration::from_millis(1_200);
/// The factor by which a new run has to be faster, as the duration of a run is known to within
/// about a half.
const BETTER_BY: f64 = 2.0;
/// The cost of a restart: stopping the run, storing the new assignment, and starting.
const RESTART_COST: Duration = Duration::from_millis(300);
/// The age from which a lasting run that does not serve yet may be stopped. Most serve within a
/// second.
const LASTING_MIN_AGE: Duration = Duration::from_millis(3_500);
/// The time until a new lasting run serves, including the cost of the restart.
const LASTING_RESTART: Duration = Duration::from_millis(1_300);

/// The maximum number of doublings for a task: by then its runs get an hour.
const MAX_DOUBLINGS: u32 = 12;

/// The maximum number of stopped runs that is assumed of a task under earlier leaders. Runs also end
/// with their executors, so a high run number does not show that the task is slow.
const MAX_ASSUMED_RESTARTS: u32 = 3;

/// Returns how many runs of a task earlier leaders are assumed to have stopped, by the number of the
/// run that they have left.
pub fn assumed_restarts(run: u32) -> u32 {
    run.saturating_sub(1).min(MAX_ASSUMED_RESTARTS)
}

/// Returns the factor by which a run may take longer, after `restarts` stopped runs of its task.
fn time_factor(restarts: u32) -> u32 {
    1 << restarts.min(MAX_DOUBLINGS)
}

/// The state of a short run that may have fallen behind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShortRun {
    /// Its age.
    pub elapsed: Duration,
    /// Its progress.
    pub percent: u8,
    /// The expected duration of such a run.
    pub expected: Duration,
    /// The share of its work, from 0 to 1, that a new run would not have to repeat.
    pub saved: f64,
    /// The number of runs of its task that were stopped before it.
    pub restarts: u32,
}

/// Returns whether a short run should be stopped and restarted.
pub fn should_restart(run: &ShortRun) -> bool {
    let ShortRun { elapsed, percent, expected, saved, restarts } = *run;
    if elapsed < MIN_AGE.max(expected) * time_factor(restarts) {
        return false;
    }
    let done = f64::from(percent.min(100)) / 100.0;
    let new_run = expected.mul_f64(1.0 - saved) + RESTART_COST;
    if done <= 0.0 {
        return true;
    }
    let left = elapsed.mul_f64((1.0 - done) / done);
    left > new_run.mul_f64(BETTER_BY)
}

/// Returns whether a lasting run should be stopped and restarted that does not serve yet and is at
/// `percent` of its start after `elapsed`. `restarts` is the number of runs of its task that were
/// stopped before it.
///
/// A slow run that will serve soon is left alone. By the time it is stopped it would serve, and
/// stopping two runs of a step at once leaves their users with less than they were promised.
pub fn should_restart_lasting(elapsed: Duration, percent: u8, restarts: u32) -> bool {
    if elapsed < LASTING_MIN_AGE * time_factor(restarts) {
        return false;
    }
    let done = f64::from(percent.min(100)) / 100.0;
    if done <= 0.0 {
        return true;
    }
    let left = elapsed.mul_f64((1.0 - done) / done);
    left > LASTING_RESTART.mul_f64(BETTER_BY)
}
