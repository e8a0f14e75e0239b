//! Classification of ended executors, to find those that crashed.
//!
//! The end of an executor that was drained, or whose host the platform took out of service on an
//! order, is no evidence against its tasks. An executor that ends by itself may have been crashed
//! by one of them.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    time::Duration,
};

use borageswitch_types::{
    Time,
    names::{ExecutorName, HostName, JobName, PoolName},
};

use crate::{
    event::Now,
    fleet::HostState,
    policy::crash_attribution,
    reducer::{
        Scheduler,
        executors::{Executor, Phase},
    },
    task::TaskKey,
};

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
    Restarted(HostOutcome),
    /// No host in the platform's list has it.
    Unlisted {
        /// When the list was requested.
        listed_at: Time,
        /// The present state of its host.
        host_outcome: HostOutcome,
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
            EndDetection::Restarted(_) => "it has restarted",
            EndDetection::Unlisted { .. } => "no host has it",
            EndDetection::HostOrderCompleted => "its host was taken out of service",
            EndDetection::Expired => "registration and lease ended",
        }
    }

    /// A moment at which no executor of that name was running, if one is known.
    pub fn absent_at(&self) -> Option<Time> {
        match self {
            EndDetection::Unlisted { listed_at, .. } => Some(*listed_at),
            _ => None,
        }
    }

    /// The present state of its host, if the detection involved the host list.
    fn host_outcome(&self) -> Option<&HostOutcome> {
        match self {
            EndDetection::Unlisted { host_outcome, .. } | EndDetection::Restarted(host_outcome) => {
                Some(host_outcome)
            }
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
    /// It may have ended before this leader took over.
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
    /// The longest time that the run can have existed; `None` if an earlier leader started it.
    pub max_age: Option<Duration>,
    /// The time for which the run is known to have existed.
    pub min_age: Duration,
    /// The window within which the executor crashed: since the start of the run, or since the
    /// executor was last known to be up if the start got no response. `None` if an earlier leader
    /// started the run.
    pub window: Option<Duration>,
}

/// An executor that has ended.
#[derive(Clone, Debug)]
pub struct EndedExecutor {
    pub(super) executor: ExecutorName,
    pool: PoolName,
    detection: EndDetection,
    cause: EndCause,
    /// When it last responded.
    last_contact: Option<Time>,
    /// The latest time at which it can have ended.
    ended_by: Time,
    pub(super) runs: Vec<LostRun>,
}

impl EndedExecutor {
    /// Describes an executor that was just found to have ended; `listed_up` is when the platform
    /// last listed it as up.
    pub(super) fn new(
        known: &Executor,
        detection: EndDetection,
        listed_up: Option<Time>,
        now: Time,
    ) -> Self {
        let mut runs = known.expired_runs.clone();
        runs.extend(lost_runs(known, listed_up, now));
        Self {
            executor: known.registration.executor.clone(),
            pool: known.registration.pool.clone(),
            cause: cause(known, &detection, &runs),
            detection,
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

    /// The longest time that its run of a task can have existed, if it is known.
    pub(super) fn max_age_of(&self, task: &TaskKey) -> Option<Duration> {
        self.runs.iter().find(|lost| lost.task == *task)?.max_age
    }

    /// The latest time at which it can have ended.
    pub(super) fn ended_by(&self) -> Time {
        self.ended_by
    }

    /// Its host, if that is known and still listed.
    pub(super) fn host(&self) -> Option<&HostName> {
        match self.detection.host_outcome() {
            Some(HostOutcome::Listed(host, _)) => Some(host),
            _ => None,
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
        write!(f, "runs={} why={} cause={}", self.runs.len(), self.detection.why(), self.cause)?;
        match self.detection.host_outcome() {
            Some(outcome) => write!(f, " host={outcome}"),
            None => Ok(()),
        }
    }
}

/// The runs of an executor that has ended; `listed_up` is when the platform last listed it as up.
pub(super) fn lost_runs(known: &Executor, listed_up: Option<Time>, now: Time) -> Vec<LostRun> {
    let ended_by = ended_by(known, now);
    let last_up = known.clock.map(|clock| clock.received).max(listed_up);
    let started =
        known.runs.iter().filter(|(_, held)| !matches!(held.phase, Phase::Recorded | Phase::Ended));
    let lost = started.map(|(task, held)| {
        let last_up = last_up.unwrap_or(Time::ZERO);
        // A start without a response may have been sent to an executor that had already crashed.
        let since = held.start_sent.map(|at| if held.confirmed { at } else { at.min(last_up) });
        LostRun {
            task: task.clone(),
            run: held.run,
            max_age: held.start_sent.map(|sent| ended_by.since(sent)),
            min_age: known.min_run_age(held),
            window: since.map(|since| ended_by.since(since)),
        }
    });
    lost.collect()
}

fn ended_by(known: &Executor, now: Time) -> Time {
    // A call may get a response after another one failed.
    let last_contact = known.clock.map_or(Time::ZERO, |clock| clock.received);
    known.polling.silent_since.filter(|since| *since >= last_contact).unwrap_or(now)
}

fn cause(known: &Executor, detection: &EndDetection, runs: &[LostRun]) -> EndCause {
    match (detection, detection.host_outcome()) {
        (EndDetection::HostOrderCompleted, _) | (_, Some(HostOutcome::Ordered(_))) => {
            EndCause::Order
        }
        _ if known.registration.draining => EndCause::Drain,
        (_, Some(HostOutcome::Removed(_))) => EndCause::Removal,
        _ if known.known_from_ledger_only => EndCause::Unknown,
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
        for executor in ended.iter().filter(|executor| executor.cause.may_hide_crash()) {
            self.note_unattributed_loss(now, executor);
        }
        let crashed: Vec<&EndedExecutor> =
            ended.iter().filter(|executor| executor.cause == EndCause::Crash).collect();
        let started_on = started_on(&crashed);
        for executor in &crashed {
            let others = crashed
                .iter()
                .filter(|other| other.executor != executor.executor && executor.coincides(other));
            let others = others.count();
            self.log("executor-crashed", &executor.executor, || {
                format!(
                    "pool={} others={others} runs={}",
                    executor.pool,
                    format_runs(&executor.runs)
                )
            });
            self.note_start_crash(now, executor, others, &started_on);
            self.attribute_crash(now, executor, others, &started_on);
        }
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
