//! Scheduling policies: pure decisions about order, placement, capacity and failures.
//!
//! These modules do no I/O and read no clock. Each one makes a single decision; its docs describe
//! the load that it is made for and what would go wrong without it, and its tests replay that load.
//!
//! - [`admission`]: which jobs are refused because they could not end while they are of use.
//! - [`manual_limits`]: which jobs are refused because an operator limits their caller or queue.
//! - [`backlog`]: how long a submitted job waits, by the work ahead of it.
//! - [`virtual_queue`]: when refused jobs may return.
//! - [`order`]: which job's tasks go first when capacity is short.
//! - [`on_time_set`]: which jobs are to be on time when not all can be.
//! - [`last_chance`]: which late jobs go first all the same.
//! - [`placement`]: which host a task goes to.
//! - [`runtime_estimates`]: how long tasks take, as declared run times are far off.
//! - [`lending`]: which hosts move to another pool, by the work that [`arrivals`] measures.
//! - [`peaks`]: how many hosts a pool keeps powered on between two load peaks.
//! - [`call_budget`]: how many orders for hosts are sent to the platform per second.
//! - [`advice`]: how many executors a call to the advisor names, and how long it may take.
//! - [`gangs`]: which hosts are reserved for tasks that work only together.
//! - [`label_shares`]: how pools share a label's hosts when there are too few of them.
//! - [`lasting`]: which additional hosts lasting tasks need.
//! - [`quotas`]: how many of a caller's tasks may start.
//! - [`caller_shares`]: which jobs are within the rate that their caller was promised.
//! - [`fair_shares`]: what each caller is due of a pool that cannot serve all of their work.
//! - [`crash_attribution`]: which task crashes executors, and which merely ran beside it.
//! - [`crash_containment`]: which jobs start a single task first during a storm of crashes.
//! - [`crash_rate`]: how often executors crash for reasons unrelated to a task.
//! - [`circuit_breaker`]: which executors get no work because runs failed there.
//! - [`response_loss`]: whether responses of working executors get lost, and how long calls wait then.
//! - [`response_time`]: how long a response can be expected to take.
//! - [`run_overhead`]: how much longer a run takes than its work.
//! - [`start_window`]: how many starts are in flight at once; [`start_rate`]: how many per second a
//!   slow leader carries out.
//! - [`start_backoff`]: how long a task waits after failed starts.
//! - [`stragglers`]: which slow runs are stopped and restarted on another host.
//! - [`speed_limits`]: how fast best-effort tasks may run beside serving tasks.

pub mod admission;
pub mod advice;
pub mod arrivals;
pub mod backlog;
pub mod call_budget;
pub mod caller_shares;
pub mod circuit_breaker;
pub mod crash_attribution;
pub mod crash_calm;
pub mod crash_containment;
pub mod crash_rate;
pub mod fair_shares;
pub mod gangs;
pub mod label_shares;
pub mod last_chance;
pub mod lasting;
pub mod lending;
pub mod manual_limits;
pub mod on_time_set;
pub mod order;
pub mod peaks;
pub mod placement;
pub mod quotas;
pub mod response_loss;
pub mod response_time;
pub mod run_overhead;
pub mod runtime_estimates;
pub mod speed_limits;
pub mod start_backoff;
pub mod start_rate;
pub mod start_window;
pub mod stragglers;
pub mod virtual_queue;

#[cfg(test)]
mod tests;
