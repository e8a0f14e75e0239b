//! Executors that ended, and which of them crashed.
//!
//! An executor that leaves, or whose host the platform takes away on an order, says nothing about
//! what it ran. One that ends by itself may have been brought down by one of its tasks.

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
    policy::blame,
    reducer::{
        Scheduler,
        executors::{Executor, Phase},
    },
    task::TaskKey,
};

/// The most runs that one line names.
const MOST_RUNS: usize = 50;

/// How it was learned that an executor has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndDetection {
    /// Another life answered at its address.
    OtherIncarnationAnswered,
    /// Another life is registered at its address.
    OtherIncarnationRegistered,
    /// It is registered again under its name, as a later life.
    Restarted(HostOutcome),
    /// No host of the platform's list has it.
    Unlisted {
        /// When the list was asked for.
        listed_at: Time,
        /// What has become of its host.
        host: HostOutcome,
    },
    /// The platform has carried out an order for its host.
    HostOrderCompleted,
    /// It is registered no more and its lease has ended.
    Expired,
}

impl EndDetection {
    /// How it was learned.
    pub fn why(&self) -> &'static str {
        match self {
            EndDetection::OtherIncarnationAnswered => "another life answered",
            EndDetection::OtherIncarnationRegistered => "another life is registered at its address",
            EndDetection::Restarted(_) => "it has started again",
            EndDetection::Unlisted { .. } => "no host has it",
            EndDetection::HostOrderCompleted => "its host was taken away",
            EndDetection::Expired => "registration and lease ended",
        }
    }

    /// When nobody was there under the executor's name, if that is known.
    pub fn absent_at(&self) -> Option<Time> {
        match self {
            EndDetection::Unlisted { listed_at, .. } => Some(*listed_at),
            _ => None,
        }
    }

    /// What has become of its host, as far as it is known.
    fn host_outcome(&self) -> Option<&HostOutcome> {
        match self {
            EndDetection::Unlisted { host, .. } | EndDetection::Restarted(host) => Some(host),
            _ => None,
        }
    }
}

/// What has become of the host of an executor that has ended.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum HostOutcome {
    /// No earlier list told which host it was.
    #[display("unknown")]
    Unknown,
    /// It changes its pool or is maintained.
    #[display("{_0} ordered away")]
    Ordered(HostName),
    /// It is listed in this state.
    #[display("{_0} {_1}")]
    Listed(HostName, HostState),
    /// It is listed no more.
    #[display("{_0} removed")]
    Removed(HostName),
}

/// Why an executor has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum EndCause {
    /// By itself.
    #[display("crash")]
    Crash,
    /// It had said that it would leave.
    #[display("drain")]
    Drain,
    /// Its host was moved or maintained.
    #[display("order")]
    Order,
    /// Its host was taken out of the fleet.
    #[display("removal")]
    Removal,
    /// It was gone before this leader heard of it.
    #[display("unknown")]
    Unknown,
}

impl EndCause {
    /// Whether an executor may have crashed all the same, though that is not the likeliest cause.
    fn may_hide_crash(self) -> bool {
        matches!(self, EndCause::Drain | EndCause::Removal | EndCause::Unknown)
    }
}

/// A run that went with its executor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostRun {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: u32,
    /// How long it was there at most; nothing if an earlier leader started it.
    pub max_age: Option<Duration>,
    /// How long it was there at least.
    pub min_age: Duration,
    /// The time within which the crash came, as far as it is known: since the start, or since the
    /// executor was last known to live if the start got no answer. Nothing as for the age.
    pub window: Option<Duration>,
}

/// An executor that has ended.
#[derive(Clone, Debug)]
pub struct EndedExecutor {
    pub(super) executor: ExecutorName,
    pool: PoolName,
    detection: EndDetection,
    cause: EndCause,
    /// It has answered until then.
    last_contact: Option<Time>,
    /// It has ended by then.
    ended_by: Time,
    pub(super) runs: Vec<LostRun>,
}

impl EndedExecutor {
    /// An executor that is found to have ended.
    pub(super) fn new(
        known: &Executor,
        ending: EndDetection,
        seen_up: Option<Time>,
        now: Time,
    ) -> Self {
        let mut runs = known.expired_runs.clone();
        runs.extend(lost_runs(known, seen_up, now));
        Self {
            executor: known.registration.executor.clone(),
            pool: known.registration.pool.clone(),
            cause: cause(known, &ending, &runs),
            detection: ending,
            last_contact: known.clock.map(|clock| clock.received),
            ended_by: ended_by(known, now),
            runs,
        }
    }

    /// Its host, if a list told which it was.
    pub(super) fn host(&self) -> Option<&HostName> {
        match self.detection.host_outcome() {
            Some(HostOutcome::Listed(host, _)) => Some(host),
            _ => None,
        }
    }

    /// Whether it may have ended in the same moment as another one.
    fn coincides(&self, other: &Self) -> bool {
        let before = |a: &Self, b: &Self| a.last_contact.is_none_or(|heard| heard <= b.ended_by);
        before(self, other) && before(other, self)
    }
}

impl fmt::Display for EndedExecutor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "runs={} why={} cause={}", self.runs.len(), self.detection.why(), self.cause)?;
        match self.detection.host_outcome() {
            Some(fate) => write!(f, " host={fate}"),
            None => Ok(()),
        }
    }
}

/// What an executor that has ended was running; `seen_up` is when the platform listed it last.
pub(super) fn lost_runs(known: &Executor, seen_up: Option<Time>, now: Time) -> Vec<LostRun> {
    let ended_by = ended_by(known, now);
    let alive = known.clock.map(|clock| clock.received).max(seen_up);
    let started = known.runs.iter().filter(|(_, held)| held.phase != Phase::Recorded);
    let lost = started.map(|(task, held)| {
        let alive = alive.unwrap_or(Time::ZERO);
        // A start without an answer may have been sent to an executor that had crashed before.
        let since = held.start_sent.map(|at| if held.confirmed { at } else { at.min(alive) });
        LostRun {
            task: task.clone(),
            run: held.run,
            max_age: held.start_sent.map(|ordered| ended_by.since(ordered)),
            min_age: known.min_run_age(held),
            window: since.map(|since| ended_by.since(since)),
        }
    });
    lost.collect()
}

fn ended_by(known: &Executor, now: Time) -> Time {
    // One call may get an answer after another one did not.
    let heard = known.clock.map_or(Time::ZERO, |clock| clock.received);
    known.polling.silent_since.filter(|since| *since >= heard).unwrap_or(now)
}

fn cause(known: &Executor, ending: &EndDetection, runs: &[LostRun]) -> EndCause {
    match (ending, ending.host_outcome()) {
        (EndDetection::HostOrderCompleted, _) | (_, Some(HostOutcome::Ordered(_))) => {
            EndCause::Order
        }
        _ if known.registration.draining => EndCause::Drain,
        (_, Some(HostOutcome::Removed(_))) => EndCause::Removal,
        _ if known.known_from_ledger_only => EndCause::Unknown,
        // A registration outlives its executor, and may be read again after the crash was noted.
        _ if known.clock.is_none() && runs.is_empty() => EndCause::Unknown,
        _ => EndCause::Crash,
    }
}

impl Scheduler {
    /// Tells of each executor that crashed, and takes in what that says about its tasks.
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
                format!("pool={} others={others} runs={}", executor.pool, list(&executor.runs))
            });
            self.attribute_crash(now, executor, others, &started_on);
        }
    }
}

/// On how many executors that crashed each job had just started.
fn started_on(crashed: &[&EndedExecutor]) -> BTreeMap<JobName, usize> {
    let mut started_on: BTreeMap<JobName, usize> = BTreeMap::new();
    for executor in crashed {
        let soon =
            executor.runs.iter().filter(|lost| lost.max_age.is_some_and(|a| a <= blame::SOON));
        let jobs: BTreeSet<&JobName> = soon.map(|lost| &lost.task.job).collect();
        for job in jobs {
            *started_on.entry(job.clone()).or_default() += 1;
        }
    }
    started_on
}

fn list(runs: &[LostRun]) -> String {
    let named = runs.iter().take(MOST_RUNS).map(|lost| {
        let age = lost.max_age.map_or("?".to_owned(), |age| age.as_millis().to_string());
        format!("{} run {} age_ms {age}", lost.task, lost.run)
    });
    let named: Vec<String> = named.collect();
    let left_out = runs.len().saturating_sub(MOST_RUNS);
    format!("{} left_out={left_out} [{}]", runs.len(), named.join("; "))
}
