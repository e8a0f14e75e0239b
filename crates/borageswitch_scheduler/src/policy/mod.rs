//! Whom to serve first, where to place, whom to distrust.
//!
//! Nothing here knows the network, the store or the clock: each module is a decision, tells the
//! load that it answers and what would happen without it, and is tested by replaying that load.
//!
//! - [`order`]: which job's tasks go first when there is not room for all.
//! - [`last_chance`]: which late jobs go first nevertheless.
//! - [`placing`]: which host a task goes to.
//! - [`learned`]: what tasks really take, since declared run times are far off.
//! - [`lending`]: which hosts change their pool, by the work that [`arrivals`] tells of.
//! - [`peaks`]: how many hosts a pool keeps on between two rushes.
//! - [`call_budget`]: how many orders for hosts are given a second.
//! - [`gangs`]: which hosts are kept free for tasks that work only together.
//! - [`label_shares`]: how pools share the hosts with a label of which there are too few.
//! - [`lasting`]: which more hosts lasting tasks need.
//! - [`quotas`]: how many of a caller's tasks may start.
//! - [`shares`]: which jobs are within what their caller was promised.
//! - [`blame`]: which task brings executors down, and which merely ran beside it.
//! - [`crash_rate`]: how often executors crash under tasks that have nothing to do with it.
//! - [`trust`]: which executors get work although some of theirs failed.
//! - [`start_window`]: how many starts are on their way at once.
//! - [`start_pauses`]: how long a task waits after starts that came to nothing.
//! - [`stragglers`]: which runs are given up for a new one elsewhere.
//! - [`pacing`]: how fast work that fills gaps may run beside work that serves.

pub mod arrivals;
pub mod blame;
pub mod call_budget;
pub mod crash_rate;
pub mod gangs;
pub mod label_shares;
pub mod last_chance;
pub mod lasting;
pub mod learned;
pub mod lending;
pub mod order;
pub mod pacing;
pub mod peaks;
pub mod placing;
pub mod quotas;
pub mod shares;
pub mod start_pauses;
pub mod start_window;
pub mod stragglers;
pub mod trust;

#[cfg(test)]
mod tests;
