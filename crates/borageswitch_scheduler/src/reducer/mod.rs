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
//! - [`polls`]: executors are looked at, and what they say is compared with what is believed.
//! - [`run_ends`]: runs end, or are known never to have begun.
//! - [`starts`]: answers to starts and stops; [`failed_starts`] are not repeated at once for ever, and
//!   [`starting`] bounds those on their way.
//! - [`crashes`]: executors that ended, and which of them crashed.
//! - [`suspects`]: tasks under which executors have crashed.
//! - [`stragglers`]: runs that fall far behind are given up.
//! - [`lease_expiry`]: runs on executors that cannot be reached.
//! - [`waiting`]: which steps wait, most urgent first; [`rooms`]: what executors have left.
//! - [`pass`]: waiting tasks find hosts, among the [`places`] that suit them; [`gangs`] find them together; [`advice`] asks where a
//!   step may run; [`kept_room`] keeps room for gangs; [`evict`] makes room for lasting tasks.
//! - [`quotas`]: callers are held to what their tasks may use at once.
//! - [`pace`]: work that fills gaps is slowed beside work that serves.
//! - [`registrations`]: executors come, drain and go.
//! - [`host_list`]: the platform's list of hosts.
//! - [`hosts`]: orders for hosts, which are emptied before ([`emptying`]); [`waves`] maintain them,
//!   [`lending`] moves them, also for what [`lasting`] tasks need.
//! - [`recovery`]: a new leader takes over.
//! - [`view`]: what callers ask; [`explain`] tells operators why.

pub mod advice;
pub mod clock;
pub mod crashes;
pub mod emptying;
pub mod evict;
pub mod executor_table;
pub mod executors;
pub mod explain;
pub mod failed_starts;
pub mod gangs;
pub mod host_list;
pub mod hosts;
pub mod jobs;
pub mod kept_room;
pub mod lasting;
pub mod lease_expiry;
pub mod lending;
pub mod outbox;
pub mod pace;
pub mod pass;
pub mod places;
pub mod polls;
pub mod quotas;
pub mod recovery;
pub mod registrations;
pub mod rooms;
pub mod run_ends;
pub mod starting;
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
    policy::{caller_shares::JobBucket, runtime_estimates::RuntimeEstimates},
    reducer::{
        advice::Advice, crashes::EndedExecutor, executor_table::ExecutorTable,
        failed_starts::FailedStarts, host_list::Fleet, jobs::JobState, kept_room::KeptRoom,
        lending::Lending, outbox::Outbox, rooms::Rooms, starting::Starting, stragglers::Stragglers,
        suspects::Suspects, waiting::Waiting, waves::Waves,
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
    pub look_wait: Duration,
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
            look_wait: Duration::from_millis(1_000),
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
    began: Time,
    ledger: Ledger,
    config: Option<Arc<Config>>,
    executors: ExecutorTable,
    rooms: Rooms,
    waiting: Waiting,
    /// When a lasting step last found no room.
    lasting_missed: BTreeMap<StepKey, Time>,
    /// What callers have handed in, against their shares.
    job_rates: BTreeMap<CallerName, JobBucket>,
    /// When it was last told that a caller's tasks wait for its quota.
    told_at_quota: BTreeMap<CallerName, Time>,
    /// Executors that may be due for a look since something has happened to them.
    unlooked: Vec<ExecutorName>,
    /// Hosts that an earlier leader has ordered about of late, and how long ago at least when this
    /// one took over.
    inherited_orders: BTreeMap<HostName, Duration>,
    times: BTreeMap<JobName, JobState>,
    learned: RuntimeEstimates,
    outbox: Outbox,
    advice: Advice,
    kept_room: KeptRoom,
    fleet: Fleet,
    /// The tasks of lasting steps that are not at work, as of the last step of the fleet.
    away: BTreeMap<StepKey, BTreeSet<u32>>,
    waves: Waves,
    lending: Lending,
    /// Pools in which a waiting task may find a host since the last pass.
    stirred: BTreeSet<PoolName>,
    /// Jobs that may have ended since the last look at them.
    touched: BTreeSet<JobName>,
    /// Jobs whose end is being stored.
    ending: BTreeMap<JobName, u64>,
    /// Executors that ended since the last decision.
    ended_executors: Vec<EndedExecutor>,
    suspects: Suspects,
    failed_starts: FailedStarts,
    stragglers: Stragglers,
    starting: Starting,
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
            Event::RegistrationChanged(seen) => self.handle_registration(now, seen),
            Event::RegistrationsListed(all) => self.handle_registration_list(now, all),
            Event::Appended { append } => self.appended(now, append),
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
                self.pace_answered(&executor, &task, response);
            }
            Event::AdviceReceived { step, sent, candidates, permitted } => {
                self.handle_advice(now, sent, &step, &candidates, permitted);
            }
            Event::HostsListed(hosts) => self.listed(now, hosts),
            Event::HostOrderAnswered { host, response } => self.host_answered(now, &host, response),
            Event::WaveRequested(wave) => self.wave_requested(wave),
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
        self.process_crashes(now);
        self.finish_jobs(now);
        self.renew_rooms(now, sweep);
        self.renew_waiting(now, sweep);
        self.place_waiting(now);
        if slow_sweep {
            // After the pass: a host that has just come back is idle until then, and would be sent
            // away again past the tasks that wait for it.
            self.step_fleet(now);
        }
        self.send_polls(now, sweep);
        self.flush(now);
        std::mem::take(&mut self.effects)
    }

    /// Looks through what no event reports.
    fn sweep(&mut self, now: Now) {
        self.release_expired_leases(now);
        self.begin_due_occurrences(now);
        self.stirred.extend(self.executors.pools().cloned());
        self.forget_executors(now);
    }

    /// Looks through runs, and drops what is not needed any more.
    fn sweep_runs(&mut self, now: Now) {
        self.repeat_stops(now);
        self.give_up_stragglers(now);
        self.clear_suspects();
        self.forget_outcomes(now);
        self.forget_advice();
        self.forget_gangs();
        self.forget_failed_starts();
        self.forget_stragglers();
        let jobs = &self.ledger.jobs;
        self.lasting_missed.retain(|step, _| jobs.contains_key(&step.job));
    }

    fn configure(&mut self, now: Now, config: Arc<Config>) {
        self.stirred.extend(config.pools.keys().cloned());
        self.tell_callers(&config);
        self.config = Some(config);
        self.refresh_job_states(now);
    }

    /// Changes the ledger and has the change stored.
    fn record(&mut self, record: Record) {
        self.ledger.apply(&record);
        if let Some(job) = record.job() {
            self.waiting.note(job);
        }
        self.outbox.add(record);
    }

    /// The pool whose hosts run a job's tasks: by the configuration in force, or the last one in
    /// which its queue stood.
    fn pool_of(&self, job: &JobName) -> Option<&PoolName> {
        let times = self.times.get(job)?;
        Some(&times.pool)
    }

    fn stir_pool_of(&mut self, job: &JobName) {
        if let Some(pool) = self.pool_of(job).cloned() {
            self.stirred.insert(pool);
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
