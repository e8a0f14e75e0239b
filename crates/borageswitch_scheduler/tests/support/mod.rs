//! A small world for whole runs of the scheduler in virtual time, and sessions event by event.
//!
//! [`world`] carries effects out with delays and faults and feeds the answers back;
//! [`executor`] is an executor that keeps to the platform's promises and checks ours.
//! [`session`] leaves the answers to the test; [`fixtures`] are shared by both.

#![allow(dead_code, unreachable_pub, reason = "each test program uses a part")]

pub mod executor;
pub mod fixtures;
pub mod session;
pub mod world;
