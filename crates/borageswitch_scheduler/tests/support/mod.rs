//! A small world for whole runs of the scheduler in virtual time.
//!
//! [`world`] carries effects out with delays and faults and feeds the answers back;
//! [`executor`] is an executor that keeps to the platform's promises and checks ours.

pub mod executor;
pub mod world;
