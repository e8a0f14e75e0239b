//! borageswitch manages the capacity and maintenance of a fleet of hosts for scheduled job
//! services at a site whose electric power is capped.
//!
//! This crate is the facade over the subsystems, for whoever embeds a daemon.

pub use borageswitch_control as control;
pub use borageswitch_edge as edge;
pub use borageswitch_planner as planner;
pub use borageswitch_policy as policy;
pub use borageswitch_settings as settings;
pub use borageswitch_types as types;
pub use borageswitch_wire as wire;
