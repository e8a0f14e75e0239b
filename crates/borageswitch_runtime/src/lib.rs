//! Runs the [scheduler](borageswitch_scheduler) on a platform.
//!
//! Every daemon takes callers' requests and knows the configuration in force; one of them at a time
//! leads: it runs the scheduler. Whatever must outlive a process is in the platform's store, and a
//! daemon that leads holds a lease there.
//!
//! - [`ports`] is what a platform has to offer: a store, executors, a list of hosts, an advisor.
//! - [`keys`] is the layout of what this project stores; [`codec`] its encoding.
//! - [`daemon`] puts a daemon together; [`control`] is its control thread.
//! - [`authority`] says whether this daemon may still give orders; [`election`] gains and loses that.
//! - [`takeover`] rebuilds the ledger, [`appends`] stores its changes.
//! - [`watching`] follows what others write: configuration, executors, jobs, waves.
//! - [`orders`] carries out what the scheduler asks for.
//! - [`admission`] lets callers in by their keys, [`intake`] serves their requests, [`answers`] is the closed list of how they can fail.
//! - [`store_health`] tells whether the store is worth asking.
//! - [`peers`] carries questions from any daemon to the one that leads.
//! - [`operators`] answers why things are as they are; [`instruments`] counts and times.
//! - [`settings`] are the process's own; [`reloading`] follows their file.

pub mod admission;
pub mod answers;
pub mod appends;
pub mod authority;
pub mod clock;
pub mod codec;
pub mod control;
pub mod daemon;
pub mod election;
pub mod instruments;
pub mod intake;
pub mod keys;
pub mod operators;
pub mod orders;
pub mod peers;
pub mod ports;
pub mod reloading;
pub mod retry;
pub mod settings;
pub mod store_health;
pub mod takeover;
pub mod watching;
