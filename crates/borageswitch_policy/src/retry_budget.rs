//! Limits retries to a share of the successes.
//!
//! Load pattern: an outage in which every attempt fails. Without a budget each request is attempted
//! three times, so the targets receive three times the load just when they can handle the least,
//! and they don't recover while the outage lasts.
//!
//! Reasons for the constants: the operator sets the share (`retry_permille`, 100 by default: at
//! most 10 % more load). An attempt that provably did not run costs the target next to nothing, so
//! its retry is charged a tenth. The balance is limited to [`MAX_BALANCE`] retries, so that a long
//! quiet period does not pay for a retry storm.

use borageswitch_types::error::Ran;

/// The cost of a retry after an attempt that may have run, in thousandths.
const FULL_COST: u32 = 1_000;
/// The cost of a retry after an attempt that provably did not run, in thousandths.
const NOT_RUN_COST: u32 = 100;
/// The largest balance, in retries.
const MAX_BALANCE: u32 = 20;
/// The balance at the start, in retries.
const INITIAL_BALANCE: u32 = 5;

/// The largest number of attempts of one request.
pub const MAX_ATTEMPTS: u8 = 3;

/// The retries that may be spent now.
#[derive(Debug)]
pub struct RetryBudget {
    balance: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { balance: INITIAL_BALANCE * FULL_COST }
    }
}

impl RetryBudget {
    /// Records a success, which adds `permille` thousandths of a retry.
    pub fn record_success(&mut self, permille: u16) {
        self.balance = (self.balance + u32::from(permille)).min(MAX_BALANCE * FULL_COST);
    }

    /// Spends one retry after an attempt of which `ran` is known; returns false when the balance is
    /// too low.
    pub fn try_spend(&mut self, ran: Ran) -> bool {
        let cost = if ran == Ran::No { NOT_RUN_COST } else { FULL_COST };
        if self.balance < cost {
            return false;
        }
        self.balance -= cost;
        true
    }
}
