//! Decides which task of which job runs on which host, and when hosts change pool or are maintained.
//!
//! A [`Scheduler`](reducer::Scheduler) is a reducer: [`Event`](event::Event)s go in with the time,
//! [`Effect`](effect::Effect)s come out. It knows no network, no clock and no store. One daemon at a
//! time runs one, under a lease; what must outlive that daemon is in the [`ledger`], and every
//! change of the ledger is a [`Record`](ledger::record::Record) that is stored before anything
//! that depends on it leaves the process.
//!
//! - [`job`]: what callers hand in, and the checks that it passes.
//! - [`config`]: queues and pools as the operator declares them.
//! - [`task`]: how tasks and their runs are named.
//! - [`executor`]: what an executor tells of itself and of what it runs; [`life`] how its lives are named.
//! - [`fleet`]: hosts, pools and maintenance waves as the platform lists them.
//! - [`ledger`]: jobs, runs and ends, rebuilt from stored records after a change of leader.
//! - [`policy`]: whom to serve first, where to place, whom to distrust; pure functions.
//! - [`reducer`]: what each event makes of it all.

pub mod config;
pub mod effect;
pub mod event;
pub mod executor;
pub mod fleet;
pub mod job;
pub mod ledger;
pub mod life;
pub mod policy;
pub mod reducer;
pub mod task;
