//! Which runs are given up for a new one elsewhere.
//!
//! The load: a host stands still or works at a sixth of its speed for some seconds, while it
//! answers as always and says that it is well. Its runs come to an end long after their jobs are
//! late, and the jobs' other steps wait for them. A run that falls far behind what such runs take
//! is stopped, if a fresh one on another host would be done well before it.

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

/// Whether a short run is to be given up, which has reached `percent` after `elapsed`.
///
/// `expected` is what such a run takes, `kept` the share of its work, from 0 to 1, that a fresh run
/// would not have to do again.
pub fn gives_up(elapsed: Duration, percent: u8, expected: Duration, kept: f64) -> bool {
    if elapsed < JUDGED_AFTER || elapsed < expected {
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

/// Whether a lasting run is to be given up that is not at work after `elapsed`, but only at `percent`.
///
/// One that is slow but gets there soon is let be: by the time it is stopped it would be at work, and
/// two of a step that are stopped at once leave their users with less than they were promised.
pub fn gives_up_lasting(elapsed: Duration, percent: u8) -> bool {
    if elapsed < LASTING_START {
        return false;
    }
    let done = f64::from(percent.min(100)) / 100.0;
    if done <= 0.0 {
        return true;
    }
    let left = elapsed.mul_f64((1.0 - done) / done);
    left > LASTING_FRESH.mul_f64(BETTER_BY)
}
