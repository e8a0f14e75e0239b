//! Classification of ended executors, to find those that crashed.
//!
//! The end of an executor that was drained, or whose host the platform took out of service on an
//! order, is no evidence against its tasks. An executor that ends by itself may have been crashed
//! by one of them.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    sync::Arc,
    time::Duration,
};

use borageswitch_types::{
    Time,
    names::{ExecutorName, HostName, JobName, PoolName},
};

use crate::{
    event::Now,
    fleet::HostState,
    policy::crash_attribution::{self, Coincidence, SuspicionLevel},
    reducer::{
        Scheduler,
        executors::{Executor, Phase},
        polls,
    },
    task::TaskKey,
};

/// The part of all executors, as a divisor, whose loss at one moment points to the power supply of
/// the site or of a data centre.
const MAJOR_LOSS_DIVISOR: usize = 2;
/// The most runs that one log line names.
const MAX_LISTED_RUNS: usize = 50;

/// How the leader detected that an executor has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndDetection {
    /// Another incarnation responded at its address.
    OtherIncarnationAnswered,
    /// Another incarnation is registered at its address.
    OtherIncarnationRegistered,
    /// It is registered again under its name, as a later incarnation.
    Restarted,
    /// No host in the platform's list has it.
    Unlisted {
        /// When the list was requested.
        listed_at: Time,
    },
    /// The platform has carried out an order that takes its host out of service.
    HostOrderCompleted,
    /// It is no longer registered, and its lease has expired.
    Expired,
}

impl EndDetection {
    /// The reason as it is written to the log.
    pub fn why(&self) -> &'static str {
        match self {
            EndDetection::OtherIncarnationAnswered => "another life answered",
            EndDetection::OtherIncarnationRegistered => "another life is registered at its address",
            EndDetection::Restarted => "it has restarted",
            EndDetection::Unlisted { .. } => "no host has it",
            EndDetection::HostOrderCompleted => "its host was taken out of service",
            EndDetection::Expired => "registration and lease ended",
        }
    }

    /// A moment at which no executor of that name was running, if one is known.
    pub fn absent_at(&self) -> Option<Time> {
        match self {
            EndDetection::Unlisted { listed_at } => Some(*listed_at),
            _ => None,
        }
    }
}

/// The state of the host of an executor that has ended.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum HostOutcome {
    /// No earlier list names its host.
    #[display("unknown")]
    Unknown,
    /// The host changes its pool or is in maintenance.
    #[display("{_0} ordered away")]
    Ordered(HostName),
    /// The host is listed in this state.
    #[display("{_0} {_1}")]
    Listed(HostName, HostState),
    /// The host is no longer listed.
    #[display("{_0} removed")]
    Removed(HostName),
}

/// Why an executor has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum EndCause {
    /// It ended by itself.
    #[display("crash")]
    Crash,
    /// It had announced that it drains.
    #[display("drain")]
    Drain,
    /// Its host was moved or maintained.
    #[display("order")]
    Order,
    /// Its host was removed from the fleet.
    #[display("removal")]
    Removal,
    /// It may have ended before this leader took over, or by an order of an earlier leader.
    #[display("unknown")]
    Unknown,
}

impl EndCause {
    /// Whether the executor may nevertheless have crashed, though another cause is likelier.
    fn may_hide_crash(self) -> bool {
        matches!(self, EndCause::Drain | EndCause::Removal | EndCause::Unknown)
    }
}

/// A run that was lost with its executor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostRun {
    /// The task of the run.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
    /// The longest time that the run can have existed, if it is known.
    pub max_age: Option<Duration>,
    /// The time for which the run is known to have existed.
    pub min_age: Duration,
    /// Whether an earlier leader started it.
    pub is_inherited: bool,
    /// The window within which the executor crashed: since the start of the run, or since the
    /// executor was last known to be up if the start got no response. `None` if the age is not
    /// known.
    pub window: Option<Duration>,
}

impl LostRun {
    /// Whether its start may have caused the end of the executor.
    pub(super) fn is_start_related(&self) -> bool {
        crash_attribution::is_start_related(self.min_age)
    }

    /// The longest time that it can have existed, if a crash can be attributed to it.
    pub(super) fn attributable_age(&self) -> Option<Duration> {
        let limit = if self.is_inherited {
            crash_attribution::MAX_INHERITED_AGE
        } else {
            crash_attribution::MAX_ATTRIBUTED_AGE
        };
        self.max_age.filter(|age| !self.is_start_related() || *age <= limit)
    }
}

/// What the leader knows, besides the executor itself, when an executor has ended.
#[derive(Clone, Debug)]
pub(super) struct Circumstances {
    /// When the platform last listed the executor as up.
    pub(super) listed_up: Option<Time>,
    /// What has happened to its host.
    pub(super) host_outcome: HostOutcome,
    /// Whether an order of an earlier leader may have ended it.
    pub(super) earlier_order_possible: bool,
    pub(super) took_over_at: Time,
}

/// An executor that has ended.
#[derive(Clone, Debug)]
pub struct EndedExecutor {
    pub(super) executor: ExecutorName,
    pool: PoolName,
    rack: Option<Arc<str>>,
    detection: EndDetection,
    host_outcome: HostOutcome,
    cause: EndCause,
    /// When it last responded.
    last_contact: Option<Time>,
    /// The latest time at which it can have ended.
    ended_by: Time,
    pub(super) runs: Vec<LostRun>,
}

impl EndedExecutor {
    /// Describes an executor that was just found to have ended.
    pub(super) fn new(
        known: &Executor,
        detection: EndDetection,
        circumstances: Circumstances,
        now: Time,
    ) -> Self {
        let mut runs = known.expired_runs.clone();
        runs.extend(lost_runs(known, &circumstances, now));
        Self {
            executor: known.registration.executor.clone(),
            pool: known.registration.pool.clone(),
            rack: known.registration.rack().cloned(),
            cause: cause(known, &detection, &circumstances, &runs),
            detection,
            host_outcome: circumstances.host_outcome,
            last_contact: known.clock.map(|clock| clock.received),
            ended_by: ended_by(known, now),
            runs,
        }
    }

    /// Its pool.
    pub(super) fn pool(&self) -> &PoolName {
        &self.pool
    }

    /// How the leader detected that it has ended.
    pub(super) fn why(&self) -> &'static str {
        self.detection.why()
    }

    /// Why it has ended.
    pub(super) fn cause(&self) -> EndCause {
        self.cause
    }

    /// The latest time at which it can have ended.
    pub(super) fn ended_by(&self) -> Time {
        self.ended_by
    }

    /// Its host, if that is known and still listed.
    pub(super) fn host(&self) -> Option<&HostName> {
        match &self.host_outcome {
            HostOutcome::Listed(host, _) => Some(host),
            HostOutcome::Unknown | HostOutcome::Ordered(_) | HostOutcome::Removed(_) => None,
        }
    }

    /// Whether it may have ended at the same moment as another executor.
    fn coincides(&self, other: &Self) -> bool {
        let before =
            |a: &Self, b: &Self| a.last_contact.is_none_or(|contact| contact <= b.ended_by);
        before(self, other) && before(other, self)
    }
}

impl fmt::Display for EndedExecutor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { runs, detection, cause, host_outcome, .. } = self;
        write!(f, "runs={} why={} cause={cause} host={host_outcome}", runs.len(), detection.why())
    }
}

/// The runs of an executor that has ended, or whose lease has expired.
pub(super) fn lost_runs(
    known: &Executor,
    circumstances: &Circumstances,
    now: Time,
) -> Vec<LostRun> {
    let ended_by = ended_by(known, now);
    let last_up = known.clock.map(|clock| clock.received).max(circumstances.listed_up);
    let since_takeover = ended_by.since(circumstances.took_over_at);
    let started =
        known.runs.iter().filter(|(_, held)| !matches!(held.phase, Phase::Recorded | Phase::Ended));
    // An executor that had stopped before a start was sent did not stop because of it.
    let started = started
        .filter(|(_, held)| held.confirmed || held.start_sent.is_none_or(|sent| sent < ended_by));
    let lost = started.map(|(task, held)| {
        let last_up = last_up.unwrap_or(Time::ZERO);
        // A start without a response may have been sent to an executor that had already crashed.
        let since = held.start_sent.map(|at| if held.confirmed { at } else { at.min(last_up) });
        let inherited = held.inherited_age.map(|age| age + since_takeover);
        LostRun {
            task: task.clone(),
            run: held.run,
            max_age: held.start_sent.map(|sent| ended_by.since(sent)).or(inherited),
            min_age: known.min_run_age(held),
            is_inherited: held.start_sent.is_none(),
            window: since.map(|since| ended_by.since(since)).or(inherited),
        }
    });
    lost.collect()
}

/// When an executor can have ended at the latest, by its last answer and the first call without one.
///
/// The polls after the start of an isolated suspect follow each other so closely that the first one
/// without an answer dates the end; otherwise a single lost response would date it too early.
fn ended_by(known: &Executor, now: Time) -> Time {
    // A call may get a response after another one failed.
    let last_contact = known.clock.map_or(Time::ZERO, |clock| clock.received);
    let polling = &known.polling;
    let sent = polling.immediate_poll_in_flight.then_some(polling.immediate_poll_sent);
    let sent = sent.filter(|sent| *sent < known.isolated_until);
    let unanswered = sent.map(|sent| sent + polls::PROMPT_RESPONSE_TIME);
    let silent = [polling.silent_since, unanswered].into_iter().flatten();
    silent.filter(|since| *since >= last_contact).min().unwrap_or(now).min(now)
}

fn cause(
    known: &Executor,
    detection: &EndDetection,
    circumstances: &Circumstances,
    runs: &[LostRun],
) -> EndCause {
    match (detection, &circumstances.host_outcome) {
        (EndDetection::HostOrderCompleted, _) | (_, HostOutcome::Ordered(_)) => EndCause::Order,
        _ if known.registration.draining => EndCause::Drain,
        (_, HostOutcome::Removed(_)) => EndCause::Removal,
        _ if known.known_from_ledger_only => EndCause::Unknown,
        // Orders of earlier leaders are for executors that were there before this leader.
        _ if circumstances.earlier_order_possible
            && known.known_since <= circumstances.took_over_at =>
        {
            EndCause::Unknown
        }
        // A registration remains after its executor has ended, and may be read again after the
        // crash was recorded.
        _ if known.clock.is_none() && runs.is_empty() => EndCause::Unknown,
        _ => EndCause::Crash,
    }
}

impl Scheduler {
    /// Logs each executor that has crashed, and updates the suspicions against its tasks.
    pub(super) fn process_crashes(&mut self, now: Now) {
        let ended = std::mem::take(&mut self.ended_executors);
        let crashed: Vec<&EndedExecutor> =
            ended.iter().filter(|executor| executor.cause == EndCause::Crash).collect();
        for executor in ended.iter().filter(|executor| executor.cause.may_hide_crash()) {
            self.note_unattributed_loss(now, executor);
        }
        let started_on = started_on(&crashed);
        for executor in &crashed {
            let others: Vec<&EndedExecutor> = crashed
                .iter()
                .copied()
                .filter(|other| other.executor != executor.executor && executor.coincides(other))
                .collect();
            self.log("executor-crashed", &executor.executor, || {
                format!(
                    "pool={} others={} runs={}",
                    executor.pool,
                    others.len(),
                    format_runs(&executor.runs)
                )
            });
            let coincidence = self.coincidence(executor, &others);
            self.note_start_crash(now, executor, coincidence, &started_on);
            self.attribute_crash(now, executor, coincidence, &started_on);
        }
    }

    /// Whether the start of an isolated suspect explains the crash of an executor by itself: several
    /// suspects that start at the same moment crash their executors at the same moment.
    fn is_explained(&self, executor: &EndedExecutor) -> bool {
        let is_isolated =
            |lost: &LostRun| self.suspicion_level(&lost.task) >= SuspicionLevel::Isolated;
        executor.runs.iter().any(|lost| {
            let just_started =
                lost.window.is_some_and(|w| w <= crash_attribution::START_RELATED_AGE);
            just_started && is_isolated(lost)
        })
    }

    /// The executors among `others`, which crashed at the same moment, that may have crashed for the
    /// same reason: those of its rack, or all of them if a large part of all executors is lost at
    /// once.
    fn coincidence(&self, executor: &EndedExecutor, others: &[&EndedExecutor]) -> Coincidence {
        let registered = self.executors.values().filter(|known| !known.ended).count();
        let lost = others.len() + 1;
        let is_major = lost * MAJOR_LOSS_DIVISOR >= registered + lost;
        let is_related = |other: &&&EndedExecutor| is_major || other.rack == executor.rack;
        let related: Vec<&&EndedExecutor> = others.iter().filter(is_related).collect();
        let may_be_separate = !is_major && self.is_explained(executor);
        let unexplained =
            related.iter().filter(|other| !(may_be_separate && self.is_explained(other)));
        Coincidence { others: related.len(), unexplained: unexplained.count() }
    }
}

/// The number of crashed executors on which each job had recently started.
fn started_on(crashed: &[&EndedExecutor]) -> BTreeMap<JobName, usize> {
    let mut started_on: BTreeMap<JobName, usize> = BTreeMap::new();
    for executor in crashed {
        let recent = executor
            .runs
            .iter()
            .filter(|lost| lost.max_age.is_some_and(|a| a <= crash_attribution::START_RELATED_AGE));
        let jobs: BTreeSet<&JobName> = recent.map(|lost| &lost.task.job).collect();
        for job in jobs {
            *started_on.entry(job.clone()).or_default() += 1;
        }
    }
    started_on
}

fn format_runs(runs: &[LostRun]) -> String {
    let named = runs.iter().take(MAX_LISTED_RUNS).map(|lost| {
        let age = lost.max_age.map_or("?".to_owned(), |age| age.as_millis().to_string());
        format!("{} run {} age_ms {age}", lost.task, lost.run)
    });
    let named: Vec<String> = named.collect();
    let left_out = runs.len().saturating_sub(MAX_LISTED_RUNS);
    format!("{} left_out={left_out} [{}]", runs.len(), named.join("; "))
}
