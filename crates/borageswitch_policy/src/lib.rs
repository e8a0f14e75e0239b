//! Decisions under load, free of I/O and clocks.
//!
//! The [`dispatch`] module is the whole of it as one state machine for one service: requests come
//! in, starts and refusals come out. Each decision that it composes stands in a module of its own
//! that tells which load pattern it answers, what happens without it and where its figures come
//! from: [`dealing`] shares a target's slots among entries.

pub mod dealing;
pub mod dispatch;
