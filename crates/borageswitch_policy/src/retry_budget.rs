//! Bounds second tries to a share of successes.
//!
//! The load pattern: an outage in which every try fails. Without a budget each request is tried
//! three times, so the targets see three times the load at the moment at which they can bear the
//! least, and they don't recover while it lasts.
//!
//! Grounds for the figures: the share is the operator's (`retry_permille`, 100 by default: at most
//! 10 % more load). A try that provably did not run costs the target next to nothing, so it is
//! charged a tenth. The savings are bounded at [`MAX_SAVED`] tries, so that a long quiet hour does
//! not pay for a storm.

use borageswitch_types::error::Ran;

/// What a second try costs after a try that may have run, in thousandths.
const FULL_COST: u32 = 1_000;
/// What a second try costs after a try that provably did not run, in thousandths.
const NOT_RUN_COST: u32 = 100;
/// The most tries that can be saved up.
const MAX_SAVED: u32 = 20;
/// The tries at hand at the start.
const FIRST_SAVED: u32 = 5;

/// How often one request is started at most.
pub const MAX_TRIES: u8 = 3;

/// The second tries at hand.
#[derive(Debug)]
pub struct RetryBudget {
    saved: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: FIRST_SAVED * FULL_COST }
    }
}

impl RetryBudget {
    /// Takes note of a success, which earns `permille` thousandths of a try.
    pub fn success(&mut self, permille: u16) {
        self.saved = (self.saved + u32::from(permille)).min(MAX_SAVED * FULL_COST);
    }

    /// Spends one second try after a try of which `ran` is known; false when none is at hand.
    pub fn spend(&mut self, ran: Ran) -> bool {
        let cost = if ran == Ran::No { NOT_RUN_COST } else { FULL_COST };
        if self.saved < cost {
            return false;
        }
        self.saved -= cost;
        true
    }
}
