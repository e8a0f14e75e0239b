//! The control state of one daemon: one [`State`], one closed list of [`Event`]s, one
//! [`reducer`](State::handle) that turns them into [`Effect`]s.
//!
//! Nothing here does I/O, reads a clock or draws a random number of its own: time and seed arrive
//! from outside, so the daemon, the golden sessions and the randomised runs execute the same code.
//! The edges carry effects out and bring back what came of them as further events.

pub mod config;
pub mod effect;
pub mod event;
pub mod reducer;
pub mod store;

pub use self::{config::ControlConfig, effect::Effect, event::Event, reducer::State};
