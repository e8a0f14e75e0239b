//! Reserves slots for short requests.
//!
//! Load pattern: a few long jobs among many short requests. Without a reservation, long jobs take
//! every slot one after the other, and then even the shortest request waits for a long one to end.
//!
//! Reasons for the constants: short requests get slots for their share of the load and half as much
//! again, so that they don't queue at their own mean load. The reservation is at least an eighth of
//! the slots (one slot of a target) and at most half, so that long jobs are not starved either.

/// Ratio of the reservation to the mean use by short requests.
const HEADROOM: f64 = 1.5;
/// The smallest share of the slots that is reserved.
const MIN_RESERVED: f64 = 0.125;
/// The largest share of the slots that is reserved.
const MAX_RESERVED: f64 = 0.5;

/// Returns how many of `slots` no long request may take, given the share of the load that short
/// requests carry; zero while no kind of request is classified as long.
pub fn reserved_slots(slots: u32, short_load_share: Option<f64>) -> u32 {
    let Some(share) = short_load_share else { return 0 };
    let part = (share * HEADROOM).clamp(MIN_RESERVED, MAX_RESERVED);
    let reserved = (f64::from(slots) * part).ceil() as u32;
    reserved.min(slots.saturating_sub(1))
}
