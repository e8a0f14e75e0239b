//! Decisions under load, free of I/O and clocks.
//!
//! The [`dispatch`] module is the whole of it as one state machine for one service: requests come
//! in, starts and refusals come out. Each decision that it composes stands in a module of its own
//! that tells which load pattern it answers, what happens without it and where its figures come
//! from:
//!
//! - [`fair_queue`] shares the turns among teams and callers, [`class_order`] among priorities;
//! - [`shedding`] refuses what would not end in time, and keeps a queue from standing;
//! - [`run_times`] learns how long requests run, [`short_reserve`] keeps slots for short ones;
//! - [`targets`] chooses where to send, with care for hosts that fail, crawl or warm up;
//! - [`retry_budget`] bounds second tries;
//! - [`dealing`] shares a target's slots among entries, [`loans`] lets them borrow.
//!
//! [`model`] plays whole sites of entries, callers and targets in virtual time; tests and
//! benchmarks judge the decisions by what its callers receive.

pub mod class_order;
pub mod dealing;
pub mod dispatch;
pub mod fair_queue;
pub mod loans;
pub mod model;
pub mod retry_budget;
pub mod run_times;
pub mod shedding;
pub mod short_reserve;
pub mod targets;
