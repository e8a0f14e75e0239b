//! Load-handling decisions, free of I/O and clocks.
//!
//! The [`dispatch`] module is the state machine of one service at one entry: requests and their
//! outcomes go in, starts and refusals come out. Each decision that it combines has a module of its
//! own. The documentation of each module names the load pattern that it handles, what happens
//! without it, and the reasons for its constants:
//!
//! - [`fair_queue`] divides the slots among teams and callers, [`priority_order`] among priorities;
//! - [`shedding`] refuses requests that would miss their deadlines and prevents standing queues;
//! - [`run_times`] estimates how long requests run, [`short_reservation`] reserves slots for short
//!   ones;
//! - [`targets`] chooses the target of a request and handles failing, slow and warming hosts;
//! - [`retry_budget`] limits retries;
//! - [`slot_allocation`] divides a target's slots among the entries, [`loans`] lets entries borrow
//!   slots.
//!
//! [`model`] simulates sites of entries, callers and targets in virtual time. Tests and benchmarks
//! judge the decisions by the responses that the simulated callers receive.

pub mod dispatch;
pub mod fair_queue;
pub mod loans;
pub mod model;
pub mod priority_order;
pub mod retry_budget;
pub mod run_times;
pub mod shedding;
pub mod short_reservation;
pub mod slot_allocation;
pub mod targets;
