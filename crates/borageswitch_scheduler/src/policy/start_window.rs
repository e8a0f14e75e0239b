//! Limits how many starts are in flight at once.
//!
//! During a load peak, more starts may be requested than the leader's link or processor can handle.
//! If sent all the same, they queue up on the way and time out there. Each is given up, has to be
//! stopped and is sent again, so that fewer are carried out than could be, and the most urgent wait
//! behind those that nobody waits for any more. A start that cannot be sent yet is therefore not
//! decided yet.
//!
//! The window shrinks while responses are slow and grows while they are prompt. Calls that get no
//! response do not count: executors are unreachable at times, however fast the leader is.

use std::time::Duration;

use borageswitch_types::Time;

/// The initial size: more than an ordinary load peak needs.
const INITIAL: f64 = 1_024.0;
/// The largest size.
const MAX_SIZE: f64 = 4_096.0;
/// The smallest size.
const MIN_SIZE: f64 = 8.0;
/// The average response time above which a queue has built up on the way; a call has some 0.4 s.
const LATE: Duration = Duration::from_millis(150);
/// The average response time below which there is no queue.
const PROMPT: Duration = Duration::from_millis(75);
/// The weight of one response in the average.
const WEIGHT: f64 = 0.1;
/// The factor by which the window shrinks when responses are late.
const CUT_FACTOR: f64 = 0.7;
/// How long to wait for the effect of a reduction.
const CUT_PAUSE: Duration = Duration::from_millis(200);
/// The growth for each prompt response: the window doubles after about ten times its size in
/// responses.
const GROWTH: f64 = 0.1;

/// An adaptive window of starts in flight.
#[derive(Clone, Copy, Debug)]
pub struct StartWindow {
    size: f64,
    /// The moving average of the response time, in seconds.
    mean_response: f64,
    cut_at: Time,
}

impl Default for StartWindow {
    fn default() -> Self {
        Self { size: INITIAL, mean_response: 0.0, cut_at: Time::ZERO }
    }
}

impl StartWindow {
    /// Records the response to a start after `took`, while `in_flight` others had no response yet.
    pub fn record_response(&mut self, now: Time, took: Duration, in_flight: usize) {
        self.mean_response += (took.as_secs_f64() - self.mean_response) * WEIGHT;
        if self.mean_response < PROMPT.as_secs_f64() {
            self.size = (self.size + GROWTH).min(MAX_SIZE);
        } else if self.mean_response > LATE.as_secs_f64() && now.since(self.cut_at) >= CUT_PAUSE {
            self.size = (self.size.min(in_flight as f64) * CUT_FACTOR).max(MIN_SIZE);
            self.cut_at = now;
        }
    }

    /// Returns whether responses are so slow that they queue up on the way.
    pub fn is_slow(&self) -> bool {
        self.mean_response >= PROMPT.as_secs_f64()
    }

    /// Returns how many more starts may be sent.
    pub fn available(&self, in_flight: usize) -> usize {
        (self.size as usize).saturating_sub(in_flight)
    }
}

#[cfg(test)]
mod tests;
