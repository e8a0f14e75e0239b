//! Slots that entries lend each other.
//!
//! The load pattern: nine entries share eighty slots, and requests don't come evenly. With dealt
//! slots alone a request waits at one entry while slots are idle at the next: at 90 % load the
//! 99th percentile of waiting is a hundred times that of one shared queue, and an entry that gets
//! more than its part never catches up.
//!
//! A slot passes from hand to hand as a share with a term: whoever holds it may start requests on
//! it until the term ends or hand it on, and then gives it back to its owner. So slots move to
//! where the work is and stay there for a while, which takes few messages, and no entry is
//! without its slots for long.
//!
//! [`asking`] decides when to ask whom; [`ledger`] keeps what is lent and what is held.

pub mod asking;
pub mod ledger;

#[cfg(test)]
mod tests;
