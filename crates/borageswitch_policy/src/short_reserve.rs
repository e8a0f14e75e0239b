//! Slots kept back for short requests.
//!
//! The load pattern: a few long jobs among many short requests. Without slots kept back, long
//! jobs take every slot one after the other, and then even the shortest request waits for a long
//! one to end.
//!
//! Grounds for the figures: the short requests keep their share of the load, and half as much
//! again so that they don't queue at their own mean, but at least an eighth (one slot of a target)
//! and at most half of the slots, so that long jobs cannot be starved either.

/// How much more than their mean use is kept for short requests.
const HEADROOM: f64 = 1.5;
/// The least part of the slots that is kept.
const LEAST_PART: f64 = 0.125;
/// The largest part of the slots that is kept.
const LARGEST_PART: f64 = 0.5;

/// How many of `slots` no long request may take, given the share of the load that short requests
/// carry; none while no kind of request is long.
pub fn kept_slots(slots: u32, short_share: Option<f64>) -> u32 {
    let Some(share) = short_share else { return 0 };
    let part = (share * HEADROOM).clamp(LEAST_PART, LARGEST_PART);
    let kept = (f64::from(slots) * part).ceil() as u32;
    kept.min(slots.saturating_sub(1))
}
