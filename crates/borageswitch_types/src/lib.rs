//! The vocabulary that every other crate of borageswitch shares.
//!
//! Nothing here decides anything and nothing here does I/O. The crate holds the words of the
//! field in which the rest is written: [`names`] of hosts, pools and callers; [`time`] as the
//! reducer sees it; the [`fleet`] document that the platform's key-value service keeps; the
//! closed list of [`error`] kinds with its table of answers; the [`view`] of the fleet by which
//! requests are served; the messages by which entries share [`slots`]; what is asked of
//! a host's [`agent`]; and the [`claim`] of a non-idempotent request.

pub mod agent;
pub mod claim;
pub mod error;
pub mod fleet;
pub mod names;
pub mod slots;
pub mod time;
pub mod view;

pub use self::{error::ErrorKind, fleet::Fleet, time::Time};
