//! Fleet planning: how a change modifies the fleet document, and which steps follow.
//!
//! [`changes`] applies a change to the fleet document or refuses it with a reason. Every daemon
//! applies the same changes with the same function, so all of them reach the same document.
//! [`invariants`] checks the rules that every document satisfies. [`capacity`] checks pools against
//! the availability budgets of their services. [`steps`] computes the steps that the holder of the
//! planner's duty should take now, from the document and from observations; [`explain`] describes
//! why something waits. [`model`] simulates whole waves in virtual time and compares the planner
//! with [`baselines`]. Jobs are placed by `borageswitch_scheduler`.
//!
//! The crate does no I/O and reads no clock. Only the model uses random numbers, which it draws
//! from its seed.

pub mod baselines;
pub mod capacity;
pub mod changes;
pub mod explain;
pub mod invariants;
pub mod model;
pub mod steps;
