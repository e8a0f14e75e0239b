//! Assigns the tasks of jobs to hosts, moves hosts between pools and runs maintenance waves.
//!
//! [`Scheduler`](reducer::Scheduler) is a reducer without I/O: it takes [`Event`](event::Event)s
//! together with the current time and returns [`Effect`](effect::Effect)s. At any time one daemon,
//! the leader, runs a scheduler under a lease. State that the next leader needs is kept in the
//! [`ledger`]. Every change of the ledger is a [`Record`](ledger::record::Record), which is stored
//! before any effect that depends on it leaves the process.
//!
//! - [`job`]: jobs as callers submit them, and their validation.
//! - [`config`]: queues, pools and callers as the operator declares them.
//! - [`task`]: identifiers of tasks and steps.
//! - [`executor`]: registrations of executors and their reports on runs.
//! - [`incarnation`]: identifiers for the incarnations of an executor.
//! - [`fleet`]: hosts and maintenance waves as the platform lists them.
//! - [`ledger`]: jobs, runs and their ends, rebuilt from stored records by a new leader.
//! - [`policy`]: pure functions for ordering, placement and circuit breakers.
//! - [`reducer`]: the state of the leader and the handling of each event.

pub mod config;
pub mod effect;
pub mod event;
pub mod executor;
pub mod fleet;
pub mod incarnation;
pub mod job;
pub mod ledger;

pub mod policy;
pub mod reducer;
pub mod task;
