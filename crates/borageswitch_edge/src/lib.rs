//! The sockets of a daemon.
//!
//! Every edge turns what comes over a connection into an event for the reducer or an input for a
//! dispatcher, and carries out what they decide. No edge decides whom to serve or what to change.
//!
//! - [`traffic`] serves callers and sends their requests to targets.
//! - [`platform`] calls the platform's store, its list of hosts and the hosts' agents.
//! - [`peers`] keeps the connections between daemons.
//! - [`operators`] serves the operators' remote procedure calls.
//! - [`observe`] answers the balancer's probes and shows metrics and state.

pub mod observe;
pub mod operators;
pub mod peers;
pub mod platform;
pub mod traffic;
