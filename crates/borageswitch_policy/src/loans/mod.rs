//! Slots that entries lend each other.
//!
//! Load pattern: nine entries share eighty slots, and requests don't arrive evenly. With allocated
//! slots alone a request waits at one entry while slots are idle at the next: at 90 % load the 99th
//! percentile of waiting is a hundred times that of one shared queue, and an entry that receives
//! more than its part never catches up.
//!
//! A slot is lent as a share with a term. Its holder may start requests on it until the term ends,
//! or transfer it to another entry, and returns it to its owner afterwards. So slots move to where
//! the work is and stay there for a while, which takes few messages, and no entry is without its
//! slots for long.
//!
//! [`slot_requests`] decides when to request slots and from whom; [`ledger`] records the slots lent
//! and held.

pub mod ledger;
pub mod slot_requests;

#[cfg(test)]
mod tests;
