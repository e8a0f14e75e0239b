//! Runs daemons as processes of their own, breaks what is around them, and checks the promises.
//!
//! A run has a platform stand-in, some daemons, callers and a plan of faults that is drawn from a
//! seed. Faults come from outside the daemons: signals end, pause and wake processes, proxies on
//! loopback delay, hold back and reset connections, the stand-in's store and hosts misbehave. What
//! is checked is what callers and executors saw.
//!
//! - [`addresses`]: a loopback address for each run.
//! - [`folder`]: the folder of a run.
//! - [`plan`]: which faults, when and for how long.
//! - [`proxy`]: connections that can be disturbed.
//! - [`process`]: a daemon as a process, and signals to it.
//! - [`site`]: platform, daemons and proxies of one run.
//! - [`faults`]: carries a fault out, and takes it back.
//! - [`callers`]: hands jobs in, asks for them, cancels some.
//! - [`promises`]: what has to be true of what was seen.
//! - [`run`]: one seed from start to verdict.

pub mod addresses;
pub mod callers;
pub mod faults;
pub mod folder;
pub mod plan;
pub mod process;
pub mod promises;
pub mod proxy;
pub mod run;
pub mod site;
