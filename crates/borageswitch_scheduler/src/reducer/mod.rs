//! The scheduler's state and its reaction to each event.
//!
//! [`Scheduler::handle`] applies one event to the state. [`Scheduler::settle`] then decides once
//! for the whole batch of events: which jobs have ended, which runs to place, which executors to
//! poll, which hosts to move or maintain and which records to store. One decision per batch bounds
//! the work when hundreds of runs end at the same moment.
//!
//! - [`executor_table`]: all executors, indexed by pool and by job; [`executors`]: the leader's
//!   view of each; [`clock`]: when the lease of an executor ends.
//! - [`outbox`]: records to store, and the effects that wait until they are stored.
//! - [`jobs`]: submission, cancellation, schedules and ends of jobs; `job_failures`: why a job has
//!   failed.
//! - [`polls`]: polls executors and compares their reports with the leader's view.
//! - [`run_ends`]: handles the ends of runs and the proof that a run never started.
//! - [`starts`]: sends starts and stops and handles the responses; [`failed_starts`] bounds their
//!   repetition, [`pending_starts`] the number of those in flight.
//! - [`crashes`]: executors that ended, and which of them crashed.
//! - [`suspects`]: tasks under which executors have crashed; [`containment`] limits how many executors
//!   they may reach.
//! - [`admission`]: limits for the admission of jobs; [`shares`]: enforces the shares of callers.
//! - [`stragglers`]: stops runs that fall far behind.
//! - [`lease_expiry`]: runs on executors that cannot be reached.
//! - [`waiting`]: the waiting steps, most urgent first; [`free_capacity`]: the free capacity of
//!   executors; [`on_time_set`]: the steps that have to wait when not all can be on time.
//! - [`pass`]: places waiting tasks on executors, among the [`places`] that suit them; [`gangs`]
//!   places the members of a gang together; [`advice`] requests permission to run a step;
//!   [`gang_reservations`] reserves capacity for gangs; [`preemption`] frees capacity for lasting
//!   tasks.
//! - [`quotas`]: enforces what the tasks of a caller may use at once.
//! - [`speed_limits`]: slows best-effort runs beside runs that serve users.
//! - [`registrations`]: executors that register, drain or leave.
//! - [`host_list`]: the platform's list of hosts.
//! - [`hosts`]: orders for hosts, which are drained first ([`draining`]); [`waves`] maintains
//!   hosts, [`lending`] moves them between pools, also where [`lasting`] tasks need them.
//! - [`recovery`]: takeover by a new leader.
//! - [`view`]: responses to callers; [`explain`]: explanations for operators.

pub mod admission;
pub mod advice;
pub mod clock;
pub mod containment;
pub mod crashes;
pub mod draining;
pub mod executor_table;
pub mod executors;
pub mod explain;
pub mod failed_starts;
mod feasibility;
pub mod free_capacity;
pub mod gang_reservations;
pub mod gangs;
pub mod host_list;
pub mod hosts;
mod job_failures;
pub mod jobs;
pub mod lasting;
pub mod lease_expiry;
pub mod lending;
pub mod on_time_set;
pub mod outbox;
pub mod pass;
pub mod pending_starts;
pub mod places;
pub mod polls;
pub mod preemption;
pub mod quotas;
pub mod recovery;
pub mod registrations;
pub mod run_ends;
pub mod shares;
pub mod speed_limits;
pub mod starts;
pub mod stragglers;
pub mod suspects;
pub mod view;
pub mod waiting;
pub mod waves;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use borageswitch_types::{
    Time,
    names::{CallerName, ExecutorName, HostName, JobName, PoolName},
};

use crate::{
    config::Config,
    effect::{Effect, LogLine},
    event::{Event, Now},
    ledger::{Ledger, record::Record},
    policy::{
        caller_shares::JobBucket, run_overhead::RunOverhead, runtime_estimates::RuntimeEstimates,
    },
    reducer::{
        admission::Admission, advice::Advice, containment::Containment, crashes::EndedExecutor,
        executor_table::ExecutorTable, failed_starts::FailedStarts,
        free_capacity::FreeCapacityByPool, gang_reservations::GangReservations, host_list::Fleet,
        jobs::JobState, lending::Lending, outbox::Outbox, pending_starts::PendingStarts,
        shares::Shares, stragglers::Stragglers, suspects::Suspects, waiting::Waiting, waves::Waves,
    },
    task::StepKey,
};

/// Guarantees of the operator's platform, and the leader's intervals that depend on them.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// How long an executor may run tasks without contact to the leader.
    pub lease: Duration,
    /// How long after a takeover an unreachable executor may still run what an earlier leader
    /// started: that leader's last orders plus the longest lease that they gave.
    pub inherited_lease: Duration,
    /// How long a poll may wait for a run to end.
    pub poll_wait: Duration,
    /// The minimum age of an earlier leader's order for a host before a new leader sends one.
    pub host_order_pause: Duration,
    /// How many host orders per second the platform accepts from all daemons together.
    pub host_calls_per_s: f64,
    /// How long a host is out of service while it moves to another pool.
    pub host_move: Duration,
    /// The minimum interval between two appends.
    pub append_interval: Duration,
    /// The maximum number of records in one append: at some hundred bytes each, well below the
    /// largest value that the store accepts.
    pub records_per_append: usize,
    /// Whether jobs are refused that would end after they are of use, and the waiting jobs that can
    /// be on time are chosen accordingly.
    pub refuses_jobs: bool,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(4_000),
            inherited_lease: Duration::from_millis(12_000),
            poll_wait: Duration::from_millis(1_000),
            host_order_pause: Duration::from_millis(3_500),
            host_calls_per_s: 64.0,
            host_move: Duration::from_millis(1_500),
            append_interval: Duration::from_millis(15),
            records_per_append: 2_000,
            refuses_jobs: true,
        }
    }
}

/// A part of a decision, for the account of the leader's time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub enum DecisionPart {
    /// Checks for changes that no event reports.
    #[display("sweep")]
    Sweep,
    /// Crashes of executors and ends of jobs.
    #[display("ends")]
    Ends,
    /// The order of the waiting steps, with free capacity and shares.
    #[display("order")]
    Order,
    /// Placement of waiting tasks.
    #[display("placement")]
    Placement,
    /// Orders for hosts.
    #[display("fleet")]
    Fleet,
    /// Polls and records to store.
    #[display("effects")]
    Effects,
}

/// The leader's state.
#[derive(Debug)]
pub struct Scheduler {
    limits: Limits,
    /// When this leader took over.
    took_over_at: Time,
    ledger: Ledger,
    config: Option<Arc<Config>>,
    executors: ExecutorTable,
    free_capacity: FreeCapacityByPool,
    waiting: Waiting,
    /// When a lasting step last failed to find capacity.
    lasting_unplaced: BTreeMap<StepKey, Time>,
    /// The submission rate of each caller, compared with its share.
    job_buckets: BTreeMap<CallerName, JobBucket>,
    shares: Shares,
    /// When the log last reported that a caller's tasks wait for its quota.
    quota_logged: BTreeMap<CallerName, Time>,
    /// Executors that changed since they were last considered for a poll.
    poll_candidates: Vec<ExecutorName>,
    /// Hosts to which an earlier leader recently sent orders, with the minimum age of the last
    /// order at the time of this leader's takeover.
    inherited_host_orders: BTreeMap<HostName, Duration>,
    job_states: BTreeMap<JobName, JobState>,
    runtime_estimates: RuntimeEstimates,
    run_overhead: RunOverhead,
    outbox: Outbox,
    advice: Advice,
    gang_reservations: GangReservations,
    fleet: Fleet,
    /// The tasks of lasting steps that are not at work, as of the last fleet update.
    unavailable: BTreeMap<StepKey, BTreeSet<u32>>,
    waves: Waves,
    lending: Lending,
    admission: Admission,
    /// Pools in which a waiting task may find a host since the last pass.
    dirty_pools: BTreeSet<PoolName>,
    /// Jobs to be checked for their end.
    maybe_ended: BTreeSet<JobName>,
    /// Jobs whose end is not stored yet.
    ending_jobs: BTreeSet<JobName>,
    /// Executors that ended since the last decision.
    ended_executors: Vec<EndedExecutor>,
    suspects: Suspects,
    containment: Containment,
    failed_starts: FailedStarts,
    stragglers: Stragglers,
    pending_starts: PendingStarts,
    last_sweep: Time,
    last_slow_sweep: Time,
    effects: Vec<Effect>,
}

/// How often everything is checked regardless of events.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);
/// How often runs, hosts and pools are checked. The intervals that depend on it are longer: a stop
/// is repeated after 600 ms, a run is judged after 1.2 s, and a host takes 1.5 s to arrive.
const SLOW_SWEEP_INTERVAL: Duration = Duration::from_millis(100);

impl Scheduler {
    /// Applies one event to the state.
    pub fn handle(&mut self, now: Now, event: Event) {
        match event {
            Event::Submitted(submission) => self.submit(now, submission),
            Event::Cancelled(job) => self.cancel(now, &job),
            Event::Configured(config) => self.configure(now, config),
            Event::RegistrationChanged(seen) => self.handle_registration(now, seen),
            Event::RegistrationsListed(all) => self.handle_registration_list(now, all),
            Event::Appended { append } => self.appended(now, append),
            Event::AppendedWithoutRemovals { append } => {
                self.outbox.retry_removals(now, append);
                self.appended(now, append);
            }
            Event::StartAnswered { executor, task, run, sent, clock_ms, response } => {
                self.start_answered(now, &executor, &task, run, sent, clock_ms, response);
            }
            Event::StopAnswered { executor, task, run, response } => {
                self.stop_answered(now, &executor, &task, run, response);
            }
            Event::Polled { executor, sent, order, response } => {
                self.handle_poll_response(now, &executor, sent, order, response);
            }
            Event::SpeedLimitAnswered { executor, task, response } => {
                self.speed_limit_answered(&executor, &task, response);
            }
            Event::AdviceReceived { step, sent, candidates, permitted } => {
                self.handle_advice(now, sent, &step, &candidates, permitted);
            }
            Event::HostsListed { requested, hosts } => self.listed(now, requested, hosts),
            Event::HostOrderAnswered { host, response } => self.host_answered(now, &host, response),
            Event::WaveRequested(wave) => self.wave_requested(now, wave),
            Event::Tick => {}
        }
    }

    /// Decides on the events applied so far, and returns the effects to carry out.
    pub fn settle(&mut self, now: Now) -> Vec<Effect> {
        self.settle_observed(now, |_| {})
    }

    /// As [`Self::settle`]; calls `observe` at the end of each part of the decision.
    pub fn settle_observed<F>(&mut self, now: Now, mut observe: F) -> Vec<Effect>
    where
        F: FnMut(DecisionPart),
    {
        let sweep = now.time.since(self.last_sweep) >= SWEEP_INTERVAL;
        if sweep {
            self.last_sweep = now.time;
            self.sweep(now);
        }
        let slow_sweep = now.time.since(self.last_slow_sweep) >= SLOW_SWEEP_INTERVAL;
        if slow_sweep {
            self.last_slow_sweep = now.time;
            self.sweep_runs(now);
        }
        observe(DecisionPart::Sweep);
        self.process_crashes(now);
        self.finish_jobs(now);
        observe(DecisionPart::Ends);
        self.update_free_capacity(now, sweep);
        if !sweep {
            self.release_shares();
        }
        self.update_waiting(now, sweep);
        if sweep {
            self.update_shares(now);
        }
        observe(DecisionPart::Order);
        self.place_waiting(now);
        observe(DecisionPart::Placement);
        if slow_sweep {
            // This follows the placement pass: until then a host that has just returned is idle,
            // and would be sent away again although tasks wait for it.
            self.advance_fleet(now);
        }
        observe(DecisionPart::Fleet);
        self.send_polls(now, sweep);
        self.flush(now);
        observe(DecisionPart::Effects);
        std::mem::take(&mut self.effects)
    }

    /// Checks for changes that no event reports.
    fn sweep(&mut self, now: Now) {
        self.release_expired_leases(now);
        self.begin_due_occurrences(now);
        self.dirty_pools.extend(self.executors.pools().cloned());
        self.forget_executors(now);
    }

    /// Checks all runs, and drops state that is no longer needed.
    fn sweep_runs(&mut self, now: Now) {
        self.repeat_stops(now);
        self.stop_stragglers(now);
        self.clear_suspects();
        self.forget_outcomes(now);
        self.forget_advice();
        self.forget_gangs();
        self.forget_failed_starts();
        self.forget_stragglers();
        let jobs = &self.ledger.jobs;
        self.lasting_unplaced.retain(|step, _| jobs.contains_key(&step.job));
    }

    fn configure(&mut self, now: Now, config: Arc<Config>) {
        self.dirty_pools.extend(config.pools.keys().cloned());
        self.log_caller_changes(&config);
        self.config = Some(config);
        self.refresh_job_states(now);
    }

    /// Applies a record to the ledger and queues it for storing.
    fn record(&mut self, record: Record) {
        self.ledger.apply_in_term(&record, self.outbox.first_append());
        if let Some(job) = record.job() {
            self.waiting.mark_stale(job);
        }
        self.outbox.add(record);
    }

    /// The pool whose hosts run a job's tasks, according to the current configuration or to the
    /// last one that contained the job's queue.
    fn pool_of(&self, job: &JobName) -> Option<&PoolName> {
        let times = self.job_states.get(job)?;
        Some(&times.pool)
    }

    fn mark_pool_dirty(&mut self, job: &JobName) {
        if let Some(pool) = self.pool_of(job).cloned() {
            self.dirty_pools.insert(pool);
        }
    }

    fn log<S, D>(&mut self, kind: &'static str, subject: S, detail: D)
    where
        S: std::fmt::Display,
        D: FnOnce() -> String,
    {
        let subject = Arc::from(subject.to_string());
        self.effects.push(Effect::Log(LogLine { kind, subject, detail: detail() }));
    }
}
