//! How fast work that fills gaps may run beside work that serves.
//!
//! The load: a lasting task serves its own users, and tasks that use what is left of the same host
//! slow it by amounts that change within seconds. Without this module its users wait beyond the
//! target for as long as the neighbours work. Slowing down happens at once and by half, speeding
//! up in small steps, as a tail that was just over its target returns there otherwise.

/// Above this share of the target, in percent, neighbours are slowed: the figure that is reported
/// is rough and half a second old.
const SLOW_ABOVE: u64 = 80;
/// Below this share of the target, in percent, neighbours are let go faster.
const FASTER_BELOW: u64 = 55;
/// The step up, in percent of full speed, at each report (one or two a second).
const STEP_UP: u8 = 15;
/// Below this pace the neighbour is stopped altogether: the rest hardly does any work.
const LEAST: u8 = 10;

/// The next pace of the neighbours of serving tasks, in percent.
///
/// `tail_percent` is the worst tail of a serving task in percent of its target.
pub fn next_pace(pace: u8, tail_percent: u64) -> u8 {
    if tail_percent > SLOW_ABOVE {
        let half = if tail_percent > 100 { pace / 4 } else { pace / 2 };
        if half < LEAST { 0 } else { half }
    } else if tail_percent < FASTER_BELOW {
        pace.saturating_add(STEP_UP).min(100)
    } else {
        pace
    }
}
