//! Limits the speed of best-effort tasks that run beside serving tasks.
//!
//! A lasting task serves its own users, and best-effort tasks on the same host slow it down by
//! amounts that change within seconds. Without a limit its users wait beyond the target for as long
//! as these neighbours run. When the tail latency is too high, the limit is at least halved at
//! once. It is raised only in small steps, as a tail that was just above its target would exceed it
//! again otherwise.

/// The share of the target, in percent, above which neighbours are slowed down: the reported tail
/// is inexact and half a second old.
const SLOW_DOWN_ABOVE: u64 = 80;
/// The share of the target, in percent, below which neighbours are sped up.
const SPEED_UP_BELOW: u64 = 55;
/// The increase, in percent of full speed, at each report (one or two a second).
const STEP_UP: u8 = 15;
/// The limit below which a neighbour is stopped altogether, as it would hardly do any work.
const MIN_LIMIT: u8 = 10;

/// Returns the next speed limit of the neighbours of serving tasks, in percent of full speed.
///
/// `tail_percent` is the worst tail latency of a serving task in percent of its target.
pub fn next_limit(limit: u8, tail_percent: u64) -> u8 {
    if tail_percent > SLOW_DOWN_ABOVE {
        let reduced = if tail_percent > 100 { limit / 4 } else { limit / 2 };
        if reduced < MIN_LIMIT { 0 } else { reduced }
    } else if tail_percent < SPEED_UP_BELOW {
        limit.saturating_add(STEP_UP).min(100)
    } else {
        limit
    }
}
