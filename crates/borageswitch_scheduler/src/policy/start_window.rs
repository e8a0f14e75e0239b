//! How many starts are on their way at once.
//!
//! The load: a rush asks for more starts than the leader's link or processor carries. Sent all the
//! same, they queue on the way and run out of time there; each is given up, has to be stopped, and is
//! sent again, so that fewer are carried out than could be, and the most urgent wait behind those that
//! nobody waits for any more. What cannot be sent yet is therefore not decided yet.
//!
//! The window shrinks while answers come late and grows while they come at once. Calls that get no
//! answer say nothing: executors are away now and then, however fast the leader is.

use std::time::Duration;

use borageswitch_types::Time;

/// The starts that may be on their way until anything is known: more than an ordinary rush has.
const INITIAL: f64 = 1_024.0;
/// The most and the fewest.
const LARGEST: f64 = 4_096.0;
const SMALLEST: f64 = 8.0;
/// Answers that take this long on the average show a queue on the way; a call has some 0.4 s.
const LATE: Duration = Duration::from_millis(150);
/// Answers that take less show none.
const PROMPT: Duration = Duration::from_millis(75);
/// The weight of one answer in the average.
const WEIGHT: f64 = 0.1;
/// What is left of the window when answers are late.
const CUT: f64 = 0.7;
/// How long the effect of a cut is waited for.
const CUT_PAUSE: Duration = Duration::from_millis(200);
/// How much the window grows with each prompt answer: it doubles within some ten of its lengths.
const GROWTH: f64 = 0.1;

/// The window.
#[derive(Clone, Copy, Debug)]
pub struct StartWindow {
    size: f64,
    /// How long answers take, in seconds, on the moving average.
    delay: f64,
    cut_at: Time,
}

impl Default for StartWindow {
    fn default() -> Self {
        Self { size: INITIAL, delay: 0.0, cut_at: Time::ZERO }
    }
}

impl StartWindow {
    /// A start was answered after `took`, with so many on their way.
    pub fn answered(&mut self, now: Time, took: Duration, on_way: usize) {
        self.delay += (took.as_secs_f64() - self.delay) * WEIGHT;
        if self.delay < PROMPT.as_secs_f64() {
            self.size = (self.size + GROWTH).min(LARGEST);
        } else if self.delay > LATE.as_secs_f64() && now.since(self.cut_at) >= CUT_PAUSE {
            self.size = (self.size.min(on_way as f64) * CUT).max(SMALLEST);
            self.cut_at = now;
        }
    }

    /// How many more may be sent.
    pub fn left(&self, on_way: usize) -> usize {
        (self.size as usize).saturating_sub(on_way)
    }
}

#[cfg(test)]
mod tests;
