//! borageswitch manages the capacity and maintenance of a fleet of hosts for scheduled job
//! services at a site whose electric power is capped.
//!
//! This crate is the thin facade over the subsystems, each a crate of its own: it puts them
//! together into a [`daemon`], gives the process its [`logging`], and holds the operators' command
//! line in [`ctl`]. Whoever embeds a daemon, as
//! the examples and the end-to-end tests do, begins here.

pub mod ctl;
pub mod daemon;
pub mod logging;

pub use borageswitch_control as control;
pub use borageswitch_edge as edge;
pub use borageswitch_planner as planner;
pub use borageswitch_policy as policy;
pub use borageswitch_settings as settings;
pub use borageswitch_types as types;
pub use borageswitch_wire as wire;
