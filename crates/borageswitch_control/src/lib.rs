//! The control state of one daemon: a [`State`] whose [reducer](State::handle) turns [`Event`]s
//! into [`Effect`]s.
//!
//! The crate does no I/O, reads no clock and seeds no random number generator: time and seed are
//! passed in, so the daemon, the golden sessions and the randomised simulations execute the same
//! code. The I/O layer executes the effects and reports their results as further events.

pub mod config;
pub mod effect;
pub mod event;
pub mod reducer;
pub mod store;

pub use self::{config::ControlConfig, effect::Effect, event::Event, reducer::State};
