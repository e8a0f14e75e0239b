//! Test support: a simulation of the scheduler in virtual time, and sessions that a test drives
//! event by event.
//!
//! - [`simulation`]: carries out effects with delays and faults, and feeds back the responses.
//! - [`executor`]: a simulated executor that keeps the guarantees of the platform.
//! - [`session`]: a leader whose executors respond as the test says.
//! - [`fixtures`]: a configuration and sizes, used by both.

#![allow(dead_code, unreachable_pub, reason = "each test binary uses a part")]

pub mod executor;
pub mod fixtures;
pub mod session;
pub mod simulation;
