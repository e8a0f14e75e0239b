//! Which runs are given up for a new one elsewhere.
//!
//! The load: a host stands still or works at a sixth of its speed for some seconds, while it
//! answers as always and says that it is well. Its runs come to an end long after their jobs are
//! late, and the jobs' other steps wait for them. A run that falls far behind what such runs take
//! is stopped, if a fresh one on another host would be done well before it.
//!
//! A task may stand still wherever it runs, or take far longer than all others of its queue. Given up
//! each time, it would never be done; so each run of it that is given up doubles the patience with
//! the next one.

use std::time::Duration;

/// A run is not judged before it has had so much time: its first progress is reported late.
const JUDGED_AFTER: Duration = Duration::from_millis(1_200);
/// A fresh run has to be better by this factor: what a run takes is known to about a half.
const BETTER_BY: f64 = 2.0;
/// What a change costs: the stop, storing the new assignment and the start.
const CHANGE: Duration = Duration::from_millis(300);
/// A lasting run that is not at work after so long may be given up; they start within a second.
const LASTING_START: Duration = Duration::from_millis(3_500);
/// What a fresh lasting run takes until it is at work, and the change to it.
const LASTING_FRESH: Duration = Duration::from_millis(1_300);

/// The most doublings of the patience with a task's runs: by then it is an hour.
const MAX_DOUBLINGS: u32 = 12;

/// How much longer a run is let be after so many runs of its task were given up.
fn patience(given_up: u32) -> u32 {
    1 << given_up.min(MAX_DOUBLINGS)
}

/// What is known of a short run that may have fallen behind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShortRun {
    /// How long it has been there.
    pub elapsed: Duration,
    /// How far it has come.
    pub percent: u8,
    /// What such a run takes.
    pub expected: Duration,
    /// The share of its work, from 0 to 1, that a fresh run would not have to do again.
    pub kept: f64,
    /// How many runs of its task were given up before it.
    pub given_up: u32,
}

/// Whether a short run is to be given up.
pub fn gives_up(run: &ShortRun) -> bool {
    let ShortRun { elapsed, percent, expected, kept, given_up } = *run;
    if elapsed < JUDGED_AFTER.max(expected) * patience(given_up) {
        return false;
    }
    let done = f64::from(percent.min(100)) / 100.0;
    let fresh = expected.mul_f64(1.0 - kept) + CHANGE;
    if done <= 0.0 {
        return true;
    }
    let left = elapsed.mul_f64((1.0 - done) / done);
    left > fresh.mul_f64(BETTER_BY)
}

/// Whether a lasting run is to be given up that is not at work after `elapsed`, but only at
/// `percent`, and of whose task so many runs were given up before it.
///
/// One that is slow but gets there soon is let be: by the time it is stopped it would be at work, and
/// two of a step that are stopped at once leave their users with less than they were promised.
pub fn gives_up_lasting(elapsed: Duration, percent: u8, given_up: u32) -> bool {
    if elapsed < LASTING_START * patience(given_up) {
        return false;
    }
    let done = f64::from(percent.min(100)) / 100.0;
    if done <= 0.0 {
        return true;
    }
    let left = elapsed.mul_f64((1.0 - done) / done);
    left > LASTING_FRESH.mul_f64(BETTER_BY)
}
