//! Plans calls to the advisor, which serves the calls of one daemon one after the other.
//!
//! A call's time grows with the number of executors that it names. During a burst jobs arrive
//! faster than the advisor can serve them. A second call at a time would gain nothing, as it waits
//! for the first, and its wait would take up the time for which its answer is valid: from some
//! length of the burst on, each answer would be given up or expire before it is used, its call be
//! repeated, and no job start any more, also long after the burst. So there is one call at a time,
//! for whoever needs it most when the one before has been answered, and each call may take as long
//! as the advisor's own times say.

use std::time::Duration;

use borageswitch_types::Time;

use crate::config::AdvisorTimes;

/// The most executors that one call names.
const MAX_EXECUTORS_PER_CALL: usize = 30;
/// How many times as many executors a call names as the tasks need, as some are not permitted.
const SPARE_FACTOR: usize = 2;
/// How many times the advisor's own time a call may take: a call of this daemon that was given up
/// may still be served before it.
const TIMEOUT_FACTOR: u32 = 2;
/// How long a request and its answer may be on their way.
const NETWORK_TIME: Duration = Duration::from_millis(1_000);
/// The longest time that a call may take. The advisor's times come from the operator's
/// configuration, and a call holds up those of all other queues.
const LONGEST_CALL: Duration = Duration::from_secs(30);
/// The remaining validity that a ticket needs to be used: the start order has yet to be stored and
/// to reach the executor.
pub const TICKET_MARGIN: Duration = Duration::from_millis(250);
/// How long to wait after the first of several calls without an answer, ...
const FIRST_BACKOFF: Duration = Duration::from_millis(300);
/// ... and after any number of them.
const LONGEST_BACKOFF: Duration = Duration::from_millis(2_400);

/// Returns how long the advisor takes for a call that names `executors`.
pub fn call_time(times: &AdvisorTimes, executors: usize) -> Duration {
    let named = u32::try_from(executors).unwrap_or(u32::MAX);
    times.decision.saturating_add(times.per_host.saturating_mul(named))
}

/// Returns whether any answer can be used: in time, and before its tickets expire.
pub fn is_useful(times: &AdvisorTimes) -> bool {
    call_time(times, 1) <= LONGEST_CALL && times.validity > TICKET_MARGIN
}

/// Returns how many executors a call names whose tasks need `needed` of them.
///
/// Names beyond the need are free as long as they take no more time than the decision itself. A
/// call is kept so short that its tickets would be valid even if their time began with the call,
/// unless fewer than the needed executors could then be named.
pub fn executors_to_name(times: &AdvisorTimes, needed: usize) -> usize {
    let fitting = |time: Duration| {
        let fit = time.as_nanos().checked_div(times.per_host.as_nanos()).unwrap_or(u128::MAX);
        usize::try_from(fit).unwrap_or(usize::MAX)
    };
    let wanted = needed.saturating_mul(SPARE_FACTOR).max(fitting(times.decision));
    let valid = times.validity.saturating_sub(times.decision).saturating_sub(TICKET_MARGIN);
    let longest = fitting(LONGEST_CALL.saturating_sub(times.decision));
    wanted.min(fitting(valid).max(needed)).min(longest).clamp(1, MAX_EXECUTORS_PER_CALL)
}

/// Returns after how long a call without an answer is given up.
pub fn timeout(times: &AdvisorTimes, executors: usize) -> Duration {
    call_time(times, executors).min(LONGEST_CALL) * TIMEOUT_FACTOR + NETWORK_TIME
}

/// Returns until when the tickets of an answer are valid that has arrived at `now`, to a call that
/// was sent at `sent`. Their time does not begin before the answer was due.
pub fn valid_until(times: &AdvisorTimes, executors: usize, sent: Time, now: Time) -> Time {
    now.min(sent + call_time(times, executors)) + times.validity
}

/// Returns the pause after a number of successive calls without an answer.
pub fn backoff(unanswered: u32) -> Duration {
    let doublings = unanswered.saturating_sub(1).min(u32::BITS - 1);
    FIRST_BACKOFF.saturating_mul(1 << doublings).min(LONGEST_BACKOFF)
}

#[cfg(test)]
mod tests;
