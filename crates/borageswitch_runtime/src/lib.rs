//! Runs the [scheduler](borageswitch_scheduler) on a platform.
//!
//! Every daemon serves callers and knows the configuration in force. One of them at a time is the
//! leader and runs the scheduler. All durable state is in the platform's store, where the leader
//! holds a lease.
//!
//! - [`ports`]: the interface of a platform: a store, executors, a list of hosts, an advisor.
//! - [`keys`]: the layout of the stored state; [`codec`]: its encoding.
//! - [`daemon`]: the parts of a daemon and their start; [`control`]: its control thread.
//! - [`election`]: gains and loses leadership; [`authority`]: whether this daemon may still give orders.
//! - [`takeover`]: rebuilds the ledger; [`appends`]: stores its changes.
//! - [`watching`]: watches the configuration, executors, jobs and waves in the store.
//! - [`orders`]: executes the scheduler's effects.
//! - [`admission`]: authenticates callers; [`intake`]: serves their requests; [`failures`]: all ways in which these can fail.
//! - [`admission_limits`]: what a daemon knows of the wait in each queue; [`admission_check`]: refuses jobs that could not end in time.
//! - [`manual_limits`]: limits that operators store.
//! - [`store_health`]: whether the store is available to this daemon; [`retry`]: backoff between calls to it;
//!   [`resend`]: repetition of calls whose response is overdue.
//! - [`peers`]: requests between daemons; [`relays`]: daemons that make the leader's calls.
//! - [`operators`]: explanations and state dumps for operators; [`instruments`]: metrics.
//! - [`settings`]: the settings of the process; [`reloading`]: changes of their file.
//! - [`clock`]: the clocks of the process.

pub mod admission;
mod admission_check;
pub mod admission_limits;
pub mod appends;
pub mod authority;
pub mod cancel_marks;
pub mod clock;
pub mod codec;
pub mod control;
pub mod daemon;
pub mod election;
pub mod failures;
pub mod instruments;
pub mod intake;
pub mod keys;
pub mod manual_limits;
pub mod operators;
pub mod orders;
pub mod peers;
pub mod ports;
pub mod relays;
pub mod reloading;
pub mod resend;
pub mod retry;
pub mod settings;
pub mod snapshots;
pub mod store_health;
pub mod takeover;
pub mod watching;
