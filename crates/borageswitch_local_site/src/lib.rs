//! A whole site in one process: the newcomer's first minute and the end-to-end tests.
//!
//! [`site`] starts stand-ins of the platform and of every host, and a few real daemons, all on
//! loopback ports. [`callers`] send requests to all entries and check each answer. [`faults`] lets
//! named things go wrong. [`session`] runs it all for a while, with a hold and a wave, and
//! [`report`] says what came of it, and whether a promise broke.
//!
//! This is no cluster simulator: the daemons are the real ones, and time is the machine's.

pub mod callers;
pub mod client;
pub mod faults;
pub mod report;
pub mod session;
pub mod site;
