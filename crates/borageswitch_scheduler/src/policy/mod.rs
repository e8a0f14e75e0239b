//! Whom to serve first, where to place, whom to distrust.
//!
//! Nothing here knows the network, the store or the clock: each module is a decision, tells the
//! load that it answers and what would happen without it, and is tested by replaying that load.
//!
//! - [`order`]: which job's tasks go first when there is not room for all.
//! - [`last_chance`]: which late jobs go first nevertheless.
//! - [`placement`]: which host a task goes to.
//! - [`runtime_estimates`]: what tasks really take, since declared run times are far off.
//! - [`lending`]: which hosts change their pool, by the work that [`arrivals`] tells of.
//! - [`peaks`]: how many hosts a pool keeps on between two rushes.
//! - [`call_budget`]: how many orders for hosts are given a second.
//! - [`gangs`]: which hosts are kept free for tasks that work only together.
//! - [`label_shares`]: how pools share the hosts with a label of which there are too few.
//! - [`lasting`]: which more hosts lasting tasks need.
//! - [`quotas`]: how many of a caller's tasks may start.
//! - [`caller_shares`]: which jobs are within what their caller was promised.
//! - [`crash_attribution`]: which task brings executors down, and which merely ran beside it.
//! - [`crash_rate`]: how often executors crash under tasks that have nothing to do with it.
//! - [`circuit_breaker`]: which executors get work although some of theirs failed.
//! - [`start_window`]: how many starts are on their way at once.
//! - [`start_backoff`]: how long a task waits after starts that came to nothing.
//! - [`stragglers`]: which runs are given up for a new one elsewhere.
//! - [`speed_limits`]: how fast work that fills gaps may run beside work that serves.

pub mod arrivals;
pub mod call_budget;
pub mod caller_shares;
pub mod circuit_breaker;
pub mod crash_attribution;
pub mod crash_rate;
pub mod gangs;
pub mod label_shares;
pub mod last_chance;
pub mod lasting;
pub mod lending;
pub mod order;
pub mod peaks;
pub mod placement;
pub mod quotas;
pub mod runtime_estimates;
pub mod speed_limits;
pub mod start_backoff;
pub mod start_window;
pub mod stragglers;

#[cfg(test)]
mod tests;
