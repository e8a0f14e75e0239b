//! Simulates sites of callers, entries and targets in virtual time, without network.
//!
//! A [`Plan`] describes which callers send which requests, how many entries share which targets,
//! and which faults occur. [`site::run`] simulates it with the product's dispatchers or with the
//! first-come baseline, on the same requests, and reports what the callers received. The same seed
//! gives the same report.

mod first_come;
pub mod plan;
pub mod report;
mod requests;
pub mod scenarios;
pub mod site;
mod targets;
mod views;

pub use self::{
    plan::{Engine, Fault, Plan, RunTime, Stream},
    report::{GroupReport, SiteReport},
    site::run,
};

#[cfg(test)]
mod tests;
