//! Decisions about the fleet: what a change makes of the document, and which step comes next.
//!
//! [`changes`] says what the fleet document looks like after a change, or why the change is
//! refused. Every daemon applies the same function to the same changes, so all come to the same
//! document. [`invariants`] states what must hold of every document. [`capacity`] measures a pool
//! against the availability budgets of its services. [`steps`] looks at the document and at what
//! was observed, and names the steps that the holder of the planner's duty should take now;
//! [`explain`] tells in sentences why something waits. [`model`] runs whole waves in virtual time
//! and compares them with [`baselines`]. Jobs are placed by `borageswitch_scheduler`.
//!
//! All of it is pure: no I/O, no clock, no random numbers but those that the model draws from its
//! seed.

pub mod baselines;
pub mod capacity;
pub mod changes;
pub mod explain;
pub mod invariants;
pub mod model;
pub mod steps;
