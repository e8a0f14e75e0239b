//! What each event makes of it all.
//!
//! [`Scheduler::handle`] takes in one event and notes what it changes; [`Scheduler::settle`] then
//! decides once for all events that were waiting: jobs that have ended, runs to place, executors to
//! look at, hosts to move or maintain, records to store. Deciding once a batch keeps the work
//! bounded when hundreds of runs end in the same moment.
//!
//! - [`executor_table`]: all executors by pool and by job; [`executors`]: what is believed of each, [`clock`] when its lease ends.
//! - [`outbox`]: what waits until its records are stored.
//! - [`jobs`]: jobs come, are cancelled, come due and end.
//! - [`looks`]: executors are looked at, and what they say is compared with what is believed.
//! - [`ends`]: runs end, or are known never to have begun.
//! - [`starts`]: answers to starts and stops; [`failed_starts`] are not repeated at once for ever, and
//!   [`pending_starts`] bounds those on their way.
//! - [`crashes`]: executors that ended, and which of them crashed.
//! - [`suspects`]: tasks under which executors have crashed.
//! - [`stragglers`]: runs that fall far behind are given up.
//! - [`lapses`]: runs on executors that cannot be reached.
//! - [`waiting`]: which steps wait, most urgent first; [`free_capacity`]: what executors have left.
//! - [`pass`]: waiting tasks find hosts, among the [`places`] that suit them; [`gangs`] find them together; [`advice`] asks where a
//!   step may run; [`gang_reservations`] keeps room for gangs; [`preemption`] makes room for lasting tasks.
//! - [`quotas`]: callers are held to what their tasks may use at once.
//! - [`speed_limits`]: work that fills gaps is slowed beside work that serves.
//! - [`registrations`]: executors come, drain and go.
//! - [`host_list`]: the platform's list of hosts.
//! - [`hosts`]: orders for hosts, which are emptied before ([`draining`]); [`waves`] maintain them,
//!   [`lending`] moves them, also for what [`lasting`] tasks need.
//! - [`recovery`]: a new leader takes over.
//! - [`view`]: what callers ask; [`explain`] tells operators why.

pub mod advice;
pub mod clock;
pub mod crashes;
pub mod draining;
pub mod ends;
pub mod executor_table;
pub mod executors;
pub mod explain;
pub mod failed_starts;
pub mod free_capacity;
pub mod gang_reservations;
pub mod gangs;
pub mod host_list;
pub mod hosts;
pub mod jobs;
pub mod lapses;
pub mod lasting;
pub mod lending;
pub mod looks;
pub mod outbox;
pub mod pass;
pub mod pending_starts;
pub mod places;
pub mod preemption;
pub mod quotas;
pub mod recovery;
pub mod registrations;
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
    policy::{learned::Learned, shares::JobRate},
    reducer::{
        advice::Advice, crashes::EndedExecutor, executor_table::ExecutorTable,
        failed_starts::FailedStarts, free_capacity::FreeCapacityByPool,
        gang_reservations::GangReservations, host_list::Fleet, jobs::JobTimes, lending::Lending,
        outbox::Outbox, pending_starts::PendingStarts, stragglers::Stragglers, suspects::Suspects,
        waiting::Waiting, waves::Waves,
    },
    task::StepKey,
};

/// What the operator's platform promises, and how the leader uses it.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// How long an executor may run things without hearing from the leader.
    pub lease: Duration,
    /// How long after a change of leader an executor that cannot be reached may still run what an
    /// earlier leader started: that leader's last orders and the longest lease they gave.
    pub inherited_lease: Duration,
    /// How long a look may wait for an end.
    pub poll_wait: Duration,
    /// How old an earlier leader's order for a host must be before a new leader gives one.
    pub host_order_pause: Duration,
    /// How many orders for hosts the platform takes in a second, from all daemons together.
    pub host_calls_per_s: f64,
    /// How long a host is away for a move.
    pub host_move: Duration,
    /// The shortest time between two appends.
    pub append_interval: Duration,
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
        }
    }
}

/// The state of the leader.
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
    /// When a lasting step last found no room.
    lasting_unplaced: BTreeMap<StepKey, Time>,
    /// What callers have handed in, against their shares.
    job_rates: BTreeMap<CallerName, JobRate>,
    /// When it was last told that a caller's tasks wait for its quota.
    quota_logged: BTreeMap<CallerName, Time>,
    /// Executors that may be due for a look since something has happened to them.
    poll_candidates: Vec<ExecutorName>,
    /// Hosts that an earlier leader has ordered about of late, and how long ago at least when this
    /// one took over.
    inherited_host_orders: BTreeMap<HostName, Duration>,
    times: BTreeMap<JobName, JobTimes>,
    learned: Learned,
    outbox: Outbox,
    advice: Advice,
    gang_reservations: GangReservations,
    fleet: Fleet,
    /// The tasks of lasting steps that are not at work, as of the last step of the fleet.
    unavailable: BTreeMap<StepKey, BTreeSet<u32>>,
    waves: Waves,
    lending: Lending,
    /// Pools in which a waiting task may find a host since the last pass.
    dirty_pools: BTreeSet<PoolName>,
    /// Jobs that may have ended since the last look at them.
    maybe_ended: BTreeSet<JobName>,
    /// Jobs whose end is being stored.
    ending_jobs: BTreeMap<JobName, u64>,
    /// Executors that ended since the last decision.
    ended_executors: Vec<EndedExecutor>,
    suspects: Suspects,
    failed_starts: FailedStarts,
    stragglers: Stragglers,
    pending_starts: PendingStarts,
    last_sweep: Time,
    last_slow_sweep: Time,
    effects: Vec<Effect>,
}

/// How often everything is looked through whether or not an event asks for it.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);
/// How often each run is looked at, and each host and pool: an order to stop is repeated after
/// 600 ms, a run is judged after 1.2 s, and a host takes a second and a half to come.
const SLOW_SWEEP_INTERVAL: Duration = Duration::from_millis(100);

impl Scheduler {
    /// Takes in one event.
    pub fn handle(&mut self, now: Now, event: Event) {
        match event {
            Event::Submitted(submission) => self.submit(now, submission),
            Event::Cancelled(job) => self.cancel(now, &job),
            Event::Configured(config) => self.configure(now, config),
            Event::Executor(seen) => self.registration(now, seen),
            Event::Executors(all) => self.registrations(now, all),
            Event::Appended { append } => self.appended(now, append),
            Event::StartAnswered { executor, task, run, sent, clock_ms, answer } => {
                self.start_answered(now, &executor, &task, run, sent, clock_ms, answer);
            }
            Event::StopAnswered { executor, task, run, answer } => {
                self.stop_answered(now, &executor, &task, run, answer);
            }
            Event::Looked { executor, sent, order, answer } => {
                self.looked(now, &executor, sent, order, answer);
            }
            Event::PaceAnswered { executor, task, answer } => {
                self.speed_limit_answered(&executor, &task, answer);
            }
            Event::Advised { step, sent, asked, allowed } => {
                self.advised(now, sent, &step, &asked, allowed);
            }
            Event::Hosts(hosts) => self.listed(now, hosts),
            Event::HostAnswered { host, answer } => self.host_answered(now, &host, answer),
            Event::Wave(wave) => self.wave_requested(wave),
            Event::Tick => {}
        }
    }

    /// Decides, and gives what is to be done.
    pub fn settle(&mut self, now: Now) -> Vec<Effect> {
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
        self.note_crashes(now);
        self.finish_jobs(now);
        self.update_free_capacity(now, sweep);
        self.update_waiting(now, sweep);
        self.place_waiting(now);
        if slow_sweep {
            // After the pass: a host that has just come back is idle until then, and would be sent
            // away again past the tasks that wait for it.
            self.advance_fleet(now);
        }
        self.look_around(now, sweep);
        self.flush(now);
        std::mem::take(&mut self.effects)
    }

    /// Looks through what no event reports.
    fn sweep(&mut self, now: Now) {
        self.release_lapsed(now);
        self.begin_due(now);
        self.dirty_pools.extend(self.executors.pools().cloned());
        self.forget_executors(now);
    }

    /// Looks through runs, and drops what is not needed any more.
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
        self.renew_times(now);
    }

    /// Changes the ledger and has the change stored.
    fn record(&mut self, record: Record) {
        self.ledger.apply(&record);
        if let Some(job) = record.job() {
            self.waiting.mark_stale(job);
        }
        self.outbox.add(record);
    }

    /// The pool whose hosts run a job's tasks: by the configuration in force, or the last one in
    /// which its queue stood.
    fn pool_of(&self, job: &JobName) -> Option<&PoolName> {
        let times = self.times.get(job)?;
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
